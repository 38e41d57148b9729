package pressure

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
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

// stage is a process with the servers, the discovery service and the ordinary clients around it.
// With keepers there are two further processes, which have no clients.
type stage struct {
	options    Options
	dir        string
	addr       string // of the first process, for clients
	processes  []*process
	servers    []*server
	discovery  *discovery
	ordinary   *ordinaryClients
	rng        *rand.Rand
	until      time.Time   // end of the picture
	departures []departure // guarded by mu
	report     Report
	mu         sync.Mutex // guards report
}

func newStage(o Options, keepers bool) (*stage, error) {
	s := &stage{options: o, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	var err error
	if s.dir, err = os.MkdirTemp("", "ospreylab-pressure-"); err != nil {
		return nil, err
	}
	if err := s.start(keepers); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *stage) start(keepers bool) error {
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
	if err := s.startProcesses(keepers); err != nil {
		return err
	}
	s.addr = s.processes[0].addr
	if err := s.awaitReady(); err != nil {
		return fmt.Errorf("%w\n%s", err, s.processes[0].log.String())
	}
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
	for _, p := range s.processes {
		if p.ended() {
			s.report.Crashed = true
		} else {
			s.report.PeakMB = max(s.report.PeakMB, p.peakMB())
		}
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

// close ends the processes and the stand-ins.
func (s *stage) close() {
	for _, p := range s.processes {
		p.close()
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
