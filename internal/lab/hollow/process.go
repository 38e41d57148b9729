package hollow

import (
	"fmt"
	"io"
	"log"
	"net/netip"
	"time"

	"ospreyspan/internal/duty"
	"ospreyspan/internal/instance"
	"ospreyspan/internal/keeper"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/peers"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

const (
	clusterName    = "rig" // as long as that of real processes: it is in each datagram
	movesPerSecond = 50
	marginPart     = 20 // of the lease
)

// process is one hollow process, through all its lives.
type process struct {
	cluster   *cluster
	index     int
	name      string
	zone      int
	host      *vnet.Host
	instance  *instance.Instance // of the latest life
	node      *mesh.Node         // of the latest life
	loop      *poll.Loop
	stopping  bool   // a planned stop has begun
	session   uint64 // of the latest life, or of the first one before it began
	lives     int
	begun     time.Duration     // of the latest life, since the run began
	processor time.Duration     // used by all lives
	taken     map[string]uint64 // highest token of each duty that this life took
	former    traffic           // of all lives before the latest one
}

// traffic is what a process sent and received.
type traffic struct {
	sent, received, bytesSent, bytesReceived uint64
}

func (t traffic) add(c *mesh.Counters, sign int) traffic {
	s := uint64(sign)
	return traffic{t.sent + s*c.Sent, t.received + s*c.Received, t.bytesSent + s*c.BytesSent, t.bytesReceived + s*c.BytesReceived}
}

func (t traffic) minus(o traffic) traffic {
	return traffic{t.sent - o.sent, t.received - o.received, t.bytesSent - o.bytesSent, t.bytesReceived - o.bytesReceived}
}

// traffic is what all its lives sent and received.
func (p *process) traffic() traffic {
	if p.node == nil {
		return p.former
	}
	return p.former.add(&p.node.Counters, 1)
}

func (p *process) keeper() bool { return p.index < p.cluster.config.Keepers }

func (p *process) address() netip.AddrPort { return netip.AddrPortFrom(p.host.Addr(), meshPort) }

func (p *process) zoneName() string {
	if p.cluster.config.Local {
		return ""
	}
	return fmt.Sprintf("zone-%d", p.zone)
}

// member is what others hold of the process.
func (p *process) member() peers.Member {
	text, _ := p.address().MarshalBinary() // of a valid address it can't fail
	return peers.Member{Session: p.session, Name: p.name, Zone: p.zoneName(), Addr: p.address(), EncodedAddr: text}
}

func (p *process) makeDisk() {
	d := p.host.Disk("keeper")
	d.SetFaults(vnet.DiskFaults{Delay: time.Millisecond, Jitter: 2 * time.Millisecond})
	d.SetContents(keeper.InitialRecord(p.cluster.sessions.Uint64() | 1))
}

// start begins a life, if none runs. Lives after the first one have a session of their own.
func (p *process) start() {
	if p.host.Running() {
		return
	}
	if p.lives++; p.lives > 1 {
		p.session = p.cluster.sessions.Uint64() | 1
	}
	p.stopping = false
	p.begun = p.cluster.world.Elapsed()
	p.taken = make(map[string]uint64)
	if err := p.host.Start(p.kernel); err != nil {
		p.cluster.world.Fail(err)
		return
	}
	p.cluster.verdicts.running[p.session] = p
}

// kill ends a life without a sign.
func (p *process) kill() {
	if !p.host.Running() {
		return
	}
	p.end()
	p.host.Kill()
}

// end closes the books of a life.
func (p *process) end() {
	p.former = p.traffic()
	p.cluster.verdicts.ended(p)
	p.node = nil
}

// stopTime is how long a planned stop takes at the most; a process that has not ended by then is killed.
const stopTime = 5 * time.Second

// stop begins a planned stop.
func (p *process) stop() {
	if !p.host.Running() || p.stopping {
		return
	}
	p.stopping = true
	delete(p.cluster.verdicts.running, p.session) // whoever takes it for gone from now on is right
	p.loop.Wake()
	life := p.lives
	p.cluster.world.After(stopTime, func() {
		if p.lives == life {
			p.kill()
		}
	})
}

func (p *process) begin(k poll.Kernel) error {
	c := p.cluster
	loop := poll.NewOn(k, func() { p.instance.Drain() })
	m := mesh.Config{
		Cluster: clusterName, Name: p.name, Zone: p.zoneName(), Listen: p.address(), Session: p.session, Keepers: c.keepers,
		Terms: owner.LeaseTerms{Lease: c.config.Lease, Margin: c.config.Lease / marginPart}, Seed: c.config.Seed ^ p.session, MaxMembers: c.config.MostMembers,
		Duties: []string{duty.Discovery, duty.Probes, duty.Moves}, OnEvent: func(e mesh.Event) { c.verdicts.see(p, e) },
	}
	if p.lives == 1 {
		m.Known = c.knownMembers()
	}
	for _, at := range c.keepers {
		m.Seeds = append(m.Seeds, at.Addr)
	}
	if p.keeper() {
		if err := p.keep(&m); err != nil {
			return err
		}
	}
	shared := instance.DefaultVerdictConfig()
	i, err := instance.New(loop, instance.Config{
		Name: p.name, Listen: netip.AddrPortFrom(p.host.Addr(), proxyPort), Discovery: c.discovery.address(), Seed: c.config.Seed ^ p.session,
		KnownList: c.known, Settings: c.settings, Log: log.New(io.Discard, "", 0),
		Fleet: &instance.FleetConfig{Mesh: m, SameAddresses: true, MovesPerSecond: movesPerSecond, Verdicts: &shared},
	})
	if err != nil {
		return err
	}
	p.instance, p.node, p.loop = i, i.Node(), loop
	return nil
}

// keep gives the process its keeper.
func (p *process) keep(m *mesh.Config) error {
	disk := p.host.Disk("keeper")
	restored, err := keeper.Restore(disk.Contents())
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	disk.Truncate(restored.ValidBytes)
	k := keeper.DefaultConfig()
	k.ID, k.Terms, k.Seed = uint64(p.index+1), m.Terms, m.Seed
	for _, at := range p.cluster.keepers {
		k.Voters = append(k.Voters, at.ID)
	}
	m.Keeper, m.RestoredLog, m.Disk = &k, restored, disk
	return nil
}

// holds tells whether the process may act for a duty, by its own clock.
func (p *process) holds(duty string) bool {
	if p.node == nil || !p.host.Running() {
		return false
	}
	_, ok := p.node.HoldsAt(p.host.ClockNow(), duty)
	return ok
}
