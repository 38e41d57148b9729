package lab

import (
	"fmt"
	"time"
)

// Standing describes connections that relays have held since before the day, and what hinders their
// clients when they ask for these relays again at its start. Times count from the start of the day.
type Standing struct {
	Connections   int           `ini:"connections" min:"0" max:"10000"` // 0: none
	Unlisted      int           `ini:"unlisted" min:"0"`                // relays, the last ones, that the proxies' first list lacks
	ListedAfter   time.Duration `ini:"listed_after"`                    // until discovery lists these
	RelaysAway    time.Duration `ini:"relays_away"`                     // until these can be reached
	DiscoveryDown time.Duration `ini:"discovery_down"`                  // until discovery first answers
}

// standingStart is when the clients ask: the proxies are admitted by then.
const standingStart = 3 * time.Second

// unlisted reports whether the proxies' first list lacks a relay, which is given by its index.
func (s *stage) unlisted(relay int) bool {
	return relay >= s.scenario.Relays.Count-s.scenario.Standing.Unlisted && relay < s.scenario.Relays.Count
}

// scheduleStanding schedules the clients of standing connections, which stand at the unlisted relays
// and at the first one, and what hinders them.
func (s *stage) scheduleStanding() {
	standing := &s.scenario.Standing
	if standing.Connections == 0 {
		return
	}
	var holders []*relayNode
	for i, n := range s.nodes {
		if i == 0 || s.unlisted(i) {
			holders = append(holders, n)
		}
		if s.unlisted(i) && standing.RelaysAway > 0 {
			s.during(0, standing.RelaysAway, n.host.Isolate, n.host.Rejoin)
		}
	}
	if standing.DiscoveryDown > 0 {
		s.during(0, standing.DiscoveryDown, s.discovery.host.Kill, func() { s.recordError(s.startDiscovery()) })
	}
	rng := randomStream(s.seed, "standing")
	for i := range standing.Connections {
		crowd, relay := s.crowds[i%len(s.crowds)], holders[i%len(holders)].plan.id
		s.after(standingStart, func() {
			crowd.post(func() { crowd.crowd.AddStanding(relay, rng) })
		})
	}
}

// RandomStanding generates a scenario that begins with standing connections while the proxies'
// list is old: discovery is down at the start, and again later, or learns late of the relays that
// hold the connections, or these can't be reached. A relay may drain meanwhile.
func RandomStanding(seed uint64) *Scenario {
	d := newDraws(randomStream(seed, "standing"))
	s := defaults()
	s.Kinds, s.Classes = defaultKinds(), defaultClasses()
	s.Name = fmt.Sprintf("standing-%d", seed)
	s.Run.About = "made up: connections stood before the day, and lists are old"
	s.Run.WarmUp, s.Run.Length = d.span(5*time.Second, 8*time.Second).From, d.span(42*time.Second, 46*time.Second).From
	s.Proxies.Count, s.Relays.Count = 1+d.r.IntN(4), 3+d.r.IntN(4)
	s.Traffic.Rate = d.value(1, 4).From
	s.Standing = Standing{Connections: 6 + d.r.IntN(30), Unlisted: 1 + d.r.IntN(2)}
	switch d.r.IntN(3) {
	case 0:
		s.Standing.DiscoveryDown = d.span(4*time.Second, 20*time.Second).From
		s.Faults = append(s.Faults, Fault{Name: "again", Kind: "discovery-down", At: d.span(2*time.Second, 20*time.Second), For: d.span(time.Second, 5*time.Second)})
	case 1:
		s.Standing.ListedAfter = d.span(4*time.Second, 30*time.Second).From
	case 2:
		s.Standing.RelaysAway = d.span(4*time.Second, 30*time.Second).From
	}
	if d.r.IntN(2) == 0 {
		s.Faults = append(s.Faults, Fault{Name: "drain", Kind: "drain", Count: 1, For: d.span(50*time.Second, time.Minute), Away: foreverSpan()})
	}
	return &s
}
