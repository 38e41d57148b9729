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

const (
	// maxDatagramsPerWakeup limits the number of datagrams read per call of Ready.
	maxDatagramsPerWakeup = 256
	// maxWakeupTime limits the time of a call of Ready, after which the loop's other sockets have
	// their turn. The datagram in progress is finished.
	maxWakeupTime = 2 * time.Millisecond
)

// Node is a process's endpoint of the fleet's messages. It must be used only on the goroutine of
// its loop.
type Node struct {
	cfg                    Config
	loop                   *poll.Loop
	addr                   netip.AddrPort // address at which other processes reach this one
	transport              transport
	timer                  poll.Timer
	rng                    *rand.Rand
	peers                  *peers.Peers
	reportedMembersVersion uint64       // last reported peers.Changed() plus 1; 0: none
	keeperCore             *keeper.Core // nil: this process is no keeper
	keeperLink             keeperLink
	leaseClient            *owner.LeaseClient // nil: there are no keepers
	heldTokens             map[string]uint64  // fencing token by lease, as last reported
	keeperClient           keeperClient
	fence                  *owner.Fence
	announcements          announcementStore
	puller                 puller
	closed                 bool
	Counters               Counters
}

// New opens the socket and joins the fleet. It returns an error, and closes the socket, if the
// socket can't be opened or if the keeper's configuration or log is invalid.
func New(c Config) (*Node, error) {
	now := c.Loop.Now()
	n := &Node{
		cfg: c, loop: c.Loop, rng: rand.New(rand.NewPCG(c.Seed, c.Session)), heldTokens: make(map[string]uint64),
		keeperLink: keeperLink{incomingByKeeper: make(map[uint64]*partialRaftMessage)}, announcements: newAnnouncementStore(), fence: owner.NewFence(c.Flaws),
	}
	if err := n.open(); err != nil {
		return nil, err
	}
	n.peers = peers.New(now, n.peersConfig())
	n.cfg.Known = nil // peers holds them from here on
	n.keeperClient = newKeeperClient(c.Keepers, n.rng)
	if len(c.Keepers) > 0 {
		n.leaseClient = owner.NewLeaseClient(c.Terms, c.Session, c.Name, c.Flaws)
		n.leaseClient.SetLeases(c.Duties)
	}
	if c.ForgetFloors {
		n.fence.Open(nil)
	}
	if c.Keeper != nil {
		var err error
		if n.keeperCore, err = keeper.New(now, *c.Keeper, c.RestoredLog); err != nil {
			n.transport.socket.Close()
			return nil, err
		}
	}
	n.puller = newPuller(now, c.Session, n.rng)
	n.timer.Fire = n.tick
	n.flush()
	return n, nil
}

// open opens the UDP socket and determines the node's address.
func (n *Node) open() error {
	socket, err := n.loop.OpenUDP(n.cfg.Listen, n)
	if err != nil {
		return fmt.Errorf("mesh: open socket: %w", err)
	}
	n.transport = transport{loop: n.loop, socket: socket, cluster: n.cfg.Cluster, counters: &n.Counters}
	n.addr = socket.Addr()
	if n.cfg.Advertise.IsValid() {
		n.addr = n.cfg.Advertise
	}
	return nil
}

// peersConfig returns the configuration of the membership protocol.
func (n *Node) peersConfig() peers.Config {
	p := peers.DefaultConfig()
	p.Name, p.Zone, p.Addr = n.cfg.Name, n.cfg.Zone, n.addr
	p.Session, p.Seeds, p.Seed = n.cfg.Session, n.cfg.Seeds, n.cfg.Seed
	p.Known, p.MaxMembers = n.cfg.Known, n.cfg.MaxMembers
	return p
}

// Addr returns the address at which other processes reach this one.
func (n *Node) Addr() netip.AddrPort { return n.addr }

// Close closes the socket. Further calls do nothing. For a planned stop, call Leave first.
func (n *Node) Close() {
	if !n.closed {
		n.closed = true
		n.loop.Disarm(&n.timer)
		n.transport.socket.Close()
	}
}

// Leave releases all leases except the given ones, and tells other members that this process is
// leaving the fleet. It may be called again with fewer exceptions.
func (n *Node) Leave(except ...string) {
	now := n.loop.Now()
	n.SetDuties(except)
	n.peers.Leave(now)
	n.tick()
}

// SetSeeds replaces the seed addresses while the node is running.
func (n *Node) SetSeeds(seeds []netip.AddrPort) { n.peers.SetSeeds(seeds) }

// SetDuties replaces the set of leases to acquire when they are free, while the node is running.
// Leases that are no longer in the set are released.
func (n *Node) SetDuties(leases []string) {
	for lease := range n.heldTokens { // map order is irrelevant: entries are only deleted
		if !slices.Contains(leases, lease) {
			delete(n.heldTokens, lease)
		}
	}
	n.cfg.Duties = slices.Clone(leases)
	if n.leaseClient != nil {
		n.leaseClient.SetLeases(leases)
		n.leaseClient.RequestNow(n.loop.Now())
	}
	n.flush()
}

// Members returns the live members; see peers.Peers.Members.
func (n *Node) Members() []peers.Member { return n.peers.Members() }

// RandomMembers returns up to count random live members other than this one.
func (n *Node) RandomMembers(count int) []peers.Member { return n.peers.RandomMembers(count) }

// Peers returns the membership state. Callers must not modify it.
func (n *Node) Peers() *peers.Peers { return n.peers }

// Keeper returns the local keeper, or nil if there is none. Callers must not modify it.
func (n *Node) Keeper() *keeper.Core { return n.keeperCore }

// Fence returns the fence of this process as a receiver of effects. Callers must not modify it.
func (n *Node) Fence() *owner.Fence { return n.fence }

// Holds returns the fencing token with which this process may act as the owner of a lease now. ok
// is false if it does not hold the lease.
func (n *Node) Holds(lease string) (token uint64, ok bool) { return n.HoldsAt(n.loop.Now(), lease) }

// HoldsAt is like Holds, at a given time of the process's own clock. It is meant for tests.
func (n *Node) HoldsAt(now time.Time, lease string) (token uint64, ok bool) {
	if n.leaseClient == nil {
		return 0, false
	}
	return n.leaseClient.Holds(now, lease)
}

// HasOwner reports whether a lease has an owner, in this or another process, as far as is known
// now.
func (n *Node) HasOwner(lease string) bool {
	return n.leaseClient != nil && n.leaseClient.HasOwner(n.loop.Now(), lease)
}

// Ready is called by the loop when the socket is readable, and handles the waiting datagrams.
func (n *Node) Ready(poll.Ready) {
	deadline := n.loop.RefreshNow().Add(maxWakeupTime)
	for range maxDatagramsPerWakeup {
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
		if n.loop.RefreshNow().After(deadline) {
			break
		}
	}
	n.flush()
}

// handle dispatches a message to the handler of its kind.
func (n *Node) handle(from netip.AddrPort, e *envelope) {
	now := n.loop.Now()
	switch {
	case e.Peers != nil:
		n.peers.Handle(now, from, e.Peers)
	case e.Raft != nil:
		n.handleRaft(now, e.Raft)
	case e.LeaseRequest != nil:
		n.handleLeaseRequest(now, from, e.LeaseRequest)
	case e.KeeperReply != nil:
		n.handleKeeperReply(now, e.KeeperReply)
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
	case e.View != nil && e.View.IsRequest:
		n.sendView(from, e.View.Seq)
	case e.OwnerMessage != nil:
		n.handleOwnerMessage(from, e.OwnerMessage)
	case e.SharedMessage != nil:
		n.handleSharedMessage(from, e.SharedMessage)
	case e.VoterChange != nil && e.VoterChange.Result == "":
		n.handleVoterChange(now, from, e.VoterChange)
	default:
		n.Counters.Damaged++
	}
}

func (n *Node) send(to netip.AddrPort, e *envelope) { n.transport.send(to, e) }
