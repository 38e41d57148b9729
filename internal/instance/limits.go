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

// LimitsConfig configures the limits on what all proxies of a fleet together may take. All proxies
// must have the same ones.
type LimitsConfig struct {
	Soft     limit.SoftConfig
	List     []limit.Limit
	OnChange func(LimitChange) // called when a limit begins or ceases to refuse; may be nil
}

// LimitChange reports that a limit began or ceased to refuse.
type LimitChange struct {
	Limit     limit.Limit
	Refusing  bool
	InUse     int // connections of this proxy, or its admissions within Limit.Period if that is set
	Available int // known to be free at the last tick, see limitState.available; 0 or less: nothing
}

// limits counts the connections of this process under each limit and keeps them within the
// process's part. Package internal/shared/limit decides how large that part is.
type limits struct {
	fleet       *fleet
	config      LimitsConfig
	states      []*limitState
	startedAt   time.Time
	roster      limit.Roster
	sliceDuties []string // slices of strict limits to claim
}

type limitState struct {
	limit.Limit
	key string // key of the published evidence
	// class and tenant are indices in the settings. anyIndex: all; -2: none. Clients without a
	// tenant have index -1, so that only a limit for all tenants covers them.
	class, tenant    int
	inUse            int         // connections that are open or being opened
	admittedAt       []time.Time // times of admissions, of which those within Period count
	refusedSinceTick int         // clients refused since the last tick
	refusing         bool
	gate             limit.Gate
	slices           *limit.Slices
	// available is what was known to be free at the last tick, in connections (or in admissions
	// within Period): of a soft limit in the whole fleet, 0 or more; of a strict one in the slices
	// of this process, below 0 if clients beyond them have still to move. It is 0 before the first
	// tick.
	available int
}

const anyIndex = math.MaxInt

func newLimits(f *fleet, c LimitsConfig, proxyConfig Config) *limits {
	l := &limits{fleet: f, config: c, startedAt: f.loop.Now()}
	l.config.Soft.ExpectedMembers = max(c.Soft.ExpectedMembers, proxyConfig.Settings.Config.Relays)
	for _, lim := range c.List {
		state := &limitState{Limit: lim, key: evidence.LimitKey(lim.Name), class: settingsIndex(lim.Class, proxyConfig.Settings.Classes), tenant: settingsIndex(lim.Tenant, proxyConfig.Settings.Tenants)}
		state.gate = limit.Gate{SoftConfig: l.config.Soft, Limit: &state.Limit}
		if lim.Kind == limit.StrictKind {
			state.slices = limit.NewSlices(&state.Limit, proxyConfig.Fleet.Mesh.Session)
		}
		l.states = append(l.states, state)
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
	return -2 // unknown: no client has this index; proxy uses 0 and more, and -1 for no tenant
}

func (lim *limitState) covers(class, tenant int) bool {
	return (lim.class == anyIndex || lim.class == class) && (lim.tenant == anyIndex || lim.tenant == tenant)
}

// set changes the sizes of limits whose name, kind and number of slices stay the same. A soft limit
// that shrinks affects no existing client: it admits nobody until enough clients have left. The
// slices of a strict limit shrink at once, and the clients beyond them are moved.
func (l *limits) set(list []limit.Limit) {
	for _, to := range list {
		for _, lim := range l.states {
			if lim.Name == to.Name && lim.Kind == to.Kind && lim.SliceCount == to.SliceCount && to.Check() == nil {
				lim.Max = to.Max
			}
		}
	}
	l.moveExcess()
}

// Acquire implements proxy.Limits.
func (l *limits) Acquire(class, tenant int, refuse bool) (limitBits uint64, ok bool) {
	now := l.fleet.loop.Now()
	for _, lim := range l.states { // all limits must have room before any is taken
		if refuse && lim.covers(class, tenant) && !l.hasRoom(now, lim) {
			lim.refusedSinceTick++
			lim.gate.RecordRefused(now.Sub(l.startedAt))
			if !lim.refusing {
				lim.refusing = true
				l.notifyChange(lim)
			}
			return 0, false
		}
	}
	for i, lim := range l.states {
		if !lim.covers(class, tenant) {
			continue
		}
		limitBits |= 1 << i
		lim.inUse++
		lim.admittedAt = append(lim.admittedAt, now)
		if lim.slices == nil {
			lim.gate.Admit(now.Sub(l.startedAt))
			l.publishUse(now, lim)
		}
	}
	return limitBits, true
}

// hasRoom reports whether the limit admits one more client.
func (l *limits) hasRoom(now time.Time, lim *limitState) bool {
	if lim.slices != nil {
		return lim.inUse < l.capacity(now, lim)
	}
	return lim.gate.HasRoom()
}

// Release implements proxy.Limits.
func (l *limits) Release(limitBits uint64) {
	for i, lim := range l.states {
		if limitBits&(1<<i) != 0 {
			lim.inUse--
		}
	}
}

// audit compares the counts with the engine's exchanges.
func (l *limits) audit() error {
	for i, lim := range l.states {
		if n := l.fleet.instance.engine.CountUnderLimit(1 << i); n != lim.inUse {
			return fmt.Errorf("limit %s: counted %d connections, engine has %d exchanges under it", lim.Name, lim.inUse, n)
		}
	}
	return nil
}

// currentUse returns the number of connections, or of recent admissions, that count under the limit
// in this process now.
func (lim *limitState) currentUse(now time.Time) int {
	if lim.Period == 0 {
		return lim.inUse
	}
	for len(lim.admittedAt) > 0 && now.Sub(lim.admittedAt[0]) > lim.Period {
		lim.admittedAt = lim.admittedAt[1:]
	}
	return len(lim.admittedAt)
}

// publishUse publishes this process's use of a limit to the other processes.
func (l *limits) publishUse(now time.Time, lim *limitState) {
	l.fleet.carrier.Store().RecordUse(now, lim.key, lim.currentUse(now), lim.gate.RecentDemand(now.Sub(l.startedAt)))
}

// capacity returns the sum of the sizes of the slices that this process holds.
func (l *limits) capacity(now time.Time, lim *limitState) int {
	n := 0
	for i := range lim.SliceCount {
		if _, ok := l.fleet.node.HoldsAt(now, lim.slices.DutyName(i)); ok {
			n += lim.slices.Size(i)
		}
	}
	return n
}

// moveExcess moves clients whose slices are lost, at once and before anything else.
func (l *limits) moveExcess() {
	now := l.fleet.loop.RefreshNow()
	for i, lim := range l.states {
		if lim.slices == nil {
			continue
		}
		if over := lim.inUse - l.capacity(now, lim); over > 0 {
			l.fleet.instance.Count.Yielded += l.fleet.instance.engine.MoveUnderLimit(1<<i, over)
		}
	}
}

// tick evaluates what the other processes have published.
func (l *limits) tick(now time.Time) {
	var living []limit.LiveProcess
	for _, m := range l.fleet.node.Members() {
		living = append(living, limit.LiveProcess{Session: m.Session, Name: m.Name})
	}
	l.roster.Update(now, l.config.Soft.DeadHold, living)
	l.sliceDuties = l.sliceDuties[:0]
	for _, lim := range l.states {
		if lim.slices == nil {
			l.tickSoft(now, lim)
		} else {
			l.tickStrict(now, lim)
		}
		if lim.refusing && lim.refusedSinceTick == 0 && l.hasRoom(now, lim) {
			lim.refusing = false
			l.notifyChange(lim)
		}
		lim.refusedSinceTick = 0
	}
	l.moveExcess()
	l.fleet.claimDuties()
}

func (l *limits) tickSoft(now time.Time, lim *limitState) {
	l.publishUse(now, lim)
	known := make(map[uint64]limit.Member)
	l.fleet.carrier.Store().EachUse(now, lim.key, func(w evidence.Writer, use, want int, age time.Duration) {
		known[w.Session] = limit.Member{Session: w.Session, Use: use, Want: want, Age: age}
	})
	me := limit.Member{Session: l.fleet.carrier.Store().Self().Session, Use: lim.currentUse(now), Want: lim.gate.RecentDemand(now.Sub(l.startedAt))}
	lim.available = lim.gate.Update(now.Sub(l.startedAt), me, l.roster.Members(now, me.Session, known))
}

// tickStrict claims slices for the existing connections, and one more while clients are refused or
// the last slice is nearly full.
func (l *limits) tickStrict(now time.Time, lim *limitState) {
	held := func(i int) bool { _, ok := l.fleet.node.Holds(lim.slices.DutyName(i)); return ok }
	taken := func(i int) bool { return l.fleet.node.HasOwner(lim.slices.DutyName(i)) }
	wanted := min(lim.refusedSinceTick, lim.slices.MinSize()) + 1
	if l.fleet.draining {
		wanted = 0
	}
	for _, i := range lim.slices.Claims(now, lim.inUse, wanted, l.fleet.leaseDuration, held, taken) {
		if len(l.sliceDuties) < owner.MaxLeases/2 {
			l.sliceDuties = append(l.sliceDuties, lim.slices.DutyName(i))
		}
	}
	lim.available = l.capacity(now, lim) - lim.inUse
}

func (l *limits) notifyChange(lim *limitState) {
	if l.config.OnChange != nil {
		l.config.OnChange(LimitChange{Limit: lim.Limit, Refusing: lim.refusing, InUse: lim.currentUse(l.fleet.loop.Now()), Available: lim.available})
	}
}

// view returns the state of the limits for operators.
func (l *limits) view() []mesh.SharedView {
	now := l.fleet.loop.Now()
	var all []mesh.SharedView
	for _, lim := range l.states {
		state, text := "takes", fmt.Sprintf("%v limit of %d for all proxies, %d used here", lim.Kind, lim.Max, lim.currentUse(now))
		if lim.refusing {
			state = "refuses"
		}
		age, use, heard := time.Duration(0), 0, 0
		if lim.slices == nil {
			l.fleet.carrier.Store().EachUse(now, lim.key, func(_ evidence.Writer, u, _ int, a time.Duration) {
				if a <= l.config.Soft.StaleAfter {
					age, use, heard = max(age, a), use+u, heard+1
				}
			})
			text += fmt.Sprintf(", %d processes heard use %d, room for %d; exceeded at most by the admissions within %v, and by the whole limit for each further partition that is cut off for over %v",
				heard, use, lim.available, l.config.Soft.StaleAfter, l.config.Soft.DeadHold)
		} else {
			text += fmt.Sprintf(", slices held here for %d; exceeded by 0", l.capacity(now, lim))
		}
		all = append(all, mesh.SharedView{Topic: "limit", Name: lim.Name, State: state, AgeMS: age.Milliseconds(), Text: text})
	}
	return all
}
