package balance

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The state of a Balancer and the functions that maintain it. The decisions are in the other files.

// backend is the state of one backend as this relay knows it.
type backend struct {
	Backend
	weight              float64     // idle capacity in points, floorWeight to fullWeight
	requests            []*request  // connections and attempts of this relay on the backend
	unreported          int         // placements by this relay since its last report
	idHash              uint64      // hash of its ID
	probePending        bool        // a probe has been sent and not answered
	probeFailed         bool        // its last probe failed
	lastReport          time.Time   // zero: none yet
	loadPerConnection   float64     // mean load per connection in its last report; NaN: not reported
	demand              float64     // recent requests of this relay for it, with exponential decay
	demandAt            time.Time   // when demand was last updated
	rebalancedAt        time.Time   // when connections were last moved off it because of its load
	consecutiveFailures int         // reset by a success
	ejectedUntil        time.Time   // it is avoided until then: this relay saw failures
	peerEjectedUntil    time.Time   // as told by other relays; see EjectUntil
	permits             permits     // used while it is cold
	coldSends           []time.Time // of requests, while it is cold and within OverloadWindow
	drainBy             time.Time   // when all connections must be off it; zero: it is not draining
}

// request is the state of a request, from its arrival to the end of its last attempt or connection.
type request struct {
	Request
	deadline       time.Time
	attempts       int
	backend        *backend   // backend of its attempt or connection; nil: it has neither
	index          int        // position in backend.requests
	established    bool       // the connection is open
	moveSent       bool       // its client has been asked to reconnect
	answered       bool       // the client needs no further answer
	sentAt         time.Time  // when its last attempt was sent
	ranOn          *backend   // backend of its first attempt that may have run; nil: none may have
	ranAt          time.Time  // when that attempt was sent
	tried          []*backend // backends not to be tried again
	sample         []*backend // backends considered for it
	holdCount      int        // number of times that it was held for a later try
	pendingReports int        // reports of the sample that are outstanding
	timerAt        time.Time  // when its timer expires; a timer that expires earlier is stale
}

// coldCredit permits one new connection to a cold backend; it lapses soon.
type coldCredit struct {
	backend   *backend
	grantedAt time.Time
}

// Balancer makes the decisions of one relay. The package comment describes its use.
type Balancer struct {
	cfg               Config
	host              Host
	rng               *rand.Rand
	byID              map[string]*backend
	backends          []*backend // in the order of discovery's lists
	ready             []*backend // the backends that accept new connections
	allowedIDs        []string   // IDs that may get new connections; nil: all; see Restrict
	requests          map[RequestID]*request
	awaitingReports   []*request          // requests that wait for reports of their samples
	arrivals          int                 // requests since the probe timer last expired
	failureRate       float64             // moving average over the attempts on all backends
	lastWarmSummary   fleetSummary        // of the last time that most backends were warm
	coldCredits       []coldCredit        // connections that cold backends may get, oldest first
	meanWorth         float64             // moving average of the worth of requests
	pendingAttempts   int                 // without those of established connections
	attemptWindow     float64             // limit of pendingAttempts
	tenantConnections []int               // connections and attempts of this relay, by tenant
	detached          map[string]*backend // by Request.Key: backends of connections at other relays
	detachedClearedAt time.Time           // when detached was last emptied
	drainTimerSet     bool                // the timer for draining backends is set
	retriesDisabled   bool                // see DisableRetries
	subscribed        bool                // a list has come since discovery last failed
	discoveryFailures int                 // consecutive
}

// New returns a Balancer for one relay. Its random numbers depend on the seed alone.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	r := cfg.Rules
	switch {
	case host == nil:
		return nil, errors.New("balance: host is nil")
	case cfg.Relays < 0 || cfg.MaxAttempts < 0:
		return nil, errors.New("balance: negative Relays or MaxAttempts in the configuration")
	case r.InitialCapacity < 0 || r.InitialCapacity > 1 ||
		r.WarmUpTime < 0 || r.OverloadWindow < 0 || r.MaxDiscoveryGap < 0:
		return nil, errors.New("balance: InitialCapacity outside 0 to 1, or negative time in Rules")
	}
	cfg.Relays = max(cfg.Relays, 1)
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

// RestoreConnection adds a connection that was already open through the relay when it started.
func (b *Balancer) RestoreConnection(now time.Time, q Request, backendID string) {
	r := b.addRequest(q)
	r.attempts, r.established = 1, true
	k := b.byID[backendID]
	if k == nil { // removed from the list, but the connection is open
		k = &backend{Backend: Backend{ID: backendID, State: Gone}}
	}
	b.assign(r, k)
}

// ConnectionCount returns the number of connections and attempts that this relay has on a backend.
func (b *Balancer) ConnectionCount(backendID string) int {
	if k := b.byID[backendID]; k != nil {
		return len(k.requests)
	}
	return 0
}

// class returns the class with an index. An unknown class is treated as not idempotent.
func (b *Balancer) class(i int) Class {
	if i < 0 || i >= len(b.cfg.Classes) {
		return Class{SetupTarget: probeInterval, Idempotency: NotIdempotent}
	}
	return b.cfg.Classes[i]
}

// mergeBackends updates the backends from a list of discovery.
func (b *Balancer) mergeBackends(kind ListKind, list []Backend) {
	if kind != ListPatch {
		listed := make(map[string]bool, len(list))
		for i := range list {
			listed[list[i].ID] = true
		}
		for _, k := range b.backends {
			if !listed[k.ID] {
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

// updateReady computes the list of the backends that accept new connections.
func (b *Balancer) updateReady() {
	b.ready = b.ready[:0]
	for _, k := range b.backends {
		if b.acceptsNew(k) {
			b.ready = append(b.ready, k)
		}
	}
}

// acceptsNew reports whether a backend is ready and Restrict allows new connections to it.
func (b *Balancer) acceptsNew(k *backend) bool {
	return k.State == Ready && (b.allowedIDs == nil || slices.Contains(b.allowedIDs, k.ID))
}

// Restrict limits new connections to the backends with these IDs until the next call: the list may
// be out of date, and only these are known to have accepted new work since. An empty slice allows
// no backend, nil allows all.
func (b *Balancer) Restrict(ids []string) {
	b.allowedIDs = ids
	b.updateReady()
}

// updateBackend adds or updates the backend of one entry of a list.
func (b *Balancer) updateBackend(entry *Backend) {
	k := b.byID[entry.ID]
	if k == nil {
		if entry.State == Gone {
			return
		}
		k = &backend{Backend: *entry, weight: fullWeight, idHash: hash(entry.ID)}
		b.byID[entry.ID] = k
		b.backends = append(b.backends, k)
		return
	}
	if entry.StartTime.After(k.StartTime) {
		// After a restart nothing that was known of the backend holds any more.
		k.weight, k.consecutiveFailures, k.ejectedUntil, k.peerEjectedUntil =
			fullWeight, 0, time.Time{}, time.Time{}
	}
	k.Backend = *entry
}

// assign adds a request to the connections and attempts of a backend; unassign removes it again.
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

// DisableRetries sets whether a request whose attempt failed gets its final answer at once, with no
// further attempt.
func (b *Balancer) DisableRetries(on bool) { b.retriesDisabled = on }

// unhealthy reports whether the backend is ejected or its last probe failed.
func (k *backend) unhealthy(now time.Time) bool {
	return k.probeFailed || now.Before(k.ejectedUntil) || now.Before(k.peerEjectedUntil)
}

// EjectUntil marks a backend as failing until a time, because of failures that other relays saw.
func (b *Balancer) EjectUntil(id string, until time.Time) {
	if k := b.byID[id]; k != nil {
		k.peerEjectedUntil = until
	}
}

// decayedDemand returns the demand at a time; it decays with a time constant of probeInterval.
func (k *backend) decayedDemand(now time.Time) float64 {
	return k.demand * math.Exp(-micros(now.Sub(k.demandAt))/micros(probeInterval))
}

// hasGroup reports whether this relay has an open connection of the group on the backend.
func (k *backend) hasGroup(group string) bool {
	for _, r := range k.requests {
		if r.established && r.Group == group {
			return true
		}
	}
	return false
}

// recordDetached records for a while the backend of a connection whose packets go to another relay.
func (b *Balancer) recordDetached(now time.Time, r *request, k *backend) {
	if b.cfg.DetachedTimeout <= 0 || r.Key == "" {
		return
	}
	if now.Sub(b.detachedClearedAt) > b.cfg.DetachedTimeout {
		clear(b.detached)
		b.detachedClearedAt = now
	}
	b.detached[r.Key] = k
}

// removeRequest drops the state of a request that is over.
func (b *Balancer) removeRequest(r *request) {
	r.answered = true
	delete(b.requests, r.ID)
}

// micros and fromMicros convert to and from whole microseconds, the unit of the host's timers.
func micros(d time.Duration) float64      { return float64(d / time.Microsecond) }
func fromMicros(us float64) time.Duration { return time.Duration(us) * time.Microsecond }

// hash is FNV-1a; mix spreads its bits with the finalizer of SplitMix64.
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
