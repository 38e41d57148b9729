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

func ask(session, seq uint64, token uint64) *Command {
	return &Command{Request: &owner.LeaseRequest{Session: session, Seq: seq, Name: "x", Claims: []owner.LeaseClaim{{Lease: "d", Token: token}}}}
}

// A claim that is sent again after a lost acknowledgement is applied once, also long after its grant has ended.
func TestRepeatedClaimIsAppliedOnce(t *testing.T) {
	var s State
	first := s.Apply(1, ask(7, 1, 0)).Leases[0]
	again := s.Apply(2, ask(7, 1, 0)).Leases[0]
	if !first.Mine || first != again || s.LastToken != 1 {
		t.Fatalf("%+v, then %+v; %d tokens", first, again, s.LastToken)
	}
	d := s.Leases[0]
	s.Apply(3, &Command{Expire: &Expire{Lease: "d", Token: d.Token, Renewals: d.Renewals}})
	s.Apply(4, ask(7, 1, 0))
	if d.Session != 0 || s.LastToken != 1 {
		t.Errorf("a copy of an old claim took the lease again: %+v", d)
	}
	if s.Apply(5, ask(7, 2, 0)); d.Session != 7 || d.Token != 2 {
		t.Errorf("a new claim: %+v", d)
	}
}

// An Expire that was proposed before a renewal changes nothing after it.
func TestLateExpire(t *testing.T) {
	var s State
	s.Apply(1, ask(7, 1, 0))
	d := s.Leases[0]
	late := &Command{Expire: &Expire{Lease: "d", Token: d.Token, Renewals: d.Renewals}}
	s.Apply(2, ask(7, 2, d.Token))
	s.Apply(3, late)
	if d.Session != 7 {
		t.Error("a renewed grant ended")
	}
	if r := s.Apply(4, ask(8, 1, 0)).Leases[0]; r.Mine || r.Token != 1 || r.Holder != "x" {
		t.Errorf("another claimant is told %+v", r)
	}
}

// Tokens of a lease only grow, whatever is applied, and a snapshot is the state, byte for byte.
func TestTokensGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, last := &State{}, uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "entries") {
			c := ask(rapid.Uint64Range(1, 3).Draw(t, "session"), rapid.Uint64Range(1, 9).Draw(t, "seq"), rapid.Uint64Range(0, 5).Draw(t, "token"))
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
				t.Fatal("a snapshot of a snapshot differs")
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

// A torn last record is cut off, at whichever byte; damage with a good record behind it stops the member.
func TestTornAndDamaged(t *testing.T) {
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
			t.Fatalf("byte %d is wrong: %v", i, err)
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

// A real file: it is made once, locked by one, and holds what was synced.
func TestFile(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keeper")
	if _, _, err := OpenFile(dir, nil); !errors.Is(err, ErrEmpty) {
		t.Fatalf("no folder: %v", err)
	}
	if err := Create(dir, 9); err != nil {
		t.Fatal(err)
	}
	if err := Create(dir, 10); err == nil {
		t.Fatal("a log that is there was made anew")
	}
	posted := make(chan func(), 8)
	w, r, err := OpenFile(dir, func(f func()) { posted <- f })
	if err != nil || r.Identity != 9 {
		t.Fatal(r, err)
	}
	if _, _, err := OpenFile(dir, nil); err == nil {
		t.Error("two processes have one log")
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

// A torn end that can't be cut off is told: what is appended behind it would be lost with it.
func TestTruncateErrorIsReturned(t *testing.T) {
	path := filepath.Join(t.TempDir(), logName)
	if err := os.WriteFile(path, entry(2), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(path) // for reading only: it can't be cut off
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := truncateAt(f, 10); err == nil {
		t.Error("the failure to cut the file off was not told")
	}
}

// cores joins keepers directly; what a stopped one is sent is lost.
type cores struct {
	now   time.Time
	all   []*Core
	logs  [][]byte
	heard []Response
}

func newCores(t *testing.T, n int, change func(*Config)) *cores {
	w := &cores{now: time.Unix(1e9, 0), logs: make([][]byte, n), all: make([]*Core, n)}
	for i := range n {
		w.logs[i] = InitialRecord(uint64(100 + i))
		w.start(t, i, change)
	}
	return w
}

func (w *cores) start(t *testing.T, i int, change func(*Config)) {
	t.Helper()
	log, err := Restore(w.logs[i])
	if err != nil {
		t.Fatal(err)
	}
	c := DefaultConfig()
	c.ID, c.Seed = uint64(i+1), 1
	for j := range w.all {
		c.Voters = append(c.Voters, uint64(j+1))
	}
	if change != nil {
		change(&c)
	}
	if w.all[i], err = New(w.now, c, log); err != nil {
		t.Fatal(err)
	}
}

func (w *cores) settle() {
	for again := true; again; {
		again = false
		for i, k := range w.all {
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
			w.heard = append(w.heard, o.Responses...)
			for _, m := range o.Messages {
				if to := w.all[m.GetTo()-1]; to != nil && (k.KnownDisk(m.GetTo()) == 0 || k.KnownDisk(m.GetTo()) == to.DiskIdentity()) {
					to.Step(w.now, k.DiskIdentity(), proto.Clone(m).(*pb.Message))
				}
				again = true
			}
			for _, h := range o.Hellos {
				if to := w.all[h.To-1]; to != nil {
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

func (w *cores) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(5 * time.Millisecond) {
		for _, k := range w.all {
			if k != nil {
				k.Tick(w.now)
			}
		}
		w.settle()
	}
}

func (w *cores) leader() *Core {
	for _, k := range w.all {
		if k != nil && k.Leading() {
			return k
		}
	}
	return nil
}

// The log is compacted; a keeper that comes back with old data takes the snapshot and agrees with the others.
func TestReturnAfterCompaction(t *testing.T) {
	small := func(c *Config) { c.SnapshotEvery, c.TrailingEntries = 20, 2 }
	w := newCores(t, 3, small)
	w.run(2 * time.Second)
	away := -1
	for i, k := range w.all {
		if !k.Leading() {
			away = i
		}
	}
	w.all[away] = nil
	for seq := range uint64(100) {
		if err := w.leader().RequestLeases(w.now, netip.AddrPort{}, ask(7, seq+1, 0).Request); err != nil {
			t.Fatal(err)
		}
		w.run(10 * time.Millisecond)
	}
	w.start(t, away, small)
	w.run(4 * time.Second)
	want, _ := w.leader().State().Encode()
	if got, _ := w.all[away].State().Encode(); string(got) != string(want) || w.all[away].Count.Snapshots == 0 {
		t.Errorf("it has applied %d of %d entries, with %d snapshots", w.all[away].State().Applied, w.leader().State().Applied, w.all[away].Count.Snapshots)
	}
}

// A keeper whose disk is another one than was first met is not heard, and a majority of forgetful ones elects nobody.
func TestWipedDiskHasNoVote(t *testing.T) {
	w := newCores(t, 3, nil)
	w.run(2 * time.Second)
	for i := 1; i < 3; i++ {
		w.logs[i] = InitialRecord(uint64(900 + i))
		w.start(t, i, nil)
	}
	w.run(5 * time.Second)
	if k := w.all[0]; k.Leading() || k.Count.Refused == 0 {
		t.Errorf("keeper 1 leads by the votes of disks that it never met: %v, refused %d", k.Leading(), k.Count.Refused)
	}
}

// Two followers have never spoken to each other. One of them loses its disk while the other one is behind: the two must not
// elect a leader that has not what the third one and the lost disk had agreed on. (Seed 4383 of ospreylab owner, once.)
func TestWipedDiskDoesNotElectOneThatIsBehind(t *testing.T) {
	w := newCores(t, 3, nil)
	w.run(2 * time.Second)
	lead := int(w.leader().cfg.ID) - 1
	behind, wiped := (lead+1)%3, (lead+2)%3
	old := w.all[behind]
	w.all[behind] = nil
	if err := w.leader().RequestLeases(w.now, netip.AddrPort{}, ask(7, 1, 0).Request); err != nil {
		t.Fatal(err)
	}
	w.run(time.Second)
	if w.leader().State().LastToken != 1 {
		t.Fatal("two of three grant nothing")
	}
	w.all[lead], w.all[behind] = nil, old
	w.logs[wiped] = InitialRecord(777)
	w.start(t, wiped, nil)
	w.run(10 * time.Second)
	if w.leader() != nil || w.all[wiped].Participates() {
		t.Errorf("keeper %d leads, by the vote of a disk that has forgotten; that one takes part: %v", behind+1, w.all[wiped].Participates())
	}
}

// A voter is removed and the rest go on; one change at a time.
func TestChangeOfMembers(t *testing.T) {
	w := newCores(t, 5, nil)
	w.run(2 * time.Second)
	gone := w.leader().cfg.ID%5 + 1
	if err := w.leader().ChangeVoters(w.now, false, gone); err != nil {
		t.Fatal(err)
	}
	w.run(time.Second)
	w.all[gone-1] = nil
	w.run(3 * time.Second)
	if k := w.leader(); k == nil || len(k.Voters()) != 4 {
		t.Fatalf("leader %v", k)
	}
}

// After a failed sync nothing more is said.
func TestFailedSyncEndsIt(t *testing.T) {
	w := newCores(t, 3, nil)
	w.run(2 * time.Second)
	k := w.leader()
	_ = k.RequestLeases(w.now, netip.AddrPort{}, ask(7, 1, 0).Request)
	k.Take()
	k.Synced(w.now, errors.New("no space left"))
	if o := k.Take(); o.Stopped == nil || len(o.Messages) > 0 || k.Leading() || k.Leader() != 0 {
		t.Errorf("%+v", o)
	}
	k.Tick(w.now.Add(time.Hour))
	if o := k.Take(); len(o.Messages) > 0 {
		t.Error("it speaks on")
	}
}
