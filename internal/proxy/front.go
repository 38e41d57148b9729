package proxy

import (
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

// This file is the line between the engine, which hands events to the decision module and keeps the rules, and
// a front, which speaks one protocol with clients and egress targets. Neither knows more of the other.

// Client is one exchange at its front. The engine asks; what comes of it the front tells the Exchange.
type Client interface {
	// Hop passes the request on to an egress target and waits that long for its word.
	Hop(to *routes.Target, wait time.Duration)
	// CancelUnsent gives the hop up if the target can't have the whole request yet, and tells whether it did.
	CancelUnsent() bool
	// CancelHop gives the hop up.
	CancelHop()
	// Refuse refuses the client: it may come again, after that time if it is above 0.
	Refuse(after time.Duration)
	// Fail tells the client that its request failed.
	Fail()
	// Move asks the client of a standing connection to come again, and closes both sides.
	Move()
}

// Prober asks an egress target for its load report and tells Engine.Probed, once for each call.
type Prober interface {
	Probe(to *routes.Target)
	// Forget lets go of what is kept for a target that is gone.
	Forget(id string)
}

// ClientRequest is what a front tells of a new exchange.
type ClientRequest struct {
	ID                string // the client's own name for it, new for each; empty: the protocol has none
	Class, Key, Group string
	Tenant            string        // whose client it is, named as in the settings; empty: it names none
	Wait              time.Duration // until the client gives up
	Again             bool          // its last connection was moved or broke
}

// Exchange is one request of a client, from its arrival to the end of its last hop or standing connection.
type Exchange struct {
	id             balance.RequestID
	clientID       string // the client's id of it
	engine         *Engine
	client         Client
	request        balance.Request
	target         *routes.Target // of the last hop
	hopCount       int            // hops so far
	hopActive      bool           // a hop is out, or its connection stands
	established    bool
	limitBits      uint64 // limits that it counts under, a bit for each
	answered       bool   // the client has its final answer, or left
	held           bool   // an attempt of it waits for a list that is up to date, see listWait
	waitedForList  bool   // it has done so: it does not wait twice
	adoptTarget    string // the egress target that holds the connection since before the start; not the module's to place
	deadline       time.Time
	timer          poll.Timer
	sentAt         time.Time      // when the first byte of the last hop was written; zero: none was
	maybeRanOn     *routes.Target // where the first hop went that may have run; nil: none may have
	maybeRanSentAt time.Time      // when the first byte of that one was written
}

// Up tells that the hop's connection stands. It returns false if the client is not there any more.
func (x *Exchange) Up() bool {
	if x.answered {
		return false
	}
	x.answered, x.established = true, true
	x.engine.loop.Disarm(&x.timer)
	x.engine.count.Up++
	x.engine.count.Standing++
	if x.adoptTarget != "" {
		x.engine.push(event{kind: evOpen, x: x, request: x.request, target: x.target.ID})
	} else {
		x.engine.push(event{kind: evUp, x: x})
		x.engine.proofs.took(x.target.ID, x.sentAt)
	}
	x.engine.saw(x.target.ID, balance.OK, FromHop)
	return true
}

// served tells that the target served the request to its end with its first word.
func (x *Exchange) markServed() {
	x.answered = true
	x.engine.count.Up++
	if x.adoptTarget == "" { // a server that drains keeps the connections that it has
		x.engine.proofs.took(x.target.ID, x.sentAt)
	}
}

// Ended tells how the hop or the standing connection ended.
func (x *Exchange) Ended(o balance.Outcome, rep balance.Report) {
	if !x.hopActive {
		return
	}
	x.hopActive = false
	if !x.established && x.maybeRanOn == nil && !o.NeverRan() && !x.sentAt.IsZero() {
		x.maybeRanOn, x.maybeRanSentAt = x.target, x.sentAt
	}
	x.engine.countEnd(o)
	if x.established {
		x.engine.saw(x.target.ID, o, FromStanding)
	} else {
		x.engine.saw(x.target.ID, o, FromHop)
	}
	if x.adoptTarget != "" && !x.established {
		x.engine.adoptAgain(x, o)
		return
	}
	settled := x.answered
	x.engine.push(event{kind: evEnded, x: x, attempt: x.hopCount - 1, settled: settled, outcome: o, report: rep})
	if settled {
		x.engine.release(x)
	}
}

// ClientLeft tells that the client left before it had its answer. A hop of which the target can't have the whole request is given up
// at once, which needs no permission; the module decides on any other.
func (x *Exchange) ClientLeft() {
	if x.answered {
		return
	}
	x.answered = true
	x.engine.loop.Disarm(&x.timer) // where cancelling is not permitted its hop may stay out for long
	x.engine.count.Left++
	if x.adoptTarget == "" {
		x.engine.push(event{kind: evLeft, x: x})
	} else if x.hopActive {
		x.client.CancelHop()
		x.hopActive = false
	}
	x.engine.dropHeld(x)
	switch {
	case !x.hopActive:
		x.engine.leaving = append(x.engine.leaving, x)
	case x.client.CancelUnsent():
		x.Ended(balance.NotSent, noReport)
	}
}

// Delay tells how long a message takes at the standing connection's egress target.
func (x *Exchange) Delay(d time.Duration) {
	x.engine.push(event{kind: evNote, x: x, note: balance.NoteDelay,
		level: float64(d) / float64(time.Millisecond)})
}

// Load tells the standing connection's load, in microseconds of work a second.
func (x *Exchange) Load(level float64) {
	x.engine.push(event{kind: evNote, x: x, note: balance.NoteLoad, level: level})
}
