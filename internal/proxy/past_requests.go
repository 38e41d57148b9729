package proxy

import (
	"hash/maphash"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/routes"
)

const (
	// pastRequestRetention is how long a request that may have run is remembered after its exchange
	// has ended: longer than a client goes on trying.
	pastRequestRetention = time.Minute
	// maxPastRequests is the number of requests that may be remembered. While it is reached,
	// requests whose classes need it are refused before they are sent: forgetting one could let it
	// run twice.
	maxPastRequests = 1 << 16
)

// pastRun is where and when a request may have run first.
type pastRun struct {
	target    *routes.Target
	sentAfter time.Duration // since pastRequests.epoch
}

// pastRequest is an entry of the queue of remembered requests.
type pastRequest struct {
	hash        uint64
	forgetAfter time.Duration // since pastRequests.epoch
}

// pastRequests remembers, by the id that the client chose, requests that may have run and whose
// classes restrict repeats, beyond the end of their exchanges: a client that has left may come
// again by the same id. It covers this process only, and no more than its life. Ids are kept as
// hashes, so that an entry has a fixed size whatever the length of the id.
type pastRequests struct {
	epoch    time.Time
	seed     maphash.Seed
	runs     map[uint64]pastRun
	queue    []pastRequest // in the order in which they are forgotten
	capacity int
}

func newPastRequests(now time.Time) pastRequests {
	return pastRequests{epoch: now, seed: maphash.MakeSeed(), runs: make(map[uint64]pastRun), capacity: maxPastRequests}
}

// remember notes that the request with an id may have run first at a target, where it was sent at a
// time. What is known of the id already stays.
func (p *pastRequests) remember(now time.Time, id string, target *routes.Target, sentAt time.Time) {
	hash := maphash.String(p.seed, id)
	if _, known := p.runs[hash]; known {
		return
	}
	p.runs[hash] = pastRun{target, sentAt.Sub(p.epoch)}
	p.queue = append(p.queue, pastRequest{hash, now.Sub(p.epoch) + pastRequestRetention})
}

// find returns where and when the request with an id may have run. ok is false if that is not
// known.
func (p *pastRequests) find(now time.Time, id string) (target *routes.Target, sentAt time.Time, ok bool) {
	p.forgetExpired(now)
	run, ok := p.runs[maphash.String(p.seed, id)]
	return run.target, p.epoch.Add(run.sentAfter), ok
}

// full reports whether no further request can be remembered. Those under way are remembered in any
// case; descriptors limit their number.
func (p *pastRequests) full() bool { return len(p.runs) >= p.capacity }

// forgetExpired forgets the requests whose retention is over.
func (p *pastRequests) forgetExpired(now time.Time) {
	expired := 0
	for expired < len(p.queue) && p.queue[expired].forgetAfter <= now.Sub(p.epoch) {
		delete(p.runs, p.queue[expired].hash)
		expired++
	}
	if p.queue = p.queue[expired:]; len(p.queue) == 0 {
		p.queue = nil
	}
}

// restrictsRepeats reports whether requests of a class must not simply be repeated after they may
// have run.
func restrictsRepeats(c balance.Class) bool { return c.Idempotency != balance.Idempotent }

// recallPastRun applies what is known of the client's id to a new exchange: an earlier request that
// may have run counts as a hop of this one. It returns ErrRepeated if the request must not be sent
// any more, and ErrNoRecord if it could not be remembered.
func (e *Engine) recallPastRun(x *Exchange) error {
	class := x.class()
	if x.clientID == "" || !restrictsRepeats(class) {
		return nil
	}
	now := e.loop.Now()
	target, sentAt, known := e.past.find(now, x.clientID)
	if !known {
		if e.past.full() {
			return ErrNoRecord
		}
		return nil
	}
	if hop, _ := permitted(class, true, now.Sub(sentAt), true); !hop {
		return ErrRepeated
	}
	x.maybeRanOn, x.maybeRanSentAt = target, sentAt
	return nil
}

// recordPastRun remembers an exchange that ends if its request may have run.
func (e *Engine) recordPastRun(x *Exchange) {
	if x.clientID == "" || !restrictsRepeats(x.class()) {
		return
	}
	switch {
	case x.maybeRanOn != nil:
		e.past.remember(e.loop.Now(), x.clientID, x.maybeRanOn, x.maybeRanSentAt)
	case x.established:
		e.past.remember(e.loop.Now(), x.clientID, x.target, x.sentAt)
	}
}
