// Package proxy runs the decision module on real connections. The engine gathers what happens, hands it to the
// module in one go and carries out what comes back; the front in this package speaks the platform's line
// protocol with clients and egress targets.
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
	// answerMarginDivisor is the part of a short wait that is taken in place of Tuning.AnswerMargin.
	answerMarginDivisor = 8
	// adoptRetryInterval lies between two tries to take up a connection that was open before the start.
	adoptRetryInterval = 100 * time.Millisecond
	// maxAdoptWait is how long such a connection may take to stand again, by the protocol; adoptUnknown is how long
	// the route table may take to name its target.
	maxAdoptWait         = 40 * time.Second
	maxAdoptWaitUnlisted = 2 * time.Second
	// readyTimeout is how long after its start a process without any list waits for discovery before it takes clients all the same. A
	// restarted process has to be ready within 6 s on the shortest days, and whoever asks it does so every second or so; discovery
	// may be down for longer, or have more callers than it can answer, and then the others are no better off.
	readyTimeout = 4 * time.Second
	// discoveryLogInterval is the least time between two lines of the log that discovery fails.
	discoveryLogInterval = time.Minute
)

// Engine drives the module. All of it runs on the loop.
type Engine struct {
	loop                *poll.Loop
	settings            *settings.Settings
	module              *balance.Balancer
	table               routes.Table
	bootTimes           *routes.Births
	watch               *routes.Watch
	prober              Prober
	counters            *stats.Counters
	log                 *log.Logger
	exchanges           map[balance.RequestID]*Exchange
	clientIDs           map[string]struct{} // the clients' own ids of these
	lastID              balance.RequestID
	events              []event
	delivering          []event // the other half of events' double buffer
	actions             []action
	toRelease           []*Exchange // whose clients left: they go once the module knows
	discoveryFailed     bool        // discovery's last answer failed, and the log says so
	discoveryLoggedAt   time.Time   // the log said so last
	tuning              Tuning
	discoveryAddr       netip.AddrPort
	newestPeerSeq       int64 // version of the latest list that another process passed on; own answers may be older
	onDiscoveryAnswer   func()
	probeViaPeer        func(target string) bool        // has another process report on a target; false: it can't
	paceMove            func(id balance.RequestID) bool // has a move wait for its time; false: it is to be made now
	onProbed            func(target string, ok bool, rep balance.Report)
	limits              Limits // nil: none
	onHop               func(class int, first bool)
	onOutcome           func(target string, o balance.Outcome, of OutcomeSource)
	startedAt           time.Time
	discoveryAnsweredAt time.Time // of discovery's last answer
	listWait            listWait
	proofs              proofs
	peerConfirmedAt     func() time.Time // as of when another process vouched for the list; nil: none does
}

// EngineConfig is what an Engine needs.
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

// NewEngine returns an Engine whose module has started; its first actions are carried out by Deliver.
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
		from = routes.FromNothing // nobody can be served until a list is there
	}
	e.watch = routes.NewWatch(routes.WatchConfig{
		Loop: c.Loop, Addr: c.Discovery, Seq: from, Processes: c.Settings.Config.Balancers, AskWithin: c.Settings.Config.Rules.AskWithin,
		Pushed: pushed, Rand: rand.New(rand.NewPCG(c.Seed, 1)), Calls: &c.Count.Watches, News: e.handleDiscoveryAnswer,
	})
	e.startedAt = e.loop.Now()
	module.Start(e.startedAt)
	e.bootTimes = routes.NewBirths(e.loop.Refresh(), e.loop.Wall()) // the two clocks in one moment
	e.bootTimes.Mark(c.Known, e.startedAt, time.Time{})
	e.table.Merge(c.Known)
	e.push(event{kind: evList, list: balance.ListStale, entries: backends(c.Known.Hosts)})
	if pushed && c.Discovery.IsValid() {
		e.watch.Start() // the module asks for a watch only where nothing comes without one; here all counts as told from the start
	}
	return e, nil
}

// SetDiscovery moves the watch to another address of discovery. The route table stays until that one answers.
func (e *Engine) SetDiscovery(at netip.AddrPort) {
	e.counters.Reloads++
	if at != e.discoveryAddr {
		e.discoveryAddr, e.newestPeerSeq = at, 0 // another one's versions need not continue these
	}
	e.watch.Point(at)
}

// CanServe tells whether there has been a list: a process that has just started and knows of no target would refuse whoever is
// sent to it, while another one could serve. It stays true for an empty list, which is discovery's own word, and is true in any
// case from readyWithin on: requests are held then until a list is there.
func (e *Engine) CanServe() bool {
	return !e.table.Empty() || !e.discoveryAnsweredAt.IsZero() || e.loop.Now().Sub(e.startedAt) >= readyTimeout
}

// Pending tells whether events wait for Deliver: the loop must not sleep then.
func (e *Engine) Pending() bool { return len(e.events) > 0 || len(e.actions) > 0 }

// Why a request is not taken. It never gets as far as the module then: an egress target that is sent such a
// thing answers with an error, and a sound one would be ejected for what a client did.
var (
	ErrClass = errors.New("proxy: unknown class")
	ErrInUse = errors.New("proxy: the id of an exchange that is open")
	// ErrTenant: the settings name tenants, and the offer names another one.
	ErrTenant = errors.New("proxy: unknown tenant")
)

// Accept takes a client's request.
func (e *Engine) Accept(c Client, o ClientRequest) (*Exchange, error) {
	if class, ok := e.settings.Classes[o.Class]; ok && e.settings.Waits[class] > 0 {
		o.Wait = min(o.Wait, e.settings.Waits[class]) // no client of the class waits longer, whatever it says
	}
	x, err := e.addExchange(c, o)
	if err != nil {
		return nil, err
	}
	if e.limits != nil {
		var ok bool
		x.limitBits, ok = e.limits.Take(x.request.Class, x.request.Tenant, true)
		if x.request.Beyond = !ok; !ok {
			e.counters.Beyond++
		}
	}
	e.push(event{kind: evRequest, exchange: x, request: x.request})
	return x, nil
}

// Adopt takes a connection that an egress target holds since before the start. The module hears of it once it
// stands; no other target can take it.
func (e *Engine) Adopt(c Client, o ClientRequest, id string) (*Exchange, error) {
	if o.Wait = min(o.Wait, maxAdoptWait); e.table.Find(id) == nil {
		o.Wait = min(o.Wait, maxAdoptWaitUnlisted)
	}
	x, err := e.addExchange(c, o)
	if err != nil {
		return nil, err
	}
	// The hop starts with the others: one that fails at once must find the caller holding its exchange.
	x.adoptTarget = id
	if e.limits != nil { // it stands already: it is counted, and not refused
		x.limitBits, _ = e.limits.Take(x.request.Class, x.request.Tenant, false)
	}
	e.actions = append(e.actions, action{kind: acAdopt, id: x.id})
	return x, nil
}

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
	if o.ID != "" {
		e.clientIDs[o.ID] = struct{}{}
	}
	e.lastID++
	e.counters.Exchanges++
	x := &Exchange{id: e.lastID, clientID: o.ID, engine: e, client: c, deadline: e.loop.Now().Add(o.Wait)}
	x.request = balance.Request{
		ID: x.id, Class: class, Tenant: tenant, Key: o.Key, Again: o.Again,
		Left: o.Wait - e.answerMargin(o.Wait),
	}
	if e.settings.Config.Groups {
		x.request.Group = o.Group
	}
	e.exchanges[x.id] = x
	x.timer.Fire = func() { e.answerOverdue(x) }
	e.loop.Arm(&x.timer, x.deadline.Add(-e.answerMargin(o.Wait)/2))
	return x, nil
}

// tenantIndex finds whose an exchange is, -1 where it names nobody or where the settings name no tenants. A name that the settings
// lack is a fault of the client: a target would answer it with an error, for which the target is not to blame.
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

// answerMargin is the part of a client's wait that is kept for the answer's way. The module may use what is before
// it; the engine answers in the module's place when half of it is over.
func (e *Engine) answerMargin(wait time.Duration) time.Duration {
	return min(e.tuning.AnswerMargin, wait/answerMarginDivisor)
}

// release forgets an exchange with which nothing more happens: the one place where its entry and its timer are
// given back.
func (e *Engine) release(x *Exchange) {
	e.loop.Disarm(&x.timer)
	if e.limits != nil && x.limitBits != 0 {
		e.limits.Release(x.limitBits)
		x.limitBits = 0
	}
	delete(e.exchanges, x.id)
	delete(e.clientIDs, x.clientID)
}

// answerOverdue answers a client whose time is nearly up. The module's own time ends earlier, so that this is the
// last resort that keeps one final answer a certainty.
func (e *Engine) answerOverdue(x *Exchange) {
	if x.answered {
		return
	}
	e.counters.Overdue++
	e.log.Printf("exchange %d: no answer from the module in time", x.id)
	e.forceAnswer(x, e.settings.Config.MaxAdvice)
}

// RetryAfter is what a refused client may be told of when to come again: not longer than the settings have it heeded, and nothing where
// they do not pass it on.
func (e *Engine) RetryAfter(most time.Duration) time.Duration {
	return min(most, e.settings.Config.MaxAdvice)
}

// sortedExchanges returns all exchanges, the first one first: what is done to many must not depend on the order of a map.
func (e *Engine) sortedExchanges() []*Exchange {
	return slices.SortedFunc(maps.Values(e.exchanges), func(a, b *Exchange) int { return cmp.Compare(a.id, b.id) })
}

// Shutdown gives every exchange that has no answer yet its final one.
func (e *Engine) Shutdown(after time.Duration) {
	for _, x := range e.sortedExchanges() {
		e.forceAnswer(x, after)
	}
}

func (e *Engine) tryAdopt(x *Exchange) {
	to := e.table.Find(x.adoptTarget)
	if to == nil {
		e.retryAdopt(x, balance.NoConnect)
		return
	}
	e.startHop(x, to, x.deadline.Sub(e.loop.Now()))
}

// retryAdopt tries once more after a hop that never ran: the route table may be old, the target busy with all
// the others that are opened at the start.
func (e *Engine) retryAdopt(x *Exchange, o balance.Outcome) {
	if x.answered {
		e.release(x)
		return
	}
	if left := x.deadline.Sub(e.loop.Now()); !o.NeverRan() || left < 2*adoptRetryInterval {
		e.answer(x, false, 0)
		e.release(x)
		return
	}
	t := &poll.Timer{}
	t.Fire = func() {
		if !x.answered {
			e.tryAdopt(x)
		}
	}
	e.loop.After(t, adoptRetryInterval)
}

func (e *Engine) startHop(x *Exchange, to *routes.Target, wait time.Duration) {
	x.target, x.hopActive, x.sentAt = to, true, time.Time{}
	x.hopCount++
	e.counters.Hops++
	if e.onHop != nil && x.adoptTarget == "" {
		e.onHop(x.request.Class, x.hopCount == 1 && !x.request.Again)
	}
	known := e.discoveryAnsweredAt
	if e.peerConfirmedAt != nil {
		if at := e.peerConfirmedAt(); at.After(known) {
			known = at
		}
	}
	e.counters.Aged(e.loop.Now().Sub(known))
	if !to.Boot.IsZero() && e.loop.Now().Sub(to.Boot) < e.settings.Config.Rules.WarmWithin {
		e.counters.HopsCold++
	}
	x.client.Hop(to, wait)
}

// Probed tells what came of a probe.
func (e *Engine) Probed(id string, o balance.Outcome, rep balance.Report) {
	if o != balance.OK {
		e.counters.ProbesFailed++
		if o == balance.Error {
			e.counters.ProbesRefused++
		}
	}
	e.push(event{kind: evProbed, target: id, outcome: o, report: rep})
	e.reportOutcome(id, o, FromProbe)
	if e.onProbed != nil {
		e.onProbed(id, o == balance.OK, rep)
	}
}

// handleDiscoveryAnswer takes an answer of discovery, or why there was none.
func (e *Engine) handleDiscoveryAnswer(l *routes.List, err error) {
	if err != nil {
		e.recordFailedCall()
		e.counters.WatchesFailed++
		if errors.Is(err, routes.ErrBusy) {
			e.counters.WatchesBusy++
		}
		// Where many share discovery, every other call may fail: the counters have them all.
		if now := e.loop.Now(); !e.discoveryFailed && (e.discoveryLoggedAt.IsZero() || now.Sub(e.discoveryLoggedAt) >= discoveryLogInterval) {
			e.log.Printf("discovery: %v", err)
			e.discoveryFailed, e.discoveryLoggedAt = true, now
		}
		e.push(event{kind: evList, list: balance.ListBroken})
		return
	}
	if e.discoveryFailed {
		e.log.Printf("discovery: answers again")
	}
	before := e.discoveryAnsweredAt
	e.discoveryFailed, e.discoveryAnsweredAt = false, e.loop.Now()
	e.resumeSends(true)
	if l.Seq < e.newestPeerSeq {
		return // it was on its way while another process passed a later one on
	}
	e.bootTimes.Mark(l, e.discoveryAnsweredAt, before)
	e.applyList(l)
	if e.onDiscoveryAnswer != nil {
		e.onDiscoveryAnswer()
	}
}

// applyList merges a list and tells the module.
func (e *Engine) applyList(l *routes.List) {
	kind := balance.ListPatch
	if l.Whole {
		kind = balance.ListWhole
	}
	stopped := e.table.Merge(l)
	e.push(event{kind: evList, list: kind, entries: backends(l.Hosts)})
	for _, id := range stopped {
		e.cancelUnsentHops(id)
		e.proofs.forget(id)
		if e.table.Find(id) == nil {
			e.prober.Forget(id)
		}
	}
}

// cancelUnsentHops gives up the hops that have not reached a target which takes no new work: one that is still
// connecting could be sent after the time that the rules leave for that.
func (e *Engine) cancelUnsentHops(id string) {
	for _, x := range e.sortedExchanges() {
		if x.hopActive && !x.established && x.adoptTarget == "" && x.target.ID == id && x.client.CancelUnsent() {
			x.Ended(balance.NoConnect, noReport)
		}
	}
}

func (e *Engine) countOutcome(o balance.Outcome) {
	switch o {
	case balance.OK:
		e.counters.HopOK++
	case balance.Error:
		e.counters.HopError++
	case balance.Full:
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
