package lab

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

// LinkStats counts what the lossy links between real processes did to datagrams.
type LinkStats struct {
	Datagrams    int `json:"datagrams"` // received from a process for another one
	Dropped      int `json:"dropped"`
	Delayed      int `json:"late"`     // forwarded after a delay of up to 3 s
	Duplicated   int `json:"repeated"` // forwarded at once and again after up to 3 s
	InboundCuts  int `json:"deaf"`     // times that a process received nothing for a while
	OutboundCuts int `json:"mute"`     // times that nothing that a process sent arrived for a while
	DroppedByCut int `json:"cut_away"` // datagrams dropped by these cuts
}

// lossyLinks forwards datagrams between real processes through sockets of this process. It drops,
// delays and duplicates some, and cuts single processes off in one direction. Each process
// advertises the address of its link in place of its own.
type lossyLinks struct {
	loop      *poll.Loop
	rng       *rand.Rand
	byProcess map[netip.AddrPort]*lossyLink // by the process's own address
	// links are in the order of opening, so that draws are reproducible.
	links  []*lossyLink
	closed bool
	LinkStats
}

type lossyLink struct {
	w                         *lossyLinks
	process                   netip.AddrPort  // the process's own address
	sock                      *poll.UDPSocket // bound to the address that the process advertises
	dropInbound, dropOutbound bool            // set while a cut lasts
}

func newLossyLinks(loop *poll.Loop, seed uint64) *lossyLinks {
	return &lossyLinks{loop: loop, rng: randomStream(seed, "wires"), byProcess: make(map[netip.AddrPort]*lossyLink)}
}

// publicAddr returns the address by which other processes reach the process at the given address.
func publicAddr(at netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(at.Addr(), at.Port()+1) }

// open opens the link of a process unless it is open already.
func (w *lossyLinks) open(at netip.AddrPort) error {
	if w.byProcess[at] != nil {
		return nil
	}
	x := &lossyLink{w: w, process: at}
	var err error
	if x.sock, err = w.loop.OpenUDP(publicAddr(at), x); err != nil {
		return fmt.Errorf("link of %s: %w", at, err)
	}
	w.byProcess[at] = x
	w.links = append(w.links, x)
	return nil
}

// cutPeriodically cuts a random process off in one direction for 0.5 s to 4 s, and does so again
// after a random time of half to one and a half of period.
func (w *lossyLinks) cutPeriodically(period time.Duration) {
	if w.closed {
		return
	}
	w.after(period/2+time.Duration(w.rng.Int64N(int64(period))), func() { w.cutPeriodically(period) })
	if len(w.links) == 0 {
		return
	}
	x := w.links[w.rng.IntN(len(w.links))]
	span := time.Duration(500+w.rng.IntN(3500)) * time.Millisecond
	if w.rng.IntN(2) == 0 {
		w.InboundCuts++
		x.dropInbound = true
		w.after(span, func() { x.dropInbound = false })
	} else {
		w.OutboundCuts++
		x.dropOutbound = true
		w.after(span, func() { x.dropOutbound = false })
	}
}

func (w *lossyLinks) after(d time.Duration, f func()) { w.loop.After(&poll.Timer{Fire: f}, d) }

// close closes all links.
func (w *lossyLinks) close() {
	w.closed = true
	for _, x := range w.links {
		x.sock.Close()
	}
}

// Ready forwards the datagrams that other processes sent to the link's process.
func (x *lossyLink) Ready(poll.Ready) {
	var buf [2048]byte
	for range 64 {
		n, from, err := x.sock.Receive(buf[:])
		if err != nil {
			return
		}
		if sender := x.w.byProcess[from]; sender != nil {
			x.w.forward(sender, x, append([]byte(nil), buf[:n]...))
		}
	}
}

func (w *lossyLinks) forward(from, to *lossyLink, data []byte) {
	w.Datagrams++
	if from.dropOutbound || to.dropInbound {
		w.DroppedByCut++
		return
	}
	deliver := func() {
		if !w.closed {
			// Errors are ignored: the process may not be running.
			_ = from.sock.Send(data, to.process)
		}
	}
	switch d := w.rng.Float64(); {
	case d < 0.02:
		w.Dropped++
		return
	case d < 0.04:
		w.Delayed++
		w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, deliver)
		return
	case d < 0.06:
		w.Duplicated++
		w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, deliver)
	}
	deliver()
}
