// Package shared simulates the state that the processes of a fleet share, verdicts on targets and
// use of limits, under the faults of internal/lab/owners: stalls, kills, partitions, late and
// repeated datagrams, faulty clocks.
//
// A judge that knows the true state checks the age and the witnesses of each verdict whenever a
// process computes it, and the excess over each limit against its bound at every step.
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

// Plants lists the mistakes that can be planted. The judge must find each of them.
var Plants = []string{"one-witness", "no-age", "merge-adds", "forget-lost", "early-grant", "cap-ignored"}

// Options selects what a run simulates.
type Options struct {
	Plant string // one of Plants; empty: none
	Calm  bool   // no faults of the processes; targets have faults all the same
}

const (
	targets      = 12
	stepInterval = 50 * time.Millisecond // between two steps of a process
)

var zones = []string{"a", "b", "c"}

// The times are shorter than in production, so that a run sees more changes.
var (
	verdictConfig = verdict.Config{MaxEvidenceAge: 3 * time.Second, ForgetAfter: 8 * time.Second, MinWitnesses: 2, MaxFraction: 0.34}
	softConfig    = limit.SoftConfig{StaleAfter: 3 * time.Second, DeadHold: 25 * time.Second}
	softKey       = evidence.LimitKey("soft")
	softLimit     = limit.Limit{Name: "soft", Max: 90}
	strictLimit   = limit.Limit{Name: "strict", Kind: limit.StrictKind, Max: 26, SliceCount: 12}
)

// Play runs one seed. It returns the counts of the faults and of what the run observed. The error
// is a *vnet.Failure if a check failed.
func Play(seed uint64, o Options) (owners.Counts, Counts, error) {
	if o.Plant != "" && !slices.Contains(Plants, o.Plant) {
		return owners.Counts{}, Counts{}, fmt.Errorf("unknown planted mistake %q: want one of %v", o.Plant, Plants)
	}
	var g *extension
	oo := owners.Options{NoFaults: o.Calm, MaxPartition: 14 * time.Second, Extension: func(w *vnet.World) owners.Extension {
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

// extension simulates the shared state of the processes of a run; it is an owners.Extension.
type extension struct {
	o          Options
	world      *vnet.World
	rng        *rand.Rand
	members    map[int]*member
	order      []int          // indexes of the members, sorted
	truth      [targets]fault // true state of each target
	judge      judge
	count      Counts
	faultsOver bool
	faultsEnd  time.Duration // end of the faults since the start of the run; 0: not yet
}

// fault is what is wrong with a target.
type fault struct {
	kind verdict.Verdict // Sound: no fault
	zone string          // only processes of this zone see the fault; empty: all do
}

type member struct {
	g             *extension
	i             int
	name          string
	zone          string
	host          *vnet.Host
	loop          *poll.Loop
	node          *mesh.Node
	carrier       *carrier.Carrier
	timer         poll.Timer
	life          int
	updatedAt     time.Time
	startedAt     time.Time
	reportsSilent bool // the process observes every target as silent
	findings      map[string]verdict.Finding
	roster        limit.Roster
	gate          limit.Gate
	slices        *limit.Slices
	open          map[string][]time.Time // end of each connection by simulated time, by limit
	refused       map[string]int         // connections refused since the last update, by limit
	hot           bool                   // the process has five times the usual rate of clients
}

func newGuest(w *vnet.World, o Options) *extension {
	g := &extension{o: o, world: w, rng: w.Rand("shared"), members: make(map[int]*member)}
	g.judge.g = g
	for at := 4 * time.Second; at < 30*time.Second; at += time.Duration(1000+g.rng.IntN(3000)) * time.Millisecond {
		w.After(at, g.injectFault)
	}
	var look func()
	look = func() {
		if g.faultsEnd == 0 || w.Elapsed() < g.faultsEnd+30*time.Second {
			w.After(stepInterval, look)
		}
		g.judge.check()
	}
	w.After(stepInterval, look)
	return g
}

// injectFault gives a target a fault for 0.5 to 9.5 s, or makes a process observe every target as
// silent for a while.
func (g *extension) injectFault() {
	if g.faultsOver {
		return
	}
	if g.rng.IntN(4) == 0 && len(g.order) > 0 {
		m := g.members[g.order[g.rng.IntN(len(g.order))]]
		m.reportsSilent = true
		g.count.FalseReporters++
		g.world.After(time.Duration(2+g.rng.IntN(5))*time.Second, func() { m.reportsSilent = false })
		return
	}
	t := g.rng.IntN(targets)
	f := fault{kind: []verdict.Verdict{verdict.Failing, verdict.Silent}[g.rng.IntN(2)]}
	if g.rng.IntN(3) == 0 {
		f.zone = zones[g.rng.IntN(len(zones))]
	}
	g.count.Faults++
	g.judge.faultEnded(t)
	g.truth[t] = f
	g.world.After(time.Duration(500+g.rng.IntN(9000))*time.Millisecond, func() {
		if g.truth[t] == f {
			g.judge.faultEnded(t)
			g.truth[t] = fault{}
		}
	})
}

// BeforeStart resets the state of process i, except its identity, for a new start; see
// owners.Extension.
func (g *extension) BeforeStart(i int, h *vnet.Host, loop *poll.Loop, c *mesh.Config) {
	m := g.members[i]
	if m == nil {
		m = &member{g: g, i: i, name: h.Name(), zone: zones[i%len(zones)], host: h, hot: i == 1}
		g.members[i] = m
		g.order = append(g.order, i)
		slices.Sort(g.order)
	}
	m.loop, m.life = loop, h.Incarnation()
	m.startedAt = loop.Now()
	m.findings, m.open = make(map[string]verdict.Finding), make(map[string][]time.Time)
	m.refused = make(map[string]int)
	m.roster = limit.Roster{}
	config := evidence.DefaultConfig()
	config.WindowLength, config.Retention = 250*time.Millisecond, 10*time.Second
	if g.o.Plant == "no-age" {
		config.Retention = time.Hour
	}
	me := evidence.Writer{Session: c.Session, Name: m.name, Zone: m.zone}
	m.carrier = carrier.New(loop.Now(), me, config, evidence.Flaws{MergeAdds: g.o.Plant == "merge-adds"})
	m.gate = limit.Gate{SoftConfig: softConfig, Limit: &softLimit, Flaws: limit.Flaws{ForgetLost: g.o.Plant == "forget-lost"}}
	m.gate.ExpectedMembers = 5
	m.slices = limit.NewSlices(&strictLimit, c.Session)
	c.Zone = m.zone
	c.OnSharedMessage = func(from netip.AddrPort, s *mesh.SharedMessage) { m.carrier.Receive(loop.Now(), from, s) }
	m.timer = poll.Timer{Fire: m.step}
	loop.After(&m.timer, stepInterval)
}

// AfterStart binds the carrier of process i to its node; see owners.Extension.
func (g *extension) AfterStart(i int, n *mesh.Node) {
	g.members[i].node = n
	g.members[i].carrier.Bind(n)
}

// Killed drops the state of process i that ends with it; see owners.Extension.
func (g *extension) Killed(i int) {
	if m := g.members[i]; m != nil {
		m.node = nil
		m.open = nil // connections end with their process
	}
}

// ClockJumped suspends the checks of ages for 20 s: ages reported by a process whose clock was set
// ahead are not bounded until the other processes have learned its start time again; see
// evidence.Store.LearnStart.
func (g *extension) ClockJumped(int) { g.judge.agesUnboundedUntil = g.world.Elapsed() + 20*time.Second }

// FaultsEnded ends all faults of targets and processes; see owners.Extension.
func (g *extension) FaultsEnded() {
	g.faultsOver, g.faultsEnd = true, g.world.Elapsed()
	for t := range g.truth {
		g.judge.faultEnded(t)
	}
	g.truth = [targets]fault{}
	for _, i := range g.order {
		g.members[i].reportsSilent = false
	}
}

func targetID(t int) string { return fmt.Sprintf("t%02d", t) }

// step is one step of the work of a process.
func (m *member) step() {
	if m.node == nil {
		return
	}
	m.loop.After(&m.timer, stepInterval)
	now := m.loop.Now()
	m.attempt(now)
	m.updateClients(now)
	if now.Sub(m.updatedAt) >= carrier.TickInterval {
		m.updatedAt = now
		m.update(now)
	}
}

// attempt may send a request to a random target and records the outcome. It skips a target that is
// unhealthy or was tried recently, and one whose trial is the turn of another process.
func (m *member) attempt(now time.Time) {
	g := m.g
	if g.rng.Float64() > 0.35 {
		return
	}
	t := g.rng.IntN(targets)
	if x, ok := m.findings[targetID(t)]; ok && (x.Unhealthy() || x.RecentlyTried || !verdict.HasTurn(m.carrier.Store().Self().Session, targetID(t), now.Unix(), verdict.TrialDivisor)) {
		return
	}
	f := g.truth[t]
	if f.zone != "" && f.zone != m.zone {
		f = fault{}
	}
	c := evidence.Counts{OK: 1}
	switch {
	case m.reportsSilent:
		c = evidence.Counts{Silent: 1}
	case f.kind == verdict.Failing && g.rng.Float64() < 0.8:
		c = evidence.Counts{Fail: 1}
	case f.kind == verdict.Failing:
	case f.kind == verdict.Silent:
		c = evidence.Counts{Silent: 1}
	}
	m.carrier.Store().Record(now, targetID(t), c)
	if c.Bad() > 0 {
		g.judge.badOutcome(t, m.name)
		if f.kind != verdict.Sound {
			g.count.WastedAttempts++
		}
	}
}

// updateClients ends connections that are over and may open a new one under each of the two limits.
func (m *member) updateClients(now time.Time) {
	g := m.g
	for k, name := range []string{softLimit.Name, strictLimit.Name} {
		m.open[name] = slices.DeleteFunc(m.open[name], func(end time.Time) bool { return !g.world.Now().Before(end) })
		rate, stay := 0.045, 6000+g.rng.IntN(14000)
		if m.hot {
			rate *= 5
		}
		if name == strictLimit.Name {
			m.closeExcess()
		}
		if g.rng.Float64() > rate {
			continue
		}
		admitted := false
		if name == strictLimit.Name {
			admitted = len(m.open[name]) < m.capacity(now)
		} else {
			admitted = m.gate.Admit(now.Sub(m.startedAt))
		}
		if !admitted {
			g.count.Refused[k]++
			m.refused[name]++
			if g.judge.use(name) < maxOf(name) {
				g.count.RefusedWithRoom[k]++
			}
			continue
		}
		g.count.Admitted[k]++
		m.open[name] = append(m.open[name], g.world.Now().Add(time.Duration(stay)*time.Millisecond))
		if name == softLimit.Name {
			g.judge.recordAdmission()
			m.recordUse(now)
		}
	}
}

// maxOf returns the maximum of the limit with the given name.
func maxOf(name string) int {
	if name == softLimit.Name {
		return softLimit.Max
	}
	return strictLimit.Max
}

// closeExcess closes at once the connections that exceed the slices still held, whose clients move
// to other processes.
func (m *member) closeExcess() {
	if over := len(m.open[strictLimit.Name]) - m.capacity(m.loop.Now()); over > 0 {
		m.g.count.Yielded += over
		m.open[strictLimit.Name] = m.open[strictLimit.Name][over:]
	}
}

// capacity returns how many connections the slices allow that the process holds at now, by its own
// clock.
func (m *member) capacity(now time.Time) int {
	n := 0
	for i := range strictLimit.SliceCount {
		if _, ok := m.node.HoldsAt(now, m.slices.DutyName(i)); ok {
			n += m.slices.Size(i)
		}
	}
	return n
}

// recordUse records the use of the soft limit and the demand for it in the evidence store.
func (m *member) recordUse(now time.Time) {
	m.carrier.Store().RecordUse(now, softKey, len(m.open[softLimit.Name]), m.gate.RecentDemand(now.Sub(m.startedAt)))
}

// update does the periodic work of a process: it exchanges evidence, computes verdicts and updates
// its limits.
func (m *member) update(now time.Time) {
	store := m.carrier.Store()
	m.recordUse(now)
	m.carrier.Tick(now)
	list := make([]verdict.Target, targets)
	for t := range list {
		list[t] = verdict.Target{ID: targetID(t), Zone: zones[t%len(zones)]}
	}
	config := verdictConfig
	if m.g.o.Plant == "cap-ignored" {
		config.MaxFraction = 1
	}
	found := verdict.Judge(now, store, m.zone, list, config, verdict.Flaws{OneWitness: m.g.o.Plant == "one-witness", NoAge: m.g.o.Plant == "no-age"})
	clear(m.findings)
	for _, x := range found {
		m.findings[x.Target] = x
	}
	m.g.judge.checkVerdicts(m, found)
	m.updateLimits(now)
}

// updateLimits updates the admission to the soft limit and claims slices of the strict one.
func (m *member) updateLimits(now time.Time) {
	store := m.carrier.Store()
	var living []limit.LiveProcess
	for _, p := range m.node.Members() {
		living = append(living, limit.LiveProcess{Session: p.Session, Name: p.Name})
	}
	m.roster.Update(now, softConfig.DeadHold, living)
	known := make(map[uint64]limit.Member)
	store.EachUse(now, softKey, func(w evidence.Writer, use, want int, age time.Duration) {
		known[w.Session] = limit.Member{Session: w.Session, Use: use, Want: want, Age: age}
	})
	me := limit.Member{Session: store.Self().Session, Use: len(m.open[softLimit.Name]), Want: known[store.Self().Session].Want}
	m.gate.Update(now.Sub(m.startedAt), me, m.roster.Members(now, me.Session, known))
	// Slices of the strict limit are duties.
	held := func(i int) bool { _, ok := m.node.Holds(m.slices.DutyName(i)); return ok }
	taken := func(i int) bool { return m.node.HasOwner(m.slices.DutyName(i)) }
	want := m.slices.Claims(now, len(m.open[strictLimit.Name]), min(m.refused[strictLimit.Name], 2), time.Second, held, taken)
	m.refused[strictLimit.Name] = 0
	duties := []string{"discovery", "moves", "probes/0"}
	for _, i := range want {
		duties = append(duties, m.slices.DutyName(i))
	}
	m.node.SetDuties(duties)
}

// CheckSettled checks that no process has an unhealthy verdict on any target after a phase without
// faults.
func (g *extension) CheckSettled() error {
	for _, i := range g.order {
		m := g.members[i]
		for target, x := range m.findings {
			if x.Unhealthy() {
				return fmt.Errorf("%s has the verdict on %s that it is %v, 20 s after the last fault of any target", m.name, target, x.Verdict)
			}
		}
	}
	return g.judge.err
}
