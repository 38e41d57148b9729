package mesh

import (
	"net/netip"
	"testing"
	"time"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// pausingKernel is a kernel that can simulate a pause of the process between the loop's clock
// reading and the read of a datagram.
type pausingKernel struct {
	poll.Kernel
	nextPause  time.Duration // length of the pause at the next read
	clockAhead time.Duration
}

func (k *pausingKernel) Now() time.Time { return k.Kernel.Now().Add(k.clockAhead) }

func (k *pausingKernel) Receive(fd int, p []byte) (int, netip.AddrPort, error) {
	k.clockAhead += k.nextPause
	k.nextPause = 0
	return k.Kernel.Receive(fd, p)
}

// A process is paused for 5 s between the loop's clock reading and the read of a message. The
// message must be handled with the time after the pause: with the earlier time, an age that the
// process reports in response would be 5 s too small.
func TestClockIsReadAfterPauseBeforeReceive(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: time.Millisecond} })
	h := w.AddHost("p", netip.MustParseAddr("10.0.0.1"), vnet.Limits{})
	k := &pausingKernel{}
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
		k.nextPause = 5 * time.Second
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
		t.Errorf("the message was handled at %v, before the pause of 5 s ended at %v", at, w.Now().Add(5*time.Second))
	}
}

// A late response to a pull of a former process at the same address must not confirm an
// announcement in the present process.
func TestPullResponseOfFormerSession(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: time.Millisecond} })
	other := netip.MustParseAddrPort("10.0.0.2:7946")
	id := AnnouncementID{Lease: "d", Token: 1, Version: 1}
	startNode := func(session uint64) *Node {
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
		n.puller.begin(w.Now(), other)
		state := n.announcements.ensure("d")
		state.AnnouncementID, state.known = id, true
		return n
	}
	former, present := startNode(11), startNode(12)
	late := &pullResponse{Seq: former.puller.sequence, Ages: []announcementAge{{id, 0}}}
	present.handlePullResponse(other, late)
	if _, confirmed, _ := present.Latest("d"); !confirmed.IsZero() {
		t.Error("a response to a pull of a former process confirmed an announcement")
	}
	former.handlePullResponse(other, late)
	if _, confirmed, _ := former.Latest("d"); confirmed.IsZero() {
		t.Error("the response to the process's own pull did not confirm the announcement")
	}
}
