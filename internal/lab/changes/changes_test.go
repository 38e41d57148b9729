package changes

import (
	"errors"
	"testing"
	"time"
)

// Whatever is lost, repeated, late and out of order, whoever is killed and whichever sources follow on each other: all end in the same
// state, and no step on the way is wrong.
func TestAllEndAlike(t *testing.T) {
	last := uint64(60)
	if raceOn {
		last = 4
	}
	var all Counts
	for seed := uint64(1); seed <= last; seed++ {
		r, err := Play(seed, DefaultOptions())
		all.Add(r.Counts)
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%+v", all)
	if n := int(last); all.Kills < n || all.Cuts < n || all.LateSources < n/2 || all.Damages < n || all.Snapshots < n || all.Replicas.StaleEpoch < last {
		t.Errorf("the faults did not bite: %+v", all)
	}
}

// Each planted mistake is found.
func TestPlantedMistakesAreFound(t *testing.T) {
	if raceOn {
		t.Skip("too slow under the race detector; the same runs without it")
	}
	for _, plant := range Plants {
		t.Run(plant, func(t *testing.T) {
			o := DefaultOptions()
			o.Plant = plant
			const most = 200
			for seed := uint64(1); seed <= most; seed++ {
				if _, err := Play(seed, o); err != nil {
					t.Logf("found: %v", err)
					return
				}
			}
			t.Errorf("not found in %d seeds", most)
		})
	}
	if _, err := Play(1, Options{Plant: "no such"}); err == nil || errors.Unwrap(err) != nil {
		t.Errorf("a mistake that there is not: %v", err)
	}
}

// One seed is one run.
func TestSeedsRepeat(t *testing.T) {
	a, _ := Play(3, DefaultOptions())
	b, _ := Play(3, DefaultOptions())
	if a != b {
		t.Errorf("seed 3 played twice:\n%+v\n%+v", a, b)
	}
}

// In a fleet with little loss all changes are in force in time, and nobody spends more than its budget.
func TestChangesAreInForceInTime(t *testing.T) {
	o := SizedOptions()
	o.Members, o.Trouble, o.Loss = 200, time.Minute, 0.01
	r, err := Play(1, o)
	t.Log(r)
	if err != nil {
		t.Fatal(err)
	}
	if r.Latency[1] > 3*time.Second || r.Latency[2] > 6*time.Second || r.Busiest[1] > 5000 || r.Counts.Changes < 30 {
		t.Errorf("too late or too dear: %v", r)
	}
}

// A region that was cut off brings all that it missed into force in one step each, before long, and the others hear little of it.
func TestCutRegionCatchesUpInOneStep(t *testing.T) {
	o := SizedOptions()
	o.Members, o.Rate, o.Trouble, o.Cut = 200, 2, 5*time.Minute, 3*time.Minute
	r, err := Play(1, o)
	t.Log(r)
	if err != nil {
		t.Fatal(err)
	}
	if r.HealedAfter == 0 || r.HealedAfter > time.Minute || r.HealedIn != 1 || r.Busiest[1] > 5000 {
		t.Errorf("it took %v, in %d steps", r.HealedAfter, r.HealedIn)
	}
}
