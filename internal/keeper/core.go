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

// Limits of the Raft library.
const (
	maxMessageBytes     = 600 // entries of one message
	maxInflightMessages = 64
	maxUncommittedBytes = 256 << 10
	maxCommittedBytes   = 64 << 10 // entries applied at once
)

// stoppedDelay is how long after its last election time a stopped keeper is due: practically never.
const stoppedDelay = 1000 * time.Hour

// ErrNotLeader is returned for a request to a keeper that is not the leader. Core.Leader returns
// the keeper to ask instead.
var ErrNotLeader = errors.New("keeper: not the leader")

// Core is one keeper without its disk and its network. A single goroutine drives it: it passes
// events with their time and takes the Output after each.
type Core struct {
	cfg          Config
	rng          *rand.Rand
	handshake    handshake
	raft         *raft.RawNode
	storage      *raft.MemoryStorage
	voters       *pb.ConfState
	state        *State
	snapshotAt   uint64 // log index of the latest snapshot
	output       Output
	writing      bool        // the write of the last Output has not been reported by Synced yet
	unsavedReady *raft.Ready // its record is being written; nil: none
	requests     pendingRequests
	renewals     renewalTimers // valid while leading
	leading      bool
	// electionAt is when the keeper starts the next election. Messages of the leader and a vote for
	// another keeper postpone it. It has no effect while the keeper leads or has not met all
	// others.
	electionAt  time.Time
	heartbeatAt time.Time // when the leader sends the next heartbeats
	transfers   snapshotTransfers
	stopped     error // nil while the keeper runs
	Count       Counters
}

// Counters counts the events of a Core: elections started, entries applied, snapshots created or
// installed, and messages refused.
type Counters struct {
	Elections, Applied, Snapshots, Refused uint64
}

// New returns a Core that continues from a log.
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

// restoreSnapshot loads the state and the voters from the snapshot in storage.
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

// Take returns the Output accumulated since the last call.
func (k *Core) Take() Output {
	out := k.output
	k.output = Output{}
	return out
}

// Due returns when Tick is to be called next.
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

// DiskIdentity returns the identity of this keeper's disk.
func (k *Core) DiskIdentity() uint64 { return k.handshake.identity }

// KnownDisk returns the disk identity with which another keeper was first met, 0 if it has not been
// met. Each message to that keeper must carry it: a replacement disk lacks the entries that this
// keeper believes the other one has.
func (k *Core) KnownDisk(id uint64) uint64 { return k.handshake.disks[id] }

// Participates reports whether the keeper votes and acknowledges entries, which it does once it has
// met all other keepers.
func (k *Core) Participates() bool { return k.handshake.done }

// Leader returns the id of the current leader, 0 if it is unknown or this keeper has stopped.
func (k *Core) Leader() uint64 {
	if k.stopped != nil {
		return 0
	}
	return k.raft.BasicStatus().Lead
}

// Term returns the current Raft term.
func (k *Core) Term() uint64 { return k.raft.BasicStatus().GetTerm() }

// Leading reports whether this keeper is the leader.
func (k *Core) Leading() bool { return k.leading && k.stopped == nil }

// Stopped returns why the keeper has stopped, nil while it runs.
func (k *Core) Stopped() error { return k.stopped }

// State returns the state applied so far. The caller must not modify it.
func (k *Core) State() *State { return k.state }

// Voters returns the ids of the voters of the current configuration.
func (k *Core) Voters() []uint64 { return slices.Clone(k.voters.GetVoters()) }

// Tick performs the timed action that is due. It may be called at any time.
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

// resetElection draws the time of the next election. A follower never calls the library's Tick,
// since the library's random election timeout can't be seeded. Elections are started here by
// Campaign, and the library's leader lease ends with its leader.
func (k *Core) resetElection(now time.Time) {
	k.electionAt = now.Add(k.cfg.ElectionTimeout + time.Duration(k.rng.Int64N(int64(k.cfg.ElectionTimeout))))
}

// campaign starts an election.
func (k *Core) campaign(now time.Time) {
	k.resetElection(now)
	if err := k.raft.Campaign(); err == nil {
		k.Count.Elections++
	}
}

// sendHeartbeats sends the leader's heartbeats, proposes the expiry of overdue grants and reports
// overdue snapshot transfers as failed.
func (k *Core) sendHeartbeats(now time.Time) {
	k.heartbeatAt = now.Add(k.cfg.HeartbeatInterval)
	k.raft.Tick()
	k.proposeExpiries(now)
	for _, receiver := range k.transfers.takeOverdue(now) {
		k.raft.ReportSnapshot(receiver, raft.SnapshotFailure)
	}
}

// updateLeadership compares the role in the library with the last one seen and handles a change.
func (k *Core) updateLeadership(now time.Time) {
	leading := k.raft.BasicStatus().RaftState == raft.StateLeader
	if leading == k.leading {
		return
	}
	k.leading = leading
	clear(k.transfers)
	if !leading {
		clear(k.requests) // clients repeat their requests, to the new leader
		k.resetElection(now)
		return
	}
	k.heartbeatAt = now.Add(k.cfg.HeartbeatInterval)
	k.renewals.restart(now, k.state.Leases)
}

// Step handles a message of another keeper, with the identity of the sender's disk. A message is
// refused if that disk is not the one first met under the sender's id: a keeper with another disk
// may have lost votes and entries that it acknowledged.
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

// acceptable reports whether a message is of a kind that another keeper may send to this one.
func (k *Core) acceptable(m *pb.Message) bool {
	from := m.GetFrom()
	if from == 0 || from == k.cfg.ID || m.GetTo() != k.cfg.ID {
		return false
	}
	return !raft.IsLocalMsg(m.GetType()) && m.GetType() != pb.MsgProp
}

// defersElection reports whether an accepted message came from the leader or got this keeper's
// vote, so that the election timeout restarts.
func (k *Core) defersElection(m *pb.Message) bool {
	status := k.raft.BasicStatus()
	fromLeader := status.RaftState == raft.StateFollower && status.Lead == m.GetFrom()
	voted := m.GetType() == pb.MsgVote && status.GetVote() == m.GetFrom() && status.GetTerm() == m.GetTerm()
	return fromLeader || voted
}

// HandleLeaseRequest proposes a lease request that a client sent to this keeper. Its response goes
// to from once the entry is durable on a majority. HandleLeaseRequest returns ErrNotLeader, an
// ErrInvalidRequest for a malformed request, or the error of the proposal.
func (k *Core) HandleLeaseRequest(now time.Time, from netip.AddrPort, r *owner.LeaseRequest) error {
	if err := CheckRequest(r); err != nil {
		return err
	}
	return k.propose(now, &Command{Request: r}, from)
}

// HandleFloorsRequest proposes a request for the latest token of each lease. Its response goes to
// from. The errors are those of HandleLeaseRequest.
func (k *Core) HandleFloorsRequest(now time.Time, from netip.AddrPort, r *FloorsRequest) error {
	if r.Session == 0 {
		return ErrInvalidRequest
	}
	return k.propose(now, &Command{Floors: r}, from)
}

// ChangeVoters proposes to add or remove one voter. Only one change may be in progress at a time.
// It returns ErrNotLeader or the error of the proposal.
func (k *Core) ChangeVoters(now time.Time, add bool, id uint64) error {
	if !k.Leading() {
		return ErrNotLeader
	}
	kind := pb.ConfChangeRemoveNode
	if add {
		kind = pb.ConfChangeAddNode
	}
	if err := k.raft.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: proto.Uint64(id)}); err != nil {
		return fmt.Errorf("keeper: change of voters: %w", err)
	}
	k.processReady(now)
	return nil
}

// stop stops the keeper for good and reports the reason in the Output.
func (k *Core) stop(err error) {
	k.stopped = err
	k.output.Stopped = err
}
