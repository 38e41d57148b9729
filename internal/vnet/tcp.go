package vnet

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"ospreyspan/internal/poll"
)

// Conn identifies one connection to a Tap.
type Conn struct {
	ID       uint64 // counted from 1
	Dialler  *Host
	Listener *Host
	Port     uint16 // port of the listener
	User     any    // free for the use of the tap
}

// Tap observes what the processes of a world pass to their sockets, at the moment they do so. Data
// that is in flight at that moment is delivered all the same. A Tap must not modify the world. The
// byte slices are valid only during the call.
type Tap interface {
	// Sent is called when a process has written to a connection.
	Sent(c *Conn, from *Host, data []byte)
	// Ended is called when a process has closed its side, shut down its sending direction or reset
	// it, or has died.
	Ended(c *Conn, from *Host)
	// Arrived is called when bytes have reached the other machine.
	Arrived(c *Conn, at *Host, data []byte)
	// EndArrived is called when a FIN or a reset has reached the other machine.
	EndArrived(c *Conn, at *Host)
}

// SetTap sets a tap that observes all connections; nil removes it.
func (w *World) SetTap(t Tap) { w.tap = t }

// endState is the connection state of an end.
type endState uint8

const (
	connecting  endState = iota
	synReceived          // the listener's side, until the ACK of the dialler
	established
)

// end is one endpoint of a TCP connection.
type end struct {
	watchState watch
	conn       *Conn
	peer       *end // nil while connecting
	path       *path
	local      netip.AddrPort
	remote     netip.AddrPort

	received     []byte // unread bytes, starting at readOffset
	readOffset   int
	lastReceived time.Duration // virtual time at which bytes last arrived

	// State of the sending direction.
	lastArrival time.Duration // arrival time of the last segment sent
	unread      int           // bytes sent that the peer process has not read
	maxUnread   int           // most bytes that may be unread
	attempts    int           // failed transmissions of the first waiting segment; 0: none
	waiting     []*segment    // the lost segment and those that wait behind it

	err          error // pending error; cleared by SocketError, Read or Send
	phase        endState
	windowClosed bool // a send found the window full; writability is reported once it opens
	finReceived  bool // the peer has ended its sending direction
	finSent      bool // this end has ended its sending direction
	broken       bool // reset or failed
	closed       bool // the descriptor was closed
	resetOnClose bool // close sends a reset (SO_LINGER with a timeout of 0)
	silent       bool // close sends nothing
	incarnation  int  // incarnation of the host's process that owns the end
}

func (e *end) watch() *watch { return &e.watchState }

func (e *end) state() poll.Ready {
	return poll.Ready{
		Read:   len(e.received) > e.readOffset || e.finReceived || e.broken,
		Write:  e.phase == established && !e.windowClosed || e.broken,
		Hangup: e.broken || e.finReceived && e.finSent,
	}
}

func (e *end) notify() {
	if e.watchState.host != nil {
		e.watchState.notify(e)
	}
}

// kind is the type of a segment.
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

// segment is a segment in flight from one end to the other.
type segment struct {
	kind kind
	from *end
	to   *end // nil for a SYN: the peer end does not exist yet
	data []byte
}

// maxPooledBuffer is the capacity in bytes of the largest buffer that is kept for reuse.
const maxPooledBuffer = 1 << 10

// segment returns a segment from the pool, or a new one, with a copy of data.
func (w *World) segment(k kind, from, to *end, data []byte) *segment {
	var s *segment
	if n := len(w.segmentPool); n > 0 {
		s = w.segmentPool[n-1]
		w.segmentPool = w.segmentPool[:n-1]
	} else {
		s = &segment{}
	}
	s.kind, s.from, s.to, s.data = k, from, to, append(s.data[:0], data...)
	return s
}

func (w *World) recycle(s *segment) {
	if cap(s.data) > maxPooledBuffer {
		s.data = nil
	}
	s.from, s.to = nil, nil
	w.segmentPool = append(w.segmentPool, s)
}

// send transmits a segment, to arrive after all that this end sent before. A lost segment arrives
// later by the delay of one retransmission.
func (e *end) send(k kind, data []byte) {
	w := e.path.from.world
	s := w.segment(k, e, e.peer, data)
	d, lost := e.path.transit(w.now, len(data))
	if lost {
		d += max(minRTO, 2*d)
	}
	e.lastArrival = max(e.lastArrival, w.now+d)
	w.queue.push(e.lastArrival, s)
}

// execute processes the arrival of the segment, or its next retransmission.
func (s *segment) execute(w *World) {
	e := s.from
	if e.attempts > 0 && (len(e.waiting) == 0 || e.waiting[0] != s) {
		e.waiting = append(e.waiting, s) // it was in flight behind a lost segment
		return
	}
	if e.path.delivers() && (s.kind != segSyn || e.acceptQueueHasRoom()) {
		retransmitted := e.attempts > 0
		e.attempts = 0
		s.arrive(w)
		if retransmitted {
			rest := e.waiting[1:]
			e.waiting = nil
			for _, s := range rest {
				s.arrive(w)
			}
		}
		return
	}
	w.record(Record{What: "lost", From: e.path.from, To: e.path.to, Port: e.conn.Port, Size: len(s.data)})
	if s.kind == segReset || e.silent || s.kind == segSyn && e.closed {
		if e.attempts > 0 { // it was retransmitted on behalf of a machine that is gone now
			e.attempts, e.waiting = 0, nil
		}
		return // it is not retransmitted
	}
	if e.attempts == 0 {
		e.waiting = append([]*segment{s}, e.waiting...)
	}
	wait, maxAttempts := minRTO, 15 // retransmissions of data, as in Linux
	if s.kind == segSyn {
		wait, maxAttempts = synRTO, 6
	}
	if e.attempts++; e.attempts > maxAttempts {
		e.attempts, e.waiting = 0, nil
		e.fail(unix.ETIMEDOUT)
		return
	}
	w.queue.push(w.now+min(wait<<(e.attempts-1), maxRTO), s)
}

// acceptQueueHasRoom reports whether the remote machine has room for one more connection that is
// not accepted yet.
func (e *end) acceptQueueHasRoom() bool {
	l := e.path.to.listeners[e.conn.Port]
	return l == nil || len(l.queue) < maxBacklog
}

// maxBacklog is the largest number of connections that wait to be accepted; a SYN beyond that is
// dropped.
const maxBacklog = 4096

func (s *segment) arrive(w *World) {
	e, to := s.from, s.to
	w.record(Record{What: kindNames[s.kind], From: e.path.from, To: e.path.to, Port: e.conn.Port, Size: len(s.data)})
	switch s.kind {
	case segSyn:
		e.path.to.handleSYN(e)
	case segSynAck:
		if to.closed {
			to.send(segReset, nil)
			break
		}
		to.phase = established
		to.send(segAck, nil)
		to.notify()
	case segAck:
		to.phase = established
		if l := to.path.from.listeners[to.conn.Port]; l != nil && !to.closed && to.incarnation == l.watchState.host.incarnation {
			l.queue = append(l.queue, to)
			l.watchState.notify(l)
		} else if !to.closed {
			to.closed = true
			to.send(segReset, nil)
		}
	case segData:
		if to.closed {
			if !to.path.from.unreachable {
				to.send(segReset, nil)
			}
			break
		}
		if w.tap != nil {
			w.tap.Arrived(to.conn, to.path.from, s.data)
		}
		to.lastReceived = w.now
		if to.readOffset == len(to.received) {
			to.received, to.readOffset = to.received[:0], 0
		}
		to.received = append(to.received, s.data...)
		to.notify()
	case segFin:
		w.notifyEndArrived(to)
		to.finReceived = true
		if to.closed && to.silent && !to.path.from.unreachable {
			to.send(segReset, nil) // the connection belongs to an earlier incarnation
		}
		to.notify()
	case segReset:
		w.notifyEndArrived(to)
		if to.phase == connecting {
			to.fail(unix.ECONNREFUSED)
		} else {
			to.fail(unix.ECONNRESET)
		}
	case segWindow:
		to.windowClosed = false
		to.notify()
	}
	w.recycle(s)
}

func (w *World) notifyEndArrived(to *end) {
	if w.tap != nil && !to.closed {
		w.tap.EndArrived(to.conn, to.path.from)
	}
}

// fail breaks the end with err. Bytes that arrived before can still be read.
func (e *end) fail(err error) {
	if e.closed || e.broken {
		return
	}
	e.err, e.broken = err, true
	e.notify()
}

// handleSYN processes a SYN. A share of the SYNs is delayed as configured by DelayConnects.
func (h *Host) handleSYN(e *end) {
	if h.delayedConnectRatio > 0 {
		if r := h.world.path(h, e.path.from).rand(); r.Float64() < h.delayedConnectRatio {
			h.world.After(time.Duration(r.Int64N(int64(h.maxConnectDelay)+1)), func() { h.answerSYN(e) })
			return
		}
	}
	h.answerSYN(e)
}

// DelayConnects delays the establishment of a share of the connections to the host, 0 to 1, by a
// random time of up to maxDelay.
func (h *Host) DelayConnects(ratio float64, maxDelay time.Duration) {
	h.delayedConnectRatio, h.maxConnectDelay = ratio, maxDelay
}

// answerSYN creates the listener's end and answers with a SYN-ACK, or with a reset if no process
// listens on the port.
func (h *Host) answerSYN(e *end) {
	l := h.listeners[e.conn.Port]
	returnPath := h.world.path(h, e.path.from)
	synEnd := &end{
		conn: e.conn, peer: e, path: returnPath, local: e.remote, remote: e.local, phase: synReceived,
		maxUnread: h.limits.SendBuffer + diallerReceiveBuffer,
	}
	synEnd.incarnation = h.incarnation
	e.peer = synEnd
	if l == nil {
		synEnd.closed = true
		synEnd.send(segReset, nil)
		return
	}
	e.maxUnread = e.path.from.limits.SendBuffer + l.receiveBuffer
	synEnd.send(segSynAck, nil)
}

// diallerReceiveBuffer is the receive buffer in bytes of a connection on the dialler's machine.
const diallerReceiveBuffer = 64 << 10

func (e *end) read(p []byte) (int, error) {
	if len(e.received) > e.readOffset {
		n := copy(p, e.received[e.readOffset:])
		if e.readOffset += n; e.readOffset == len(e.received) {
			if e.readOffset = 0; cap(e.received) > maxPooledBuffer {
				e.received = nil
			} else {
				e.received = e.received[:0]
			}
		}
		if f := e.peer; f != nil {
			if f.unread -= n; f.windowClosed && f.unread <= f.maxUnread/2 && !e.broken {
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
	case e.finReceived || e.broken:
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
	case e.broken || e.finSent:
		return 0, unix.EPIPE
	case e.phase != established:
		return 0, poll.ErrAgain
	}
	n := min(e.maxUnread-e.unread, len(p))
	if n < len(p) {
		e.windowClosed = true
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

// notifyEnded tells the tap that this side's process has ended its use of the connection, unless it
// was told so when the sending direction ended.
func (e *end) notifyEnded() {
	if w := e.path.from.world; w.tap != nil && !e.finSent {
		w.tap.Ended(e.conn, e.path.from)
	}
}

func (e *end) closeWrite() {
	if e.finSent || e.broken || e.phase != established {
		return
	}
	e.notifyEnded()
	e.finSent = true
	e.send(segFin, nil)
	e.notify() // both directions may have ended now
}

func (e *end) close() {
	if e.closed {
		return
	}
	e.notifyEnded()
	e.closed = true
	unread := len(e.received) > e.readOffset
	e.received = nil
	switch {
	case e.silent || e.broken || e.phase == connecting:
	case e.resetOnClose || unread:
		e.send(segReset, nil)
	case !e.finSent:
		e.send(segFin, nil)
	}
}

// listener accepts connections on a port.
type listener struct {
	watchState    watch
	port          uint16
	receiveBuffer int
	queue         []*end
}

func (l *listener) watch() *watch     { return &l.watchState }
func (l *listener) state() poll.Ready { return poll.Ready{Read: len(l.queue) > 0} }

func (l *listener) close() {
	delete(l.watchState.host.listeners, l.port)
	for _, e := range l.queue {
		e.resetOnClose = true
		e.close()
	}
	l.queue = nil
}

// reserveFile is a descriptor without a socket, held in reserve.
type reserveFile struct{ watchState watch }

func (s *reserveFile) watch() *watch     { return &s.watchState }
func (s *reserveFile) state() poll.Ready { return poll.Ready{} }
func (s *reserveFile) close()            {}
