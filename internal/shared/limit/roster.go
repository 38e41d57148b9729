package limit

import (
	"cmp"
	"slices"
	"time"
)

// LiveProcess is a process that is held to live.
type LiveProcess struct {
	Session uint64
	Name    string
}

// Roster remembers processes that are not heard of any more: one that is held to be dead may only be cut off, and go on to use what it
// has. A new life under its name proves that it is dead.
type Roster struct {
	entries []entry // by session
}

type entry struct {
	LiveProcess
	deadSince time.Time // zero: it lives
}

// Update takes who lives now, and forgets those that have been gone for longer than hold.
func (r *Roster) Update(now time.Time, hold time.Duration, list []LiveProcess) {
	names := make(map[string]bool, len(list))
	for _, l := range list {
		names[l.Name] = true
		i, ok := slices.BinarySearchFunc(r.entries, l.Session, func(e entry, id uint64) int { return cmp.Compare(e.Session, id) })
		if ok {
			r.entries[i].deadSince = time.Time{}
		} else {
			r.entries = slices.Insert(r.entries, i, entry{LiveProcess: l})
		}
	}
	r.entries = slices.DeleteFunc(r.entries, func(e entry) bool {
		return !e.deadSince.IsZero() && (now.Sub(e.deadSince) > hold || names[e.Name])
	})
	for i := range r.entries {
		e := &r.entries[i]
		if e.deadSince.IsZero() && !slices.ContainsFunc(list, func(l LiveProcess) bool { return l.Session == e.Session }) {
			e.deadSince = now
		}
	}
}

// Each calls f for each process that lives or is remembered, with how long it has been gone, by session.
func (r *Roster) Each(now time.Time, f func(l LiveProcess, gone time.Duration)) {
	for _, e := range r.entries {
		gone := time.Duration(0)
		if !e.deadSince.IsZero() {
			gone = max(now.Sub(e.deadSince), 1)
		}
		f(e.LiveProcess, gone)
	}
}

// Members are all but one of them, with what is known of their use; of whom nothing is known is unheard.
func (r *Roster) Members(now time.Time, but uint64, known map[uint64]Member) []Member {
	var list []Member
	r.Each(now, func(l LiveProcess, gone time.Duration) {
		if l.Session == but {
			return
		}
		m, ok := known[l.Session]
		if !ok {
			m = Member{Session: l.Session, Age: UnknownAge}
		}
		m.DeadFor = gone
		list = append(list, m)
	})
	return list
}
