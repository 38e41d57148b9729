package mesh

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/peers"
	"ospreyspan/internal/poll"
)

// datagramsPerTurn is how many datagrams one turn of the loop takes off the socket at the most.
const datagramsPerTurn = 256

// Node is one process's end of the messages between the processes of a fleet. It belongs to its loop's goroutine.
type Node struct {
	cfg           Config
	loop          *poll.Loop
	addr          netip.AddrPort // by which the others reach it
	transport     transport
	timer         poll.Timer
	rng           *rand.Rand
	peers         *peers.Peers
	membersSeen   uint64       // members' changes that were told, plus 1
	core          *keeper.Core // nil: this process is no keeper
	link          keeperLink
	leases        *owner.LeaseClient // nil: there are no keepers
	held          map[string]uint64  // tokens of the leases that were held at the last look
	client        keeperClient
	fence         *owner.Fence
	announcements announcementStore
	pulls         puller
	closed        bool
	Count         Counters
}

// New opens the socket and joins the fleet. It returns an error if the socket can't be opened or the keeper's configuration or log is
// bad; the socket is closed then.
func New(c Config) (*Node, error) {
	now := c.Loop.Now()
	n := &Node{
		cfg: c, loop: c.Loop, rng: rand.New(rand.NewPCG(c.Seed, c.Session)), held: make(map[string]uint64),
		link: keeperLink{incoming: make(map[uint64]*partialRaftMessage)}, announcements: newAnnouncementStore(), fence: owner.NewFence(c.Flaws),
	}
	if err := n.open(); err != nil {
		return nil, err
	}
	n.peers = peers.New(now, n.peersConfig())
	n.cfg.Known = nil // the view of the members holds them from here on
	n.client = newKeeperClient(c.Keepers, n.rng)
	if len(c.Keepers) > 0 {
		n.leases = owner.NewLeaseClient(c.Terms, c.Session, c.Name, c.Flaws)
		n.leases.SetLeases(c.Duties)
	}
	if c.ForgetFloors {
		n.fence.Open(nil)
	}
	if c.Keeper != nil {
		var err error
		if n.core, err = keeper.New(now, *c.Keeper, c.Log); err != nil {
			n.transport.socket.Close()
			return nil, err
		}
	}
	n.pulls = newPuller(now, c.Session, n.rng)
	n.timer.Fire = n.tick
	n.settle()
	return n, nil
}

// open opens the socket.
func (n *Node) open() error {
	socket, err := n.loop.OpenPackets(n.cfg.Listen, n)
	if err != nil {
		return fmt.Errorf("mesh: %w", err)
	}
	n.transport = transport{loop: n.loop, socket: socket, cluster: n.cfg.Cluster, count: &n.Count}
	n.addr = socket.Addr()
	if n.cfg.Advertise.IsValid() {
		n.addr = n.cfg.Advertise
	}
	return nil
}

// peersConfig is what the view of the members needs.
func (n *Node) peersConfig() peers.Config {
	p := peers.DefaultConfig()
	p.Name, p.Zone, p.Addr = n.cfg.Name, n.cfg.Zone, n.addr
	p.Session, p.Seeds, p.Seed = n.cfg.Session, n.cfg.Seeds, n.cfg.Seed
	p.Known, p.MaxMembers = n.cfg.Known, n.cfg.MostMembers
	return p
}

// Addr is the address by which the others reach it.
func (n *Node) Addr() netip.AddrPort { return n.addr }

// Close closes the socket; further calls do nothing. A planned stop calls Leave first.
func (n *Node) Close() {
	if !n.closed {
		n.closed = true
		n.loop.Disarm(&n.timer)
		n.transport.socket.Close()
	}
}

// Leave releases all leases but some, and tells other members that this process stops. It may be called again, with fewer.
func (n *Node) Leave(but ...string) {
	now := n.loop.Now()
	n.SetDuties(but)
	n.peers.Leave(now)
	n.tick()
}

// SetSeeds replaces the addresses at which members are looked for, while the program serves.
func (n *Node) SetSeeds(seeds []netip.AddrPort) { n.peers.SetSeeds(seeds) }

// SetDuties says which leases to take if they are free, while the program serves; others are released.
func (n *Node) SetDuties(leases []string) {
	for lease := range n.held { // whichever order: each is only forgotten
		if !slices.Contains(leases, lease) {
			delete(n.held, lease)
		}
	}
	n.cfg.Duties = slices.Clone(leases)
	if n.leases != nil {
		n.leases.SetLeases(leases)
		n.leases.RequestNow(n.loop.Now())
	}
	n.settle()
}

// Members returns the members that live; see peers.Peers.Members.
func (n *Node) Members() []peers.Member { return n.peers.Members() }

// RandomMembers returns up to count random members that live, other than this one.
func (n *Node) RandomMembers(count int) []peers.Member { return n.peers.RandomMembers(count) }

// Peers is the view of the members, to be read only.
func (n *Node) Peers() *peers.Peers { return n.peers }

// Keeper is the keeper here, nil if there is none; to be read only.
func (n *Node) Keeper() *keeper.Core { return n.core }

// Fence is the receiver's fence, to be read only.
func (n *Node) Fence() *owner.Fence { return n.fence }

// Holds returns the fencing token with which this process may act under a lease now; ok is false if it may not.
func (n *Node) Holds(lease string) (token uint64, ok bool) { return n.HoldsAt(n.loop.Now(), lease) }

// HoldsAt is Holds at a time of the process's own clock, for tests.
func (n *Node) HoldsAt(now time.Time, lease string) (token uint64, ok bool) {
	if n.leases == nil {
		return 0, false
	}
	return n.leases.Holds(now, lease)
}

// HasOwner tells whether a lease has an owner, here or elsewhere, as far as is known now.
func (n *Node) HasOwner(lease string) bool {
	return n.leases != nil && n.leases.HasOwner(n.loop.Now(), lease)
}

// Ready is called by the loop: it takes the datagrams that wait.
func (n *Node) Ready(poll.Ready) {
	for range datagramsPerTurn {
		message, from, more := n.transport.receive()
		if !more {
			break
		}
		if message != nil {
			n.handle(from, message)
		}
		if n.closed {
			return
		}
	}
	n.settle()
}

// handle passes a message on to the part that it is for.
func (n *Node) handle(from netip.AddrPort, e *envelope) {
	now := n.loop.Now()
	switch {
	case e.Peers != nil:
		n.peers.Handle(now, from, e.Peers)
	case e.Raft != nil:
		n.handleRaft(now, e.Raft)
	case e.Request != nil:
		n.handleLeaseRequest(now, from, e.Request)
	case e.Reply != nil:
		n.handleKeeperReply(now, e.Reply)
	case e.FloorsRequest != nil:
		n.handleFloorsRequest(now, from, e.FloorsRequest)
	case e.Floors != nil:
		n.handleFloors(e.Floors)
	case e.Announcement != nil:
		n.handleAnnouncement(e.Announcement)
	case e.Pull != nil:
		n.handlePull(now, from, e.Pull)
	case e.PullResponse != nil:
		n.handlePullResponse(from, e.PullResponse)
	case e.View != nil && e.View.Ask:
		n.sendView(from, e.View.Seq)
	case e.Direct != nil:
		n.handleDirect(from, e.Direct)
	case e.Shared != nil:
		n.handleShared(from, e.Shared)
	case e.Change != nil && e.Change.Answer == "":
		n.handleChange(now, from, e.Change)
	default:
		n.Count.Damaged++
	}
}

func (n *Node) send(to netip.AddrPort, e *envelope) { n.transport.send(to, e) }
