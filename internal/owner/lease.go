package owner

import (
	"fmt"
	"time"
)

// LeaseTerms are the durations that lease clients and keepers must agree on.
type LeaseTerms struct {
	// Lease is the duration of a grant, counted by the holder from before it sent its request.
	// Above 0.
	Lease time.Duration
	// Margin is subtracted from Lease by the holder and added by the keepers, to allow for clocks
	// that run at different rates. If the rate of each clock is off by at most r, two holders never
	// overlap by their own clocks if (Lease-Margin)/(1-r) <= (Lease+Margin)/(1+r), that is
	// Margin >= r*Lease. At least 0, under half of Lease.
	Margin time.Duration
}

// DefaultTerms returns LeaseTerms for proxies on one network: an owner that has died is replaced
// within about 3 s.
func DefaultTerms() LeaseTerms {
	return LeaseTerms{Lease: 2 * time.Second, Margin: 100 * time.Millisecond}
}

// Check returns an error that names the value that is out of range.
func (t LeaseTerms) Check() error {
	switch {
	case t.Lease <= 0:
		return fmt.Errorf("lease: %v is not above 0", t.Lease)
	case t.Margin < 0 || t.Margin >= t.Lease/2:
		return fmt.Errorf("margin: %v is not from 0 to under half of the lease, %v", t.Margin, t.Lease)
	}
	return nil
}

// HolderTimeout returns how long a holder may rely on a grant, counted from before it sent its
// request.
func (t LeaseTerms) HolderTimeout() time.Duration { return t.Lease - t.Margin }

// KeeperTimeout returns how long after a grant or renewal the keepers grant the lease to no other
// client.
func (t LeaseTerms) KeeperTimeout() time.Duration { return t.Lease + t.Margin }

// MaxClockDrift returns the largest relative error of a clock's rate for which two holders never
// overlap by their own clocks.
func (t LeaseTerms) MaxClockDrift() float64 { return float64(t.Margin) / float64(t.Lease) }

// MaxLeases limits the leases of one request.
const MaxLeases = 24

// LeaseRequest asks the keepers for leases, all in one step: leases that the client holds are
// renewed, the others are granted if they are free. A repeated request is applied only once. The
// field names in the encoding are those of the first version of the protocol.
type LeaseRequest struct {
	Session uint64       // identifies one run of the requesting process; never 0
	Seq     uint64       // increases with each request of the session; above 0
	Name    string       // name of the client, for display
	Claims  []LeaseClaim `cbor:"Duties"`
}

// LeaseClaim is one lease of a LeaseRequest.
type LeaseClaim struct {
	Lease string `cbor:"Duty"` // name of the lease
	Token uint64 // 0: grant the lease; otherwise renew the grant with this token
	Drop  bool   // release the grant
}

// LeaseStatus is the keepers' response to one LeaseClaim.
type LeaseStatus struct {
	Lease  string `cbor:"Duty"` // name of the lease
	Token  uint64 // latest token of the lease, whoever holds it; 0: there was none yet
	Mine   bool   // the requesting client holds the lease
	Holder string // name of the holder; empty: nobody
}

// LeaseResponse is the keepers' response to a LeaseRequest.
type LeaseResponse struct {
	Session, Seq uint64        // of the LeaseRequest
	Leases       []LeaseStatus `cbor:"Told"`
}
