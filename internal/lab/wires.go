package lab

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

// Wires counts what the links between real processes did to datagrams.
type Wires struct {
	Datagrams int `json:"datagrams"`
	Dropped   int `json:"dropped"`
	Late      int `json:"late"`
	Repeated  int `json:"repeated"`
	Deaf      int `json:"deaf"` // processes that heard nothing for a while
	Mute      int `json:"mute"` // likewise that were not heard
	CutAway   int `json:"cut_away"`
}

// wires leads what real processes say to each other over sockets of this process, which lose, delay and repeat datagrams, and cut
// processes off in one direction. Each process advertises its wire's address in place of its own.
type wires struct {
	loop  *poll.Loop
	rng   *rand.Rand
	all   map[netip.AddrPort]*lead // by the process's own address
	order []*lead
	over  bool
	Wires
}

type lead struct {
	w         *wires
	to        netip.AddrPort  // of the process
	sock      *poll.UDPSocket // its public one
	deaf, mut bool
}

func newWires(loop *poll.Loop, seed uint64) *wires {
	return &wires{loop: loop, rng: stream(seed, "wires"), all: make(map[netip.AddrPort]*lead)}
}

// public is the address by which others reach a process.
func public(at netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(at.Addr(), at.Port()+1) }

// lead opens a process's wire, once.
func (w *wires) open(at netip.AddrPort) error {
	if w.all[at] != nil {
		return nil
	}
	x := &lead{w: w, to: at}
	var err error
	if x.sock, err = w.loop.OpenUDP(public(at), x); err != nil {
		return fmt.Errorf("wire of %s: %w", at, err)
	}
	w.all[at] = x
	w.order = append(w.order, x)
	return nil
}

// trouble cuts a process off in one direction every now and then.
func (w *wires) trouble(every time.Duration) {
	if w.over {
		return
	}
	w.after(every/2+time.Duration(w.rng.Int64N(int64(every))), func() { w.trouble(every) })
	if len(w.order) == 0 {
		return
	}
	x := w.order[w.rng.IntN(len(w.order))]
	span := time.Duration(500+w.rng.IntN(3500)) * time.Millisecond
	if w.rng.IntN(2) == 0 {
		w.Deaf++
		x.deaf = true
		w.after(span, func() { x.deaf = false })
	} else {
		w.Mute++
		x.mut = true
		w.after(span, func() { x.mut = false })
	}
}

func (w *wires) after(d time.Duration, f func()) { w.loop.After(&poll.Timer{Fire: f}, d) }

// close ends all wires.
func (w *wires) close() {
	w.over = true
	for _, x := range w.order {
		x.sock.Close()
	}
}

// Ready passes on what others sent to the wire's process.
func (x *lead) Ready(poll.Ready) {
	var buf [2048]byte
	for range 64 {
		n, from, err := x.sock.Receive(buf[:])
		if err != nil {
			return
		}
		if sender := x.w.all[from]; sender != nil {
			x.w.pass(sender, x, append([]byte(nil), buf[:n]...))
		}
	}
}

func (w *wires) pass(from, to *lead, data []byte) {
	w.Datagrams++
	if from.mut || to.deaf {
		w.CutAway++
		return
	}
	deliver := func() {
		if !w.over {
			_ = from.sock.Send(data, to.to) // nobody may be there
		}
	}
	switch d := w.rng.Float64(); {
	case d < 0.02:
		w.Dropped++
		return
	case d < 0.04:
		w.Late++
		w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, deliver)
		return
	case d < 0.06:
		w.Repeated++
		w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, deliver)
	}
	deliver()
}
