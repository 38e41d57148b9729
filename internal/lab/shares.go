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

const meshPort = 7946 // UDP port of the mesh on each proxy

// fleetConfig returns the configuration of a proxy that cooperates with the others, or nil if the
// scenario has no keepers or runs on real sockets.
func (s *stage) fleetConfig(p *proxyNode) (*instance.FleetConfig, error) {
	keeperCount := s.scenario.Proxies.Keepers
	if keeperCount == 0 || s.real != nil {
		return nil, nil
	}
	var keepers []mesh.KeeperAddress
	self := uint64(0)
	for i := range keeperCount {
		site := i % len(s.scenario.Sites)
		addr := netip.AddrPortFrom(proxyAddr(site, i), meshPort)
		keepers = append(keepers, mesh.KeeperAddress{ID: uint64(i + 1), Addr: addr})
		if addr.Addr() == p.host.Addr() {
			self = uint64(i + 1)
		}
	}
	m := mesh.Config{
		Cluster: "lab", Name: p.name, Zone: p.site, Listen: netip.AddrPortFrom(p.host.Addr(), meshPort), Session: p.seedSource.Uint64() | 1,
		Keepers: keepers, Terms: owner.DefaultTerms(), Duties: s.duties(), Seed: s.seed,
		Seeds: []netip.AddrPort{keepers[0].Addr, keepers[1].Addr, keepers[2].Addr},
	}
	if self != 0 {
		if err := s.configureKeeper(p, &m, self); err != nil {
			return nil, err
		}
	}
	f := &instance.FleetConfig{Mesh: m, SameAddresses: true, MovesPerSecond: s.scenario.Proxies.MovesPerSecond}
	if s.scenario.Proxies.Verdicts {
		v := instance.DefaultVerdictConfig()
		v.OnChange = func(c instance.VerdictChange) { s.recordVerdict(p, c) }
		f.Verdicts = &v
	}
	if fraction := s.scenario.Proxies.Retries; fraction > 0 {
		f.Retries = &limit.RetryBudget{Fraction: fraction, Period: 10 * time.Second, Min: 10}
	}
	if l := s.limit(); l != nil {
		f.Limits = &instance.LimitsConfig{Soft: limit.DefaultSoftConfig(), List: []limit.Limit{*l}}
	}
	return f, nil
}

// limit returns the limit of connections that all proxies share, or nil if the scenario has none.
func (s *stage) limit() *limit.Limit {
	maximum := s.scenario.Proxies.Limit
	if maximum == 0 {
		return nil
	}
	if s.limitSlices == 0 {
		s.limitSlices = min(maximum, 2*s.scenario.Proxies.Count, limit.MaxSlices)
	}
	l := &limit.Limit{Name: "all", Max: maximum, SliceCount: s.limitSlices, Period: s.scenario.Proxies.LimitWithin}
	if s.scenario.Proxies.LimitKind == "strict" {
		l.Kind = limit.StrictKind
	}
	return l
}

// setLimit changes the shared limit of a proxy, as a reload on SIGHUP does. A proxy that is started
// later begins with the new limit.
func (s *stage) setLimit(p *proxyNode, maximum int) {
	s.scenario.Proxies.Limit = maximum
	if inst := p.inst; inst != nil {
		list := []limit.Limit{*s.limit()}
		list[0].SliceCount = s.limitSlices
		inst.SetLimits(list)
	}
}

// openConnections returns the number of connections that the relays hold, by their own count.
func (s *stage) openConnections() int {
	n := 0
	for _, r := range s.nodes {
		if r.relay != nil {
			n += r.relay.ConnectionCount()
		}
	}
	return n
}

// sampleConnections samples the relays' count of connections ten times per second, if there is a
// limit.
func (s *stage) sampleConnections() {
	if s.scenario.Proxies.Limit == 0 || time.Duration(s.limitChecks)*100*time.Millisecond >= s.scenario.Run.WarmUp+s.scenario.Run.Length {
		return
	}
	s.after(100*time.Millisecond, s.sampleConnections)
	s.shared.LastConnections = s.openConnections()
	s.shared.PeakConnections = max(s.shared.PeakConnections, s.shared.LastConnections)
	if s.limitChecks++; time.Duration(s.limitChecks)*100*time.Millisecond > s.scenario.Run.WarmUp {
		s.shared.ConnectionSeconds += float64(s.openConnections()) / 10
	}
}

func (s *stage) duties() []string {
	if len(s.scenario.Proxies.Duties) == 0 {
		return []string{duty.Discovery}
	}
	return s.scenario.Proxies.Duties
}

func proxyAddr(site, i int) netip.Addr { return machineAddr(site, addrProxy, i) }

// configureKeeper gives a proxy its keeper, with a disk whose contents survive restarts of the
// proxy.
func (s *stage) configureKeeper(p *proxyNode, m *mesh.Config, self uint64) error {
	d := p.vnetHost().Disk("keeper")
	if len(d.Contents()) == 0 {
		d.SetFaults(vnet.DiskFaults{Delay: 1e6, Jitter: 4e6, Torn: 0.7, Scrambled: 0.3})
		d.SetContents(keeper.InitialRecord(p.seedSource.Uint64() | 1))
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

// recordVerdict takes a verdict that a proxy has reached. It counts the verdict as false if the
// relay had no fault and was not overloaded within the last faultGracePeriod.
func (s *stage) recordVerdict(p *proxyNode, c instance.VerdictChange) {
	if !c.Unhealthy() || c.Previous.Unhealthy() {
		return
	}
	for _, n := range s.nodes {
		if n.plan.id == c.Target && s.now().Sub(n.faultUntil) > faultGracePeriod && !(c.Verdict == verdict.Slow && n.wasOverloaded(s.now())) {
			s.shared.FalseVerdicts++
			if s.options.Log != nil {
				fmt.Fprintf(s.options.Log, "%v %s: false verdict: %s is %v, was %v, age %v, %d witnesses, %d against\n",
					s.world.Elapsed(), p.name, c.Target, c.Verdict, c.Previous, c.Age, c.Witnesses, c.Opposing)
			}
		}
	}
}

// wasOverloaded reports whether the relay was slow within the last faultGracePeriod because it had
// more clients than its capacity allows.
func (n *relayNode) wasOverloaded(now time.Time) bool {
	return n.relay != nil && !n.relay.LastSlowSetUp().IsZero() && now.Sub(n.relay.LastSlowSetUp()) <= faultGracePeriod
}

// faultGracePeriod is the time after the end of a relay's fault during which a verdict against the
// relay still counts as justified.
const faultGracePeriod = 6 * time.Second

// SharedStats holds the cost and the results of the cooperation of all proxies together.
type SharedStats struct {
	Datagrams          uint64 `json:"datagrams"` // datagrams that proxies sent to each other
	Bytes              uint64 `json:"bytes"`     // bytes of these datagrams
	Announcements      uint64 `json:"words"`     // announcements of owners that were accepted
	StaleAnnouncements uint64 `json:"refused"`   // announcements of former owners, which were refused
	FalseVerdicts      int    `json:"false"`     // verdicts against relays without a recent fault

	// These count connections at the relays and are 0 without a limit.
	PeakConnections   int     `json:"standing"`      // most at a time
	LastConnections   int     `json:"standing_last"` // at the last sample
	ConnectionSeconds float64 `json:"held_s"`        // connection-seconds in the counted time
}

func (s *SharedStats) add(n *mesh.Node) {
	if n != nil {
		s.Datagrams += n.Counters.Sent
		s.Bytes += n.Counters.BytesSent
		s.Announcements += n.Counters.AnnouncementsAccepted
		s.StaleAnnouncements += n.Counters.AnnouncementsStale
	}
}

func (s *stage) addMeshStats(i *instance.Instance) { s.shared.add(i.Node()) }
