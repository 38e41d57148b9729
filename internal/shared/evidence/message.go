package evidence

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Message is a query for evidence, a part of an answer, or an unsolicited update.
type Message struct {
	// IsQuery marks a query for what changed after Since, by the sequence numbers of the process
	// that answers. A Since of 0 asks for everything.
	IsQuery bool   `cbor:"1,keyasint,omitempty"`
	Since   uint64 `cbor:"2,keyasint,omitempty"`
	// Seq is a number chosen by the sender of a query. An answer carries the Seq of its query. An
	// unsolicited message has 0, and the uptimes in it are ignored.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// From and UpTo bound the changes in an answer, by the sequence numbers of the process that
	// answers: it contains all changes after From, up to and including UpTo.
	From uint64 `cbor:"6,keyasint,omitempty"`
	UpTo uint64 `cbor:"4,keyasint,omitempty"`
	Rows []Row  `cbor:"5,keyasint,omitempty"`
	// UnknownAge lists writers that have cells whose age the sender of the query does not know. An
	// answer reports their uptimes whether or not it has cells of theirs.
	UnknownAge []uint64 `cbor:"7,keyasint,omitempty"`
}

// Row has cells of one writer.
type Row struct {
	Session uint64 `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint,omitempty"`
	// UptimeMS in an answer is an upper bound of the time for which the writer has run; below 0:
	// unknown.
	UptimeMS int64  `cbor:"4,keyasint,omitempty"`
	Cells    []Cell `cbor:"5,keyasint,omitempty"`
	// UptimeAgeMS is an upper bound of the time since the writer itself reported UptimeMS; 0: it
	// reports it now.
	UptimeAgeMS int64 `cbor:"6,keyasint,omitempty"`
}

// setUptime sets the uptime of a row's writer and reports whether it is known. It rounds up: a
// value that is too large is harmless, one that is too small is not.
func (s *Store) setUptime(now time.Time, r *Row) bool {
	uptime, reportAge, ok := s.Uptime(now, r.Session)
	if !ok {
		return false
	}
	r.UptimeMS = uptime.Milliseconds() + 1
	if r.Session != s.self.Session {
		r.UptimeAgeMS = reportAge.Milliseconds() + 1
	}
	return true
}

// Cell has the counts of one window of a target, or of a limit if the name begins with LimitPrefix.
type Cell struct {
	Target string `cbor:"1,keyasint,omitempty"`
	Window uint32 `cbor:"2,keyasint"`
	Counts Counts `cbor:"3,keyasint"`
}

// Bounds of a message. Longer names are refused. What does not fit in maxParts parts of an answer
// is sent with the next answer.
const (
	maxNameBytes       = 64
	maxTargetBytes     = 64
	maxCellsPerMessage = 12
	maxParts           = 16
)

// Encode returns the encoding of a message.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode decodes a message. No number in the message determines the size of an allocation beyond
// the size of the message itself.
func Decode(text []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("evidence: %w", err)
	}
	for _, r := range m.Rows {
		if r.Session == 0 || len(r.Name) > maxNameBytes || len(r.Zone) > maxNameBytes {
			return nil, fmt.Errorf("evidence: writer %x has a name of %d bytes and a zone of %d bytes, want a session above 0 and at most %d bytes", r.Session, len(r.Name), len(r.Zone), maxNameBytes)
		}
		for _, c := range r.Cells {
			if len(c.Target) > maxTargetBytes {
				return nil, fmt.Errorf("evidence: target has a name of %d bytes, want at most %d", len(c.Target), maxTargetBytes)
			}
		}
	}
	return &m, nil
}

type change struct {
	seq          uint64
	writer       *writer
	target       string
	windowNumber uint32
	counts       Counts
}

// changes lists the cells that changed after a sequence number, in the order of their changes. It
// leaves out targets with which no process had a failure and the sums of writers that had none:
// where nothing is reported, success is assumed.
func (s *Store) changes(since uint64) []change {
	var all []change
	for _, w := range s.writers {
		for t, list := range w.cells { // in any order; sorted below
			if t != "" && s.badCells[t] == 0 && !strings.HasPrefix(t, LimitPrefix) || t == "" && w.badCells == 0 {
				continue
			}
			for _, c := range list {
				if c.changedSeq > since {
					all = append(all, change{c.changedSeq, w, t, c.number, c.counts})
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b change) int { return cmp.Compare(a.seq, b.seq) })
	return all
}

// Answer returns the parts of the answer to a query: at most maxParts with cells, and before them
// one with the uptimes asked for. The next answer has what does not fit.
func (s *Store) Answer(now time.Time, q *Message) []*Message {
	since := q.Since
	if since > s.seq {
		since = 0 // the number is from before this process restarted
	}
	out := s.splitIntoParts(now, since, s.changes(since), q.Seq)
	if len(q.UnknownAge) > 0 {
		first := &Message{Seq: q.Seq, From: since, UpTo: since}
		for _, id := range q.UnknownAge[:min(len(q.UnknownAge), maxCellsPerMessage)] {
			if i, ok := s.find(id); ok {
				r := Row{Session: id, Name: s.writers[i].Name, Zone: s.writers[i].Zone}
				if s.setUptime(now, &r) {
					first.Rows = append(first.Rows, r)
				}
			}
		}
		out = append([]*Message{first}, out...)
	}
	return out
}

// WritersOfUnknownAge returns writers that have failures in their cells and whose start is unknown,
// at most maxCellsPerMessage of them.
func (s *Store) WritersOfUnknownAge() []uint64 {
	var ids []uint64
	for _, w := range s.writers {
		if w.start.IsZero() && w.badCells > 0 && len(ids) < maxCellsPerMessage {
			ids = append(ids, w.Session)
		}
	}
	return ids
}

// UrgentUpdate returns the failures that changed after a sequence number as one unsolicited
// message, or nil if there are none. If they do not fit, it returns the latest.
func (s *Store) UrgentUpdate(now time.Time, since uint64) *Message {
	all := slices.DeleteFunc(s.changes(since), func(c change) bool {
		return c.target != "" && c.counts.Bad() == 0 || strings.HasPrefix(c.target, LimitPrefix)
	})
	if !slices.ContainsFunc(all, func(c change) bool { return c.target != "" }) {
		return nil
	}
	if len(all) > maxCellsPerMessage { // keep the latest
		all = all[len(all)-maxCellsPerMessage:]
	}
	m := s.splitIntoParts(now, 0, all, 0)[0]
	for i := range m.Rows {
		m.Rows[i].UptimeMS, m.Rows[i].UptimeAgeMS = -1, 0
	}
	return m
}

// splitIntoParts returns messages with the given changes, at most maxParts. Without changes it
// returns one empty message.
func (s *Store) splitIntoParts(now time.Time, since uint64, all []change, seq uint64) []*Message {
	var out []*Message
	for len(all) > 0 && len(out) < maxParts {
		m := &Message{Seq: seq, From: since}
		for _, c := range all[:min(maxCellsPerMessage, len(all))] {
			i := slices.IndexFunc(m.Rows, func(r Row) bool { return r.Session == c.writer.Session })
			if i < 0 {
				i = len(m.Rows)
				r := Row{Session: c.writer.Session, Name: c.writer.Name, Zone: c.writer.Zone, UptimeMS: -1}
				s.setUptime(now, &r)
				m.Rows = append(m.Rows, r)
			}
			m.Rows[i].Cells = append(m.Rows[i].Cells, Cell{c.target, c.windowNumber, c.counts})
			m.UpTo = c.seq
		}
		since = m.UpTo
		all = all[min(maxCellsPerMessage, len(all)):]
		out = append(out, m)
	}
	if len(out) == 0 {
		out = append(out, &Message{Seq: seq, From: since, UpTo: s.seq})
	}
	return out
}

// Merge merges the rows of a message and reports whether any cell changed. askedAt is the time at
// which the query was sent that the message answers, or zero for an unsolicited message.
func (s *Store) Merge(askedAt time.Time, m *Message) bool {
	changed := false
	for _, r := range m.Rows {
		by := Writer{r.Session, r.Name, r.Zone}
		if !askedAt.IsZero() && r.UptimeMS >= 0 {
			s.LearnStart(askedAt, by, time.Duration(r.UptimeMS)*time.Millisecond, time.Duration(r.UptimeAgeMS)*time.Millisecond)
		}
		for _, c := range r.Cells {
			changed = s.MergeCell(by, c.Target, c.Window, c.Counts) || changed
		}
	}
	return changed
}
