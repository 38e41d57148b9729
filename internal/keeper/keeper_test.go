package keeper

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ospreyspan/internal/owner"
)

func claimCommand(session, seq uint64, token uint64) *Command {
	return &Command{Request: &owner.LeaseRequest{Session: session, Seq: seq, Name: "x", Claims: []owner.LeaseClaim{{Lease: "d", Token: token}}}}
}

// A claim that is repeated after a lost response is applied once, even after its grant has ended.
func TestRepeatedClaimIsAppliedOnce(t *testing.T) {
	var s State
	first := s.Apply(1, claimCommand(7, 1, 0)).Leases[0]
	again := s.Apply(2, claimCommand(7, 1, 0)).Leases[0]
	if !first.Mine || first != again || s.LastToken != 1 {
		t.Fatalf("first response %+v, second %+v; %d tokens granted, want 1", first, again, s.LastToken)
	}
	d := s.Leases[0]
	s.Apply(3, &Command{Expire: &Expire{Lease: "d", Token: d.Token, Renewals: d.Renewals}})
	s.Apply(4, claimCommand(7, 1, 0))
	if d.Session != 0 || s.LastToken != 1 {
		t.Errorf("a repeated old claim was granted the lease again: %+v", d)
	}
	if s.Apply(5, claimCommand(7, 2, 0)); d.Session != 7 || d.Token != 2 {
		t.Errorf("lease after a new claim: %+v, want session 7 and token 2", d)
	}
}

// An Expire that was proposed before a renewal and is applied after it has no effect.
func TestLateExpire(t *testing.T) {
	var s State
	s.Apply(1, claimCommand(7, 1, 0))
	d := s.Leases[0]
	late := &Command{Expire: &Expire{Lease: "d", Token: d.Token, Renewals: d.Renewals}}
	s.Apply(2, claimCommand(7, 2, d.Token))
	s.Apply(3, late)
	if d.Session != 7 {
		t.Error("a late Expire ended a renewed grant")
	}
	if r := s.Apply(4, claimCommand(8, 1, 0)).Leases[0]; r.Mine || r.Token != 1 || r.Holder != "x" {
		t.Errorf("the claim of another session got %+v", r)
	}
}

// The token of a lease never decreases, whatever commands are applied, and decoding and encoding a
// snapshot reproduces it byte for byte.
func TestTokensNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, last := &State{}, uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "entries") {
			c := claimCommand(rapid.Uint64Range(1, 3).Draw(t, "session"), rapid.Uint64Range(1, 9).Draw(t, "seq"), rapid.Uint64Range(0, 5).Draw(t, "token"))
			if rapid.Bool().Draw(t, "expire") {
				c = &Command{Expire: &Expire{Lease: "d", Token: rapid.Uint64Range(0, 5).Draw(t, "of"), Renewals: rapid.Uint64Range(0, 9).Draw(t, "renewals")}}
			}
			s.Apply(uint64(i+1), c)
			if len(s.Leases) > 0 {
				if s.Leases[0].Token < last {
					t.Fatalf("token %d after %d", s.Leases[0].Token, last)
				}
				last = s.Leases[0].Token
			}
			text, err := s.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if s, err = DecodeState(text); err != nil {
				t.Fatal(err)
			}
			if again, _ := s.Encode(); string(again) != string(text) {
				t.Fatal("encoding a decoded snapshot gives other bytes")
			}
		}
	})
}

func entry(index uint64) []byte {
	var r record
	_ = r.addMessage(itemEntry, &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(1), Data: []byte("data")})
	_ = r.addMessage(itemHardState, &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(1), Commit: proto.Uint64(index)})
	return r.seal()
}

// A torn last record is left out, at whichever byte it is torn. An invalid record followed by a
// valid one is an error.
func TestTornAndDamagedLog(t *testing.T) {
	head := append(InitialRecord(5), entry(2)...)
	whole := append(append([]byte(nil), head...), entry(3)...)
	for cut := len(head); cut < len(whole); cut++ {
		r, err := Restore(whole[:cut])
		if err != nil || r.ValidBytes != len(head) || len(r.entries) != 1 {
			t.Fatalf("cut at byte %d: %+v, %v", cut, r, err)
		}
	}
	for i := len(InitialRecord(5)); i < len(head); i++ {
		bad := append([]byte(nil), whole...)
		bad[i] ^= 0x40
		if _, err := Restore(bad); !errors.Is(err, ErrDamaged) {
			t.Fatalf("byte %d flipped: %v", i, err)
		}
	}
	if _, err := Restore(nil); !errors.Is(err, ErrEmpty) {
		t.Errorf("no log: %v", err)
	}
}

func FuzzRestore(f *testing.F) {
	f.Add(append(InitialRecord(5), entry(2)...))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := Restore(text); err == nil && (r.ValidBytes > len(text) || r.Identity == 0) {
			t.Errorf("%+v", r)
		}
	})
}

// A log on a real disk can be created only once and opened by only one process. It holds what was
// synced, and a torn record at its end is left out.
func TestFile(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keeper")
	if _, _, err := OpenFile(dir, nil); !errors.Is(err, ErrEmpty) {
		t.Fatalf("no directory: %v", err)
	}
	if err := Create(dir, 9); err != nil {
		t.Fatal(err)
	}
	if err := Create(dir, 10); err == nil {
		t.Fatal("Create overwrote a log")
	}
	posted := make(chan func(), 8)
	w, r, err := OpenFile(dir, func(f func()) { posted <- f })
	if err != nil || r.Identity != 9 {
		t.Fatal(r, err)
	}
	if _, _, err := OpenFile(dir, nil); err == nil {
		t.Error("a locked log was opened a second time")
	}
	fail := func(err error) {
		if err != nil {
			t.Error(err)
		}
	}
	w.Append(entry(2), fail)
	(<-posted)()
	w.Replace(append(InitialRecord(9), entry(2)...), fail)
	(<-posted)()
	w.Append(entry(3), fail)
	(<-posted)()
	w.Close()
	f, _ := os.OpenFile(filepath.Join(dir, logName), os.O_WRONLY|os.O_APPEND, 0)
	_, _ = f.Write(entry(4)[:20])
	f.Close()
	w, r, err = OpenFile(dir, nil)
	if err != nil || len(r.entries) != 2 || r.Identity != 9 {
		t.Fatalf("%+v, %v", r, err)
	}
	w.Close()
}

// A failure to truncate a torn record must be reported: records appended after the torn one would
// be lost with it.
func TestTruncateErrorIsReturned(t *testing.T) {
	path := filepath.Join(t.TempDir(), logName)
	if err := os.WriteFile(path, entry(2), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(path) // read-only, so that Truncate fails
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := truncateAt(f, 10); err == nil {
		t.Error("truncateAt returned no error for a read-only file")
	}
}

// testCluster connects keepers directly, without a network. Messages to a stopped keeper are lost.
type testCluster struct {
	now       time.Time
	keepers   []*Core
	logs      [][]byte
	responses []Response
}

func newTestCluster(t *testing.T, n int, change func(*Config)) *testCluster {
	w := &testCluster{now: time.Unix(1e9, 0), logs: make([][]byte, n), keepers: make([]*Core, n)}
	for i := range n {
		w.logs[i] = InitialRecord(uint64(100 + i))
		w.start(t, i, change)
	}
	return w
}

func (w *testCluster) start(t *testing.T, i int, change func(*Config)) {
	t.Helper()
	log, err := Restore(w.logs[i])
	if err != nil {
		t.Fatal(err)
	}
	c := DefaultConfig()
	c.ID, c.Seed = uint64(i+1), 1
	for j := range w.keepers {
		c.Voters = append(c.Voters, uint64(j+1))
	}
	if change != nil {
		change(&c)
	}
	if w.keepers[i], err = New(w.now, c, log); err != nil {
		t.Fatal(err)
	}
}

func (w *testCluster) deliverAll() {
	for again := true; again; {
		again = false
		for i, k := range w.keepers {
			if k == nil {
				continue
			}
			o := k.Take()
			if o.Append != nil {
				w.logs[i] = append(w.logs[i], o.Append...)
			}
			if o.Replace != nil {
				w.logs[i] = o.Replace
			}
			w.responses = append(w.responses, o.Responses...)
			for _, m := range o.Messages {
				if to := w.keepers[m.GetTo()-1]; to != nil && (k.KnownDisk(m.GetTo()) == 0 || k.KnownDisk(m.GetTo()) == to.DiskIdentity()) {
					to.Step(w.now, k.DiskIdentity(), proto.Clone(m).(*pb.Message))
				}
				again = true
			}
			for _, h := range o.Hellos {
				if to := w.keepers[h.To-1]; to != nil {
					to.HandleHello(w.now, k.cfg.ID, k.DiskIdentity(), h.IsReply)
				}
				again = true
			}
			if o.Append != nil || o.Replace != nil {
				k.Synced(w.now, nil)
				again = true
			}
		}
	}
}

func (w *testCluster) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(5 * time.Millisecond) {
		for _, k := range w.keepers {
			if k != nil {
				k.Tick(w.now)
			}
		}
		w.deliverAll()
	}
}

func (w *testCluster) leader() *Core {
	for _, k := range w.keepers {
		if k != nil && k.Leading() {
			return k
		}
	}
	return nil
}

// A keeper that returns with old data after the others have compacted their logs installs a
// snapshot and reaches the same state.
func TestReturnAfterCompaction(t *testing.T) {
	snapshotOften := func(c *Config) { c.SnapshotEvery, c.TrailingEntries = 20, 2 }
	w := newTestCluster(t, 3, snapshotOften)
	w.run(2 * time.Second)
	stopped := -1
	for i, k := range w.keepers {
		if !k.Leading() {
			stopped = i
		}
	}
	w.keepers[stopped] = nil
	for seq := range uint64(100) {
		if err := w.leader().HandleLeaseRequest(w.now, netip.AddrPort{}, claimCommand(7, seq+1, 0).Request); err != nil {
			t.Fatal(err)
		}
		w.run(10 * time.Millisecond)
	}
	w.start(t, stopped, snapshotOften)
	w.run(4 * time.Second)
	want, _ := w.leader().State().Encode()
	if got, _ := w.keepers[stopped].State().Encode(); string(got) != string(want) || w.keepers[stopped].Count.Snapshots == 0 {
		t.Errorf("the returned keeper has applied %d of %d entries and has %d snapshots", w.keepers[stopped].State().Applied, w.leader().State().Applied, w.keepers[stopped].Count.Snapshots)
	}
}

// Messages of a keeper with another disk than the one first met are refused, so that a majority of
// keepers with wiped disks elects no leader.
func TestWipedDiskHasNoVote(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.run(2 * time.Second)
	for i := 1; i < 3; i++ {
		w.logs[i] = InitialRecord(uint64(900 + i))
		w.start(t, i, nil)
	}
	w.run(5 * time.Second)
	if k := w.keepers[0]; k.Leading() || k.Count.Refused == 0 {
		t.Errorf("keeper 1 leads by the votes of wiped disks: %v; messages refused: %d, want above 0", k.Leading(), k.Count.Refused)
	}
}

// Two followers have never exchanged a message. One of them loses its disk while the other one lags
// behind. Together they must not elect a leader that lacks the entries that the third keeper and
// the lost disk had committed. Seed 4383 of "ospreylab owner" showed this fault once.
func TestWipedDiskDoesNotElectLaggingKeeper(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.run(2 * time.Second)
	lead := int(w.leader().cfg.ID) - 1
	behind, wiped := (lead+1)%3, (lead+2)%3
	old := w.keepers[behind]
	w.keepers[behind] = nil
	if err := w.leader().HandleLeaseRequest(w.now, netip.AddrPort{}, claimCommand(7, 1, 0).Request); err != nil {
		t.Fatal(err)
	}
	w.run(time.Second)
	if w.leader().State().LastToken != 1 {
		t.Fatal("two of three keepers granted no lease")
	}
	w.keepers[lead], w.keepers[behind] = nil, old
	w.logs[wiped] = InitialRecord(777)
	w.start(t, wiped, nil)
	w.run(10 * time.Second)
	if w.leader() != nil || w.keepers[wiped].Participates() {
		t.Errorf("a wiped disk helped to elect lagging keeper %d, or it participates: %v", behind+1, w.keepers[wiped].Participates())
	}
}

// After a voter is removed, the remaining four keepers have a leader.
func TestChangeVoters(t *testing.T) {
	w := newTestCluster(t, 5, nil)
	w.run(2 * time.Second)
	removed := w.leader().cfg.ID%5 + 1
	if err := w.leader().ChangeVoters(w.now, false, removed); err != nil {
		t.Fatal(err)
	}
	w.run(time.Second)
	w.keepers[removed-1] = nil
	w.run(3 * time.Second)
	if k := w.leader(); k == nil || len(k.Voters()) != 4 {
		t.Fatalf("leader %v, want one with 4 voters", k)
	}
}

// After a failed sync a keeper stops and sends nothing more.
func TestFailedSyncStopsKeeper(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.run(2 * time.Second)
	k := w.leader()
	_ = k.HandleLeaseRequest(w.now, netip.AddrPort{}, claimCommand(7, 1, 0).Request)
	k.Take()
	k.Synced(w.now, errors.New("no space left"))
	if o := k.Take(); o.Stopped == nil || len(o.Messages) > 0 || k.Leading() || k.Leader() != 0 {
		t.Errorf("%+v", o)
	}
	k.Tick(w.now.Add(time.Hour))
	if o := k.Take(); len(o.Messages) > 0 {
		t.Error("a stopped keeper sent messages")
	}
}
