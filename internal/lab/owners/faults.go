package owners

import (
	"slices"
	"time"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/vnet"
)

// hits draws whether a fault happens now. The draw is made in any case, so that leaving a fault out does not shift others.
func (r *run) hits(fault string, part float64) bool {
	hit := r.rng.Float64() < part
	if r.over || r.o.NoFaults || len(r.o.Only) > 0 && !slices.Contains(r.o.Only, fault) {
		return false
	}
	return hit
}

// fate is what the network does to a datagram beside its links' delay and loss.
func (r *run) fate(from, to *vnet.Host, size int) vnet.DatagramFault {
	var f vnet.DatagramFault
	switch d := r.rng.Float64(); {
	case r.over || r.o.NoFaults:
	case d < 0.002*r.late:
		f.Delay = time.Duration(r.rng.IntN(30000)) * time.Millisecond
		r.judge.Late++
	case d < 0.01*r.late:
		f.Delay = time.Duration(r.rng.IntN(1500)) * time.Millisecond
		r.judge.Late++
	case d < 0.02*r.late:
		f.Duplicates = []time.Duration{time.Duration(r.rng.IntN(8000)) * time.Millisecond}
		r.judge.Repeated++
	case d < 0.03*r.late:
		f.Drop = true
		r.judge.Dropped++
	}
	return f
}

// faults plans what goes wrong.
func (r *run) faults() {
	r.late = 3 * r.rng.Float64()
	for at := 3 * time.Second; at < r.o.Trouble; at += time.Duration(300+r.rng.IntN(1500)) * time.Millisecond {
		r.world.After(at, r.fault)
	}
	for _, m := range r.members {
		if m.keeper {
			// A leader killed between its own sync and its followers'.
			m.host.Disk("keeper").OnWritten(func() {
				if m.node != nil && m.node.Keeper() != nil && m.node.Keeper().Leading() && r.hits("leader-kill", 0.002) {
					r.judge.LeaderKills++
					r.restart(m, time.Duration(200+r.rng.IntN(3000))*time.Millisecond)
				}
			})
		}
	}
	r.world.After(r.o.Trouble-time.Millisecond, func() { r.over = true })
}

func (r *run) any() *member { return r.members[r.rng.IntN(len(r.members))] }

func (r *run) restart(m *member, after time.Duration) {
	m.kill()
	r.world.After(after, m.start)
}

func (r *run) fault() {
	m := r.any()
	span := time.Duration(200+r.rng.IntN(5000)) * time.Millisecond
	long := span
	if r.o.Span > 0 {
		long = span * time.Duration(r.o.Span/time.Millisecond) / 5200
	}
	pick := r.rng.Float64()
	switch {
	case pick < 0.25 && r.hits("stall", 1):
		r.judge.Stalls++
		m.host.Stall(span)
	case pick < 0.50 && r.hits("kill", 1):
		r.judge.Kills++
		if m.keeper && m.host.Running() {
			r.judge.Torn++
		}
		r.restart(m, span)
	case pick < 0.62 && r.hits("cut", 1):
		r.judge.Cuts++
		r.cut(long, 2)
	case pick < 0.70 && r.hits("thirds", 1):
		r.judge.Thirds++
		r.cut(long, 3)
	case pick < 0.82 && r.hits("one-way", 1):
		r.judge.CutsOneWay++
		r.oneWay(m, span)
	case pick < 0.85 && r.hits("mass-kill", 1):
		r.judge.MassKills++
		for _, m := range r.members {
			if r.rng.Float64() < 0.7 {
				r.restart(m, time.Duration(100+r.rng.IntN(3000))*time.Millisecond)
			}
		}
	case pick < 0.87 && r.hits("wipe", 1):
		r.wipe(m, span)
	case pick < 0.89 && r.hits("sync", 1):
		if m.keeper && len(r.lost) == 0 && m.host.Running() {
			r.judge.SyncFails++
			r.lost[m.index] = true
			f := m.host.Disk("keeper").Faults()
			f.FailSync = true
			m.host.Disk("keeper").SetFaults(f)
		}
	case pick < 0.91 && r.hits("clock", 0.4):
		r.judge.ClockJumps++
		r.judge.jumped = true
		m.host.ClockJump(10 * time.Second)
		if r.guest != nil {
			r.guest.Jumped(m.index)
		}
	default:
		// An owner is stopped, or killed, whichever it is: the rest would often miss it.
		for _, o := range r.members {
			if o.node != nil && o.host.Running() {
				if _, ok := o.node.HoldsAt(o.host.ClockNow(), duties[0]); ok && r.hits("stall", 1) {
					r.judge.Stalls++
					o.host.Stall(terms.Lease + span)
					return
				}
			}
		}
	}
}

// cut parts the fleet in two or three that don't hear each other; some of the cuts flap.
func (r *run) cut(span time.Duration, parts int) {
	groups := make([][]*vnet.Host, parts)
	for _, m := range r.members {
		i := r.rng.IntN(parts)
		groups[i] = append(groups[i], m.host)
	}
	flaps := 1
	if r.rng.IntN(3) == 0 {
		flaps = 4
	}
	for f := range flaps {
		r.world.After(span*time.Duration(f), func() {
			if r.over {
				return
			}
			for i := range groups {
				for k := i + 1; k < parts; k++ {
					c := r.world.Cut(groups[i], groups[k])
					r.cuts = append(r.cuts, c)
					r.world.After(span/2, c.Heal)
				}
			}
		})
	}
}

// oneWay has one process send but not hear, or hear but not send.
func (r *run) oneWay(m *member, span time.Duration) {
	var others []*vnet.Host
	for _, o := range r.members {
		if o != m {
			others = append(others, o.host)
		}
	}
	one := []*vnet.Host{m.host}
	c := r.world.CutOneWay(others, one)
	if r.rng.IntN(2) == 0 {
		c.Heal()
		c = r.world.CutOneWay(one, others)
	}
	r.cuts = append(r.cuts, c)
	r.world.After(span, c.Heal)
}

// wipe loses a keeper's disk, one in a run: it comes back empty, or set up anew as if it were a new fleet's.
func (r *run) wipe(m *member, span time.Duration) {
	if !m.keeper || len(r.lost) > 0 {
		return
	}
	r.judge.Wipes++
	r.lost[m.index] = true
	m.kill()
	var text []byte
	if r.rng.IntN(2) == 0 {
		text = freshDisk(r)
	}
	m.host.Disk("keeper").SetContents(text)
	r.world.After(span, m.start)
}

// heal ends all faults and starts all that does not run.
func (r *run) heal() {
	r.over = true
	if r.guest != nil {
		r.guest.Healed()
	}
	for _, c := range r.cuts {
		c.Heal()
	}
	for _, m := range r.members {
		m.start()
	}
}

func freshDisk(r *run) []byte { return keeper.InitialRecord(r.ids.Uint64() | 1) }
