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

// real is what a day needs that is played on real loopback sockets: one loop for the fleet's parts, and a process for
// each proxy.
type real struct {
	loop    *poll.Loop
	program string
	dir     string // for configurations and logs
	all     []*realMachine
	wires   *wires // nil: processes speak to each other directly
}

// notReal are the troubles that can't be made on real sockets without privileges.
var notReal = map[string]string{
	"partition": "loopback can't be cut", "isolate": "loopback can't be cut", "late-clock": "the clock is everybody's",
	"descriptors": "the limit is the process's own", "ports": "the ports are everybody's",
	"late-connects": "loopback's connections come up at once",
}

// PlayReal plays a day on real loopback sockets against the program, in real time: the same fleet, the same draws, but no
// delay of a network, and no judge on the wire. It takes as long as the day and a few seconds; until bounds it.
func PlayReal(sc *Scenario, seed uint64, program, dir string, until time.Duration, o Options) (*Result, error) {
	for _, t := range sc.Troubles {
		if why := notReal[t.Kind]; why != "" {
			return nil, fmt.Errorf("trouble %s: %s can't be played on real sockets: %s", t.Name, t.Kind, why)
		}
	}
	if most := cmp.Or(o.MostReal, 16); sc.Proxies.Count > most || len(sc.Sites) > 100 {
		return nil, fmt.Errorf("more than %d proxies or 100 sites are too many for one machine's real sockets", most)
	}
	d, err := newDay(sc, seed)
	if err != nil {
		return nil, err
	}
	if d.total+sc.Run.CoolDown > until {
		return nil, fmt.Errorf("the day takes %v, more than the %v that are given", d.total, until)
	}
	loop, err := poll.New(func() {})
	if err != nil {
		return nil, err
	}
	defer loop.Close()
	s := &stage{day: d, o: o, costly: make(map[string]costly), registry: fleet.NewRegistry()}
	s.real = &real{loop: loop, program: program, dir: dir}
	defer s.real.end()
	if sc.Proxies.BadLinks {
		s.real.wires = newWires(loop, seed)
		defer s.real.wires.close()
		s.real.wires.after(sc.Run.WarmUp, func() { s.real.wires.trouble(time.Second) })
	}
	s.ledger = fleet.NewLedger(loop.Now().Add(sc.Run.WarmUp), sc.Run.Length, d.classes)
	var broken error
	s.ledger.Broken = func(rule, detail string) {
		if broken == nil {
			broken = &Violation{rule, detail}
		}
	}
	if err := s.build(); err != nil {
		return nil, err
	}
	finished := false
	var second poll.Timer
	taken := time.Duration(0)
	second.Fire = func() {
		taken += time.Second
		s.samples.take(s)
		if o.Progress != nil {
			o.Progress(taken, d.total)
		}
		if taken < d.total {
			loop.After(&second, time.Second)
			return
		}
		for _, c := range s.crowds {
			c.crowd.Finish()
			c.front.Stop()
		}
		finished = true
	}
	loop.After(&second, time.Second)
	for !finished && s.err == nil {
		if err := loop.Turn(true); err != nil {
			return nil, err
		}
	}
	res := s.result()
	if s.real.wires != nil {
		res.Wires = &s.real.wires.Wires
	}
	return res, errors.Join(s.err, broken)
}

// machine adds a part of this process at an address of its own on loopback: 127 in place of 10.
func (r *real) machine(name string, addr netip.Addr) machine {
	m := &realMachine{real: r, name: name, addr: onLoopback(addr)}
	r.all = append(r.all, m)
	return m
}

func onLoopback(addr netip.Addr) netip.Addr {
	a := addr.As4()
	a[0] = 127
	a[2] |= 64 // apart from what other programs use
	if a[3] == 0 {
		a[3] = 200
	}
	return netip.AddrFrom4(a)
}

// operatorFile writes a proxy's operator's file, and has its keeper's log made before its first life.
func (r *real) operatorFile(s *stage, p *proxyNode) (string, error) {
	var keepers, seeds []string
	keeps := false
	for i := range s.s.Proxies.Keepers {
		at := netip.AddrPortFrom(onLoopback(proxyAt(i%len(s.s.Sites), i)), meshPort)
		keeps = keeps || at.Addr() == p.host.Addr()
		if r.wires != nil {
			at = public(at)
		}
		keepers, seeds = append(keepers, fmt.Sprintf("%d@%s", i+1, at)), append(seeds, at.String())
	}
	text := fmt.Sprintf("[fleet]\ncluster = lab\nlisten = %s:%d\nzone = %s\nseeds = %s\n[keepers]\nmembers = %s\nlease = 1s\nmargin = 50ms\ndir = %s\n",
		p.host.Addr(), meshPort, p.site, strings.Join(seeds, ", "), strings.Join(keepers, ", "), filepath.Join(r.dir, "keeper-"+p.name))
	if r.wires != nil {
		own := netip.AddrPortFrom(p.host.Addr(), meshPort)
		if err := r.wires.open(own); err != nil {
			return "", err
		}
		text = strings.Replace(text, "zone =", "advertise = "+public(own).String()+"\nzone =", 1)
	}
	text += "[duties]\ntake = " + strings.Join(s.duties(), ", ") + "\n"
	if s.s.Proxies.Verdicts {
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
	if keeps && p.lives == 1 {
		if out, err := exec.Command(r.program, "keepers", "init", "--operator", path).CombinedOutput(); err != nil {
			return "", fmt.Errorf("%s: keepers init: %w\n%s", p.name, err, out)
		}
	}
	return path, nil
}

// end ends all processes that were started, by their ids, and waits for them.
func (r *real) end() {
	for _, m := range r.all {
		m.Kill()
	}
}

// realMachine plays a machine on real sockets.
type realMachine struct {
	real    *real
	name    string
	addr    netip.Addr
	running bool
	stop    func()
	silence func(on bool)
	cmd     *exec.Cmd
}

func (m *realMachine) Name() string     { return m.name }
func (m *realMachine) Addr() netip.Addr { return m.addr }
func (m *realMachine) Up() bool         { return m.Running() }
func (m *realMachine) Isolate()         {}
func (m *realMachine) Rejoin()          {}

// Running tells whether its process is there; a proxy that has ended by itself is noticed here.
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
		return fmt.Errorf("%s runs already", m.name)
	}
	if _, err := begin(nil); err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	m.running = true
	return nil
}

// Kill ends its process: of a proxy with SIGKILL, by its id.
func (m *realMachine) Kill() {
	if m.cmd != nil {
		if m.Running() {
			_ = m.cmd.Process.Kill() // it may have ended just now
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

// Vanish has it say nothing any more. New connections come up all the same, which they would not if the machine were gone.
func (m *realMachine) Vanish() {
	if m.running && m.silence != nil {
		m.silence(true)
	}
}

// Return ends the process that was silent.
func (m *realMachine) Return() { m.Kill() }

func (m *realMachine) signal(sig syscall.Signal) {
	if m.Running() && m.cmd != nil {
		_ = m.cmd.Process.Signal(sig) // it may have ended just now
	}
}

// startProxy starts the program with a configuration of the platform's form.
func (r *real) startProxy(s *stage, p *proxyNode) error {
	m := p.host.(*realMachine)
	settings, err := s.settingsText(p.site)
	if err != nil {
		return err
	}
	var hosts []fleet.Entry
	for i := range s.relays {
		if !s.relays[i].late {
			hosts = append(hosts, s.entry(s.nodes[i], 0))
		}
	}
	text, err := json.Marshal(map[string]any{
		"name": p.name, "listen": p.addr().String(), "discovery": netip.AddrPortFrom(s.discovery.host.Addr(), discoveryPort).String(),
		"seed": fmt.Sprintf("%x", p.rng.Uint64()), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": s.s.Proxies.Sockets},
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
	defer out.Close() // the process has its own copy
	cmd := exec.Command(r.program)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path)
	if s.s.Proxies.Keepers > 0 {
		own, err := r.operatorFile(s, p)
		if err != nil {
			return err
		}
		cmd.Env = append(cmd.Env, "OSPREYSPAN_OPERATOR="+own)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	m.cmd = cmd
	return nil
}
