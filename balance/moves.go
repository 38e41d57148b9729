// Moves of open connections off draining and overloaded backends.

package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// drainMoveWithin is the time within which the connections of this relay are moved off a
	// draining backend.
	drainMoveWithin = 5 * time.Second
	// drainMoveInterval is the time between batches of moves off a draining backend.
	drainMoveInterval = 200 * time.Millisecond

	// overloadThreshold is the load of a backend above which connections are moved off it.
	overloadThreshold = 0.95
	// overloadTarget is the load to which moves bring an overloaded backend down. It is well below
	// the load at which a backend gets no new connections, so that the backend is not full again at
	// once.
	overloadTarget = 0.65
)

// moveOffDraining moves the connections of this relay off draining backends, evenly over
// drainMoveWithin, since all relays learn of a drain at the same time. Connections of the highest
// worth go first, while there is certainly time.
func (b *Balancer) moveOffDraining(now time.Time) {
	b.drainTimerSet = false
	for _, k := range b.backends {
		if k.State != Draining {
			k.drainBy = time.Time{}
			continue
		}
		b.drainTimerSet = true
		if k.drainBy.IsZero() {
			k.drainBy = now.Add(drainMoveWithin)
		}
		var open []*request
		for _, r := range k.requests {
			if r.established && !r.moveSent {
				open = append(open, r)
			}
		}
		slices.SortStableFunc(open, func(r, other *request) int {
			return cmp.Compare(b.class(other.Class).Worth, b.class(r.Class).Worth)
		})
		steps := max(int(k.drainBy.Sub(now)/drainMoveInterval), 1)
		// The fraction is rounded at random: if it were rounded up, each of many relays would move
		// one connection at once.
		count := float64(len(open))/float64(steps) + b.rng.Float64()
		for _, r := range open[:min(int(count), len(open))] {
			r.moveSent = true
			b.host.Move(r.ID)
		}
	}
	if b.drainTimerSet {
		b.host.After(drainMoveInterval, timerDrain)
	}
}

// moveOffOverloaded moves connections of this relay off an overloaded backend, the same part at
// every relay. The number is rounded at random, so that small numbers of many relays add up. No
// more are moved until reports can show the effect.
func (b *Balancer) moveOffOverloaded(now time.Time, k *backend, load float64) {
	if !(load > overloadThreshold) || now.Sub(k.rebalancedAt) < probeInterval {
		return
	}
	k.rebalancedAt = now
	excess := (1 - overloadTarget/load) * float64(len(k.requests))
	for n := int(excess + b.rng.Float64()); n > 0; n-- {
		var first *request
		for _, r := range k.requests {
			if r.established && !r.moveSent && (first == nil || b.movesBefore(k, r, first)) {
				first = r
			}
		}
		if first == nil {
			return
		}
		first.moveSent = true
		b.host.Move(first.ID)
	}
}

// movesBefore reports whether connection r is moved off an overloaded backend before another. The
// group that ranks the backend lowest goes first, the same at all relays, so that the backend soon
// serves one group less; then the connection of the least worth.
func (b *Balancer) movesBefore(k *backend, r, other *request) bool {
	if b.cfg.GroupAffinity && r.Group != other.Group {
		return mix(hash(r.Group)^k.idHash) < mix(hash(other.Group)^k.idHash)
	}
	return b.class(r.Class).Worth < b.class(other.Class).Worth
}
