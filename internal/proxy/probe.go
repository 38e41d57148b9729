package proxy

import (
	"container/list"
	"errors"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

// peer is what the front keeps of an egress target: the connection for probes, which is used again until it has
// been idle for as long as the settings say, and what was last told of messages there.
type targetState struct {
	frontend         *LineFrontend
	id               string
	entry            *routes.Target
	link             link
	state            probeState
	reused           bool // the connection has answered a probe
	timer            poll.Timer
	lastHeard        time.Time // its last sign of life, on any connection
	lastDelayNote    time.Time // the last note on slow messages
	slow             bool
	silent           bool          // its clients are being moved for that; logged once
	lastViolation    time.Time     // the log last said that it breaks the protocol
	idleElement      *list.Element // the connection's place among the front's idle ones; nil: not there
	idleProbeElement *list.Element // its place among the front's idle connections for probes; likewise
}

// mostIdleProbes is how many connections are kept for the next probe: as many as a fleet of the usual size has servers. Of a much larger
// one hardly any is probed again in time, and each would keep a descriptor and a place at its server.
const maxIdleProbes = 96

// complain logs that the target breaks the protocol: not more often than complainEvery, since a target that
// garbles one answer may garble all.
func (p *targetState) logViolation(what string, text []byte) {
	p.frontend.count.Garbled++
	if now := p.frontend.loop.Now(); now.Sub(p.lastViolation) >= violationLogInterval {
		p.lastViolation = now
		p.frontend.log.Printf("egress target %s: %s %.40q", p.id, what, text)
	}
}

const violationLogInterval = 10 * time.Second

// sign takes a sign of life.
func (p *targetState) markAlive(now time.Time) { p.lastHeard, p.silent = now, false }

type probeState uint8

const (
	probeNone probeState = iota
	probeDialing
	probeSent
	probeIdle
)

var statsLine = []byte("STATS\r\n")

func (f *LineFrontend) targetState(to *routes.Target) *targetState {
	p := f.targetStates[to.ID]
	if p == nil {
		p = &targetState{frontend: f, id: to.ID}
		p.timer.Fire = p.handleTimeout
		f.targetStates[to.ID] = p
	}
	if moved := p.entry != nil && p.entry.Addr != to.Addr; moved {
		p.entry = to
		if p.state == probeDialing || p.state == probeSent {
			p.closeConn() // what the old address would say is not of this target
			p.dial()
		} else {
			p.closeConn()
		}
	}
	p.entry = to
	return p
}

// Probe asks an egress target for its report.
func (f *LineFrontend) Probe(to *routes.Target) {
	p := f.targetState(to)
	switch p.state {
	case probeNone:
		p.dial()
	case probeIdle:
		if len(p.link.partial) > 0 { // half a line that came meanwhile would pass for the beginning of the answer
			p.closeConn()
			p.dial()
			return
		}
		p.sendProbe()
	}
	// Otherwise a probe is out, and its answer serves for this one: the module asks once at a time.
}

// Forget gives back what is kept of a target that is gone: over months of machines that come and go the table
// would only grow. A probe that is out ends with that.
func (f *LineFrontend) Forget(id string) {
	p := f.targetStates[id]
	if p == nil {
		return
	}
	delete(f.targetStates, id)
	if p.state == probeDialing || p.state == probeSent {
		p.failProbe(balance.NoConnect)
		return
	}
	p.closeConn()
}

func (p *targetState) dial() {
	if !p.frontend.makeRoom(keptFromProbes + 1) {
		p.frontend.engine.Probed(p.id, balance.NotSent, noReport)
		return
	}
	sock, err := p.frontend.loop.Dial(p.entry.Addr, p)
	if err != nil {
		o := dialOutcome(err)
		if errors.Is(err, poll.ErrNoPath) {
			o = balance.NotSent // a moment's fault of this machine's routes is no word on the target; attempts try for longer
		}
		p.frontend.engine.Probed(p.id, o, noReport)
		return
	}
	p.link.sock, p.state = sock, probeDialing
	p.frontend.loop.After(&p.timer, p.frontend.settings.DialTimeout)
}

func (p *targetState) sendProbe() {
	p.removeIdle()
	p.state = probeSent
	p.frontend.loop.After(&p.timer, p.frontend.settings.DialTimeout*5/4)
	if err := p.link.write(statsLine); err != nil {
		p.handleFailure()
		return
	}
	p.link.updateInterest()
}

// keep takes the connection out of the idle ones.
func (p *targetState) removeIdle() {
	if p.idleElement != nil {
		p.frontend.idleConns.Remove(p.idleElement)
		p.frontend.idleProbes.Remove(p.idleProbeElement)
		p.idleElement, p.idleProbeElement = nil, nil
	}
}

// rest puts the connection among the idle ones, and closes the oldest of those that wait for a probe if they are too many.
func (p *targetState) addIdle() {
	f := p.frontend
	p.idleElement = f.idleConns.PushBack(p)
	p.idleProbeElement = f.idleProbes.PushBack(p)
	if f.idleProbes.Len() > maxIdleProbes {
		f.idleProbes.Front().Value.(*targetState).closeConn()
	}
}

func (p *targetState) closeConn() {
	p.removeIdle()
	p.frontend.loop.Disarm(&p.timer)
	p.link.close()
	p.state, p.reused = probeNone, false
}

// failed ends a probe without a report. The connection goes too: a late answer would pass for the next one's.
func (p *targetState) failProbe(o balance.Outcome) {
	p.closeConn()
	p.frontend.engine.Probed(p.id, o, noReport)
}

// broke deals with a connection that broke. One that was kept may have been closed as idle just when it was
// used again: the probe has not run and goes out on a new one.
func (p *targetState) handleFailure() {
	switch {
	case p.state == probeIdle:
		p.closeConn()
	case p.state == probeSent && p.reused:
		p.closeConn()
		p.dial()
	case p.state == probeDialing:
		p.failProbe(balance.NoConnect)
	default:
		p.failProbe(balance.Broken)
	}
}

// Ready is called by the loop.
func (p *targetState) Ready(r poll.Ready) {
	if p.state == probeDialing {
		if p.link.sock.Established() != nil {
			p.failProbe(balance.NoConnect)
			return
		}
		p.sendProbe()
		return
	}
	if r.Write && len(p.link.unsent) > 0 && p.link.flush() != nil {
		p.handleFailure()
		return
	}
	if !r.Read {
		return
	}
	lines, err := p.link.readLines(p.frontend.scratch)
	if err != nil {
		p.handleFailure()
		return
	}
	if len(lines) > 0 {
		p.handleAnswer(lines)
	}
}

func (p *targetState) handleAnswer(lines []byte) {
	first, more := line.Next(lines)
	word, rest := line.ParseWord(line.Text(first))
	if p.state != probeSent || len(more) > 0 || word != line.Pong && word != line.Err {
		p.logViolation("unknown answer to a probe", line.Text(first))
		if p.state == probeSent {
			p.failProbe(balance.Error)
		} else {
			p.closeConn()
		}
		return
	}
	p.markAlive(p.frontend.loop.Now())
	rep, o := noReport, balance.OK
	if word == line.Err {
		o = balance.Error
	}
	line.Figures(rest, func(name string, v float64) { p.frontend.settings.Put(&rep, name, v) })
	p.state, p.reused = probeIdle, true
	p.addIdle()
	p.frontend.loop.Disarm(&p.timer)
	if idle := p.frontend.settings.ConnIdle; idle > 0 {
		p.frontend.loop.After(&p.timer, idle)
	}
	p.frontend.engine.Probed(p.id, o, rep)
}

func (p *targetState) handleTimeout() {
	switch p.state {
	case probeDialing:
		p.failProbe(balance.NoConnect)
	case probeSent:
		p.failProbe(balance.TimedOut)
	default:
		p.closeConn()
	}
}
