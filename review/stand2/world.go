package stand2

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// World holds the processes of a case and its temporary folder.
type World struct {
	Record  *Record
	Dir     string // temporary folder
	Root    string // the project's root
	command string // the deploy file's run
	mu      sync.Mutex
	procs   []*Proxy
}

func newWorld(r *Record) (*World, error) {
	root, err := filepath.Abs(filepath.Join(os.Args[1], "..", ".."))
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	w := &World{Record: r, Root: root}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			w.command = strings.Trim(strings.TrimSpace(rest), `"`)
		}
	}
	if w.command == "" {
		return nil, errors.New("deploy/balancer.toml: no run")
	}
	if w.Dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	return w, nil
}

// close ends all processes that the case started.
func (w *World) close() {
	w.mu.Lock()
	procs := w.procs
	w.procs = nil
	w.mu.Unlock()
	for _, p := range procs {
		p.end()
	}
	os.RemoveAll(w.Dir)
}

// Class is a request class of the settings.
type Class struct {
	Name, Repeat, DedupScope               string
	TargetUs, HardLimitUs, WindowUs, Worth float64
}

// Readings and Status are the classes of aebi-telemetry.
var (
	Readings = Class{Name: "readings", Repeat: "free", DedupScope: "all", TargetUs: 800000, HardLimitUs: 4800000, WindowUs: 5000000, Worth: 3}
	Status   = Class{Name: "status", Repeat: "free", DedupScope: "all", TargetUs: 300000, HardLimitUs: 1800000, WindowUs: 5000000, Worth: 2}
)

// Settings returns settings with the figures of aebi-telemetry, for a number of proxies.
func Settings(proxies int, classes ...Class) map[string]any {
	if len(classes) == 0 {
		classes = []Class{Readings, Status}
	}
	return map[string]any{
		"Balancers": proxies, "Zone": "winterthur", "Dcs": []string{"winterthur", "lausanne", "chur"}, "Discovery": "subscribe", "Classes": classes,
		"Domain": map[string]any{
			"Groups": true, "Mode": "proxy", "TellsLoad": true, "TellsDelay": true, "MessageAimUs": []float64{60000, 250000},
			"ReportX0": "load asked of the server over what it can do",
		},
		"Invariants": map[string]any{
			"AnswerSlackUs": 20000, "AskWithinUs": 10000000, "ColdFrom": 0.13, "DrainGraceUs": 500000, "FallUs": 1500000, "TipMultiple": 3.0, "WarmWithinUs": 24000000,
		},
		"Permissions": map[string]any{
			"AttemptsCap": 5, "Cancel": true, "ConnIdleUs": 60000000, "DialTimeoutUs": 200000, "MaxRetryAfterUs": 2000000,
			"Peers": false, "Probing": true, "RetryAfter": true, "SecondCopies": false,
		},
		"Prices": map[string]any{"CrossZone": 0.022, "Probe": 0.0029},
		"Report": map[string]any{"Fields": []string{"cpu", "x0", "rps"}, "How": "pull"},
	}
}

// FleetSettings returns Settings of a deployment in which proxies may talk to each other.
func FleetSettings(proxies int) map[string]any {
	s := Settings(proxies)
	if p, ok := s["Permissions"].(map[string]any); ok {
		p["Peers"] = true
	}
	return s
}

// Proxy is one process of the program.
type Proxy struct {
	Name, Addr string // Addr is where clients connect
	w          *World
	config     map[string]any
	operator   string // path of the operators' own file; empty: none
	cmd        *exec.Cmd
	done       chan struct{}
	mu         sync.Mutex
	ended      bool
}

// ProxyConfig says how a process is started.
type ProxyConfig struct {
	Name, Discovery string
	Settings        any
	Known           any    // the list as the proxy last had it; nil: none
	Operator        string // text of the operators' own file; empty: none
}

// NewProxy prepares a process at a free address; Start starts it.
func (w *World) NewProxy(c ProxyConfig) (*Proxy, error) {
	addr, err := freeTCP("127.0.0.1")
	if err != nil {
		return nil, err
	}
	known := c.Known
	if known == nil {
		known = map[string]any{"seq": 0, "whole": true, "hosts": []any{}}
	}
	p := &Proxy{Name: c.Name, Addr: addr, w: w, config: map[string]any{
		"name": c.Name, "listen": addr, "discovery": c.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": c.Settings,
	}}
	if c.Operator != "" {
		p.operator = filepath.Join(w.Dir, c.Name+".ini")
		if err := os.WriteFile(p.operator, []byte(c.Operator), 0o600); err != nil {
			return nil, err
		}
	}
	return p, p.writeConfig()
}

func (p *Proxy) configPath() string { return filepath.Join(p.w.Dir, p.Name+".json") }

func (p *Proxy) writeConfig() error {
	text, err := json.Marshal(p.config)
	if err != nil {
		return err
	}
	return os.WriteFile(p.configPath(), text, 0o600)
}

// SetKnown replaces the list that the next start is given.
func (p *Proxy) SetKnown(known any) error {
	p.config["known"] = known
	return p.writeConfig()
}

// KeepersInit makes the keeper's log, as the operators do once for a new fleet.
func (p *Proxy) KeepersInit() error {
	c := exec.Command(filepath.Join(p.w.Root, "bin", "ospreyspan"), "keepers", "init", "--operator", p.operator)
	c.Dir = p.w.Dir
	out, err := c.CombinedOutput()
	if err != nil {
		return fmt.Errorf("keepers init: %w: %s", err, out)
	}
	return nil
}

// Start starts the process by the deploy file's command, from the root.
func (p *Proxy) Start() error {
	logFile, err := os.OpenFile(filepath.Join(p.w.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	c := exec.Command("/bin/sh", "-c", p.w.command)
	c.Dir, c.Stdout, c.Stderr = p.w.Root, logFile, logFile
	discovery, _ := p.config["discovery"].(string)
	c.Env = append(os.Environ(), "EDGE_CONFIG="+p.configPath(), "EDGE_NAME="+p.Name, "EDGE_LISTEN="+p.Addr, "EDGE_DISCOVERY="+discovery)
	if p.operator != "" {
		c.Env = append(c.Env, "OSPREYSPAN_OPERATOR="+p.operator)
	}
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.ended = c, done, false
	p.mu.Unlock()
	p.w.mu.Lock()
	p.w.procs = append(p.w.procs, p)
	p.w.mu.Unlock()
	go func() {
		err := c.Wait()
		p.w.Record.Logf("%s: process ended: %v", p.Name, err)
		p.mu.Lock()
		if p.cmd == c {
			p.ended = true
		}
		p.mu.Unlock()
		close(done)
	}()
	p.w.Record.Logf("%s: started, pid %d", p.Name, c.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (p *Proxy) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.ended {
		return errors.New("no process")
	}
	p.w.Record.Logf("%s: %v", p.Name, s)
	return p.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (p *Proxy) Ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// WaitEnd waits until the process has ended.
func (p *Proxy) WaitEnd(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

func (p *Proxy) end() {
	p.mu.Lock()
	c, done, ended := p.cmd, p.done, p.ended
	p.mu.Unlock()
	if c == nil || ended {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	<-done
}

// Log returns the process's log.
func (p *Proxy) Log() string {
	text, _ := os.ReadFile(filepath.Join(p.w.Dir, p.Name+".log"))
	return string(text)
}

// WaitReady asks as the front does until the process answers PONG.
func (p *Proxy) WaitReady(within time.Duration) error {
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(100 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", p.Addr, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		answer := make([]byte, 16)
		_, _ = c.Write([]byte("PING\r\n"))
		n, _ := c.Read(answer)
		c.Close()
		if string(answer[:n]) == "PONG\r\n" {
			p.w.Record.Logf("%s: ready", p.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready: %s", p.Name, p.Log())
}

// SetDiscovery writes another address of discovery into the configuration file, for SIGHUP.
func (p *Proxy) SetDiscovery(address string) error {
	p.config["discovery"] = address
	return p.writeConfig()
}
