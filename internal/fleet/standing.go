package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// MaxStandingWait is how long a connection that stood before the day may take to come up.
const MaxStandingWait = 40 * time.Second

// AddStanding adds a client whose connection the given relay has held since before the day. It asks
// for that relay, as often as a client retries quickly, and for MaxStandingWait at most. Its class
// and what it wants are drawn from rng.
func (g *LoadGenerator) AddStanding(relay string, rng *rand.Rand) {
	group := fmt.Sprintf("%s-standing", g.config.Site)
	g.addHeldClient(rng.IntN(len(g.config.Classes)), group, relay, rng)
}

// reportStandingLost reports that the client's connection did not come up, and ends the client.
func (c *client) reportStandingLost() {
	c.generator.ledger.reportViolation("standing-not-up", "client %s, whose connection stood at %s before the day, gives up after %d tries and %v",
		c.key, c.heldBy, c.attempts, c.generator.loop.Now().Sub(c.arrived))
	c.recordWanted()
	c.closeAndRemove()
}

// markStandingUp records that the client's connection has come up. From then on it is like any
// other, and may be moved.
func (c *client) markStandingUp() {
	if c.heldBy != "" {
		c.heldBy = ""
		c.generator.ledger.Counts.Standing++
	}
}
