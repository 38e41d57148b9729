package owners

import (
	"testing"
	"time"

	"ospreyspan/internal/vnet"
)

// newFaultlessRun starts a fleet without random faults, for tests that inject specific ones.
func newFaultlessRun(t *testing.T, members, keepers int) *run {
	t.Helper()
	r := &run{o: Options{Members: members, Keepers: keepers, NoFaults: true, SettleDuration: time.Minute}, lostDisks: make(map[int]bool), terms: leaseTerms}
	r.world = vnet.New(1, func(_, _ *vnet.Host) vnet.Link {
		return vnet.Link{Delay: time.Millisecond, Jitter: 3 * time.Millisecond}
	})
	r.faultRNG, r.sessionRNG = r.world.Rand("faults"), r.world.Rand("sessions")
	r.judge = newJudge(r.world.Fail)
	if err := r.addMembers(); err != nil {
		t.Fatal(err)
	}
	r.mustAdvance(t, 5*time.Second)
	return r
}

func (r *run) mustAdvance(t *testing.T, d time.Duration) {
	t.Helper()
	if err := r.advance(d); err != nil {
		t.Fatal(err)
	}
}

func (r *run) owner() *member {
	for _, m := range r.members {
		if m.node != nil && m.host.Running() {
			if _, ok := m.node.HoldsAt(m.host.ClockNow(), duties[0]); ok {
				return m
			}
		}
	}
	return nil
}

// Three successive owners are each stalled between the check of their lease and the send, and wake
// up in reverse order: everything that they send is refused.
func TestChainOfOwnersWakesUpInReverse(t *testing.T) {
	r := newFaultlessRun(t, 9, 5)
	begin, late := r.world.Elapsed(), 40*time.Second
	var chain []*member
	for i := range 3 {
		o := r.owner()
		for n := 0; o == nil && n < 500; n++ {
			r.mustAdvance(t, 10*time.Millisecond)
			o = r.owner()
		}
		if o == nil {
			t.Fatalf("no owner %d", i+1)
		}
		chain = append(chain, o)
		// The first owner wakes up last.
		o.host.StallBeforeNextSend(begin + late - time.Duration(i)*5*time.Second - r.world.Elapsed())
		if _, err := o.node.Announce(duties[0], []byte("late")); err != nil {
			t.Fatal(err)
		}
		r.mustAdvance(t, leaseTerms.Lease*3)
	}
	before := 0
	for _, m := range r.members {
		before += int(m.node.Counters.AnnouncementsStale)
	}
	r.mustAdvance(t, begin+late+5*time.Second-r.world.Elapsed())
	refused := -before
	for _, m := range r.members {
		refused += int(m.node.Counters.AnnouncementsStale)
	}
	if refused < 3 || chain[0] == chain[1] || chain[1] == chain[2] {
		t.Errorf("%d announcements of the three owners were refused, want at least 3", refused)
	}
	r.checkSettled()
	r.mustAdvance(t, 0)
}

// All keepers are down for a minute: owners stop within the duration of a lease, and duties are
// granted again once the keepers are back.
func TestAllKeepersGoneForAMinute(t *testing.T) {
	r := newFaultlessRun(t, 8, 3)
	for _, m := range r.members {
		if m.keeper {
			m.kill()
		}
	}
	r.mustAdvance(t, leaseTerms.Lease)
	if o := r.owner(); o != nil {
		t.Errorf("%s still owns the duty one lease after the last keeper was killed", o.host.Name())
	}
	r.mustAdvance(t, time.Minute)
	for _, m := range r.members {
		m.start()
	}
	r.mustAdvance(t, 15*time.Second)
	if r.owner() == nil {
		t.Error("no owner 15 s after the keepers came back")
	}
	r.checkSettled()
	r.mustAdvance(t, 0)
}

// Two of three keepers are lost for good: no lease is granted any more, and no event loop spins
// while it waits for one.
func TestTwoOfThreeKeepersGoneForGood(t *testing.T) {
	r := newFaultlessRun(t, 6, 3)
	gone := 0
	for _, m := range r.members {
		if m.keeper && gone < 2 {
			gone++
			m.kill()
			m.host.Disk("keeper").SetContents(nil)
			m.start()
		}
	}
	r.mustAdvance(t, 2*leaseTerms.Lease)
	granted, events := r.judge.granted[duties[0]], r.world.Events()
	r.mustAdvance(t, time.Minute)
	if r.owner() != nil || r.judge.granted[duties[0]] != granted {
		t.Errorf("a duty was granted by one keeper of three")
	}
	if perS := float64(r.world.Events()-events) / 60 / 6; perS > 200 {
		t.Errorf("%.0f events a second at each process", perS)
	}
}

// An owner that can send but not receive, then one that can receive but not send, loses its duty to
// another member within about two leases.
func TestOwnersWithOneWayPartition(t *testing.T) {
	for _, cannotReceive := range []bool{true, false} {
		r := newFaultlessRun(t, 7, 3)
		o := r.owner()
		var others []*vnet.Host
		for _, m := range r.members {
			if m != o {
				others = append(others, m.host)
			}
		}
		one := []*vnet.Host{o.host}
		if cannotReceive {
			r.world.CutOneWay(others, one)
		} else {
			r.world.CutOneWay(one, others)
		}
		r.mustAdvance(t, 6*leaseTerms.Lease)
		if now := r.owner(); now == nil || now == o {
			t.Errorf("cannot receive %v: the duty has no other owner", cannotReceive)
		}
	}
}

// The fleet is split into three parts, none with a majority of the keepers: no duty has an owner
// until the partitions heal.
func TestThreePartitionsWithoutMajority(t *testing.T) {
	r := newFaultlessRun(t, 9, 3)
	var parts [3][]*vnet.Host
	for i, m := range r.members {
		parts[i%3] = append(parts[i%3], m.host)
	}
	var cuts []*vnet.Partition
	for i := range 3 {
		for k := i + 1; k < 3; k++ {
			cuts = append(cuts, r.world.Cut(parts[i], parts[k]))
		}
	}
	r.mustAdvance(t, 2*leaseTerms.Lease)
	granted := r.judge.granted[duties[0]]
	r.mustAdvance(t, 20*time.Second)
	if r.owner() != nil || r.judge.granted[duties[0]] != granted {
		t.Error("a duty has an owner although no partition has a majority of the keepers")
	}
	for _, c := range cuts {
		c.Heal()
	}
	r.mustAdvance(t, 20*time.Second)
	r.checkSettled()
	r.mustAdvance(t, 0)
}

// The clock of the keepers' leader jumps 10 s ahead: its grants end early, and two processes may
// hold a duty at once by their own clocks. Effects are fenced nevertheless, which the judge checks
// throughout.
func TestLeadersClockJumps(t *testing.T) {
	r := newFaultlessRun(t, 7, 3)
	r.judge.clockJumped = true
	for range 6 {
		for _, m := range r.members {
			if m.node.Keeper() != nil && m.node.Keeper().Leading() {
				m.host.ClockJump(10 * time.Second)
			}
		}
		r.mustAdvance(t, 3*time.Second)
	}
	if r.judge.HandOvers == 0 {
		t.Error("no grant ended early: the clock jump had no effect")
	}
	r.checkSettled()
	r.mustAdvance(t, 0)
}

// The leader's disk refuses writes for a while and then accepts them again: the other keepers go on
// without the leader meanwhile, and afterwards it takes part again without a restart of its
// process.
func TestDiskRefusesForAWhile(t *testing.T) {
	r := newFaultlessRun(t, 7, 3)
	var x *member
	for _, m := range r.members {
		if m.node.Keeper() != nil && m.node.Keeper().Leading() {
			x = m
		}
	}
	d := x.host.Disk("keeper")
	f := d.Faults()
	f.WritesBlocked = true
	d.SetFaults(f)
	r.mustAdvance(t, 10*time.Second)
	if x.node.Keeper().Stopped() != nil || x.node.Keeper().Leading() || r.owner() == nil {
		t.Fatalf("keeper whose disk refuses writes: stopped %v, leading %v; owner %v", x.node.Keeper().Stopped(), x.node.Keeper().Leading(), r.owner())
	}
	before := x.node.Keeper().State().Applied
	f.WritesBlocked = false
	d.SetFaults(f)
	r.mustAdvance(t, 10*time.Second)
	if k := x.node.Keeper(); k.Stopped() != nil || k.Leader() == 0 || k.State().Applied <= before {
		t.Errorf("the keeper does not take part again: stopped %v, leader %d, applied %d, %d before", k.Stopped(), k.Leader(), k.State().Applied, before)
	}
	r.checkSettled()
	r.mustAdvance(t, 0)
}

// The disk of the leading keeper is full: the keeper stops, the others go on without it, and it
// takes part again after a restart once there is room.
func TestFullDisk(t *testing.T) {
	r := newFaultlessRun(t, 7, 3)
	var x *member
	for _, m := range r.members {
		if m.node.Keeper() != nil && m.node.Keeper().Leading() {
			x = m
		}
	}
	d := x.host.Disk("keeper")
	f := d.Faults()
	f.Capacity = len(d.Contents()) + 100
	d.SetFaults(f)
	r.mustAdvance(t, 10*time.Second)
	if x.node.Keeper().Stopped() == nil || r.owner() == nil {
		t.Fatalf("keeper with a full disk: stopped %v; owner %v", x.node.Keeper().Stopped(), r.owner())
	}
	f.Capacity = 0
	d.SetFaults(f)
	x.kill()
	x.keeperLost = false
	x.start()
	r.mustAdvance(t, 10*time.Second)
	if k := x.node.Keeper(); k == nil || k.Stopped() != nil || k.Leader() == 0 {
		t.Error("the keeper does not take part again after its restart")
	}
	r.checkSettled()
	r.mustAdvance(t, 0)
}
