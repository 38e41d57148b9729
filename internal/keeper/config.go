package keeper

import (
	"fmt"
	"time"

	"ospreyspan/internal/owner"
)

// Config is the configuration of a Core.
type Config struct {
	ID     uint64   // of this keeper, above 0
	Voters []uint64 // ids of a new fleet's keepers, this one among them; a log that has later ones takes precedence
	Terms  owner.Terms
	// HeartbeatInterval is the time between two heartbeats of a leader. Above 0.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the least time without a heartbeat after which a follower stands for election; the time is drawn up to
	// twice that. At least 4 heartbeats.
	ElectionTimeout time.Duration
	// SnapshotEvery is how many entries are applied between two snapshots. Above 0.
	SnapshotEvery uint64
	// TrailingEntries is how many entries are kept behind a snapshot, for members that are only a little late.
	TrailingEntries uint64
	Seed            uint64 // of random choices
	Flaws           Flaws
}

// Flaws are mistakes to be planted in tests, which must find each of them. The zero value has none.
type Flaws struct {
	EarlyGrant    bool // leases are granted to others after a quarter of the time
	AckBeforeSync bool // messages go out before the log is on disk
}

// DefaultConfig returns the values that serve; ID, Voters and Seed remain to be set.
func DefaultConfig() Config {
	return Config{
		Terms: owner.DefaultTerms(), HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond,
		SnapshotEvery: 2000, TrailingEntries: 200,
	}
}

// minHeartbeatsPerElection is how many heartbeats fit at least into the time without one after which a follower stands for election.
const minHeartbeatsPerElection = 4

// check returns an error that tells the values if one is out of its range.
func (c *Config) check() error {
	if err := c.Terms.Check(); err != nil {
		return err
	}
	if c.ID == 0 || c.HeartbeatInterval <= 0 || c.ElectionTimeout < minHeartbeatsPerElection*c.HeartbeatInterval || c.SnapshotEvery == 0 {
		return fmt.Errorf("keeper: id %d, beat %v, election %v, snapshot every %d entries", c.ID, c.HeartbeatInterval, c.ElectionTimeout, c.SnapshotEvery)
	}
	return nil
}
