// Package proxy runs the decision module on real connections. The Engine collects events, passes
// them to the module in batches and executes the actions that the module returns. LineFrontend
// speaks the line protocol with clients and egress targets.
package proxy

import (
	"cmp"
	"errors"
	"fmt"
	"log"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/settings"
	"ospreyspan/internal/stats"
)

const (
	// answerMarginDivisor limits the answer margin to this fraction of the client's wait, where
	// that is shorter than Tuning.AnswerMargin.
	answerMarginDivisor = 8
	// readyTimeout is how long after its start a process without any list waits for discovery
	// before it accepts clients anyway. A restarted process must be ready within 6 s in the
	// shortest runs, and readiness is polled about once a second. Discovery may be down for longer,
	// or have more callers than it can answer; other processes are then no better off.
	readyTimeout = 4 * time.Second
)

// Engine drives the decision module. All of its methods run on the event loop.
type Engine struct {
	loop                *poll.Loop
	settings            *settings.Settings
	module              *balance.Balancer
	table               routes.Table
	bootTimes           *routes.StartTimes
	watch               *routes.Watch
	prober              Prober
	counters            *stats.Counters
	log                 *log.Logger
	exchanges           map[balance.RequestID]*Exchange
	clientIDs           map[string]struct{} // client-chosen ids of the open exchanges
	lastID              balance.RequestID
	events              []event
	delivering          []event // batch being delivered; swaps buffers with events
	actions             []action
	toRelease           []*Exchange // answered; released by Deliver unless a hop is active
	discoveryFailed     bool        // the last call failed and that has been logged
	discoveryLoggedAt   time.Time   // last log line about a failed call; zero: none yet
	tuning              Tuning
	discoveryAddr       netip.AddrPort
	newestPeerSeq       int64 // latest list version from another process; own ones may be older
	onDiscoveryAnswer   func()
	probeViaPeer        func(target string) bool        // has another process probe; false: cannot
	paceMove            func(id balance.RequestID) bool // delays a move to its time; false: now
	onProbed            func(target string, ok bool, rep balance.Report)
	limits              Limits // nil: unlimited
	onHopStart          func(class int, first bool)
	onOutcome           func(target string, o balance.Outcome, source OutcomeSource)
	startedAt           time.Time
	discoveryAnsweredAt time.Time // last answer from discovery; zero: none yet
	listWait            listWait
	proofs              acceptanceProofs
	past                pastRequests
	peerConfirmedAt     func() time.Time // see SetPeerConfirmation; nil: none confirms
	unlisted            []*Exchange      // adopted, their targets are not listed; oldest first
}

// EngineConfig holds the parameters of an Engine.
type EngineConfig struct {
	Loop      *poll.Loop
	Settings  *settings.Settings
	Known     *routes.List
	Discovery netip.AddrPort
	Seed      uint64
	Count     *stats.Counters
	Log       *log.Logger
	Tuning    *Tuning // nil: DefaultTuning
}

// NewEngine returns an Engine whose module has started. Deliver executes the module's first
// actions.
func NewEngine(c EngineConfig) (*Engine, error) {
	e := &Engine{
		loop: c.Loop, settings: c.Settings, counters: c.Count, log: c.Log,
		exchanges: make(map[balance.RequestID]*Exchange), clientIDs: make(map[string]struct{}), discoveryAddr: c.Discovery,
	}
	e.proofs.validity = proofValidity(c.Settings.DrainGrace, !c.Settings.Config.Subscribe)
	e.tuning = DefaultTuning()
	if c.Tuning != nil {
		e.tuning = *c.Tuning
	}
	if err := e.tuning.Check(); err != nil {
		return nil, fmt.Errorf("tuning: %w", err)
	}
	module, err := balance.New(c.Settings.Config, c.Seed, (*host)(e))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	e.module = module
	from, pushed := c.Known.Seq, !c.Settings.Config.Subscribe
	if len(c.Known.Hosts) == 0 {
		from = routes.NoVersion // no client can be served before the first list
	}
	e.watch = routes.NewWatch(routes.WatchConfig{
		Loop: c.Loop, Addr: c.Discovery, Seq: from, Processes: c.Settings.Config.Relays, AskWithin: c.Settings.Config.Rules.MaxDiscoveryGap,
		Pushed: pushed, Rand: rand.New(rand.NewPCG(c.Seed, 1)), Requests: &c.Count.Watches, OnResult: e.handleDiscoveryAnswer,
	})
	e.startedAt = e.loop.Now()
	e.past = newPastRequests(e.startedAt)
	module.Start(e.startedAt)
	// reads both clocks at the same moment
	e.bootTimes = routes.NewStartTimes(e.loop.RefreshNow(), e.loop.WallTime())
	e.bootTimes.SetStarts(c.Known, e.startedAt, time.Time{})
	e.table.Merge(c.Known)
	e.push(event{kind: evList, list: balance.ListStale, entries: backends(c.Known.Hosts)})
	// Changes of pushed lists count as known from the start, so that they need a watch as well.
	if pushed && c.Discovery.IsValid() {
		e.watch.Start() // the module starts a watch only where lists are not pushed
	}
	return e, nil
}

// CanServe reports whether clients should be sent to this process. A process that has just started
// and has no targets would refuse clients that another process could serve. Once discovery has
// answered, CanServe stays true even for an empty list. It is true in any case from readyTimeout
// on: requests are then held until a list arrives.
func (e *Engine) CanServe() bool {
	return !e.table.Empty() || !e.discoveryAnsweredAt.IsZero() || e.loop.Now().Sub(e.startedAt) >= readyTimeout
}

// Pending reports whether events, actions or ended exchanges are waiting for Deliver. The loop must
// not sleep while they are.
func (e *Engine) Pending() bool {
	return len(e.events) > 0 || len(e.actions) > 0 || len(e.toRelease) > 0
}

// Reasons to reject a request before it reaches the module. An egress target answers such a request
// with an error, and a healthy target would be ejected for a client's fault.
var (
	// ErrClass means that the settings do not contain the class of the request.
	ErrClass = errors.New("proxy: unknown class")
	// ErrInUse means that another open exchange has the same client id.
	ErrInUse = errors.New("proxy: id already used by an open exchange")
	// ErrTenant means that the settings list tenants, but not the one that the request names.
	ErrTenant = errors.New("proxy: unknown tenant")
	// ErrRepeated means that an earlier request with the same client id may have run, and that the
	// class does not allow it to run again.
	ErrRepeated = errors.New("proxy: a request with this id may have run already")
	// ErrNoRecord means that the request could not be remembered, so that it might run twice.
	ErrNoRecord = errors.New("proxy: too many requests are remembered")
)

// Accept creates the exchange for a client's request.
func (e *Engine) Accept(c Client, o ClientRequest) (*Exchange, error) {
	if class, ok := e.settings.Classes[o.Class]; ok && e.settings.MaxWaitByClass[class] > 0 {
		// the class limits the wait that a client may ask for
		o.Wait = min(o.Wait, e.settings.MaxWaitByClass[class])
	}
	x, err := e.addExchange(c, o)
	if err != nil {
		return nil, err
	}
	if e.limits != nil {
		var ok bool
		x.limitBits, ok = e.limits.Acquire(x.request.Class, x.request.Tenant, true)
		if x.request.OverLimit = !ok; !ok {
			e.counters.Beyond++
		}
	}
	e.push(event{kind: evRequest, exchange: x, request: x.request})
	return x, nil
}

// addExchange validates a request and registers its exchange.
func (e *Engine) addExchange(c Client, o ClientRequest) (*Exchange, error) {
	class, ok := e.settings.Classes[o.Class]
	if !ok {
		return nil, ErrClass
	}
	tenant, err := e.tenantIndex(o.Tenant)
	if err != nil {
		return nil, err
	}
	if _, open := e.clientIDs[o.ID]; open {
		return nil, ErrInUse
	}
	x := &Exchange{id: e.lastID + 1, clientID: o.ID, engine: e, client: c, deadline: e.loop.Now().Add(o.Wait)}
	x.request = balance.Request{
		ID: x.id, Class: class, Tenant: tenant, Key: o.Key, Reconnect: o.Again,
		Timeout: o.Wait - e.answerMargin(o.Wait),
	}
	if e.settings.Config.GroupAffinity {
		x.request.Group = o.AffinityGroup
	}
	if err := e.recallPastRun(x); err != nil {
		return nil, err
	}
	if o.ID != "" {
		e.clientIDs[o.ID] = struct{}{}
	}
	e.lastID++
	e.counters.Exchanges++
	e.exchanges[x.id] = x
	x.timer.Fire = func() { e.answerOverdue(x) }
	e.loop.Arm(&x.timer, x.deadline.Add(-e.answerMargin(o.Wait)/2))
	return x, nil
}

// tenantIndex returns the index of a tenant, or -1 if the request names none or the settings list
// none. An unknown name is the client's fault: a target would answer it with an error and be blamed
// for it.
func (e *Engine) tenantIndex(name string) (int, error) {
	if name == "" || len(e.settings.Tenants) == 0 {
		return -1, nil
	}
	i, ok := e.settings.Tenants[name]
	if !ok {
		return -1, ErrTenant
	}
	return i, nil
}

// answerMargin returns the part of a client's wait that is reserved for delivering the answer. The
// module may use the time before it; the engine answers in the module's place when half of the
// margin is over.
func (e *Engine) answerMargin(wait time.Duration) time.Duration {
	return min(e.tuning.AnswerMargin, wait/answerMarginDivisor)
}

// release removes an exchange that has ended. It is the only place where the table entry, the timer
// and the limits of an exchange are given back.
func (e *Engine) release(x *Exchange) {
	e.loop.Disarm(&x.timer)
	e.releaseLimits(x)
	e.recordPastRun(x)
	delete(e.exchanges, x.id)
	delete(e.clientIDs, x.clientID)
}

// releaseLimits gives back the places under limits that an exchange holds.
func (e *Engine) releaseLimits(x *Exchange) {
	if e.limits != nil && x.limitBits != 0 {
		e.limits.Release(x.limitBits)
		x.limitBits = 0
	}
}

// answerOverdue answers a client whose wait is nearly over. The module's own deadline is earlier,
// so this is the last resort that guarantees one final answer.
func (e *Engine) answerOverdue(x *Exchange) {
	if x.answered {
		return
	}
	e.counters.Overdue++
	e.log.Printf("exchange %d: the module did not answer before the deadline", x.id)
	e.forceAnswer(x, e.settings.Config.MaxRetryAfter)
}

// RetryAfter returns the retry delay that a refused client is given: delay, but no longer than the
// settings allow, and zero where the settings pass none on.
func (e *Engine) RetryAfter(delay time.Duration) time.Duration {
	return min(delay, e.settings.Config.MaxRetryAfter)
}

// sortedExchanges returns all exchanges, oldest first, so that operations on many of them do not
// depend on map order.
func (e *Engine) sortedExchanges() []*Exchange {
	return slices.SortedFunc(maps.Values(e.exchanges), func(a, b *Exchange) int { return cmp.Compare(a.id, b.id) })
}

// Shutdown gives each unanswered exchange its final answer.
func (e *Engine) Shutdown(after time.Duration) {
	for _, x := range e.sortedExchanges() {
		e.forceAnswer(x, after)
	}
}

// startHop starts a hop of an exchange at a target and counts it.
func (e *Engine) startHop(x *Exchange, to *routes.Target, wait time.Duration) {
	x.target, x.hopActive, x.sentAt = to, true, time.Time{}
	x.hopCount++
	e.counters.Hops++
	if e.onHopStart != nil && x.adoption == nil {
		e.onHopStart(x.request.Class, x.hopCount == 1 && !x.request.Reconnect)
	}
	known := e.discoveryAnsweredAt
	if e.peerConfirmedAt != nil {
		if at := e.peerConfirmedAt(); at.After(known) {
			known = at
		}
	}
	e.counters.CountListAge(e.loop.Now().Sub(known))
	if !to.StartedAt.IsZero() && e.loop.Now().Sub(to.StartedAt) < e.settings.Config.Rules.WarmUpTime {
		e.countColdHop(x)
	}
	x.client.Hop(to, wait)
}

// countColdHop counts a hop to a target that is still warming up.
func (e *Engine) countColdHop(x *Exchange) {
	e.counters.HopsCold++
	switch {
	case x.hopCount > 1:
		e.counters.HopsColdFurther++
	case x.request.Reconnect:
		e.counters.HopsColdReconnect++
	}
}

// Probed takes the outcome of a probe.
func (e *Engine) Probed(id string, o balance.Outcome, rep balance.Report) {
	if o != balance.OK {
		e.counters.ProbesFailed++
		if o == balance.Error {
			e.counters.ProbesRefused++
		}
	}
	e.push(event{kind: evProbed, target: id, outcome: o, report: rep})
	e.reportOutcome(id, o, OutcomeFromProbe)
	if e.onProbed != nil {
		e.onProbed(id, o == balance.OK, rep)
	}
}

// countOutcome counts the end of a hop.
func (e *Engine) countOutcome(o balance.Outcome) {
	switch o {
	case balance.OK:
		e.counters.HopOK++
	case balance.Error:
		e.counters.HopError++
	case balance.Rejected:
		e.counters.HopFull++
	case balance.TimedOut:
		e.counters.HopTimeout++
	case balance.NoConnect, balance.NotSent:
		e.counters.HopNoConnect++
	case balance.Broken:
		e.counters.HopBroken++
	case balance.Cancelled:
		e.counters.HopCancelled++
	}
}
