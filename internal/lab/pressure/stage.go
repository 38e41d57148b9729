package pressure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	serverCount   = 4
	memoryLimitMB = 192  // of a scored day
	descriptors   = 1024 // of a scored day
	startTimeout  = 10 * time.Second
	// aftermath is how long the ordinary clients go on after the picture.
	aftermath = 2 * time.Second
)

// stage is one process with the servers, the discovery service and the ordinary clients around it.
type stage struct {
	options    Options
	dir        string
	addr       string // of the process, for clients
	meshAddr   string // of the process, for datagrams
	process    *exec.Cmd
	log        bytes.Buffer
	exited     chan struct{}
	servers    []*server
	discovery  *discovery
	ordinary   *ordinaryClients
	rng        *rand.Rand
	until      time.Time   // end of the picture
	departures []departure // guarded by mu
	report     Report
	mu         sync.Mutex // guards report
}

func newStage(o Options) (*stage, error) {
	s := &stage{options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), exited: make(chan struct{})}
	var err error
	if s.dir, err = os.MkdirTemp("", "ospreylab-pressure-"); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		s.close()
		return nil, fmt.Errorf("%w\n%s", err, s.log.String())
	}
	return s, nil
}

func (s *stage) start() error {
	for i := range serverCount {
		server, err := newServer(fmt.Sprintf("s-%d", i))
		if err != nil {
			return err
		}
		s.servers = append(s.servers, server)
	}
	var err error
	if s.discovery, err = newDiscovery(s.servers); err != nil {
		return err
	}
	if err := s.startProcess(); err != nil {
		return err
	}
	return s.awaitReady()
}

// startProcess writes the program's files and starts it.
func (s *stage) startProcess() error {
	var err error
	if s.addr, err = freeAddress("tcp"); err != nil {
		return err
	}
	if s.meshAddr, err = freeAddress("udp"); err != nil {
		return err
	}
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": s.addr, "discovery": s.discovery.addr, "seed": fmt.Sprintf("%x", s.options.Seed+1),
		"limits": map[string]any{"cores": 1, "memory_mb": memoryLimitMB, "sockets": descriptors},
		"known":  json.RawMessage(s.discovery.list()), "settings": settings(),
	})
	if err != nil {
		return err
	}
	configPath, operatorPath := filepath.Join(s.dir, "config.json"), filepath.Join(s.dir, "own.ini")
	operator := fmt.Sprintf("[fleet]\ncluster = %s\nlisten = %s\nseeds = %s\n[verdicts]\n[retries]\npart = 10\n",
		clusterName, s.meshAddr, s.meshAddr)
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(operatorPath, []byte(operator), 0o600); err != nil {
		return err
	}
	s.process = exec.Command(s.options.Program, "--operator", operatorPath)
	s.process.Env = append(os.Environ(), "EDGE_CONFIG="+configPath)
	s.process.Stdout, s.process.Stderr = &s.log, &s.log
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.process.Start(); err != nil {
		return err
	}
	go func() {
		_ = s.process.Wait() // any end is a crash while the stage stands
		close(s.exited)
	}()
	return nil
}

// awaitReady waits until the process admits clients.
func (s *stage) awaitReady() error {
	for begin := time.Now(); time.Since(begin) < startTimeout; time.Sleep(50 * time.Millisecond) {
		if answer, err := exchange(s.addr, "PING\r\n", time.Second); err == nil && answer == "PONG" {
			return nil
		}
	}
	return fmt.Errorf("the program is not ready after %v", startTimeout)
}

// run plays a picture beside the ordinary clients and returns what it has shown.
func (s *stage) run(p picture) *Report {
	s.report.Picture, s.report.LimitMB = p.name, memoryLimitMB
	s.ordinary = startOrdinaryClients(s.addr, s.options.Seed)
	s.until = time.Now().Add(s.options.For)
	p.play(s)
	time.Sleep(aftermath)
	s.ordinary.stop(&s.report)
	select {
	case <-s.exited:
		s.report.Crashed = true
	default:
		s.report.PeakMB = s.peakMB()
	}
	return &s.report
}

// over reports whether the time of the picture is over.
func (s *stage) over() bool { return time.Now().After(s.until) }

// addLoad counts what the picture sent.
func (s *stage) addLoad(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Load += n
}

// parallel runs f on n goroutines and waits for all of them.
func parallel(n int, f func(i int)) {
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { f(i) })
	}
	wait.Wait()
}

var peakField = regexp.MustCompile(`VmHWM:\s*(\d+) kB`)

// peakMB returns the largest resident memory of the process so far.
func (s *stage) peakMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.Process.Pid))
	found := peakField.FindSubmatch(text)
	if err != nil || found == nil {
		return memoryLimitMB // unknown: counts as broken
	}
	kb, _ := strconv.Atoi(string(found[1])) // digits, by the expression
	return kb >> 10
}

// close ends the process and the stand-ins.
func (s *stage) close() {
	if s.process != nil && s.process.Process != nil {
		_ = s.process.Process.Kill() // it may have ended already
		<-s.exited
	}
	for _, server := range s.servers {
		server.listener.Close()
	}
	if s.discovery != nil {
		s.discovery.listener.Close()
	}
	os.RemoveAll(s.dir)
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
