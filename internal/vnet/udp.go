package vnet

import (
	"net/netip"

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
	path := w.path(h, far)
	d, lost := path.transit(w.now, len(p))
	if lost {
		w.note(Record{What: "dropped", From: h, To: far, Port: to.Port(), Size: len(p)})
		return
	}
	w.queue.push(w.now+d, &datagram{path: path, from: s.at, to: to, data: append([]byte(nil), p...)})
}
