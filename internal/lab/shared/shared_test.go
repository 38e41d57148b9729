package shared

import (
	"errors"
	"testing"

	"ospreyspan/internal/lab/owners"
	"ospreyspan/internal/vnet"
)

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

// Under all faults every verdict has its witnesses and is within its age, and limits within their bounds; and the faults bite.
func TestBoundsHold(t *testing.T) {
	if raceOn {
		play(t, 1, Options{})
		return
	}
	f, c := play(t, 10, Options{})
	t.Log(c)
	if c.Verdicts < 500 || c.AgeOfBound < 0.5 || c.Poisoned < 10 || c.MostStrict < strictLimit.Max || c.Yielded < 20 {
		t.Errorf("the runs show too little: %v", c)
	}
	if f.Kills < 20 || f.Cuts+f.Thirds < 20 || f.Stalls < 20 || f.Late < 100 {
		t.Errorf("the faults did not bite: %v", f)
	}
}

// In calm most of each limit is used, and the strict one to the last.
func TestCalmUsesTheLimits(t *testing.T) {
	if raceOn {
		t.Skip("too slow; .ci/run plays it without the race detector")
	}
	_, c := play(t, 3, Options{Calm: true})
	t.Log(c)
	if soft, strict := c.part(0, softLimit.Max), c.part(1, strictLimit.Max); soft < 0.6 || strict < 0.7 || c.MostStrict != strictLimit.Max {
		t.Errorf("in use %.2f and %.2f", soft, strict)
	}
}

// Each planted mistake is found.
func TestPlantedMistakesAreFound(t *testing.T) {
	if raceOn {
		t.Skip("too slow; .ci/run plays it without the race detector")
	}
	for _, plant := range Plants {
		found := false
		for seed := uint64(1); seed <= 25 && !found; seed++ {
			_, _, err := Play(seed, Options{Plant: plant})
			var f *vnet.Failure
			found = errors.As(err, &f)
		}
		if !found {
			t.Errorf("%s is not found in 25 seeds", plant)
		}
	}
	if _, _, err := Play(1, Options{Plant: "no such"}); err == nil {
		t.Error("a plant that there is not was taken")
	}
}
