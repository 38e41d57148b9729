// Package changes plays the passing on of changes in place of whole lists on virtual time: many replicas of internal/changes on a network that
// loses, repeats, delays and reorders messages, with processes that are killed and start, regions that are cut off, and sources that are
// replaced, also some that do not know it yet. A judge that knows what the truth is checks each step. It also measures what the present whole
// lists cost.
package changes

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"ospreyspan/internal/changes"
)

// Options say what is played.
type Options struct {
	Members int
	Keys    int     // entries of the state
	Rate    float64 // changes a second
	// Trouble is how long faults come, Calm how long the fleet has after them.
	Trouble, Calm time.Duration
	Faults        bool
	// Loss is the part of messages that are lost, Repeat that of those that come twice, Late that of those that come up to 10 s late.
	Loss, Repeat, Late float64
	// Cut cuts one region off for so long, soon after the start.
	Cut time.Duration
	// Kills is how many processes a second are killed, each replaced by a new one after RestartAfter.
	Kills        float64
	RestartAfter time.Duration
	FanOut       int
	Replica      changes.Config // Self, Session and Seed are filled in
	// Sampling leaves out what costs too much time or memory with thousands of members: each one's copy for its consumer.
	Sampling bool
	Plant    string // a mistake to be found, one of Plants
}

// Plants are the mistakes that can be planted.
var Plants = []string{"gap-not-noticed", "digest-not-checked", "old-epoch-taken", "repair-storm"}

func flaws(plant string) (changes.Flaws, error) {
	switch plant {
	case "":
		return changes.Flaws{}, nil
	case "gap-not-noticed":
		return changes.Flaws{GapIgnored: true}, nil
	case "digest-not-checked":
		return changes.Flaws{DigestIgnored: true}, nil
	case "old-epoch-taken":
		return changes.Flaws{StaleEpochAccepted: true}, nil
	case "repair-storm":
		return changes.Flaws{BudgetExceeded: true}, nil
	}
	return changes.Flaws{}, fmt.Errorf("no planted mistake is named %q: one of %v", plant, Plants)
}

// process is a life of a process.
type process struct {
	member     changes.Member
	index      int // in processes
	replica    *changes.Replica
	up         bool
	started    time.Duration
	stalled    time.Duration // it does nothing until then
	clockRate  float64
	clockStart time.Time
	tickAt     time.Duration
	epoch      uint64 // highest that it applied changes of
	number     uint64
	consumer   map[string]string
	inForce    uint64 // number
	pieces     int    // steps since its region was connected again
	traffic    window
}

// clock returns the process's own time.
func (p *process) clock(elapsed time.Duration) time.Time {
	return p.clockStart.Add(time.Duration(float64(elapsed) * p.clockRate))
}

// elapsed is the virtual time of a time of the process's clock.
func (p *process) elapsed(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(p.clockStart)) / p.clockRate)
}

type event struct {
	at    time.Duration
	order uint64
	to    *process
	from  changes.MemberID
	text  []byte // nil: a tick
	do    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// world is all processes and what is under way between them.
type world struct {
	options   Options
	seed      uint64
	rng       *rand.Rand // faults and truth
	links     *rand.Rand
	now       time.Duration
	order     uint64
	queue     queue
	processes []*process
	byID      map[changes.MemberID]*process
	tree      *changes.Tree
	treeDirty bool
	source    *process
	epoch     uint64
	truth     map[string]string
	truthStep int
	cutOff    string // region
	judge     *judge
}

func newWorld(seed uint64, o Options) (*world, error) {
	planted, err := flaws(o.Plant)
	if err != nil {
		return nil, err
	}
	o.Replica.Flaws = planted
	w := &world{
		options: o, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), links: rand.New(rand.NewPCG(seed, 2)),
		byID: make(map[changes.MemberID]*process), truth: make(map[string]string),
	}
	w.judge = newJudge(w)
	for i := range o.Keys {
		w.truth[keyName(i)] = w.exampleValue()
	}
	for i := range o.Members {
		w.start(place(i))
	}
	w.lead(w.processes[w.rng.IntN(len(w.processes))])
	return w, nil
}

const (
	regions = 3
	zones   = 8
)

// place is the region and zone of the nth process.
func place(n int) changes.Member {
	zone := n % zones
	return changes.Member{Region: fmt.Sprint("region-", zone%regions), Zone: fmt.Sprint("zone-", zone)}
}

func keyName(i int) string { return fmt.Sprintf("server-%05d", i) }

// exampleValue is as long as the address, zone, state, share and start of a server.
func (w *world) exampleValue() string {
	w.truthStep++
	return fmt.Sprintf("10.20.%03d.%03d:9000 zone-%d %09d", w.rng.IntN(256), w.rng.IntN(256), w.rng.IntN(zones), w.truthStep)
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, do: do})
}

// every calls do at equal times until the end.
func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// start has a new process begin at a place.
func (w *world) start(at changes.Member) *process {
	p := &process{
		member: at, index: len(w.processes), up: true, started: w.now, clockRate: 0.99 + 0.02*w.rng.Float64(),
		clockStart: time.Unix(1_700_000_000+w.rng.Int64N(1_000_000), 0), tickAt: -1,
	}
	p.member.ID = changes.MemberID(len(w.processes) + 1)
	c := w.options.Replica
	c.Self, c.Session, c.Seed = p.member.ID, w.rng.Uint64(), w.seed
	p.replica = changes.New(p.clock(w.now), c)
	if !w.options.Sampling {
		p.consumer = make(map[string]string)
	}
	w.processes = append(w.processes, p)
	w.byID[p.member.ID] = p
	if w.tree != nil {
		p.replica.RaiseFence(p.clock(w.now), w.epoch)
		w.after(w.rand(time.Second), func() { w.giveTree(p) })
	}
	w.membersChanged(0)
	return p
}

// kill ends a process; the others' trees are without it a while later.
func (w *world) kill(p *process) {
	p.up = false
	delete(w.byID, p.member.ID)
	w.membersChanged(2*time.Second + w.rand(6*time.Second))
}

// membersChanged has a new tree computed before long.
func (w *world) membersChanged(after time.Duration) {
	if w.treeDirty && after > 0 {
		return
	}
	w.treeDirty = true
	w.after(after+time.Millisecond, func() {
		if !w.treeDirty {
			return
		}
		w.treeDirty = false
		w.spreadTree()
	})
}

// spreadTree computes the tree and has each process learn of it at a time of its own.
func (w *world) spreadTree() {
	var members []changes.Member
	for _, p := range w.processes {
		if p.up {
			members = append(members, p.member)
		}
	}
	if w.source == nil {
		return
	}
	w.tree = changes.NewTree(members, w.source.member.ID, w.options.FanOut)
	for _, p := range w.processes {
		if p.up {
			w.after(w.rand(2*time.Second), func() { w.giveTree(p) })
		}
	}
}

func (w *world) giveTree(p *process) {
	if p.up && w.tree != nil {
		p.replica.SetTree(p.clock(w.now), w.tree)
		w.settle(p)
	}
}

// lead has a process become the source, under the next epoch.
func (w *world) lead(p *process) {
	w.epoch++
	w.source = p
	w.judge.led(p)
	if err := p.replica.BecomeSource(p.clock(w.now), w.epoch); err != nil {
		w.judge.fail("%v", err)
		return
	}
	w.tellTruth()
	w.treeDirty = true
	w.after(0, func() {
		w.treeDirty = false
		w.spreadTree()
	})
}

// tellTruth has the source propose what the truth is, as one that asks discovery.
func (w *world) tellTruth() {
	p := w.source
	if p == nil || !p.up || p.stalled > w.now || !p.replica.IsSource() {
		return
	}
	entries := make([]changes.Entry, 0, len(w.truth))
	for i := range w.options.Keys {
		if value, ok := w.truth[keyName(i)]; ok {
			entries = append(entries, changes.Entry{Key: keyName(i), Value: value})
		}
	}
	p.replica.Replace(p.clock(w.now), entries)
	w.settle(p)
}

// change changes the truth in one place, and has the source propose it.
func (w *world) change() {
	key := keyName(w.rng.IntN(w.options.Keys))
	c := changes.Change{Key: key, Value: w.exampleValue(), Delete: w.rng.IntN(10) == 0}
	if c.Delete {
		delete(w.truth, key)
	} else {
		w.truth[key] = c.Value
	}
	if p := w.source; p != nil && p.up && p.stalled <= w.now && p.replica.IsSource() {
		_ = p.replica.Propose(p.clock(w.now), []changes.Change{c}) // it leads
		w.settle(p)
	}
}

func (w *world) rand(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

// settle carries out what a process wants, and has the judge see what it did.
func (w *world) settle(p *process) {
	for _, send := range p.replica.TakeMessages() {
		w.carry(p, send)
	}
	w.judge.saw(p)
	due := p.elapsed(p.replica.Due())
	if p.tickAt >= 0 && p.tickAt <= due {
		return // it looks again then
	}
	p.tickAt = max(due, w.now+time.Microsecond)
	w.order++
	heap.Push(&w.queue, event{at: p.tickAt, order: w.order, to: p})
}

func (w *world) carry(from *process, send changes.Outgoing) {
	to := w.byID[send.To]
	if to == nil || !w.linked(from, to) || w.links.Float64() < w.options.Loss {
		return
	}
	copies := 1
	if w.links.Float64() < w.options.Repeat {
		copies = 2
	}
	for range copies {
		delay := w.delay(from.member, to.member)
		if w.links.Float64() < w.options.Late {
			delay += time.Duration(w.links.Int64N(int64(10 * time.Second)))
		}
		w.order++
		heap.Push(&w.queue, event{at: w.now + delay, order: w.order, to: to, from: from.member.ID, text: send.Data})
	}
}

func (w *world) linked(a, b *process) bool {
	return w.cutOff == "" || (a.member.Region == w.cutOff) == (b.member.Region == w.cutOff)
}

// delay draws the time from one place to another.
func (w *world) delay(a, b changes.Member) time.Duration {
	least := 500 * time.Microsecond
	switch {
	case a.Region != b.Region:
		least = 40 * time.Millisecond
	case a.Zone != b.Zone:
		least = 2 * time.Millisecond
	}
	return least + time.Duration(w.links.Int64N(int64(least)))
}

// run plays up to a time.
func (w *world) run(until time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.judge.err == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.happen(e)
	}
	w.now = until
	return w.judge.err
}

func (w *world) happen(e event) {
	if e.do != nil {
		e.do()
		return
	}
	p := e.to
	if !p.up {
		return
	}
	if p.stalled > w.now { // it finds this when it runs again
		e.at = p.stalled
		heap.Push(&w.queue, e)
		return
	}
	if e.text == nil {
		if e.at < p.tickAt {
			return
		}
		p.tickAt = -1
		p.replica.Tick(p.clock(w.now))
	} else {
		p.replica.Handle(p.clock(w.now), e.from, e.text)
	}
	w.settle(p)
}
