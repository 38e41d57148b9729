package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testNetwork connects Peers directly: packets arrive at once unless drop returns true for them.
type testNetwork struct {
	now    time.Time
	nodes  []*Peers
	drop   func(from, to int) bool
	events []Event
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

func newTestNetwork(n int) *testNetwork {
	w := &testNetwork{now: time.Unix(1e9, 0)}
	for i := range n {
		w.start(i, uint64(1000+i), fmt.Sprintf("p%d", i))
	}
	return w
}

func (w *testNetwork) start(i int, session uint64, name string) {
	c := DefaultConfig()
	c.Name, c.Addr, c.Session, c.Seeds, c.Seed = name, addr(i), session, []netip.AddrPort{addr(0), addr(1)}, 1
	if i < len(w.nodes) {
		w.nodes[i] = New(w.now, c)
		return
	}
	w.nodes = append(w.nodes, New(w.now, c))
}

func (w *testNetwork) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		for i, p := range w.nodes {
			if p != nil && !w.now.Before(p.Due()) {
				p.Tick(w.now)
			}
			w.deliver(i)
		}
	}
}

func (w *testNetwork) deliver(i int) {
	if w.nodes[i] == nil {
		return
	}
	sends, events := w.nodes[i].Take()
	w.events = append(w.events, events...)
	for _, s := range sends {
		for j := range w.nodes {
			if addr(j) == s.To && w.nodes[j] != nil && (w.drop == nil || !w.drop(i, j)) {
				w.nodes[j].Handle(w.now, addr(i), &s.Packet)
				w.deliver(j)
			}
		}
	}
}

func (w *testNetwork) expectMemberCount(t *testing.T, want int) {
	t.Helper()
	for i, p := range w.nodes {
		if p != nil && len(p.Members()) != want {
			t.Errorf("p%d knows %d members, want %d", i, len(p.Members()), want)
		}
	}
}

// 300 processes join within a second, and 70 % of them are killed at the same time later. The
// others must agree on the remaining members.
func TestMassKill(t *testing.T) {
	w := newTestNetwork(300)
	w.run(8 * time.Second)
	w.expectMemberCount(t, 300)
	for i := range w.nodes {
		if i%10 < 7 {
			w.nodes[i] = nil
		}
	}
	w.run(90 * time.Second)
	w.expectMemberCount(t, 90)
}

// A process that restarts is a new member of the same name. The member from before the restart is
// declared dead at the next ping of its address, and no name conflict is reported.
func TestRestart(t *testing.T) {
	w := newTestNetwork(8)
	w.run(5 * time.Second)
	w.start(3, 77, "p3")
	w.run(6 * time.Second)
	w.expectMemberCount(t, 8)
	for _, e := range w.events {
		if e.NameConflict {
			t.Errorf("restart reported as a name conflict: %+v", e)
		}
	}
}

// Two live processes of the same name are separate members, and the name conflict is reported.
func TestNameConflict(t *testing.T) {
	w := newTestNetwork(5)
	w.run(3 * time.Second)
	w.start(5, 99, "p3")
	w.run(3 * time.Second)
	w.expectMemberCount(t, 6)
	conflicts := 0
	for _, e := range w.events {
		if e.NameConflict && e.Member.Session == 99 {
			conflicts++
		}
	}
	if conflicts < 4 {
		t.Errorf("%d of 5 members reported the name conflict, want at least 4", conflicts)
	}
}

// The sides of a partition that declared each other dead know each other again after the partition
// heals.
func TestPartitionHeals(t *testing.T) {
	w := newTestNetwork(9)
	w.run(4 * time.Second)
	w.drop = func(from, to int) bool { return from%3 != to%3 }
	w.run(40 * time.Second)
	w.expectMemberCount(t, 3)
	w.drop = nil
	w.run(40 * time.Second)
	w.expectMemberCount(t, 9)
}

// A member that sends but receives nothing suspects healthy members. They refute this, so that no
// other member takes them for dead.
func TestMemberThatReceivesNothing(t *testing.T) {
	w := newTestNetwork(10)
	w.run(4 * time.Second)
	w.drop = func(from, to int) bool { return to == 4 }
	w.run(60 * time.Second)
	for i, p := range w.nodes {
		for j := range w.nodes {
			if i != 4 && j != 4 && p.members.find(uint64(1000+j)) != nil && p.members.find(uint64(1000+j)).State == Dead {
				t.Errorf("p%d takes p%d for dead because of a member that receives nothing", i, j)
			}
		}
	}
}

// A refutation is sent a limited number of times, and all of these packets may be lost. If another
// process repeats the refuted record later, the refutation must be sent again.
func TestLostRefutationIsSentAgain(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(now, Config{Name: "me", Addr: addr(0), Session: 500, Period: time.Second, Timeout: time.Second / 4, Seed: 1})
	sendsRefutation := func() bool {
		p.Take()
		p.Handle(now, addr(1), &Packet{Kind: Ping, Seq: 1, Session: 7, Target: 500})
		sends, _ := p.Take()
		for _, m := range sends[len(sends)-1].Packet.Members {
			if m.Session == 500 && m.Incarnation == 1 && m.State == Alive {
				return true
			}
		}
		return false
	}
	dead := &Packet{Kind: Ack, Session: 7, Members: []Member{{Session: 500, Name: "me", State: Dead}}}
	p.Handle(now, addr(1), dead)
	if !sendsRefutation() {
		t.Fatal("refutation not sent")
	}
	for i := 0; sendsRefutation(); i++ {
		if i > 100 {
			t.Fatal("refutation sent in more than 100 packets")
		}
	}
	p.Handle(now, addr(1), dead)
	if !sendsRefutation() {
		t.Error("refutation not sent again after the refuted record was repeated")
	}
}

// The result of merging records depends neither on their order nor on repetition.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			return Member{
				Session: rapid.Uint64Range(1, 3).Draw(t, "session"), Name: "x", EncodedAddr: addrBytes(addr(9)),
				Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"), State: State(rapid.IntRange(0, 1).Draw(t, "state")),
			}
		}), 1, 12).Draw(t, "records")
		view := func(list []Member) string {
			p := New(time.Unix(1e9, 0), Config{Name: "me", Addr: addr(0), Session: 500, Period: time.Second, Timeout: time.Second / 4, Seed: 1})
			for i := range list {
				p.merge(time.Unix(1e9, 0), &list[i])
			}
			s := ""
			for _, m := range p.Members() {
				s += fmt.Sprintln(m.Session, m.Incarnation, m.State)
			}
			return s
		}
		mixed := append(rapid.Permutation(records).Draw(t, "order"), records[0])
		if a, b := view(records), view(mixed); a != b {
			t.Fatalf("merging %v results in\n%smerging %v results in\n%s", records, a, mixed, b)
		}
	})
}

// A process that receives the records of 1,023 other members in many packets knows 1,024 members.
func TestManyMembers(t *testing.T) {
	const n = 1024
	w := newTestNetwork(1)
	var k Packet
	deliverSync := func() {
		w.nodes[0].Handle(w.now, addr(1), &k)
		w.nodes[0].Take()
		k.Members = nil
	}
	for i := 1; i < n; i++ {
		at, err := addr(i).MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		k.Kind, k.Session = Sync, 1001
		if k.Members = append(k.Members, Member{Session: uint64(1000 + i), Name: fmt.Sprint("p", i), EncodedAddr: at}); len(k.Members) == maxPacketRecords {
			deliverSync()
		}
	}
	deliverSync()
	w.expectMemberCount(t, n)
}

// Processes that ask for the list of a full table at full speed are answered at a bounded rate, so
// that neither the answers that wait nor the time of a turn grow with the number of requests; each
// process that has found a place is answered in the end. Every request was answered at once, with
// 342 packets and a copy of the list.
func TestSyncsAreAnsweredAtBoundedRate(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := DefaultConfig()
	c.Name, c.Addr, c.Session, c.Seed = "p", addr(0), 1, 1
	for i := range mostMembers {
		c.Known = append(c.Known, Member{Session: uint64(10 + i), Name: fmt.Sprint("m", i), Addr: addr(1 + i), EncodedAddr: addrBytes(addr(1 + i))})
	}
	p := New(now, c)
	const listPackets = (mostMembers + 1 + maxPacketRecords - 1) / maxPacketRecords
	answered := make(map[netip.AddrPort]int)
	take := func(limit int) {
		sends, _ := p.Take()
		if len(sends) > limit {
			t.Fatalf("%d packets at once, want at most %d", len(sends), limit)
		}
		for _, s := range sends {
			if s.Packet.Kind == SyncAck {
				answered[s.To]++
			}
		}
	}
	const askers, turns, turn = 256, 100, 10 * time.Millisecond // all of them ask in each turn
	for range turns {
		for i := range askers {
			p.Handle(now, addr(i), &Packet{Kind: Sync, Session: uint64(10 + i)})
		}
		take(3 * listPackets)
		now = now.Add(turn)
		p.Tick(now)
	}
	total := 0
	for _, n := range answered {
		total += n
	}
	if limit := (2 + int(turns*turn/syncBurst)) * listPackets; total > limit || total == 0 {
		t.Errorf("%d packets in answers within %v, want 1 to %d", total, turns*turn, limit)
	}
	for end := now.Add(2 * askers * syncBurst); now.Before(end); now = p.Due() {
		p.Tick(now)
		take(3 * listPackets)
	}
	if len(answered) != askers {
		t.Errorf("%d processes were answered, want %d", len(answered), askers)
	}
}
