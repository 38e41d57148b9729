package instance

import (
	"time"

	"ospreyspan/internal/shared/evidence"
	"ospreyspan/internal/shared/limit"
)

// retries keeps the further hops of all proxies together to a part of the first ones. Each tells how many of both it made within
// the budget's time; while the sum of the further ones that are known is over the budget, the module makes none.
type retries struct {
	f       *fleet
	conf    limit.Retries
	stale   time.Duration
	first   []time.Time
	further []time.Time
	thrifty bool
	told    time.Time
}

// tellEvery is the time between two words on what was made of late.
const tellEvery = time.Second

const (
	firstKey   = evidence.LimitPrefix + "hops, first"
	furtherKey = evidence.LimitPrefix + "hops, further"
)

func newRetries(f *fleet, c limit.Retries, stale time.Duration) *retries {
	r := &retries{f: f, conf: c, stale: stale}
	f.i.engine.OnHop(r.hop)
	return r
}

func (r *retries) hop(_ int, first bool) {
	now := r.f.loop.Now()
	if first {
		r.first = append(r.first, now)
		return
	}
	r.further = append(r.further, now)
	r.f.i.Count.Further++
}

func since(list []time.Time, from time.Time) []time.Time {
	for len(list) > 0 && list[0].Before(from) {
		list = list[1:]
	}
	return list
}

// look tells the others, and weighs what they told. What one that is not heard made of late is not known and not reckoned: the budget
// is then that of those who hear each other, by their own first attempts.
func (r *retries) look(now time.Time) {
	from := now.Add(-r.conf.Within)
	r.first, r.further = since(r.first, from), since(r.further, from)
	store := r.f.carrier.Store()
	if now.Sub(r.told) >= tellEvery { // a budget over seconds needs no closer word
		r.told = now
		store.Use(now, firstKey, len(r.first), 0)
		store.Use(now, furtherKey, len(r.further), 0)
	}
	sum := func(key string) (n int) {
		store.Uses(now, key, func(_ evidence.Writer, use, _ int, age time.Duration) {
			if age <= r.stale {
				n += use
			}
		})
		return n
	}
	if thrifty := sum(furtherKey) > r.conf.Most(sum(firstKey)); thrifty != r.thrifty {
		r.thrifty = thrifty
		r.f.i.engine.SetRetryBudgetSpent(thrifty)
		r.f.i.Count.Thrifty++
	}
}
