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
	weight  float64    // W of the design
	held    []*request // own connections and attempts there; their number is the design's count
	fresh   int        // own placements since its last report
	hash    uint64     // of its id
	asked   bool       // a probe is out
	missed  bool       // its last probe was not answered
	seen    time.Time  // last report
	each    float64    // load of one of its connections, by its last report; NaN: not told
	wants   float64    // own requests that wanted it of late, older ones counting less
	wanted  time.Time
	relief  time.Time // connections were last moved away then
	strikes int       // failures in a row
	until   time.Time // ejected until then
	told    time.Time // likewise by what others know of it; see Told
	permits permits   // while it is cold
	empty   time.Time // it drains, and own connections are to be off it by then; zero: it does not
}

// request is one that this relay holds, from its arrival to the end of its last attempt.
type request struct {
	Request
	deadline time.Time
	attempts int
	at       *backend  // where its attempt or connection is; nil: none is out
	pos      int       // index in at.held
	open     bool      // the connection stands
	moved    bool      // its client was asked to come again
	over     bool      // nothing more is owed to the client
	sent     time.Time // its last attempt
	ran      *backend  // where the first attempt that may have run went; nil: none may have
	ranSince time.Time
	tried    []*backend
	sample   []*backend // the backends looked at for it
	parks    int        // times it was held
	awaited  int        // their reports that are still to come
	due      time.Time  // of its timer; an earlier one is stale
}

// offer lets a cold backend be sent one connection, soon.
type offer struct {
	to *backend
	at time.Time
}

// Balancer decides for one relay. See the package's comment for how to use it.
type Balancer struct {
	cfg      Config
	host     Host
	rng      *rand.Rand
	byID     map[string]*backend
	all      []*backend // in discovery's order
	ready    []*backend // those of them that take new connections
	only     []string   // the only ones that may be sent new connections; nil: all; see Restrict
	requests map[RequestID]*request
	scanning []*request          // held until the reports of their samples are in
	arrivals int                 // requests since the probe timer last went off
	failing  float64             // part of the recent attempts that failed, wherever they went
	offers   []offer             // what may be sent to cold backends
	worth    float64             // mean of late requests
	out      int                 // attempts that are out, without the connections that stand
	window   float64             // how many of these there may be
	tenants  []int               // own connections of each tenant
	left     map[string]*backend // by key: where connections are whose packets go elsewhere
	cleared  time.Time           // left was last emptied then
	leaving  bool                // a timer for backends that drain is set
	thrifty  bool                // see Thrifty
	watching bool
	broken   int // questions to discovery that failed, in a row
}

// New returns a Balancer for one relay. All its draws come from the seed.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	r := cfg.Rules
	switch {
	case host == nil:
		return nil, errors.New("balance: no host")
	case cfg.Balancers < 0 || cfg.MaxAttempts < 0:
		return nil, errors.New("balance: a number of relays or attempts below 0")
	case r.ColdFrom < 0 || r.ColdFrom > 1 || r.WarmWithin < 0 || r.FallWithin < 0 || r.AskWithin < 0:
		return nil, errors.New("balance: a figure of the rules is out of its range")
	}
	cfg.Balancers = max(cfg.Balancers, 1)
	return &Balancer{
		cfg: cfg, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		byID: make(map[string]*backend), requests: make(map[RequestID]*request),
		window: maxWindow,
		left:   make(map[string]*backend), tenants: make([]int, len(cfg.Tenants)),
	}, nil
}

func (b *Balancer) add(q Request) *request {
	r := &request{Request: q}
	b.requests[q.ID] = r
	return r
}

// RestoreConnection takes a connection that runs through this relay at its start.
func (b *Balancer) RestoreConnection(now time.Time, q Request, id string) {
	r := b.add(q)
	r.attempts, r.open = 1, true
	k := b.byID[id]
	if k == nil { // not in the list any more, but the connection runs
		k = &backend{Backend: Backend{ID: id, State: Gone}}
	}
	b.hold(r, k)
}

// ConnectionCount tells how many own connections and attempts a backend has by the relay's count.
func (b *Balancer) ConnectionCount(id string) int {
	if k := b.byID[id]; k != nil {
		return len(k.held)
	}
	return 0
}

// class returns what is known of a class; one that is unknown is treated with the most care.
func (b *Balancer) class(i int) Class {
	if i < 0 || i >= len(b.cfg.Classes) {
		return Class{SetupTarget: probeEvery, Idempotency: NotIdempotent}
	}
	return b.cfg.Classes[i]
}

// merge brings the lists of backends up to date with discovery's news.
func (b *Balancer) merge(kind ListKind, list []Backend) {
	if kind != ListPatch {
		named := make(map[string]bool, len(list))
		for i := range list {
			named[list[i].ID] = true
		}
		for _, k := range b.all {
			if !named[k.ID] {
				k.State = Gone
			}
		}
	}
	for i := range list {
		b.member(&list[i])
	}
	kept := b.all[:0]
	for _, k := range b.all {
		if k.State == Gone {
			delete(b.byID, k.ID)
			continue
		}
		kept = append(kept, k)
	}
	clear(b.all[len(kept):])
	b.all = kept
	b.listReady()
}

// listReady lists the backends that take new connections.
func (b *Balancer) listReady() {
	b.ready = b.ready[:0]
	for _, k := range b.all {
		if b.takesNew(k) {
			b.ready = append(b.ready, k)
		}
	}
}

// takesNew tells whether a backend takes new connections, by the list and by Restrict.
func (b *Balancer) takesNew(k *backend) bool {
	return k.State == Ready && (b.only == nil || slices.Contains(b.only, k.ID))
}

// Restrict has new connections go to these backends only, until it is called again: the list may be out of
// date, and just these have shown since that they take new work. An empty list leaves none; nil lifts it.
func (b *Balancer) Restrict(to []string) {
	b.only = to
	b.listReady()
}

// member takes one entry of a list.
func (b *Balancer) member(m *Backend) {
	k := b.byID[m.ID]
	if k == nil {
		if m.State == Gone {
			return
		}
		k = &backend{Backend: *m, weight: fullWeight, hash: hash(m.ID)}
		b.byID[m.ID] = k
		b.all = append(b.all, k)
		return
	}
	if m.Boot.After(k.Boot) {
		// A process that restarted under its id is another backend: what was known of it is void.
		k.weight, k.strikes, k.until, k.told = fullWeight, 0, time.Time{}, time.Time{}
	}
	k.Backend = *m
}

// hold adds one to a backend's own count, drop takes it off again.
func (b *Balancer) hold(r *request, k *backend) {
	r.at, r.pos = k, len(k.held)
	b.tenant(r, 1)
	k.held = append(k.held, r)
}

func (b *Balancer) drop(r *request) {
	k, last := r.at, len(r.at.held)-1
	k.held[r.pos] = k.held[last]
	k.held[r.pos].pos = r.pos
	k.held[last] = nil
	k.held = k.held[:last]
	k.fresh = min(k.fresh, last)
	r.at = nil
	b.tenant(r, -1)
}

func (b *Balancer) tenant(r *request, n int) {
	if r.Tenant >= 0 && r.Tenant < len(b.tenants) {
		b.tenants[r.Tenant] += n
	}
}

// DisableRetries says whether a request whose attempt failed has its final answer at once.
func (b *Balancer) DisableRetries(on bool) { b.thrifty = on }

// shunned tells whether it failed of late, or left its last probe unanswered.
func (k *backend) shunned(now time.Time) bool {
	return k.missed || now.Before(k.until) || now.Before(k.told)
}

// EjectUntil has a backend count as one that failed of late until then, by what other relays know of it.
func (b *Balancer) EjectUntil(id string, until time.Time) {
	if k := b.byID[id]; k != nil {
		k.told = until
	}
}

// wantsBy returns the backend's recent wants, which fade within a probe period or so.
func (k *backend) wantsBy(now time.Time) float64 {
	return k.wants * math.Exp(-micros(now.Sub(k.wanted))/micros(probeEvery))
}

// holds tells whether a connection of the group is known to be there.
func (k *backend) holds(group string) bool {
	for _, r := range k.held {
		if r.open && r.Group == group {
			return true
		}
	}
	return false
}

// parted keeps in mind for a while where a connection is whose packets go elsewhere.
func (b *Balancer) parted(now time.Time, r *request, k *backend) {
	if b.cfg.Park <= 0 || r.Key == "" {
		return
	}
	if now.Sub(b.cleared) > b.cfg.Park {
		clear(b.left)
		b.cleared = now
	}
	b.left[r.Key] = k
}

// forget ends a request to which nothing more happens.
func (b *Balancer) forget(r *request) {
	r.over = true
	delete(b.requests, r.ID)
}

// micros and span turn spans into numbers and back, in whole microseconds, in which hosts count timers.
func micros(d time.Duration) float64 { return float64(d / time.Microsecond) }
func span(us float64) time.Duration  { return time.Duration(us) * time.Microsecond }

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
