package peers

import (
	"net/netip"
	"time"
)

// Config is the configuration of Peers.
type Config struct {
	Name    string // of this process, for people
	Zone    string
	Addr    netip.AddrPort   // by which the others reach this process
	Session uint64           // drawn anew for each life; above 0
	Seeds   []netip.AddrPort // members to begin with
	Known   []Member         // members that live, from before this life; see restore
	Period  time.Duration    // between two pings
	Timeout time.Duration    // until others are asked to ping in one's place; under half of Period
	Seed    uint64           // of random choices
	// MaxMembers is how many other members are known at once; further ones are dropped. 0: 4,096.
	MaxMembers int
}

// DefaultConfig returns the times that serve; all else remains to be set.
func DefaultConfig() Config {
	return Config{Period: 500 * time.Millisecond, Timeout: 150 * time.Millisecond}
}

const (
	indirectProbes        = 3                      // members that are asked to ping in one's place
	maxPacketRecords      = 12                     // members that a packet carries at the most
	mostMembers           = 4096                   // known at once, unless Config.MostMembers says otherwise
	maxNameBytes          = 64                     // bytes
	steadySyncInterval    = 10 * time.Second       // the usual time between two Syncs
	initialSyncInterval   = 2 * time.Second        // so often the first times
	syncIntervalPerMember = 100 * time.Millisecond // at least, for each member, so that bytes a second stay flat
	endedRetention        = time.Minute            // a dead member is remembered for so long, against late gossip
	maxLocalHealth        = 8                      // see localHealth
	joinInterval          = time.Second            // the mean time between two attempts to join
	initialSyncs          = 3                      // Syncs that go out at syncFirst: what it was told at its start may miss those that started with it
	maxRelays             = 256                    // pings that are made for others at once
	maxIncarnation        = 1 << 62                // nobody gets there honestly, and above it there would soon be no higher one
)
