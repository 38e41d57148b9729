package owners

import (
	"testing"
	"time"

	"ospreyspan/internal/vnet"
)

// hard is a fleet without drawn faults: a test makes its own.
func hard(t *testing.T, members, keepers int) *run {
	t.Helper()
	r := &run{o: Options{Members: members, Keepers: keepers, NoFaults: true, Quiet: time.Minute}, lost: make(map[int]bool), terms: terms}
	r.world = vnet.New(1, func(_, _ *vnet.Host) vnet.Link {
		return vnet.Link{Delay: time.Millisecond, Jitter: 3 * time.Millisecond}
	})
	r.rng, r.ids = r.world.Rand("faults"), r.world.Rand("sessions")
	r.judge = newJudge(r.world.Fail)
	if err := r.build(); err != nil {
		t.Fatal(err)
	}
	r.must(t, 5*time.Second)
	return r
}

func (r *run) must(t *testing.T, d time.Duration) {
	t.Helper()
	if err := r.play(d); err != nil {
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

// A chain of three owners, each stopped between its look at the lease and its send, that wake up in the reverse order: all
// that they send is refused.
func TestChainOfOwnersWakesUpInReverse(t *testing.T) {
	r := hard(t, 9, 5)
	begin, late := r.world.Elapsed(), 40*time.Second
	var chain []*member
	for i := range 3 {
		o := r.owner()
		for n := 0; o == nil && n < 500; n++ {
			r.must(t, 10*time.Millisecond)
			o = r.owner()
		}
		if o == nil {
			t.Fatalf("no owner %d", i+1)
		}
		chain = append(chain, o)
		// The first wakes up last.
		o.host.StallBeforeNextSend(begin + late - time.Duration(i)*5*time.Second - r.world.Elapsed())
		if _, err := o.node.Announce(duties[0], []byte("late")); err != nil {
			t.Fatal(err)
		}
		r.must(t, terms.Lease*3)
	}
	before := 0
	for _, m := range r.members {
		before += int(m.node.Counters.AnnouncementsStale)
	}
	r.must(t, begin+late+5*time.Second-r.world.Elapsed())
	refused := -before
	for _, m := range r.members {
		refused += int(m.node.Counters.AnnouncementsStale)
	}
	if refused < 3 || chain[0] == chain[1] || chain[1] == chain[2] {
		t.Errorf("%d words of the chain were refused", refused)
	}
	r.settled()
	r.must(t, 0)
}

// All keepers are gone for a minute: owners stop within a lease, and work goes on once the keepers are back.
func TestAllKeepersGoneForAMinute(t *testing.T) {
	r := hard(t, 8, 3)
	for _, m := range r.members {
		if m.keeper {
			m.kill()
		}
	}
	r.must(t, terms.Lease)
	if o := r.owner(); o != nil {
		t.Errorf("%s owns the duty, a lease after the last keeper went", o.host.Name())
	}
	r.must(t, time.Minute)
	for _, m := range r.members {
		m.start()
	}
	r.must(t, 15*time.Second)
	if r.owner() == nil {
		t.Error("no owner 15 s after the keepers came back")
	}
	r.settled()
	r.must(t, 0)
}

// Two of three keepers are gone for good: nobody is granted anything any more, and no loop waits for it.
func TestTwoOfThreeKeepersGoneForGood(t *testing.T) {
	r := hard(t, 6, 3)
	gone := 0
	for _, m := range r.members {
		if m.keeper && gone < 2 {
			gone++
			m.kill()
			m.host.Disk("keeper").SetContents(nil)
			m.start()
		}
	}
	r.must(t, 2*terms.Lease)
	granted, events := r.judge.granted[duties[0]], r.world.Events()
	r.must(t, time.Minute)
	if r.owner() != nil || r.judge.granted[duties[0]] != granted {
		t.Errorf("a duty was granted by one keeper of three")
	}
	if perS := float64(r.world.Events()-events) / 60 / 6; perS > 200 {
		t.Errorf("%.0f events a second at each process", perS)
	}
}

// An owner that can send but not hear, then one that can hear but not send, loses its duty to another within two leases or so.
func TestDeafAndMuteOwners(t *testing.T) {
	for _, deaf := range []bool{true, false} {
		r := hard(t, 7, 3)
		o := r.owner()
		var others []*vnet.Host
		for _, m := range r.members {
			if m != o {
				others = append(others, m.host)
			}
		}
		one := []*vnet.Host{o.host}
		if deaf {
			r.world.CutOneWay(others, one)
		} else {
			r.world.CutOneWay(one, others)
		}
		r.must(t, 6*terms.Lease)
		if now := r.owner(); now == nil || now == o {
			t.Errorf("deaf %v: the duty is not with another one", deaf)
		}
	}
}

// Three parts, none with a majority of the keepers: nobody owns anything until they meet again.
func TestThreePartsWithoutMajority(t *testing.T) {
	r := hard(t, 9, 3)
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
	r.must(t, 2*terms.Lease)
	granted := r.judge.granted[duties[0]]
	r.must(t, 20*time.Second)
	if r.owner() != nil || r.judge.granted[duties[0]] != granted {
		t.Error("a part without a majority has an owner")
	}
	for _, c := range cuts {
		c.Heal()
	}
	r.must(t, 20*time.Second)
	r.settled()
	r.must(t, 0)
}

// A clock that jumps 10 s ahead, at the keepers' leader: its grants end early, and two may hold a duty by their own clocks;
// effects are fenced all the same, which the judge checks throughout.
func TestLeadersClockJumps(t *testing.T) {
	r := hard(t, 7, 3)
	r.judge.jumped = true
	for range 6 {
		for _, m := range r.members {
			if m.node.Keeper() != nil && m.node.Keeper().Leading() {
				m.host.ClockJump(10 * time.Second)
			}
		}
		r.must(t, 3*time.Second)
	}
	if r.judge.HandOvers == 0 {
		t.Error("no grant ended early: the jump did not bite")
	}
	r.settled()
	r.must(t, 0)
}

// The leader's disk refuses for a while and bears again: the others go on without it meanwhile, and it takes part again as the same
// process.
func TestDiskRefusesForAWhile(t *testing.T) {
	r := hard(t, 7, 3)
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
	r.must(t, 10*time.Second)
	if x.node.Keeper().Stopped() != nil || x.node.Keeper().Leading() || r.owner() == nil {
		t.Fatalf("the keeper whose disk refuses: ended %v, leads %v; owner %v", x.node.Keeper().Stopped(), x.node.Keeper().Leading(), r.owner())
	}
	before := x.node.Keeper().State().Applied
	f.WritesBlocked = false
	d.SetFaults(f)
	r.must(t, 10*time.Second)
	if k := x.node.Keeper(); k.Stopped() != nil || k.Leader() == 0 || k.State().Applied <= before {
		t.Errorf("it does not take part again: ended %v, leader %d, applied %d, %d before", k.Stopped(), k.Leader(), k.State().Applied, before)
	}
	r.settled()
	r.must(t, 0)
}

// A keeper's disk is full, at the leader: it ends, the others go on without it, and it comes back once there is room.
func TestFullDisk(t *testing.T) {
	r := hard(t, 7, 3)
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
	r.must(t, 10*time.Second)
	if x.node.Keeper().Stopped() == nil || r.owner() == nil {
		t.Fatalf("the keeper with a full disk: %v; owner %v", x.node.Keeper().Stopped(), r.owner())
	}
	f.Capacity = 0
	d.SetFaults(f)
	x.kill()
	x.lost = false
	x.start()
	r.must(t, 10*time.Second)
	if k := x.node.Keeper(); k == nil || k.Stopped() != nil || k.Leader() == 0 {
		t.Error("it does not come back")
	}
	r.settled()
	r.must(t, 0)
}
