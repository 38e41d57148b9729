package duty

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ospreyspan/internal/routes"
)

// Discovery is the lease for asking discovery. Its owner watches discovery and announces the whole list whenever that has changed.
const Discovery = "discovery"

// Parts of the longest time that the rules allow without a question to discovery. Together they stay under 1, so that a process
// without a confirmed announcement has asked before changes count as told to it.
const (
	relyFraction     = 0.6  // for which a process relies on the owner's announcement after that was confirmed
	fallbackFraction = 0.25 // over which the processes' own questions are spread after that
)

// RelyUntil returns until when a process need not ask discovery itself, zero for now. askWithin is the longest time that the rules
// allow without a question; confirmed is the latest time as of which the owner's announcement was known to be up to date.
func RelyUntil(confirmed time.Time, askWithin time.Duration) time.Time {
	if confirmed.IsZero() || askWithin <= 0 {
		return time.Time{}
	}
	return confirmed.Add(time.Duration(relyFraction * float64(askWithin)))
}

// FallbackSpread is the time over which the processes' own questions are spread after RelyUntil.
func FallbackSpread(askWithin time.Duration) time.Duration {
	return time.Duration(fallbackFraction * float64(askWithin))
}

// listMessage is the announcement of the owner of Discovery.
type listMessage struct {
	Seq     int64       `cbor:"1,keyasint"`
	Source  uint64      `cbor:"2,keyasint"` // hash of the address of discovery
	Targets []listEntry `cbor:"3,keyasint"`
}

// listEntry is one routes.Target.
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

// mostTargets is how many entries a message may have.
const mostTargets = 10000

// sourceHash stands for a discovery: processes that ask another one must not use its list.
func sourceHash(discovery netip.AddrPort) uint64 { return xxhash.Sum64String(discovery.String()) }

// EncodeList writes the whole list as the owner knows it from the discovery at an address.
func EncodeList(discovery netip.AddrPort, seq int64, targets []*routes.Target) ([]byte, error) {
	message := listMessage{Seq: seq, Source: sourceHash(discovery)}
	for _, t := range targets {
		addr, err := t.Addr.MarshalBinary()
		if err != nil {
			return nil, fmt.Errorf("duty: target %s: %w", t.ID, err)
		}
		message.Targets = append(message.Targets, listEntry{t.ID, addr, t.Site, t.Kind, t.Block, t.Health, t.Share, t.StartUnixMS})
	}
	return cbor.Marshal(message)
}

// ReceivedList is what a process makes of the owner's announcement.
type ReceivedList struct {
	List *routes.List // to be merged
	// Unknown counts the targets that the process does not know and may not use by the owner's address: it must ask itself.
	Unknown int
}

// DecodeList reads the owner's announcement. A target that find knows keeps the address by which this process knows it: discovery
// may name another one to each proxy. Unknown ones are taken only if same says that addresses are the same for all. known is the
// version that this process has. A list of another discovery than this process's is an error, and so is one that is older than
// known, too long, or malformed.
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

// check returns an error if a list is not one for this process.
func (m *listMessage) check(discovery netip.AddrPort, knownSeq int64) error {
	switch {
	case m.Source != sourceHash(discovery):
		return fmt.Errorf("duty: list: of another discovery than %s", discovery)
	case m.Seq < knownSeq:
		return fmt.Errorf("duty: list: version %d, older than %d, which is known", m.Seq, knownSeq)
	case len(m.Targets) > mostTargets:
		return fmt.Errorf("duty: list: %d targets, more than %d", len(m.Targets), mostTargets)
	}
	return nil
}

// add adds an entry; known is the target that this process has under its id, nil if there is none.
func (r *ReceivedList) add(entry *listEntry, known *routes.Target, sameAddrs bool) error {
	if known == nil && !sameAddrs {
		r.Unknown++
		return nil
	}
	if known != nil && known.StartUnixMS != entry.StartUnixMS && !sameAddrs {
		r.Unknown++ // it has started anew, perhaps elsewhere
	}
	target := entry.target()
	if known != nil {
		target.Addr = known.Addr
	}
	if !target.Addr.IsValid() || sameAddrs {
		if target.Addr.UnmarshalBinary(entry.Addr) != nil {
			return fmt.Errorf("duty: list: target %s: its address can't be read", entry.ID)
		}
	}
	r.List.Hosts = append(r.List.Hosts, target)
	return nil
}

// target returns the target of an entry, without its address.
func (e *listEntry) target() *routes.Target {
	return &routes.Target{
		ID: e.ID, Site: e.Site, Kind: e.Kind, Block: e.Block, Health: e.Health, Share: e.Share, StartUnixMS: e.StartUnixMS,
	}
}
