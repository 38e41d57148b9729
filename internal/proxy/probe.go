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

// targetState is what the frontend keeps for an egress target: the connection for probes, which is
// reused until it has been idle for the time in the settings, and the last delay note.
type targetState struct {
	frontend         *LineFrontend
	id               string
	entry            *routes.Target // in the route table
	link             link
	state            probeState
	connReused       bool // the connection has answered a probe before
	timer            poll.Timer
	lastHeard        time.Time     // when the target last sent data, on any connection
	lastDelayNote    time.Time     // when the module was last told of the delay of messages
	slow             bool          // messages are slow, as last reported to the module
	silent           bool          // its clients are being moved as it is silent; logged once
	lastViolation    time.Time     // when a protocol violation was last logged
	idleElement      *list.Element // the connection's entry in idleConns; nil: not idle
	idleProbeElement *list.Element // the connection's entry in idleProbes; nil: not idle
}

// maxIdleProbes is how many connections are kept for the next probe: the number of servers in a
// fleet of usual size. In a much larger fleet hardly any target is probed again in time, and each
// connection would occupy a descriptor and a slot at its server.
const maxIdleProbes = 96

// logViolation counts a protocol violation of the target and logs it, at most once in
// violationLogInterval: a target that garbles one answer may garble all.
func (p *targetState) logViolation(what string, text []byte) {
	p.frontend.counters.Garbled++
	if now := p.frontend.loop.Now(); now.Sub(p.lastViolation) >= violationLogInterval {
		p.lastViolation = now
		p.frontend.log.Printf("egress target %s: %s %.40q", p.id, what, text)
	}
}

const violationLogInterval = 10 * time.Second

// markAlive records that the target sent data.
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
		p = &targetState{frontend: f, id: to.ID, link: link{budget: f.backlog}}
		p.timer.Fire = p.handleTimeout
		f.targetStates[to.ID] = p
	}
	if moved := p.entry != nil && p.entry.Addr != to.Addr; moved {
		p.entry = to
		if p.state == probeDialing || p.state == probeSent {
			p.closeConn() // an answer from the old address is not the target's
			p.dial()
		} else {
			p.closeConn()
		}
	}
	p.entry = to
	return p
}

// Probe asks an egress target for its load report.
func (f *LineFrontend) Probe(to *routes.Target) {
	p := f.targetState(to)
	switch p.state {
	case probeNone:
		p.dial()
	case probeIdle:
		if len(p.link.partial) > 0 { // a part of a line would be taken for the start of the answer
			p.closeConn()
			p.dial()
			return
		}
		p.sendProbe()
	}
	// Otherwise a probe is in progress, and its answer serves this call too: the module has one
	// probe of a target at a time.
}

// Forget releases the state of a target that is gone: over months of machines that come and go the
// table would otherwise only grow. A probe in progress fails.
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
	if !p.frontend.ensureFree(reservedFromProbes + 1) {
		p.frontend.engine.Probed(p.id, balance.NotSent, noReport)
		return
	}
	sock, err := p.frontend.loop.Dial(p.entry.Addr, p)
	if err != nil {
		o := dialOutcome(err)
		if errors.Is(err, poll.ErrNoPath) {
			// A brief fault of this machine's routes is no evidence against the target. Hops,
			// unlike probes, try again in this case.
			o = balance.NotSent
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

// removeIdle removes the connection from the idle connections.
func (p *targetState) removeIdle() {
	if p.idleElement != nil {
		p.frontend.idleConns.Remove(p.idleElement)
		p.frontend.idleProbes.Remove(p.idleProbeElement)
		p.idleElement, p.idleProbeElement = nil, nil
	}
}

// addIdle adds the connection to the idle connections, and closes the oldest idle connection for
// probes if there are more than maxIdleProbes.
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
	p.state, p.connReused = probeNone, false
}

// failProbe ends a probe without a report and closes its connection: a late answer would be taken
// for that of the next probe.
func (p *targetState) failProbe(o balance.Outcome) {
	p.closeConn()
	p.frontend.engine.Probed(p.id, o, noReport)
}

// handleFailure handles a connection that failed. The target may have closed a reused connection as
// idle just when the probe was written: the probe did not run, and is sent again on a new one.
func (p *targetState) handleFailure() {
	switch {
	case p.state == probeIdle:
		p.closeConn()
	case p.state == probeSent && p.connReused:
		p.closeConn()
		p.dial()
	case p.state == probeDialing:
		p.failProbe(balance.NoConnect)
	default:
		p.failProbe(balance.Broken)
	}
}

// Ready handles socket events; the loop calls it.
func (p *targetState) Ready(r poll.Ready) {
	if p.state == probeDialing {
		if p.link.sock.DialError() != nil {
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
	word, rest := line.ParseWord(line.TrimLineEnd(first))
	if p.state != probeSent || len(more) > 0 || word != line.Pong && word != line.Err {
		p.logViolation("unknown answer to a probe:", line.TrimLineEnd(first))
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
	line.ParseReport(rest, func(name string, v float64) { p.frontend.settings.SetReportValue(&rep, name, v) })
	p.state, p.connReused = probeIdle, true
	p.addIdle()
	p.frontend.loop.Disarm(&p.timer)
	if idle := p.frontend.settings.ConnIdleTimeout; idle > 0 {
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
