package proxy

import (
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/line"
)

const (
	// maxSilence is how long a connection on which a client's line is unanswered may stay silent
	// while the target still sends data on other connections.
	maxSilence = 4 * time.Second
	// maxUnanswered is how long a client's line may stay unanswered while the target sends lines on
	// the same connection that answer nothing, such as LOAD.
	maxUnanswered = maxSilence + 500*time.Millisecond
	// lateCheckTolerance is by how much a check may be late and still be valid: a process that did
	// not run has to read first what arrived meanwhile.
	lateCheckTolerance = 50 * time.Millisecond
	// delayNoteInterval is the least time between two notes to the module about slow messages at a
	// target.
	delayNoteInterval = time.Second
	// delayNoteDivisor: a message is slow if it takes longer than settings.MessageLatencyTarget
	// (the shortest target for a message) divided by it.
	delayNoteDivisor = 3
)

// forwardToTarget sends lines of the client to the target.
func (h *hop) forwardToTarget(lines []byte) {
	s := h.session
	if err := h.link.write(lines); err != nil {
		h.handleFailure()
		return
	}
	s.frontend.counters.Lines++
	if h.pendingSince.IsZero() {
		h.pendingSince = s.frontend.loop.Now()
		if !h.timer.Armed() {
			h.scheduleCheck(s.frontend.engine.tuning.SilentAfter / 2)
		}
	}
	if h.link.backlogged() {
		s.setReading(false)
	}
}

// forwardToClient sends lines of the target to the client, unchanged, and interprets LOAD, BYE and
// MOVE.
func (h *hop) forwardToClient(lines []byte) {
	s := h.session
	if len(lines) == 0 {
		return
	}
	h.lastHeard = s.frontend.loop.Now()
	h.target.markAlive(h.lastHeard)
	for rest := lines; len(rest) > 0; {
		var first []byte
		first, rest = line.Next(rest)
		switch word, value := line.ParseWord(line.TrimLineEnd(first)); word {
		case line.Load:
			if level, ok := line.ParseNumber(value); ok && s.frontend.settings.WantsLoadMetric {
				s.exchange.Load(level)
			}
		case line.Bye:
			h.announceEnd(balance.OK)
		case line.Move:
			h.announceEnd(balance.Cancelled)
		default:
			h.measureDelay()
		}
	}
	s.frontend.counters.Lines++
	if err := s.link.write(lines); err != nil {
		s.handleFailure()
		return
	}
	if s.link.backlogged() {
		h.setReading(false)
	}
}

// announceEnd records that the target has announced the end of the connection. The end itself may
// not come from a target that hangs, so it is checked for.
func (h *hop) announceEnd(o balance.Outcome) {
	if h.endAnnouncedAt.IsZero() {
		h.endAnnouncedAt = h.session.frontend.loop.Now()
		h.scheduleCheck(h.session.frontend.engine.tuning.SilentAfter)
	}
	h.targetOutcome = o
}

// maxPendingReads is how often a target is read before its link is closed. It bounds what is kept
// for the client.
const maxPendingReads = 4

// forwardPending forwards the complete lines that have arrived from the target, before its link is
// closed: lines left in the kernel would be lost to the client. An error or the end of the stream
// is left to the caller.
func (h *hop) forwardPending() {
	for range maxPendingReads {
		if h.link.sock == nil || h.link.eof {
			return
		}
		lines, err := h.link.readLines(h.session.frontend.readBuffer())
		if err != nil || len(lines) == 0 {
			return
		}
		h.forwardToClient(lines)
	}
}

// measureDelay measures how long the target took to answer the client's line.
func (h *hop) measureDelay() {
	if h.pendingSince.IsZero() {
		return
	}
	took := h.session.frontend.loop.Now().Sub(h.pendingSince)
	h.pendingSince = time.Time{}
	h.reportDelay(took)
}

// reportDelay tells the module how long messages take at the target: at most once a second (see
// delayNoteInterval) while they are slow (see delayNoteDivisor), and once more when they are fast
// again.
func (h *hop) reportDelay(took time.Duration) {
	f, p := h.session.frontend, h.target
	if !f.settings.WantsDelayMetric || f.settings.MessageLatencyTarget <= 0 {
		return
	}
	now, slow := f.loop.Now(), took > f.settings.MessageLatencyTarget/delayNoteDivisor
	if slow && now.Sub(p.lastDelayNote) < delayNoteInterval || !slow && !p.slow {
		return
	}
	p.slow, p.lastDelayNote = slow, now
	h.session.exchange.Delay(took)
}

// checkSilence checks a client's line that has no answer yet, and a connection whose end the target
// has announced. Half-way to Tuning.SilentAfter it reports the delay to the module, which has the
// target probed; a silent target's client is moved.
func (h *hop) checkSilence() {
	f := h.session.frontend
	now := f.loop.Now()
	if !h.endAnnouncedAt.IsZero() && now.Sub(h.endAnnouncedAt) >= f.engine.tuning.SilentAfter {
		h.handleEOF()
		return
	}
	if h.pendingSince.IsZero() {
		return
	}
	if late := now.Sub(h.checkAt) > lateCheckTolerance; !late && h.isSilent(now) {
		f.counters.Silent++
		if !h.target.silent {
			h.target.silent = true
			f.log.Printf("egress target %s: no answer for %v; moving its clients", h.target.id, now.Sub(h.pendingSince).Round(time.Millisecond))
		}
		h.session.endGracefully(balance.Broken)
		return
	}
	h.reportDelay(now.Sub(h.pendingSince))
	h.scheduleCheck(f.engine.tuning.SilentAfter / 2)
}

// isSilent reports whether the target has stopped answering on this connection, on which a client's
// line is unanswered. Lines that answer nothing, as LOAD, show that the target was alive when it
// sent them; they do not show that it still works on the client's line.
func (h *hop) isSilent(now time.Time) bool {
	quietSince := h.pendingSince
	if h.lastHeard.After(quietSince) {
		quietSince = h.lastHeard
	}
	unanswered := now.Sub(h.pendingSince)
	targetSilent := h.target.lastHeard.Before(h.pendingSince) && unanswered >= h.session.frontend.engine.tuning.SilentAfter
	return targetSilent || now.Sub(quietSince) >= maxSilence || unanswered >= maxUnanswered
}

// scheduleCheck sets the timer for the next checkSilence.
func (h *hop) scheduleCheck(d time.Duration) {
	loop := h.session.frontend.loop
	h.checkAt = loop.Now().Add(d)
	loop.Arm(&h.timer, h.checkAt)
}

// handleEOF handles a target that closed an established connection without a reset; the connection
// to the client is closed in the same way.
func (h *hop) handleEOF() {
	s, o := h.session, h.outcome(balance.Broken)
	s.endHop()
	s.exchange.Ended(o, noReport)
	s.closeAfter(nil)
}

// outcome returns how the connection ended: what the target announced with BYE or MOVE, Cancelled
// if the client has closed its sending side, and the given outcome otherwise.
func (h *hop) outcome(otherwise balance.Outcome) balance.Outcome {
	switch {
	case !h.endAnnouncedAt.IsZero():
		return h.targetOutcome
	case h.session.clientEOF:
		return balance.Cancelled
	}
	return otherwise
}

// setReading resumes reading the target, or pauses it while the client is behind.
func (h *hop) setReading(on bool) {
	h.link.readPaused = !on
	h.link.updateInterest()
}

// setReading resumes reading the client, or pauses it while the target is behind.
func (s *session) setReading(on bool) {
	s.link.readPaused = !on
	s.link.updateInterest()
}
