package instance

import (
	"time"

	"ospreyspan/internal/shared/evidence"
	"ospreyspan/internal/shared/limit"
)

// retries limits the retry hops of all proxies together to a fraction of their first hops. Each
// proxy publishes how many of both it made within the budget's period. While the sum of the known
// retry hops exceeds the budget, the module makes none.
type retries struct {
	fleet       *fleet
	config      limit.RetryBudget
	staleAfter  time.Duration
	firstHops   []time.Time
	furtherHops []time.Time
	overBudget  bool
	publishedAt time.Time
}

// publishInterval is the time between two publications of the counts.
const publishInterval = time.Second

const (
	firstKey   = evidence.LimitPrefix + "hops, first"
	furtherKey = evidence.LimitPrefix + "hops, further"
)

func newRetries(f *fleet, c limit.RetryBudget, staleAfter time.Duration) *retries {
	r := &retries{fleet: f, config: c, staleAfter: staleAfter}
	f.instance.engine.OnHopStart(r.onHop)
	return r
}

func (r *retries) onHop(_ int, first bool) {
	now := r.fleet.loop.Now()
	if first {
		r.firstHops = append(r.firstHops, now)
		return
	}
	r.furtherHops = append(r.furtherHops, now)
	r.fleet.instance.Count.Further++
}

func dropBefore(list []time.Time, from time.Time) []time.Time {
	for len(list) > 0 && list[0].Before(from) {
		list = list[1:]
	}
	return list
}

// tick publishes this process's counts and compares the sum of the known counts with the budget.
// The hops of a process that is not heard are unknown and not counted: the budget is then that of
// the processes that hear each other, based on their own first hops.
func (r *retries) tick(now time.Time) {
	from := now.Add(-r.config.Period)
	r.firstHops, r.furtherHops = dropBefore(r.firstHops, from), dropBefore(r.furtherHops, from)
	store := r.fleet.carrier.Store()
	// a budget over seconds needs no more frequent updates
	if now.Sub(r.publishedAt) >= publishInterval {
		r.publishedAt = now
		store.RecordUse(now, firstKey, len(r.firstHops), 0)
		store.RecordUse(now, furtherKey, len(r.furtherHops), 0)
	}
	sum := func(key string) (n int) {
		store.EachUse(now, key, func(_ evidence.Writer, use, _ int, age time.Duration) {
			if age <= r.staleAfter {
				n += use
			}
		})
		return n
	}
	if overBudget := sum(furtherKey) > r.config.Max(sum(firstKey)); overBudget != r.overBudget {
		r.overBudget = overBudget
		r.fleet.instance.engine.SetRetryBudgetSpent(overBudget)
		r.fleet.instance.Count.Thrifty++
	}
}
