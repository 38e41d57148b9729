package changes

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testCluster is a few replicas and what is under way between them.
type testCluster struct {
	now      time.Time
	replicas []*Replica
	inFlight []packet
}

type packet struct {
	from, to MemberID
	data     []byte
}

func newTestCluster(count int) *testCluster {
	f := &testCluster{now: time.Unix(1000, 0)}
	var members []Member
	for i := range count {
		members = append(members, Member{ID: MemberID(i + 1), Zone: "zone"})
		c := DefaultConfig()
		c.Self, c.Session, c.LogChanges = MemberID(i+1), uint64(100+i), 20
		f.replicas = append(f.replicas, New(f.now, c))
	}
	for _, r := range f.replicas {
		r.SetTree(f.now, NewTree(members, 1, 2))
	}
	return f
}

// collect takes what the replicas send.
func (f *testCluster) collect() {
	for i, r := range f.replicas {
		for _, send := range r.TakeMessages() {
			f.inFlight = append(f.inFlight, packet{MemberID(i + 1), send.To, send.Data})
		}
	}
}

// deliver hands one message over; it stays under way if it is to come again.
func (f *testCluster) deliver(i int, duplicate bool) {
	p := f.inFlight[i]
	if !duplicate {
		f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
	}
	f.replicas[p.to-1].Handle(f.now, p.from, p.data)
	f.collect()
}

func (f *testCluster) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, r := range f.replicas {
		r.Tick(f.now)
	}
	f.collect()
}

// runWithoutLoss delivers all in order for a while.
func (f *testCluster) runWithoutLoss(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.advance(50 * time.Millisecond) {
		for _, r := range f.replicas {
			r.ConfirmCurrent(f.now)
		}
		for len(f.inFlight) > 0 {
			f.deliver(0, false)
		}
	}
}

// Any loss, repetition, order and delay, and any number of new sources on the way, end in the same state.
func TestReplicasConvergeAfterMessageFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestCluster(5)
		epoch := uint64(0)
		lead := func(r *Replica) {
			epoch++
			if err := r.BecomeSource(f.now, epoch); err != nil && !errors.Is(err, ErrStaleEpoch) {
				t.Fatal(err)
			}
			f.collect()
		}
		lead(f.replicas[0])
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			at := 0
			if len(f.inFlight) > 0 {
				at = rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "which")
			}
			switch action := rapid.IntRange(0, 9).Draw(t, "what"); {
			case action == 0:
				lead(f.replicas[rapid.IntRange(0, 1).Draw(t, "source")])
			case action <= 3: // by whoever takes itself for the source
				r := f.replicas[rapid.IntRange(0, 1).Draw(t, "source")]
				if err := r.Propose(f.now, []Change{drawChange(t)}); err != nil && !errors.Is(err, ErrNotSource) {
					t.Fatal(err)
				}
				f.collect()
			case action == 4:
				f.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			case len(f.inFlight) == 0:
			case action == 5:
				f.inFlight = append(f.inFlight[:at:at], f.inFlight[at+1:]...)
			default:
				f.deliver(at, action == 6)
			}
		}
		f.inFlight = nil
		source := f.replicas[0]
		lead(source)
		f.runWithoutLoss(2 * time.Minute)
		for i, r := range f.replicas {
			e, n := r.Position()
			if _, number := source.Position(); e != epoch || n != number || r.State().Digest() != source.State().Digest() || r.State().clone().Digest() != source.State().Digest() {
				t.Fatalf("replica %d is at %d of epoch %d, the source at %d of epoch %d", i+1, n, e, number, epoch)
			}
			if at, ok := r.AsOf(); !ok || f.now.Sub(at) > 5*time.Second {
				t.Fatalf("replica %d knows its age as %v, %v", i+1, f.now.Sub(at), ok)
			}
		}
	})
}

// A former source's changes are refused, it learns that it is none, and what it said alone is taken back.
func TestFormerSourceIsRefused(t *testing.T) {
	f := newTestCluster(4)
	if err := f.replicas[0].BecomeSource(f.now, 1); err != nil {
		t.Fatal(err)
	}
	propose := func(r *Replica, value string) {
		if err := r.Propose(f.now, []Change{{Key: "key", Value: value}}); err != nil {
			t.Fatal(err)
		}
	}
	propose(f.replicas[0], "first")
	f.runWithoutLoss(10 * time.Second)
	if err := f.replicas[1].BecomeSource(f.now, 2); err != nil {
		t.Fatal(err)
	}
	propose(f.replicas[1], "second")
	propose(f.replicas[0], "of a former source")
	f.runWithoutLoss(10 * time.Second)
	for i, r := range f.replicas {
		if value, _ := r.State().Get("key"); value != "second" || r.IsSource() != (i == 1) {
			t.Errorf("replica %d has %q, leading %v", i+1, value, r.IsSource())
		}
	}
	if f.replicas[0].Counters.RolledBack != 1 || f.replicas[0].BecomeSource(f.now, 1) == nil {
		t.Errorf("%+v", f.replicas[0].Counters)
	}
	if err := f.replicas[1].Propose(f.now, []Change{{Key: ""}}); !errors.Is(err, ErrInvalidEntry) {
		t.Errorf("a change without a key: %v", err)
	}
}

// The consumer is told of each key once, and of deletions.
func TestUpdateHasEachKeyOnce(t *testing.T) {
	f := newTestCluster(2)
	if err := f.replicas[0].BecomeSource(f.now, 1); err != nil {
		t.Fatal(err)
	}
	for i := range 10 {
		if err := f.replicas[0].Propose(f.now, []Change{{Key: fmt.Sprint(i % 3), Value: fmt.Sprint(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.replicas[0].Propose(f.now, []Change{{Key: "1", Delete: true}}); err != nil {
		t.Fatal(err)
	}
	f.runWithoutLoss(5 * time.Second)
	got := f.replicas[1].TakeUpdate()
	if got == nil || len(got.Changes) != 3 || !got.Changes[1].Delete || got.Changes[2].Value != "8" || got.Number != 11 {
		t.Errorf("%+v", got)
	}
	if f.replicas[1].TakeUpdate() != nil {
		t.Error("told twice")
	}
}
