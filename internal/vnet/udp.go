package vnet

import (
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

// mostDatagrams is how many wait at a socket; further ones are lost.
const mostDatagrams = 256

// datagram is one UDP packet.
type datagram struct {
	path     *path
	from, to netip.AddrPort
	data     []byte
}

func (d *datagram) happen(w *World) {
	h := d.path.to
	s := h.datagrams[d.to.Port()]
	if !d.path.carries() || s == nil || len(s.queue) >= mostDatagrams {
		w.note(Record{What: "dropped", From: d.path.from, To: h, Port: d.to.Port(), Size: len(d.data)})
		return
	}
	w.note(Record{What: "datagram", From: d.path.from, To: h, Port: d.to.Port(), Size: len(d.data)})
	s.queue = append(s.queue, d)
	s.watch_.stir(s)
}

// datagramSocket is a UDP socket.
type datagramSocket struct {
	watch_ watch
	at     netip.AddrPort
	queue  []*datagram
}

func (s *datagramSocket) watch() *watch { return &s.watch_ }

func (s *datagramSocket) state() poll.Ready {
	return poll.Ready{Read: len(s.queue) > 0, Write: true}
}

func (s *datagramSocket) close() {
	delete(s.watch_.host.datagrams, s.at.Port())
	s.queue = nil
}

func (s *datagramSocket) send(p []byte, to netip.AddrPort) {
	h := s.watch_.host
	w := h.world
	far := w.byAddr[to.Addr()]
	if far == nil {
		return // nobody is there, and nobody says so
	}
	data := append([]byte(nil), p...)
	if h.stallSend > 0 {
		h.stalled = max(h.stalled, w.now+h.stallSend)
		h.stallSend = 0
		w.note(Record{What: "stall", From: h})
	}
	if h.stalled > w.now { // it is stopped between its decision and this send
		life := h.life
		w.After(h.stalled-w.now, func() {
			if life == h.life {
				s.depart(far, to, data)
			}
		})
		return
	}
	s.depart(far, to, data)
}

func (s *datagramSocket) depart(far *Host, to netip.AddrPort, data []byte) {
	h := s.watch_.host
	w := h.world
	path := w.path(h, far)
	d, lost := path.transit(w.now, len(data))
	var fate DatagramFault
	if w.fate != nil {
		fate = w.fate(h, far, len(data))
	}
	if lost || fate.Drop {
		w.note(Record{What: "dropped", From: h, To: far, Port: to.Port(), Size: len(data)})
		return
	}
	w.queue.push(w.now+d+fate.Late, &datagram{path: path, from: s.at, to: to, data: data})
	for _, again := range fate.Again {
		w.queue.push(w.now+d+again, &datagram{path: path, from: s.at, to: to, data: data})
	}
}

// DatagramFault is what a network does to one datagram beside its link's delay and loss.
type DatagramFault struct {
	Drop  bool
	Late  time.Duration   // it is held for so long
	Again []time.Duration // copies of it arrive so much later
}

// SetDatagramFaults has f decide what happens to each datagram; nil: nothing.
func (w *World) SetDatagramFaults(f func(from, to *Host, size int) DatagramFault) { w.fate = f }
