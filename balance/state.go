package balance

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// What a relay keeps in mind, and its bookkeeping. Nothing is decided here.

// backend is what a relay knows of one backend.
type backend struct {
	Backend
	weight              float64    // W of the design
	requests            []*request // own connections and attempts there; their number is the design's count
	unreported          int        // own placements since its last report
	idHash              uint64     // of its id
	probePending        bool       // a probe is out
	probeFailed         bool       // its last probe was not answered
	lastReport          time.Time  // last report
	loadPerConnection   float64    // load of one of its connections, by its last report; NaN: not told
	demand              float64    // own requests that wanted it of late, older ones counting less
	demandAt            time.Time
	rebalancedAt        time.Time // connections were last moved away then
	consecutiveFailures int       // failures in a row
	ejectedUntil        time.Time // ejected until then
	peerEjectedUntil    time.Time // likewise by what others know of it; see Told
	permits             permits   // while it is cold
	drainBy             time.Time // it drains, and own connections are to be off it by then; zero: it does not
}

// request is one that this relay holds, from its arrival to the end of its last attempt.
type request struct {
	Request
	deadline       time.Time
	attempts       int
	backend        *backend  // where its attempt or connection is; nil: none is out
	index          int       // index in at.held
	established    bool      // the connection stands
	moveSent       bool      // its client was asked to come again
	answered       bool      // nothing more is owed to the client
	sentAt         time.Time // its last attempt
	ranOn          *backend  // where the first attempt that may have run went; nil: none may have
	ranAt          time.Time
	tried          []*backend
	sample         []*backend // the backends looked at for it
	holdCount      int        // times it was held
	pendingReports int        // their reports that are still to come
	timerAt        time.Time  // of its timer; an earlier one is stale
}

// offer lets a cold backend be sent one connection, soon.
type coldCredit struct {
	backend   *backend
	grantedAt time.Time
}

// Balancer decides for one relay. See the package's comment for how to use it.
type Balancer struct {
	cfg               Config
	host              Host
	rng               *rand.Rand
	byID              map[string]*backend
	backends          []*backend // in discovery's order
	ready             []*backend // those of them that take new connections
	allowedIDs        []string   // the only ones that may be sent new connections; nil: all; see Restrict
	requests          map[RequestID]*request
	awaitingReports   []*request          // held until the reports of their samples are in
	arrivals          int                 // requests since the probe timer last went off
	failureRate       float64             // part of the recent attempts that failed, wherever they went
	coldCredits       []coldCredit        // what may be sent to cold backends
	meanWorth         float64             // mean of late requests
	pendingAttempts   int                 // attempts that are out, without the connections that stand
	attemptWindow     float64             // how many of these there may be
	tenantConnections []int               // own connections of each tenant
	detached          map[string]*backend // by key: where connections are whose packets go elsewhere
	detachedClearedAt time.Time           // left was last emptied then
	drainTimerSet     bool                // a timer for backends that drain is set
	retriesDisabled   bool                // see Thrifty
	subscribed        bool
	discoveryFailures int // questions to discovery that failed, in a row
}

// New returns a Balancer for one relay. All its draws come from the seed.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	r := cfg.Rules
	switch {
	case host == nil:
		return nil, errors.New("balance: no host")
	case cfg.Balancers < 0 || cfg.MaxAttempts < 0:
		return nil, errors.New("balance: a number of relays or attempts below 0")
	case r.InitialCapacity < 0 || r.InitialCapacity > 1 || r.WarmUpTime < 0 || r.OverloadWindow < 0 || r.MaxDiscoveryGap < 0:
		return nil, errors.New("balance: a figure of the rules is out of its range")
	}
	cfg.Balancers = max(cfg.Balancers, 1)
	return &Balancer{
		cfg: cfg, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		byID: make(map[string]*backend), requests: make(map[RequestID]*request),
		attemptWindow: maxAttemptWindow,
		detached:      make(map[string]*backend), tenantConnections: make([]int, len(cfg.Tenants)),
	}, nil
}

func (b *Balancer) addRequest(q Request) *request {
	r := &request{Request: q}
	b.requests[q.ID] = r
	return r
}

// RestoreConnection takes a connection that runs through this relay at its start.
func (b *Balancer) RestoreConnection(now time.Time, q Request, id string) {
	r := b.addRequest(q)
	r.attempts, r.established = 1, true
	k := b.byID[id]
	if k == nil { // not in the list any more, but the connection runs
		k = &backend{Backend: Backend{ID: id, State: Gone}}
	}
	b.assign(r, k)
}

// ConnectionCount tells how many own connections and attempts a backend has by the relay's count.
func (b *Balancer) ConnectionCount(id string) int {
	if k := b.byID[id]; k != nil {
		return len(k.requests)
	}
	return 0
}

// class returns what is known of a class; one that is unknown is treated with the most care.
func (b *Balancer) class(i int) Class {
	if i < 0 || i >= len(b.cfg.Classes) {
		return Class{SetupTarget: probeInterval, Idempotency: NotIdempotent}
	}
	return b.cfg.Classes[i]
}

// merge brings the lists of backends up to date with discovery's news.
func (b *Balancer) mergeBackends(kind ListKind, list []Backend) {
	if kind != ListPatch {
		named := make(map[string]bool, len(list))
		for i := range list {
			named[list[i].ID] = true
		}
		for _, k := range b.backends {
			if !named[k.ID] {
				k.State = Gone
			}
		}
	}
	for i := range list {
		b.updateBackend(&list[i])
	}
	kept := b.backends[:0]
	for _, k := range b.backends {
		if k.State == Gone {
			delete(b.byID, k.ID)
			continue
		}
		kept = append(kept, k)
	}
	clear(b.backends[len(kept):])
	b.backends = kept
	b.updateReady()
}

// listReady lists the backends that take new connections.
func (b *Balancer) updateReady() {
	b.ready = b.ready[:0]
	for _, k := range b.backends {
		if b.acceptsNew(k) {
			b.ready = append(b.ready, k)
		}
	}
}

// takesNew tells whether a backend takes new connections, by the list and by Restrict.
func (b *Balancer) acceptsNew(k *backend) bool {
	return k.State == Ready && (b.allowedIDs == nil || slices.Contains(b.allowedIDs, k.ID))
}

// Restrict has new connections go to these backends only, until it is called again: the list may be out of
// date, and just these have shown since that they take new work. An empty list leaves none; nil lifts it.
func (b *Balancer) Restrict(to []string) {
	b.allowedIDs = to
	b.updateReady()
}

// member takes one entry of a list.
func (b *Balancer) updateBackend(m *Backend) {
	k := b.byID[m.ID]
	if k == nil {
		if m.State == Gone {
			return
		}
		k = &backend{Backend: *m, weight: fullWeight, idHash: hash(m.ID)}
		b.byID[m.ID] = k
		b.backends = append(b.backends, k)
		return
	}
	if m.Boot.After(k.Boot) {
		// A process that restarted under its id is another backend: what was known of it is void.
		k.weight, k.consecutiveFailures, k.ejectedUntil, k.peerEjectedUntil = fullWeight, 0, time.Time{}, time.Time{}
	}
	k.Backend = *m
}

// hold adds one to a backend's own count, drop takes it off again.
func (b *Balancer) assign(r *request, k *backend) {
	r.backend, r.index = k, len(k.requests)
	b.countTenant(r, 1)
	k.requests = append(k.requests, r)
}

func (b *Balancer) unassign(r *request) {
	k, last := r.backend, len(r.backend.requests)-1
	k.requests[r.index] = k.requests[last]
	k.requests[r.index].index = r.index
	k.requests[last] = nil
	k.requests = k.requests[:last]
	k.unreported = min(k.unreported, last)
	r.backend = nil
	b.countTenant(r, -1)
}

func (b *Balancer) countTenant(r *request, n int) {
	if r.Tenant >= 0 && r.Tenant < len(b.tenantConnections) {
		b.tenantConnections[r.Tenant] += n
	}
}

// DisableRetries says whether a request whose attempt failed has its final answer at once.
func (b *Balancer) DisableRetries(on bool) { b.retriesDisabled = on }

// shunned tells whether it failed of late, or left its last probe unanswered.
func (k *backend) unhealthy(now time.Time) bool {
	return k.probeFailed || now.Before(k.ejectedUntil) || now.Before(k.peerEjectedUntil)
}

// EjectUntil has a backend count as one that failed of late until then, by what other relays know of it.
func (b *Balancer) EjectUntil(id string, until time.Time) {
	if k := b.byID[id]; k != nil {
		k.peerEjectedUntil = until
	}
}

// wantsBy returns the backend's recent wants, which fade within a probe period or so.
func (k *backend) decayedDemand(now time.Time) float64 {
	return k.demand * math.Exp(-micros(now.Sub(k.demandAt))/micros(probeInterval))
}

// holds tells whether a connection of the group is known to be there.
func (k *backend) hasGroup(group string) bool {
	for _, r := range k.requests {
		if r.established && r.Group == group {
			return true
		}
	}
	return false
}

// parted keeps in mind for a while where a connection is whose packets go elsewhere.
func (b *Balancer) recordDetached(now time.Time, r *request, k *backend) {
	if b.cfg.Park <= 0 || r.Key == "" {
		return
	}
	if now.Sub(b.detachedClearedAt) > b.cfg.Park {
		clear(b.detached)
		b.detachedClearedAt = now
	}
	b.detached[r.Key] = k
}

// forget ends a request to which nothing more happens.
func (b *Balancer) removeRequest(r *request) {
	r.answered = true
	delete(b.requests, r.ID)
}

// micros and span turn spans into numbers and back, in whole microseconds, in which hosts count timers.
func micros(d time.Duration) float64      { return float64(d / time.Microsecond) }
func fromMicros(us float64) time.Duration { return time.Duration(us) * time.Microsecond }

// hash is FNV-1a; mix spreads its bits (the finalizer of SplitMix64).
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
