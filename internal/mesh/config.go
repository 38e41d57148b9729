package mesh

import (
	"net/netip"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/peers"
	"ospreyspan/internal/poll"
)

// Disk writes a keeper's log. Append adds data to the end of the log; Replace atomically replaces
// the whole log. Both call done on the loop once the write is durable or has failed, in the order
// of the calls.
type Disk interface {
	Append(b []byte, done func(error))
	Replace(b []byte, done func(error))
}

// KeeperAddress is the id and the UDP address of a keeper.
type KeeperAddress struct {
	ID   uint64
	Addr netip.AddrPort
}

// Config is the configuration of a Node. Callbacks that are nil are not called.
type Config struct {
	Loop    *poll.Loop
	Cluster string // datagrams of other clusters are dropped
	Name    string // display name of this process
	Zone    string
	Listen  netip.AddrPort // UDP
	// Advertise is the address at which other processes reach this one, if it differs from Listen.
	// The list of keepers contains this address.
	Advertise   netip.AddrPort
	Session     uint64              // random id of this run of the process; above 0
	Seeds       []netip.AddrPort    // addresses of members to contact first
	Known       []peers.Member      // live members from before a restart; see peers.Config
	Keepers     []KeeperAddress     // all keepers; empty: no leases are used
	Keeper      *keeper.Config      // of the keeper in this process; nil: this process is no keeper
	RestoredLog *keeper.RestoredLog // required with Keeper
	Disk        Disk                // required with Keeper
	Terms       owner.LeaseTerms
	Duties      []string // leases that this process acquires when they are free
	Seed        uint64   // of the random number generator
	Flaws       owner.Flaws
	// MaxMembers is the maximum number of other members that are known at a time; see peers.Config.
	MaxMembers int
	// ForgetFloors injects a fault for tests: the fence accepts effects before the floors are
	// known.
	ForgetFloors bool
	// OnAnnouncement is called once for each accepted announcement, in the order of their ids.
	OnAnnouncement func(a Announcement)
	// OnOwnerMessage is called with requests sent to this process as the owner of a lease, and with
	// responses of owners that passed the fence.
	OnOwnerMessage func(from netip.AddrPort, m *OwnerMessage)
	// OnSharedMessage is called with messages of other processes on topics that have no owner.
	OnSharedMessage func(from netip.AddrPort, m *SharedMessage)
	// SharedView returns the state of each item of the topics that have no owner, for a View.
	SharedView func() []SharedView
	// OnMembersChanged is called with the live members whenever they change.
	OnMembersChanged func([]peers.Member)
	// OnRequest is called with each lease request when it is first sent, and OnResponse with each
	// lease response that is accepted. Both are for tests.
	OnRequest  func(*owner.LeaseRequest)
	OnResponse func(*owner.LeaseResponse)
	// OnEvent is called with each change that is to be logged.
	OnEvent func(e Event)
}

// Announcement is the state that the owner of a lease last published.
type Announcement struct {
	AnnouncementID
	Data         []byte
	OwnerSession uint64 // session of the process that published it
	Local        bool   // published by this process
}

// Event is a change that is to be logged.
type Event struct {
	Kind    string // stable identifier of the kind of change
	Lease   string
	Token   uint64
	Version uint64 // of the accepted announcement that the event reports; 0: it reports none
	Member  *peers.Member
	Err     error
}

// Counters are the counters of a Node.
type Counters struct {
	// Datagrams and bytes sent and received.
	Sent, Received, BytesSent, BytesReceived uint64
	// Datagrams that were dropped: of another cluster or version, damaged, longer than MaxDatagram,
	// or not sent.
	Foreign, Damaged, Long, Unsent uint64
	// Requests sent to keepers.
	LeaseRequests, FloorsRequests uint64
	// Announcements received. Accepted: taken over. Stale: refused because they come from a former
	// owner; responses that the fence refuses count as well. Old: dropped because they are not
	// newer than the known one. Early: refused because the floors were not known yet.
	AnnouncementsAccepted, AnnouncementsStale, AnnouncementsOld, AnnouncementsEarly uint64
	// Unsolicited: responses about leases whose owner is not known here.
	Unsolicited uint64
	// Pull requests sent, and those that got no response.
	Pulls, PullsLost uint64
}
