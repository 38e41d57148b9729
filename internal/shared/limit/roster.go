package limit

import (
	"cmp"
	"slices"
	"time"
)

// LiveProcess identifies a process. Those passed to Roster.Update are believed to be alive. Those
// that Roster.Each passes on may have been declared dead since: their deadFor is then above 0.
type LiveProcess struct {
	Session uint64
	Name    string
}

// Roster remembers processes that are no longer heard from. A process that was declared dead may
// have lost only its connections, and still use what it has. A new session under its name proves
// that it is dead.
type Roster struct {
	entries []entry // sorted by session
}

type entry struct {
	LiveProcess
	deadSince time.Time // zero: alive
}

// Update takes the processes that live now, and forgets those that have been dead for longer than
// hold or whose name another session has taken.
func (r *Roster) Update(now time.Time, hold time.Duration, live []LiveProcess) {
	names := make(map[string]bool, len(live))
	for _, l := range live {
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
		if e.deadSince.IsZero() && !slices.ContainsFunc(live, func(l LiveProcess) bool { return l.Session == e.Session }) {
			e.deadSince = now
		}
	}
}

// Each calls f for each process that lives or is remembered, in the order of sessions, with the
// time for which it has been dead.
func (r *Roster) Each(now time.Time, f func(l LiveProcess, deadFor time.Duration)) {
	for _, e := range r.entries {
		deadFor := time.Duration(0)
		if !e.deadSince.IsZero() {
			deadFor = max(now.Sub(e.deadSince), 1)
		}
		f(e.LiveProcess, deadFor)
	}
}

// Members returns all processes except one, with what is known of their use. A process of which
// nothing is known has the age UnknownAge.
func (r *Roster) Members(now time.Time, except uint64, known map[uint64]Member) []Member {
	var list []Member
	r.Each(now, func(l LiveProcess, deadFor time.Duration) {
		if l.Session == except {
			return
		}
		m, ok := known[l.Session]
		if !ok {
			m = Member{Session: l.Session, Age: UnknownAge}
		}
		m.DeadFor = deadFor
		list = append(list, m)
	})
	return list
}
