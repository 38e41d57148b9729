package peers

import (
	"net/netip"
	"time"
)

// Config is the configuration of Peers.
type Config struct {
	Name    string // name of this process, shown to operators
	Zone    string
	Addr    netip.AddrPort   // address at which the other members reach this process
	Session uint64           // random identifier, new at each start of the process; above 0
	Seeds   []netip.AddrPort // addresses of members to contact first
	Known   []Member         // live members known from before a restart; see restore
	Period  time.Duration    // time between two pings
	Timeout time.Duration    // wait for an Ack before indirect probes; below half of Period
	Seed    uint64           // seed of the random number generator
	// MaxMembers is the maximum number of other members in the table; further ones are ignored.
	// 0 means 4,096.
	MaxMembers int
}

// DefaultConfig returns a Config with default values of Period and Timeout. The caller sets all
// other fields.
func DefaultConfig() Config {
	return Config{Period: 500 * time.Millisecond, Timeout: 150 * time.Millisecond}
}

const (
	indirectProbes      = 3                // members asked to ping on behalf of this process
	maxPacketRecords    = 12               // member records in a packet
	mostMembers         = 4096             // other members; default of Config.MaxMembers
	maxNameBytes        = 64               // longest name of a member or zone
	steadySyncInterval  = 10 * time.Second // mean time between two Syncs after the initial ones
	initialSyncInterval = 2 * time.Second  // mean time between the initial Syncs
	// The mean time between two Syncs is at least this long per member, so that the bytes sent per
	// second do not grow with the number of members.
	syncIntervalPerMember = 100 * time.Millisecond
	// A member that died or left stays in the table for this long, so that late gossip does not
	// bring it back.
	endedRetention = time.Minute
	maxLocalHealth = 8           // see localHealth
	joinInterval   = time.Second // mean time between two attempts to join
	// The first Syncs follow each other after initialSyncInterval: the list that a process gets
	// when it starts may lack members that started at the same time.
	initialSyncs = 3
	maxRelays    = 256 // pings in progress on behalf of other members
	// Higher incarnations are invalid. No member reaches this one by refuting suspicions, and a
	// member forced close to the largest value could soon not refute any more.
	maxIncarnation = 1 << 62
)
