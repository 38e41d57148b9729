package vnet

import (
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

// maxQueuedDatagrams is how many wait at a socket; further ones are lost.
const maxQueuedDatagrams = 256

// datagram is one UDP packet.
type datagram struct {
	path     *path
	from, to netip.AddrPort
	data     []byte
}

func (d *datagram) execute(w *World) {
	h := d.path.to
	s := h.datagrams[d.to.Port()]
	if !d.path.delivers() || s == nil || len(s.queue) >= maxQueuedDatagrams {
		w.record(Record{What: "dropped", From: d.path.from, To: h, Port: d.to.Port(), Size: len(d.data)})
		return
	}
	w.record(Record{What: "datagram", From: d.path.from, To: h, Port: d.to.Port(), Size: len(d.data)})
	s.queue = append(s.queue, d)
	s.watch_.notify(s)
}

// datagramSocket is a UDP socket.
type datagramSocket struct {
	watch_ watch
	local  netip.AddrPort
	queue  []*datagram
}

func (s *datagramSocket) watch() *watch { return &s.watch_ }

func (s *datagramSocket) state() poll.Ready {
	return poll.Ready{Read: len(s.queue) > 0, Write: true}
}

func (s *datagramSocket) close() {
	delete(s.watch_.host.datagrams, s.local.Port())
	s.queue = nil
}

func (s *datagramSocket) send(p []byte, to netip.AddrPort) {
	h := s.watch_.host
	w := h.world
	remote := w.byAddr[to.Addr()]
	if remote == nil {
		return // nobody is there, and nobody says so
	}
	data := append([]byte(nil), p...)
	if h.sendStall > 0 {
		h.stalledUntil = max(h.stalledUntil, w.now+h.sendStall)
		h.sendStall = 0
		w.record(Record{What: "stall", From: h})
	}
	if h.stalledUntil > w.now { // it is stopped between its decision and this send
		life := h.incarnation
		w.After(h.stalledUntil-w.now, func() {
			if life == h.incarnation {
				s.transmit(remote, to, data)
			}
		})
		return
	}
	s.transmit(remote, to, data)
}

func (s *datagramSocket) transmit(remote *Host, to netip.AddrPort, data []byte) {
	h := s.watch_.host
	w := h.world
	path := w.path(h, remote)
	d, lost := path.transit(w.now, len(data))
	var fate DatagramFault
	if w.datagramFault != nil {
		fate = w.datagramFault(h, remote, len(data))
	}
	if lost || fate.Drop {
		w.record(Record{What: "dropped", From: h, To: remote, Port: to.Port(), Size: len(data)})
		return
	}
	w.queue.push(w.now+d+fate.Delay, &datagram{path: path, from: s.local, to: to, data: data})
	for _, duplicateDelay := range fate.Duplicates {
		w.queue.push(w.now+d+duplicateDelay, &datagram{path: path, from: s.local, to: to, data: data})
	}
}

// DatagramFault is what a network does to one datagram beside its link's delay and loss.
type DatagramFault struct {
	Drop       bool
	Delay      time.Duration   // it is held for so long
	Duplicates []time.Duration // copies of it arrive so much later
}

// SetDatagramFaults has f decide what happens to each datagram; nil: nothing.
func (w *World) SetDatagramFaults(f func(from, to *Host, size int) DatagramFault) {
	w.datagramFault = f
}
