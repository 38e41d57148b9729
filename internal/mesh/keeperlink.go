package mesh

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/owner"
)

// Values of raftFragment.Hello.
const (
	helloRequest  = 1
	helloResponse = 2
)

// leasesPerFragment is the number of leases in one fragment of a floors response.
const leasesPerFragment = 10

// keeperLink holds the state of the communication between this process's keeper and the other
// keepers.
type keeperLink struct {
	lastMessageID    uint64                         // id of the last Raft message sent
	incomingByKeeper map[uint64]*partialRaftMessage // reassembly by keeper id
}

// partialRaftMessage holds the received fragments of a Raft message.
type partialRaftMessage struct {
	id uint64
	reassembly
}

// add stores a fragment and returns the complete message once all its fragments have arrived, and
// nil before.
func (l *keeperLink) add(r *raftFragment) []byte {
	partial := l.incomingByKeeper[r.From]
	if partial == nil || partial.id != r.ID {
		// Most messages have a single fragment. A late one must not discard the message being
		// reassembled.
		if r.Count == 1 {
			return (&reassembly{}).add(r.Index, r.Count, r.Data)
		}
		partial = &partialRaftMessage{id: r.ID}
		l.incomingByKeeper[r.From] = partial
	}
	return partial.add(r.Index, r.Count, r.Data)
}

// handleRaft processes a Raft message of another keeper, a fragment of one, or a handshake.
func (n *Node) handleRaft(now time.Time, r *raftFragment) {
	if n.keeperCore == nil || n.keeperClient.indexOf(r.From) < 0 {
		return
	}
	// A message for the disk that this keeper had before is dropped: the votes and acknowledgements
	// given with that disk are not known here.
	if r.To != 0 && r.To != n.keeperCore.DiskIdentity() {
		return
	}
	if r.Hello > 0 {
		n.keeperCore.HandleHello(now, r.From, r.Disk, r.Hello == helloResponse)
		return
	}
	payload := n.keeperLink.add(r)
	if payload == nil {
		return
	}
	message := &pb.Message{}
	if proto.Unmarshal(payload, message) != nil || message.GetFrom() != r.From {
		n.Counters.Damaged++
		return
	}
	n.keeperCore.Step(now, r.Disk, message)
}

// handleLeaseRequest passes a lease request of another process to the local keeper.
func (n *Node) handleLeaseRequest(now time.Time, from netip.AddrPort, request *owner.LeaseRequest) {
	if n.keeperCore == nil {
		return
	}
	if err := n.keeperCore.HandleLeaseRequest(now, from, request); errors.Is(err, keeper.ErrNotLeader) {
		n.sendRedirect(from)
	}
}

// handleFloorsRequest passes a floors request of another process to the local keeper.
func (n *Node) handleFloorsRequest(now time.Time, from netip.AddrPort, request *keeper.FloorsRequest) {
	if n.keeperCore != nil && n.keeperCore.HandleFloorsRequest(now, from, request) != nil {
		n.sendRedirect(from)
	}
}

// sendRedirect tells a process which keeper is the leader.
func (n *Node) sendRedirect(to netip.AddrPort) {
	n.send(to, &envelope{KeeperReply: &keeperReply{NotLeader: true, Leader: n.keeperCore.Leader(), Keeper: n.cfg.Keeper.ID}})
}

// handleVoterChange adds or removes a voter of the keepers' Raft group on an operator's request.
func (n *Node) handleVoterChange(now time.Time, from netip.AddrPort, change *voterChange) {
	result := "taken"
	if n.keeperCore == nil {
		result = "this process is not a keeper"
	} else if err := n.keeperCore.ChangeVoters(now, change.Add, change.ID); err != nil {
		result = fmt.Sprintf("%v; the leader is keeper %d", err, n.keeperCore.Leader())
	}
	n.send(from, &envelope{VoterChange: &voterChange{Add: change.Add, ID: change.ID, Result: result}})
}

// applyKeeperOutput performs the output of the local keeper, starting with the disk writes.
func (n *Node) applyKeeperOutput(output keeper.Output) {
	if output.Append != nil {
		n.cfg.Disk.Append(output.Append, n.handleLogWritten)
	}
	if output.Replace != nil {
		n.cfg.Disk.Replace(output.Replace, n.handleLogWritten)
	}
	for _, m := range output.Messages {
		n.sendRaft(m)
	}
	for _, h := range output.Hellos {
		n.sendHello(h)
	}
	for _, response := range output.Responses {
		n.sendResponse(response)
	}
	if output.Stopped != nil {
		n.emit(Event{Kind: "keeper-stopped", Err: output.Stopped})
	}
}

// handleLogWritten notifies the local keeper that a disk write has ended, and performs its output.
func (n *Node) handleLogWritten(err error) {
	if n.closed {
		return
	}
	n.keeperCore.Synced(n.loop.Now(), err)
	n.flush()
}

// sendRaft sends a Raft message to another keeper, in as many datagrams as it needs.
func (n *Node) sendRaft(m *pb.Message) {
	to := n.keeperClient.indexOf(m.GetTo())
	payload, err := proto.Marshal(m)
	if to < 0 || err != nil {
		return
	}
	n.keeperLink.lastMessageID++
	parts := fragments(payload)
	for i, part := range parts {
		n.send(n.cfg.Keepers[to].Addr, &envelope{Raft: &raftFragment{
			Disk: n.keeperCore.DiskIdentity(), ID: n.keeperLink.lastMessageID, Index: i, Count: len(parts), Data: part, From: n.cfg.Keeper.ID,
			To: n.keeperCore.KnownDisk(m.GetTo()),
		}})
	}
}

// sendHello sends the identity of the local keeper's disk to another keeper.
func (n *Node) sendHello(h keeper.Hello) {
	to := n.keeperClient.indexOf(h.To)
	if to < 0 {
		return
	}
	kind := uint8(helloRequest)
	if h.IsReply {
		kind = helloResponse
	}
	n.send(n.cfg.Keepers[to].Addr, &envelope{Raft: &raftFragment{
		Disk: n.keeperCore.DiskIdentity(), Hello: kind, From: n.cfg.Keeper.ID, To: n.keeperCore.KnownDisk(h.To),
	}})
}

// sendResponse passes the local keeper's response to the process that sent the request, which may
// be this one.
func (n *Node) sendResponse(response keeper.Response) {
	if response.Leases == nil {
		n.sendFloors(response)
		return
	}
	if response.To == n.Addr() {
		n.handleLeaseResponse(n.loop.Now(), response.Leases)
		return
	}
	n.send(response.To, &envelope{KeeperReply: &keeperReply{Response: response.Leases, Keeper: n.cfg.Keeper.ID}})
}

// sendFloors responds to a floors request, in as many datagrams as the response needs.
func (n *Node) sendFloors(response keeper.Response) {
	for _, fragment := range floorsFragments(response) {
		if response.To == n.Addr() {
			n.handleFloors(fragment)
		} else {
			n.send(response.To, &envelope{Floors: fragment})
		}
	}
}

// floorsFragments splits a floors response into parts that fit one datagram each.
func floorsFragments(response keeper.Response) []*floorsFragment {
	leases := make([]string, 0, len(response.Floors))
	for lease := range response.Floors {
		leases = append(leases, lease)
	}
	slices.Sort(leases)
	parts := make([]*floorsFragment, max((len(leases)+leasesPerFragment-1)/leasesPerFragment, 1))
	for i := range parts {
		tokens := make(map[string]uint64)
		for _, lease := range leases[i*leasesPerFragment : min((i+1)*leasesPerFragment, len(leases))] {
			tokens[lease] = response.Floors[lease]
		}
		parts[i] = &floorsFragment{Session: response.FloorsRequest.Session, Seq: response.FloorsRequest.Seq, Index: i, Count: len(parts), Tokens: tokens}
	}
	return parts
}
