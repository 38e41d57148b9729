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
	// answerPart is the part of a short wait that is taken in place of Tuning.AnswerMargin.
	answerPart = 8
	// adoptRest lies between two tries to take up a connection that was open before the start.
	adoptRest = 100 * time.Millisecond
	// adoptMost is how long such a connection may take to stand again, by the protocol; adoptUnknown is how long
	// the route table may take to name its target.
	adoptMost    = 40 * time.Second
	adoptUnknown = 2 * time.Second
	// readyWithin is how long after its start a process without any list waits for discovery before it takes clients all the same. A
	// restarted process has to be ready within 6 s on the shortest days, and whoever asks it does so every second or so; discovery
	// may be down for longer, or have more callers than it can answer, and then the others are no better off.
	readyWithin = 4 * time.Second
	// complainDiscovery is the least time between two lines of the log that discovery fails.
	complainDiscovery = time.Minute
)

// Engine drives the module. All of it runs on the loop.
type Engine struct {
	loop      *poll.Loop
	set       *settings.Settings
	module    *balance.Balancer
	table     routes.Table
	births    *routes.StartTimes
	watch     *routes.Watch
	prober    Prober
	count     *stats.Counters
	log       *log.Logger
	exchanges map[balance.RequestID]*Exchange
	ids       map[string]struct{} // the clients' own ids of these
	last      balance.RequestID
	events    []event
	handed    []event // the other half of events' double buffer
	actions   []action
	leaving   []*Exchange // whose clients left: they go once the module knows
	broken    bool        // discovery's last answer failed, and the log says so
	complain  time.Time   // the log said so last
	tuning    Tuning
	discovery netip.AddrPort
	newest    int64 // version of the latest list that another process passed on; own answers may be older
	onNews    func()
	askOther  func(target string) bool        // has another process report on a target; false: it can't
	paceMove  func(id balance.RequestID) bool // has a move wait for its time; false: it is to be made now
	onProbed  func(target string, ok bool, rep balance.Report)
	limits    Limits // nil: none
	onHop     func(class int, first bool)
	onOutcome func(target string, o balance.Outcome, of Occasion)
	startedAt time.Time
	heardAt   time.Time // of discovery's last answer
	listWait  listWait
	proofs    proofs
	vouched   func() time.Time // as of when another process vouched for the list; nil: none does
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
		loop: c.Loop, set: c.Settings, count: c.Count, log: c.Log,
		exchanges: make(map[balance.RequestID]*Exchange), ids: make(map[string]struct{}), discovery: c.Discovery,
	}
	e.proofs.life = proofLife(c.Settings.DrainGrace, !c.Settings.Config.Subscribe)
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
		from = routes.NoVersion // nobody can be served until a list is there
	}
	e.watch = routes.NewWatch(routes.WatchConfig{
		Loop: c.Loop, Addr: c.Discovery, Seq: from, Processes: c.Settings.Config.Balancers, AskWithin: c.Settings.Config.Rules.AskWithin,
		Pushed: pushed, Rand: rand.New(rand.NewPCG(c.Seed, 1)), Requests: &c.Count.Watches, OnResult: e.news,
	})
	e.startedAt = e.loop.Now()
	module.Start(e.startedAt)
	e.births = routes.NewStartTimes(e.loop.Refresh(), e.loop.Wall()) // the two clocks in one moment
	e.births.SetStarts(c.Known, e.startedAt, time.Time{})
	e.table.Merge(c.Known)
	e.push(event{kind: evList, list: balance.ListStale, entries: backends(c.Known.Hosts)})
	if pushed && c.Discovery.IsValid() {
		e.watch.Start() // the module asks for a watch only where nothing comes without one; here all counts as told from the start
	}
	return e, nil
}

// SetDiscovery moves the watch to another address of discovery. The route table stays until that one answers.
func (e *Engine) SetDiscovery(at netip.AddrPort) {
	e.count.Reloads++
	if at != e.discovery {
		e.discovery, e.newest = at, 0 // another one's versions need not continue these
	}
	e.watch.SetAddr(at)
}

// CanServe tells whether there has been a list: a process that has just started and knows of no target would refuse whoever is
// sent to it, while another one could serve. It stays true for an empty list, which is discovery's own word, and is true in any
// case from readyWithin on: requests are held then until a list is there.
func (e *Engine) CanServe() bool {
	return !e.table.Empty() || !e.heardAt.IsZero() || e.loop.Now().Sub(e.startedAt) >= readyWithin
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

// Take takes a client's request.
func (e *Engine) Take(c Client, o Offer) (*Exchange, error) {
	if class, ok := e.set.Classes[o.Class]; ok && e.set.Waits[class] > 0 {
		o.Wait = min(o.Wait, e.set.Waits[class]) // no client of the class waits longer, whatever it says
	}
	x, err := e.add(c, o)
	if err != nil {
		return nil, err
	}
	if e.limits != nil {
		var ok bool
		x.under, ok = e.limits.Take(x.request.Class, x.request.Tenant, true)
		if x.request.Beyond = !ok; !ok {
			e.count.Beyond++
		}
	}
	e.push(event{kind: evRequest, x: x, request: x.request})
	return x, nil
}

// Adopt takes a connection that an egress target holds since before the start. The module hears of it once it
// stands; no other target can take it.
func (e *Engine) Adopt(c Client, o Offer, id string) (*Exchange, error) {
	if o.Wait = min(o.Wait, adoptMost); e.table.Find(id) == nil {
		o.Wait = min(o.Wait, adoptUnknown)
	}
	x, err := e.add(c, o)
	if err != nil {
		return nil, err
	}
	// The hop starts with the others: one that fails at once must find the caller holding its exchange.
	x.adopt = id
	if e.limits != nil { // it stands already: it is counted, and not refused
		x.under, _ = e.limits.Take(x.request.Class, x.request.Tenant, false)
	}
	e.actions = append(e.actions, action{kind: acAdopt, id: x.id})
	return x, nil
}

func (e *Engine) add(c Client, o Offer) (*Exchange, error) {
	class, ok := e.set.Classes[o.Class]
	if !ok {
		return nil, ErrClass
	}
	tenant, err := e.tenant(o.Tenant)
	if err != nil {
		return nil, err
	}
	if _, open := e.ids[o.ID]; open {
		return nil, ErrInUse
	}
	if o.ID != "" {
		e.ids[o.ID] = struct{}{}
	}
	e.last++
	e.count.Exchanges++
	x := &Exchange{id: e.last, name: o.ID, engine: e, client: c, deadline: e.loop.Now().Add(o.Wait)}
	x.request = balance.Request{
		ID: x.id, Class: class, Tenant: tenant, Key: o.Key, Again: o.Again,
		Left: o.Wait - e.margin(o.Wait),
	}
	if e.set.Config.Groups {
		x.request.Group = o.Group
	}
	e.exchanges[x.id] = x
	x.timer.Fire = func() { e.overdue(x) }
	e.loop.Arm(&x.timer, x.deadline.Add(-e.margin(o.Wait)/2))
	return x, nil
}

// tenant finds whose an exchange is, -1 where it names nobody or where the settings name no tenants. A name that the settings
// lack is a fault of the client: a target would answer it with an error, for which the target is not to blame.
func (e *Engine) tenant(name string) (int, error) {
	if name == "" || len(e.set.Tenants) == 0 {
		return -1, nil
	}
	i, ok := e.set.Tenants[name]
	if !ok {
		return -1, ErrTenant
	}
	return i, nil
}

// margin is the part of a client's wait that is kept for the answer's way. The module may use what is before
// it; the engine answers in the module's place when half of it is over.
func (e *Engine) margin(wait time.Duration) time.Duration {
	return min(e.tuning.AnswerMargin, wait/answerPart)
}

// release forgets an exchange with which nothing more happens: the one place where its entry and its timer are
// given back.
func (e *Engine) release(x *Exchange) {
	e.loop.Disarm(&x.timer)
	if e.limits != nil && x.under != 0 {
		e.limits.Release(x.under)
		x.under = 0
	}
	delete(e.exchanges, x.id)
	delete(e.ids, x.name)
}

// overdue answers a client whose time is nearly up. The module's own time ends earlier, so that this is the
// last resort that keeps one final answer a certainty.
func (e *Engine) overdue(x *Exchange) {
	if x.answered {
		return
	}
	e.count.Overdue++
	e.log.Printf("exchange %d: no answer from the module in time", x.id)
	e.cutShort(x, e.set.Config.MaxAdvice)
}

// Advice is what a refused client may be told of when to come again: not longer than the settings have it heeded, and nothing where
// they do not pass it on.
func (e *Engine) Advice(most time.Duration) time.Duration { return min(most, e.set.Config.MaxAdvice) }

// inOrder returns all exchanges, the first one first: what is done to many must not depend on the order of a map.
func (e *Engine) inOrder() []*Exchange {
	return slices.SortedFunc(maps.Values(e.exchanges), func(a, b *Exchange) int { return cmp.Compare(a.id, b.id) })
}

// Shutdown gives every exchange that has no answer yet its final one.
func (e *Engine) Shutdown(after time.Duration) {
	for _, x := range e.inOrder() {
		e.cutShort(x, after)
	}
}

func (e *Engine) tryAdopt(x *Exchange) {
	to := e.table.Find(x.adopt)
	if to == nil {
		e.adoptAgain(x, balance.NoConnect)
		return
	}
	e.hop(x, to, x.deadline.Sub(e.loop.Now()))
}

// adoptAgain tries once more after a hop that never ran: the route table may be old, the target busy with all
// the others that are opened at the start.
func (e *Engine) adoptAgain(x *Exchange, o balance.Outcome) {
	if x.answered {
		e.release(x)
		return
	}
	if left := x.deadline.Sub(e.loop.Now()); !o.NeverRan() || left < 2*adoptRest {
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
	e.loop.After(t, adoptRest)
}

func (e *Engine) hop(x *Exchange, to *routes.Target, wait time.Duration) {
	x.target, x.out, x.sentAt = to, true, time.Time{}
	x.hops++
	e.count.Hops++
	if e.onHop != nil && x.adopt == "" {
		e.onHop(x.request.Class, x.hops == 1 && !x.request.Again)
	}
	known := e.heardAt
	if e.vouched != nil {
		if at := e.vouched(); at.After(known) {
			known = at
		}
	}
	e.count.Aged(e.loop.Now().Sub(known))
	if !to.StartedAt.IsZero() && e.loop.Now().Sub(to.StartedAt) < e.set.Config.Rules.WarmWithin {
		e.count.HopsCold++
	}
	x.client.Hop(to, wait)
}

// Probed tells what came of a probe.
func (e *Engine) Probed(id string, o balance.Outcome, rep balance.Report) {
	if o != balance.OK {
		e.count.ProbesFailed++
		if o == balance.Error {
			e.count.ProbesRefused++
		}
	}
	e.push(event{kind: evProbed, target: id, outcome: o, report: rep})
	e.saw(id, o, OfProbe)
	if e.onProbed != nil {
		e.onProbed(id, o == balance.OK, rep)
	}
}

// news takes an answer of discovery, or why there was none.
func (e *Engine) news(l *routes.List, err error) {
	if err != nil {
		e.callFailed()
		e.count.WatchesFailed++
		if errors.Is(err, routes.ErrBusy) {
			e.count.WatchesBusy++
		}
		// Where many share discovery, every other call may fail: the counters have them all.
		if now := e.loop.Now(); !e.broken && (e.complain.IsZero() || now.Sub(e.complain) >= complainDiscovery) {
			e.log.Printf("discovery: %v", err)
			e.broken, e.complain = true, now
		}
		e.push(event{kind: evList, list: balance.ListBroken})
		return
	}
	if e.broken {
		e.log.Printf("discovery: answers again")
	}
	before := e.heardAt
	e.broken, e.heardAt = false, e.loop.Now()
	e.resumeSends(true)
	if l.Seq < e.newest {
		return // it was on its way while another process passed a later one on
	}
	e.births.SetStarts(l, e.heardAt, before)
	e.take(l)
	if e.onNews != nil {
		e.onNews()
	}
}

// take merges a list and tells the module.
func (e *Engine) take(l *routes.List) {
	kind := balance.ListPatch
	if l.Whole {
		kind = balance.ListWhole
	}
	stopped := e.table.Merge(l)
	e.push(event{kind: evList, list: kind, entries: backends(l.Hosts)})
	for _, id := range stopped {
		e.recall(id)
		e.proofs.forget(id)
		if e.table.Find(id) == nil {
			e.prober.Forget(id)
		}
	}
}

// recall gives up the hops that have not reached a target which takes no new work: one that is still
// connecting could be sent after the time that the rules leave for that.
func (e *Engine) recall(id string) {
	for _, x := range e.inOrder() {
		if x.out && !x.standing && x.adopt == "" && x.target.ID == id && x.client.Recall() {
			x.Ended(balance.NoConnect, noReport)
		}
	}
}

func (e *Engine) countEnd(o balance.Outcome) {
	switch o {
	case balance.OK:
		e.count.HopOK++
	case balance.Error:
		e.count.HopError++
	case balance.Full:
		e.count.HopFull++
	case balance.TimedOut:
		e.count.HopTimeout++
	case balance.NoConnect, balance.NotSent:
		e.count.HopNoConnect++
	case balance.Broken:
		e.count.HopBroken++
	case balance.Cancelled:
		e.count.HopCancelled++
	}
}
