package changes

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testCluster is a set of replicas with the messages in flight between them.
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
	tc := &testCluster{now: time.Unix(1000, 0)}
	var members []Member
	for i := range count {
		members = append(members, Member{ID: MemberID(i + 1), Zone: "zone"})
		c := DefaultConfig()
		c.Self, c.Session, c.LogChanges = MemberID(i+1), uint64(100+i), 20
		tc.replicas = append(tc.replicas, New(tc.now, c))
	}
	for _, r := range tc.replicas {
		r.SetTree(tc.now, NewTree(members, 1, 2))
	}
	return tc
}

// collect moves the messages that the replicas send to those in flight.
func (tc *testCluster) collect() {
	for i, r := range tc.replicas {
		for _, out := range r.TakeMessages() {
			tc.inFlight = append(tc.inFlight, packet{MemberID(i + 1), out.To, out.Data})
		}
	}
}

// deliver hands one message to its receiver. A duplicate stays in flight, to be delivered again.
func (tc *testCluster) deliver(i int, duplicate bool) {
	p := tc.inFlight[i]
	if !duplicate {
		tc.inFlight = append(tc.inFlight[:i:i], tc.inFlight[i+1:]...)
	}
	tc.replicas[p.to-1].Handle(tc.now, p.from, p.data)
	tc.collect()
}

func (tc *testCluster) advance(d time.Duration) {
	tc.now = tc.now.Add(d)
	for _, r := range tc.replicas {
		r.Tick(tc.now)
	}
	tc.collect()
}

// runWithoutLoss delivers all messages in order for the given time.
func (tc *testCluster) runWithoutLoss(d time.Duration) {
	for end := tc.now.Add(d); tc.now.Before(end); tc.advance(50 * time.Millisecond) {
		for _, r := range tc.replicas {
			r.ConfirmCurrent(tc.now)
		}
		for len(tc.inFlight) > 0 {
			tc.deliver(0, false)
		}
	}
}

// Checks that all replicas reach the source's state after any loss, duplication, reordering and
// delay of messages, and after any number of changes of the source in between.
func TestReplicasConvergeAfterMessageFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tc := newTestCluster(5)
		epoch := uint64(0)
		becomeSource := func(r *Replica) {
			epoch++
			if err := r.BecomeSource(tc.now, epoch); err != nil && !errors.Is(err, ErrStaleEpoch) {
				t.Fatal(err)
			}
			tc.collect()
		}
		becomeSource(tc.replicas[0])
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			at := 0
			if len(tc.inFlight) > 0 {
				at = rapid.IntRange(0, len(tc.inFlight)-1).Draw(t, "which")
			}
			switch action := rapid.IntRange(0, 9).Draw(t, "what"); {
			case action == 0:
				becomeSource(tc.replicas[rapid.IntRange(0, 1).Draw(t, "source")])
			case action <= 3: // by each process that takes itself for the source
				r := tc.replicas[rapid.IntRange(0, 1).Draw(t, "source")]
				if err := r.Propose(tc.now, []Change{drawChange(t)}); err != nil && !errors.Is(err, ErrNotSource) {
					t.Fatal(err)
				}
				tc.collect()
			case action == 4:
				tc.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			case len(tc.inFlight) == 0:
			case action == 5:
				tc.inFlight = append(tc.inFlight[:at:at], tc.inFlight[at+1:]...)
			default:
				tc.deliver(at, action == 6)
			}
		}
		tc.inFlight = nil
		source := tc.replicas[0]
		becomeSource(source)
		tc.runWithoutLoss(2 * time.Minute)
		for i, r := range tc.replicas {
			e, n := r.Position()
			if _, number := source.Position(); e != epoch || n != number || r.State().Digest() != source.State().Digest() || r.State().clone().Digest() != source.State().Digest() {
				t.Fatalf("replica %d is at number %d of epoch %d, the source at %d of epoch %d", i+1, n, e, number, epoch)
			}
			if at, ok := r.AsOf(); !ok || tc.now.Sub(at) > 5*time.Second {
				t.Fatalf("replica %d has age %v, known: %v, want at most 5 s", i+1, tc.now.Sub(at), ok)
			}
		}
	})
}

// Checks that changes of a former source are refused, that it learns that it is no longer the
// source, and that changes which it alone has are rolled back.
func TestFormerSourceIsRefused(t *testing.T) {
	tc := newTestCluster(4)
	if err := tc.replicas[0].BecomeSource(tc.now, 1); err != nil {
		t.Fatal(err)
	}
	propose := func(r *Replica, value string) {
		if err := r.Propose(tc.now, []Change{{Key: "key", Value: value}}); err != nil {
			t.Fatal(err)
		}
	}
	propose(tc.replicas[0], "first")
	tc.runWithoutLoss(10 * time.Second)
	if err := tc.replicas[1].BecomeSource(tc.now, 2); err != nil {
		t.Fatal(err)
	}
	propose(tc.replicas[1], "second")
	propose(tc.replicas[0], "of a former source")
	tc.runWithoutLoss(10 * time.Second)
	for i, r := range tc.replicas {
		if value, _ := r.State().Get("key"); value != "second" || r.IsSource() != (i == 1) {
			t.Errorf("replica %d has value %q, is source: %v", i+1, value, r.IsSource())
		}
	}
	if tc.replicas[0].Counters.RolledBack != 1 || tc.replicas[0].BecomeSource(tc.now, 1) == nil {
		t.Errorf("former source, want 1 change rolled back and epoch 1 refused: %+v", tc.replicas[0].Counters)
	}
	if err := tc.replicas[1].Propose(tc.now, []Change{{Key: ""}}); !errors.Is(err, ErrInvalidEntry) {
		t.Errorf("change without a key: got error %v, want ErrInvalidEntry", err)
	}
}

// Checks that an update holds each key once, and deletions too.
func TestUpdateHasEachKeyOnce(t *testing.T) {
	tc := newTestCluster(2)
	if err := tc.replicas[0].BecomeSource(tc.now, 1); err != nil {
		t.Fatal(err)
	}
	for i := range 10 {
		if err := tc.replicas[0].Propose(tc.now, []Change{{Key: fmt.Sprint(i % 3), Value: fmt.Sprint(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := tc.replicas[0].Propose(tc.now, []Change{{Key: "1", Delete: true}}); err != nil {
		t.Fatal(err)
	}
	tc.runWithoutLoss(5 * time.Second)
	got := tc.replicas[1].TakeUpdate()
	if got == nil || len(got.Changes) != 3 || !got.Changes[1].Delete || got.Changes[2].Value != "8" || got.Number != 11 {
		t.Errorf("got update %+v, want 3 keys, the second deleted, the third at 8, number 11", got)
	}
	if tc.replicas[1].TakeUpdate() != nil {
		t.Error("the same update was returned twice")
	}
}
