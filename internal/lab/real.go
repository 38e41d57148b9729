package lab

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/poll"
)

// realDay is the state of a day on real loopback sockets: one event loop for all emulated parts of
// the fleet, and one process for each proxy.
type realDay struct {
	loop     *poll.Loop
	program  string // path of the ospreyspan binary
	dir      string // directory for configurations and logs
	machines []*realMachine
	links    *lossyLinks // nil: processes send datagrams to each other directly
}

// unsupportedFaults are the kinds of faults that cannot be produced on real sockets without
// privileges, with the reason for each.
var unsupportedFaults = map[string]string{
	"partition": "loopback cannot be partitioned", "isolate": "loopback cannot be partitioned", "late-clock": "all processes share the machine's clock",
	"descriptors": "the limit of descriptors belongs to each process", "ports": "all processes share the machine's ports",
	"late-connects": "connections on loopback are established at once",
}

// PlayReal plays a day on real loopback sockets against the given program, in real time. Fleet and
// draws are those of Play, but there is no network delay and no judge of the rules on the wire. It
// takes the length of the day and a few seconds; a day longer than limit is an error.
func PlayReal(sc *Scenario, seed uint64, program, dir string, limit time.Duration, o Options) (*Result, error) {
	for _, t := range sc.Faults {
		if why := unsupportedFaults[t.Kind]; why != "" {
			return nil, fmt.Errorf("trouble %s: %s can't be played on real sockets: %s", t.Name, t.Kind, why)
		}
	}
	if maxProxies := cmp.Or(o.MaxRealProxies, 16); sc.Proxies.Count > maxProxies || len(sc.Sites) > 100 {
		return nil, fmt.Errorf("more than %d proxies or 100 sites are too many for one machine's real sockets", maxProxies)
	}
	d, err := newDay(sc, seed)
	if err != nil {
		return nil, err
	}
	if d.total+sc.Run.CoolDown > limit {
		return nil, fmt.Errorf("the day takes %v, more than the limit of %v", d.total, limit)
	}
	loop, err := poll.New(func() {})
	if err != nil {
		return nil, err
	}
	defer loop.Close()
	s := &stage{day: d, options: o, costlyClasses: make(map[string]costlyFault), registry: fleet.NewRegistry()}
	s.real = &realDay{loop: loop, program: program, dir: dir}
	defer s.real.killAll()
	if sc.Proxies.BadLinks {
		s.real.links = newLossyLinks(loop, seed)
		defer s.real.links.close()
		s.real.links.after(sc.Run.WarmUp, func() { s.real.links.cutPeriodically(time.Second) })
	}
	s.ledger = fleet.NewLedger(loop.Now().Add(sc.Run.WarmUp), sc.Run.Length, d.classes)
	var violation error
	s.ledger.OnViolation = func(rule, detail string) {
		if violation == nil {
			violation = &Violation{rule, detail}
		}
	}
	if err := s.build(); err != nil {
		return nil, err
	}
	finished := false
	var ticker poll.Timer
	elapsed := time.Duration(0)
	ticker.Fire = func() {
		elapsed += time.Second
		s.samples.take(s)
		if o.Progress != nil {
			o.Progress(elapsed, d.total)
		}
		if elapsed < d.total {
			loop.After(&ticker, time.Second)
			return
		}
		for _, c := range s.crowds {
			c.crowd.Finish()
			c.front.Stop()
		}
		finished = true
	}
	loop.After(&ticker, time.Second)
	for !finished && s.err == nil {
		if err := loop.Turn(true); err != nil {
			return nil, err
		}
	}
	res := s.result()
	if s.real.links != nil {
		res.Links = &s.real.links.LinkStats
	}
	return res, errors.Join(s.err, violation)
}

// machine adds an emulated part of this process at a loopback address of its own, which is the
// part's virtual address with 127 in place of 10.
func (r *realDay) machine(name string, addr netip.Addr) machine {
	m := &realMachine{real: r, name: name, addr: loopbackAddr(addr)}
	r.machines = append(r.machines, m)
	return m
}

// loopbackAddr maps an address of the virtual network to one on loopback: the first byte 10 becomes
// 127, and the last byte 0 becomes 200.
func loopbackAddr(addr netip.Addr) netip.Addr {
	a := addr.As4()
	a[0] = 127
	a[2] |= 64 // avoids addresses that other programs use
	if a[3] == 0 {
		a[3] = 200
	}
	return netip.AddrFrom4(a)
}

// operatorFile writes the proxy's operator file and returns its path. Before the first start of a
// proxy that runs a keeper, it also creates the keeper's log.
func (r *realDay) operatorFile(s *stage, p *proxyNode) (string, error) {
	var keepers, seeds []string
	runsKeeper := false
	for i := range s.scenario.Proxies.Keepers {
		at := netip.AddrPortFrom(loopbackAddr(proxyAddr(i%len(s.scenario.Sites), i)), meshPort)
		runsKeeper = runsKeeper || at.Addr() == p.host.Addr()
		if r.links != nil {
			at = publicAddr(at)
		}
		keepers, seeds = append(keepers, fmt.Sprintf("%d@%s", i+1, at)), append(seeds, at.String())
	}
	text := fmt.Sprintf("[fleet]\ncluster = lab\nlisten = %s:%d\nzone = %s\nseeds = %s\n[keepers]\nmembers = %s\nlease = 1s\nmargin = 50ms\ndir = %s\n",
		p.host.Addr(), meshPort, p.site, strings.Join(seeds, ", "), strings.Join(keepers, ", "), filepath.Join(r.dir, "keeper-"+p.name))
	if r.links != nil {
		listen := netip.AddrPortFrom(p.host.Addr(), meshPort)
		if err := r.links.open(listen); err != nil {
			return "", err
		}
		text = strings.Replace(text, "zone =", "advertise = "+publicAddr(listen).String()+"\nzone =", 1)
	}
	text += "[duties]\ntake = " + strings.Join(s.duties(), ", ") + "\n"
	if s.scenario.Proxies.Verdicts {
		text += "[verdicts]\n"
	}
	if l := s.limit(); l != nil {
		text += fmt.Sprintf("[limit %s]\nkind = %v\nmost = %d\nslices = %d\n", l.Name, l.Kind, l.Max, l.SliceCount)
		if l.Period > 0 {
			text += fmt.Sprintf("within = %v\n", l.Period)
		}
	}
	path := filepath.Join(r.dir, p.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return "", err
	}
	if runsKeeper && p.starts == 1 {
		if out, err := exec.Command(r.program, "keepers", "init", "--operator", path).CombinedOutput(); err != nil {
			return "", fmt.Errorf("%s: keepers init: %w\n%s", p.name, err, out)
		}
	}
	return path, nil
}

// killAll kills the processes that were started, each by its process ID, waits for them, and stops
// the emulated parts.
func (r *realDay) killAll() {
	for _, m := range r.machines {
		m.Kill()
	}
}

// realMachine is a machine on real sockets: a proxy process or an emulated part of this process.
type realMachine struct {
	real    *realDay
	name    string
	addr    netip.Addr
	running bool          // of an emulated part
	stop    func()        // stops an emulated part; may be nil
	silence func(on bool) // makes an emulated part ignore its connections; may be nil
	cmd     *exec.Cmd     // the proxy process; nil: none runs
}

func (m *realMachine) Name() string     { return m.name }
func (m *realMachine) Addr() netip.Addr { return m.addr }
func (m *realMachine) Up() bool         { return m.Running() }
func (m *realMachine) Isolate()         {}
func (m *realMachine) Rejoin()          {}

// Running reports whether the process or the emulated part runs. It reaps a proxy process that has
// exited by itself.
func (m *realMachine) Running() bool {
	if m.cmd != nil {
		var status syscall.WaitStatus
		if pid, err := syscall.Wait4(m.cmd.Process.Pid, &status, syscall.WNOHANG, nil); pid != 0 || err != nil {
			m.cmd = nil
		}
		return m.cmd != nil
	}
	return m.running
}

func (m *realMachine) Start(begin func(k poll.Kernel) (step func() error, err error)) error {
	if m.running {
		return fmt.Errorf("%s is already running", m.name)
	}
	if _, err := begin(nil); err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	m.running = true
	return nil
}

// Kill kills a proxy process with SIGKILL, by its process ID, or stops an emulated part.
func (m *realMachine) Kill() {
	if m.cmd != nil {
		if m.Running() {
			_ = m.cmd.Process.Kill() // errors are ignored: the process may have exited just now
			_, _ = syscall.Wait4(m.cmd.Process.Pid, nil, 0, nil)
		}
		m.cmd = nil
		return
	}
	if m.running && m.stop != nil {
		m.stop()
	}
	m.running = false
}

// Vanish makes an emulated part stop answering. New connections to it are still accepted, which a
// machine that is gone would not do.
func (m *realMachine) Vanish() {
	if m.running && m.silence != nil {
		m.silence(true)
	}
}

// Return stops a part that had vanished, so that it can be started again.
func (m *realMachine) Return() { m.Kill() }

func (m *realMachine) signal(sig syscall.Signal) {
	if m.Running() && m.cmd != nil {
		_ = m.cmd.Process.Signal(sig) // errors are ignored: the process may have exited just now
	}
}

// startProxy starts the program with a configuration in the platform's format.
func (r *realDay) startProxy(s *stage, p *proxyNode) error {
	m := p.host.(*realMachine)
	settings, err := s.settingsText(p.site)
	if err != nil {
		return err
	}
	var hosts []fleet.Entry
	for i := range s.relays {
		if !s.relays[i].startsLate {
			hosts = append(hosts, s.entry(s.nodes[i], 0))
		}
	}
	text, err := json.Marshal(map[string]any{
		"name": p.name, "listen": p.addr().String(), "discovery": netip.AddrPortFrom(s.discovery.host.Addr(), discoveryPort).String(),
		"seed": fmt.Sprintf("%x", p.seedSource.Uint64()), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": s.scenario.Proxies.MaxDescriptors},
		"known": map[string]any{"seq": 0, "whole": true, "hosts": hosts}, "settings": json.RawMessage(settings),
	})
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, p.name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(r.dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own descriptor
	cmd := exec.Command(r.program)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path)
	if s.scenario.Proxies.Keepers > 0 {
		operatorPath, err := r.operatorFile(s, p)
		if err != nil {
			return err
		}
		cmd.Env = append(cmd.Env, "OSPREYSPAN_OPERATOR="+operatorPath)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	m.cmd = cmd
	return nil
}
