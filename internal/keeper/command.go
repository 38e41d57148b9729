package keeper

import (
	"errors"
	"fmt"

	"ospreyspan/internal/owner"
)

// Command is one entry of the log: exactly one of its parts is set.
type Command struct {
	Request *owner.LeaseRequest `cbor:"1,keyasint,omitempty"`
	Expire  *Expire             `cbor:"2,keyasint,omitempty"`
	Floors  *FloorsRequest      `cbor:"3,keyasint,omitempty"`
}

// Expire ends a grant whose time is over by the leader's clock. It changes nothing if the grant was renewed meanwhile.
type Expire struct {
	Lease    string `cbor:"1,keyasint"` // name
	Token    uint64 `cbor:"2,keyasint"`
	Renewals uint64 `cbor:"3,keyasint"`
}

// FloorsRequest asks for the latest token of each lease, through the log, so that no grant before it is missing.
type FloorsRequest struct {
	Session uint64 `cbor:"1,keyasint"` // of this life of the process that asks; never 0
	Seq     uint64 `cbor:"2,keyasint"` // grows with each request of the session
}

// maxNameBytes is how many bytes the name of a lease or of a client may have.
const maxNameBytes = 64

// ErrInvalidRequest is why a request is refused before it is proposed: it is malformed.
var ErrInvalidRequest = errors.New("keeper: not a command")

// CheckRequest returns an error, an ErrCommand, if a request breaks the bounds: nothing that a peer sends may grow the state
// without bound.
func CheckRequest(r *owner.LeaseRequest) error {
	if r.Session == 0 || r.Seq == 0 || len(r.Name) > maxNameBytes || len(r.Claims) == 0 || len(r.Claims) > owner.MaxLeases {
		return fmt.Errorf("%w: session %d, seq %d, %d leases", ErrInvalidRequest, r.Session, r.Seq, len(r.Claims))
	}
	for _, claim := range r.Claims {
		if claim.Lease == "" || len(claim.Lease) > maxNameBytes {
			return fmt.Errorf("%w: a lease's name of %d bytes", ErrInvalidRequest, len(claim.Lease))
		}
	}
	return nil
}
