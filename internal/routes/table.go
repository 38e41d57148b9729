// Package routes keeps the route table: which egress targets discovery names, where they are and whether they
// take new work. It decodes discovery's lists and keeps a watch on their changes.
package routes

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Health is what discovery says of an egress target.
type Health uint8

// The kinds of Health.
const (
	Serving Health = iota
	Draining
	Deleted
)

// UnmarshalText reads a health by its word.
func (h *Health) UnmarshalText(text []byte) error {
	switch string(text) {
	case "SERVING":
		*h = Serving
	case "DRAINING":
		*h = Draining
	case "DELETED":
		*h = Deleted
	default:
		return fmt.Errorf("health: unknown word %q", text)
	}
	return nil
}

// Target is an egress target as discovery names it.
type Target struct {
	ID          string         `json:"host"`
	Addr        netip.AddrPort `json:"dial"`
	Site        string         `json:"site"`
	Kind        string         `json:"class"`
	Block       int            `json:"block"`
	Health      Health         `json:"health"`
	Share       float64        `json:"share"`
	StartUnixMS int64          `json:"born_ms"` // its last start in Unix time, ms; 0 or less: long ago
	StartedAt   time.Time      `json:"-"`       // the same by the loop's clock, see Births; zero: long ago
	entryNumber int            // counts the entries; one that changes keeps its number
}

// SameEntry tells whether two are the same entry of the table, at different times: it has not left the table in between.
func (t *Target) SameEntry(other *Target) bool {
	return t.ID == other.ID && t.entryNumber == other.entryNumber
}

// List is one answer of discovery.
type List struct {
	Seq   int64     `json:"seq"`
	Whole bool      `json:"whole"`
	Hosts []*Target `json:"hosts"`
}

// Decode reads a list and checks that its entries can be used.
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

// Check tells what is wrong with a list's entries, by the field's name.
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

// Table is the route table. It owns its entries; they are not changed once they are in.
type Table struct {
	Seq        int64
	byID       map[string]*Target
	entryCount int // that there have been
}

// Find returns an egress target by its id, nil if the table does not name it.
func (t *Table) Find(id string) *Target { return t.byID[id] }

// Empty tells whether the table names no target.
func (t *Table) Empty() bool { return len(t.byID) == 0 }

// IDs returns the ids of all targets, in order.
func (t *Table) IDs() []string { return slices.Sorted(maps.Keys(t.byID)) }

// All returns all targets, by id.
func (t *Table) All() []*Target {
	var all []*Target
	for _, id := range t.IDs() {
		all = append(all, t.byID[id])
	}
	return all
}

// Merge takes a list into the table and returns the ids of those that take no new work since.
func (t *Table) Merge(l *List) (stopped []string) {
	if t.byID == nil {
		t.byID = make(map[string]*Target)
	}
	t.Seq = l.Seq
	if l.Whole {
		named := make(map[string]bool, len(l.Hosts))
		for _, h := range l.Hosts {
			named[h.ID] = true
		}
		for _, id := range slices.Sorted(maps.Keys(t.byID)) {
			if !named[id] {
				delete(t.byID, id)
				stopped = append(stopped, id)
			}
		}
	}
	for _, h := range l.Hosts {
		if h.Health != Serving {
			stopped = append(stopped, h.ID)
		}
		if h.Health == Deleted {
			delete(t.byID, h.ID)
		} else {
			if old := t.byID[h.ID]; old != nil {
				h.entryNumber = old.entryNumber
			} else {
				t.entryCount++
				h.entryNumber = t.entryCount
			}
			t.byID[h.ID] = h
		}
	}
	return stopped
}
