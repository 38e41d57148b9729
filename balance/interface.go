// Package balance is the load balancer of one relay: it chooses the backend of each long-lived
// connection and decides on retries, refusals, probes and the moving of open connections.
//
// This file declares the types of the interface: the configuration, the values that events carry,
// and the actions that a [Host] carries out. Each of the other files holds one kind of decisions. A
// [Balancer] has no clock, does no I/O and starts no goroutine: each event carries its time, each
// action is a call to the [Host], and the same events with the same seed produce the same actions.
// It is not safe for concurrent use.
package balance

import "time"

// RequestID identifies one client request. The host never reuses an ID; IDs are below 1<<52.
type RequestID = uint64

// Idempotency states whether a request may be sent again after an attempt that may have run.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent      Idempotency = iota // may be sent again to any backend
	IdempotentByKey                    // may be sent again in DedupScope, during DedupWindow
	NotIdempotent                      // may be sent again only if no earlier attempt can have run
)

// DedupScope states which backends detect a repeated IdempotentByKey request, given the backend
// that received its first attempt.
type DedupScope uint8

// The values of DedupScope: all backends, those of the same zone, or those of the same cell.
const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Class describes a class of requests.
type Class struct {
	SetupTarget time.Duration // target for the time to establish a connection
	Worth       float64       // value of a request relative to other classes
	Idempotency Idempotency
	DedupScope  DedupScope
	// DedupWindow applies to IdempotentByKey. It starts when the first attempt that may have run is
	// sent.
	DedupWindow time.Duration
	// MessageTarget is the target for the latency of each message on an open connection; 0 means
	// that none is given.
	MessageTarget time.Duration
}

// Tenant describes one tenant.
type Tenant struct {
	ConnectionQuota float64 // open connections on all relays together; 0: no quota
}

// Rules are the limits that a relay keeps.
type Rules struct {
	AnswerSlack     time.Duration // an answer may come this long after the client's deadline
	MaxDiscoveryGap time.Duration // longest time without a subscription or query to discovery
	InitialCapacity float64       // minimum fraction of its capacity that a new backend has
	WarmUpTime      time.Duration // time from its start until a backend has its full capacity
	OverloadFactor  float64       // multiple of its capacity that overloads a cold backend
	OverloadWindow  time.Duration // an overload of this length makes a cold backend fail
}

// Prices are costs per unit, where 1 is the value of the whole service.
type Prices struct {
	CrossZone float64 // per request, for an attempt in another zone
}

// Config is the configuration of a Balancer.
type Config struct {
	Relays          int // relays that share the backends, this one included; 0 counts as 1
	Zone            string
	Classes         []Class
	Tenants         []Tenant
	Rules           Rules
	Prices          Prices
	MaxAttempts     int           // per request; 0: no limit
	MaxRetryAfter   time.Duration // longest delay that a refusal may advise; 0: none is advised
	MayProbe        bool          // Host.Probe may be called
	MayCancel       bool          // Host.Cancel may be called
	Subscribe       bool          // discovery sends lists only after Host.WatchDiscovery was called
	DetachedTimeout time.Duration // a connection without packets is kept this long; 0: not at all
	GroupAffinity   bool          // a backend bears a cost once for all its connections of a group
}

// State is the state of a backend according to discovery.
type State uint8

// The values of State.
const (
	Ready    State = iota // accepts new connections
	Draining              // keeps its connections, accepts no new ones
	Gone                  // removed from the list
)

// Backend is one entry of a list from discovery.
type Backend struct {
	ID        string
	Zone      string
	Cell      int
	State     State
	Size      float64   // relative capacity
	StartTime time.Time // of its process; the zero time: unknown, so long ago that it is warm
}

// ListKind states what a list of backends contains.
type ListKind uint8

// The values of ListKind.
const (
	ListPatch  ListKind = iota // only the changed entries
	ListWhole                  // all backends; one that is missing has been removed
	ListStale                  // all backends, from the copy that this relay had before its start
	ListBroken                 // no entries: a query failed or the subscription broke
)

// Request is a client's request for a connection.
type Request struct {
	ID        RequestID
	Class     int           // index into Config.Classes; -1: unknown
	Tenant    int           // index into Config.Tenants; -1: none
	Group     string        // connections of one group share work on a backend; empty: none
	Key       string        // what the request is for, such as a flow of packets; empty: unknown
	Timeout   time.Duration // until the client gives up
	MidFlow   bool          // packets of an open connection that another relay carried before
	Reconnect bool          // the client lost or was moved off an earlier connection
	OverLimit bool          // all relays together have reached a limit: the request is refused
}

// Outcome is the result of an attempt, a connection or a probe.
type Outcome uint8

// The values of Outcome.
const (
	OK        Outcome = iota
	Error             // the backend answered with an error
	Rejected          // the backend refused the request without processing it
	TimedOut          // no answer within the timeout
	NoConnect         // the connection to the backend could not be opened
	Broken            // the connection broke
	Cancelled         // cancelled by the relay, or the client left
	NotSent           // the host did not send it
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == NoConnect || o == NotSent }

// Report is a backend's report of its load. A value that is not reported is NaN or below 0.
type Report struct {
	Load    float64 // offered load divided by capacity
	CPU     float64 // utilization of its processors, 0 to 1
	Active  float64 // requests or connections in progress
	Waiting float64 // queued requests
	Latency float64 // recent service time, in milliseconds
	Rate    float64 // requests per second
	Errors  float64 // errors per second
}

// Metric is a kind of measurement of an open connection.
type Metric uint8

// The values of Metric.
const (
	MetricLoad  Metric = iota // its load, in microseconds of work per second
	MetricDelay               // time that its backend takes for a message, in milliseconds
)

// Host carries out the decisions of a Balancer. Its methods must not call the Balancer.
type Host interface {
	// Send starts the next attempt of a request. Attempts are numbered from 0.
	Send(id RequestID, backend string, timeout time.Duration)
	// Refuse answers a request for good: it was refused and may safely be sent again, after the
	// advised delay if that is not 0.
	Refuse(id RequestID, advice time.Duration)
	// Fail answers a request for good: it failed, and may or may not have taken effect.
	Fail(id RequestID)
	// Cancel gives up an attempt whose result is still outstanding.
	Cancel(id RequestID, attempt int)
	// Move closes an open connection and asks its client to reconnect, which makes a new request.
	Move(id RequestID)
	// Probe asks a backend for a load report; Balancer.Probed takes the result.
	Probe(backend string)
	// WatchDiscovery subscribes to discovery; Balancer.DiscoveryUpdate takes the lists.
	WatchDiscovery()
	// After schedules a call of Balancer.Timer with the token.
	After(d time.Duration, token uint64)
}
