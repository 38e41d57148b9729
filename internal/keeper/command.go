package keeper

import (
	"errors"
	"fmt"

	"ospreyspan/internal/owner"
)

// Command is the content of one log entry. Exactly one of its fields is set.
type Command struct {
	Request *owner.LeaseRequest `cbor:"1,keyasint,omitempty"`
	Expire  *Expire             `cbor:"2,keyasint,omitempty"`
	Floors  *FloorsRequest      `cbor:"3,keyasint,omitempty"`
}

// Expire ends a grant that has expired by the leader's clock. It has no effect if the grant was
// renewed in the meantime.
type Expire struct {
	Lease    string `cbor:"1,keyasint"` // name of the lease
	Token    uint64 `cbor:"2,keyasint"` // fencing token of the grant
	Renewals uint64 `cbor:"3,keyasint"` // Lease.Renewals when Expire was proposed
}

// FloorsRequest asks for the floors: the latest fencing token of each lease. It passes through the
// log, so that the response covers every grant before it.
type FloorsRequest struct {
	Session uint64 `cbor:"1,keyasint"` // identifies one run of the requesting process; never 0
	Seq     uint64 `cbor:"2,keyasint"` // increases with each request of the session
}

// maxNameBytes limits the names of leases and of clients.
const maxNameBytes = 64

// ErrInvalidRequest is returned for a malformed request, which is refused before it is proposed.
var ErrInvalidRequest = errors.New("keeper: invalid request")

// CheckRequest returns an ErrInvalidRequest for a request that exceeds the limits: no peer may make
// the replicated state grow without bound.
func CheckRequest(r *owner.LeaseRequest) error {
	if r.Session == 0 || r.Seq == 0 || len(r.Name) > maxNameBytes || len(r.Claims) == 0 || len(r.Claims) > owner.MaxLeases {
		return fmt.Errorf("%w: session %d, seq %d, %d leases: one of them is 0 or too many, or the client's name is too long", ErrInvalidRequest, r.Session, r.Seq, len(r.Claims))
	}
	for _, claim := range r.Claims {
		if claim.Lease == "" || len(claim.Lease) > maxNameBytes {
			return fmt.Errorf("%w: lease name of %d bytes is empty or too long", ErrInvalidRequest, len(claim.Lease))
		}
	}
	return nil
}
