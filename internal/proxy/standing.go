package proxy

import (
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/line"
)

const (
	// silentLast is how long a line may stay without an answer where other connections of the target still give signs.
	silentLast = 4 * time.Second
	// lateCheck is by how much a check may be late and still count: a process that did not run has to read
	// first what came meanwhile.
	lateCheck = 50 * time.Millisecond
	// noteEvery is how often the module is told of slow messages, on one connection of each target.
	noteEvery = time.Second
	// noteFrom is the part of the shortest aim for a message from which it is told.
	noteFrom = 3
)

// forward passes lines of the client on to the target.
func (h *hop) forward(lines []byte) {
	s := h.s
	if err := h.link.write(lines); err != nil {
		h.broke()
		return
	}
	s.front.count.Lines++
	if h.asked.IsZero() {
		h.asked = s.front.loop.Now()
		if !h.timer.Armed() {
			h.checkAfter(s.front.engine.tuning.SilentAfter / 2)
		}
	}
	if h.link.behind() {
		s.listen(false)
	}
}

// pass hands lines of the target on to the client, unchanged, and looks at those that tell something.
func (h *hop) pass(lines []byte) {
	s := h.s
	if len(lines) == 0 {
		return
	}
	h.heard = s.front.loop.Now()
	h.peer.sign(h.heard)
	for rest := lines; len(rest) > 0; {
		var first []byte
		first, rest = line.Next(rest)
		switch word, value := line.ParseWord(line.Text(first)); word {
		case line.Load:
			if level, ok := line.Figure(value); ok && s.front.set.TellsLoad {
				s.x.Load(level)
			}
		case line.Bye:
			h.bye, h.said = balance.OK, true
		case line.Move:
			h.bye, h.said = balance.Cancelled, true
		default:
			h.answered()
		}
	}
	s.front.count.Lines++
	if err := s.link.write(lines); err != nil {
		s.broke()
		return
	}
	if s.link.behind() {
		h.listen(false)
	}
}

// gatherMost is how often a target is read before its side is closed: what is kept for the client stays bounded.
const gatherMost = 4

// gather passes on the whole lines that have arrived from the target, before its side is closed: left in the kernel they would
// be lost to the client. What it tells of an end is left to the caller.
func (h *hop) gather() {
	for range gatherMost {
		if h.link.sock == nil || h.link.ended {
			return
		}
		lines, err := h.link.fill(h.s.front.scratch)
		if err != nil || len(lines) == 0 {
			return
		}
		h.pass(lines)
	}
}

// answered measures how long the target took for the client's line.
func (h *hop) answered() {
	if h.asked.IsZero() {
		return
	}
	took := h.s.front.loop.Now().Sub(h.asked)
	h.asked = time.Time{}
	h.tell(took)
}

// tell tells the module how long messages take at the target: at most once a second while that is over a part
// of the shortest aim, and once more when it is back under.
func (h *hop) tell(took time.Duration) {
	f, p := h.s.front, h.peer
	if !f.set.TellsDelay || f.set.MessageAim <= 0 {
		return
	}
	now, slow := f.loop.Now(), took > f.set.MessageAim/noteFrom
	if slow && now.Sub(p.told) < noteEvery || !slow && !p.slow {
		return
	}
	p.slow, p.told = slow, now
	h.s.x.Delay(took)
}

// quiet looks after a line of the client that has no answer yet: half-way the module is told, and has the target
// probed.
func (h *hop) quiet() {
	if h.asked.IsZero() {
		return
	}
	f := h.s.front
	now := f.loop.Now()
	took := now.Sub(h.asked)
	late := now.Sub(h.check) > lateCheck
	if !late && h.heard.Before(h.asked) && (took >= silentLast || took >= f.engine.tuning.SilentAfter && h.peer.heard.Before(h.asked)) {
		f.count.Silent++
		if !h.peer.silent {
			h.peer.silent = true
			f.log.Printf("egress target %s: silent for %v; its clients are moved", h.peer.id, took.Round(time.Millisecond))
		}
		h.s.abandon(balance.Broken)
		return
	}
	h.tell(took)
	h.checkAfter(f.engine.tuning.SilentAfter / 2)
}

// checkAfter looks after the client's line again later.
func (h *hop) checkAfter(d time.Duration) {
	loop := h.s.front.loop
	h.check = loop.Now().Add(d)
	loop.Arm(&h.timer, h.check)
}

// finished deals with a target that ended the connection; the client's side ends the same way.
func (h *hop) finished() {
	s, o := h.s, h.ending(balance.Broken)
	s.endHop()
	s.x.Ended(o, noReport)
	s.last(nil)
}

// ending is how the connection ended: by the target's word if it gave one.
func (h *hop) ending(otherwise balance.Outcome) balance.Outcome {
	switch {
	case h.said:
		return h.bye
	case h.s.gone:
		return balance.Cancelled
	}
	return otherwise
}

// listen reads the target, or stops while the client is behind.
func (h *hop) listen(on bool) {
	h.link.deaf = !on
	h.link.want()
}

// listen reads the client, or stops while the target is behind.
func (s *session) listen(on bool) {
	s.link.deaf = !on
	s.link.want()
}
