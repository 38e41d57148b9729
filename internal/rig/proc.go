// Package rig starts real processes of the program on loopback, routes every link between them
// through itself and injects faults into links and processes. Invariants are judged from the
// receivers' own logs: a verdict depends only on which events occurred, never on their timing.
package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// logEntry is a line of a process's log about the fleet.
type logEntry struct {
	Message string `json:"message"`
	Duty    string `json:"duty"`
	Token   uint64 `json:"token"`
	Version uint64 `json:"version"`
}

// proc is one process of the program, across restarts.
type proc struct {
	rig          *Rig
	index        int
	name         string
	listen       netip.AddrPort // the address on which it listens
	advertised   netip.AddrPort // the address at which the others reach it, a socket of the rig
	dir          string
	cmd          *exec.Cmd
	incarnation  int
	stopped      bool
	exited       chan struct{}
	ownedTokens  map[string]uint64 // tokens by duty, according to the latest log entries
	lastToken    uint64            // token of the last announcement that it accepted or sent
	logTail      []string
	staleRefused uint64
}

// addr returns an address of the process on loopback: 1 selects its own, 2 the advertised one.
func (p *proc) addr(which byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, p.rig.subnet + which, byte(p.index >> 8), byte(p.index&0xff + 1)})
}

// writeConfig writes the files that the program reads.
func (p *proc) writeConfig() error {
	r := p.rig
	var members, seeds []string
	for i := range r.options.Keepers {
		members = append(members, fmt.Sprintf("%d@%s", r.keeperNumber(i), r.procs[i].advertised))
		seeds = append(seeds, r.procs[i].advertised.String())
	}
	verdicts := ""
	if r.options.Verdicts {
		verdicts = "[verdicts]\n"
	}
	operatorConfig := fmt.Sprintf("[fleet]\ncluster = %s\nlisten = %s\nadvertise = %s\nseeds = %s\n[keepers]\nmembers = %s\ndir = %s\nlease = %v\nmargin = %v\n"+
		"[duties]\ntake = discovery, probes, moves\n[moves]\nper_second = 50\n[discovery]\nsame_addresses = true\n[log]\nformat = json\n%s",
		cluster, p.listen, p.advertised, strings.Join(seeds, ", "), strings.Join(members, ", "), filepath.Join(p.dir, fmt.Sprint("keeper-", r.keeperNumber(p.index))), r.options.Lease, r.options.Lease/20, verdicts)
	platformConfig, err := json.Marshal(map[string]any{
		"name": p.name, "listen": netip.AddrPortFrom(p.addr(1), 18440).String(), "discovery": r.discovery.Addr().String(),
		"seed": fmt.Sprintf("%x", r.rng.Uint64()), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
		"known": map[string]any{"seq": 0, "whole": true, "hosts": []any{}}, "settings": Settings(len(r.procs)),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(p.dir, "own.ini"), []byte(operatorConfig), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "config.json"), platformConfig, 0o644)
}

func (p *proc) command(args ...string) *exec.Cmd {
	c := exec.Command(p.rig.options.Program, append([]string{"--operator", filepath.Join(p.dir, "own.ini")}, args...)...)
	c.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(p.dir, "config.json"))
	return c
}

// start starts the process, unless it runs already or the rig is closing.
func (p *proc) start() error {
	if p.cmd != nil || p.rig.closing {
		return nil
	}
	if p.incarnation == 0 && p.index < p.rig.options.Keepers {
		if out, err := p.command("keepers", "init").CombinedOutput(); err != nil {
			return fmt.Errorf("%s: initialize keeper: %w: %s", p.name, err, out)
		}
	}
	c := p.command()
	pipe, err := c.StderrPipe()
	if err != nil {
		return err
	}
	// The kernel kills the process if the rig dies.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("%s: start process: %w", p.name, err)
	}
	p.incarnation++
	p.cmd, p.stopped, p.ownedTokens, p.exited = c, false, make(map[string]uint64), make(chan struct{})
	go p.readLog(pipe, c, p.incarnation, p.exited)
	return nil
}

// readLog passes the process's log lines, and then its exit, to the rig's event loop.
func (p *proc) readLog(pipe io.Reader, c *exec.Cmd, incarnation int, exited chan struct{}) {
	lines := bufio.NewScanner(pipe)
	for lines.Scan() {
		text := lines.Text()
		p.rig.loop.Post(func() { p.handleLogLine(text) })
	}
	err := c.Wait()
	close(exited)
	p.rig.loop.Post(func() { p.handleExit(incarnation, err) })
}

// handleLogLine processes one line of output: a log entry, or the counters printed at the end.
func (p *proc) handleLogLine(text string) {
	p.logTail = append(p.logTail, text)
	if len(p.logTail) > 20 {
		p.logTail = p.logTail[1:]
	}
	var entry logEntry
	if json.Unmarshal([]byte(text), &entry) == nil {
		p.rig.handleLogEntry(p, &entry)
		return
	}
	if rest, ok := strings.CutPrefix(text, "fleet:"); ok {
		for f := range strings.FieldsSeq(rest) {
			var n uint64
			if _, err := fmt.Sscanf(f, "words-stale-refused=%d", &n); err == nil {
				p.staleRefused = n
				p.rig.Counts.StaleRefused += int(n)
			}
		}
	}
}

// handleExit handles the end of a process. An end that the rig did not cause is a crash and fails
// the run.
func (p *proc) handleExit(incarnation int, err error) {
	if incarnation == p.incarnation && p.cmd != nil {
		p.cmd = nil
		p.rig.fail(fmt.Errorf("%s exited unexpectedly: %v; last lines of its log:\n%s", p.name, err, strings.Join(p.logTail, "\n")))
	}
}

// kill terminates the process with SIGKILL, by its id, and waits for it.
func (p *proc) kill() {
	if p.cmd == nil {
		return
	}
	c := p.cmd
	p.cmd = nil
	_ = c.Process.Kill() // it may have ended just now
	<-p.exited
	p.ownedTokens = make(map[string]uint64)
}

// stop suspends the process with SIGSTOP.
func (p *proc) stop() {
	if p.cmd != nil && !p.stopped {
		p.stopped = true
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	}
}

// resume continues a suspended process with SIGCONT.
func (p *proc) resume() {
	if p.cmd != nil && p.stopped {
		p.stopped = false
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// terminate asks all processes with SIGTERM to shut down, which makes them print their counters. A
// process that still runs after the given time is killed.
func (r *Rig) terminate(timeout time.Duration) {
	r.closing = true
	var exited []chan struct{}
	for _, p := range r.procs {
		p.resume()
		if p.cmd != nil {
			c := p.cmd
			p.cmd = nil // its exit is expected from now on
			_ = c.Process.Signal(syscall.SIGTERM)
			exited = append(exited, p.exited)
			r.after(timeout, func() { _ = c.Process.Kill() })
		}
	}
	for _, e := range exited {
		done := false
		go func() { <-e; r.loop.Post(func() { done = true }) }()
		for !done {
			if r.loop.Turn(true) != nil {
				return
			}
		}
	}
}

// Settings returns the platform settings that the processes receive, as in example/config.json.
func Settings(proxies int) map[string]any {
	return map[string]any{
		"Balancers": proxies, "Zone": "here", "Discovery": "subscribe",
		"Classes": []any{
			map[string]any{"Name": "readings", "Repeat": "free", "TargetUs": 800000, "HardLimitUs": 4800000, "Worth": 3.0},
			map[string]any{"Name": "status", "Repeat": "free", "TargetUs": 300000, "HardLimitUs": 1800000, "Worth": 2.0},
		},
		"Domain": map[string]any{"Groups": true, "TellsLoad": true, "TellsDelay": true, "MessageAimUs": []int{60000, 250000},
			"ReportX0": "load asked of the server over what it can do"},
		"Invariants": map[string]any{"AskWithinUs": 10000000, "ColdFrom": 0.13, "DrainGraceUs": 500000, "FallUs": 1500000,
			"TipMultiple": 3.0, "WarmWithinUs": 24000000, "AnswerSlackUs": 20000},
		"Permissions": map[string]any{"AttemptsCap": 5, "Cancel": true, "Probing": true, "DialTimeoutUs": 200000,
			"ConnIdleUs": 60000000, "RetryAfter": true, "MaxRetryAfterUs": 2000000},
		"Prices": map[string]any{"CrossZone": 0.022}, "Report": map[string]any{"Fields": []string{"cpu", "x0", "rps"}, "How": "pull"},
	}
}
