package vnet

import (
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

// maxQueuedDatagrams is the largest number of datagrams queued at a socket; further ones are
// dropped.
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
	s.watchState.notify(s)
}

// datagramSocket is a UDP socket.
type datagramSocket struct {
	watchState watch
	local      netip.AddrPort
	queue      []*datagram
}

func (s *datagramSocket) watch() *watch { return &s.watchState }

func (s *datagramSocket) state() poll.Ready {
	return poll.Ready{Read: len(s.queue) > 0, Write: true}
}

func (s *datagramSocket) close() {
	delete(s.watchState.host.datagrams, s.local.Port())
	s.queue = nil
}

func (s *datagramSocket) send(p []byte, to netip.AddrPort) {
	h := s.watchState.host
	w := h.world
	remote := w.byAddr[to.Addr()]
	if remote == nil {
		return // no host at this address; UDP reports no error
	}
	data := append([]byte(nil), p...)
	if h.sendStall > 0 {
		h.stalledUntil = max(h.stalledUntil, w.now+h.sendStall)
		h.sendStall = 0
		w.record(Record{What: "stall", From: h})
	}
	if h.stalledUntil > w.now { // the process is suspended between its decision and this send
		incarnation := h.incarnation
		w.After(h.stalledUntil-w.now, func() {
			if incarnation == h.incarnation {
				s.transmit(remote, to, data)
			}
		})
		return
	}
	s.transmit(remote, to, data)
}

func (s *datagramSocket) transmit(remote *Host, to netip.AddrPort, data []byte) {
	h := s.watchState.host
	w := h.world
	path := w.path(h, remote)
	d, lost := path.transit(w.now, len(data))
	var fault DatagramFault
	if w.datagramFault != nil {
		fault = w.datagramFault(h, remote, len(data))
	}
	if lost || fault.Drop {
		w.record(Record{What: "dropped", From: h, To: remote, Port: to.Port(), Size: len(data)})
		return
	}
	w.queue.push(w.now+d+fault.Delay, &datagram{path: path, from: s.local, to: to, data: data})
	for _, duplicateDelay := range fault.Duplicates {
		w.queue.push(w.now+d+duplicateDelay, &datagram{path: path, from: s.local, to: to, data: data})
	}
}

// DatagramFault is what the network does to one datagram beyond the delay and loss of its link.
type DatagramFault struct {
	Drop       bool
	Delay      time.Duration   // added delay; 0: none
	Duplicates []time.Duration // one copy arrives for each entry, later by that time
}

// SetDatagramFaults sets the function that decides the fault of each datagram; nil injects none.
func (w *World) SetDatagramFaults(f func(from, to *Host, size int) DatagramFault) {
	w.datagramFault = f
}
