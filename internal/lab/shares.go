package lab

import (
	"fmt"
	"net/netip"
	"time"

	"ospreyspan/internal/duty"
	"ospreyspan/internal/instance"
	"ospreyspan/internal/keeper"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/shared/limit"
	"ospreyspan/internal/shared/verdict"
	"ospreyspan/internal/vnet"
)

const meshPort = 7946

// shares is what a proxy needs that shares work with the others, nil where the scenario has no keepers.
func (s *stage) shares(p *proxyNode) (*instance.FleetConfig, error) {
	n := s.s.Proxies.Keepers
	if n == 0 || s.real != nil {
		return nil, nil
	}
	var at []mesh.KeeperAddress
	self := uint64(0)
	for i := range n {
		site := i % len(s.s.Sites)
		addr := netip.AddrPortFrom(proxyAt(site, i), meshPort)
		at = append(at, mesh.KeeperAddress{ID: uint64(i + 1), Addr: addr})
		if addr.Addr() == p.host.Addr() {
			self = uint64(i + 1)
		}
	}
	m := mesh.Config{
		Cluster: "lab", Name: p.name, Zone: p.site, Listen: netip.AddrPortFrom(p.host.Addr(), meshPort), Session: p.rng.Uint64() | 1,
		Keepers: at, Terms: owner.DefaultTerms(), Duties: s.duties(), Seed: s.seed,
		Seeds: []netip.AddrPort{at[0].Addr, at[1].Addr, at[2].Addr},
	}
	if self != 0 {
		if err := s.keeps(p, &m, self); err != nil {
			return nil, err
		}
	}
	f := &instance.FleetConfig{Mesh: m, SameAddresses: true, MovesPerSecond: s.s.Proxies.PerS}
	if s.s.Proxies.Verdicts {
		v := instance.DefaultVerdictConfig()
		v.OnChange = func(c instance.VerdictChange) { s.judged(p, c) }
		f.Verdicts = &v
	}
	if part := s.s.Proxies.Retries; part > 0 {
		f.Retries = &limit.RetryBudget{Fraction: part, Period: 10 * time.Second, Min: 10}
	}
	if l := s.limit(); l != nil {
		f.Limits = &instance.LimitsConfig{Soft: limit.DefaultSoftConfig(), List: []limit.Limit{*l}}
	}
	return f, nil
}

// limit is what all proxies together may have, nil if that is not limited.
func (s *stage) limit() *limit.Limit {
	most := s.s.Proxies.Limit
	if most == 0 {
		return nil
	}
	if s.slices == 0 {
		s.slices = min(most, 2*s.s.Proxies.Count, limit.MaxSlices)
	}
	l := &limit.Limit{Name: "all", Max: most, Slices: s.slices, Period: s.s.Proxies.LimitWithin}
	if s.s.Proxies.LimitKind == "strict" {
		l.Kind = limit.StrictKind
	}
	return l
}

// relimit has a proxy take another limit, as SIGHUP does; later lives of it start with that.
func (s *stage) relimit(p *proxyNode, most int) {
	s.s.Proxies.Limit = most
	if inst := p.inst; inst != nil {
		list := []limit.Limit{*s.limit()}
		list[0].Slices = s.slices
		inst.SetLimits(list)
	}
}

// standing is how many connections the relays hold, by their own count.
func (s *stage) standing() int {
	n := 0
	for _, r := range s.nodes {
		if r.relay != nil {
			n += r.relay.Standing()
		}
	}
	return n
}

// watchLimit looks at the relays' count ten times a second.
func (s *stage) watchLimit() {
	if s.s.Proxies.Limit == 0 || time.Duration(s.looked)*100*time.Millisecond >= s.s.Run.WarmUp+s.s.Run.Length {
		return
	}
	s.after(100*time.Millisecond, s.watchLimit)
	s.shared.Last = s.standing()
	s.shared.Standing = max(s.shared.Standing, s.shared.Last)
	if s.looked++; time.Duration(s.looked)*100*time.Millisecond > s.s.Run.WarmUp {
		s.shared.Held += float64(s.standing()) / 10
	}
}

func (s *stage) duties() []string {
	if len(s.s.Proxies.Duties) == 0 {
		return []string{duty.Discovery}
	}
	return s.s.Proxies.Duties
}

func proxyAt(site, i int) netip.Addr { return at(site, atProxy, i) }

// keeps gives a proxy its keeper, with a disk that outlives it.
func (s *stage) keeps(p *proxyNode, m *mesh.Config, self uint64) error {
	d := p.virtual().Disk("keeper")
	if len(d.Contents()) == 0 {
		d.SetFaults(vnet.DiskFaults{Delay: 1e6, Jitter: 4e6, Torn: 0.7, Scrambled: 0.3})
		d.SetContents(keeper.InitialRecord(p.rng.Uint64() | 1))
	}
	log, err := keeper.Restore(d.Contents())
	if err != nil {
		return err
	}
	d.Truncate(log.ValidBytes)
	k := keeper.DefaultConfig()
	k.ID, k.Terms, k.Seed = self, m.Terms, s.seed
	for _, a := range m.Keepers {
		k.Voters = append(k.Voters, a.ID)
	}
	m.Keeper, m.RestoredLog, m.Disk = &k, log, d
	return nil
}

// judged takes a verdict that a proxy has come to, and counts those against relays to which nothing had happened.
func (s *stage) judged(p *proxyNode, c instance.VerdictChange) {
	if !c.Unhealthy() || c.Previous.Unhealthy() {
		return
	}
	for _, n := range s.nodes {
		if n.plan.id == c.Target && s.now().Sub(n.trouble) > falseAfter && !(c.Verdict == verdict.Slow && n.wasBehind(s.now())) {
			s.shared.False++
			if s.o.Log != nil {
				fmt.Fprintf(s.o.Log, "%v %s: without a cause: %s is %v, was %v, age %v, %d witnesses, %d against\n",
					s.world.Elapsed(), p.name, c.Target, c.Verdict, c.Previous, c.Age, c.Witnesses, c.Opposing)
			}
		}
	}
}

// wasBehind tells whether the relay was really slow of late, for more clients than it can take.
func (n *relayNode) wasBehind(now time.Time) bool {
	return n.relay != nil && !n.relay.Behind().IsZero() && now.Sub(n.relay.Behind()) <= falseAfter
}

// falseAfter is how long after the end of a relay's trouble a verdict against it still rests on that.
const falseAfter = 6 * time.Second

// Shared is what the proxies' conversation cost, of all of them together.
type Shared struct {
	Datagrams uint64 `json:"datagrams"` // sent
	Bytes     uint64 `json:"bytes"`     // of them
	Words     uint64 `json:"words"`     // of owners, taken
	Refused   uint64 `json:"refused"`   // of former owners
	False     int    `json:"false"`     // verdicts against relays to which nothing had happened

	Standing int     `json:"standing"` // most connections at a time, by the relays' count; where there is a limit
	Last     int     `json:"standing_last"`
	Held     float64 `json:"held_s"` // seconds of connections that counted, likewise
}

func (s *Shared) add(n *mesh.Node) {
	if n != nil {
		s.Datagrams += n.Counters.Sent
		s.Bytes += n.Counters.BytesSent
		s.Words += n.Counters.AnnouncementsAccepted
		s.Refused += n.Counters.AnnouncementsStale
	}
}

func (s *stage) meshEnded(i *instance.Instance) { s.shared.add(i.Node()) }
