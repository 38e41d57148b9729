package shared

import (
	"errors"
	"testing"

	"ospreyspan/internal/lab/owners"
	"ospreyspan/internal/vnet"
)

// play runs the seeds from 1 to last and fails the test at the first one whose run fails.
func play(t *testing.T, last uint64, o Options) (owners.Counts, Counts) {
	t.Helper()
	var faults owners.Counts
	var all Counts
	for seed := uint64(1); seed <= last; seed++ {
		f, c, err := Play(seed, o)
		faults.Add(f)
		all.Add(c)
		if err != nil {
			t.Fatal(err)
		}
	}
	return faults, all
}

// Under all faults each verdict has its witnesses and recent enough evidence, and each limit stays
// within its bound. The test also requires that enough faults took effect.
func TestBoundsHold(t *testing.T) {
	if raceOn {
		play(t, 1, Options{})
		return
	}
	f, c := play(t, 10, Options{})
	t.Log(c)
	if c.Verdicts < 500 || c.AgeOfBound < 0.5 || c.FalseReporters < 10 || c.MostStrict < strictLimit.Max || c.Yielded < 20 {
		t.Errorf("too few events of some kind: %v", c)
	}
	if f.Kills < 20 || f.Cuts+f.Thirds < 20 || f.Stalls < 20 || f.Late < 100 {
		t.Errorf("too few faults took effect: %v", f)
	}
}

// Without faults of the processes most of each limit is used, and the strict one is reached
// exactly.
func TestCalmUsesTheLimits(t *testing.T) {
	if raceOn {
		t.Skip("too slow under the race detector; .ci/run runs it without")
	}
	_, c := play(t, 3, Options{Calm: true})
	t.Log(c)
	if soft, strict := c.meanUse(0, softLimit.Max), c.meanUse(1, strictLimit.Max); soft < 0.6 || strict < 0.7 || c.MostStrict != strictLimit.Max {
		t.Errorf("mean use of the limits: soft %.2f, strict %.2f", soft, strict)
	}
}

// The judge finds each planted mistake, and an unknown one is refused.
func TestPlantedMistakesAreFound(t *testing.T) {
	if raceOn {
		t.Skip("too slow under the race detector; .ci/run runs it without")
	}
	for _, plant := range Plants {
		found := false
		for seed := uint64(1); seed <= 25 && !found; seed++ {
			_, _, err := Play(seed, Options{Plant: plant})
			var f *vnet.Failure
			found = errors.As(err, &f)
		}
		if !found {
			t.Errorf("planted mistake %s not found in 25 seeds", plant)
		}
	}
	if _, _, err := Play(1, Options{Plant: "no such"}); err == nil {
		t.Error("an unknown planted mistake was accepted")
	}
}
