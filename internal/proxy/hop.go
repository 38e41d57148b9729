package proxy

import (
	"errors"
	"io"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

type hopState uint8

const (
	hopDialing hopState = iota // nothing of the request is written; there may be no socket yet
	hopSending                 // the request is written in part
	hopSent                    // the request is written in full: the target may have run it
	hopEstablished
	hopEnded
)

// hop is one connection to an egress target on behalf of a client. Its session owns it; the hop
// owns its link and its timer.
type hop struct {
	session        *session
	target         *targetState
	link           link
	state          hopState
	answerDeadline time.Time // for the target's first answer
	dialDeadline   time.Time // for the connection to be established
	timer          poll.Timer
	// The following fields are used once the connection is established.
	pendingSince   time.Time       // when the oldest unanswered line was sent; zero: none
	lastHeard      time.Time       // when the target's last line arrived, whether it answers anything or not
	checkAt        time.Time       // when the timer is due
	endAnnouncedAt time.Time       // when the target announced the end with BYE or MOVE; zero: it did not
	targetOutcome  balance.Outcome // that it announced
}

// dialRetryDelay is the pause before a connection is tried again that this machine could not begin
// for lack of memory, ports or a route.
const dialRetryDelay = 10 * time.Millisecond

func (s *session) startHop(to *routes.Target, wait time.Duration) {
	f := s.frontend
	now := f.loop.Now()
	h := &hop{session: s, target: f.targetState(to), link: link{budget: f.backlog}, answerDeadline: now.Add(wait), dialDeadline: now.Add(min(wait, f.settings.DialTimeout))}
	h.timer.Fire = h.handleTimeout
	s.hop = h
	h.connect()
}

// connect begins the connection. If this machine lacks the resources, it tries again after
// dialRetryDelay, as they may be available a moment later: a hop that ended at once would be
// followed by all other attempts of its request in the same moment.
func (h *hop) connect() {
	f := h.session.frontend
	if !f.ensureFree(reservedFromAttempts + 1) {
		h.endWith(balance.NotSent, noReport)
		return
	}
	sock, err := f.loop.Dial(h.target.entry.Addr, h)
	again := f.loop.Now().Add(dialRetryDelay)
	switch {
	case err == nil:
		h.link.sock = sock
		f.pendingAttempts.add(-1)
		f.loop.Arm(&h.timer, h.dialDeadline)
	case (errors.Is(err, poll.ErrNoSocket) || errors.Is(err, poll.ErrNoPath)) && again.Before(h.dialDeadline):
		f.loop.Arm(&h.timer, again)
	default:
		h.endWith(dialOutcome(err), noReport)
	}
}

// dialOutcome returns the outcome of a connection that could not be begun. A shortage on this
// machine is no evidence against the target: a healthy one would otherwise be ejected.
func dialOutcome(err error) balance.Outcome {
	if errors.Is(err, poll.ErrNoSocket) {
		return balance.NotSent
	}
	return balance.NoConnect
}

// release stops the hop's timer and marks the hop as ended; the caller closes or resets its link.
func (h *hop) release() {
	h.session.frontend.loop.Disarm(&h.timer)
	h.state = hopEnded
}

// endWith ends a hop that was not established yet, and reports its outcome.
func (h *hop) endWith(o balance.Outcome, rep balance.Report) {
	h.session.endHop()
	h.session.exchange.Ended(o, rep)
}

// Ready handles socket events; the loop calls it.
func (h *hop) Ready(r poll.Ready) {
	switch {
	case h.state == hopDialing:
		if err := h.link.sock.DialError(); err != nil {
			h.endWith(balance.NoConnect, noReport)
			return
		}
		h.send()
		return
	case r.Write && len(h.link.unsent) > 0:
		if h.state == hopSending && !h.clientPresent() {
			return
		}
		if err := h.link.flush(); err != nil {
			h.handleFailure()
			return
		}
		if h.state == hopSending && len(h.link.unsent) == 0 {
			h.state = hopSent
		}
		if h.state == hopEstablished && !h.link.backlogged() {
			h.session.setReading(true)
		}
	}
	if h.state != hopEnded && (r.Read && !h.link.eof || r.Hangup) {
		h.read()
	}
}

// send forwards the client's first line. It first reads what arrived from the client while the
// connection was being established: the request of a client that has left or violated the protocol
// is not sent, in whatever order the kernel reports the two sockets. This read is the last check
// before the write, so that a process that was suspended after it read the clock still sees what
// arrived meanwhile.
func (h *hop) send() {
	f := h.session.frontend
	left := h.answerDeadline.Sub(f.loop.RefreshNow())
	if left < time.Millisecond || !h.session.exchange.BeginSend() {
		h.endWith(balance.NotSent, noReport)
		return
	}
	if !h.clientPresent() {
		return
	}
	f.lineBuffer = h.session.open.Append(f.lineBuffer[:0], left)
	if err := h.link.write(f.lineBuffer); err != nil {
		h.endWith(balance.NoConnect, noReport)
		return
	}
	h.state = hopSent
	if len(h.link.unsent) > 0 {
		h.state = hopSending
	}
	h.link.updateInterest()
	f.loop.Arm(&h.timer, h.answerDeadline)
}

// clientPresent reads what has arrived from the client and reports whether the hop goes on. The end
// of the client's connection may be visible in its socket only: the loop may have collected other
// events before it, or the process may not have run meanwhile.
func (h *hop) clientPresent() bool {
	if h.session.state == waiting {
		h.session.read()
	}
	return h.state != hopEnded
}

func (h *hop) read() {
	lines, err := h.link.readLines(h.session.frontend.readBuffer())
	switch {
	case err == nil && h.state == hopEstablished:
		h.forwardToClient(lines)
	case err == nil:
		if len(lines) > 0 {
			h.handleAnswer(lines)
		}
	case errors.Is(err, line.ErrTooLong):
		h.target.logViolation("line over 4096 bytes", nil)
		h.link.eof = true // what follows is the rest of that line, and is not forwarded
		if h.state == hopEstablished {
			h.session.endGracefully(balance.Broken)
		} else {
			h.endWith(balance.Error, noReport)
		}
	case errors.Is(err, io.EOF) && h.state == hopEstablished:
		h.handleEOF()
	default:
		h.handleFailure()
	}
}

// handleAnswer processes the target's first answer to the request.
func (h *hop) handleAnswer(lines []byte) {
	if h.session.state != waiting { // the client has left, or has another answer already
		h.endWith(balance.Cancelled, noReport)
		return
	}
	first, more := line.Next(lines)
	text := line.TrimLineEnd(first)
	word, rest := line.ParseWord(text)
	if word == line.Up && len(rest) == 0 { // UP is valid only with a receipt
		word = line.Unknown
	}
	switch word {
	case line.Up:
		h.establish(first, more)
	case line.Bye: // the request is served in full: the client gets the target's line unchanged
		s, rep := h.session, h.parseReport(rest)
		s.endHop()
		s.exchange.markServed()
		s.exchange.Ended(balance.OK, rep)
		s.closeAfter(first)
	case line.Move:
		h.endWith(balance.Cancelled, noReport)
	case line.Busy:
		if len(more)+len(h.link.partial) > 0 { // more than a refusal: it may have run
			h.target.logViolation("data after a refusal:", more)
			h.endWith(balance.Error, noReport)
			return
		}
		h.endWith(balance.Rejected, h.parseReport(rest))
	default:
		if word != line.Err {
			h.target.logViolation("unknown answer to a request:", text)
		}
		h.endWith(balance.Error, h.parseReport(rest))
	}
}

// establish marks the connection as established and forwards the target's UP line to the client.
func (h *hop) establish(first, more []byte) {
	s := h.session
	if !s.exchange.Up() {
		h.endWith(balance.Cancelled, noReport)
		return
	}
	s.frontend.loop.Disarm(&h.timer)
	s.state, h.state = established, hopEstablished
	h.lastHeard = s.frontend.loop.Now()
	if err := s.link.write(first); err != nil {
		s.handleFailure()
		return
	}
	if len(more) > 0 {
		h.forwardToClient(more)
	}
}

func (h *hop) parseReport(text []byte) balance.Report {
	rep := noReport
	line.ParseReport(text, func(name string, v float64) { h.session.frontend.settings.SetReportValue(&rep, name, v) })
	return rep
}

// handleTimeout handles the expiry of the hop's timer.
func (h *hop) handleTimeout() {
	switch h.state {
	case hopDialing:
		if h.link.sock == nil {
			h.connect()
			return
		}
		h.endWith(balance.NoConnect, noReport)
	case hopSending:
		h.endWith(balance.NoConnect, noReport)
	case hopSent:
		// The answer may be in the socket already: one turn handles a limited number of events.
		if h.read(); h.state == hopSent {
			h.endWith(balance.TimedOut, noReport)
		}
	case hopEstablished:
		h.checkSilence()
	}
}

// handleFailure handles a connection to the target that failed, or ended before it was established.
func (h *hop) handleFailure() {
	switch h.state {
	case hopDialing, hopSending:
		h.endWith(balance.NoConnect, noReport)
	case hopSent:
		h.endWith(balance.Broken, noReport)
	case hopEstablished: // the connection to the client is reset as well
		s := h.session
		if h.forwardPending(); h.state != hopEstablished {
			return
		}
		s.endHop()
		s.exchange.Ended(h.outcome(balance.Broken), noReport)
		if !h.endAnnouncedAt.IsZero() { // a reset must not overtake the target's last line
			s.closeAfter(nil)
			return
		}
		s.link.reset()
		s.close()
	}
}
