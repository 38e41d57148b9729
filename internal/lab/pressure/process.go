package pressure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
)

// keeperCount is the number of processes of a stage with keepers.
const keeperCount = 3

// process is one process of the program.
type process struct {
	name, dir    string
	addr         string // for clients
	meshAddr     string // for datagrams
	configPath   string
	operatorPath string
	command      *exec.Cmd
	log          bytes.Buffer
	exited       chan struct{}
}

// startProcesses starts one process, or as many as there are keepers.
func (s *stage) startProcesses(keepers bool) error {
	count := 1
	if keepers {
		count = keeperCount
	}
	for i := range count {
		p := &process{name: fmt.Sprint("n", i+1), exited: make(chan struct{})}
		p.dir = filepath.Join(s.dir, p.name)
		if err := os.Mkdir(p.dir, 0o700); err != nil {
			return err
		}
		var err error
		if p.addr, err = freeAddress("tcp"); err != nil {
			return err
		}
		if p.meshAddr, err = freeAddress("udp"); err != nil {
			return err
		}
		s.processes = append(s.processes, p)
	}
	for _, p := range s.processes {
		if err := s.writeFiles(p, keepers); err != nil {
			return err
		}
		if keepers {
			initialize := exec.Command(s.options.Program, "keepers", "init", "--operator", p.operatorPath)
			if out, err := initialize.CombinedOutput(); err != nil {
				return fmt.Errorf("keepers init: %w: %s", err, out)
			}
		}
		if err := p.start(s.options.Program); err != nil {
			return err
		}
	}
	return nil
}

// writeFiles writes the files that a process reads.
func (s *stage) writeFiles(p *process, keepers bool) error {
	config, err := json.Marshal(map[string]any{
		"name": p.name, "listen": p.addr, "discovery": s.discovery.addr, "seed": fmt.Sprintf("%x", s.options.Seed+1),
		"limits": map[string]any{"cores": 1, "memory_mb": memoryLimitMB, "sockets": descriptors},
		"known":  json.RawMessage(s.discovery.list()), "settings": settings(),
	})
	if err != nil {
		return err
	}
	var members, seeds []string
	for i, other := range s.processes {
		members = append(members, fmt.Sprintf("%d@%s", i+1, other.meshAddr))
		seeds = append(seeds, other.meshAddr)
	}
	operator := fmt.Sprintf("[fleet]\ncluster = %s\nlisten = %s\nseeds = %s\n[verdicts]\n[retries]\npart = 10\n", clusterName, p.meshAddr, strings.Join(seeds, ", "))
	if keepers {
		operator += fmt.Sprintf("[keepers]\nmembers = %s\ndir = %s\nlease = 2s\nmargin = 100ms\n", strings.Join(members, ", "), filepath.Join(p.dir, "keeper"))
	}
	p.configPath, p.operatorPath = filepath.Join(p.dir, "config.json"), filepath.Join(p.dir, "own.ini")
	if err := os.WriteFile(p.configPath, config, 0o600); err != nil {
		return err
	}
	return os.WriteFile(p.operatorPath, []byte(operator), 0o600)
}

func (p *process) start(program string) error {
	p.command = exec.Command(program, "--operator", p.operatorPath)
	p.command.Env = append(os.Environ(), "EDGE_CONFIG="+p.configPath)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.command.Wait() // any end is a crash while the stage stands
		close(p.exited)
	}()
	return nil
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// close ends the process by its id.
func (p *process) close() {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Kill() // it may have ended already
		<-p.exited
	}
}

// pause stops the process while f runs.
func (p *process) pause(f func()) {
	_ = p.command.Process.Signal(syscall.SIGSTOP) // an ended process counts as a crash
	f()
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

var peakField = regexp.MustCompile(`VmHWM:\s*(\d+) kB`)

// peakMB returns the largest resident memory of the process so far.
func (p *process) peakMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	found := peakField.FindSubmatch(text)
	if err != nil || found == nil {
		return memoryLimitMB // unknown: counts as broken
	}
	kb, _ := strconv.Atoi(string(found[1])) // digits, by the expression
	return kb >> 10
}
