package owners

import (
	"slices"
	"time"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/vnet"
)

// drawFault draws whether a fault happens now. The random number is drawn in any case, so that
// leaving out one kind of fault does not change the others.
func (r *run) drawFault(fault string, part float64) bool {
	hit := r.faultRNG.Float64() < part
	if r.faultsOver || r.o.NoFaults || len(r.o.OnlyFaults) > 0 && !slices.Contains(r.o.OnlyFaults, fault) {
		return false
	}
	return hit
}

// datagramFate draws what the network does to a datagram in addition to the delay and loss of its
// link.
func (r *run) datagramFate(from, to *vnet.Host, size int) vnet.DatagramFault {
	var f vnet.DatagramFault
	switch d := r.faultRNG.Float64(); {
	case r.faultsOver || r.o.NoFaults:
	case d < 0.002*r.lateFactor:
		f.Delay = time.Duration(r.faultRNG.IntN(30000)) * time.Millisecond
		r.judge.Late++
	case d < 0.01*r.lateFactor:
		f.Delay = time.Duration(r.faultRNG.IntN(1500)) * time.Millisecond
		r.judge.Late++
	case d < 0.02*r.lateFactor:
		f.Duplicates = []time.Duration{time.Duration(r.faultRNG.IntN(8000)) * time.Millisecond}
		r.judge.Repeated++
	case d < 0.03*r.lateFactor:
		f.Drop = true
		r.judge.Dropped++
	}
	return f
}

// scheduleFaults schedules the faults of the run.
func (r *run) scheduleFaults() {
	r.lateFactor = 3 * r.faultRNG.Float64()
	for at := 3 * time.Second; at < r.o.FaultDuration; at += time.Duration(300+r.faultRNG.IntN(1500)) * time.Millisecond {
		r.world.After(at, r.injectFault)
	}
	for _, m := range r.members {
		if m.keeper {
			// Kills a leader between its own sync and those of its followers.
			m.host.Disk("keeper").OnWritten(func() {
				if m.node != nil && m.node.Keeper() != nil && m.node.Keeper().Leading() && r.drawFault("leader-kill", 0.002) {
					r.judge.LeaderKills++
					r.restart(m, time.Duration(200+r.faultRNG.IntN(3000))*time.Millisecond)
				}
			})
		}
	}
	r.world.After(r.o.FaultDuration-time.Millisecond, func() { r.faultsOver = true })
}

func (r *run) randomMember() *member { return r.members[r.faultRNG.IntN(len(r.members))] }

func (r *run) restart(m *member, after time.Duration) {
	m.kill()
	r.world.After(after, m.start)
}

func (r *run) injectFault() {
	m := r.randomMember()
	span := time.Duration(200+r.faultRNG.IntN(5000)) * time.Millisecond
	long := span
	if r.o.MaxPartition > 0 {
		long = span * time.Duration(r.o.MaxPartition/time.Millisecond) / 5200
	}
	pick := r.faultRNG.Float64()
	switch {
	case pick < 0.25 && r.drawFault("stall", 1):
		r.judge.Stalls++
		m.host.Stall(span)
	case pick < 0.50 && r.drawFault("kill", 1):
		r.judge.Kills++
		if m.keeper && m.host.Running() {
			r.judge.Torn++
		}
		r.restart(m, span)
	case pick < 0.62 && r.drawFault("cut", 1):
		r.judge.Cuts++
		r.partition(long, 2)
	case pick < 0.70 && r.drawFault("thirds", 1):
		r.judge.Thirds++
		r.partition(long, 3)
	case pick < 0.82 && r.drawFault("one-way", 1):
		r.judge.CutsOneWay++
		r.partitionOneWay(m, span)
	case pick < 0.85 && r.drawFault("mass-kill", 1):
		r.judge.MassKills++
		for _, m := range r.members {
			if r.faultRNG.Float64() < 0.7 {
				r.restart(m, time.Duration(100+r.faultRNG.IntN(3000))*time.Millisecond)
			}
		}
	case pick < 0.87 && r.drawFault("wipe", 1):
		r.loseDisk(m, span)
	case pick < 0.89 && r.drawFault("sync", 1):
		if m.keeper && len(r.lostDisks) == 0 && m.host.Running() {
			r.judge.SyncFails++
			r.lostDisks[m.index] = true
			f := m.host.Disk("keeper").Faults()
			f.FailSync = true
			m.host.Disk("keeper").SetFaults(f)
		}
	case pick < 0.91 && r.drawFault("clock", 0.4):
		r.judge.ClockJumps++
		r.judge.clockJumped = true
		m.host.ClockJump(10 * time.Second)
		if r.extension != nil {
			r.extension.ClockJumped(m.index)
		}
	default:
		// Stalls the owner of the first duty: the other faults pick any member and would often
		// miss it.
		for _, o := range r.members {
			if o.node != nil && o.host.Running() {
				if _, ok := o.node.HoldsAt(o.host.ClockNow(), duties[0]); ok && r.drawFault("stall", 1) {
					r.judge.Stalls++
					o.host.Stall(leaseTerms.Lease + span)
					return
				}
			}
		}
	}
}

// partition divides the members into two or three groups that do not receive from each other for
// half of span. One partition in three occurs four times, span apart.
func (r *run) partition(span time.Duration, parts int) {
	groups := make([][]*vnet.Host, parts)
	for _, m := range r.members {
		i := r.faultRNG.IntN(parts)
		groups[i] = append(groups[i], m.host)
	}
	flaps := 1
	if r.faultRNG.IntN(3) == 0 {
		flaps = 4
	}
	for f := range flaps {
		r.world.After(span*time.Duration(f), func() {
			if r.faultsOver {
				return
			}
			for i := range groups {
				for k := i + 1; k < parts; k++ {
					c := r.world.Cut(groups[i], groups[k])
					r.partitions = append(r.partitions, c)
					r.world.After(span/2, c.Heal)
				}
			}
		})
	}
}

// partitionOneWay makes one process unable to receive, or unable to send.
func (r *run) partitionOneWay(m *member, span time.Duration) {
	var others []*vnet.Host
	for _, o := range r.members {
		if o != m {
			others = append(others, o.host)
		}
	}
	one := []*vnet.Host{m.host}
	c := r.world.CutOneWay(others, one)
	if r.faultRNG.IntN(2) == 0 {
		c.Heal()
		c = r.world.CutOneWay(one, others)
	}
	r.partitions = append(r.partitions, c)
	r.world.After(span, c.Heal)
}

// loseDisk loses the disk of a keeper, at most once in a run. The keeper restarts with an empty
// disk, or with one that was initialized as if for a new fleet.
func (r *run) loseDisk(m *member, span time.Duration) {
	if !m.keeper || len(r.lostDisks) > 0 {
		return
	}
	r.judge.Wipes++
	r.lostDisks[m.index] = true
	m.kill()
	var text []byte
	if r.faultRNG.IntN(2) == 0 {
		text = initialDisk(r)
	}
	m.host.Disk("keeper").SetContents(text)
	r.world.After(span, m.start)
}

// endFaults ends all faults and starts all processes that are not running.
func (r *run) endFaults() {
	r.faultsOver = true
	if r.extension != nil {
		r.extension.FaultsEnded()
	}
	for _, c := range r.partitions {
		c.Heal()
	}
	for _, m := range r.members {
		m.start()
	}
}

func initialDisk(r *run) []byte { return keeper.InitialRecord(r.sessionRNG.Uint64() | 1) }
