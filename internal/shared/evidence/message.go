package evidence

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Message is a part of what one process tells another of the evidence.
type Message struct {
	// IsQuery asks for what changed after Since, by the answerer's numbers; 0: for all.
	IsQuery bool   `cbor:"1,keyasint,omitempty"`
	Since   uint64 `cbor:"2,keyasint,omitempty"`
	// Seq of an answer is that of its question. A message that is no answer has 0 and vouches for no writer's age.
	Seq  uint64 `cbor:"3,keyasint,omitempty"`
	From uint64 `cbor:"6,keyasint,omitempty"` // an answer tells all changes after From...
	UpTo uint64 `cbor:"4,keyasint,omitempty"` // ...up to this one, by the answerer's numbers
	Rows []Row  `cbor:"5,keyasint,omitempty"`
	// UnknownAge names writers of whose cells the asker knows no age; an answer vouches for them, whether or not it has cells of theirs.
	UnknownAge []uint64 `cbor:"7,keyasint,omitempty"`
}

// Row is cells of one writer.
type Row struct {
	Session     uint64 `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	UptimeMS    int64  `cbor:"4,keyasint,omitempty"` // how long it has run at the most, in an answer; below 0: not known
	Cells       []Cell `cbor:"5,keyasint,omitempty"`
	UptimeAgeMS int64  `cbor:"6,keyasint,omitempty"` // how long ago the writer itself said so, at the most; 0: it says it now
}

// setUptime tells for how long the row's writer has run, if that is known: rounded up, since older does no harm and younger does.
func (s *Store) setUptime(now time.Time, r *Row) bool {
	run, old, ok := s.Uptime(now, r.Session)
	if !ok {
		return false
	}
	r.UptimeMS = run.Milliseconds() + 1
	if r.Session != s.self.Session {
		r.UptimeAgeMS = old.Milliseconds() + 1
	}
	return true
}

// Cell is one cell.
type Cell struct {
	Target string `cbor:"1,keyasint,omitempty"`
	Window uint32 `cbor:"2,keyasint"`
	Counts Counts `cbor:"3,keyasint"`
}

// maxNameBytes and maxTargetBytes are the longest names that are taken, in bytes; maxCellsPerMessage is how many cells one message carries.
const (
	maxNameBytes       = 64
	maxTargetBytes     = 64
	maxCellsPerMessage = 12
	maxParts           = 16
)

// Encode writes a message.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message. Nothing in it sizes an allocation beyond what it brings.
func Decode(text []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("evidence: %w", err)
	}
	for _, r := range m.Rows {
		if r.Session == 0 || len(r.Name) > maxNameBytes || len(r.Zone) > maxNameBytes {
			return nil, fmt.Errorf("evidence: a writer %x with a name of %d and a zone of %d bytes", r.Session, len(r.Name), len(r.Zone))
		}
		for _, c := range r.Cells {
			if len(c.Target) > maxTargetBytes {
				return nil, fmt.Errorf("evidence: a target's name of %d bytes", len(c.Target))
			}
		}
	}
	return &m, nil
}

type change struct {
	seq    uint64
	writer *writer
	target string
	window uint32
	counts Counts
}

// changes lists cells that changed after a number, in that order. Of targets with which nobody had trouble, and of the sums of those
// who had none, nothing is told: that all went well is what everybody takes for granted.
func (s *Store) changes(since uint64) []change {
	var all []change
	for _, w := range s.writers {
		for t, list := range w.cells { // sorted below
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

// Answer returns the parts of an answer to a question, at most mostParts; what they leave out is told by the next answer.
func (s *Store) Answer(now time.Time, q *Message) []*Message {
	since := q.Since
	if since > s.seq {
		since = 0 // it counts by another life of this process
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

// WritersOfUnknownAge names writers with trouble of whose cells no age is known, at most a few.
func (s *Store) WritersOfUnknownAge() []uint64 {
	var ids []uint64
	for _, w := range s.writers {
		if w.start.IsZero() && w.badCells > 0 && len(ids) < maxCellsPerMessage {
			ids = append(ids, w.Session)
		}
	}
	return ids
}

// UrgentUpdate returns what changed after a number and is bad, to be told unasked, in one message; nil: nothing.
func (s *Store) UrgentUpdate(now time.Time, since uint64) *Message {
	all := slices.DeleteFunc(s.changes(since), func(c change) bool {
		return c.target != "" && c.counts.Bad() == 0 || strings.HasPrefix(c.target, LimitPrefix)
	})
	if !slices.ContainsFunc(all, func(c change) bool { return c.target != "" }) {
		return nil
	}
	if len(all) > maxCellsPerMessage { // the latest
		all = all[len(all)-maxCellsPerMessage:]
	}
	m := s.splitIntoParts(now, 0, all, 0)[0]
	for i := range m.Rows {
		m.Rows[i].UptimeMS, m.Rows[i].UptimeAgeMS = -1, 0
	}
	return m
}

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
			m.Rows[i].Cells = append(m.Rows[i].Cells, Cell{c.target, c.window, c.counts})
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

// Merge takes a message's rows, and tells whether any of it was news. asked is when the question was sent that it answers, the
// zero time for what came unasked.
func (s *Store) Merge(asked time.Time, m *Message) bool {
	news := false
	for _, r := range m.Rows {
		by := Writer{r.Session, r.Name, r.Zone}
		if !asked.IsZero() && r.UptimeMS >= 0 {
			s.LearnStart(asked, by, time.Duration(r.UptimeMS)*time.Millisecond, time.Duration(r.UptimeAgeMS)*time.Millisecond)
		}
		for _, c := range r.Cells {
			news = s.MergeCell(by, c.Target, c.Window, c.Counts) || news
		}
	}
	return news
}
