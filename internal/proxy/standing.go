package proxy

import (
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/line"
)

const (
	// silentLast is how long a line may stay without an answer where other connections of the target still give signs.
	maxSilence = 4 * time.Second
	// lateCheck is by how much a check may be late and still count: a process that did not run has to read
	// first what came meanwhile.
	lateCheckTolerance = 50 * time.Millisecond
	// noteEvery is how often the module is told of slow messages, on one connection of each target.
	delayNoteInterval = time.Second
	// noteFrom is the part of the shortest aim for a message from which it is told.
	delayNoteDivisor = 3
)

// forward passes lines of the client on to the target.
func (h *hop) forwardToTarget(lines []byte) {
	s := h.session
	if err := h.link.write(lines); err != nil {
		h.handleFailure()
		return
	}
	s.frontend.count.Lines++
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

// pass hands lines of the target on to the client, unchanged, and looks at those that tell something.
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
		switch word, value := line.ParseWord(line.Text(first)); word {
		case line.Load:
			if level, ok := line.Figure(value); ok && s.frontend.settings.TellsLoad {
				s.exchange.Load(level)
			}
		case line.Bye:
			h.announcedOutcome, h.endAnnounced = balance.OK, true
		case line.Move:
			h.announcedOutcome, h.endAnnounced = balance.Cancelled, true
		default:
			h.measureDelay()
		}
	}
	s.frontend.count.Lines++
	if err := s.link.write(lines); err != nil {
		s.handleFailure()
		return
	}
	if s.link.backlogged() {
		h.setReading(false)
	}
}

// gatherMost is how often a target is read before its side is closed: what is kept for the client stays bounded.
const maxPendingReads = 4

// gather passes on the whole lines that have arrived from the target, before its side is closed: left in the kernel they would
// be lost to the client. What it tells of an end is left to the caller.
func (h *hop) forwardPending() {
	for range maxPendingReads {
		if h.link.sock == nil || h.link.eof {
			return
		}
		lines, err := h.link.readLines(h.session.frontend.scratch)
		if err != nil || len(lines) == 0 {
			return
		}
		h.forwardToClient(lines)
	}
}

// answered measures how long the target took for the client's line.
func (h *hop) measureDelay() {
	if h.pendingSince.IsZero() {
		return
	}
	took := h.session.frontend.loop.Now().Sub(h.pendingSince)
	h.pendingSince = time.Time{}
	h.reportDelay(took)
}

// tell tells the module how long messages take at the target: at most once a second while that is over a part
// of the shortest aim, and once more when it is back under.
func (h *hop) reportDelay(took time.Duration) {
	f, p := h.session.frontend, h.target
	if !f.settings.TellsDelay || f.settings.MessageAim <= 0 {
		return
	}
	now, slow := f.loop.Now(), took > f.settings.MessageAim/delayNoteDivisor
	if slow && now.Sub(p.lastDelayNote) < delayNoteInterval || !slow && !p.slow {
		return
	}
	p.slow, p.lastDelayNote = slow, now
	h.session.exchange.Delay(took)
}

// quiet looks after a line of the client that has no answer yet: half-way the module is told, and has the target
// probed.
func (h *hop) checkSilence() {
	if h.pendingSince.IsZero() {
		return
	}
	f := h.session.frontend
	now := f.loop.Now()
	took := now.Sub(h.pendingSince)
	late := now.Sub(h.checkAt) > lateCheckTolerance
	if !late && h.lastHeard.Before(h.pendingSince) && (took >= maxSilence || took >= f.engine.tuning.SilentAfter && h.target.lastHeard.Before(h.pendingSince)) {
		f.count.Silent++
		if !h.target.silent {
			h.target.silent = true
			f.log.Printf("egress target %s: silent for %v; its clients are moved", h.target.id, took.Round(time.Millisecond))
		}
		h.session.endGracefully(balance.Broken)
		return
	}
	h.reportDelay(took)
	h.scheduleCheck(f.engine.tuning.SilentAfter / 2)
}

// checkAfter looks after the client's line again later.
func (h *hop) scheduleCheck(d time.Duration) {
	loop := h.session.frontend.loop
	h.checkAt = loop.Now().Add(d)
	loop.Arm(&h.timer, h.checkAt)
}

// finished deals with a target that ended the connection; the client's side ends the same way.
func (h *hop) handleEOF() {
	s, o := h.session, h.outcome(balance.Broken)
	s.endHop()
	s.exchange.Ended(o, noReport)
	s.closeAfter(nil)
}

// ending is how the connection ended: by the target's word if it gave one.
func (h *hop) outcome(otherwise balance.Outcome) balance.Outcome {
	switch {
	case h.endAnnounced:
		return h.announcedOutcome
	case h.session.clientEOF:
		return balance.Cancelled
	}
	return otherwise
}

// listen reads the target, or stops while the client is behind.
func (h *hop) setReading(on bool) {
	h.link.readPaused = !on
	h.link.updateInterest()
}

// listen reads the client, or stops while the target is behind.
func (s *session) setReading(on bool) {
	s.link.readPaused = !on
	s.link.updateInterest()
}
