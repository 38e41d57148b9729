// Package fleet emulates the surroundings of a proxy: relays whose capacity varies, the discovery
// service that lists them, a front balancer that assigns clients to proxies, and the clients. All
// parts speak the platform's protocol over poll.Loop, so that the same code runs on a virtual
// network and on real loopback sockets. Their observations go into a Ledger, which also reports
// violations of the rules.
package fleet

import (
	"math/rand/v2"
	"time"
)

// Range is a pair of bounds from which a value is drawn uniformly, for example once for each run or
// once for each relay.
type Range struct{ From, To float64 }

// Draw returns a value drawn uniformly between From and To.
func (r Range) Draw(rng *rand.Rand) float64 { return r.From + (r.To-r.From)*rng.Float64() }

// DurationRange is a pair of bounds from which a duration is drawn uniformly.
type DurationRange struct{ From, To time.Duration }

// Draw returns a duration drawn uniformly between From and To.
func (r DurationRange) Draw(rng *rand.Rand) time.Duration {
	return r.From + time.Duration(float64(r.To-r.From)*rng.Float64())
}

// Class describes a class of connections.
type Class struct {
	Name           string
	Share          float64       // fraction of new connections
	SetUpTarget    time.Duration // set-up counts as in time within this
	AttemptTimeout time.Duration // the client gives up an attempt after this
	MessageTarget  time.Duration // an answer to a message counts as in time within this
	Worth          float64       // value of one second of service
	SetUpWork      DurationRange // work of setting up one connection, on a standard core
	LoadFactor     float64       // multiple of the typical load
	LifeFactor     float64       // multiple of the mean life
	LoadSigma      float64       // of the lognormal distribution of a connection's mean load
	ChangeSigma    float64       // of the lognormal distribution of changes of a connection's load
	ChangeInterval DurationRange // time between two changes of the load
	SingleShot     bool          // a request that may have run is not repeated by the client
}

// RelayKind describes a kind of relay.
type RelayKind struct {
	Name          string
	Share         float64 // fraction of the relays
	Cores         int
	Speed         Range         // of one core; a standard core has 1
	ColdFrom      Range         // fraction of its capacity that a relay has when it starts
	WarmUp        DurationRange // time from the start to full capacity
	ErrorFraction Range         // fraction of the connections that are answered with an error
}

// Traffic describes what the clients do.
type Traffic struct {
	Rate               float64       // new clients per second, averaged over the run
	RateSwing          float64       // relative amplitude of the rate's variation
	SwingPeriod        time.Duration // period of the rate's variation
	MeanLife           time.Duration // mean time for which a client wants its connection
	ConnectionsPerCore float64       // typical connections that fill a standard core
	GroupSize          float64       // mean number of clients of a group that are present at a time
	GroupCost          float64       // typical loads that each group present costs a relay
	MessageInterval    time.Duration // time between two messages of a connection
	QuickRetries       int           // quick retries that belong to one attempt
	Backoff            DurationRange // delay before the first quick retry; it doubles with each one
	HonourFraction     float64       // fraction of the clients that wait as BUSY advises
	ReconnectDelay     DurationRange // delay after a move or a broken connection
	ImpatientFraction  float64       // fraction of the clients that wait at most Backoff.From
	ZoneSkew           float64       // fraction of the traffic that is moved to the first site
	CostlyFraction     float64       // fraction of one class's connections that are costly
	CostlyFactor       float64       // multiple of the load that a costly connection has
}

// ReportConfig describes how relays report their load.
type ReportConfig struct {
	Period    DurationRange // time between two reports
	Delay     DurationRange // time until a report can be read
	Noise     float64       // standard deviation of the normal noise, relative
	ProbeWork DurationRange // work of answering a probe, on a standard core
}

// Rules holds the figures of the rules that the Ledger judges by.
type Rules struct {
	AnswerSlack  time.Duration // time that an answer may come after the client's deadline
	DrainGrace   time.Duration
	FallMultiple float64
	FallWithin   time.Duration
}
