package mesh

import (
	"net/netip"
	"testing"
	"time"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// stopping is a kernel under which the process may be stopped between its turn's look at the clock and its read of a datagram.
type stopping struct {
	poll.Kernel
	stop  time.Duration // at the next read
	ahead time.Duration
}

func (k *stopping) Now() time.Time { return k.Kernel.Now().Add(k.ahead) }

func (k *stopping) Receive(fd int, p []byte) (int, netip.AddrPort, error) {
	k.ahead += k.stop
	k.stop = 0
	return k.Kernel.Receive(fd, p)
}

// A process that is stopped for 5 s between its turn's look at the clock and its read of a question answers with ages as of after
// the stop: with the turn's time, what it vouches for would look 5 s younger than it is.
func TestStoppedBeforeItReads(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: time.Millisecond} })
	h := w.AddHost("p", netip.MustParseAddr("10.0.0.1"), vnet.Limits{})
	k := &stopping{}
	var loop *poll.Loop
	var at time.Time
	err := h.Start(func(under poll.Kernel) (func() error, error) {
		k.Kernel = under
		loop = poll.NewOn(k, func() {})
		n, err := New(Config{Loop: loop, Cluster: "c", Name: "p", Listen: netip.MustParseAddrPort("10.0.0.1:7946"), Session: 3,
			OnSharedMessage: func(netip.AddrPort, *SharedMessage) { at = loop.Now() }})
		if err != nil {
			return nil, err
		}
		_ = n
		return func() error { return loop.Turn(true) }, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	o := w.AddHost("q", netip.MustParseAddr("10.0.0.2"), vnet.Limits{})
	err = o.Start(func(under poll.Kernel) (func() error, error) {
		l := poll.NewOn(under, func() {})
		n, err := New(Config{Loop: l, Cluster: "c", Name: "q", Listen: netip.MustParseAddrPort("10.0.0.2:7946"), Session: 4})
		if err != nil {
			return nil, err
		}
		k.stop = 5 * time.Second
		n.SendShared(netip.MustParseAddrPort("10.0.0.1:7946"), "m", nil)
		return func() error { return l.Turn(true) }, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Run(100 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if at.IsZero() || at.Sub(w.Now()) < 4*time.Second {
		t.Errorf("the question was taken at %v, before the stop of 5 s ended, %v", at, w.Now().Add(5*time.Second))
	}
}

// A late answer to a pull of a former life at the same address vouches for nothing in the present one.
func TestPullOfAFormerLife(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: time.Millisecond} })
	other := netip.MustParseAddrPort("10.0.0.2:7946")
	mark := AnnouncementID{Lease: "d", Token: 1, Version: 1}
	life := func(session uint64) *Node {
		h := w.AddHost("p", netip.AddrFrom4([4]byte{10, 0, 0, byte(session)}), vnet.Limits{})
		var n *Node
		err := h.Start(func(k poll.Kernel) (func() error, error) {
			loop := poll.NewOn(k, func() {})
			var err error
			n, err = New(Config{Loop: loop, Cluster: "c", Name: "p", Listen: netip.AddrPortFrom(h.Addr(), 7946), Session: session})
			return func() error { return loop.Turn(true) }, err
		})
		if err != nil {
			t.Fatal(err)
		}
		n.pulls.begin(w.Now(), other)
		x := n.announcements.ensure("d")
		x.AnnouncementID, x.known = mark, true
		return n
	}
	former, present := life(11), life(12)
	late := &pullResponse{Seq: former.pulls.sequence, Ages: []announcementAge{{mark, 0}}}
	present.handlePullResponse(other, late)
	if _, vouched, _ := present.Latest("d"); !vouched.IsZero() {
		t.Error("an answer to a former life's pull confirmed an announcement")
	}
	former.handlePullResponse(other, late)
	if _, vouched, _ := former.Latest("d"); vouched.IsZero() {
		t.Error("the answer to its own pull did not")
	}
}
