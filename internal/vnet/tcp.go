package vnet

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"ospreyspan/internal/poll"
)

// Conn names one connection to a Tap.
type Conn struct {
	ID       uint64 // counted from 1
	Dialler  *Host
	Listener *Host
	Port     uint16 // of the listener
	User     any    // the tap's own
}

// Tap sees what the processes of a world hand to their sockets, at the moment they do: what is still on its way then is
// sent all the same. It must not touch the world. The bytes are the tap's for the call only.
type Tap interface {
	// Sent tells that a process wrote to a connection.
	Sent(c *Conn, from *Host, data []byte)
	// Ended tells that a process closed its side, ended its sending or reset it; or that it died.
	Ended(c *Conn, from *Host)
	// Arrived tells that bytes have reached the other machine.
	Arrived(c *Conn, at *Host, data []byte)
	// EndArrived tells that an end of the sending, or a reset, has.
	EndArrived(c *Conn, at *Host)
}

// SetTap has a tap see all connections; nil: none does.
func (w *World) SetTap(t Tap) { w.tap = t }

type endState uint8

const (
	connecting endState = iota
	answering           // the listener's side, until the dialler's acknowledgement
	established
)

// end is one end of a TCP connection.
type end struct {
	watch_ watch
	conn   *Conn
	far    *end // nil while it connects
	path   *path
	local  netip.AddrPort
	remote netip.AddrPort

	in    []byte // arrived and unread, from off on
	off   int
	heard time.Duration // when bytes last arrived

	// What was sent.
	lastAt time.Duration // when the last segment arrives
	unread int           // bytes that the far process has not read
	most   int           // of these
	tries  int           // of the segment that is sent again; 0: none is
	held   []*segment    // what waits for it

	err     error // pending; taken by SocketError, Read or Send
	phase   endState
	shut    bool // a send found no room: told once there is
	finIn   bool // the far end has ended its sending
	finOut  bool // this one has
	hung    bool // reset or failed
	closed  bool // its descriptor was given back
	linger0 bool // close resets
	mute    bool // close says nothing
	life    int  // of the host's process that it belongs to
}

func (e *end) watch() *watch { return &e.watch_ }

func (e *end) state() poll.Ready {
	return poll.Ready{
		Read:   len(e.in) > e.off || e.finIn || e.hung,
		Write:  e.phase == established && !e.shut || e.hung,
		Hangup: e.hung || e.finIn && e.finOut,
	}
}

func (e *end) stir() {
	if e.watch_.host != nil {
		e.watch_.stir(e)
	}
}

// kind is what a segment is for.
type kind uint8

const (
	segSyn kind = iota
	segSynAck
	segAck
	segData
	segFin
	segReset
	segWindow
)

var kindNames = [...]string{"syn", "syn-ack", "ack", "data", "fin", "reset", "window"}

// segment is something on its way from one end to the other.
type segment struct {
	kind kind
	from *end
	to   *end // nil for a SYN: nobody is there yet
	data []byte
}

// keepSegment is the longest buffer that is kept with a segment for the next one.
const keepSegment = 1 << 10

func (w *World) segment(k kind, from, to *end, data []byte) *segment {
	var s *segment
	if n := len(w.spare); n > 0 {
		s = w.spare[n-1]
		w.spare = w.spare[:n-1]
	} else {
		s = &segment{}
	}
	s.kind, s.from, s.to, s.data = k, from, to, append(s.data[:0], data...)
	return s
}

func (w *World) done(s *segment) {
	if cap(s.data) > keepSegment {
		s.data = nil
	}
	s.from, s.to = nil, nil
	w.spare = append(w.spare, s)
}

// send puts a segment on its way, after all that this end sent before.
func (e *end) send(k kind, data []byte) {
	w := e.path.from.world
	s := w.segment(k, e, e.far, data)
	d, lost := e.path.transit(w.now, len(data))
	if lost {
		d += max(minRTO, 2*d)
	}
	e.lastAt = max(e.lastAt, w.now+d)
	w.queue.push(e.lastAt, s)
}

// happen is the segment's arrival, or the next try.
func (s *segment) happen(w *World) {
	e := s.from
	if e.tries > 0 && (len(e.held) == 0 || e.held[0] != s) {
		e.held = append(e.held, s) // it was on its way behind one that got lost
		return
	}
	if e.path.carries() && (s.kind != segSyn || e.admitted()) {
		first := e.tries > 0
		e.tries = 0
		s.arrive(w)
		if first {
			rest := e.held[1:]
			e.held = nil
			for _, s := range rest {
				s.arrive(w)
			}
		}
		return
	}
	w.note(Record{What: "lost", From: e.path.from, To: e.path.to, Port: e.conn.Port, Size: len(s.data)})
	if s.kind == segReset || e.mute || s.kind == segSyn && e.closed {
		if e.tries > 0 { // it was sent again on behalf of a machine that is gone now
			e.tries, e.held = 0, nil
		}
		return // nobody sends it again
	}
	if e.tries == 0 {
		e.held = append([]*segment{s}, e.held...)
	}
	wait, most := minRTO, 15 // tries, as Linux has them for data
	if s.kind == segSyn {
		wait, most = synRTO, 6
	}
	if e.tries++; e.tries > most {
		e.tries, e.held = 0, nil
		e.fail(unix.ETIMEDOUT)
		return
	}
	w.queue.push(w.now+min(wait<<(e.tries-1), maxRTO), s)
}

// admitted tells whether the far machine has room for one more that is not accepted yet.
func (e *end) admitted() bool {
	l := e.path.to.listeners[e.conn.Port]
	return l == nil || len(l.queue) < backlog
}

// backlog is how many connections wait to be accepted at the most; a SYN beyond that is dropped.
const backlog = 4096

func (s *segment) arrive(w *World) {
	e, to := s.from, s.to
	w.note(Record{What: kindNames[s.kind], From: e.path.from, To: e.path.to, Port: e.conn.Port, Size: len(s.data)})
	switch s.kind {
	case segSyn:
		e.path.to.invited(e)
	case segSynAck:
		if to.closed {
			to.send(segReset, nil)
			break
		}
		to.phase = established
		to.send(segAck, nil)
		to.stir()
	case segAck:
		to.phase = established
		if l := to.path.from.listeners[to.conn.Port]; l != nil && !to.closed && to.life == l.watch_.host.life {
			l.queue = append(l.queue, to)
			l.watch_.stir(l)
		} else if !to.closed {
			to.closed = true
			to.send(segReset, nil)
		}
	case segData:
		if to.closed {
			if !to.path.from.dark {
				to.send(segReset, nil)
			}
			break
		}
		if w.tap != nil {
			w.tap.Arrived(to.conn, to.path.from, s.data)
		}
		to.heard = w.now
		if to.off == len(to.in) {
			to.in, to.off = to.in[:0], 0
		}
		to.in = append(to.in, s.data...)
		to.stir()
	case segFin:
		w.endArrived(to)
		to.finIn = true
		if to.closed && to.mute && !to.path.from.dark {
			to.send(segReset, nil) // of an earlier life
		}
		to.stir()
	case segReset:
		w.endArrived(to)
		if to.phase == connecting {
			to.fail(unix.ECONNREFUSED)
		} else {
			to.fail(unix.ECONNRESET)
		}
	case segWindow:
		to.shut = false
		to.stir()
	}
	w.done(s)
}

func (w *World) endArrived(to *end) {
	if w.tap != nil && !to.closed {
		w.tap.EndArrived(to.conn, to.path.from)
	}
}

// fail breaks the end. What had arrived before can still be read.
func (e *end) fail(err error) {
	if e.closed || e.hung {
		return
	}
	e.err, e.hung = err, true
	e.stir()
}

// invited takes a SYN, late for a part of them where LateConnects says so.
func (h *Host) invited(e *end) {
	if h.latePart > 0 {
		if r := h.world.path(h, e.path.from).draw(); r.Float64() < h.latePart {
			h.world.After(time.Duration(r.Int64N(int64(h.lateMost)+1)), func() { h.answer(e) })
			return
		}
	}
	h.answer(e)
}

// DelayConnects has a part of the connections to the host, 0 to 1, come up later by up to most.
func (h *Host) DelayConnects(part float64, most time.Duration) { h.latePart, h.lateMost = part, most }

func (h *Host) answer(e *end) {
	l := h.listeners[e.conn.Port]
	back := h.world.path(h, e.path.from)
	s := &end{
		conn: e.conn, far: e, path: back, local: e.remote, remote: e.local, phase: answering,
		most: h.limits.SendBuffer + dialReceive,
	}
	s.life = h.life
	e.far = s
	if l == nil {
		s.closed = true
		s.send(segReset, nil)
		return
	}
	e.most = e.path.from.limits.SendBuffer + l.receive
	s.send(segSynAck, nil)
}

// dialReceive is what the dialler's machine keeps unread of a connection.
const dialReceive = 64 << 10

func (e *end) read(p []byte) (int, error) {
	if len(e.in) > e.off {
		n := copy(p, e.in[e.off:])
		if e.off += n; e.off == len(e.in) {
			if e.off = 0; cap(e.in) > keepSegment {
				e.in = nil
			} else {
				e.in = e.in[:0]
			}
		}
		if f := e.far; f != nil {
			if f.unread -= n; f.shut && f.unread <= f.most/2 && !e.hung {
				e.send(segWindow, nil)
			}
		}
		return n, nil
	}
	switch {
	case e.err != nil:
		err := e.err
		e.err = nil
		return 0, err
	case e.finIn || e.hung:
		return 0, nil
	}
	return 0, poll.ErrAgain
}

func (e *end) write(p []byte) (int, error) {
	switch {
	case e.err != nil:
		err := e.err
		e.err = nil
		return 0, err
	case e.hung || e.finOut:
		return 0, unix.EPIPE
	case e.phase != established:
		return 0, poll.ErrAgain
	}
	n := min(e.most-e.unread, len(p))
	if n < len(p) {
		e.shut = true
	}
	if n <= 0 {
		if len(p) == 0 {
			return 0, nil
		}
		return 0, poll.ErrAgain
	}
	e.unread += n
	if w := e.path.from.world; w.tap != nil {
		w.tap.Sent(e.conn, e.path.from, p[:n])
	}
	e.send(segData, p[:n])
	return n, nil
}

// ended tells the tap, once, that this side's process is through with the connection.
func (e *end) ended() {
	if w := e.path.from.world; w.tap != nil && !e.finOut {
		w.tap.Ended(e.conn, e.path.from)
	}
}

func (e *end) closeWrite() {
	if e.finOut || e.hung || e.phase != established {
		return
	}
	e.ended()
	e.finOut = true
	e.send(segFin, nil)
	e.stir() // both directions may be over now
}

func (e *end) close() {
	if e.closed {
		return
	}
	e.ended()
	e.closed = true
	unread := len(e.in) > e.off
	e.in = nil
	switch {
	case e.mute || e.hung || e.phase == connecting:
	case e.linger0 || unread:
		e.send(segReset, nil)
	case !e.finOut:
		e.send(segFin, nil)
	}
}

// listener takes connections at a port.
type listener struct {
	watch_  watch
	port    uint16
	receive int
	queue   []*end
}

func (l *listener) watch() *watch     { return &l.watch_ }
func (l *listener) state() poll.Ready { return poll.Ready{Read: len(l.queue) > 0} }

func (l *listener) close() {
	delete(l.watch_.host.listeners, l.port)
	for _, e := range l.queue {
		e.linger0 = true
		e.close()
	}
	l.queue = nil
}

// spareFile is a descriptor that stands for nothing.
type spareFile struct{ watch_ watch }

func (s *spareFile) watch() *watch     { return &s.watch_ }
func (s *spareFile) state() poll.Ready { return poll.Ready{} }
func (s *spareFile) close()            {}
