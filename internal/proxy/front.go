package proxy

import (
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

// This file is the interface between the engine, which hands events to the decision module and
// enforces the rules, and a frontend, which speaks one protocol with clients and egress targets.
// Neither depends on anything else of the other.

// Client is a frontend's side of one exchange. The engine calls it; the frontend reports the
// results to the Exchange.
type Client interface {
	// Hop sends the request to an egress target and waits up to the given time for its answer.
	Hop(to *routes.Target, wait time.Duration)
	// CancelUnsent cancels the hop if the target cannot have the whole request yet, and reports
	// whether it did.
	CancelUnsent() bool
	// CancelHop cancels the hop.
	CancelHop()
	// Refuse refuses the client, which may try again after the given time if it is above 0.
	Refuse(after time.Duration)
	// Fail tells the client that its request failed.
	Fail()
	// Move tells the client of an established connection to reconnect, and closes both sides.
	Move()
}

// Prober asks an egress target for its load report and calls Engine.Probed with the result, once
// for each call of Probe.
type Prober interface {
	Probe(to *routes.Target)
	// Forget releases the state of a target that is gone.
	Forget(id string)
}

// ClientRequest describes a new exchange, as a frontend received it.
type ClientRequest struct {
	ID            string // chosen by the client, new for each exchange; empty: none
	Class, Key    string
	AffinityGroup string        // connections of one group share work on a target; empty: none
	Tenant        string        // the client's tenant, named as in the settings; empty: none
	Wait          time.Duration // until the client gives up
	Again         bool          // the client's last connection was moved or failed
}

// Exchange is one request of a client, from its arrival to the end of its last hop or of its
// established connection.
type Exchange struct {
	id             balance.RequestID
	clientID       string // the client's id of the exchange
	engine         *Engine
	client         Client
	request        balance.Request
	target         *routes.Target // of the last hop
	hopCount       int            // hops so far
	hopActive      bool           // a hop is in progress, or its connection is established
	established    bool
	limitBits      uint64    // the limits that the exchange counts under, one bit each
	answered       bool      // the client has its final answer, or left
	held           bool      // an attempt waits for an up-to-date list, see listWait
	waitedForList  bool      // an attempt has waited so: an exchange does not wait twice
	adoption       *adoption // nil: the module chooses the target
	deadline       time.Time
	timer          poll.Timer
	sentAt         time.Time      // when the last hop's first byte was written; zero: none was
	maybeRanOn     *routes.Target // target of the first hop that may have run; nil: none may have
	maybeRanSentAt time.Time      // when the first byte of that hop was written
}

// Up reports that the hop's connection is established. It returns false if the client has left or
// has its answer.
func (x *Exchange) Up() bool {
	if x.answered {
		return false
	}
	x.answered, x.established = true, true
	x.engine.loop.Disarm(&x.timer)
	x.engine.counters.Up++
	x.engine.counters.Standing++
	if x.adoption != nil {
		x.hopCount = 1 // the module hears of the established connection only, as the first attempt
		x.engine.push(event{kind: evOpen, exchange: x, request: x.request, target: x.target.ID})
	} else {
		x.engine.push(event{kind: evEstablished, exchange: x})
		x.engine.proofs.recordAccepted(x.target.ID, x.sentAt)
	}
	x.engine.reportOutcome(x.target.ID, balance.OK, OutcomeFromHop)
	return true
}

// markServed records that the target's first answer served the request in full.
func (x *Exchange) markServed() {
	x.answered = true
	x.engine.counters.Up++
	if x.adoption == nil { // a draining server keeps its connections
		x.engine.proofs.recordAccepted(x.target.ID, x.sentAt)
	}
}

// Ended reports how the hop or the established connection ended.
func (x *Exchange) Ended(o balance.Outcome, rep balance.Report) {
	if !x.hopActive {
		return
	}
	x.hopActive = false
	if !x.established && !o.NeverRan() && !x.sentAt.IsZero() {
		x.markMaybeRan()
	}
	x.engine.countOutcome(o)
	if x.established {
		x.engine.reportOutcome(x.target.ID, o, OutcomeFromEstablished)
	} else {
		x.engine.reportOutcome(x.target.ID, o, OutcomeFromHop)
	}
	if x.adoption != nil && !x.established {
		x.engine.retryAdoption(x, o)
		return
	}
	settled := x.answered
	x.engine.push(event{kind: evEnded, exchange: x, attempt: x.hopCount - 1, clientSettled: settled, outcome: o, report: rep})
	if settled {
		x.engine.release(x)
	}
}

// markMaybeRan records that the last hop may have run.
func (x *Exchange) markMaybeRan() {
	if x.maybeRanOn == nil {
		x.maybeRanOn, x.maybeRanSentAt = x.target, x.sentAt
	}
}

// ClientLeft reports that the client left before it had its answer. A hop whose target cannot have
// the whole request is cancelled at once, which needs no permission; the module decides on any
// other.
func (x *Exchange) ClientLeft() {
	if x.answered {
		return
	}
	x.answered = true
	x.engine.loop.Disarm(&x.timer) // without permission to cancel, the hop may go on for long
	x.engine.counters.Left++
	x.engine.endAdoption(x)
	if x.adoption == nil {
		x.engine.push(event{kind: evClientLeft, exchange: x})
	} else if x.hopActive {
		x.client.CancelHop()
		x.hopActive = false
		if !x.sentAt.IsZero() {
			x.markMaybeRan()
		}
	}
	x.engine.dropHeldSend(x)
	switch {
	case !x.hopActive:
		x.engine.toRelease = append(x.engine.toRelease, x)
	case x.client.CancelUnsent():
		x.Ended(balance.NotSent, noReport)
	}
}

// Delay reports how long a message takes at the established connection's egress target.
func (x *Exchange) Delay(d time.Duration) {
	x.engine.push(event{kind: evNote, exchange: x, note: balance.MetricDelay,
		level: float64(d) / float64(time.Millisecond)})
}

// Load reports the established connection's load, in microseconds of work per second.
func (x *Exchange) Load(level float64) {
	x.engine.push(event{kind: evNote, exchange: x, note: balance.MetricLoad, level: level})
}
