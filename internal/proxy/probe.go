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
type peer struct {
	front  *Lines
	id     string
	to     *routes.Target
	link   link
	state  probeState
	used   bool // the connection has answered a probe
	timer  poll.Timer
	heard  time.Time // its last sign of life, on any connection
	told   time.Time // the last note on slow messages
	slow   bool
	silent bool          // its clients are being moved for that; logged once
	faulty time.Time     // the log last said that it breaks the protocol
	idle   *list.Element // the connection's place among the front's idle ones; nil: not there
	rests  *list.Element // its place among the front's idle connections for probes; likewise
}

// mostIdleProbes is how many connections are kept for the next probe: as many as a fleet of the usual size has servers. Of a much larger
// one hardly any is probed again in time, and each would keep a descriptor and a place at its server.
const mostIdleProbes = 96

// complain logs that the target breaks the protocol: not more often than complainEvery, since a target that
// garbles one answer may garble all.
func (p *peer) complain(what string, text []byte) {
	p.front.count.Garbled++
	if now := p.front.loop.Now(); now.Sub(p.faulty) >= complainEvery {
		p.faulty = now
		p.front.log.Printf("egress target %s: %s %.40q", p.id, what, text)
	}
}

const complainEvery = 10 * time.Second

// sign takes a sign of life.
func (p *peer) sign(now time.Time) { p.heard, p.silent = now, false }

type probeState uint8

const (
	probeNone probeState = iota
	probeDialing
	probeAsking
	probeIdle
)

var statsLine = []byte("STATS\r\n")

func (f *Lines) peer(to *routes.Target) *peer {
	p := f.peers[to.ID]
	if p == nil {
		p = &peer{front: f, id: to.ID}
		p.timer.Fire = p.due
		f.peers[to.ID] = p
	}
	if moved := p.to != nil && p.to.Addr != to.Addr; moved {
		p.to = to
		if p.state == probeDialing || p.state == probeAsking {
			p.hangUp() // what the old address would say is not of this target
			p.dial()
		} else {
			p.hangUp()
		}
	}
	p.to = to
	return p
}

// Probe asks an egress target for its report.
func (f *Lines) Probe(to *routes.Target) {
	p := f.peer(to)
	switch p.state {
	case probeNone:
		p.dial()
	case probeIdle:
		if len(p.link.rest) > 0 { // half a line that came meanwhile would pass for the beginning of the answer
			p.hangUp()
			p.dial()
			return
		}
		p.ask()
	}
	// Otherwise a probe is out, and its answer serves for this one: the module asks once at a time.
}

// Forget gives back what is kept of a target that is gone: over months of machines that come and go the table
// would only grow. A probe that is out ends with that.
func (f *Lines) Forget(id string) {
	p := f.peers[id]
	if p == nil {
		return
	}
	delete(f.peers, id)
	if p.state == probeDialing || p.state == probeAsking {
		p.failed(balance.NoConnect)
		return
	}
	p.hangUp()
}

func (p *peer) dial() {
	if !p.front.makeRoom(keptFromProbes + 1) {
		p.front.engine.Probed(p.id, balance.NotSent, noReport)
		return
	}
	sock, err := p.front.loop.Dial(p.to.Addr, p)
	if err != nil {
		o := dialOutcome(err)
		if errors.Is(err, poll.ErrNoPath) {
			o = balance.NotSent // a moment's fault of this machine's routes is no word on the target; attempts try for longer
		}
		p.front.engine.Probed(p.id, o, noReport)
		return
	}
	p.link.sock, p.state = sock, probeDialing
	p.front.loop.After(&p.timer, p.front.set.DialTimeout)
}

func (p *peer) ask() {
	p.keep()
	p.state = probeAsking
	p.front.loop.After(&p.timer, p.front.set.DialTimeout*5/4)
	if err := p.link.write(statsLine); err != nil {
		p.broke()
		return
	}
	p.link.want()
}

// keep takes the connection out of the idle ones.
func (p *peer) keep() {
	if p.idle != nil {
		p.front.idling.Remove(p.idle)
		p.front.resting.Remove(p.rests)
		p.idle, p.rests = nil, nil
	}
}

// rest puts the connection among the idle ones, and closes the oldest of those that wait for a probe if they are too many.
func (p *peer) rest() {
	f := p.front
	p.idle = f.idling.PushBack(p)
	p.rests = f.resting.PushBack(p)
	if f.resting.Len() > mostIdleProbes {
		f.resting.Front().Value.(*peer).hangUp()
	}
}

func (p *peer) hangUp() {
	p.keep()
	p.front.loop.Disarm(&p.timer)
	p.link.close()
	p.state, p.used = probeNone, false
}

// failed ends a probe without a report. The connection goes too: a late answer would pass for the next one's.
func (p *peer) failed(o balance.Outcome) {
	p.hangUp()
	p.front.engine.Probed(p.id, o, noReport)
}

// broke deals with a connection that broke. One that was kept may have been closed as idle just when it was
// used again: the probe has not run and goes out on a new one.
func (p *peer) broke() {
	switch {
	case p.state == probeIdle:
		p.hangUp()
	case p.state == probeAsking && p.used:
		p.hangUp()
		p.dial()
	case p.state == probeDialing:
		p.failed(balance.NoConnect)
	default:
		p.failed(balance.Broken)
	}
}

// Ready is called by the loop.
func (p *peer) Ready(r poll.Ready) {
	if p.state == probeDialing {
		if p.link.sock.Established() != nil {
			p.failed(balance.NoConnect)
			return
		}
		p.ask()
		return
	}
	if r.Write && len(p.link.out) > 0 && p.link.flush() != nil {
		p.broke()
		return
	}
	if !r.Read {
		return
	}
	lines, err := p.link.fill(p.front.scratch)
	if err != nil {
		p.broke()
		return
	}
	if len(lines) > 0 {
		p.answer(lines)
	}
}

func (p *peer) answer(lines []byte) {
	first, more := line.Next(lines)
	word, rest := line.ParseWord(line.Text(first))
	if p.state != probeAsking || len(more) > 0 || word != line.Pong && word != line.Err {
		p.complain("unknown answer to a probe", line.Text(first))
		if p.state == probeAsking {
			p.failed(balance.Error)
		} else {
			p.hangUp()
		}
		return
	}
	p.sign(p.front.loop.Now())
	rep, o := noReport, balance.OK
	if word == line.Err {
		o = balance.Error
	}
	line.Figures(rest, func(name string, v float64) { p.front.set.Put(&rep, name, v) })
	p.state, p.used = probeIdle, true
	p.rest()
	p.front.loop.Disarm(&p.timer)
	if idle := p.front.set.ConnIdle; idle > 0 {
		p.front.loop.After(&p.timer, idle)
	}
	p.front.engine.Probed(p.id, o, rep)
}

func (p *peer) due() {
	switch p.state {
	case probeDialing:
		p.failed(balance.NoConnect)
	case probeAsking:
		p.failed(balance.TimedOut)
	default:
		p.hangUp()
	}
}
