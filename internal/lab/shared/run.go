// Package shared plays what the processes of a fleet hold together, verdicts on targets and limits, under the faults of
// internal/lab/owners: stalls, kills, partitions, late and repeated datagrams, bad clocks. A judge that knows what truly happened
// checks each verdict's age and witnesses, and each limit's excess against its bound, at every look.
package shared

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ospreyspan/internal/lab/owners"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/shared/carrier"
	"ospreyspan/internal/shared/evidence"
	"ospreyspan/internal/shared/limit"
	"ospreyspan/internal/shared/verdict"
	"ospreyspan/internal/vnet"
)

// Plants are the mistakes that can be planted, each of which the judge must find.
var Plants = []string{"one-witness", "no-age", "merge-adds", "forget-lost", "early-grant", "cap-ignored"}

// Options say what to play.
type Options struct {
	Plant string // one of Plants; empty: none
	Calm  bool   // no faults among the processes; targets have their troubles all the same
}

const (
	targets = 12
	tick    = 50 * time.Millisecond // between two steps of a process's work
)

var zones = []string{"a", "b", "c"}

// figures of the run: shorter than those that serve, so that a run sees more.
var (
	judging = verdict.Config{MaxAge: 3 * time.Second, ForgetAfter: 8 * time.Second, MinWitnesses: 2, MaxFraction: 0.34}
	soft    = limit.SoftConfig{StaleAfter: 3 * time.Second, DeadHold: 25 * time.Second}
	softKey = evidence.LimitKey("soft")
	softL   = limit.Limit{Name: "soft", Max: 90}
	strictL = limit.Limit{Name: "strict", Kind: limit.StrictKind, Max: 26, Slices: 12}
)

// Play plays one seed.
func Play(seed uint64, o Options) (owners.Counts, Counts, error) {
	if o.Plant != "" && !slices.Contains(Plants, o.Plant) {
		return owners.Counts{}, Counts{}, fmt.Errorf("plant %q is none of %v", o.Plant, Plants)
	}
	var g *guest
	oo := owners.Options{NoFaults: o.Calm, Span: 14 * time.Second, Guest: func(w *vnet.World) owners.Guest {
		g = newGuest(w, o)
		return g
	}}
	if o.Plant == "early-grant" {
		oo.Plant = o.Plant
	}
	c, err := owners.Play(seed, oo)
	g.count.Seeds = 1
	return c, g.count, err
}

// guest plays the processes' further parts.
type guest struct {
	o       Options
	world   *vnet.World
	rng     *rand.Rand
	members map[int]*member
	order   []int
	truth   [targets]fault
	judge   judge
	count   Counts
	healed  bool
	end     time.Duration // of the faults
}

// fault is what is wrong with a target.
type fault struct {
	kind verdict.Verdict // Sound: nothing
	zone string          // only for this one; empty: for all
}

type member struct {
	g        *guest
	i        int
	name     string
	zone     string
	host     *vnet.Host
	loop     *poll.Loop
	node     *mesh.Node
	carrier  *carrier.Carrier
	timer    poll.Timer
	life     int
	looked   time.Time
	began    time.Time
	poisoned bool
	found    map[string]verdict.Finding
	roster   limit.Roster
	gate     limit.Gate
	slices   *limit.Slices
	open     map[string][]time.Time // connections by limit: when each ends, by the world's clock
	refused  map[string]int
	hot      bool
}

func newGuest(w *vnet.World, o Options) *guest {
	g := &guest{o: o, world: w, rng: w.Rand("shared"), members: make(map[int]*member)}
	g.judge.g = g
	for at := 4 * time.Second; at < 30*time.Second; at += time.Duration(1000+g.rng.IntN(3000)) * time.Millisecond {
		w.After(at, g.trouble)
	}
	var look func()
	look = func() {
		if g.end == 0 || w.Elapsed() < g.end+30*time.Second {
			w.After(tick, look)
		}
		g.judge.look()
	}
	w.After(tick, look)
	return g
}

// trouble changes what is wrong with a target, or poisons a process.
func (g *guest) trouble() {
	if g.healed {
		return
	}
	if g.rng.IntN(4) == 0 && len(g.order) > 0 {
		m := g.members[g.order[g.rng.IntN(len(g.order))]]
		m.poisoned = true
		g.count.Poisoned++
		g.world.After(time.Duration(2+g.rng.IntN(5))*time.Second, func() { m.poisoned = false })
		return
	}
	t := g.rng.IntN(targets)
	f := fault{kind: []verdict.Verdict{verdict.Failing, verdict.Silent}[g.rng.IntN(2)]}
	if g.rng.IntN(3) == 0 {
		f.zone = zones[g.rng.IntN(len(zones))]
	}
	g.count.Faults++
	g.judge.ended(t)
	g.truth[t] = f
	g.world.After(time.Duration(500+g.rng.IntN(9000))*time.Millisecond, func() {
		if g.truth[t] == f {
			g.judge.ended(t)
			g.truth[t] = fault{}
		}
	})
}

func (g *guest) Begin(i int, h *vnet.Host, loop *poll.Loop, c *mesh.Config) {
	m := g.members[i]
	if m == nil {
		m = &member{g: g, i: i, name: h.Name(), zone: zones[i%len(zones)], host: h, hot: i == 1}
		g.members[i] = m
		g.order = append(g.order, i)
		slices.Sort(g.order)
	}
	m.loop, m.life = loop, h.Incarnation()
	m.began = loop.Now()
	m.found, m.open = make(map[string]verdict.Finding), make(map[string][]time.Time)
	m.refused = make(map[string]int)
	m.roster = limit.Roster{}
	conf := evidence.DefaultConfig()
	conf.WindowLength, conf.Retention = 250*time.Millisecond, 10*time.Second
	if g.o.Plant == "no-age" {
		conf.Retention = time.Hour
	}
	me := evidence.Writer{Session: c.Session, Name: m.name, Zone: m.zone}
	m.carrier = carrier.New(loop.Now(), me, conf, evidence.Flaws{MergeAdds: g.o.Plant == "merge-adds"})
	m.gate = limit.Gate{SoftConfig: soft, Limit: &softL, Flaws: limit.Flaws{ForgetLost: g.o.Plant == "forget-lost"}}
	m.gate.ExpectedMembers = 5
	m.slices = limit.NewSlices(&strictL, c.Session)
	c.Zone = m.zone
	c.OnSharedMessage = func(from netip.AddrPort, s *mesh.SharedMessage) { m.carrier.Receive(loop.Now(), from, s) }
	m.timer = poll.Timer{Fire: m.act}
	loop.After(&m.timer, tick)
}

func (g *guest) Began(i int, n *mesh.Node) {
	g.members[i].node = n
	g.members[i].carrier.Bind(n)
}

func (g *guest) Killed(i int) {
	if m := g.members[i]; m != nil {
		m.node = nil
		m.open = nil // they die with it
	}
}

// Jumped: what a clock that was set ahead says of ages is not bounded until others have learnt anew; see evidence.Store.Learn.
func (g *guest) Jumped(int) { g.judge.excused = g.world.Elapsed() + 20*time.Second }

func (g *guest) Healed() {
	g.healed, g.end = true, g.world.Elapsed()
	for t := range g.truth {
		g.judge.ended(t)
	}
	g.truth = [targets]fault{}
	for _, i := range g.order {
		g.members[i].poisoned = false
	}
}

func id(t int) string { return fmt.Sprintf("t%02d", t) }

// act is a step of a process's work.
func (m *member) act() {
	if m.node == nil {
		return
	}
	m.loop.After(&m.timer, tick)
	now := m.loop.Now()
	m.try(now)
	m.clients(now)
	if now.Sub(m.looked) >= carrier.TickInterval {
		m.looked = now
		m.look(now)
	}
}

// try sends something to a target, one that is not condemned, or whose turn it is, and sees what comes of it.
func (m *member) try(now time.Time) {
	g := m.g
	if g.rng.Float64() > 0.35 {
		return
	}
	t := g.rng.IntN(targets)
	if x, ok := m.found[id(t)]; ok && (x.Unhealthy() || x.RecentlyTried || !verdict.HasTurn(m.carrier.Store().Self().Session, id(t), now.Unix(), verdict.TrialDivisor)) {
		return
	}
	f := g.truth[t]
	if f.zone != "" && f.zone != m.zone {
		f = fault{}
	}
	c := evidence.Counts{OK: 1}
	switch {
	case m.poisoned:
		c = evidence.Counts{Silent: 1}
	case f.kind == verdict.Failing && g.rng.Float64() < 0.8:
		c = evidence.Counts{Fail: 1}
	case f.kind == verdict.Failing:
	case f.kind == verdict.Silent:
		c = evidence.Counts{Silent: 1}
	}
	m.carrier.Store().Record(now, id(t), c)
	if c.Bad() > 0 {
		g.judge.saw(t, m.name)
		if f.kind != verdict.Sound {
			g.count.Wasted++
		}
	}
}

// clients come and go: each wants a connection under both limits.
func (m *member) clients(now time.Time) {
	g := m.g
	for k, name := range []string{softL.Name, strictL.Name} {
		m.open[name] = slices.DeleteFunc(m.open[name], func(end time.Time) bool { return !g.world.Now().Before(end) })
		rate, stay := 0.045, 6000+g.rng.IntN(14000)
		if m.hot {
			rate *= 5
		}
		if name == strictL.Name {
			m.yield()
		}
		if g.rng.Float64() > rate {
			continue
		}
		admitted := false
		if name == strictL.Name {
			admitted = len(m.open[name]) < m.capacity(now)
		} else {
			admitted = m.gate.Admit(now.Sub(m.began))
		}
		if !admitted {
			g.count.Refused[k]++
			m.refused[name]++
			if g.judge.use(name) < mostOf(name) {
				g.count.RefusedWithRoom[k]++
			}
			continue
		}
		g.count.Admitted[k]++
		m.open[name] = append(m.open[name], g.world.Now().Add(time.Duration(stay)*time.Millisecond))
		if name == softL.Name {
			g.judge.admitted()
			m.tellUse(now)
		}
	}
}

func mostOf(name string) int {
	if name == softL.Name {
		return softL.Max
	}
	return strictL.Max
}

// yield moves clients of which the slices are gone: it does not wait for anything.
func (m *member) yield() {
	if over := len(m.open[strictL.Name]) - m.capacity(m.loop.Now()); over > 0 {
		m.g.count.Yielded += over
		m.open[strictL.Name] = m.open[strictL.Name][over:]
	}
}

// capacity is what the slices that are held by the process's own clock give it.
func (m *member) capacity(now time.Time) int {
	n := 0
	for i := range strictL.Slices {
		if _, ok := m.node.HoldsAt(now, m.slices.DutyName(i)); ok {
			n += m.slices.Size(i)
		}
	}
	return n
}

func (m *member) tellUse(now time.Time) {
	m.carrier.Store().RecordUse(now, softKey, len(m.open[softL.Name]), m.gate.RecentDemand(now.Sub(m.began)))
}

// look does what a process does every now and then.
func (m *member) look(now time.Time) {
	store := m.carrier.Store()
	m.tellUse(now)
	m.carrier.Tick(now)
	list := make([]verdict.Target, targets)
	for t := range list {
		list[t] = verdict.Target{ID: id(t), Zone: zones[t%len(zones)]}
	}
	conf := judging
	if m.g.o.Plant == "cap-ignored" {
		conf.MaxFraction = 1
	}
	found := verdict.Judge(now, store, m.zone, list, conf, verdict.Flaws{OneWitness: m.g.o.Plant == "one-witness", NoAge: m.g.o.Plant == "no-age"})
	clear(m.found)
	for _, x := range found {
		m.found[x.Target] = x
	}
	m.g.judge.verdicts(m, found)
	m.limits(now)
}

func (m *member) limits(now time.Time) {
	store := m.carrier.Store()
	var living []limit.LiveProcess
	for _, p := range m.node.Members() {
		living = append(living, limit.LiveProcess{Session: p.Session, Name: p.Name})
	}
	m.roster.Update(now, soft.DeadHold, living)
	known := make(map[uint64]limit.Member)
	store.EachUse(now, softKey, func(w evidence.Writer, use, want int, age time.Duration) {
		known[w.Session] = limit.Member{Session: w.Session, Use: use, Want: want, Age: age}
	})
	me := limit.Member{Session: store.Self().Session, Use: len(m.open[softL.Name]), Want: known[store.Self().Session].Want}
	m.gate.Update(now.Sub(m.began), me, m.roster.Members(now, me.Session, known))
	// Slices are duties like others.
	held := func(i int) bool { _, ok := m.node.Holds(m.slices.DutyName(i)); return ok }
	taken := func(i int) bool { return m.node.HasOwner(m.slices.DutyName(i)) }
	want := m.slices.Claims(now, len(m.open[strictL.Name]), min(m.refused[strictL.Name], 2), time.Second, held, taken)
	m.refused[strictL.Name] = 0
	duties := []string{"discovery", "moves", "probes/0"}
	for _, i := range want {
		duties = append(duties, m.slices.DutyName(i))
	}
	m.node.SetDuties(duties)
}

// Settled checks that all hold the same when there has been no fault for a while.
func (g *guest) Settled() error {
	for _, i := range g.order {
		m := g.members[i]
		for target, x := range m.found {
			if x.Unhealthy() {
				return fmt.Errorf("%s holds %s to be %v, 20 s after the last trouble of any target", m.name, target, x.Verdict)
			}
		}
	}
	return g.judge.err
}
