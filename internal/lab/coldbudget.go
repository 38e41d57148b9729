package lab

import (
	"math"
	"net/netip"
	"time"

	"ospreyspan/internal/fleet"
)

// coldBudget counts what all proxies together send to servers that are cold. A server falls when it gets more than
// N + 2√N + 2 requests of mean work within the settings' time (N + 3√N + 3 where N is under 30), N being what the settings allow it
// then: their multiple of its present capacity in that time. A fall breaks the rule if over two thirds of it came from proxies that were told of the start.
type coldBudget struct {
	multiple float64
	within   time.Duration
	work     map[string]float64 // of a request, by class, in mean requests
	mean     float64            // work of a mean request, in seconds of a standard core
	servers  map[string]*coldServer
	Falls    int
	// While clients were refused: requests of mean work that the settings allowed all cold servers, by the mean of N, and what they got.
	Room, Used float64
	refused    time.Time // a client was refused last
}

// coldServer is one life of a cold server.
type coldServer struct {
	bornMS int64
	sends  []coldSend // within the settings' time, oldest first
}

type coldSend struct {
	at   time.Time
	work float64
	told bool // the sender was told of the start
}

// fewCalls is the number of requests under which chance is given more room.
const fewCalls = 30

// toldPart is the part of a fall that proxies which were told of the start may have sent at the most.
const toldPart = 2.0 / 3

// coldFall is one server's fall.
type coldFall struct {
	got, allowed float64 // requests of mean work
	told         float64 // of got
}

// broken tells whether the proxies are to blame for the fall.
func (f *coldFall) broken() bool { return f.told > toldPart*f.got }

// newColdBudget returns the count of a day. The work of a request is what setting it up costs and, as it stands for long, what its
// messages do up to its end.
func newColdBudget(d *day) *coldBudget {
	b := &coldBudget{
		multiple: d.s.Rules.FallMultiple, within: d.s.Rules.FallWithin, work: make(map[string]float64), servers: make(map[string]*coldServer),
	}
	for _, c := range d.classes {
		w := (c.SetUpWork.From+c.SetUpWork.To).Seconds()/2 + d.usual*c.LoadFactor*c.LifeFactor*d.traffic.MeanLife.Seconds()
		b.work[c.Name] = w
		b.mean += c.Share * w
	}
	for name := range b.work {
		b.work[name] /= b.mean
	}
	return b
}

// meanAllowed is N: what the settings allow a server within their time.
func (b *coldBudget) meanAllowed(m *fleet.Machine, now time.Time) float64 {
	return b.multiple * m.Capacity(now) * b.within.Seconds() / b.mean
}

// lacks tells whether clients are being refused.
func (b *coldBudget) lacks(now time.Time) bool {
	return !b.refused.IsZero() && now.Sub(b.refused) < b.within
}

// runs takes down that a server was cold, and could be sent requests, for a while.
func (b *coldBudget) runs(m *fleet.Machine, now time.Time, span time.Duration) {
	if !b.lacks(now) {
		return
	}
	b.Room += b.meanAllowed(m, now) * span.Seconds() / b.within.Seconds()
}

// allowed is how many requests of mean work a server may get within the settings' time.
func (b *coldBudget) allowed(m *fleet.Machine, now time.Time) float64 {
	n := b.meanAllowed(m, now)
	if n < fewCalls {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// sent counts a request that goes to a cold server; nil: the server stands.
func (b *coldBudget) sent(now time.Time, server string, bornMS int64, m *fleet.Machine, class string, told bool) *coldFall {
	s := b.servers[server]
	if s == nil || s.bornMS != bornMS {
		s = &coldServer{bornMS: bornMS}
		b.servers[server] = s
	}
	work, ok := b.work[class]
	if !ok {
		work = 1
	}
	if b.lacks(now) {
		b.Used += work
	}
	s.sends = append(s.sends, coldSend{now, work, told})
	for now.Sub(s.sends[0].at) > b.within {
		s.sends = s.sends[1:]
	}
	f := &coldFall{allowed: b.allowed(m, now)}
	for _, x := range s.sends {
		f.got += x.work
		if x.told {
			f.told += x.work
		}
	}
	if f.got <= f.allowed {
		return nil
	}
	b.Falls++
	s.sends = nil // what comes after is another fall
	return f
}

// coldRelay is a relay as the judge needs it for the budget.
type coldRelay struct {
	bornMS  int64
	machine *fleet.Machine
}

// judgeCold counts a request for the budget of a relay that is cold.
func (j *judge) judgeCold(proxy netip.Addr, name, relay, class string) {
	if j.cold == nil {
		return
	}
	r, ok := j.relay(relay)
	now := j.world.Now()
	if !ok || r.machine.WarmFraction(now) >= 1 {
		return
	}
	f := j.cold.sent(now, relay, r.bornMS, r.machine, class, j.clock.knowsStart(proxy, relay, r.bornMS))
	if f == nil || !f.broken() {
		return
	}
	j.broken("cold-budget", "%s, at %.2f of its capacity, gets %.1f requests of mean work in %v, the last from %s, %.1f from proxies that were told of its start; it bears %.1f",
		relay, r.machine.WarmFraction(now), f.got, j.cold.within, name, f.told, f.allowed)
}
