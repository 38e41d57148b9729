// Package balance decides for one relay where its long-lived connections go.
//
// This file is the whole interface: settings, events' values and the actions asked of the host. The
// decisions are in the other files, one job each. A Balancer has no clock, does no I/O and starts
// no goroutine: every event carries its time, every action goes to a [Host], and the same events
// with the same seed bring the same actions. It is not safe for concurrent use.
package balance

import "time"

// RequestID names one request of a client; the host never uses one twice. It stays below 1<<52.
type RequestID = uint64

// Idempotency tells what sending a request twice may do.
type Idempotency uint8

// The kinds of Repeat.
const (
	Idempotent      Idempotency = iota // harmless
	IdempotentByKey                    // harmless within the backends of the class's scope, for its window
	NotIdempotent                      // only once every earlier attempt is known not to have run
)

// DedupScope tells which backends drop the repeats of a keyed request.
type DedupScope uint8

// The kinds of Scope.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class holds what is known of a kind of request.
type Class struct {
	SetupTarget time.Duration // a connection set up within this is in time
	Worth       float64
	Idempotency Idempotency
	DedupScope  DedupScope
	DedupWindow time.Duration // for RepeatKeyed, from the send of the first attempt that may have run
	// MessageTarget is the time within which an open connection wants each message; 0: not told.
	MessageTarget time.Duration
}

// Tenant holds what one tenant may use.
type Tenant struct {
	ConnectionQuota float64 // open connections over all relays; 0: no share is set
}

// Rules are the figures of the rules that a relay keeps.
type Rules struct {
	AnswerSlack     time.Duration // an answer this long after the client's deadline still counts
	MaxDiscoveryGap time.Duration // longest time without a subscription or a question to discovery
	InitialCapacity float64       // least share of its capacity with which a backend starts
	WarmUpTime      time.Duration // time after which a backend has all of its capacity
	OverloadFactor  float64       // work above this many times the present capacity...
	OverloadWindow  time.Duration // ...for this long makes a cold backend fall
}

// Prices are parts of the service given up for each unit, where 1 is all of it.
type Prices struct {
	CrossZone float64 // an attempt in another zone, for each request
}

// Config is what a relay is told at its start.
type Config struct {
	Relays          int // relays that serve the same backends, this one included
	Zone            string
	Classes         []Class
	Tenants         []Tenant
	Rules           Rules
	Prices          Prices
	MaxAttempts     int           // for one request; 0: no limit
	MaxRetryAfter   time.Duration // longest advice to stay away that a client may heed; 0: none is passed on
	MayProbe        bool
	MayCancel       bool
	Subscribe       bool          // discovery answers only when asked
	DetachedTimeout time.Duration // a backend keeps a connection whose packets stay away for this; 0: not at all
	GroupAffinity   bool          // a backend pays once for all connections of a group that it holds
}

// State is what discovery says of a backend.
type State uint8

// The kinds of State.
const (
	Ready State = iota
	Draining
	Gone
)

// Backend is one entry of discovery's list.
type Backend struct {
	ID        string
	Zone      string
	Cell      int
	State     State
	Size      float64
	StartTime time.Time // when its process last started; the zero time: long ago
}

// ListKind tells what a list of backends is.
type ListKind uint8

// The kinds of ListKind.
const (
	ListPatch  ListKind = iota // only the entries that changed
	ListWhole                  // all; a backend that is missing is gone
	ListStale                  // all, as this relay last had it before its start
	ListBroken                 // a question failed or the subscription broke; no entries
)

// Request is a client's request for a connection.
type Request struct {
	ID        RequestID
	Class     int           // index in Config.Classes; -1: unknown
	Tenant    int           // index in Config.Tenants; -1: none
	Group     string        // connections of one group share work; empty: none
	Key       string        // what the request is about; empty: unknown
	Timeout   time.Duration // until the client gives up
	MidFlow   bool          // packets of an open connection that another relay carried before
	Reconnect bool          // the client came back after a break or a move
	OverLimit bool          // all relays together have what they may take: it is refused
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The kinds of Outcome.
const (
	OK        Outcome = iota
	Error             // answered with an error
	Rejected          // turned away unseen
	TimedOut          // no answer in time
	NoConnect         // no connection could be made
	Broken            // the connection broke
	Cancelled         // called off, or the client left
	NotSent           // the host did not send it
)

// NeverRan tells whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == NoConnect || o == NotSent }

// Report is a backend's word on its load. A value that is not reported is NaN or below 0.
type Report struct {
	Load    float64 // load asked over what it can do
	CPU     float64 // busy share of its processors
	Active  float64 // requests or connections in hand
	Waiting float64 // requests waiting
	Latency float64 // recent service time in milliseconds
	Rate    float64 // requests a second
	Errors  float64 // errors a second
}

// Metric is word on an open connection.
type Metric uint8

// The kinds of Note.
const (
	MetricLoad  Metric = iota // its load, in microseconds of work a second
	MetricDelay               // milliseconds that a message takes at its backend
)

// Host carries out what a Balancer decides. Its methods must not call back into the Balancer.
type Host interface {
	// Send starts the next attempt of a request; attempts are numbered from 0.
	Send(id RequestID, backend string, timeout time.Duration)
	// Refuse is a final answer: turned away, and harmless to try again (after the advice, if not
	// 0).
	Refuse(id RequestID, advice time.Duration)
	// Fail is a final answer: failed, with no word on its effect.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// Move closes an open connection politely; its client comes again as a new request.
	Move(id RequestID)
	// Probe asks a backend for its report.
	Probe(backend string)
	// Watch subscribes to discovery's changes; Members answers.
	Watch()
	// After asks for a Timer event with the token.
	After(d time.Duration, token uint64)
}
