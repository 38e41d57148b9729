// Package hollow plays fleets of thousands of proxies in one process and in virtual time. A hollow process is the whole of a proxy
// as internal/instance makes it (membership, the keepers' client, leases, duties, evidence, the route table, the decision module)
// on the virtual network: it has no clients, and its datagrams are counted. What it costs for each proxy, server, change
// and failure is what Measure returns; Play tells how the fleet bears a scenario.
package hollow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"ospreyspan/internal/duty"
	"ospreyspan/internal/fleet"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/peers"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/rig"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/settings"
	"ospreyspan/internal/vnet"
)

// Config is a fleet.
type Config struct {
	Seed      uint64
	Processes int // 3 to 65,000
	Keepers   int // 3 or 5; the first processes are the keepers
	Servers   int // that discovery names
	Lease     time.Duration
	Local     bool // all on one machine: no zones, and delays as on loopback
	// Joined has each process start with a full table of members, as if all had run for long. Otherwise each starts with an empty
	// table and joins by the keepers' addresses.
	Joined      bool
	MostMembers int // other members that a process can know; 0: as many as serve
}

const (
	meshPort      = 7946
	proxyPort     = 18440
	serverPort    = 8443
	discoveryPort = 18500
	regions       = 3
	zones         = 8
)

// zoneRegion has the zones in the order in which processes are spread over them: neighbours, as the keepers are, lie in different
// regions.
var zoneRegion = [zones]int{0, 1, 2, 0, 1, 2, 0, 1}

// cluster is a fleet that is played.
type cluster struct {
	config    Config
	world     *vnet.World
	sessions  *rand.Rand
	draws     *rand.Rand // of changes and failures
	registry  *fleet.Registry
	discovery *discovery
	settings  *settings.Settings
	known     *routes.List // that each process starts with; nil: none
	members   []peers.Member
	keepers   []mesh.KeeperAddress
	processes []*process
	cut       [regions]bool // regions that are cut off from the others
	verdicts  verdicts
	pathCount int // directed pairs of hosts that have spoken
}

// newCluster builds a fleet whose processes start within the first moments of the run.
func newCluster(c Config) (*cluster, error) {
	k := &cluster{config: c, registry: fleet.NewRegistry(), verdicts: newVerdicts()}
	k.world = vnet.New(c.Seed, k.link)
	k.world.SetDatagramFaults(k.fate)
	k.sessions, k.draws = k.world.Rand("sessions"), k.world.Rand("changes")
	text, err := json.Marshal(rig.Settings(c.Processes))
	if err != nil {
		return nil, fmt.Errorf("hollow: settings: %w", err)
	}
	if k.settings, err = settings.Decode(text); err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	for i := range c.Servers {
		k.setServer(i, fleet.Serving)
	}
	k.known = &routes.List{Whole: true}
	if c.Joined {
		k.known.Hosts = k.serverList()
	}
	if err := k.startDiscovery(); err != nil {
		return nil, err
	}
	k.addProcesses()
	return k, nil
}

func (k *cluster) addProcesses() {
	for i := range k.config.Processes {
		name := fmt.Sprintf("p%03d", i)
		address := netip.AddrFrom4([4]byte{10, byte(1 + i>>16), byte(i >> 8), byte(i)})
		p := &process{cluster: k, index: i, name: name, zone: i % zones, host: k.world.AddHost(name, address, vnet.Limits{})}
		p.session = k.sessions.Uint64() | 1
		k.processes = append(k.processes, p)
		if i < k.config.Keepers {
			k.keepers = append(k.keepers, mesh.KeeperAddress{ID: uint64(i + 1), Addr: p.address()})
			p.makeDisk()
		}
	}
	if k.config.Joined {
		k.members = make([]peers.Member, 0, len(k.processes))
		for _, p := range k.processes {
			k.members = append(k.members, p.member())
		}
	}
	for _, p := range k.processes {
		delay := time.Duration(k.draws.IntN(500)) * time.Millisecond
		k.world.After(delay, func() { p.start() })
	}
}

// knownMembers returns the members as one process knows them: each holds names and addresses of its own, as read off the wire.
func (k *cluster) knownMembers() []peers.Member {
	own := slices.Clone(k.members)
	for i := range own {
		m := &own[i]
		m.Name, m.Zone, m.EncodedAddr = strings.Clone(m.Name), strings.Clone(m.Zone), slices.Clone(m.EncodedAddr)
	}
	return own
}

// setServer changes what discovery says of a server, or adds it.
func (k *cluster) setServer(i int, health string) {
	k.registry.Set(fleet.Entry{Host: serverName(i), Dial: serverAddress(i).String(), Site: "here", Kind: "r", Health: health, Share: 1})
}

func (k *cluster) serverList() []*routes.Target {
	list := make([]*routes.Target, 0, k.config.Servers)
	for i := range k.config.Servers {
		list = append(list, &routes.Target{ID: serverName(i), Addr: serverAddress(i), Site: "here", MachineKind: "r", Share: 1})
	}
	return list
}

func serverName(i int) string { return fmt.Sprintf("s-%02d", i) }

func serverAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(i >> 8), byte(i)}), serverPort)
}

// change changes the health of one server that is drawn, and returns the list's version.
func (k *cluster) change() int64 {
	health := []string{fleet.Serving, fleet.Draining}[k.draws.IntN(2)]
	k.setServer(k.draws.IntN(k.config.Servers), health)
	k.discovery.version++
	k.discovery.news()
	return k.discovery.version
}

// changeEvery changes the list at a steady pace until the end of the run.
func (k *cluster) changeEvery(pace time.Duration) {
	k.world.After(pace, func() {
		k.change()
		k.changeEvery(pace)
	})
}

// link draws the delay between two hosts: the same for the whole run.
func (k *cluster) link(from, to *vnet.Host) vnet.Link {
	k.pathCount++
	draw := func(least, most time.Duration) vnet.Link {
		part := float64(mix(k.config.Seed, from.Addr(), to.Addr())>>11) / (1 << 53)
		return vnet.Link{Delay: least + time.Duration(part*float64(most-least))}
	}
	a, b := k.zoneOf(from), k.zoneOf(to)
	switch {
	case k.config.Local:
		return vnet.Link{Delay: 100 * time.Microsecond}
	case a == b:
		return draw(200*time.Microsecond, 800*time.Microsecond)
	case zoneRegion[a] == zoneRegion[b]:
		return draw(time.Millisecond, 2*time.Millisecond)
	default:
		return draw(20*time.Millisecond, 50*time.Millisecond)
	}
}

// mix makes one number of a seed and two addresses.
func mix(seed uint64, from, to netip.Addr) uint64 {
	a, b := from.As4(), to.As4()
	x := seed
	for _, octet := range append(a[:], b[:]...) {
		x = (x ^ uint64(octet)) * 0x100000001b3
	}
	return rand.New(rand.NewPCG(x, seed)).Uint64()
}

func (k *cluster) zoneOf(h *vnet.Host) int {
	if p := k.processAt(h.Addr()); p != nil {
		return p.zone
	}
	return 0 // discovery
}

func (k *cluster) processAt(a netip.Addr) *process {
	b := a.As4()
	if b[1] == 0 || b[1] == discoveryNet {
		return nil
	}
	i := int(b[1]-1)<<16 | int(b[2])<<8 | int(b[3])
	if i >= len(k.processes) {
		return nil
	}
	return k.processes[i]
}

// fate drops what would cross the border of a region that is cut off.
func (k *cluster) fate(from, to *vnet.Host, _ int) vnet.DatagramFault {
	a, b := zoneRegion[k.zoneOf(from)], zoneRegion[k.zoneOf(to)]
	return vnet.DatagramFault{Drop: a != b && (k.cut[a] || k.cut[b])}
}

// isolate cuts a region off from the others and from discovery, until the function that it returns is called.
func (k *cluster) isolate(region int) (heal func()) {
	var inside []*vnet.Host
	for _, p := range k.processes {
		if zoneRegion[p.zone] == region {
			inside = append(inside, p.host)
		}
	}
	partition := k.world.Cut(inside, []*vnet.Host{k.discovery.host})
	k.cut[region] = true
	return func() {
		k.cut[region] = false
		partition.Heal()
	}
}

// turn runs one step of a process and books its processor time.
func (p *process) turn() error {
	begin := threadTime()
	err := p.instance.Turn()
	p.processor += threadTime() - begin
	if err == nil && p.instance.Done() {
		p.end()
		return vnet.ErrExit
	}
	return err
}

func (p *process) kernel(k poll.Kernel) (func() error, error) {
	if err := p.begin(k); err != nil {
		return nil, err
	}
	return p.turn, nil
}

// owner returns the process that owns the duty of asking discovery, nil if none does.
func (k *cluster) owner() *process {
	for _, p := range k.processes {
		if p.holds(duty.Discovery) {
			return p
		}
	}
	return nil
}

// draw draws processes that run and are no keepers, at most so many.
func (k *cluster) draw(count int) []*process {
	var all []*process
	for _, p := range k.processes {
		if p.host.Running() && !p.keeper() {
			all = append(all, p)
		}
	}
	k.draws.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}
