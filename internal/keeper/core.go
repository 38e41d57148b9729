package keeper

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ospreyspan/internal/owner"
)

// The library's limits.
const (
	maxMessageBytes     = 600 // of entries in one message
	maxInflightMessages = 64
	maxUncommittedBytes = 256 << 10
	maxCommittedBytes   = 64 << 10 // applied at once
)

// stoppedDelay is how far behind its last time a member that has ended says to be due: never, in effect.
const stoppedDelay = 1000 * time.Hour

// ErrNotLeader is why a request is refused: Leader returns which keeper to ask.
var ErrNotLeader = errors.New("keeper: not the leader")

// Core is one keeper without its disk and its network. It is driven by one goroutine, which tells it of events with their
// time and takes its Output after each.
type Core struct {
	cfg          Config
	rng          *rand.Rand
	handshake    handshake
	raft         *raft.RawNode
	storage      *raft.MemoryStorage
	voters       *pb.ConfState
	state        *State
	snapshotAt   uint64 // index of the latest snapshot
	output       Output
	writing      bool        // what out last had for the disk is not known to be there yet
	unsavedReady *raft.Ready // whose record is being written; nil: none
	requests     pendingRequests
	renewals     renewalTimers
	leading      bool
	electionAt   time.Time // it stands for election then
	heartbeatAt  time.Time // of a leader
	transfers    snapshotTransfers
	stopped      error
	Count        Counters
}

// Counters count what a Core did: elections that it stood for, entries applied, snapshots made or installed, and messages refused.
type Counters struct {
	Elections, Applied, Snapshots, Refused uint64
}

// New returns a Core that goes on from a log.
func New(now time.Time, c Config, log *RestoredLog) (*Core, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	storage, err := log.storage(c.Voters)
	if err != nil {
		return nil, err
	}
	k := &Core{
		cfg: c, rng: rand.New(rand.NewPCG(c.Seed, c.ID)), handshake: newHandshake(now, log), storage: storage, state: &State{},
		requests: make(pendingRequests), renewals: make(renewalTimers), transfers: make(snapshotTransfers),
	}
	if err := k.restoreSnapshot(); err != nil {
		return nil, err
	}
	if k.raft, err = raft.NewRawNode(k.raftConfig()); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	k.resetElection(now)
	k.processReady(now)
	return k, nil
}

// restoreSnapshot begins with what the log's snapshot holds.
func (k *Core) restoreSnapshot() error {
	snapshot, err := k.storage.Snapshot()
	if err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	if len(snapshot.GetData()) > 0 {
		if k.state, err = DecodeState(snapshot.GetData()); err != nil {
			return err
		}
	}
	k.voters, k.snapshotAt = snapshot.GetMetadata().GetConfState(), snapshot.GetMetadata().GetIndex()
	return nil
}

func (k *Core) raftConfig() *raft.Config {
	return &raft.Config{
		ID: k.cfg.ID, ElectionTick: int(k.cfg.ElectionTimeout / k.cfg.HeartbeatInterval), HeartbeatTick: 1,
		Storage: k.storage, Applied: k.snapshotAt,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes, MaxCommittedSizePerReady: maxCommittedBytes,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: quietLogger{},
	}
}

// Take returns what is to be done since the last call.
func (k *Core) Take() Output {
	out := k.output
	k.output = Output{}
	return out
}

// Due tells when Tick is to be called next.
func (k *Core) Due() time.Time {
	switch {
	case k.stopped != nil:
		return k.electionAt.Add(stoppedDelay)
	case !k.handshake.done:
		return k.handshake.nextAt
	case k.leading:
		return k.heartbeatAt
	}
	return k.electionAt
}

// DiskIdentity is that of its disk.
func (k *Core) DiskIdentity() uint64 { return k.handshake.identity }

// KnownDisk is the identity of the disk that another keeper was first met with, 0 if it was not. What is sent to it must say so:
// a disk that took its place has not got what this one believes it has.
func (k *Core) KnownDisk(id uint64) uint64 { return k.handshake.disks[id] }

// Participates tells whether it votes and acknowledges: it has met all other keepers once.
func (k *Core) Participates() bool { return k.handshake.done }

// Leader is the id of the leader as far as it is known, 0 if it is not; a member that has ended knows none.
func (k *Core) Leader() uint64 {
	if k.stopped != nil {
		return 0
	}
	return k.raft.BasicStatus().Lead
}

// Term is the present term.
func (k *Core) Term() uint64 { return k.raft.BasicStatus().GetTerm() }

// Leading tells whether this one leads.
func (k *Core) Leading() bool { return k.leading && k.stopped == nil }

// Stopped is why the member has ended, nil while it has not.
func (k *Core) Stopped() error { return k.stopped }

// State is what has been applied here; it must not be changed.
func (k *Core) State() *State { return k.state }

// Voters are the members of the present configuration.
func (k *Core) Voters() []uint64 { return slices.Clone(k.voters.GetVoters()) }

// Tick does what is due; it may be called at any time.
func (k *Core) Tick(now time.Time) {
	if k.stopped != nil || now.Before(k.Due()) {
		return
	}
	switch {
	case !k.handshake.done:
		k.sendHellos(now)
		return
	case k.leading:
		k.sendHeartbeats(now)
	default:
		k.campaign(now)
	}
	k.processReady(now)
}

// resetElection draws the time of the next election. A follower's ticks of the library are never called: its own draw of the
// time can't be seeded. Elections come from here, by Campaign, and the library's lease ends with its leader.
func (k *Core) resetElection(now time.Time) {
	k.electionAt = now.Add(k.cfg.ElectionTimeout + time.Duration(k.rng.Int64N(int64(k.cfg.ElectionTimeout))))
}

// campaign stands for election.
func (k *Core) campaign(now time.Time) {
	k.resetElection(now)
	if err := k.raft.Campaign(); err == nil {
		k.Count.Elections++
	}
}

// sendHeartbeats sends a leader's heartbeats and ends what is overdue.
func (k *Core) sendHeartbeats(now time.Time) {
	k.heartbeatAt = now.Add(k.cfg.HeartbeatInterval)
	k.raft.Tick()
	k.proposeExpiries(now)
	for _, receiver := range k.transfers.takeOverdue(now) {
		k.raft.ReportSnapshot(receiver, raft.SnapshotFailure)
	}
}

// updateLeadership notes whether this one leads, if that has changed.
func (k *Core) updateLeadership(now time.Time) {
	leading := k.raft.BasicStatus().RaftState == raft.StateLeader
	if leading == k.leading {
		return
	}
	k.leading = leading
	clear(k.transfers)
	if !leading {
		clear(k.requests) // another leader answers, or nobody: whoever asked asks again
		k.resetElection(now)
		return
	}
	k.heartbeatAt = now.Add(k.cfg.HeartbeatInterval)
	k.renewals.restart(now, k.state.Leases)
}

// Step takes a message of another keeper, with the identity of the disk that it speaks for. A keeper whose disk is not the
// one that was first met under its id may have forgotten what it promised: nothing it says is heard.
func (k *Core) Step(now time.Time, disk uint64, m *pb.Message) {
	if k.stopped != nil || !k.handshake.done || disk == 0 || !k.acceptable(m) {
		return
	}
	if !k.handshake.checkDisk(m.GetFrom(), disk) || k.raft.Step(m) != nil {
		k.Count.Refused++
		return
	}
	if k.defersElection(m) {
		k.resetElection(now)
	}
	k.processReady(now)
}

// acceptable tells whether a message is one that another keeper may send to this one.
func (k *Core) acceptable(m *pb.Message) bool {
	from := m.GetFrom()
	if from == 0 || from == k.cfg.ID || m.GetTo() != k.cfg.ID {
		return false
	}
	return !raft.IsLocalMsg(m.GetType()) && m.GetType() != pb.MsgProp
}

// defersElection tells whether a message that was taken is a sign of a leader, or got this one's vote.
func (k *Core) defersElection(m *pb.Message) bool {
	status := k.raft.BasicStatus()
	fromLeader := status.RaftState == raft.StateFollower && status.Lead == m.GetFrom()
	voted := m.GetType() == pb.MsgVote && status.GetVote() == m.GetFrom() && status.GetTerm() == m.GetTerm()
	return fromLeader || voted
}

// RequestLeases takes a lease request; its response goes to from once it is durable at a majority. It returns ErrNotLeader, an
// ErrCommand for a malformed request, or why it can't be proposed.
func (k *Core) RequestLeases(now time.Time, from netip.AddrPort, r *owner.LeaseRequest) error {
	if err := CheckRequest(r); err != nil {
		return err
	}
	return k.propose(now, &Command{Request: r}, from)
}

// RequestFloors takes a request for the latest token of each lease; its response goes to from. Errors are those of RequestLeases.
func (k *Core) RequestFloors(now time.Time, from netip.AddrPort, r *FloorsRequest) error {
	if r.Session == 0 {
		return ErrInvalidRequest
	}
	return k.propose(now, &Command{Floors: r}, from)
}

// ChangeVoters adds or removes one voter; one change at a time. It returns ErrNotLeader, or why it can't be proposed.
func (k *Core) ChangeVoters(now time.Time, add bool, id uint64) error {
	if !k.Leading() {
		return ErrNotLeader
	}
	kind := pb.ConfChangeRemoveNode
	if add {
		kind = pb.ConfChangeAddNode
	}
	if err := k.raft.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: proto.Uint64(id)}); err != nil {
		return fmt.Errorf("keeper: change of members: %w", err)
	}
	k.processReady(now)
	return nil
}

// stop ends the member.
func (k *Core) stop(err error) {
	k.stopped = err
	k.output.Stopped = err
}
