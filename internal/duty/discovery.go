package duty

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ospreyspan/internal/routes"
)

// Discovery is the name of the lease for watching discovery. Its owner watches discovery and
// announces the complete list of targets whenever the list has changed.
const Discovery = "discovery"

// Fractions of the longest time that a process may go without querying discovery. Their sum is
// below 1, so that a process without a confirmed announcement has queried discovery itself before
// it is taken to know of changes.
const (
	relyFraction     = 0.6  // how long a process relies on a confirmed announcement
	fallbackFraction = 0.25 // spread of the processes' own queries after that
)

// RelyUntil returns the time until which a process relies on the list that the owner of the
// Discovery lease, another process, has announced, and need not query discovery itself; the zero
// time means that it must query now. The argument listConfirmedAt is the latest time at which that
// announcement was known to be up to date, and askWithin is the longest time that a process may go
// without a query.
func RelyUntil(listConfirmedAt time.Time, askWithin time.Duration) time.Time {
	if listConfirmedAt.IsZero() || askWithin <= 0 {
		return time.Time{}
	}
	return listConfirmedAt.Add(time.Duration(relyFraction * float64(askWithin)))
}

// FallbackSpread returns the duration over which the processes' own queries to discovery are spread
// once the time that RelyUntil returns has passed.
func FallbackSpread(askWithin time.Duration) time.Duration {
	return time.Duration(fallbackFraction * float64(askWithin))
}

// listMessage is the encoded form of an announcement by the owner of the Discovery lease.
type listMessage struct {
	Seq     int64       `cbor:"1,keyasint"`
	Source  uint64      `cbor:"2,keyasint"` // hash of the address of discovery; see sourceHash
	Targets []listEntry `cbor:"3,keyasint"`
}

// listEntry is the encoded form of a routes.Target.
type listEntry struct {
	ID          string        `cbor:"1,keyasint"`
	Addr        []byte        `cbor:"2,keyasint"`
	Site        string        `cbor:"3,keyasint,omitempty"`
	Kind        string        `cbor:"4,keyasint,omitempty"`
	Block       int           `cbor:"5,keyasint,omitempty"`
	Health      routes.Health `cbor:"6,keyasint,omitempty"`
	Share       float64       `cbor:"7,keyasint"`
	StartUnixMS int64         `cbor:"8,keyasint,omitempty"`
}

// mostTargets is the maximum number of entries in a listMessage.
const mostTargets = 10000

// sourceHash identifies a discovery service by its address: processes that use another service must
// not accept its list.
func sourceHash(discovery netip.AddrPort) uint64 { return xxhash.Sum64String(discovery.String()) }

// EncodeList encodes the complete list of targets with version seq, as the owner received it from
// the discovery service at the given address.
func EncodeList(discovery netip.AddrPort, seq int64, targets []*routes.Target) ([]byte, error) {
	message := listMessage{Seq: seq, Source: sourceHash(discovery)}
	for _, t := range targets {
		addr, err := t.Addr.MarshalBinary()
		if err != nil {
			return nil, fmt.Errorf("duty: target %s: %w", t.ID, err)
		}
		message.Targets = append(message.Targets, listEntry{t.ID, addr, t.Site, t.MachineKind, t.Block, t.Health, t.Share, t.StartUnixMS})
	}
	return cbor.Marshal(message)
}

// ReceivedList is the owner's announcement as it applies to the receiving process.
type ReceivedList struct {
	List *routes.List // to be merged into the routing table
	// UnknownAddrs counts the targets whose address this process does not know and may not take
	// from the owner. If it is above 0, the process must query discovery itself.
	UnknownAddrs int
}

// DecodeList decodes the owner's announcement. A target that find returns keeps the address by
// which this process knows it, because discovery may give each proxy a different one; if sameAddrs
// is true, addresses are the same for all processes, and the owner's address is used. Targets that
// find does not return are included only if sameAddrs is true. The argument knownSeq is the version
// of the list that this process has. DecodeList returns an error if the list comes from a discovery
// service other than the given one, is older than knownSeq, has too many entries, or is malformed.
func DecodeList(data []byte, discovery netip.AddrPort, knownSeq int64, sameAddrs bool, find func(id string) *routes.Target) (*ReceivedList, error) {
	var message listMessage
	if err := cbor.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("duty: list: %w", err)
	}
	if err := message.check(discovery, knownSeq); err != nil {
		return nil, err
	}
	received := &ReceivedList{List: &routes.List{Seq: message.Seq, Whole: true}}
	for i := range message.Targets {
		entry := &message.Targets[i]
		if err := received.add(entry, find(entry.ID), sameAddrs); err != nil {
			return nil, err
		}
	}
	if err := received.List.Check(); err != nil {
		return nil, fmt.Errorf("duty: list: %w", err)
	}
	return received, nil
}

// check returns an error if the list comes from another discovery service, is older than knownSeq,
// or has too many entries.
func (m *listMessage) check(discovery netip.AddrPort, knownSeq int64) error {
	switch {
	case m.Source != sourceHash(discovery):
		return fmt.Errorf("duty: list: source %016x is not discovery at %s", m.Source, discovery)
	case m.Seq < knownSeq:
		return fmt.Errorf("duty: list: version %d is older than the known version %d", m.Seq, knownSeq)
	case len(m.Targets) > mostTargets:
		return fmt.Errorf("duty: list: %d targets, at most %d allowed", len(m.Targets), mostTargets)
	}
	return nil
}

// add adds an entry to the list. The argument known is the target that this process has under the
// entry's ID, or nil if it has none.
func (r *ReceivedList) add(entry *listEntry, known *routes.Target, sameAddrs bool) error {
	if known == nil && !sameAddrs {
		r.UnknownAddrs++
		return nil
	}
	if known != nil && known.StartUnixMS != entry.StartUnixMS && !sameAddrs {
		r.UnknownAddrs++ // the target has restarted, possibly at another address
	}
	target := entry.target()
	if known != nil {
		target.Addr = known.Addr
	}
	if !target.Addr.IsValid() || sameAddrs {
		if target.Addr.UnmarshalBinary(entry.Addr) != nil {
			return fmt.Errorf("duty: list: target %s: malformed address of %d bytes", entry.ID, len(entry.Addr))
		}
	}
	r.List.Hosts = append(r.List.Hosts, target)
	return nil
}

// target returns the entry as a routes.Target without an address.
func (e *listEntry) target() *routes.Target {
	return &routes.Target{
		ID: e.ID, Site: e.Site, MachineKind: e.Kind, Block: e.Block, Health: e.Health, Share: e.Share, StartUnixMS: e.StartUnixMS,
	}
}
