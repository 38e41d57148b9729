package mesh

import (
	"net/netip"
	"testing"
	"time"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// slowKernel is a kernel on which sending a datagram takes 0.1 ms.
type slowKernel struct {
	poll.Kernel
	spent time.Duration
}

func (k *slowKernel) Now() time.Time { return k.Kernel.Now().Add(k.spent) }

func (k *slowKernel) SendTo(fd int, p []byte, to netip.AddrPort) error {
	k.spent += 100 * time.Microsecond
	return k.Kernel.SendTo(fd, p, to)
}

// Datagrams whose answers take long arrive all at once. Between them the loop serves its other
// sockets: clients were answered late while up to 256 datagrams were handled in one turn.
func TestDatagramsLeaveTimeForOtherSockets(t *testing.T) {
	const (
		requests = 100
		limit    = 3 * time.Millisecond
	)
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: time.Millisecond} })
	at := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7946"), netip.MustParseAddrPort("10.0.0.2:7946")}
	slow := &slowKernel{}
	var node *Node
	longest := time.Duration(0)
	start := func(i int, around func(poll.Kernel) poll.Kernel, ready func(n *Node)) {
		h := w.AddHost([]string{"p", "q"}[i], at[i].Addr(), vnet.Limits{})
		err := h.Start(func(k poll.Kernel) (func() error, error) {
			loop := poll.NewOn(around(k), func() {})
			n, err := New(Config{Loop: loop, Cluster: "c", Name: h.Name(), Listen: at[i], Session: uint64(i + 3)})
			if err != nil {
				return nil, err
			}
			ready(n)
			return func() error {
				before := slow.spent
				err := loop.Turn(true)
				longest = max(longest, slow.spent-before)
				return err
			}, nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	start(0, func(k poll.Kernel) poll.Kernel { slow.Kernel = k; return slow }, func(n *Node) { node = n })
	start(1, func(k poll.Kernel) poll.Kernel { return k }, func(n *Node) {
		for i := range requests {
			n.send(at[0], &envelope{View: &viewFragment{IsRequest: true, Seq: uint64(i)}})
		}
	})
	if err := w.Run(time.Second); err != nil {
		t.Fatal(err)
	}
	if node.Counters.Received < requests {
		t.Errorf("%d datagrams received, want %d", node.Counters.Received, requests)
	}
	if longest > limit {
		t.Errorf("a turn of the loop took %v, want at most %v", longest, limit)
	}
}
