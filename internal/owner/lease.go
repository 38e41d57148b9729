package owner

import (
	"fmt"
	"time"
)

// Terms are the times that lease clients and keepers must agree on.
type Terms struct {
	// Lease is how long a grant lasts, counted by the holder from before it sent its request. Above 0.
	Lease time.Duration
	// Margin is subtracted by the holder and added by the keepers, for clocks that run at different rates. Where a clock's rate
	// is off by at most r, two holders never overlap by their own clocks if (Lease-Margin)/(1-r) <= (Lease+Margin)/(1+r), that is
	// Margin >= r*Lease. At least 0, under half of Lease.
	Margin time.Duration
}

// DefaultTerms suit proxies on one network: an owner that died is replaced within about 3 s.
func DefaultTerms() Terms { return Terms{Lease: 2 * time.Second, Margin: 100 * time.Millisecond} }

// Check returns an error that names the value that is out of its range.
func (t Terms) Check() error {
	switch {
	case t.Lease <= 0:
		return fmt.Errorf("lease: %v is not above 0", t.Lease)
	case t.Margin < 0 || t.Margin >= t.Lease/2:
		return fmt.Errorf("margin: %v is not from 0 to under half of the lease, %v", t.Margin, t.Lease)
	}
	return nil
}

// HolderTimeout is how long a holder may rely on a grant, from before it sent its request.
func (t Terms) HolderTimeout() time.Duration { return t.Lease - t.Margin }

// KeeperTimeout is how long the keepers grant a lease to nobody else after they granted or renewed it.
func (t Terms) KeeperTimeout() time.Duration { return t.Lease + t.Margin }

// MaxClockDrift is the largest error of a clock's rate for which two holders never overlap by their own clocks.
func (t Terms) MaxClockDrift() float64 { return float64(t.Margin) / float64(t.Lease) }

// MaxLeases is how many leases a request may name.
const MaxLeases = 24

// LeaseRequest asks the keepers for leases, all in one step: those that are held are renewed, the others granted if they are
// free. The same request, sent again, is applied once. The names on the wire are those of the first version.
type LeaseRequest struct {
	Session uint64       // of this life of the process; never 0
	Seq     uint64       // grows with each request of the session; above 0
	Name    string       // of the client, for people
	Claims  []LeaseClaim `cbor:"Duties"`
}

// LeaseClaim is one lease of a LeaseRequest.
type LeaseClaim struct {
	Lease string `cbor:"Duty"` // name
	Token uint64 // 0: grant it; else renew the grant with this token
	Drop  bool   // release the grant
}

// LeaseStatus is the keepers' answer to one LeaseClaim.
type LeaseStatus struct {
	Lease  string `cbor:"Duty"` // name
	Token  uint64 // latest of the lease, whoever holds it; 0: there was none yet
	Mine   bool   // the client that asked holds it
	Holder string // by name; empty: nobody
}

// LeaseResponse is the keepers' answer to a LeaseRequest.
type LeaseResponse struct {
	Session, Seq uint64        // of the request
	Leases       []LeaseStatus `cbor:"Told"`
}
