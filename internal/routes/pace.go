package routes

import (
	"math/rand/v2"
	"time"
)

const (
	// busyRetryMean is the mean pause after a call that discovery refused for its queue. It doubles with each refusal, up to busyMost
	// or to what keeps all processes together under refusedPerS refused calls a second.
	busyRetryMean       = 400 * time.Millisecond
	busyRetryMeanMax    = 800 * time.Millisecond
	maxRefusedPerSecond = 330
	// A refused process whose lease ends within urgentLeaseLeft asks again after urgentPart of that pause, and one whose lease still runs
	// for longer than restfulFrom, as one of many, after restfulPart of it: who needs an answer first gets a place in the queue first.
	urgentLeaseLeft    = 2 * time.Second
	urgentPauseFactor  = 0.25
	relaxedLeaseLeft   = 4 * time.Second
	relaxedPauseFactor = 1.5
	// Processes that lose discovery together draw their retries apart: retryMean is the first mean pause after a failure, which
	// doubles up to retryMost.
	retryMean    = 250 * time.Millisecond
	retryMeanMax = 2 * time.Second
	// pushedRetryMean is that pause where lists are pushed: what discovery has counts as told at once, and nobody else's calls are in
	// the way.
	pushedRetryMean = 100 * time.Millisecond
	// startsPerSecond is how many processes together make their first call in a second, as far as startMost allows.
	startsPerSecond = 500
	maxStartSpread  = time.Second
	// smallFleetSize need not draw their first calls apart.
	smallFleetSize = 10
	// defaultMaxWait is the longest wait of a watch at first where the settings name no longest time between two questions; waitFloor
	// is the part of the longest wait from which one is drawn, and waitGain the part of the first one by which it falls with
	// each answer. It doubles with each refusal, up to twice the first one, and falls to half of that.
	defaultMaxWait    = 10 * time.Second
	minWaitFraction   = 0.25
	waitDecayFraction = 0.05
)

// callPacer draws when calls to discovery are made and how long each may wait there. A refused call is a sign that all processes
// together ask too often: pauses and waits grow at once and shrink slowly, and all of them are drawn, so that processes which
// lost discovery at the same moment don't come back at the same moment.
type callPacer struct {
	rng            *rand.Rand
	processes      int
	initialMaxWait time.Duration // longest wait at the start
	maxWait        time.Duration // longest wait now
}

func newCallPacer(processes int, askWithin time.Duration, rng *rand.Rand) callPacer {
	if askWithin <= 0 {
		askWithin = defaultMaxWait
	}
	return callPacer{rng: rng, processes: processes, initialMaxWait: askWithin, maxWait: askWithin}
}

// startDelay draws the pause before the first call of a process that knows a list.
func (p *callPacer) startDelay() time.Duration {
	if p.processes <= smallFleetSize {
		return 0
	}
	spread := min(time.Duration(p.processes)*time.Second/startsPerSecond, maxStartSpread)
	return time.Duration(p.rng.Float64() * float64(spread))
}

// drawWait draws how long the next call of a watch may drawWait. Watches that fall silent together are noticed apart.
func (p *callPacer) drawWait() time.Duration {
	fraction := minWaitFraction + (1-minWaitFraction)*p.rng.Float64()
	return time.Duration(fraction * float64(p.maxWait))
}

// onAnswer takes a call that was onAnswer.
func (p *callPacer) onAnswer() {
	p.maxWait = max(p.maxWait-time.Duration(waitDecayFraction*float64(p.initialMaxWait)), p.initialMaxWait/2)
}

// busyPause takes a refused call, the n-th in a row from 0, and draws the pause before the next one. The lease of the list still runs for
// left; below 0 it has run out.
func (p *callPacer) busyPause(refusals int, leaseLeft time.Duration) time.Duration {
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

// failurePause draws the pause after a call that failurePause otherwise, the n-th in a row from 0.
func (p *callPacer) failurePause(failures int) time.Duration {
	return p.jitter(min(retryMean<<min(failures, maxDoublings), retryMeanMax))
}

// maxDoublings keeps a doubled pause from running over.
const maxDoublings = 8

// jitter draws a time between a half and one and a half of the mean.
func (p *callPacer) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + p.rng.Float64()))
}
