package keeper

import (
	"fmt"
	"time"

	"ospreyspan/internal/owner"
)

// Config is the configuration of a Core.
type Config struct {
	// ID is the Raft id of this keeper, above 0.
	ID uint64
	// Voters are the ids of the keepers of a new fleet, ID included. Later voters that the log
	// holds take precedence.
	Voters []uint64
	Terms  owner.LeaseTerms
	// HeartbeatInterval is the time between two heartbeats of a leader. Above 0.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without a heartbeat after which a follower starts an
	// election. Each timeout is drawn at random from ElectionTimeout to twice that. At least 4
	// heartbeat intervals.
	ElectionTimeout time.Duration
	// SnapshotEvery is the number of entries applied between two snapshots. Above 0.
	SnapshotEvery uint64
	// TrailingEntries is the number of entries kept before a snapshot, so that a follower that lags
	// only slightly catches up without a snapshot.
	TrailingEntries uint64
	Seed            uint64 // seeds the random choices
	Flaws           Flaws
}

// Flaws are deliberate defects that tests enable, to verify that the checks detect each of them.
// The zero value has none.
type Flaws struct {
	EarlyGrant    bool // a lease is granted to another client after a quarter of the required time
	AckBeforeSync bool // messages are sent before the log is synced to disk
}

// DefaultConfig returns the defaults. The caller still sets ID, Voters and Seed.
func DefaultConfig() Config {
	return Config{
		Terms: owner.DefaultTerms(), HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond,
		SnapshotEvery: 2000, TrailingEntries: 200,
	}
}

// minHeartbeatsPerElection is the minimum ratio of ElectionTimeout to HeartbeatInterval.
const minHeartbeatsPerElection = 4

// check returns an error that lists the values if one of them is out of range.
func (c *Config) check() error {
	if err := c.Terms.Check(); err != nil {
		return err
	}
	if c.ID == 0 || c.HeartbeatInterval <= 0 || c.ElectionTimeout < minHeartbeatsPerElection*c.HeartbeatInterval || c.SnapshotEvery == 0 {
		return fmt.Errorf("keeper: invalid configuration: id %d, heartbeat interval %v, election timeout %v, snapshot every %d entries", c.ID, c.HeartbeatInterval, c.ElectionTimeout, c.SnapshotEvery)
	}
	return nil
}
