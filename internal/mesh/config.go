package mesh

import (
	"net/netip"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/peers"
	"ospreyspan/internal/poll"
)

// Disk writes a keeper's log: Append behind it, Replace all of it or nothing. done is called on the loop once the write is
// durable or has failed, in the order of the calls.
type Disk interface {
	Append(b []byte, done func(error))
	Replace(b []byte, done func(error))
}

// KeeperAddress is the id and the address of a keeper.
type KeeperAddress struct {
	ID   uint64
	Addr netip.AddrPort
}

// Config is the configuration of a Node. Functions that are nil are not called.
type Config struct {
	Loop    *poll.Loop
	Cluster string // datagrams of others are dropped
	Name    string // of this process, for people
	Zone    string
	Listen  netip.AddrPort // UDP
	// Advertise is the address by which the others reach this process, where that is another one; the keepers' list names it.
	Advertise   netip.AddrPort
	Session     uint64           // of this life of the process, random; above 0
	Seeds       []netip.AddrPort // members to begin with
	Known       []peers.Member   // members that live, from before this life; see peers.Config
	Keepers     []KeeperAddress  // all of them; empty: there are no leases
	Keeper      *keeper.Config   // of the keeper here; nil: there is none
	RestoredLog *keeper.Restored // with Keeper
	Disk        Disk             // with Keeper
	Terms       owner.Terms
	Duties      []string // leases that this process takes if it may
	Seed        uint64   // of random choices
	Flaws       owner.Flaws
	// MaxMembers is how many other members are known at once; see peers.Config.
	MaxMembers int
	// ForgetFloors plants a mistake: the fence accepts effects before the floors are known.
	ForgetFloors bool
	// OnAnnouncement is called with each announcement that is accepted, once, in the order of their ids.
	OnAnnouncement func(w Announcement)
	// OnOwnerMessage is called with requests to this process as an owner, and with owners' responses that passed the fence.
	OnOwnerMessage func(from netip.AddrPort, d *OwnerMessage)
	// OnSharedMessage is called with other processes' messages on matters that mesh does not know.
	OnSharedMessage func(from netip.AddrPort, s *SharedMessage)
	// SharedView returns the state of those matters, for operators.
	SharedView func() []SharedView
	// OnMembersChanged is called with the members that live, whenever that changes.
	OnMembersChanged func([]peers.Member)
	// OnRequest and OnResponse, for tests, are called with each lease request that goes out for the first time and with each
	// response that counts.
	OnRequest  func(*owner.LeaseRequest)
	OnResponse func(*owner.LeaseResponse)
	// OnEvent is called with each change, for the log.
	OnEvent func(e Event)
}

// Announcement is what the owner of a lease last published.
type Announcement struct {
	AnnouncementID
	Data         []byte
	OwnerSession uint64 // session of the owner
	Local        bool   // published here
}

// Event is a change worth a line of the log.
type Event struct {
	Kind    string // kind of the change, of fixed spelling
	Lease   string
	Token   uint64
	Version uint64 // of an announcement
	Member  *peers.Member
	Err     error
}

// Counters count what a Node did.
type Counters struct {
	// Datagrams and bytes.
	Sent, Received, BytesSent, BytesReceived uint64
	// Datagrams that were dropped: of other clusters, damaged, too long, or not sent.
	Foreign, Damaged, Long, Unsent uint64
	// Requests that were sent to keepers.
	LeaseRequests, FloorsRequests uint64
	// Announcements that were received: accepted, refused as a former owner's, not newer than the known one, or refused since the
	// floors were not known yet.
	AnnouncementsAccepted, AnnouncementsStale, AnnouncementsOld, AnnouncementsEarly uint64
	// Pull requests that were sent, and those without a response.
	Pulls, PullsLost uint64
}
