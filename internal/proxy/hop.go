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
	hopSending                 // a part of it is
	hopSent                    // all of it is: it may have run
	hopEstablished
	hopEnded
)

// hop is one connection to an egress target on behalf of a client. Its session owns it; the hop owns its link
// and its timer.
type hop struct {
	session        *session
	target         *targetState
	link           link
	state          hopState
	answerDeadline time.Time // the target's word is awaited until then
	dialDeadline   time.Time // the connection has to be up by then
	timer          poll.Timer
	// While it stands:
	pendingSince     time.Time // the client's line that waits for the target's; zero: none
	lastHeard        time.Time // the target's last line
	checkAt          time.Time // the timer is due then
	announcedOutcome balance.Outcome
	endAnnounced     bool // the target has said how the connection ends
}

// redialAfter is how long a connection waits that this machine could not begin for want of memory, ports or a path.
const dialRetryDelay = 10 * time.Millisecond

func (s *session) startHop(to *routes.Target, wait time.Duration) {
	f := s.frontend
	now := f.loop.Now()
	h := &hop{session: s, target: f.targetState(to), answerDeadline: now.Add(wait), dialDeadline: now.Add(min(wait, f.settings.DialTimeout))}
	h.timer.Fire = h.handleTimeout
	s.hop = h
	h.connect()
}

// connect begins the connection. What this machine lacks for it may be there a moment later: an attempt that ended at once would
// be followed by all others of its request in the same moment.
func (h *hop) connect() {
	f := h.session.frontend
	if !f.makeRoom(keptFromAttempts + 1) {
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

// dialOutcome is what a connection that could not even be begun tells of its target: nothing, if the shortage
// is here, else a target that is well would be ejected.
func dialOutcome(err error) balance.Outcome {
	if errors.Is(err, poll.ErrNoSocket) {
		return balance.NotSent
	}
	return balance.NoConnect
}

// end gives back the hop's timer; its link is closed or reset by whoever ends the hop.
func (h *hop) release() {
	h.session.frontend.loop.Disarm(&h.timer)
	h.state = hopEnded
}

// over ends the hop with an outcome, before its connection stood.
func (h *hop) endWith(o balance.Outcome, rep balance.Report) {
	h.session.endHop()
	h.session.exchange.Ended(o, rep)
}

// Ready is called by the loop.
func (h *hop) Ready(r poll.Ready) {
	switch {
	case h.state == hopDialing:
		if err := h.link.sock.Established(); err != nil {
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

// send passes the client's first line on. What arrived from the client while the connection came up is read first: one that
// has left, or was no client of the protocol, is not sent on, in whatever order the kernel tells of the two. That is the last look
// before the write: a process that is held up behind its look at the clock sees what came meanwhile.
func (h *hop) send() {
	f := h.session.frontend
	left := h.answerDeadline.Sub(f.loop.Refresh())
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

// clientStays reads what has arrived from the client and tells whether the hop goes on. The end of a client that has gone may be
// visible in its socket only: the loop may have gathered other events before it, or the process may not have run meanwhile.
func (h *hop) clientPresent() bool {
	if h.session.state == waiting {
		h.session.read()
	}
	return h.state != hopEnded
}

func (h *hop) read() {
	lines, err := h.link.readLines(h.session.frontend.scratch)
	switch {
	case err == nil && h.state == hopEstablished:
		h.forwardToClient(lines)
	case err == nil:
		if len(lines) > 0 {
			h.handleAnswer(lines)
		}
	case errors.Is(err, line.ErrTooLong):
		h.target.logViolation("line over 4096 bytes", nil)
		h.link.eof = true // what follows is the rest of that line: nothing of it is passed on
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

// answer takes the target's first word on the request.
func (h *hop) handleAnswer(lines []byte) {
	if h.session.state != waiting { // the client has left, or has an answer that the target does not know of
		h.endWith(balance.Cancelled, noReport)
		return
	}
	first, more := line.Next(lines)
	text := line.Text(first)
	word, rest := line.ParseWord(text)
	if word == line.Up && len(rest) == 0 { // without its receipt it is not the target's word
		word = line.Other
	}
	switch word {
	case line.Up:
		h.establish(first, more)
	case line.Bye: // served to its end already: the client gets the target's word as it is
		s, rep := h.session, h.parseReport(rest)
		s.endHop()
		s.exchange.markServed()
		s.exchange.Ended(balance.OK, rep)
		s.closeAfter(first)
	case line.Move:
		h.endWith(balance.Cancelled, noReport)
	case line.Busy:
		if len(more)+len(h.link.partial) > 0 { // it says something else as well: no proof that it never ran
			h.target.logViolation("more than a refusal", more)
			h.endWith(balance.Error, noReport)
			return
		}
		h.endWith(balance.Full, h.parseReport(rest))
	default:
		if word != line.Err {
			h.target.logViolation("unknown answer", text)
		}
		h.endWith(balance.Error, h.parseReport(rest))
	}
}

// up makes the connection stand: the client gets the line that the target made for it.
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
	line.Figures(text, func(name string, v float64) { h.session.frontend.settings.Put(&rep, name, v) })
	return rep
}

// due is called by the timer.
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
		if h.read(); h.state == hopSent { // its word may lie there: a turn takes so many events and no more
			h.endWith(balance.TimedOut, noReport)
		}
	case hopEstablished:
		h.checkSilence()
	}
}

// broke deals with a connection to the target that broke, or ended before it stood.
func (h *hop) handleFailure() {
	switch h.state {
	case hopDialing, hopSending:
		h.endWith(balance.NoConnect, noReport)
	case hopSent:
		h.endWith(balance.Broken, noReport)
	case hopEstablished: // the client's side ends the same way
		s := h.session
		if h.forwardPending(); h.state != hopEstablished {
			return
		}
		s.endHop()
		s.exchange.Ended(h.outcome(balance.Broken), noReport)
		if h.endAnnounced { // its last word must not be overtaken
			s.closeAfter(nil)
			return
		}
		s.link.reset()
		s.close()
	}
}
