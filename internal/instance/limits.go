package instance

import (
	"fmt"
	"math"
	"time"

	"ospreyspan/internal/mesh"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/shared/evidence"
	"ospreyspan/internal/shared/limit"
)

// Limits are what all proxies of a fleet together may take; all of them must have the same.
type Limits struct {
	Soft     limit.Soft
	List     []limit.Limit
	OnChange func(LimitChange) // told when a limit begins to refuse, and when it ends; may be nil
}

// LimitChange is a limit that began or ended to refuse.
type LimitChange struct {
	Limit            limit.Limit
	Refusing         bool
	InUse, Available int // of this proxy
}

// limits counts what stands here under each limit, and keeps to this process's part of it. What that is, internal/shared/limit
// decides.
type limits struct {
	f      *fleet
	conf   Limits
	list   []*limited
	begun  time.Time
	roster limit.Roster
	duties []string // slices to claim
}

type limited struct {
	limit.Limit
	key           string // of the evidence
	class, tenant int    // indices; anyOf: whichever
	use           int    // connections that stand or are to
	recent        []time.Time
	refused       int // since the last look
	refusing      bool
	gate          limit.Gate
	slices        *limit.Slices
	free          int // that is known, at the last look
}

const anyOf = math.MaxInt

func newLimits(f *fleet, c Limits, conf Config) *limits {
	l := &limits{f: f, conf: c, begun: f.loop.Now()}
	l.conf.Soft.Expect = max(c.Soft.Expect, conf.Settings.Config.Relays)
	for _, x := range c.List {
		li := &limited{Limit: x, key: evidence.LimitKey(x.Name), class: index(x.Class, conf.Settings.Classes), tenant: index(x.Tenant, conf.Settings.Tenants)}
		li.gate = limit.Gate{Soft: l.conf.Soft, Limit: &li.Limit}
		if x.Kind == limit.StrictKind {
			li.slices = limit.NewSlices(&li.Limit, conf.Fleet.Mesh.Session)
		}
		l.list = append(l.list, li)
	}
	f.i.engine.SetLimits(l)
	return l
}

// index finds a name among the settings'; one that they lack limits nobody.
func index(name string, all map[string]int) int {
	if name == "" {
		return anyOf
	}
	if i, ok := all[name]; ok {
		return i
	}
	return -2
}

func (x *limited) covers(class, tenant int) bool {
	return (x.class == anyOf || x.class == class) && (x.tenant == anyOf || x.tenant == tenant)
}

// set changes how much limits hold that go on under their names and kinds. Nobody who stands under a soft one is touched: there is no
// room until enough have left. Of a strict one the slices are smaller at once, and what is beyond them is moved.
func (l *limits) set(list []limit.Limit) {
	for _, to := range list {
		for _, x := range l.list {
			if x.Name == to.Name && x.Kind == to.Kind && x.Slices == to.Slices && to.Check() == nil {
				x.Most = to.Most
			}
		}
	}
	l.yield()
}

// Take is for the engine; see proxy.Limits.
func (l *limits) Take(class, tenant int, refuse bool) (under uint64, ok bool) {
	now := l.f.loop.Now()
	for _, x := range l.list { // all must have room before any is used
		if refuse && x.covers(class, tenant) && !l.room(now, x) {
			x.refused++
			x.gate.Wish(now.Sub(l.begun))
			if !x.refusing {
				x.refusing = true
				l.tell(x)
			}
			return 0, false
		}
	}
	for i, x := range l.list {
		if !x.covers(class, tenant) {
			continue
		}
		under |= 1 << i
		x.use++
		x.recent = append(x.recent, now)
		if x.slices == nil {
			x.gate.Admit(now.Sub(l.begun))
			l.use(now, x)
		}
	}
	return under, true
}

// room tells whether one more may come in.
func (l *limits) room(now time.Time, x *limited) bool {
	if x.slices != nil {
		return x.use < l.capacity(now, x)
	}
	return x.gate.Open()
}

// Release is for the engine; see proxy.Limits.
func (l *limits) Release(under uint64) {
	for i, x := range l.list {
		if under&(1<<i) != 0 {
			x.use--
		}
	}
}

// audit compares what is counted with the engine's exchanges.
func (l *limits) audit() error {
	for i, x := range l.list {
		if n := l.f.i.engine.CountUnderLimit(1 << i); n != x.use {
			return fmt.Errorf("limit %s: %d are counted, %d exchanges are under it", x.Name, x.use, n)
		}
	}
	return nil
}

// counted is what counts under a limit here now.
func (x *limited) counted(now time.Time) int {
	if x.Within == 0 {
		return x.use
	}
	for len(x.recent) > 0 && now.Sub(x.recent[0]) > x.Within {
		x.recent = x.recent[1:]
	}
	return len(x.recent)
}

// use tells the others what is used here.
func (l *limits) use(now time.Time, x *limited) {
	l.f.carrier.Store().Use(now, x.key, x.counted(now), x.gate.Wanted(now.Sub(l.begun)))
}

// capacity is what the slices that are held here allow.
func (l *limits) capacity(now time.Time, x *limited) int {
	n := 0
	for i := range x.Slices {
		if _, ok := l.f.node.HoldsAt(now, x.slices.Duty(i)); ok {
			n += x.slices.Size(i)
		}
	}
	return n
}

// yield moves clients of which the slices are gone: at once, whatever else there is to do.
func (l *limits) yield() {
	now := l.f.loop.Refresh()
	for i, x := range l.list {
		if x.slices == nil {
			continue
		}
		if over := x.use - l.capacity(now, x); over > 0 {
			l.f.i.Count.Yielded += l.f.i.engine.MoveUnderLimit(1<<i, over)
		}
	}
}

// look takes what has come of the others.
func (l *limits) look(now time.Time) {
	var living []limit.Living
	for _, m := range l.f.node.Members() {
		living = append(living, limit.Living{Session: m.Session, Name: m.Name})
	}
	l.roster.Look(now, l.conf.Soft.Hold, living)
	l.duties = l.duties[:0]
	for _, x := range l.list {
		if x.slices == nil {
			l.soften(now, x)
		} else {
			l.slice(now, x)
		}
		if x.refusing && x.refused == 0 && l.room(now, x) {
			x.refusing = false
			l.tell(x)
		}
		x.refused = 0
	}
	l.yield()
	l.f.claim()
}

func (l *limits) soften(now time.Time, x *limited) {
	l.use(now, x)
	known := make(map[uint64]limit.Member)
	l.f.carrier.Store().Uses(now, x.key, func(w evidence.Writer, use, want int, age time.Duration) {
		known[w.Session] = limit.Member{Session: w.Session, Use: use, Want: want, Age: age}
	})
	me := limit.Member{Session: l.f.carrier.Store().Me().Session, Use: x.counted(now), Want: x.gate.Wanted(now.Sub(l.begun))}
	x.free = x.gate.Look(now.Sub(l.begun), me, l.roster.Members(now, me.Session, known))
}

// slice claims slices for what stands here, and one more while clients are refused or the last one is nearly full.
func (l *limits) slice(now time.Time, x *limited) {
	held := func(i int) bool { _, ok := l.f.node.Holds(x.slices.Duty(i)); return ok }
	taken := func(i int) bool { return l.f.node.HasOwner(x.slices.Duty(i)) }
	waiting := min(x.refused, x.slices.Unit()) + 1
	if l.f.leaving {
		waiting = 0
	}
	for _, i := range x.slices.Want(now, x.use, waiting, l.f.lease, held, taken) {
		if len(l.duties) < owner.MostLeases/2 {
			l.duties = append(l.duties, x.slices.Duty(i))
		}
	}
	x.free = l.capacity(now, x) - x.use
}

func (l *limits) tell(x *limited) {
	if l.conf.OnChange != nil {
		l.conf.OnChange(LimitChange{Limit: x.Limit, Refusing: x.refusing, InUse: x.counted(l.f.loop.Now()), Available: x.free})
	}
}

// view tells operators of limits.
func (l *limits) view() []mesh.SharedView {
	now := l.f.loop.Now()
	var all []mesh.SharedView
	for _, x := range l.list {
		state, text := "takes", fmt.Sprintf("%v, %d of all; here %d", x.Kind, x.Most, x.counted(now))
		if x.refusing {
			state = "refuses"
		}
		age, use, heard := time.Duration(0), 0, 0
		if x.slices == nil {
			l.f.carrier.Store().Uses(now, x.key, func(_ evidence.Writer, u, _ int, a time.Duration) {
				if a <= l.conf.Soft.Stale {
					age, use, heard = max(age, a), use+u, heard+1
				}
			})
			text += fmt.Sprintf(", known of %d: %d, room %d; over by no more than came within %v, and by all of it for each further part that is cut off for over %v",
				heard, use, x.free, l.conf.Soft.Stale, l.conf.Soft.Hold)
		} else {
			text += fmt.Sprintf(", slices here for %d; over by 0", l.capacity(now, x))
		}
		all = append(all, mesh.SharedView{Matter: "limit", Name: x.Name, State: state, AgeMS: age.Milliseconds(), Text: text})
	}
	return all
}
