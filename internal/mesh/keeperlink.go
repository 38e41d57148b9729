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

// The values of raftFragment.Hello.
const (
	helloRequest = 1
	helloAnswer  = 2
)

// leasesPerFragment is how many leases one fragment of a floors response names.
const leasesPerFragment = 10

// keeperLink keeps the state of the conversation between this process's keeper and the others.
type keeperLink struct {
	messageID uint64                         // of the last message that was sent
	incoming  map[uint64]*partialRaftMessage // by keeper
}

// partialRaftMessage is the fragments of a message that have arrived.
type partialRaftMessage struct {
	id uint64
	reassembly
}

// add takes a fragment and returns the whole message once it is there, nil before.
func (l *keeperLink) add(r *raftFragment) []byte {
	pieces := l.incoming[r.From]
	if pieces == nil || pieces.id != r.ID {
		if r.Count == 1 { // most are whole; a late one must not throw away what is being put together
			return (&reassembly{}).add(r.Index, r.Count, r.Data)
		}
		pieces = &partialRaftMessage{id: r.ID}
		l.incoming[r.From] = pieces
	}
	return pieces.add(r.Index, r.Count, r.Data)
}

// handleRaft takes a Raft message or a handshake of another keeper, or a fragment of a message.
func (n *Node) handleRaft(now time.Time, r *raftFragment) {
	if n.core == nil || n.client.indexOf(r.From) < 0 {
		return
	}
	if r.To != 0 && r.To != n.core.Identity() {
		return // for the disk that this keeper had before: what that one promised is not known here
	}
	if r.Hello > 0 {
		n.core.Hello(now, r.From, r.Disk, r.Hello == helloAnswer)
		return
	}
	text := n.link.add(r)
	if text == nil {
		return
	}
	message := &pb.Message{}
	if proto.Unmarshal(text, message) != nil || message.GetFrom() != r.From {
		n.Counters.Damaged++
		return
	}
	n.core.Step(now, r.Disk, message)
}

// handleLeaseRequest passes a lease request of another process on to the keeper here.
func (n *Node) handleLeaseRequest(now time.Time, from netip.AddrPort, a *owner.LeaseRequest) {
	if n.core == nil {
		return
	}
	if err := n.core.RequestLeases(now, from, a); errors.Is(err, keeper.ErrNotLeader) {
		n.sendRedirect(from)
	}
}

// handleFloorsRequest passes a floors request of another process on to the keeper here.
func (n *Node) handleFloorsRequest(now time.Time, from netip.AddrPort, l *keeper.FloorsRequest) {
	if n.core != nil && n.core.RequestFloors(now, from, l) != nil {
		n.sendRedirect(from)
	}
}

// sendRedirect tells a process which keeper leads.
func (n *Node) sendRedirect(to netip.AddrPort) {
	n.send(to, &envelope{Reply: &keeperReply{NotLeader: true, Leader: n.core.Leader(), Keeper: n.cfg.Keeper.ID}})
}

// handleChange changes the keepers' voters for an operator.
func (n *Node) handleChange(now time.Time, from netip.AddrPort, c *voterChange) {
	answer := "taken"
	if n.core == nil {
		answer = "this is no keeper"
	} else if err := n.core.ChangeVoters(now, c.Add, c.ID); err != nil {
		answer = fmt.Sprintf("%v; keeper %d leads", err, n.core.Leader())
	}
	n.send(from, &envelope{Change: &voterChange{Add: c.Add, ID: c.ID, Answer: answer}})
}

// carryOut does what the keeper here wants, the disk first.
func (n *Node) carryOut(o keeper.Output) {
	if o.Append != nil {
		n.cfg.Disk.Append(o.Append, n.synced)
	}
	if o.Replace != nil {
		n.cfg.Disk.Replace(o.Replace, n.synced)
	}
	for _, m := range o.Messages {
		n.sendRaft(m)
	}
	for _, h := range o.Hellos {
		n.sendHello(h)
	}
	for _, a := range o.Responses {
		n.sendResponse(a)
	}
	if o.Stopped != nil {
		n.tell(Event{Kind: "keeper-stopped", Err: o.Stopped})
	}
}

// synced tells the keeper that a write has ended.
func (n *Node) synced(err error) {
	if n.closed {
		return
	}
	n.core.Synced(n.loop.Now(), err)
	n.settle()
}

// sendRaft sends a message to another keeper, in as many datagrams as it takes.
func (n *Node) sendRaft(m *pb.Message) {
	to := n.client.indexOf(m.GetTo())
	text, err := proto.Marshal(m)
	if to < 0 || err != nil {
		return
	}
	n.link.messageID++
	parts := fragments(text)
	for i, part := range parts {
		n.send(n.cfg.Keepers[to].Addr, &envelope{Raft: &raftFragment{
			Disk: n.core.Identity(), ID: n.link.messageID, Index: i, Count: len(parts), Data: part, From: n.cfg.Keeper.ID,
			To: n.core.KnownDisk(m.GetTo()),
		}})
	}
}

// sendHello tells another keeper the identity of the disk here.
func (n *Node) sendHello(h keeper.Hello) {
	to := n.client.indexOf(h.To)
	if to < 0 {
		return
	}
	kind := uint8(helloRequest)
	if h.Answer {
		kind = helloAnswer
	}
	n.send(n.cfg.Keepers[to].Addr, &envelope{Raft: &raftFragment{
		Disk: n.core.Identity(), Hello: kind, From: n.cfg.Keeper.ID, To: n.core.KnownDisk(h.To),
	}})
}

// sendResponse passes the keeper's response on to the process that sent the request, which may be this one.
func (n *Node) sendResponse(a keeper.Response) {
	if a.Leases == nil {
		n.sendFloors(a)
		return
	}
	if a.To == n.Addr() {
		n.handleLeaseResponse(n.loop.Now(), a.Leases)
		return
	}
	n.send(a.To, &envelope{Reply: &keeperReply{Response: a.Leases, Keeper: n.cfg.Keeper.ID}})
}

// sendFloors responds to a floors request, in as many datagrams as it takes.
func (n *Node) sendFloors(a keeper.Response) {
	for _, piece := range floorsFragments(a) {
		if a.To == n.Addr() {
			n.handleFloors(piece)
		} else {
			n.send(a.To, &envelope{Floors: piece})
		}
	}
}

// floorsFragments cuts a floors response into parts that fit a datagram each.
func floorsFragments(a keeper.Response) []*floorsFragment {
	leases := make([]string, 0, len(a.Floors))
	for lease := range a.Floors {
		leases = append(leases, lease)
	}
	slices.Sort(leases)
	pieces := make([]*floorsFragment, max((len(leases)+leasesPerFragment-1)/leasesPerFragment, 1))
	for i := range pieces {
		tokens := make(map[string]uint64)
		for _, lease := range leases[i*leasesPerFragment : min((i+1)*leasesPerFragment, len(leases))] {
			tokens[lease] = a.Floors[lease]
		}
		pieces[i] = &floorsFragment{Session: a.Request.Session, Seq: a.Request.Seq, Index: i, Count: len(pieces), Tokens: tokens}
	}
	return pieces
}
