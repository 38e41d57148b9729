package lab

import (
	"math"
	"net/netip"
	"time"

	"ospreyspan/internal/fleet"
)

// coldBudget counts what all proxies together send to cold servers. A server is overloaded
// ("falls") when it gets more than N + 2√N + 2 requests of mean work within fallWithin, or N + 3√N
// + 3 where N is under 30. N is fallMultiple times the server's present capacity in that time. A
// fall violates the rule if over two thirds of the work came from proxies that were told of the
// server's start.
type coldBudget struct {
	fallMultiple float64
	fallWithin   time.Duration
	work         map[string]float64 // of a request, by class, in requests of mean work
	meanWork     float64            // of a request, in seconds of a standard core
	servers      map[string]*coldServer
	Falls        int
	// AllowedRequests and SentRequests are in requests of mean work, counted while clients were
	// being refused: the sum of N over all cold servers, and what these servers got.
	AllowedRequests, SentRequests float64
	lastRefusal                   time.Time // latest time that a client was refused
}

// coldServer is one start of a cold server.
type coldServer struct {
	bornMS int64
	sends  []coldSend // within fallWithin, oldest first
}

type coldSend struct {
	at       time.Time
	work     float64
	informed bool // the sender was told of the start
}

// smallAllowance is the allowance, in requests, under which the bound has a wider margin for
// chance.
const smallAllowance = 30

// maxInformedShare is the largest share of a fall that may come from proxies told of the start.
const maxInformedShare = 2.0 / 3

// coldFall is one overload of a server.
type coldFall struct {
	received, allowed float64 // requests of mean work
	informed          float64 // the part of received that came from informed proxies
}

// breaksRule reports whether the proxies are to blame for the fall.
func (f *coldFall) breaksRule() bool { return f.informed > maxInformedShare*f.received }

// newColdBudget returns the budget of a day. The work of a request is its set-up plus that of its
// messages up to the end of its connection.
func newColdBudget(d *day) *coldBudget {
	b := &coldBudget{
		fallMultiple: d.scenario.Rules.FallMultiple, fallWithin: d.scenario.Rules.FallWithin, work: make(map[string]float64), servers: make(map[string]*coldServer),
	}
	for _, c := range d.classes {
		work := (c.SetUpWork.From+c.SetUpWork.To).Seconds()/2 + d.usualLoad*c.LoadFactor*c.LifeFactor*d.traffic.MeanLife.Seconds()
		b.work[c.Name] = work
		b.meanWork += c.Share * work
	}
	for name := range b.work {
		b.work[name] /= b.meanWork
	}
	return b
}

// meanAllowed returns N, what the settings allow a server within fallWithin.
func (b *coldBudget) meanAllowed(m *fleet.Machine, now time.Time) float64 {
	return b.fallMultiple * m.Capacity(now) * b.fallWithin.Seconds() / b.meanWork
}

// clientsRefused reports whether clients are being refused at present.
func (b *coldBudget) clientsRefused(now time.Time) bool {
	return !b.lastRefusal.IsZero() && now.Sub(b.lastRefusal) < b.fallWithin
}

// countAllowance adds the allowance of a cold server that was available for a while.
func (b *coldBudget) countAllowance(m *fleet.Machine, now time.Time, span time.Duration) {
	if !b.clientsRefused(now) {
		return
	}
	b.AllowedRequests += b.meanAllowed(m, now) * span.Seconds() / b.fallWithin.Seconds()
}

// allowed returns how many requests of mean work a server may get within fallWithin.
func (b *coldBudget) allowed(m *fleet.Machine, now time.Time) float64 {
	n := b.meanAllowed(m, now)
	if n < smallAllowance {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// recordRequest counts a request that goes to a cold server. It returns nil unless the server
// falls.
func (b *coldBudget) recordRequest(now time.Time, server string, bornMS int64, m *fleet.Machine, class string, informed bool) *coldFall {
	s := b.servers[server]
	if s == nil || s.bornMS != bornMS {
		s = &coldServer{bornMS: bornMS}
		b.servers[server] = s
	}
	work, ok := b.work[class]
	if !ok {
		work = 1
	}
	if b.clientsRefused(now) {
		b.SentRequests += work
	}
	s.sends = append(s.sends, coldSend{now, work, informed})
	for now.Sub(s.sends[0].at) > b.fallWithin {
		s.sends = s.sends[1:]
	}
	f := &coldFall{allowed: b.allowed(m, now)}
	for _, send := range s.sends {
		f.received += send.work
		if send.informed {
			f.informed += send.work
		}
	}
	if f.received <= f.allowed {
		return nil
	}
	b.Falls++
	s.sends = nil // later requests count towards another fall
	return f
}

// coldRelay is the state of a relay that checkColdBudget needs.
type coldRelay struct {
	bornMS  int64
	machine *fleet.Machine
}

// checkColdBudget counts a request towards the budget of a relay that is cold.
func (j *judge) checkColdBudget(proxy netip.Addr, name, relay, class string) {
	if j.coldBudget == nil {
		return
	}
	r, ok := j.findColdRelay(relay)
	now := j.world.Now()
	if !ok || r.machine.WarmFraction(now) >= 1 {
		return
	}
	f := j.coldBudget.recordRequest(now, relay, r.bornMS, r.machine, class, j.changeClock.knowsStart(proxy, relay, r.bornMS))
	if f == nil || !f.breaksRule() {
		return
	}
	j.reportViolation("cold-budget", "%s, at %.2f of its capacity, gets %.1f requests of mean work in %v, the last from %s, %.1f from proxies that were told of its start; it bears %.1f",
		relay, r.machine.WarmFraction(now), f.received, j.coldBudget.fallWithin, name, f.informed, f.allowed)
}
