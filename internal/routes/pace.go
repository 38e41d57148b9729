package routes

import (
	"math/rand/v2"
	"time"
)

const (
	// busyRetryMean is the mean pause after a request that discovery refused because of its queue.
	// It doubles with each refusal, up to busyRetryMeanMax or the pause that keeps all processes
	// together below maxRefusedPerSecond refused requests a second, whichever is longer.
	busyRetryMean       = 400 * time.Millisecond
	busyRetryMeanMax    = 800 * time.Millisecond
	maxRefusedPerSecond = 330
	// A refused process whose lease ends within urgentLeaseLeft multiplies its pause by
	// urgentPauseFactor. One of many processes whose lease runs for longer than relaxedLeaseLeft
	// multiplies its pause by relaxedPauseFactor. This gives a place in the queue first to those
	// that need an answer first.
	urgentLeaseLeft    = 2 * time.Second
	urgentPauseFactor  = 0.25
	relaxedLeaseLeft   = 4 * time.Second
	relaxedPauseFactor = 1.5
	// retryMean is the first mean pause after any other failure. It doubles with each failure up to
	// retryMeanMax. The pauses are random so that processes that lose discovery together spread
	// their retries.
	retryMean    = 250 * time.Millisecond
	retryMeanMax = 2 * time.Second
	// pushedRetryMean is the mean pause after a failure where lists are pushed: what discovery has
	// counts as delivered at once, and requests of other processes do not compete.
	pushedRetryMean = 100 * time.Millisecond
	// startsPerSecond is the rate at which all processes together make their first requests, as far
	// as maxStartSpread allows.
	startsPerSecond = 500
	maxStartSpread  = time.Second
	// smallFleetSize is the number of processes up to which first requests need not be spread.
	smallFleetSize = 10
	// defaultMaxWait is the initial maximum wait of a watch where the settings give no longest time
	// between two requests. A wait is drawn from minWaitFraction to the whole of the current
	// maximum. Each answer lowers the maximum by waitDecayFraction of the initial one, down to half
	// of the initial one; each refusal doubles it, up to twice the initial one.
	defaultMaxWait    = 10 * time.Second
	minWaitFraction   = 0.25
	waitDecayFraction = 0.05
)

// requestPacer draws the times of requests to discovery and how long each may wait there. A refused
// request is a sign that all processes together ask too often: pauses and waits grow at once and
// shrink slowly. All of them are random, so that processes that lost discovery at the same moment
// do not return at the same moment.
type requestPacer struct {
	rng            *rand.Rand
	processes      int           // that share discovery
	initialMaxWait time.Duration // longest wait of a watch at the start
	maxWait        time.Duration // longest wait of a watch now
}

func newRequestPacer(processes int, askWithin time.Duration, rng *rand.Rand) requestPacer {
	if askWithin <= 0 {
		askWithin = defaultMaxWait
	}
	return requestPacer{rng: rng, processes: processes, initialMaxWait: askWithin, maxWait: askWithin}
}

// startDelay draws the pause before the first request of a process that already has a list.
func (p *requestPacer) startDelay() time.Duration {
	if p.processes <= smallFleetSize {
		return 0
	}
	spread := min(time.Duration(p.processes)*time.Second/startsPerSecond, maxStartSpread)
	return time.Duration(p.rng.Float64() * float64(spread))
}

// drawWait draws how long the next request of a watch may wait. Random waits spread the detection
// of watches that stop answering at the same time.
func (p *requestPacer) drawWait() time.Duration {
	fraction := minWaitFraction + (1-minWaitFraction)*p.rng.Float64()
	return time.Duration(fraction * float64(p.maxWait))
}

// onAnswer records an answered request.
func (p *requestPacer) onAnswer() {
	p.maxWait = max(p.maxWait-time.Duration(waitDecayFraction*float64(p.initialMaxWait)), p.initialMaxWait/2)
}

// busyPause records a refused request and draws the pause before the next one. refusals is the
// number of consecutive refusals before it. The list's lease still runs for leaseLeft; it has
// expired if leaseLeft is negative.
func (p *requestPacer) busyPause(refusals int, leaseLeft time.Duration) time.Duration {
	p.maxWait = min(2*p.maxWait, 2*p.initialMaxWait)
	maxMean := max(busyRetryMeanMax, time.Duration(p.processes)*time.Second/maxRefusedPerSecond)
	mean := float64(min(busyRetryMean<<min(refusals, maxDoublings), maxMean))
	switch {
	case leaseLeft > relaxedLeaseLeft && p.processes > smallFleetSize:
		mean *= relaxedPauseFactor
	case leaseLeft > 0 && leaseLeft <= urgentLeaseLeft:
		mean *= urgentPauseFactor
	}
	return p.jitter(time.Duration(mean))
}

// failurePause draws the pause after a request that failed for another reason. failures is the
// number of consecutive failures before it.
func (p *requestPacer) failurePause(failures int) time.Duration {
	return p.jitter(min(retryMean<<min(failures, maxDoublings), retryMeanMax))
}

// maxDoublings keeps a doubled pause from overflowing.
const maxDoublings = 8

// jitter draws a duration between 0.5 and 1.5 times the mean.
func (p *requestPacer) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + p.rng.Float64()))
}
