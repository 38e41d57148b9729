// Package fleet is a model of what a proxy works with: relays with cores that tire, the discovery that names them, a front
// that hands clients to proxies, and the clients. All parts speak the platform's protocol over poll.Loop, so that the
// same code runs on a virtual network and on real loopback sockets. What they see goes into a Ledger, which is also the
// judge of the rules.
package fleet

import (
	"math/rand/v2"
	"time"
)

// Range is a figure that differs from day to day or from one to the other: drawn evenly between From and To.
type Range struct{ From, To float64 }

// Draw draws a figure.
func (r Range) Draw(rng *rand.Rand) float64 { return r.From + (r.To-r.From)*rng.Float64() }

// DurationRange is a Range of times.
type DurationRange struct{ From, To time.Duration }

// Draw draws a time.
func (s DurationRange) Draw(rng *rand.Rand) time.Duration {
	return s.From + time.Duration(float64(s.To-s.From)*rng.Float64())
}

// Class is a kind of connection.
type Class struct {
	Name           string
	Share          float64       // of new connections
	SetUpTarget    time.Duration // wanted within this
	AttemptTimeout time.Duration // a try is given up after this
	MessageTarget  time.Duration // a message is wanted within this
	Worth          float64       // of a second
	SetUpWork      DurationRange // of setting one up, on a standard core
	LoadFactor     float64       // times the usual load
	LifeFactor     float64       // times the usual life
	LoadSigma      float64       // of a connection's load, lognormal
	ChangeSigma    float64       // of its changes, lognormal
	ChangeInterval DurationRange // between these
	SingleShot     bool          // a client whose request may have run does not come again
}

// RelayKind is a kind of relay.
type RelayKind struct {
	Name          string
	Share         float64 // of the relays
	Cores         int
	Speed         Range         // of a core, where 1 is a standard one
	ColdFrom      Range         // part of its capacity with which one starts
	WarmUp        DurationRange // until it is warm
	ErrorFraction Range         // part of the connections that are answered with an error
}

// Traffic is what clients do.
type Traffic struct {
	Rate               float64       // new clients a second, on the average of the day
	RateSwing          float64       // part by which the rate swings about that
	SwingPeriod        time.Duration // of the swing
	MeanLife           time.Duration // mean time that a client wants its connection
	ConnectionsPerCore float64       // usual connections that fill a standard core
	GroupSize          float64       // mean number of clients that are there at a time of a group
	GroupCost          float64       // usual loads that a relay pays for each group that it holds any of
	MessageInterval    time.Duration // a message
	QuickRetries       int           // quick ones, of a try
	Backoff            DurationRange // before the first; doubles
	HonourFraction     float64       // part of the clients that keep to advice
	ReconnectDelay     DurationRange // after a move or a break
	ImpatientFraction  float64       // part of the clients that come again at once
	ZoneSkew           float64       // part of the traffic that is moved to the first site
	CostlyFraction     float64       // part of connections that are costly now, of one class
	CostlyFactor       float64       // times as costly
}

// ReportConfig is how relays tell of their load.
type ReportConfig struct {
	Period    DurationRange // between two
	Delay     DurationRange // until one can be read
	Noise     float64       // relative, normal
	ProbeWork DurationRange // of answering a probe, on a standard core
}

// Rules are the figures of the rules that the Ledger judges by.
type Rules struct {
	AnswerSlack  time.Duration // after a client's deadline
	DrainGrace   time.Duration
	FallMultiple float64
	FallWithin   time.Duration
}
