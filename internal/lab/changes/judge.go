package changes

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ospreyspan/internal/changes"
)

// judge checks each step of each replica against what truly happened.
type judge struct {
	world    *world
	err      error
	proposed map[uint64]time.Duration // when a number of the present epoch was proposed
	history  []position               // of the present source, ever later
	latency  *hdrhistogram.Histogram  // in force after a change, in ms
	busiest  [2]float64               // most bytes a second of one process, over 1 s and 10 s
	total    float64                  // sum of bytes of all processes
	samples  int                      // of processes' seconds
	heal     heal
	Count    Counts
}

// heal is the end of a region's cut.
type heal struct {
	at     time.Duration
	number uint64 // of the source then
	region string
	after  time.Duration // until the last process of the region had that number in force
	pieces int           // most steps in which one process brought it into force
}

// healed notes that a region is connected again.
func (j *judge) healed(region string) {
	_, number := j.world.source.replica.Position()
	j.heal = heal{at: j.world.now, number: number, region: region}
	for _, p := range j.world.processes {
		p.pieces = 0
	}
}

// caughtUp notes a step of a process that was cut off.
func (j *judge) caughtUp(p *process, f *changes.Update) {
	h := &j.heal
	if h.region == "" || p.member.Region != h.region || p.started > h.at || p.inForce >= h.number {
		return
	}
	p.pieces++
	if f.Number >= h.number {
		h.after = j.world.now - h.at
		h.pieces = max(h.pieces, p.pieces)
	}
}

// position is what number a source was at from a time on.
type position struct {
	at            time.Duration
	epoch, number uint64
}

// Counts are what a run saw.
type Counts struct {
	Seeds, Kills, Cuts, Stalls, SourcesReplaced, LateSources, Damages int
	Changes, Applied, Snapshots                                       int
	AgesChecked                                                       int
	Replicas                                                          changes.Counters // sums
}

func newJudge(w *world) *judge {
	return &judge{world: w, proposed: make(map[uint64]time.Duration), latency: hdrhistogram.New(1, 24*3600*1000, 3)}
}

func (j *judge) fail(format string, parts ...any) {
	if j.err == nil {
		j.err = fmt.Errorf("seed %d, %v: %s", j.world.seed, j.world.now, fmt.Sprintf(format, parts...))
	}
}

// led notes that there is a new source.
func (j *judge) led(p *process) {
	clear(j.proposed)
	j.history = nil
}

// saw checks what a process did since the last look.
func (j *judge) saw(p *process) {
	for _, a := range p.replica.TakeApplied() {
		j.applied(p, a)
	}
	if f := p.replica.TakeUpdate(); f != nil {
		j.inForce(p, f)
	}
	if p == j.world.source && p.replica.IsSource() {
		epoch, number := p.replica.Position()
		if n := len(j.history); n == 0 || j.history[n-1].number != number {
			j.history = append(j.history, position{j.world.now, epoch, number})
		}
	}
}

func (j *judge) applied(p *process, a changes.AppliedRange) {
	j.Count.Applied++
	if a.Snapshot {
		j.Count.Snapshots++
	}
	switch {
	case a.Epoch < p.epoch:
		j.fail("process %d applied changes of epoch %d after some of epoch %d", p.member.ID, a.Epoch, p.epoch)
	case a.Epoch < p.replica.Fence() && !a.RolledBack:
		j.fail("process %d applied changes of epoch %d, having heard of epoch %d", p.member.ID, a.Epoch, p.replica.Fence())
	case a.From != p.number:
		j.fail("process %d applied changes after %d at %d", p.member.ID, a.From, p.number)
	case a.To <= a.From && !a.Snapshot && !a.RolledBack:
		j.fail("process %d applied no change after %d", p.member.ID, a.From)
	}
	p.epoch, p.number = a.Epoch, a.To
	if p == j.world.source && p.replica.IsSource() {
		for number := a.From + 1; number <= a.To; number++ {
			j.Count.Changes++
			j.proposed[number] = j.world.now
		}
	}
}

func (j *judge) inForce(p *process, f *changes.Update) {
	first := p.inForce == 0
	if f.Epoch == j.world.epoch && !first && p != j.world.source {
		for number := p.inForce + 1; number <= f.Number; number++ {
			if at, ok := j.proposed[number]; ok && at > p.started {
				j.latency.RecordValue(max((j.world.now - at).Milliseconds(), 1))
			}
		}
	}
	j.caughtUp(p, f)
	p.inForce = f.Number
	for _, c := range f.Changes {
		switch {
		case p.consumer == nil:
		case c.Delete:
			delete(p.consumer, c.Key)
		default:
			p.consumer[c.Key] = c.Value
		}
	}
}

// ages checks that no process takes its state for younger than it is.
func (j *judge) ages() {
	const clocksApart = 0.03
	for _, p := range j.world.processes {
		at, ok := p.replica.AsOf()
		epoch, number := p.replica.Position()
		if !p.up || !ok || epoch != j.world.epoch {
			continue
		}
		age := float64(j.world.now - p.elapsed(at))
		truly := j.world.now - time.Duration(age*(1+clocksApart)) - time.Millisecond
		j.Count.AgesChecked++
		for i := len(j.history) - 1; i >= 0; i-- {
			if h := j.history[i]; h.at <= truly {
				if h.number > number {
					j.fail("process %d is at %d and says that this was the source's state %v ago, when that was at %d", p.member.ID, number, time.Duration(age), h.number)
				}
				break
			}
		}
	}
}

// window is a process's bytes of the last seconds.
type window struct {
	last    uint64
	seconds [10]float64
	next    int
}

// traffic checks each process's bytes of the last second and the last ten; measure has them count for the figures too.
func (j *judge) traffic(measure bool) {
	c := j.world.options.Replica
	// What others ask for unasked is the part above 1. It is most in a small fleet whose new source began with nothing, so that all ask it.
	const unasked = 1.5
	for _, p := range j.world.processes {
		if !p.up {
			continue
		}
		sum := p.replica.Counters.BytesSent + p.replica.Counters.BytesReceived
		second := float64(sum - p.traffic.last)
		p.traffic.last = sum
		p.traffic.seconds[p.traffic.next%10] = second
		p.traffic.next++
		ten := 0.0
		for _, s := range p.traffic.seconds {
			ten += s
		}
		if p.stalled > 0 && j.world.now-p.stalled < time.Duration(len(p.traffic.seconds)+1)*time.Second {
			continue // it took at once what had come while it was stopped
		}
		if most := unasked * (c.BytesPerSecond*10 + c.BurstBytes); ten > most {
			j.fail("process %d: %.0f bytes in 10 s, more than %.0f", p.member.ID, ten, most)
		}
		if most := unasked * (c.BytesPerSecond + c.BurstBytes); second > most {
			j.fail("process %d: %.0f bytes in a second, more than %.0f", p.member.ID, second, most)
		}
		if measure {
			j.busiest[0] = max(j.busiest[0], second)
			j.busiest[1] = max(j.busiest[1], ten/10)
			j.total += second
			j.samples++
		}
	}
}

// alike tells what keeps the processes from holding the truth all alike; nil if they do.
func (j *judge) alike() error {
	w := j.world
	_, number := w.source.replica.Position()
	for _, p := range w.processes {
		if !p.up {
			continue
		}
		if epoch, n := p.replica.Position(); epoch != w.epoch || n != number {
			return fmt.Errorf("process %d is at %d of epoch %d, the source at %d of epoch %d", p.member.ID, n, epoch, number, w.epoch)
		}
		if err := j.holds(p, p.replica.State()); err != nil {
			return err
		}
	}
	return nil
}

func (j *judge) holds(p *process, state *changes.State) error {
	w := j.world
	if state.Len() != len(w.truth) {
		return fmt.Errorf("process %d has %d entries of %d", p.member.ID, state.Len(), len(w.truth))
	}
	if p.consumer != nil && len(p.consumer) != len(w.truth) {
		return fmt.Errorf("process %d has %d entries in force of %d", p.member.ID, len(p.consumer), len(w.truth))
	}
	for key, want := range w.truth { // whichever order: any difference is one
		if got, _ := state.Get(key); got != want {
			return fmt.Errorf("process %d has %q for %s, not %q", p.member.ID, got, key, want)
		}
		if p.consumer != nil && p.consumer[key] != want {
			return fmt.Errorf("process %d has %q in force for %s, not %q", p.member.ID, p.consumer[key], key, want)
		}
	}
	return nil
}
