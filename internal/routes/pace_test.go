package routes

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Whatever the number of processes, a call that was refused is made again well within the lease of a list, refused calls of all stay
// under what discovery can turn away, and waits grow with refusals and fall with answers, between bounds that follow the settings.
func TestPace(t *testing.T) {
	const askWithin = 10 * time.Second
	for _, processes := range []int{1, 3, 30, 300, 1024} {
		p := newCallPacer(processes, askWithin, rand.New(rand.NewPCG(1, 1)))
		if start := p.startDelay(); start > maxStartSpread || processes <= smallFleetSize && start != 0 {
			t.Errorf("%d processes: the first call after %v", processes, start)
		}
		sum, most := time.Duration(0), time.Duration(0)
		const refusals = 1000
		for n := range refusals {
			pause := p.busyPause(n, 3*time.Second)
			sum, most = sum+pause, max(most, pause)
		}
		if perS := float64(processes) * refusals / sum.Seconds(); most >= ListLease || processes > 300 && perS > 1.1*maxRefusedPerSecond {
			t.Errorf("%d processes: pauses up to %v, %.0f refused calls a second", processes, most, perS)
		}
		if p.maxWait != 2*askWithin {
			t.Errorf("%d processes: waits up to %v after refusals", processes, p.maxWait)
		}
		for range 100 {
			p.onAnswer()
		}
		least := askWithin
		for range 100 {
			wait := p.drawWait()
			least = min(least, wait)
			if wait > askWithin/2 || wait < askWithin/8 {
				t.Fatalf("%d processes: a wait of %v after answers", processes, wait)
			}
		}
		if least > askWithin/4 {
			t.Errorf("%d processes: no wait under %v of 100", processes, least)
		}
	}
}

// A refused process whose lease ends soon asks again sooner than one whose lease has long to run; one whose lease is over asks as one
// in between, since all may be in that state for long.
func TestPaceByNeed(t *testing.T) {
	for _, processes := range []int{3, 300} {
		mean := func(left time.Duration) time.Duration {
			p, sum := newCallPacer(processes, 10*time.Second, rand.New(rand.NewPCG(1, 1))), time.Duration(0)
			for n := range 200 {
				sum += p.busyPause(n, left)
			}
			return sum / 200
		}
		fresh, usual, soon, over := mean(5*time.Second), mean(3*time.Second), mean(time.Second), mean(-time.Second)
		if fresh <= usual && processes > smallFleetSize || usual < 3*soon || over < usual*9/10 {
			t.Errorf("%d processes: %v with 5 s left, %v with 3 s, %v with 1 s, %v behind the end", processes, fresh, usual, soon, over)
		}
		if soon > urgentLeaseLeft/4 {
			t.Errorf("%d processes: %v with 1 s left leave no time for more than one call", processes, soon)
		}
	}
}
