// Which open connections are moved: off backends that drain, and off overloaded ones.

package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	drainMoveWithin   = 5 * time.Second        // own connections are moved off a backend that drains within this...
	drainMoveInterval = 200 * time.Millisecond // ...a few at a time

	overloadThreshold = 0.95 // load of a backend from which its connections are moved...
	overloadTarget    = 0.65 // ...down to this, well under the bar, so that it is not full again at once
)

// moveOffDraining moves own connections off the backends that drain, evenly over leaveWithin, since all relays hear of
// a drain in the same moment. Those of most worth go first, while there is surely time.
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
		slices.SortStableFunc(open, func(r, than *request) int {
			return cmp.Compare(b.class(than.Class).Worth, b.class(r.Class).Worth)
		})
		steps := max(int(k.drainBy.Sub(now)/drainMoveInterval), 1)
		// A part that is no whole number is drawn: rounded up, one each of many relays would go at once.
		part := float64(len(open))/float64(steps) + b.rng.Float64()
		for _, r := range open[:min(int(part), len(open))] {
			r.moveSent = true
			b.host.Move(r.ID)
		}
	}
	if b.drainTimerSet {
		b.host.After(drainMoveInterval, timerDrain)
	}
}

// moveOffOverloaded moves own connections off an overloaded backend, the same part at every relay, drawn so that small
// numbers add up, and then waits until reports can show what that did.
func (b *Balancer) moveOffOverloaded(now time.Time, k *backend, load float64) {
	if !(load > overloadThreshold) || now.Sub(k.rebalancedAt) < probeInterval {
		return
	}
	k.rebalancedAt = now
	excess := (1 - overloadTarget/load) * float64(len(k.requests))
	for n := int(excess + b.rng.Float64()); n > 0; n-- {
		var least *request
		for _, r := range k.requests {
			if r.established && !r.moveSent && (least == nil || b.movesBefore(k, r, least)) {
				least = r
			}
		}
		if least == nil {
			return
		}
		least.moveSent = true
		b.host.Move(least.ID)
	}
}

// movesBefore orders connections for relief: the group that ranks the backend lowest goes first, at all relays
// alike, so that it soon pays for one group less; then the least worth.
func (b *Balancer) movesBefore(k *backend, r, than *request) bool {
	if b.cfg.GroupAffinity && r.Group != than.Group {
		return mix(hash(r.Group)^k.idHash) < mix(hash(than.Group)^k.idHash)
	}
	return b.class(r.Class).Worth < b.class(than.Class).Worth
}
