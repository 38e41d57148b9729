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
	hopAsking                  // all of it is: it may have run
	hopStanding
	hopEnded
)

// hop is one connection to an egress target on behalf of a client. Its session owns it; the hop owns its link
// and its timer.
type hop struct {
	s     *session
	peer  *peer
	link  link
	state hopState
	until time.Time // the target's word is awaited until then
	dial  time.Time // the connection has to be up by then
	timer poll.Timer
	// While it stands:
	asked time.Time // the client's line that waits for the target's; zero: none
	heard time.Time // the target's last line
	check time.Time // the timer is due then
	bye   balance.Outcome
	said  bool // the target has said how the connection ends
}

// redialAfter is how long a connection waits that this machine could not begin for want of memory, ports or a path.
const redialAfter = 10 * time.Millisecond

func (s *session) startHop(to *routes.Target, wait time.Duration) {
	f := s.front
	now := f.loop.Now()
	h := &hop{s: s, peer: f.peer(to), until: now.Add(wait), dial: now.Add(min(wait, f.set.DialTimeout))}
	h.timer.Fire = h.due
	s.hop = h
	h.connect()
}

// connect begins the connection. What this machine lacks for it may be there a moment later: an attempt that ended at once would
// be followed by all others of its request in the same moment.
func (h *hop) connect() {
	f := h.s.front
	if !f.makeRoom(keptFromAttempts + 1) {
		h.over(balance.NotSent, noReport)
		return
	}
	sock, err := f.loop.Dial(h.peer.to.Addr, h)
	again := f.loop.Now().Add(redialAfter)
	switch {
	case err == nil:
		h.link.sock = sock
		f.pending.add(-1)
		f.loop.Arm(&h.timer, h.dial)
	case (errors.Is(err, poll.ErrNoSocket) || errors.Is(err, poll.ErrNoPath)) && again.Before(h.dial):
		f.loop.Arm(&h.timer, again)
	default:
		h.over(dialOutcome(err), noReport)
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
func (h *hop) end() {
	h.s.front.loop.Disarm(&h.timer)
	h.state = hopEnded
}

// over ends the hop with an outcome, before its connection stood.
func (h *hop) over(o balance.Outcome, rep balance.Report) {
	h.s.endHop()
	h.s.x.Ended(o, rep)
}

// Ready is called by the loop.
func (h *hop) Ready(r poll.Ready) {
	switch {
	case h.state == hopDialing:
		if err := h.link.sock.Established(); err != nil {
			h.over(balance.NoConnect, noReport)
			return
		}
		h.send()
		return
	case r.Write && len(h.link.out) > 0:
		if h.state == hopSending && !h.clientStays() {
			return
		}
		if err := h.link.flush(); err != nil {
			h.broke()
			return
		}
		if h.state == hopSending && len(h.link.out) == 0 {
			h.state = hopAsking
		}
		if h.state == hopStanding && !h.link.behind() {
			h.s.listen(true)
		}
	}
	if h.state != hopEnded && (r.Read && !h.link.ended || r.Hangup) {
		h.read()
	}
}

// send passes the client's first line on. What arrived from the client while the connection came up is read first: one that
// has left, or was no client of the protocol, is not sent on, in whatever order the kernel tells of the two. That is the last look
// before the write: a process that is held up behind its look at the clock sees what came meanwhile.
func (h *hop) send() {
	f := h.s.front
	left := h.until.Sub(f.loop.Refresh())
	if left < time.Millisecond || !h.s.x.Sending() {
		h.over(balance.NotSent, noReport)
		return
	}
	if !h.clientStays() {
		return
	}
	f.line = h.s.open.Append(f.line[:0], left)
	if err := h.link.write(f.line); err != nil {
		h.over(balance.NoConnect, noReport)
		return
	}
	h.state = hopAsking
	if len(h.link.out) > 0 {
		h.state = hopSending
	}
	h.link.want()
	f.loop.Arm(&h.timer, h.until)
}

// clientStays reads what has arrived from the client and tells whether the hop goes on. The end of a client that has gone may be
// visible in its socket only: the loop may have gathered other events before it, or the process may not have run meanwhile.
func (h *hop) clientStays() bool {
	if h.s.state == waiting {
		h.s.read()
	}
	return h.state != hopEnded
}

func (h *hop) read() {
	lines, err := h.link.fill(h.s.front.scratch)
	switch {
	case err == nil && h.state == hopStanding:
		h.pass(lines)
	case err == nil:
		if len(lines) > 0 {
			h.answer(lines)
		}
	case errors.Is(err, line.ErrTooLong):
		h.peer.complain("line over 4096 bytes", nil)
		h.link.ended = true // what follows is the rest of that line: nothing of it is passed on
		if h.state == hopStanding {
			h.s.abandon(balance.Broken)
		} else {
			h.over(balance.Error, noReport)
		}
	case errors.Is(err, io.EOF) && h.state == hopStanding:
		h.finished()
	default:
		h.broke()
	}
}

// answer takes the target's first word on the request.
func (h *hop) answer(lines []byte) {
	if h.s.state != waiting { // the client has left, or has an answer that the target does not know of
		h.over(balance.Cancelled, noReport)
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
		h.up(first, more)
	case line.Bye: // served to its end already: the client gets the target's word as it is
		s, rep := h.s, h.report(rest)
		s.endHop()
		s.x.served()
		s.x.Ended(balance.OK, rep)
		s.last(first)
	case line.Move:
		h.over(balance.Cancelled, noReport)
	case line.Busy:
		if len(more)+len(h.link.rest) > 0 { // it says something else as well: no proof that it never ran
			h.peer.complain("more than a refusal", more)
			h.over(balance.Error, noReport)
			return
		}
		h.over(balance.Rejected, h.report(rest))
	default:
		if word != line.Err {
			h.peer.complain("unknown answer", text)
		}
		h.over(balance.Error, h.report(rest))
	}
}

// up makes the connection stand: the client gets the line that the target made for it.
func (h *hop) up(first, more []byte) {
	s := h.s
	if !s.x.Up() {
		h.over(balance.Cancelled, noReport)
		return
	}
	s.front.loop.Disarm(&h.timer)
	s.state, h.state = standing, hopStanding
	h.heard = s.front.loop.Now()
	if err := s.link.write(first); err != nil {
		s.broke()
		return
	}
	if len(more) > 0 {
		h.pass(more)
	}
}

func (h *hop) report(text []byte) balance.Report {
	rep := noReport
	line.Figures(text, func(name string, v float64) { h.s.front.set.Put(&rep, name, v) })
	return rep
}

// due is called by the timer.
func (h *hop) due() {
	switch h.state {
	case hopDialing:
		if h.link.sock == nil {
			h.connect()
			return
		}
		h.over(balance.NoConnect, noReport)
	case hopSending:
		h.over(balance.NoConnect, noReport)
	case hopAsking:
		if h.read(); h.state == hopAsking { // its word may lie there: a turn takes so many events and no more
			h.over(balance.TimedOut, noReport)
		}
	case hopStanding:
		h.quiet()
	}
}

// broke deals with a connection to the target that broke, or ended before it stood.
func (h *hop) broke() {
	switch h.state {
	case hopDialing, hopSending:
		h.over(balance.NoConnect, noReport)
	case hopAsking:
		h.over(balance.Broken, noReport)
	case hopStanding: // the client's side ends the same way
		s := h.s
		if h.gather(); h.state != hopStanding {
			return
		}
		s.endHop()
		s.x.Ended(h.ending(balance.Broken), noReport)
		if h.said { // its last word must not be overtaken
			s.last(nil)
			return
		}
		s.link.reset()
		s.close()
	}
}
