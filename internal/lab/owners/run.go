// Package owners simulates fleets of processes that elect owners of duties, under faults: cluster
// membership, keepers, leases and fencing on a virtual network with stalled and killed processes,
// partitions, late and repeated datagrams, failing disks and faulty clocks. A run is determined by
// its seed.
//
// A judge that uses none of the code under test checks that no receiver accepts an effect of a
// former owner after one of a later owner, that no token is granted to two sessions, that no two
// processes hold a duty at once by their own clocks, and that claims are linearizable.
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

// Options selects what a run simulates. The zero value is a standard run.
type Options struct {
	Plant          string        // planted mistake, one of Plants; empty: none
	Members        int           // 0: drawn, 5 to 12
	Keepers        int           // 0: drawn, 3 or 5
	FaultDuration  time.Duration // phase with faults; 0: 30 s
	SettleDuration time.Duration // phase without faults before the final check; 0: 20 s
	NoFaults       bool
	// Extension adds further parts to the simulated processes, under the same faults; nil: none.
	Extension func(*vnet.World) Extension
	// MaxPartition is the longest duration of a partition; 0: 5.2 s.
	MaxPartition time.Duration
	// OnlyFaults, if it is not empty, restricts the injected faults to these kinds.
	OnlyFaults []string
}

// Extension simulates further parts of the processes of a run.
type Extension interface {
	// BeforeStart is called at each start of process i before its node is created, and may change
	// the node's configuration.
	BeforeStart(i int, h *vnet.Host, loop *poll.Loop, c *mesh.Config)
	// AfterStart is called with the node of process i once it has been created.
	AfterStart(i int, n *mesh.Node)
	// Killed is called after process i was killed.
	Killed(i int)
	// ClockJumped is called after the clock of process i was set ahead.
	ClockJumped(i int)
	// FaultsEnded is called at the end of the phase with faults.
	FaultsEnded()
	// CheckSettled is called at the end of the phase without faults. The run fails with the error
	// that it returns.
	CheckSettled() error
}

// Plants lists the mistakes that can be planted. The judge must find each of them.
var Plants = []string{"no-fence", "early-grant", "ack-before-sync", "lease-from-answer", "forgetful-receiver"}

// duties lists the duties that the members claim.
var duties = []string{"discovery", "moves", "probes/0"}

// leaseTerms are shorter than in production, so that a run sees more hand-overs.
var leaseTerms = owner.LeaseTerms{Lease: 1200 * time.Millisecond, Margin: 60 * time.Millisecond}

type run struct {
	o               Options
	world           *vnet.World
	faultRNG        *rand.Rand // draws the faults
	sessionRNG      *rand.Rand // draws session numbers and the times of announcements
	judge           *judge
	members         []*member
	keeperAddrs     []mesh.KeeperAddress
	lateFactor      float64 // multiple of the usual rate of late, repeated and dropped datagrams
	faultsOver      bool    // no faults are injected any more
	partitions      []*vnet.Partition
	lostDisks       map[int]bool // keepers whose disk was lost, by index of the member
	terms           owner.LeaseTerms
	noAnnouncements bool // owners send no announcements
	extension       Extension
}

type member struct {
	run        *run
	index      int
	host       *vnet.Host
	node       *mesh.Node
	loop       *poll.Loop
	timer      poll.Timer
	keeper     bool
	keeperLost bool    // the keeper's disk is lost, so that the process runs without a keeper
	clockRate  float64 // speed of the clock relative to true time
}

// Play runs one seed and returns its counts. The error is a *vnet.Failure if a check failed.
func Play(seed uint64, o Options) (Counts, error) {
	if o.Plant != "" && !slices.Contains(Plants, o.Plant) {
		return Counts{}, fmt.Errorf("unknown planted mistake %q: want one of %v", o.Plant, Plants)
	}
	if o.FaultDuration == 0 {
		o.FaultDuration = 30 * time.Second
	}
	if o.SettleDuration == 0 {
		o.SettleDuration = 20 * time.Second
	}
	r := &run{o: o, lostDisks: make(map[int]bool), terms: leaseTerms}
	var links *rand.Rand
	loss := 0.0
	r.world = vnet.New(seed, func(from, to *vnet.Host) vnet.Link {
		return vnet.Link{
			Delay: time.Duration(200+links.IntN(5000)) * time.Microsecond, Jitter: time.Duration(links.IntN(3000)) * time.Microsecond,
			Loss: loss,
		}
	})
	links, r.faultRNG, r.sessionRNG = r.world.Rand("links"), r.world.Rand("faults"), r.world.Rand("sessions")
	if !o.NoFaults && r.faultRNG.IntN(2) == 0 {
		loss = 0.15 * r.faultRNG.Float64()
	}
	r.judge = newJudge(r.world.Fail)
	r.judge.Seeds = 1
	if o.Extension != nil {
		r.extension = o.Extension(r.world)
	}
	if r.o.Keepers == 0 {
		r.o.Keepers = 3 + 2*r.faultRNG.IntN(2)
	}
	if r.o.Members == 0 {
		r.o.Members = 5 + r.faultRNG.IntN(8)
	}
	if err := r.addMembers(); err != nil {
		return r.judge.Counts, err
	}
	r.world.SetDatagramFaults(r.datagramFate)
	if !o.NoFaults {
		r.scheduleFaults()
	}
	err := r.advance(o.FaultDuration)
	if err == nil {
		r.endFaults()
		err = r.advance(o.SettleDuration)
	}
	if err == nil {
		r.checkSettled()
		if r.extension != nil {
			if found := r.extension.CheckSettled(); found != nil {
				r.world.Fail(found)
			}
		}
	}
	for _, m := range r.members {
		m.collectCounters()
	}
	if err == nil {
		if lin := r.judge.checkLinearizable(20 * time.Second); lin != nil {
			r.world.Fail(lin)
		}
		err = r.world.Run(0)
	}
	return r.judge.Counts, err
}

// advance runs the simulation for d. A panic of the code under test is a failure of the run.
func (r *run) advance(d time.Duration) (err error) {
	defer func() {
		if p := recover(); p != nil {
			r.world.Fail(fmt.Errorf("panic: %v", p))
			err = r.world.Run(0)
		}
	}()
	return r.world.Run(d)
}

func (r *run) addMembers() error {
	for i := range r.o.Members {
		h := r.world.AddHost(fmt.Sprintf("p%d", i), netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(1 + i&0xff)}), vnet.Limits{})
		m := &member{run: r, index: i, host: h, keeper: i < r.o.Keepers, clockRate: 1}
		r.members = append(r.members, m)
		if m.keeper {
			r.keeperAddrs = append(r.keeperAddrs, mesh.KeeperAddress{ID: uint64(i + 1), Addr: netip.AddrPortFrom(h.Addr(), meshPort)})
			d := h.Disk("keeper")
			d.SetFaults(vnet.DiskFaults{Delay: time.Millisecond, Jitter: 6 * time.Millisecond, Torn: 0.7, Scrambled: 0.3})
			d.SetContents(keeper.InitialRecord(r.sessionRNG.Uint64() | 1))
		}
	}
	for _, m := range r.members {
		if !r.o.NoFaults {
			m.clockRate = 0.99 + 0.02*r.faultRNG.Float64()
		}
		delay := time.Duration(r.faultRNG.IntN(500)) * time.Millisecond
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
	err := m.host.Start(m.startNode)
	if err != nil {
		m.run.world.Fail(err)
		return
	}
	m.host.ClockRate(m.clockRate)
}

func (m *member) startNode(k poll.Kernel) (func() error, error) {
	r := m.run
	loop := poll.NewOn(k, func() {})
	plant := r.o.Plant
	c := mesh.Config{
		Loop: loop, Cluster: "lab", Name: m.host.Name(), Listen: netip.AddrPortFrom(m.host.Addr(), meshPort),
		Session: r.sessionRNG.Uint64() | 1, Keepers: r.keeperAddrs, Terms: r.terms, Duties: duties, Seed: r.world.Seed(),
		Flaws:          owner.Flaws{LeaseFromResponse: plant == "lease-from-answer", NoFence: plant == "no-fence"},
		ForgetFloors:   plant == "forgetful-receiver" || plant == "no-fence",
		Seeds:          []netip.AddrPort{r.keeperAddrs[0].Addr, r.keeperAddrs[1].Addr},
		OnAnnouncement: func(w mesh.Announcement) { r.judge.effectTaken(m.host.Name(), w.Lease, w.Token) },
		OnRequest:      func(a *owner.LeaseRequest) { r.judge.claimSent(r.world.Elapsed(), a) },
		OnResponse:     func(a *owner.LeaseResponse) { r.judge.answerReceived(r.world.Elapsed(), a) },
	}
	c.OnEvent = func(e mesh.Event) {
		switch e.Kind {
		case "own":
			r.checkOverlap()
		case "keeper-stopped":
			m.keeperLost = true
		}
	}
	if m.keeper && !m.keeperLost {
		if err := m.restoreKeeper(&c); err != nil {
			return nil, err
		}
	}
	if r.extension != nil {
		r.extension.BeforeStart(m.index, m.host, loop, &c)
	}
	node, err := mesh.New(c)
	if err != nil {
		return nil, err
	}
	m.node, m.loop = node, loop
	if r.extension != nil {
		r.extension.AfterStart(m.index, node)
	}
	m.timer = poll.Timer{Fire: m.announceDuties}
	loop.After(&m.timer, time.Duration(100+m.run.sessionRNG.IntN(100))*time.Millisecond)
	return func() error { return loop.Turn(true) }, nil
}

// restoreKeeper configures the keeper of the process from what its disk holds. The process runs
// without a keeper if the disk is empty.
func (m *member) restoreKeeper(c *mesh.Config) error {
	r := m.run
	d := m.host.Disk("keeper")
	log, err := keeper.Restore(d.Contents())
	switch {
	case errors.Is(err, keeper.ErrEmpty):
		m.keeperLost = true
		return nil
	case errors.Is(err, keeper.ErrDamaged):
		// Only kills damage these disks, and a kill tears no more than the last write.
		return fmt.Errorf("%s: the keeper's log can't be read after a kill: %w", m.host.Name(), err)
	case err != nil:
		return err
	}
	d.Truncate(log.ValidBytes)
	k := keeper.DefaultConfig()
	k.ID, k.Terms, k.Seed = uint64(m.index+1), r.terms, r.world.Seed()
	k.SnapshotEvery, k.TrailingEntries = 150, 20
	for _, at := range r.keeperAddrs {
		k.Voters = append(k.Voters, at.ID)
	}
	k.Flaws = keeper.Flaws{EarlyGrant: r.o.Plant == "early-grant", AckBeforeSync: r.o.Plant == "ack-before-sync"}
	c.Keeper, c.RestoredLog, c.Disk = &k, log, d
	return nil
}

// announceDuties sends an announcement for each duty that the member holds, every 100 to 250 ms.
func (m *member) announceDuties() {
	r := m.run
	if r.noAnnouncements {
		return
	}
	m.loop.After(&m.timer, time.Duration(100+r.sessionRNG.IntN(150))*time.Millisecond)
	r.checkOverlap()
	for _, d := range duties {
		if _, ok := m.node.Holds(d); !ok {
			continue
		}
		stall := time.Duration(0)
		if r.drawFault("stall-before-send", 0.03) {
			stall = leaseTerms.Lease*3 + time.Duration(r.faultRNG.IntN(2000))*time.Millisecond
			m.host.StallBeforeNextSend(stall)
			r.judge.StallsBeforeSend++
		}
		mark, err := m.node.Announce(d, []byte(m.host.Name()))
		if err != nil {
			continue
		}
		r.judge.effectTaken(m.host.Name(), d, mark.Token) // an owner receives its own announcements
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

// checkOverlap checks that no two processes hold a duty at once by their own clocks.
func (r *run) checkOverlap() {
	if r.judge.clockJumped {
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

// collectCounters adds the counters of a process that ends to the counts of the run.
func (m *member) collectCounters() {
	if m.node == nil {
		return
	}
	m.run.judge.StaleRefused += int(m.node.Counters.AnnouncementsStale)
	m.run.judge.Refuted += int(m.node.Peers().Counters.Refuted)
	m.run.judge.NameConflicts += int(m.node.Peers().Counters.NameConflicts)
	if k := m.node.Keeper(); k != nil {
		m.run.judge.Snapshots += int(k.Count.Snapshots)
	}
	m.node = nil
}

func (m *member) kill() {
	if m.host.Running() {
		m.collectCounters()
		m.host.Kill()
		if m.run.extension != nil {
			m.run.extension.Killed(m.index)
		}
	}
}

// settleTime is how long a change may take to reach all members over links that lose datagrams.
const settleTime = 6 * time.Second

// checkSettled checks, after a phase without faults, that all live processes know each other. If a
// majority of the keepers still has its disks, it also checks that each duty has an owner and that
// all members have an announcement of that owner.
func (r *run) checkSettled() {
	sound := 0
	for _, m := range r.members {
		if m.keeper && m.node != nil && m.node.Keeper() != nil && m.node.Keeper().Stopped() == nil && !r.lostDisks[m.index] {
			sound++
		}
	}
	for _, m := range r.members {
		// A datagram that was held up for 30 s may add a former session of a process to the list,
		// but no live process may be missing.
		for _, o := range r.members {
			me := o.node.Peers().Self().Session
			if !slices.ContainsFunc(m.node.Members(), func(p peers.Member) bool { return p.Session == me }) {
				r.world.Fail(fmt.Errorf("%s does not list the live process %s %v after the last fault", m.host.Name(), o.host.Name(), r.o.SettleDuration))
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
		if owner == "" && now-r.judge.renewedAt[d] > settleTime {
			r.world.Fail(fmt.Errorf("duty %s: no owner %v after the last fault, with %d of %d keepers in service", d, r.o.SettleDuration, sound, r.o.Keepers))
			return
		}
		if owner == "" || now-r.judge.grantedAt[d] < settleTime {
			continue // a hand-over may be in progress: links may still lose one datagram in seven
		}
		for _, m := range r.members {
			if w, _, ok := m.node.Latest(d); !ok || w.Token != token {
				r.world.Fail(fmt.Errorf("duty %s: %s has the announcement of token %d, the owner %s has token %d; fence closed: %v; counters: %v", d, m.host.Name(), w.Token, owner, token, m.node.Fence().Closed(), m.node.CounterValues()))
				return
			}
		}
	}
}
