package proxy

import (
	"container/list"
	"errors"
	"io"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

type sessionState uint8

const (
	opening     sessionState = iota // the client's first line is to come
	waiting                         // it waits for its answer
	established                     // lines pass both ways
	closing                         // it has its last line
	closed
)

// session is one client's connection. It owns the link, its timer and the hop that is out for it.
type session struct {
	frontend        *LineFrontend
	link            link
	state           sessionState
	open            line.Open
	exchange        *Exchange
	hop             *hop
	timer           poll.Timer
	clientEOF       bool          // standing: the client has ended its sending
	clientLeft      bool          // it left while it waited: its hop, if one is out, ends by its target's or the module's word
	linesBeforeOpen int           // lines before the one that opens
	discarded       int           // closing: bytes that were read and dropped
	index           int           // index in the front's table
	idleElement     *list.Element // its place among the front's idle connections; nil: not there
}

var (
	moveLine = []byte("MOVE\r\n")
	errLine  = []byte("ERR\r\n")
	pongLine = []byte("PONG\r\n")
	noLine   = []byte("NO\r\n")
)

func busy(after time.Duration) []byte { return line.AppendBusy(nil, after) }

// Ready is called by the loop.
func (s *session) Ready(r poll.Ready) {
	if r.Write && len(s.link.unsent) > 0 {
		if err := s.link.flush(); err != nil {
			s.handleFailure()
			return
		}
		if s.state == established && !s.link.backlogged() {
			s.hop.setReading(true)
		}
	}
	if s.state != closed && (r.Read && !s.link.eof || r.Hangup) {
		s.read()
	}
}

func (s *session) read() {
	if s.state == closing {
		s.discardInput()
		return
	}
	scratch := s.frontend.scratch
	if s.state != established {
		scratch = scratch[:openingReadSize]
	}
	lines, err := s.link.readLines(scratch)
	switch {
	case err == nil:
		s.handleLines(lines)
	case errors.Is(err, io.EOF):
		s.handleEOF()
	case errors.Is(err, line.ErrTooLong):
		s.rejectMalformed("line over 4096 bytes")
	default:
		s.handleFailure()
	}
}

// spill reads on for a while after the last line: a connection that is closed with bytes unread is reset, and
// that can take the answer with it. What is beyond spillMost stays in the kernel, where it costs nothing.
func (s *session) discardInput() {
	n, err := s.link.sock.Read(s.frontend.scratch)
	switch s.discarded += n; {
	case errors.Is(err, io.EOF):
		s.link.eof = true
		s.link.updateInterest()
		s.handleEOF()
	case err != nil && !errors.Is(err, poll.ErrAgain):
		s.close()
	case s.discarded > maxDiscard:
		s.link.readPaused = true
		s.link.updateInterest()
	}
}

// take deals with whole lines from the client.
func (s *session) handleLines(lines []byte) {
	switch s.state {
	case opening:
		for len(lines) > 0 && s.state == opening {
			var first []byte
			first, lines = line.Next(lines)
			s.handleOpeningLine(line.Text(first), len(lines)+len(s.link.partial) > 0)
		}
	case waiting: // one that sends more before its answer is no client of this protocol
		if len(lines)+len(s.link.partial) > 0 {
			s.rejectMalformed("lines before its answer")
		}
	case established:
		s.forwardLines(lines)
	}
}

// first takes a line of a connection that opens; more tells that others came with it. Whoever sends hundreds
// of requests in one go must not have the first of them served as though it had sent that alone.
func (s *session) handleOpeningLine(text []byte, more bool) {
	f := s.frontend
	if ping := string(text) == "PING"; ping || string(text) == "STATS" {
		switch s.linesBeforeOpen++; {
		case s.linesBeforeOpen > maxOpeningLines:
			s.rejectMalformed("too many lines before its request")
		case ping && f.engine.CanServe():
			f.count.Pings++
			s.reply(pongLine)
		default: // it can't serve yet; a proxy is no target of probes
			s.reply(noLine)
		}
		return
	}
	open, err := line.ParseOpen(text)
	if err == nil && more {
		err = errors.New("lines before its answer")
	}
	if err != nil {
		s.rejectMalformed(err.Error())
		return
	}
	if f.drain.shut {
		f.count.Shed++
		s.closeAfter(busy(f.engine.RetryAfter(drainAdvice)))
		return
	}
	f.keep(s)
	if open.At == "" && !f.roomForAttempt() {
		f.countFull()
		s.closeAfter(busy(f.engine.RetryAfter(fullAdvice)))
		return
	}
	// The client's time runs since it sent the line, which may have waited for this turn of the loop.
	offer := ClientRequest{
		ID: open.ID, Class: open.Class, Tenant: open.Tenant, Key: open.Key, Group: open.Group, Again: open.Again,
		Wait: max(open.Wait-s.link.sock.Idle(), 0),
	}
	if open.At != "" {
		s.exchange, err = f.engine.Adopt(s, offer, open.At)
	} else {
		s.exchange, err = f.engine.Accept(s, offer)
	}
	if err != nil {
		s.rejectMalformed(err.Error())
		return
	}
	s.open, s.state = open, waiting
	f.pendingAttempts.add(1)
	f.loop.Disarm(&s.timer)
}

// say writes a line while the connection opens.
func (s *session) reply(text []byte) {
	if s.link.write(text) != nil {
		s.handleFailure()
	}
}

// pass hands lines on to the egress target.
func (s *session) forwardLines(lines []byte) {
	if len(lines) > 0 {
		s.hop.forwardToTarget(lines)
	}
}

// malformed answers what is not of the protocol and closes the connection. Such clients may come by the
// hundred and again at once: only the first is worth a line of the log, the counters have the others.
func (s *session) rejectMalformed(what string) {
	if s.frontend.count.Malformed++; s.frontend.count.Malformed == 1 {
		s.frontend.log.Printf("client: %s; closed. Others are counted only", what)
	}
	switch s.state {
	case opening:
		s.closeAfter(errLine)
	case waiting:
		s.markLeft()
		s.closeAfter(errLine)
	case established:
		s.endGracefully(balance.Cancelled)
	default:
		s.close()
	}
}

// leave takes down that nothing is owed to the client any more: it left before its answer, or broke the protocol.
func (s *session) markLeft() {
	s.clientLeft = true
	s.exchange.ClientLeft()
}

// ended deals with a client that ended its sending.
func (s *session) handleEOF() {
	switch s.state {
	case closing:
		if len(s.link.unsent) == 0 {
			s.close()
		}
	case opening:
		s.close()
	case waiting:
		// A client that has only ended its sending still reads: it gets a final answer like any other.
		s.markLeft()
		if s.exchange.mayShed(0) {
			s.closeAfter(busy(0))
		} else {
			s.closeAfter(errLine)
		}
	case established:
		s.clientEOF = true
		s.hop.link.closeWrite()
		s.frontend.loop.After(&s.timer, lingerTimeout)
	}
}

// broke deals with a connection to the client that broke.
func (s *session) handleFailure() {
	switch s.state {
	case waiting:
		s.markLeft()
		s.close()
	case established:
		o := s.hop.outcome(balance.Cancelled)
		if !s.clientEOF { // else its side has ended already, and not by a reset
			s.hop.link.reset()
		}
		s.endHop()
		s.exchange.Ended(o, noReport)
		s.close()
	default:
		s.close()
	}
}

// due is called by the timer.
func (s *session) handleTimeout() {
	switch s.state {
	case opening:
		s.closeAfter(busy(0)) // a line that is on its way has its answer
	case established:
		s.endGracefully(balance.Cancelled)
	default:
		s.close()
	}
}

// last sends the client its last line and closes the connection once that is out.
func (s *session) closeAfter(text []byte) {
	if s.state == closed {
		return
	}
	s.state = closing
	if s.link.write(text) != nil {
		s.close()
		return
	}
	s.link.readPaused = false
	s.link.partial = nil
	s.link.closeWrite()
	if len(s.link.unsent) == 0 {
		s.frontend.mayMakeRoom(s)
	}
	switch {
	case len(s.link.unsent) > 0:
		s.frontend.loop.After(&s.timer, flushTimeout)
	case s.link.eof:
		s.frontend.loop.After(&s.timer, lingerTimeout/4)
	default:
		s.frontend.loop.After(&s.timer, lingerTimeout)
	}
}

// abandon ends a standing connection politely on both sides.
func (s *session) endGracefully(o balance.Outcome) {
	if s.hop.forwardPending(); s.state != established {
		return
	}
	s.endHop()
	s.exchange.Ended(o, noReport)
	s.closeAfter(moveLine)
}

func (s *session) endHop() {
	if s.hop != nil {
		s.hop.link.close()
		s.hop.release()
		s.hop = nil
	}
}

// close gives back all that the session owns.
func (s *session) close() {
	if s.state == closed {
		return
	}
	s.state = closed
	s.frontend.loop.Disarm(&s.timer)
	s.frontend.keep(s)
	if !s.clientLeft {
		s.endHop()
	}
	s.link.close()
	s.frontend.removeSession(s)
}

// Hop, Recall, Drop, Shed, Fail and Move are the engine's wishes (see Client).

// Hop starts a hop.
func (s *session) Hop(to *routes.Target, wait time.Duration) { s.startHop(to, wait) }

// CancelUnsent gives up a hop of which the target can't have the whole line: a part of one is no request.
func (s *session) CancelUnsent() bool {
	if s.hop == nil || s.hop.state != hopDialing && s.hop.state != hopSending {
		return false
	}
	s.endHop()
	return true
}

// CancelHop gives the hop up.
func (s *session) CancelHop() { s.endHop() }

// Refuse refuses the client.
func (s *session) Refuse(after time.Duration) {
	s.endHop()
	s.closeAfter(busy(after))
}

// Fail tells the client that its request failed.
func (s *session) Fail() {
	s.endHop()
	s.closeAfter(errLine)
}

// Move sends the client away between two lines. The whole lines that its target sent so far are written or kept for it.
func (s *session) Move() {
	if s.hop.forwardPending(); s.state != established {
		return
	}
	s.endHop()
	s.closeAfter(moveLine)
}
