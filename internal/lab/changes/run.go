package changes

import (
	"fmt"
	"time"

	"ospreyspan/internal/changes"
)

// DefaultOptions are those of a small fleet under all faults.
func DefaultOptions() Options {
	c := changes.DefaultConfig()
	c.BytesPerSecond, c.BurstBytes = 4000, 4000
	c.LogChanges, c.LogBytes = 150, 4096
	return Options{
		Members: 24, Keys: 120, Rate: 2, Trouble: 60 * time.Second, Calm: 120 * time.Second, Faults: true, Loss: 0.03, Repeat: 0.02,
		Late: 0.01, FanOut: 3, RestartAfter: 2 * time.Second, Replica: c,
	}
}

// SizedOptions are those of the fleet in two years, with little loss and no other faults.
func SizedOptions() Options {
	return Options{
		Members: 7400, Keys: 300, Rate: 0.9, Trouble: 5 * time.Minute, Calm: 10 * time.Minute, Loss: 0.001, FanOut: 4,
		RestartAfter: 10 * time.Second, Replica: changes.DefaultConfig(), Sampling: true,
	}
}

// Result is what a run came to.
type Result struct {
	Counts  Counts
	Latency [3]time.Duration // until in force: median, 99 of 100, longest
	Busiest [2]float64       // most bytes a second of one process, over 1 s and over 10 s
	Mean    float64          // bytes a second of a process
	// StartedAfter is how long all took from nothing until they held the truth, AlikeAfter likewise from the last fault.
	StartedAfter, AlikeAfter time.Duration
	// HealedAfter is how long the last region that was cut off took to have in force what it had missed, HealedIn the most steps in
	// which one process did.
	HealedAfter time.Duration
	HealedIn    int
}

// Play plays a run. The error tells what must not happen.
func Play(seed uint64, o Options) (Result, error) {
	w, err := newWorld(seed, o)
	if err != nil {
		return Result{}, err
	}
	w.judge.Count.Seeds = 1
	// All begin with nothing: what that costs is not counted.
	measure := false
	w.every(time.Second, func() { w.judge.traffic(measure) })
	if !o.Sampling {
		w.every(250*time.Millisecond, w.judge.ages)
	}
	if err := w.warmUp(); err != nil {
		return w.result(0), err
	}
	started := w.now
	measure = true
	w.judge.latency.Reset()
	troubleEnds := w.now + o.Trouble
	w.changeUntil(troubleEnds)
	w.confirmAlways()
	w.planFaults(troubleEnds)
	if err := w.run(troubleEnds); err != nil {
		return w.result(0), err
	}
	r, err := w.end()
	r.StartedAfter = started
	return r, err
}

// warmUp runs until all hold the truth.
func (w *world) warmUp() error {
	const step, settling, most = 5 * time.Second, 15 * time.Second, time.Hour
	w.confirmAlways()
	var why error
	for w.now < most {
		if err := w.run(w.now + step); err != nil {
			return err
		}
		if why = w.judge.alike(); why == nil {
			return w.run(w.now + settling)
		}
	}
	return fmt.Errorf("seed %d: at the start: %w", w.seed, why)
}

// end heals all and waits until all hold the truth.
func (w *world) end() (Result, error) {
	w.cutOff = ""
	w.options.Loss, w.options.Repeat, w.options.Late = 0, 0, 0
	w.options.Faults = false
	if w.source == nil || !w.source.up || w.source.stalled > w.now {
		w.replaceSource()
	}
	w.tellTruth()
	began := w.now
	var why error
	for w.now < began+w.options.Calm {
		if err := w.run(w.now + time.Second); err != nil {
			return w.result(0), err
		}
		if why = w.judge.alike(); why == nil {
			return w.result(w.now - began), nil
		}
	}
	return w.result(0), fmt.Errorf("seed %d: %v after the last fault: %w", w.seed, w.options.Calm, why)
}

// changeUntil changes the truth at the rate that was asked for.
func (w *world) changeUntil(end time.Duration) {
	if w.options.Rate <= 0 {
		return
	}
	wait := time.Duration(w.rng.ExpFloat64() / w.options.Rate * float64(time.Second))
	if w.now+wait >= end {
		return
	}
	w.after(wait, func() {
		w.change()
		w.changeUntil(end)
	})
}

// confirmAlways has the source look at the truth over and over, as one that watches discovery.
func (w *world) confirmAlways() {
	w.every(500*time.Millisecond, func() {
		if p := w.source; p != nil && p.up && p.stalled <= w.now {
			p.replica.ConfirmCurrent(p.clock(w.now))
		}
	})
}

func (w *world) result(alikeAfter time.Duration) Result {
	j := w.judge
	for _, p := range w.processes {
		addCounters(&j.Count.Replicas, &p.replica.Counters)
	}
	ms := func(quantile float64) time.Duration {
		return time.Duration(j.latency.ValueAtQuantile(quantile)) * time.Millisecond
	}
	return Result{
		Counts: j.Count, Latency: [3]time.Duration{ms(50), ms(99), ms(100)}, Busiest: j.busiest, Mean: j.total / float64(max(j.samples, 1)),
		AlikeAfter: alikeAfter, HealedAfter: j.heal.after, HealedIn: j.heal.pieces,
	}
}

func addCounters(to, from *changes.Counters) {
	for _, pair := range []struct{ to, from *uint64 }{
		{&to.Sent, &from.Sent}, {&to.Received, &from.Received}, {&to.BytesSent, &from.BytesSent}, {&to.BytesReceived, &from.BytesReceived},
		{&to.Damaged, &from.Damaged}, {&to.StaleEpoch, &from.StaleEpoch}, {&to.Duplicates, &from.Duplicates}, {&to.Gaps, &from.Gaps},
		{&to.Mismatches, &from.Mismatches}, {&to.Repairs, &from.Repairs}, {&to.RepairsAtSource, &from.RepairsAtSource},
		{&to.Unanswered, &from.Unanswered}, {&to.RefusedBusy, &from.RefusedBusy}, {&to.RolledBack, &from.RolledBack}, {&to.Snapshots, &from.Snapshots},
		{&to.SnapshotsFailed, &from.SnapshotsFailed}, {&to.PushesSkipped, &from.PushesSkipped}, {&to.Ignored, &from.Ignored},
	} {
		*pair.to += *pair.from
	}
}

// Add adds another run's.
func (c *Counts) Add(o Counts) {
	for _, pair := range []struct{ to, from *int }{
		{&c.Seeds, &o.Seeds}, {&c.Kills, &o.Kills}, {&c.Cuts, &o.Cuts}, {&c.Stalls, &o.Stalls}, {&c.SourcesReplaced, &o.SourcesReplaced},
		{&c.LateSources, &o.LateSources}, {&c.Damages, &o.Damages}, {&c.Changes, &o.Changes}, {&c.Applied, &o.Applied},
		{&c.Snapshots, &o.Snapshots}, {&c.AgesChecked, &o.AgesChecked},
	} {
		*pair.to += *pair.from
	}
	addCounters(&c.Replicas, &o.Replicas)
}

func (c Counts) String() string {
	r := &c.Replicas
	return fmt.Sprintf("seeds %d; faults: killed %d, regions cut off %d, stalls %d, sources replaced %d, former sources that spoke %d, memories damaged %d; "+
		"changes %d, steps %d, snapshots %d, of them failed %d, ages checked %d; messages %d, of former sources refused %d, gaps %d, wrong digests %d, "+
		"repairs %d, of them at the source %d, changes taken back %d, refused for want of bytes %d",
		c.Seeds, c.Kills, c.Cuts, c.Stalls, c.SourcesReplaced, c.LateSources, c.Damages, c.Changes, c.Applied, c.Snapshots, r.SnapshotsFailed,
		c.AgesChecked, r.Received, r.StaleEpoch, r.Gaps, r.Mismatches, r.Repairs, r.RepairsAtSource, r.RolledBack, r.RefusedBusy)
}

func (r Result) String() string {
	return fmt.Sprintf("in force after %v in the median, %v for 99 of 100, %v at the most; bytes a second sent and received by one process %.0f in the mean, "+
		"%.0f over the busiest 10 s and %.0f in the busiest second; all alike %v after the start and %v after the end; "+
		"a region that was cut off had all in force after %v, in %d steps; %v",
		r.Latency[0], r.Latency[1], r.Latency[2], r.Mean, r.Busiest[1], r.Busiest[0], r.StartedAfter, r.AlikeAfter, r.HealedAfter, r.HealedIn, r.Counts)
}
