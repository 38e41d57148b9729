package routes

import (
	"math/rand/v2"
	"time"
)

const (
	// busyRetry is the mean pause after a call that discovery refused for its queue. It doubles with each refusal, up to busyMost
	// or to what keeps all processes together under refusedPerS refused calls a second.
	busyRetry   = 400 * time.Millisecond
	busyMost    = 800 * time.Millisecond
	refusedPerS = 330
	// A refused process whose lease ends within urgentWithin asks again after urgentPart of that pause, and one whose lease still runs
	// for longer than restfulFrom, as one of many, after restfulPart of it: who needs an answer first gets a place in the queue first.
	urgentWithin = 2 * time.Second
	urgentPart   = 0.25
	restfulFrom  = 4 * time.Second
	restfulPart  = 1.5
	// Processes that lose discovery together draw their retries apart: retryFrom is the first mean pause after a failure, which
	// doubles up to retryMost.
	retryFrom = 250 * time.Millisecond
	retryMost = 2 * time.Second
	// pushedRetry is that pause where lists are pushed: what discovery has counts as told at once, and nobody else's calls are in
	// the way.
	pushedRetry = 100 * time.Millisecond
	// startPerS is how many processes together make their first call in a second, as far as startMost allows.
	startPerS = 500
	startMost = time.Second
	// fewProcesses need not draw their first calls apart.
	fewProcesses = 10
	// waitTerm is the longest wait of a watch at first where the settings name no longest time between two questions; waitFloor
	// is the part of the longest wait from which one is drawn, and waitGain the part of the first one by which it falls with
	// each answer. It doubles with each refusal, up to twice the first one, and falls to half of that.
	waitTerm  = 10 * time.Second
	waitFloor = 0.25
	waitGain  = 0.05
)

// pace draws when calls to discovery are made and how long each may wait there. A refused call is a sign that all processes
// together ask too often: pauses and waits grow at once and shrink slowly, and all of them are drawn, so that processes which
// lost discovery at the same moment don't come back at the same moment.
type pace struct {
	rng       *rand.Rand
	processes int
	first     time.Duration // longest wait at the start
	longest   time.Duration // longest wait now
}

func newPace(processes int, askWithin time.Duration, rng *rand.Rand) pace {
	if askWithin <= 0 {
		askWithin = waitTerm
	}
	return pace{rng: rng, processes: processes, first: askWithin, longest: askWithin}
}

// start draws the pause before the first call of a process that knows a list.
func (p *pace) start() time.Duration {
	if p.processes <= fewProcesses {
		return 0
	}
	spread := min(time.Duration(p.processes)*time.Second/startPerS, startMost)
	return time.Duration(p.rng.Float64() * float64(spread))
}

// wait draws how long the next call of a watch may wait. Watches that fall silent together are noticed apart.
func (p *pace) wait() time.Duration {
	part := waitFloor + (1-waitFloor)*p.rng.Float64()
	return time.Duration(part * float64(p.longest))
}

// answered takes a call that was answered.
func (p *pace) answered() {
	p.longest = max(p.longest-time.Duration(waitGain*float64(p.first)), p.first/2)
}

// busy takes a refused call, the n-th in a row from 0, and draws the pause before the next one. The lease of the list still runs for
// left; below 0 it has run out.
func (p *pace) busy(n int, left time.Duration) time.Duration {
	p.longest = min(2*p.longest, 2*p.first)
	most := max(busyMost, time.Duration(p.processes)*time.Second/refusedPerS)
	mean := float64(min(busyRetry<<min(n, maxDoublings), most))
	switch {
	case left > restfulFrom && p.processes > fewProcesses:
		mean *= restfulPart
	case left > 0 && left <= urgentWithin:
		mean *= urgentPart
	}
	return p.around(time.Duration(mean))
}

// failed draws the pause after a call that failed otherwise, the n-th in a row from 0.
func (p *pace) failed(n int) time.Duration {
	return p.around(min(retryFrom<<min(n, maxDoublings), retryMost))
}

// maxDoublings keeps a doubled pause from running over.
const maxDoublings = 8

// around draws a time between a half and one and a half of the mean.
func (p *pace) around(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + p.rng.Float64()))
}
