package proxy

import (
	"net/netip"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/routes"
)

// What follows is for a proxy that shares the asking of discovery with others; see internal/instance.

// Watch is the watch on discovery, for its guide.
func (e *Engine) Watch() *routes.Watch { return e.watch }

// Discovery is the address that is asked, and the version of the latest list.
func (e *Engine) Discovery() (at netip.AddrPort, seq int64) { return e.discoveryAddr, e.table.Seq }

// Table is the route table, to be read only.
func (e *Engine) Table() *routes.Table { return &e.table }

// SetPeerConfirmation has f asked as of when another process vouched for the list, for the counters.
func (e *Engine) SetPeerConfirmation(f func() time.Time) { e.peerConfirmedAt = f }

// OnDiscoveryAnswer has f called after each answer of discovery that was taken.
func (e *Engine) OnDiscoveryAnswer(f func()) { e.onDiscoveryAnswer = f }

// ApplyPeerList takes a whole list that another process passed on. One that is older than what is known changes nothing.
func (e *Engine) ApplyPeerList(l *routes.List) {
	if l.Seq < e.table.Seq {
		return
	}
	e.newestPeerSeq = max(e.newestPeerSeq, l.Seq)
	e.counters.ListsHeard++
	e.bootTimes.Mark(l, e.loop.Now(), time.Time{})
	e.applyList(l)
}

// ShareProbes has ask called before each probe: if it returns true, it will tell Reported or ProbeAlone of the target. told is
// called at the end of each own probe.
func (e *Engine) ShareProbes(ask func(target string) bool, told func(target string, ok bool, rep balance.Report)) {
	e.probeViaPeer, e.onProbed = ask, told
}

// PeerReported takes a report that another process's probe brought.
func (e *Engine) PeerReported(target string, rep balance.Report) {
	e.counters.ProbesShared++
	e.push(event{kind: evProbed, target: target, outcome: balance.OK, report: rep})
}

// ProbeDirectly probes a target from here.
func (e *Engine) ProbeDirectly(target string) {
	to := e.table.Find(target)
	if to == nil {
		e.push(event{kind: evProbed, target: target, outcome: balance.NoConnect, report: noReport})
		return
	}
	e.counters.Probes++
	e.prober.Probe(to)
}

// PaceMoves has pace called before each move off a target that drains: if it returns true, it will call MoveNow.
func (e *Engine) PaceMoves(pace func(id balance.RequestID) bool) { e.paceMove = pace }

// MoveNow carries out a move that was paced. The connection may have ended meanwhile.
func (e *Engine) MoveNow(id balance.RequestID) {
	if x := e.exchanges[id]; x != nil && x.hopActive && x.established {
		e.counters.MovesPaced++
		e.move(x)
	}
}

// Drains tells whether a target takes no new work.
func (e *Engine) Drains(id string) bool { return e.draining(id) }

// draining tells whether a target takes no new work.
func (e *Engine) draining(id string) bool {
	to := e.table.Find(id)
	return to == nil || to.Health == routes.Draining
}

// OutcomeSource is what an outcome came of.
type OutcomeSource uint8

// The occasions.
const (
	FromHop      OutcomeSource = iota // one that had not stood, or its standing up
	FromStanding                      // a connection that stood and ended
	FromProbe
)

// OnOutcome has f told of what this process sees of targets that take new work.
func (e *Engine) OnOutcome(f func(target string, o balance.Outcome, of OutcomeSource)) {
	e.onOutcome = f
}

func (e *Engine) reportOutcome(target string, o balance.Outcome, of OutcomeSource) {
	if e.onOutcome != nil && !e.draining(target) {
		e.onOutcome(target, o, of)
	}
}

// AvoidUntil passes on to the module what others know of a target: it is to be passed over until then.
func (e *Engine) AvoidUntil(target string, until time.Time) {
	e.push(event{kind: evAvoid, target: target, until: until})
}

// Limits are what all processes together may take.
type Limits interface {
	// Take counts an exchange of a class and tenant, by index, and returns under which limits, a bit for each. Where one of them
	// leaves no room, and the exchange can be refused, it counts under none and ok is false.
	Take(class, tenant int, refuse bool) (under uint64, ok bool)
	// Release takes back what Take returned.
	Release(under uint64)
}

// SetLimits has exchanges counted and limited; the module refuses those for which there is no room.
func (e *Engine) SetLimits(l Limits) { e.limits = l }

// CountUnderLimit is how many exchanges count under a limit.
func (e *Engine) CountUnderLimit(bit uint64) int {
	n := 0
	for _, x := range e.exchanges { // only counted
		if x.limitBits&bit != 0 {
			n++
		}
	}
	return n
}

// MoveUnderLimit moves n standing connections that count under a limit, the latest first, and returns how many there were to move.
func (e *Engine) MoveUnderLimit(bit uint64, n int) int {
	moved := 0
	all := e.sortedExchanges()
	for i := len(all) - 1; i >= 0 && moved < n; i-- {
		if x := all[i]; x.limitBits&bit != 0 && x.hopActive && x.established {
			e.move(x)
			moved++
		}
	}
	return moved
}

// OnHop has f told of each hop of a class: the first one of a client that comes for the first time, or a further one.
func (e *Engine) OnHop(f func(class int, first bool)) { e.onHop = f }

// SetRetryBudgetSpent tells the module whether all processes together have made as many further hops as they may.
func (e *Engine) SetRetryBudgetSpent(on bool) { e.push(event{kind: evRetryBudget, budgetSpent: on}) }
