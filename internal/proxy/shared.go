package proxy

import (
	"net/netip"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/routes"
)

// This file is for a proxy that shares discovery calls, probes, limits and observations with other
// proxies; see internal/instance.

// Watch returns the watch on discovery, so that its guide can be set.
func (e *Engine) Watch() *routes.Watch { return e.watch }

// Discovery returns the address of discovery and the version of the latest list.
func (e *Engine) Discovery() (addr netip.AddrPort, seq int64) { return e.discoveryAddr, e.table.Seq }

// Table returns the route table, which the caller must not change.
func (e *Engine) Table() *routes.Table { return &e.table }

// SetPeerConfirmation sets the function that returns as of when another process has confirmed the
// list. It extends the lease of the list and enters the counters of list ages.
func (e *Engine) SetPeerConfirmation(f func() time.Time) { e.peerConfirmedAt = f }

// OnDiscoveryAnswer sets a function to call after each answer from discovery that was applied.
func (e *Engine) OnDiscoveryAnswer(f func()) { e.onDiscoveryAnswer = f }

// ApplyPeerList applies a whole list that another process passed on. A list that is older than the
// table changes nothing.
func (e *Engine) ApplyPeerList(l *routes.List) {
	if l.Seq < e.table.Seq {
		return
	}
	e.newestPeerSeq = max(e.newestPeerSeq, l.Seq)
	e.counters.ListsHeard++
	e.bootTimes.SetStarts(l, e.loop.Now(), time.Time{})
	e.applyList(l)
}

// ShareProbes sets ask to be called before each probe: if it returns true, the caller must later
// call PeerReported or ProbeDirectly for the target. ShareProbes sets done to be called at the end
// of each probe of this process.
func (e *Engine) ShareProbes(ask func(target string) bool, done func(target string, ok bool, rep balance.Report)) {
	e.probeViaPeer, e.onProbed = ask, done
}

// PeerReported takes a report from a probe of another process.
func (e *Engine) PeerReported(target string, rep balance.Report) {
	e.counters.ProbesShared++
	e.push(event{kind: evProbed, target: target, outcome: balance.OK, report: rep})
}

// ProbeDirectly probes a target from this process.
func (e *Engine) ProbeDirectly(target string) {
	to := e.table.Find(target)
	if to == nil {
		e.push(event{kind: evProbed, target: target, outcome: balance.NoConnect, report: noReport})
		return
	}
	e.counters.Probes++
	e.prober.Probe(to)
}

// PaceMoves sets a function to call before each move off a draining target. If it returns true, the
// caller must later call MoveNow.
func (e *Engine) PaceMoves(pace func(id balance.RequestID) bool) { e.paceMove = pace }

// MoveNow executes a move that was delayed by the function set with PaceMoves. The connection may
// have ended meanwhile.
func (e *Engine) MoveNow(id balance.RequestID) {
	if x := e.exchanges[id]; x != nil && x.hopActive && x.established {
		e.counters.MovesPaced++
		e.move(x)
	}
}

// IsDraining reports whether a target takes no new work: it drains, or the route table does not
// contain it.
func (e *Engine) IsDraining(targetID string) bool { return e.draining(targetID) }

// draining implements IsDraining.
func (e *Engine) draining(id string) bool {
	to := e.table.Find(id)
	return to == nil || to.Health == routes.Draining
}

// OutcomeSource says what kind of event an outcome belongs to.
type OutcomeSource uint8

// The kinds of OutcomeSource.
const (
	OutcomeFromHop         OutcomeSource = iota // the set-up of a hop, established or not
	OutcomeFromEstablished                      // the end of an established connection
	OutcomeFromProbe                            // a probe
)

// OnOutcome sets a function to call with each outcome that this process observes at targets that
// take new work.
func (e *Engine) OnOutcome(f func(target string, o balance.Outcome, source OutcomeSource)) {
	e.onOutcome = f
}

// reportOutcome passes an outcome on to the function set with OnOutcome.
func (e *Engine) reportOutcome(target string, o balance.Outcome, source OutcomeSource) {
	if e.onOutcome != nil && !e.draining(target) {
		e.onOutcome(target, o, source)
	}
}

// AvoidUntil tells the module that, by the observations of other processes, a target is not to be
// used until a time.
func (e *Engine) AvoidUntil(target string, until time.Time) {
	e.push(event{kind: evAvoid, target: target, until: until})
}

// Limits are limits on the exchanges of all processes together.
type Limits interface {
	// Acquire counts an exchange of a class and a tenant, both given by index, and returns the
	// limits that it counts under, one bit each. If a limit leaves no room and the exchange can be
	// refused, it counts under none and ok is false.
	Acquire(class, tenant int, refuse bool) (limitBits uint64, ok bool)
	// Release undoes an Acquire that returned these bits.
	Release(limitBits uint64)
}

// SetLimits sets the limits that exchanges count under. The module refuses exchanges for which
// there is no room.
func (e *Engine) SetLimits(l Limits) { e.limits = l }

// CountUnderLimit returns how many exchanges count under a limit, which is given by its bit.
func (e *Engine) CountUnderLimit(limitBit uint64) int {
	n := 0
	for _, x := range e.exchanges { // the order does not matter
		if x.limitBits&limitBit != 0 {
			n++
		}
	}
	return n
}

// MoveUnderLimit moves up to n established connections that count under a limit, which is given by
// its bit, the newest first, and returns how many it moved.
func (e *Engine) MoveUnderLimit(limitBit uint64, n int) int {
	moved := 0
	all := e.sortedExchanges()
	for i := len(all) - 1; i >= 0 && moved < n; i-- {
		if x := all[i]; x.limitBits&limitBit != 0 && x.hopActive && x.established {
			e.move(x)
			moved++
		}
	}
	return moved
}

// OnHopStart sets a function to call at the start of each hop, except that of an adopted
// connection. class is the index of the class; first is true for the first hop of a client's first
// attempt and false for any further hop.
func (e *Engine) OnHopStart(f func(class int, first bool)) { e.onHopStart = f }

// SetRetryBudgetSpent tells the module whether all processes together have used up their budget for
// further hops.
func (e *Engine) SetRetryBudgetSpent(spent bool) {
	e.push(event{kind: evRetryBudget, retryBudgetSpent: spent})
}
