package rig

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// waitTimeout bounds a wait for a condition, with room for a machine that is busy with other work.
// A wait that times out is counted and is not a failure.
const waitTimeout = 20 * time.Second

// InjectFaults injects faults into the processes for the given time span, in rounds. Each round
// waits until the owner has sent an announcement, which the links keep a copy of. It then stops or
// kills the owner, or drops its inbound or outbound traffic, until another process owns the duty.
// Afterwards it sends the kept copies to all processes and lets the former owner continue from its
// previous state. The error reports a violated invariant.
func (r *Rig) InjectFaults(span time.Duration) error {
	if err := r.StartAll(); err != nil {
		return err
	}
	r.changeList(120 * time.Millisecond)
	over := false
	r.after(span, func() { over = true })
	for !over && r.failed == nil {
		r.faultRound()
	}
	if r.failed == nil && r.Counts.HandOvers == 0 {
		r.fail(errNoHandOver)
	}
	r.heal()
	r.lossless = true
	if r.failed == nil { // give pending actions time to violate an invariant
		r.waitUntil(2*time.Second, func() bool { return false })
		r.terminate(6 * time.Second)
		r.waitUntil(500*time.Millisecond, func() bool { return false })
	}
	return r.failed
}

// faultRound performs one round of InjectFaults.
func (r *Rig) faultRound() {
	announced := func() bool {
		o := r.owner()
		return o != nil && r.holdsAnnouncementOf(o)
	}
	if !r.waitUntil(waitTimeout, announced) {
		r.Counts.TimedOut++
		r.heal()
		return
	}
	r.Counts.Rounds++
	victim := r.owner()
	token := victim.ownedTokens[duty]
	copies := r.heldCopies()
	l := r.links[victim.index]
	var undo func()
	switch d := r.rng.Float64(); {
	case d < 0.45:
		r.Counts.Stops++
		victim.stop()
		undo = victim.resume
	case d < 0.70:
		r.Counts.Kills++
		victim.kill()
		undo = func() {
			if err := r.start(victim); err != nil {
				r.fail(err)
			}
		}
	case d < 0.85:
		r.Counts.InboundCuts++
		l.dropInbound = true
		undo = func() { l.dropInbound = false }
	default:
		r.Counts.OutboundCuts++
		l.dropOutbound = true
		undo = func() { l.dropOutbound = false }
	}
	r.injectSecondFault(victim)
	if !r.waitUntil(waitTimeout, func() bool { o := r.owner(); return o != nil && o.ownedTokens[duty] > token }) {
		r.Counts.TimedOut++
	}
	r.sendHeld(copies)
	undo()
	r.sendHeld(copies)
	r.waitUntil(time.Duration(200+r.rng.IntN(600))*time.Millisecond, func() bool { return false })
	r.heal()
}

// holdsAnnouncementOf reports whether some link holds an announcement with the owner's current
// token.
func (r *Rig) holdsAnnouncementOf(o *proc) bool {
	for _, l := range r.links {
		if len(l.held) > 0 && l.held[len(l.held)-1].id.Token == o.ownedTokens[duty] {
			return true
		}
	}
	return false
}

// injectSecondFault may inject a fault into a second process. At most one further keeper is
// affected, and only while a majority of keepers remains.
func (r *Rig) injectSecondFault(firstVictim *proc) {
	p := r.procs[r.rng.IntN(len(r.procs))]
	affectedKeepers := 0
	for _, q := range []*proc{p, firstVictim} {
		if q.index < r.options.Keepers {
			affectedKeepers++
		}
	}
	if p == firstVictim || affectedKeepers > r.options.Keepers/2 {
		return
	}
	switch d := r.rng.Float64(); {
	case d < 0.4:
		r.Counts.Stops++
		p.stop()
	case d < 0.7:
		r.Counts.Kills++
		p.kill()
	}
}

// heal ends all faults and restarts the processes that were killed.
func (r *Rig) heal() {
	for _, l := range r.links {
		l.dropInbound, l.dropOutbound = false, false
	}
	for _, p := range r.procs {
		p.resume()
		if err := r.start(p); err != nil {
			r.fail(err)
		}
	}
}

// MassKillResult holds the measurements of a mass kill. The processes agree when all live ones have
// an announcement with the token of one owner.
type MassKillResult struct {
	Processes, Killed                 int
	StartConvergence, KillConvergence time.Duration // from the start or the kill until all agreed
	Datagrams                         int           // per process and second, without faults
	MemoryKB                          int           // resident memory per live process, in KB
	// CPU is in thousandths of a core per process, without faults.
	CPU float64
}

// String returns the closing line of a mass kill.
func (m MassKillResult) String() string {
	return fmt.Sprintf("%d processes agreed %v after the start; %d were killed, and all agreed again after %v; in calm %d datagrams "+
		"a second, %d KB resident and %.1f thousandths of a core for each", m.Processes, m.StartConvergence.Round(10*time.Millisecond), m.Killed,
		m.KillConvergence.Round(10*time.Millisecond), m.Datagrams, m.MemoryKB, m.CPU)
}

// MassKill starts all processes, waits until they agree on an owner, kills a share of them at once,
// restarts each of these 0.7 s later and waits until all agree again.
func (r *Rig) MassKill(share float64, timeout time.Duration) (MassKillResult, error) {
	r.lossless = true
	m := MassKillResult{Processes: len(r.procs)}
	begin := time.Now()
	if err := r.StartAll(); err != nil {
		return m, err
	}
	r.changeList(500 * time.Millisecond)
	if !r.waitUntil(timeout, r.agreed) {
		return m, r.firstError(fmt.Errorf("rig: processes did not agree on an owner within %v of the start", timeout))
	}
	m.StartConvergence = time.Since(begin)
	// This lets the announcements of the start spread.
	r.waitUntil(20*time.Second, func() bool { return false })
	before, ticks := r.Counts.Datagrams, r.cpuTicks()
	r.waitUntil(5*time.Second, func() bool { return false })
	m.CPU = float64(r.cpuTicks()-ticks) * 10 / 5 / float64(len(r.procs)) // a tick is 10 ms
	m.Datagrams = (r.Counts.Datagrams - before) / 5 / len(r.procs)
	m.MemoryKB = r.residentKB() / len(r.procs)
	begin = time.Now()
	for _, p := range r.procs {
		if r.rng.Float64() < share {
			m.Killed++
			r.Counts.Kills++
			p.kill()
			p.lastToken = 0
			r.after(700*time.Millisecond, func() {
				if err := r.start(p); err != nil {
					r.fail(err)
				}
			})
		}
	}
	r.waitUntil(time.Second, func() bool { return false })
	if !r.waitUntil(timeout, r.agreed) {
		return m, r.firstError(fmt.Errorf("rig: processes did not agree on an owner within %v of the kill", timeout))
	}
	m.KillConvergence = time.Since(begin)
	return m, r.failed
}

// firstError returns the error that already failed the run, or else err.
func (r *Rig) firstError(err error) error {
	if r.failed != nil {
		return r.failed
	}
	return err
}

// agreed reports whether there is an owner and all processes run and have an announcement with its
// token.
func (r *Rig) agreed() bool {
	o := r.owner()
	if o == nil {
		return false
	}
	for _, p := range r.procs {
		if p.cmd == nil || p != o && p.lastToken != o.ownedTokens[duty] {
			return false
		}
	}
	return true
}

// residentKB returns the total resident memory of the live processes, in KB.
func (r *Rig) residentKB() int {
	totalKB := 0
	for _, p := range r.procs {
		if p.cmd == nil {
			continue
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			var kb int
			if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
				totalKB += kb
			}
		}
	}
	return totalKB
}

// cpuTicks returns the total processor time of the live processes, in hundredths of a second.
func (r *Rig) cpuTicks() int {
	totalTicks := 0
	for _, p := range r.procs {
		if p.cmd == nil {
			continue
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text))
		for _, i := range []int{13, 14} { // utime and stime, see proc(5); the name has no space
			n := 0
			if i < len(fields) {
				if _, err := fmt.Sscan(fields[i], &n); err == nil {
					totalTicks += n
				}
			}
		}
	}
	return totalTicks
}
