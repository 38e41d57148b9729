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

// Limits configures the limits on what all proxies of a fleet together may take. All proxies must
// have the same ones.
type Limits struct {
	Soft     limit.Soft
	List     []limit.Limit
	OnChange func(LimitChange) // called when a limit begins or ceases to refuse; may be nil
}

// LimitChange reports that a limit began or ceased to refuse.
type LimitChange struct {
	Limit            limit.Limit
	Refusing         bool
	InUse, Available int // of this proxy
}

// limits counts the connections of this process under each limit and keeps them within the
// process's part. Package internal/shared/limit decides how large that part is.
type limits struct {
	fleet       *fleet
	config      Limits
	states      []*limitState
	startedAt   time.Time
	roster      limit.Roster
	sliceDuties []string // slices of strict limits to claim
}

type limitState struct {
	limit.Limit
	key              string      // key of the published evidence
	class, tenant    int         // indices in the settings; anyIndex: all
	inUse            int         // connections that are open or being opened
	admittedAt       []time.Time // times of admissions, of which those within Within count
	refusedSinceTick int         // clients refused since the last tick
	refusing         bool
	gate             limit.Gate
	slices           *limit.Slices
	available        int // known at the last tick
}

const anyIndex = math.MaxInt

func newLimits(f *fleet, c Limits, conf Config) *limits {
	l := &limits{fleet: f, config: c, startedAt: f.loop.Now()}
	l.config.Soft.Expect = max(c.Soft.Expect, conf.Settings.Config.Relays)
	for _, x := range c.List {
		li := &limitState{Limit: x, key: evidence.LimitKey(x.Name), class: settingsIndex(x.Class, conf.Settings.Classes), tenant: settingsIndex(x.Tenant, conf.Settings.Tenants)}
		li.gate = limit.Gate{Soft: l.config.Soft, Limit: &li.Limit}
		if x.Kind == limit.StrictKind {
			li.slices = limit.NewSlices(&li.Limit, conf.Fleet.Mesh.Session)
		}
		l.states = append(l.states, li)
	}
	f.instance.engine.SetLimits(l)
	return l
}

// settingsIndex returns the index of a name in the settings. A name that the settings do not
// contain gives an index that matches no client.
func settingsIndex(name string, all map[string]int) int {
	if name == "" {
		return anyIndex
	}
	if i, ok := all[name]; ok {
		return i
	}
	return -2
}

func (x *limitState) covers(class, tenant int) bool {
	return (x.class == anyIndex || x.class == class) && (x.tenant == anyIndex || x.tenant == tenant)
}

// set changes the sizes of limits whose name, kind and number of slices stay the same. A soft limit
// that shrinks affects no existing client: it admits nobody until enough clients have left. The
// slices of a strict limit shrink at once, and the clients beyond them are moved.
func (l *limits) set(list []limit.Limit) {
	for _, to := range list {
		for _, x := range l.states {
			if x.Name == to.Name && x.Kind == to.Kind && x.Slices == to.Slices && to.Check() == nil {
				x.Most = to.Most
			}
		}
	}
	l.moveExcess()
}

// Take implements proxy.Limits.
func (l *limits) Take(class, tenant int, refuse bool) (under uint64, ok bool) {
	now := l.fleet.loop.Now()
	for _, x := range l.states { // all limits must have room before any is taken
		if refuse && x.covers(class, tenant) && !l.hasRoom(now, x) {
			x.refusedSinceTick++
			x.gate.Wish(now.Sub(l.startedAt))
			if !x.refusing {
				x.refusing = true
				l.notifyChange(x)
			}
			return 0, false
		}
	}
	for i, x := range l.states {
		if !x.covers(class, tenant) {
			continue
		}
		under |= 1 << i
		x.inUse++
		x.admittedAt = append(x.admittedAt, now)
		if x.slices == nil {
			x.gate.Admit(now.Sub(l.startedAt))
			l.publishUse(now, x)
		}
	}
	return under, true
}

// hasRoom reports whether the limit admits one more client.
func (l *limits) hasRoom(now time.Time, x *limitState) bool {
	if x.slices != nil {
		return x.inUse < l.capacity(now, x)
	}
	return x.gate.Open()
}

// Release implements proxy.Limits.
func (l *limits) Release(under uint64) {
	for i, x := range l.states {
		if under&(1<<i) != 0 {
			x.inUse--
		}
	}
}

// audit compares the counts with the engine's exchanges.
func (l *limits) audit() error {
	for i, x := range l.states {
		if n := l.fleet.instance.engine.CountUnderLimit(1 << i); n != x.inUse {
			return fmt.Errorf("limit %s: counted %d connections, engine has %d exchanges under it", x.Name, x.inUse, n)
		}
	}
	return nil
}

// currentUse returns the number of connections, or of recent admissions, that count under the limit
// in this process now.
func (x *limitState) currentUse(now time.Time) int {
	if x.Within == 0 {
		return x.inUse
	}
	for len(x.admittedAt) > 0 && now.Sub(x.admittedAt[0]) > x.Within {
		x.admittedAt = x.admittedAt[1:]
	}
	return len(x.admittedAt)
}

// publishUse publishes this process's use of a limit to the other processes.
func (l *limits) publishUse(now time.Time, x *limitState) {
	l.fleet.carrier.Store().Use(now, x.key, x.currentUse(now), x.gate.Wanted(now.Sub(l.startedAt)))
}

// capacity returns the sum of the sizes of the slices that this process holds.
func (l *limits) capacity(now time.Time, x *limitState) int {
	n := 0
	for i := range x.Slices {
		if _, ok := l.fleet.node.HoldsAt(now, x.slices.Duty(i)); ok {
			n += x.slices.Size(i)
		}
	}
	return n
}

// moveExcess moves clients whose slices are lost, at once and before anything else.
func (l *limits) moveExcess() {
	now := l.fleet.loop.RefreshNow()
	for i, x := range l.states {
		if x.slices == nil {
			continue
		}
		if over := x.inUse - l.capacity(now, x); over > 0 {
			l.fleet.instance.Count.Yielded += l.fleet.instance.engine.MoveUnderLimit(1<<i, over)
		}
	}
}

// tick evaluates what the other processes have published.
func (l *limits) tick(now time.Time) {
	var living []limit.Living
	for _, m := range l.fleet.node.Members() {
		living = append(living, limit.Living{Session: m.Session, Name: m.Name})
	}
	l.roster.Look(now, l.config.Soft.Hold, living)
	l.sliceDuties = l.sliceDuties[:0]
	for _, x := range l.states {
		if x.slices == nil {
			l.tickSoft(now, x)
		} else {
			l.tickStrict(now, x)
		}
		if x.refusing && x.refusedSinceTick == 0 && l.hasRoom(now, x) {
			x.refusing = false
			l.notifyChange(x)
		}
		x.refusedSinceTick = 0
	}
	l.moveExcess()
	l.fleet.claimDuties()
}

func (l *limits) tickSoft(now time.Time, x *limitState) {
	l.publishUse(now, x)
	known := make(map[uint64]limit.Member)
	l.fleet.carrier.Store().Uses(now, x.key, func(w evidence.Writer, use, want int, age time.Duration) {
		known[w.Session] = limit.Member{Session: w.Session, Use: use, Want: want, Age: age}
	})
	me := limit.Member{Session: l.fleet.carrier.Store().Me().Session, Use: x.currentUse(now), Want: x.gate.Wanted(now.Sub(l.startedAt))}
	x.available = x.gate.Look(now.Sub(l.startedAt), me, l.roster.Members(now, me.Session, known))
}

// tickStrict claims slices for the existing connections, and one more while clients are refused or
// the last slice is nearly full.
func (l *limits) tickStrict(now time.Time, x *limitState) {
	held := func(i int) bool { _, ok := l.fleet.node.Holds(x.slices.Duty(i)); return ok }
	taken := func(i int) bool { return l.fleet.node.HasOwner(x.slices.Duty(i)) }
	wanted := min(x.refusedSinceTick, x.slices.Unit()) + 1
	if l.fleet.draining {
		wanted = 0
	}
	for _, i := range x.slices.Want(now, x.inUse, wanted, l.fleet.lease, held, taken) {
		if len(l.sliceDuties) < owner.MostLeases/2 {
			l.sliceDuties = append(l.sliceDuties, x.slices.Duty(i))
		}
	}
	x.available = l.capacity(now, x) - x.inUse
}

func (l *limits) notifyChange(x *limitState) {
	if l.config.OnChange != nil {
		l.config.OnChange(LimitChange{Limit: x.Limit, Refusing: x.refusing, InUse: x.currentUse(l.fleet.loop.Now()), Available: x.available})
	}
}

// view returns the state of the limits for operators.
func (l *limits) view() []mesh.SharedView {
	now := l.fleet.loop.Now()
	var all []mesh.SharedView
	for _, x := range l.states {
		state, text := "takes", fmt.Sprintf("%v limit of %d for all proxies, %d used here", x.Kind, x.Most, x.currentUse(now))
		if x.refusing {
			state = "refuses"
		}
		age, use, heard := time.Duration(0), 0, 0
		if x.slices == nil {
			l.fleet.carrier.Store().Uses(now, x.key, func(_ evidence.Writer, u, _ int, a time.Duration) {
				if a <= l.config.Soft.Stale {
					age, use, heard = max(age, a), use+u, heard+1
				}
			})
			text += fmt.Sprintf(", %d processes heard use %d, room for %d; exceeded at most by the admissions within %v, and by the whole limit for each further partition that is cut off for over %v",
				heard, use, x.available, l.config.Soft.Stale, l.config.Soft.Hold)
		} else {
			text += fmt.Sprintf(", slices held here for %d; exceeded by 0", l.capacity(now, x))
		}
		all = append(all, mesh.SharedView{Matter: "limit", Name: x.Name, State: state, AgeMS: age.Milliseconds(), Text: text})
	}
	return all
}
