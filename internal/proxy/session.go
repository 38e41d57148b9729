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
	opening     sessionState = iota // the client has not sent its OPEN line yet
	waiting                         // the client waits for its answer
	established                     // lines pass both ways
	closing                         // the last line to the client is written or queued
	closed
)

// session is one client's connection. It owns its link, its timer and its current hop.
type session struct {
	frontend        *LineFrontend
	link            link
	state           sessionState
	open            line.Open
	exchange        *Exchange
	hop             *hop
	timer           poll.Timer
	clientEOF       bool          // established: the client has closed its sending side
	clientLeft      bool          // left while waiting: the target or module ends its hop, if any
	linesBeforeOpen int           // lines received before the OPEN line
	discarded       int           // closing: bytes read and discarded
	index           int           // position in the frontend's sessions
	idleElement     *list.Element // entry in the frontend's idleConns; nil: not idle
}

var (
	moveLine = []byte("MOVE\r\n")
	errLine  = []byte("ERR\r\n")
	pongLine = []byte("PONG\r\n")
	noLine   = []byte("NO\r\n")
)

func busy(after time.Duration) []byte { return line.AppendBusy(nil, after) }

// Ready handles socket events; the loop calls it.
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
	scratch := s.frontend.readBuffer()
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

// discardInput keeps reading after the last line was sent: closing a connection with unread bytes
// resets it, and the reset can destroy the answer. Input beyond maxDiscard stays in the kernel,
// where it costs nothing.
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

// handleLines processes complete lines from the client.
func (s *session) handleLines(lines []byte) {
	switch s.state {
	case opening:
		for len(lines) > 0 && s.state == opening {
			var first []byte
			first, lines = line.Next(lines)
			s.handleOpeningLine(line.TrimLineEnd(first), len(lines)+len(s.link.partial) > 0)
		}
	case waiting: // the protocol does not allow a client to send more before its answer
		if len(lines)+len(s.link.partial) > 0 {
			s.rejectMalformed("data sent before the answer")
		}
	case established:
		s.forwardLines(lines)
	}
}

// handleOpeningLine processes a line that arrives before the answer is due; more reports whether
// further data came with it. A client that sends hundreds of requests at once must not have the
// first of them served as though it had been sent alone.
func (s *session) handleOpeningLine(text []byte, more bool) {
	f := s.frontend
	if ping := string(text) == "PING"; ping || string(text) == "STATS" {
		switch s.linesBeforeOpen++; {
		case s.linesBeforeOpen > maxOpeningLines:
			s.rejectMalformed("too many lines before the request")
		case ping && f.engine.CanServe():
			f.counters.Pings++
			s.reply(pongLine)
		default: // the proxy cannot serve yet, or the line is STATS, which proxies do not answer
			s.reply(noLine)
		}
		return
	}
	open, err := line.ParseOpen(text)
	if err == nil && more {
		err = errors.New("data sent before the answer")
	}
	if err != nil {
		s.rejectMalformed(err.Error())
		return
	}
	if f.drain.refusing {
		f.counters.Shed++
		s.closeAfter(busy(f.engine.RetryAfter(drainRetryAfter)))
		return
	}
	f.markActive(s)
	if open.CurrentTarget == "" && !f.hasRoomForAttempt() {
		f.countDescriptorRefusal()
		s.closeAfter(busy(f.engine.RetryAfter(noDescriptorRetryAfter)))
		return
	}
	// The client's time-out began when it sent the line, which may have waited in the kernel for
	// this turn of the loop.
	offer := ClientRequest{
		ID: open.ID, Class: open.Class, Tenant: open.Tenant, Key: open.Key, AffinityGroup: open.AffinityGroup, Again: open.Reconnect,
		Wait: max(open.MaxWait-s.link.sock.Idle(), 0),
	}
	if open.CurrentTarget != "" {
		s.exchange, err = f.engine.Adopt(s, offer, open.CurrentTarget)
	} else {
		s.exchange, err = f.engine.Accept(s, offer)
	}
	if err != nil {
		s.reject(err)
		return
	}
	s.open, s.state = open, waiting
	f.pendingAttempts.add(1)
	f.loop.Disarm(&s.timer)
}

// reject answers a request that the engine does not accept.
func (s *session) reject(err error) {
	f := s.frontend
	switch {
	case errors.Is(err, ErrRepeated): // a refusal would invite the client to repeat it once more
		f.counters.Repeated++
		s.closeAfter(errLine)
	case errors.Is(err, ErrNoRecord):
		f.counters.NoRecord++
		s.closeAfter(busy(f.engine.RetryAfter(noRecordRetryAfter)))
	default:
		s.rejectMalformed(err.Error())
	}
}

// reply writes a line to a client that has not sent its request yet.
func (s *session) reply(text []byte) {
	if s.link.write(text) != nil {
		s.handleFailure()
	}
}

// forwardLines sends lines of the client to the egress target.
func (s *session) forwardLines(lines []byte) {
	if len(lines) > 0 {
		s.hop.forwardToTarget(lines)
	}
}

// rejectMalformed answers a protocol violation and closes the connection. Such clients may come by
// the hundred and reconnect at once, so only the first one is logged; the counter has them all.
func (s *session) rejectMalformed(what string) {
	if s.frontend.counters.Malformed++; s.frontend.counters.Malformed == 1 {
		s.frontend.log.Printf("client: protocol error: %s; connection closed; later ones are only counted", what)
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

// markLeft records that the client left before its answer, or broke the protocol, and that its
// exchange needs no answer any more.
func (s *session) markLeft() {
	s.clientLeft = true
	s.exchange.ClientLeft()
}

// handleEOF handles a client that closed its sending side.
func (s *session) handleEOF() {
	switch s.state {
	case closing:
		if len(s.link.unsent) == 0 {
			s.close()
		}
	case opening:
		s.close()
	case waiting:
		// A client that has closed only its sending side still reads: it gets a final answer.
		s.markLeft()
		if s.exchange.mayRefuse(0) {
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

// handleFailure handles an I/O error on the connection to the client.
func (s *session) handleFailure() {
	switch s.state {
	case waiting:
		s.markLeft()
		s.close()
	case established:
		o := s.hop.outcome(balance.Cancelled)
		if !s.clientEOF { // else the client's side was closed before, and without a reset
			s.hop.link.reset()
		}
		s.endHop()
		s.exchange.Ended(o, noReport)
		s.close()
	default:
		s.close()
	}
}

// handleTimeout handles the expiry of the session's timer.
func (s *session) handleTimeout() {
	switch s.state {
	case opening:
		s.closeAfter(busy(0)) // also answers a request that is still on its way
	case established:
		s.endGracefully(balance.Cancelled)
	default:
		s.close()
	}
}

// closeAfter sends the client its last line and closes the connection once that is written.
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
		s.frontend.markIdle(s)
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

// endGracefully ends an established connection: the lines already received from the target are
// forwarded, its link is closed, and the client is sent MOVE.
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

// close releases everything that the session owns.
func (s *session) close() {
	if s.state == closed {
		return
	}
	s.state = closed
	s.frontend.loop.Disarm(&s.timer)
	s.frontend.markActive(s)
	if !s.clientLeft {
		s.endHop()
	}
	s.link.close()
	s.frontend.removeSession(s)
}

// Hop, CancelUnsent, CancelHop, Refuse, Fail and Move implement Client.

// Hop starts a hop at an egress target, which has to answer within wait.
func (s *session) Hop(to *routes.Target, wait time.Duration) { s.startHop(to, wait) }

// CancelUnsent cancels a hop whose first line is not written in full: a target does not take part
// of a line for a request. It reports whether there was such a hop.
func (s *session) CancelUnsent() bool {
	if s.hop == nil || s.hop.state != hopDialing && s.hop.state != hopSending {
		return false
	}
	s.endHop()
	return true
}

// CancelHop cancels the hop.
func (s *session) CancelHop() { s.endHop() }

// Refuse refuses the client, which may try again after the given time if it is above 0.
func (s *session) Refuse(after time.Duration) {
	s.endHop()
	s.closeAfter(busy(after))
}

// Fail tells the client that its request failed.
func (s *session) Fail() {
	s.endHop()
	s.closeAfter(errLine)
}

// Move tells the client to reconnect, between two lines. The whole lines that its target has sent
// so far are written, or queued for it.
func (s *session) Move() {
	if s.hop.forwardPending(); s.state != established {
		return
	}
	s.endHop()
	s.closeAfter(moveLine)
}
