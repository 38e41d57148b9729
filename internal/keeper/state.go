package keeper

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ospreyspan/internal/owner"
)

// Limits of the replicated state.
const (
	maxSessions = 2048 // beyond that, the least recently used session is evicted
	maxLeases   = 256
)

// State is the replicated state machine. It has no clock: grants end by Expire entries.
type State struct {
	LastToken uint64           `cbor:"1,keyasint"` // highest token of any grant; 0: there was none
	Leases    []*Lease         `cbor:"2,keyasint"` // sorted by name
	Sessions  []*sessionRecord `cbor:"3,keyasint"` // sorted by id
	Applied   uint64           `cbor:"4,keyasint"` // index of the last applied entry
}

// Lease is the right to do one piece of work, which at most one process holds.
type Lease struct {
	Name     string `cbor:"1,keyasint"`
	Token    uint64 `cbor:"2,keyasint"` // fencing token of the latest grant
	Session  uint64 `cbor:"3,keyasint"` // session of the holder; 0: the lease is free
	Holder   string `cbor:"4,keyasint"` // name of the holder
	Renewals uint64 `cbor:"5,keyasint"` // number of grants and renewals so far, of all holders
}

// heldBy reports whether a session holds the lease.
func (l *Lease) heldBy(session uint64) bool { return l.Session != 0 && l.Session == session }

// release frees the lease.
func (l *Lease) release() { l.Session, l.Holder = 0, "" }

// sessionRecord holds the sequence number of the last request of a session and its response. A
// repeated request is answered from the record and so is applied only once.
type sessionRecord struct {
	ID       uint64              `cbor:"1,keyasint"`
	Seq      uint64              `cbor:"2,keyasint"`
	Response owner.LeaseResponse `cbor:"3,keyasint"`
	LastUsed uint64              `cbor:"4,keyasint"` // log index of the session's last request
}

// lease returns a lease by its name, nil if there is none, and its position in Leases or the
// position to insert it at.
func (s *State) lease(name string) (*Lease, int) {
	i, found := slices.BinarySearchFunc(s.Leases, name, func(l *Lease, name string) int { return cmp.Compare(l.Name, name) })
	if !found {
		return nil, i
	}
	return s.Leases[i], i
}

// Apply applies the command of the log entry at an index. It returns the response to a lease
// request, and nil for other commands and for a request older than the last one of its session.
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

// applyExpire ends a grant unless it was renewed after the Expire was proposed.
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

// applyClaim renews, grants or releases one lease as a claim of a request asks.
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
		// The client let its grant expire, or never got the response. It gets a new grant, so that
		// effects sent under the old one can't be mistaken for those of the new one.
		s.grant(l, r)
	case l.Session == 0 && claim.Token == 0:
		s.grant(l, r)
	}
	return owner.LeaseStatus{Lease: l.Name, Token: l.Token, Mine: l.heldBy(r.Session), Holder: l.Holder}
}

// grant grants a lease to the client of a request, with a token above all earlier ones.
func (s *State) grant(l *Lease, r *owner.LeaseRequest) {
	s.LastToken++
	l.Token, l.Session, l.Holder = s.LastToken, r.Session, r.Name
	l.Renewals++
}

// session returns the record of a session, created if there is none, and sets its LastUsed to
// index.
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

// evictOldestSession removes the least recently used session.
func (s *State) evictOldestSession() {
	oldest := 0
	for i, r := range s.Sessions {
		if r.LastUsed < s.Sessions[oldest].LastUsed {
			oldest = i
		}
	}
	s.Sessions = slices.Delete(s.Sessions, oldest, oldest+1)
}

// Floors returns the latest token of each lease by name.
func (s *State) Floors() map[string]uint64 {
	floors := make(map[string]uint64, len(s.Leases))
	for _, l := range s.Leases {
		if l.Token > 0 {
			floors[l.Name] = l.Token
		}
	}
	return floors
}

// Encode encodes the state for a snapshot. Equal states have equal encodings.
func (s *State) Encode() ([]byte, error) { return cbor.Marshal(s) }

// DecodeState decodes the state of a snapshot.
func DecodeState(data []byte) (*State, error) {
	var s State
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("keeper: snapshot: %w", err)
	}
	return &s, nil
}
