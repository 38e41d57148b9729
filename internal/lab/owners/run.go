// Package owners plays fleets of processes that fail together: membership, keepers, leases and fences on a virtual network
// with stalls, kills, partitions, late and repeated datagrams, bad disks and bad clocks, from one seed. A judge that knows
// none of the code checks that no effect of a former owner is taken after one of a later owner, that no token is given
// twice, that no two processes hold a duty by their own clocks at once, and that claims are linearizable.
package owners

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/peers"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// Options say what to play. Their zero value, but for the seed, is the usual run.
type Options struct {
	Plant    string        // a mistake, one of Plants; empty: none
	Members  int           // 0: drawn, 5 to 12
	Keepers  int           // 0: drawn, 3 or 5
	Trouble  time.Duration // with faults; 0: 30 s
	Quiet    time.Duration // without, before the last look; 0: 20 s
	NoFaults bool
	// Guest plays further parts of the same processes, under the same faults; nil: none.
	Guest func(*vnet.World) Guest
	// Span is the longest time that a cut lasts; 0: 5.2 s.
	Span time.Duration
	// Only, if it is not empty, has only these faults.
	Only []string
}

// Guest plays further parts of the processes of a run.
type Guest interface {
	// Begin is told of each start of a process, before its node is made: it may change the configuration.
	Begin(i int, h *vnet.Host, loop *poll.Loop, c *mesh.Config)
	// Began is told of the node.
	Began(i int, n *mesh.Node)
	// Killed is told of the end of a process.
	Killed(i int)
	// Jumped is told that a process's clock was set ahead.
	Jumped(i int)
	// Healed is told that there are no faults any more.
	Healed()
	// Settled is asked at the end, when there has been no fault for a while: an error is a finding.
	Settled() error
}

// Plants are the mistakes that can be planted, each of which the judge must find.
var Plants = []string{"no-fence", "early-grant", "ack-before-sync", "lease-from-answer", "forgetful-receiver"}

// duties are those that the members claim.
var duties = []string{"discovery", "moves", "probes/0"}

// terms are shorter than those that serve, so that a run sees more hand-overs.
var terms = owner.LeaseTerms{Lease: 1200 * time.Millisecond, Margin: 60 * time.Millisecond}

type run struct {
	o          Options
	world      *vnet.World
	rng        *rand.Rand // of faults
	ids        *rand.Rand // of sessions
	judge      *judge
	members    []*member
	at         []mesh.KeeperAddress
	late       float64 // times as often as usual that datagrams come late
	over       bool    // no faults any more
	cuts       []*vnet.Partition
	lost       map[int]bool // keepers whose disk was lost
	terms      owner.LeaseTerms
	quietWords bool // members say no words
	guest      Guest
}

type member struct {
	run    *run
	index  int
	host   *vnet.Host
	node   *mesh.Node
	loop   *poll.Loop
	timer  poll.Timer
	keeper bool
	lost   bool // its disk
	rate   float64
}

// Play plays one seed and returns its counts; an error is a *vnet.Failure if something happened that must not.
func Play(seed uint64, o Options) (Counts, error) {
	if o.Plant != "" && !slices.Contains(Plants, o.Plant) {
		return Counts{}, fmt.Errorf("plant %q is none of %v", o.Plant, Plants)
	}
	if o.Trouble == 0 {
		o.Trouble = 30 * time.Second
	}
	if o.Quiet == 0 {
		o.Quiet = 20 * time.Second
	}
	r := &run{o: o, lost: make(map[int]bool), terms: terms}
	var links *rand.Rand
	loss := 0.0
	r.world = vnet.New(seed, func(from, to *vnet.Host) vnet.Link {
		return vnet.Link{
			Delay: time.Duration(200+links.IntN(5000)) * time.Microsecond, Jitter: time.Duration(links.IntN(3000)) * time.Microsecond,
			Loss: loss,
		}
	})
	links, r.rng, r.ids = r.world.Rand("links"), r.world.Rand("faults"), r.world.Rand("sessions")
	if !o.NoFaults && r.rng.IntN(2) == 0 {
		loss = 0.15 * r.rng.Float64()
	}
	r.judge = newJudge(r.world.Fail)
	r.judge.Seeds = 1
	if o.Guest != nil {
		r.guest = o.Guest(r.world)
	}
	if r.o.Keepers == 0 {
		r.o.Keepers = 3 + 2*r.rng.IntN(2)
	}
	if r.o.Members == 0 {
		r.o.Members = 5 + r.rng.IntN(8)
	}
	if err := r.build(); err != nil {
		return r.judge.Counts, err
	}
	r.world.SetDatagramFaults(r.fate)
	if !o.NoFaults {
		r.faults()
	}
	err := r.play(o.Trouble)
	if err == nil {
		r.heal()
		err = r.play(o.Quiet)
	}
	if err == nil {
		r.settled()
		if r.guest != nil {
			if found := r.guest.Settled(); found != nil {
				r.world.Fail(found)
			}
		}
	}
	for _, m := range r.members {
		m.count()
	}
	if err == nil {
		if lin := r.judge.linearizable(20 * time.Second); lin != nil {
			r.world.Fail(lin)
		}
		err = r.world.Run(0)
	}
	return r.judge.Counts, err
}

// play lets the world go on; a panic of the code under test is a finding like others.
func (r *run) play(d time.Duration) (err error) {
	defer func() {
		if p := recover(); p != nil {
			r.world.Fail(fmt.Errorf("panic: %v", p))
			err = r.world.Run(0)
		}
	}()
	return r.world.Run(d)
}

func (r *run) build() error {
	for i := range r.o.Members {
		h := r.world.AddHost(fmt.Sprintf("p%d", i), netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(1 + i&0xff)}), vnet.Limits{})
		m := &member{run: r, index: i, host: h, keeper: i < r.o.Keepers, rate: 1}
		r.members = append(r.members, m)
		if m.keeper {
			r.at = append(r.at, mesh.KeeperAddress{ID: uint64(i + 1), Addr: netip.AddrPortFrom(h.Addr(), meshPort)})
			d := h.Disk("keeper")
			d.SetFaults(vnet.DiskFaults{Delay: time.Millisecond, Jitter: 6 * time.Millisecond, Torn: 0.7, Scrambled: 0.3})
			d.SetContents(keeper.InitialRecord(r.ids.Uint64() | 1))
		}
	}
	for _, m := range r.members {
		if !r.o.NoFaults {
			m.rate = 0.99 + 0.02*r.rng.Float64()
		}
		delay := time.Duration(r.rng.IntN(500)) * time.Millisecond
		r.world.After(delay, m.start)
	}
	return nil
}

const meshPort = 7946

func (m *member) start() {
	if m.host.Running() {
		return
	}
	m.host.Return()
	err := m.host.Start(m.begin)
	if err != nil {
		m.run.world.Fail(err)
		return
	}
	m.host.ClockRate(m.rate)
}

func (m *member) begin(k poll.Kernel) (func() error, error) {
	r := m.run
	loop := poll.NewOn(k, func() {})
	plant := r.o.Plant
	c := mesh.Config{
		Loop: loop, Cluster: "lab", Name: m.host.Name(), Listen: netip.AddrPortFrom(m.host.Addr(), meshPort),
		Session: r.ids.Uint64() | 1, Keepers: r.at, Terms: r.terms, Duties: duties, Seed: r.world.Seed(),
		Flaws:          owner.Flaws{LeaseFromResponse: plant == "lease-from-answer", NoFence: plant == "no-fence"},
		ForgetFloors:   plant == "forgetful-receiver" || plant == "no-fence",
		Seeds:          []netip.AddrPort{r.at[0].Addr, r.at[1].Addr},
		OnAnnouncement: func(w mesh.Announcement) { r.judge.take(m.host.Name(), w.Lease, w.Token) },
		OnRequest:      func(a *owner.LeaseRequest) { r.judge.ask(r.world.Elapsed(), a) },
		OnResponse:     func(a *owner.LeaseResponse) { r.judge.answer(r.world.Elapsed(), a) },
	}
	c.OnEvent = func(e mesh.Event) {
		switch e.Kind {
		case "own":
			r.overlap()
		case "keeper-stopped":
			m.lost = true
		}
	}
	if m.keeper && !m.lost {
		if err := m.keep(&c); err != nil {
			return nil, err
		}
	}
	if r.guest != nil {
		r.guest.Begin(m.index, m.host, loop, &c)
	}
	node, err := mesh.New(c)
	if err != nil {
		return nil, err
	}
	m.node, m.loop = node, loop
	if r.guest != nil {
		r.guest.Began(m.index, node)
	}
	m.timer = poll.Timer{Fire: m.act}
	loop.After(&m.timer, time.Duration(100+m.run.ids.IntN(100))*time.Millisecond)
	return func() error { return loop.Turn(true) }, nil
}

// keep gives the process its keeper, as far as its disk can be trusted.
func (m *member) keep(c *mesh.Config) error {
	r := m.run
	d := m.host.Disk("keeper")
	log, err := keeper.Restore(d.Contents())
	switch {
	case errors.Is(err, keeper.ErrEmpty):
		m.lost = true
		return nil
	case errors.Is(err, keeper.ErrDamaged):
		// Only a kill touches these disks, and it tears no more than the last write.
		return fmt.Errorf("%s: a kill has left a log that can't be read: %w", m.host.Name(), err)
	case err != nil:
		return err
	}
	d.Truncate(log.ValidBytes)
	k := keeper.DefaultConfig()
	k.ID, k.Terms, k.Seed = uint64(m.index+1), r.terms, r.world.Seed()
	k.SnapshotEvery, k.TrailingEntries = 150, 20
	for _, at := range r.at {
		k.Voters = append(k.Voters, at.ID)
	}
	k.Flaws = keeper.Flaws{EarlyGrant: r.o.Plant == "early-grant", AckBeforeSync: r.o.Plant == "ack-before-sync"}
	c.Keeper, c.RestoredLog, c.Disk = &k, log, d
	return nil
}

// act is what a member does with its duties: it says a word for each that it holds, every now and then.
func (m *member) act() {
	r := m.run
	if r.quietWords {
		return
	}
	m.loop.After(&m.timer, time.Duration(100+r.ids.IntN(150))*time.Millisecond)
	r.overlap()
	for _, d := range duties {
		if _, ok := m.node.Holds(d); !ok {
			continue
		}
		stall := time.Duration(0)
		if r.hits("stall-before-send", 0.03) {
			stall = terms.Lease*3 + time.Duration(r.rng.IntN(2000))*time.Millisecond
			m.host.StallBeforeNextSend(stall)
			r.judge.StallsBeforeSend++
		}
		mark, err := m.node.Announce(d, []byte(m.host.Name()))
		if err != nil {
			continue
		}
		r.judge.take(m.host.Name(), d, mark.Token) // an owner is a receiver of its own words
		life := m.host.Incarnation()
		r.world.After(stall, func() {
			if life == m.host.Incarnation() && mark.Token < r.judge.granted[d] {
				r.judge.StaleSent++
			}
		})
		if stall > 0 {
			return
		}
	}
}

// overlap checks that no two processes hold a duty by their own clocks.
func (r *run) overlap() {
	if r.judge.jumped {
		return
	}
	for _, d := range duties {
		holder := ""
		for _, m := range r.members {
			if !m.host.Running() || m.node == nil {
				continue
			}
			if _, ok := m.node.HoldsAt(m.host.ClockNow(), d); !ok {
				continue
			}
			if holder != "" {
				r.world.Fail(fmt.Errorf("duty %s: %s and %s both hold it by their own clocks", d, holder, m.host.Name()))
				return
			}
			holder = m.host.Name()
		}
	}
}

// count takes the counters of a process that ends.
func (m *member) count() {
	if m.node == nil {
		return
	}
	m.run.judge.StaleRefused += int(m.node.Counters.AnnouncementsStale)
	m.run.judge.Refuted += int(m.node.Peers().Counters.Refuted)
	m.run.judge.Twins += int(m.node.Peers().Counters.NameConflicts)
	if k := m.node.Keeper(); k != nil {
		m.run.judge.Snapshots += int(k.Count.Snapshots)
	}
	m.node = nil
}

func (m *member) kill() {
	if m.host.Running() {
		m.count()
		m.host.Kill()
		if m.run.guest != nil {
			m.run.guest.Killed(m.index)
		}
	}
}

// calm is how long a change may take to reach everybody over links that lose datagrams.
const calm = 6 * time.Second

// settled checks, after a time without faults, that work goes on where a majority of the keepers has its disks: all live
// processes know each other, each duty has an owner, and everybody has a word of that owner.
func (r *run) settled() {
	sound := 0
	for _, m := range r.members {
		if m.keeper && m.node != nil && m.node.Keeper() != nil && m.node.Keeper().Stopped() == nil && !r.lost[m.index] {
			sound++
		}
	}
	for _, m := range r.members {
		// A datagram that a link held for 30 s may name a life that is over; one that lives must not be missing.
		for _, o := range r.members {
			me := o.node.Peers().Self().Session
			if !slices.ContainsFunc(m.node.Members(), func(p peers.Member) bool { return p.Session == me }) {
				r.world.Fail(fmt.Errorf("%s does not know that %s lives, %v after the last fault", m.host.Name(), o.host.Name(), r.o.Quiet))
				return
			}
		}
	}
	if sound <= r.o.Keepers/2 {
		return
	}
	for _, d := range duties {
		owner, token := "", uint64(0)
		for _, m := range r.members {
			if t, ok := m.node.HoldsAt(m.host.ClockNow(), d); ok {
				owner, token = m.host.Name(), t
			}
		}
		now := r.world.Elapsed()
		if owner == "" && now-r.judge.renewed[d] > calm {
			r.world.Fail(fmt.Errorf("duty %s: no owner %v after the last fault, with %d of %d keepers", d, r.o.Quiet, sound, r.o.Keepers))
			return
		}
		if owner == "" || now-r.judge.since[d] < calm {
			continue // links may still lose one datagram in seven: it changes hands just now
		}
		for _, m := range r.members {
			if w, _, ok := m.node.Latest(d); !ok || w.Token != token {
				r.world.Fail(fmt.Errorf("duty %s: %s has the word of token %d, the owner %s has token %d; fence closed: %v; %v", d, m.host.Name(), w.Token, owner, token, m.node.Fence().Closed(), m.node.CounterValues()))
				return
			}
		}
	}
}
