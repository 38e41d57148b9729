package keeper

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ospreyspan/internal/owner"
)

// Bounds on the state.
const (
	maxSessions = 2048 // the least recently used one is forgotten
	maxLeases   = 256
)

// State is what the keepers agree on. It has no clock: time comes in as Expire entries.
type State struct {
	LastToken uint64           `cbor:"1,keyasint"` // of all grants
	Leases    []*Lease         `cbor:"2,keyasint"` // by name
	Sessions  []*sessionRecord `cbor:"3,keyasint"` // by id
	Applied   uint64           `cbor:"4,keyasint"` // index of the last entry
}

// Lease is the right to do one piece of work, which at most one process holds.
type Lease struct {
	Name     string `cbor:"1,keyasint"`
	Token    uint64 `cbor:"2,keyasint"` // of the latest grant
	Session  uint64 `cbor:"3,keyasint"` // of its holder; 0: it is free
	Holder   string `cbor:"4,keyasint"` // by name
	Renewals uint64 `cbor:"5,keyasint"` // of all grants
}

// heldBy tells whether a session holds the lease.
func (l *Lease) heldBy(session uint64) bool { return l.Session != 0 && l.Session == session }

// release frees the lease.
func (l *Lease) release() { l.Session, l.Holder = 0, "" }

// sessionRecord is the last request of a session and its response: a repeated request is answered from it, and applied once.
type sessionRecord struct {
	ID       uint64              `cbor:"1,keyasint"`
	Seq      uint64              `cbor:"2,keyasint"`
	Response owner.LeaseResponse `cbor:"3,keyasint"`
	LastUsed uint64              `cbor:"4,keyasint"` // index of its last entry
}

// lease finds a lease by its name, nil if there is none, and the index at which it is or would be.
func (s *State) lease(name string) (*Lease, int) {
	i, found := slices.BinarySearchFunc(s.Leases, name, func(l *Lease, name string) int { return cmp.Compare(l.Name, name) })
	if !found {
		return nil, i
	}
	return s.Leases[i], i
}

// Apply applies the entry at an index of the log. It returns the response to a lease request, and nil for other commands and for
// a request that is older than the session's last.
func (s *State) Apply(index uint64, c *Command) *owner.LeaseResponse {
	s.Applied = index
	switch {
	case c.Request != nil:
		return s.applyRequest(index, c.Request)
	case c.Expire != nil:
		s.applyExpire(c.Expire)
	}
	return nil
}

// applyExpire ends a grant unless it was renewed meanwhile.
func (s *State) applyExpire(e *Expire) {
	if l, _ := s.lease(e.Lease); l != nil && l.Token == e.Token && l.Renewals == e.Renewals {
		l.release()
	}
}

func (s *State) applyRequest(index uint64, r *owner.LeaseRequest) *owner.LeaseResponse {
	if CheckRequest(r) != nil {
		return nil
	}
	session := s.session(index, r.Session)
	if r.Seq < session.Seq {
		return nil
	}
	if r.Seq == session.Seq {
		return &session.Response
	}
	response := owner.LeaseResponse{Session: r.Session, Seq: r.Seq}
	for _, claim := range r.Claims {
		response.Leases = append(response.Leases, s.applyClaim(r, claim))
	}
	session.Seq, session.Response = r.Seq, response
	return &session.Response
}

// applyClaim renews, grants or releases one lease of a request.
func (s *State) applyClaim(r *owner.LeaseRequest, claim owner.LeaseClaim) owner.LeaseStatus {
	l, at := s.lease(claim.Lease)
	if l == nil {
		if claim.Drop || claim.Token != 0 || len(s.Leases) >= maxLeases {
			return owner.LeaseStatus{Lease: claim.Lease}
		}
		l = &Lease{Name: claim.Lease}
		s.Leases = slices.Insert(s.Leases, at, l)
	}
	switch mine := l.heldBy(r.Session); {
	case claim.Drop:
		if mine && claim.Token == l.Token {
			l.release()
		}
		return owner.LeaseStatus{Lease: l.Name, Token: l.Token, Holder: l.Holder}
	case mine && claim.Token == l.Token:
		l.Renewals++
	case mine:
		// The client let its grant run out, or never heard of it: a new grant, so that what it sent under the old one
		// can't be taken for this one's.
		s.grant(l, r)
	case l.Session == 0 && claim.Token == 0:
		s.grant(l, r)
	}
	return owner.LeaseStatus{Lease: l.Name, Token: l.Token, Mine: l.heldBy(r.Session), Holder: l.Holder}
}

// grant gives a lease to whoever requests it, with a token above all before.
func (s *State) grant(l *Lease, r *owner.LeaseRequest) {
	s.LastToken++
	l.Token, l.Session, l.Holder = s.LastToken, r.Session, r.Name
	l.Renewals++
}

// session returns the record of a session, a new one if there is none, and notes that it is used by the entry at an index.
func (s *State) session(index, id uint64) *sessionRecord {
	at, found := s.findSession(id)
	if !found {
		if len(s.Sessions) >= maxSessions {
			s.evictOldestSession()
			at, _ = s.findSession(id)
		}
		s.Sessions = slices.Insert(s.Sessions, at, &sessionRecord{ID: id})
	}
	s.Sessions[at].LastUsed = index
	return s.Sessions[at]
}

func (s *State) findSession(id uint64) (at int, found bool) {
	return slices.BinarySearchFunc(s.Sessions, id, func(r *sessionRecord, id uint64) int { return cmp.Compare(r.ID, id) })
}

// evictOldestSession forgets the least recently used session.
func (s *State) evictOldestSession() {
	oldest := 0
	for i, r := range s.Sessions {
		if r.LastUsed < s.Sessions[oldest].LastUsed {
			oldest = i
		}
	}
	s.Sessions = slices.Delete(s.Sessions, oldest, oldest+1)
}

// Floors returns the latest token of each lease, by name.
func (s *State) Floors() map[string]uint64 {
	floors := make(map[string]uint64, len(s.Leases))
	for _, l := range s.Leases {
		if l.Token > 0 {
			floors[l.Name] = l.Token
		}
	}
	return floors
}

// Encode writes the state for a snapshot: equal states are equal bytes.
func (s *State) Encode() ([]byte, error) { return cbor.Marshal(s) }

// DecodeState reads a snapshot.
func DecodeState(data []byte) (*State, error) {
	var s State
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("keeper: snapshot: %w", err)
	}
	return &s, nil
}
