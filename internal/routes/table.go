// Package routes maintains the route table: the egress targets that discovery lists, their
// addresses and whether they accept new work. It decodes discovery's lists and watches for changes.
package routes

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Health is the state of an egress target as discovery reports it.
type Health uint8

// The values of Health.
const (
	Serving Health = iota
	Draining
	Deleted
)

// UnmarshalText parses a health value.
func (h *Health) UnmarshalText(text []byte) error {
	switch string(text) {
	case "SERVING":
		*h = Serving
	case "DRAINING":
		*h = Draining
	case "DELETED":
		*h = Deleted
	default:
		return fmt.Errorf("health: unknown value %q", text)
	}
	return nil
}

// Target is an egress target as discovery lists it.
type Target struct {
	ID          string         `json:"host"`
	Addr        netip.AddrPort `json:"dial"`
	Site        string         `json:"site"`
	MachineKind string         `json:"class"`
	Block       int            `json:"block"`
	Health      Health         `json:"health"`
	Share       float64        `json:"share"`
	StartUnixMS int64          `json:"born_ms"` // last start, Unix time in ms; 0 or less: long ago
	StartedAt   time.Time      `json:"-"`       // last start on the loop's clock; zero: long ago
	entryNumber int            // sequence number of the table entry; updates of a target keep it
}

// SameEntry reports whether t and other are states of one table entry, so that the target did not
// leave the table in between. Only ID and entryNumber have to be equal; the other fields may have
// been updated.
func (t *Target) SameEntry(other *Target) bool {
	return t.ID == other.ID && t.entryNumber == other.entryNumber
}

// List is one answer of discovery.
type List struct {
	Seq   int64     `json:"seq"`
	Whole bool      `json:"whole"`
	Hosts []*Target `json:"hosts"`
}

// Decode parses a list and checks that its entries are usable.
func Decode(text []byte) (*List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if err := l.Check(); err != nil {
		return nil, err
	}
	return &l, nil
}

// Check returns an error that names the field of the first unusable entry of the list.
func (l *List) Check() error {
	for i, t := range l.Hosts {
		switch {
		case t == nil:
			return fmt.Errorf("hosts[%d]: null", i)
		case t.ID == "":
			return fmt.Errorf("hosts[%d].host: empty", i)
		case t.Health != Deleted && !t.Addr.IsValid():
			return fmt.Errorf("hosts[%d].dial: missing", i)
		}
	}
	return nil
}

// Table is the route table. It owns its entries, which are immutable once they are in the table.
type Table struct {
	Seq        int64
	byID       map[string]*Target
	entryCount int // number of entries ever added
}

// Find returns the egress target with the given ID, or nil if the table does not contain it.
func (t *Table) Find(id string) *Target { return t.byID[id] }

// Empty reports whether the table contains no target.
func (t *Table) Empty() bool { return len(t.byID) == 0 }

// IDs returns the IDs of all targets in ascending order.
func (t *Table) IDs() []string { return slices.Sorted(maps.Keys(t.byID)) }

// All returns all targets in ascending order of their IDs.
func (t *Table) All() []*Target {
	var all []*Target
	for _, id := range t.IDs() {
		all = append(all, t.byID[id])
	}
	return all
}

// Merge applies a list to the table and returns the IDs of the targets that no longer accept new
// work.
func (t *Table) Merge(l *List) (stopped []string) {
	if t.byID == nil {
		t.byID = make(map[string]*Target)
	}
	t.Seq = l.Seq
	if l.Whole {
		named := make(map[string]bool, len(l.Hosts))
		for _, target := range l.Hosts {
			named[target.ID] = true
		}
		for _, id := range slices.Sorted(maps.Keys(t.byID)) {
			if !named[id] {
				delete(t.byID, id)
				stopped = append(stopped, id)
			}
		}
	}
	for _, target := range l.Hosts {
		if target.Health != Serving {
			stopped = append(stopped, target.ID)
		}
		if target.Health == Deleted {
			delete(t.byID, target.ID)
		} else {
			if old := t.byID[target.ID]; old != nil {
				target.entryNumber = old.entryNumber
			} else {
				t.entryCount++
				target.entryNumber = t.entryCount
			}
			t.byID[target.ID] = target
		}
	}
	return stopped
}
