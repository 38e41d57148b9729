package hollow

import (
	"fmt"
	"runtime"
	"slices"
	"time"
)

// Result is how a fleet bore a scenario. Times are virtual.
type Result struct {
	Scenario  string `json:"scenario"`
	Processes int    `json:"processes"`
	Seed      uint64 `json:"seed"`

	// Of the changes of the list, the time until each was in force at the last process that ran all the while.
	Changes    int           `json:"changes"`
	Median     time.Duration `json:"median"`
	P99        time.Duration `json:"p99"`
	Longest    time.Duration `json:"longest"`
	Unfinished int           `json:"unfinished"` // not in force everywhere at the end

	// Bytes a second that the busiest ones sent: over the whole span, and in their worst second.
	BusiestProxy  float64 `json:"busiest_proxy"`
	PeakProxy     float64 `json:"peak_proxy"`
	BusiestKeeper float64 `json:"busiest_keeper"`
	PeakKeeper    float64 `json:"peak_keeper"`

	FalseDeaths     int           `json:"false_deaths"`     // by each process that said so
	FalseSuspicions int           `json:"false_suspicions"` // likewise
	WrongOwners     int           `json:"wrong_owners"`
	NoOwner         time.Duration `json:"no_owner"` // the longest time without an owner of the duty of asking discovery
}

const (
	lookEvery = 20 * time.Millisecond
	// finishTime is how long the last changes may take after the counted span.
	finishTime = 15 * time.Second
)

// play is a scenario that goes on.
type play struct {
	cluster *cluster
	begun   time.Duration
	over    bool // no more changes
	pending []change
	inForce []time.Duration
	owned   time.Duration // when there was an owner last
	peaks   []spent       // at the last look at peaks
	result  *Result
}

// change is one change of the list that is not in force everywhere yet.
type change struct {
	version int64
	at      time.Duration
}

// Play plays a scenario with a fleet of some size. The error is a run that could not go on.
func Play(s Scenario, processes int, seed uint64) (*Result, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	k, err := newCluster(Config{
		Seed: seed, Processes: processes, Keepers: scenarioKeepers, Servers: scenarioServers, Lease: usualLease, Joined: true,
		MostMembers: int(s.most * float64(processes)),
	})
	if err != nil {
		return nil, err
	}
	if err := k.world.Run(warmUp); err != nil {
		return nil, fmt.Errorf("hollow: %s: %w", s.Name, err)
	}
	y := &play{cluster: k, begun: k.world.Elapsed(), owned: k.world.Elapsed()}
	y.result = &Result{Scenario: s.Name, Processes: processes, Seed: seed}
	k.verdicts.falseDeaths, k.verdicts.falseSuspicions = 0, 0
	w := k.open()
	y.look()
	y.peak()
	y.changes()
	s.run(y)
	if err := k.world.Run(s.Span); err != nil {
		return nil, fmt.Errorf("hollow: %s: %w", s.Name, err)
	}
	y.spending(w)
	y.over = true
	if err := k.world.Run(finishTime); err != nil {
		return nil, fmt.Errorf("hollow: %s: %w", s.Name, err)
	}
	y.finish()
	return y.result, nil
}

func (y *play) after(d time.Duration, f func()) { y.cluster.world.After(d, f) }

// changes changes the list at the usual pace.
func (y *play) changes() {
	y.after(scenarioChange, func() {
		if !y.over {
			y.change()
			y.changes()
		}
	})
}

func (y *play) change() {
	y.pending = append(y.pending, change{y.cluster.change(), y.cluster.world.Elapsed()})
	y.result.Changes++
}

// look notes which changes are in force everywhere now, and whether there is an owner.
func (y *play) look() {
	y.after(lookEvery, y.look)
	now := y.cluster.world.Elapsed()
	if y.cluster.owner() != nil {
		y.owned = now
	}
	if !y.over {
		y.result.NoOwner = max(y.result.NoOwner, now-y.owned)
	}
	if len(y.pending) == 0 {
		return
	}
	done := len(y.pending)
	for _, p := range y.cluster.processes {
		if p.host.Running() {
			done = min(done, y.reached(p))
		}
	}
	for _, c := range y.pending[:done] {
		y.inForce = append(y.inForce, now-c.at)
	}
	y.pending = slices.Delete(y.pending, 0, done)
}

// reached is how many of the pending changes are in force at a process, or came before it began.
func (y *play) reached(p *process) int {
	version := p.instance.ListVersion()
	for i, c := range y.pending {
		if c.version > version && c.at >= p.begun {
			return i
		}
	}
	return len(y.pending)
}

// peak notes the worst second of proxies and keepers.
func (y *play) peak() {
	if y.over {
		return
	}
	y.after(time.Second, y.peak)
	now := make([]spent, 0, len(y.cluster.processes))
	for i, p := range y.cluster.processes {
		now = append(now, p.spent())
		if y.peaks == nil {
			continue
		}
		bytes := float64(now[i].bytesSent - y.peaks[i].bytesSent)
		if p.keeper() {
			y.result.PeakKeeper = max(y.result.PeakKeeper, bytes)
		} else {
			y.result.PeakProxy = max(y.result.PeakProxy, bytes)
		}
	}
	y.peaks = now
}

// spending notes what the busiest ones spent over the whole span.
func (y *play) spending(w *window) {
	rates := w.rates()
	y.result.BusiestKeeper = busiest(rates[:scenarioKeepers])
	y.result.BusiestProxy = busiest(rates[scenarioKeepers:])
}

func (y *play) finish() {
	r, v := y.result, &y.cluster.verdicts
	r.FalseDeaths, r.FalseSuspicions, r.WrongOwners = v.falseDeaths, v.falseSuspicions, v.wrongOwners
	r.Unfinished = len(y.pending)
	slices.Sort(y.inForce)
	r.Median, r.P99, r.Longest = part(y.inForce, 0.5), part(y.inForce, 0.99), part(y.inForce, 1)
}

// part returns the time below which a part of the sorted times lies, 0 to 1.
func part(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}
