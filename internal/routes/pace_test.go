package routes

import (
	"math/rand/v2"
	"testing"
	"time"
)

// For any number of processes, a refused request is repeated well within the lease of a list, the
// refused requests of all processes stay within the rate that discovery can refuse, and waits grow
// with refusals and shrink with answers between bounds that follow from the settings.
func TestRequestPacer(t *testing.T) {
	const askWithin = 10 * time.Second
	for _, processes := range []int{1, 3, 30, 300, 1024} {
		p := newRequestPacer(processes, askWithin, rand.New(rand.NewPCG(1, 1)))
		if start := p.startDelay(); start > maxStartSpread || processes <= smallFleetSize && start != 0 {
			t.Errorf("%d processes: first request after %v", processes, start)
		}
		sum, longest := time.Duration(0), time.Duration(0)
		const refusals = 1000
		for n := range refusals {
			pause := p.busyPause(n, 3*time.Second)
			sum, longest = sum+pause, max(longest, pause)
		}
		if perSecond := float64(processes) * refusals / sum.Seconds(); longest >= ListLease || processes > 300 && perSecond > 1.1*maxRefusedPerSecond {
			t.Errorf("%d processes: pauses of up to %v, %.0f refused requests per second", processes, longest, perSecond)
		}
		if p.maxWait != 2*askWithin {
			t.Errorf("%d processes: waits of up to %v after refusals", processes, p.maxWait)
		}
		for range 100 {
			p.onAnswer()
		}
		shortest := askWithin
		for range 100 {
			wait := p.drawWait()
			shortest = min(shortest, wait)
			if wait > askWithin/2 || wait < askWithin/8 {
				t.Fatalf("%d processes: wait of %v after answers", processes, wait)
			}
		}
		if shortest > askWithin/4 {
			t.Errorf("%d processes: shortest of 100 waits is %v", processes, shortest)
		}
	}
}

// A refused process whose lease expires soon asks again sooner than one whose lease runs for long.
// One whose lease has expired pauses for the usual time, since all processes may be in that state
// for long.
func TestBusyPauseByLeaseLeft(t *testing.T) {
	for _, processes := range []int{3, 300} {
		mean := func(left time.Duration) time.Duration {
			p, sum := newRequestPacer(processes, 10*time.Second, rand.New(rand.NewPCG(1, 1))), time.Duration(0)
			for n := range 200 {
				sum += p.busyPause(n, left)
			}
			return sum / 200
		}
		fresh, usual, soon, over := mean(5*time.Second), mean(3*time.Second), mean(time.Second), mean(-time.Second)
		if fresh <= usual && processes > smallFleetSize || usual < 3*soon || over < usual*9/10 {
			t.Errorf("%d processes: mean pause %v with 5 s of the lease left, %v with 3 s, %v with 1 s, %v after its expiry", processes, fresh, usual, soon, over)
		}
		if soon > urgentLeaseLeft/4 {
			t.Errorf("%d processes: mean pause %v with 1 s of the lease left, want at most a quarter of urgentLeaseLeft", processes, soon)
		}
	}
}
