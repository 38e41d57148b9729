package instance

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"ospreyspan/internal/duty"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/shared/carrier"
	"ospreyspan/internal/shared/evidence"
	"ospreyspan/internal/shared/limit"
)

// Fleet is what a proxy needs that shares work with others.
type Fleet struct {
	Mesh           mesh.Config    // Loop, Heard and Tell are set here; Tell, if it is set, is told too
	SameAddresses  bool           // of targets, for all proxies
	Verdicts       *Verdicts      // nil: each judges targets alone
	Limits         *Limits        // nil: none holds for all together
	Retries        *limit.Retries // of all together; nil: no budget
	MovesPerSecond float64        // at which the owner of moves paces them; 0: they are not paced
}

// fleet joins a proxy with the others: it carries out duties that are held here, and uses the words of those that are held
// elsewhere.
type fleet struct {
	instance           *Instance
	loop               *poll.Loop
	node               *mesh.Node
	session            uint64
	lease              time.Duration
	draining           bool // a planned stop has begun
	sameAddresses      bool
	askWithin          time.Duration
	startedAt          time.Time
	initialQueryDelay  time.Duration // at the start, until the keepers have been heard; 0 in a small fleet
	lastAnnounced      []byte        // the last list that was said
	lastAnnouncedToken uint64
	baseDuties         []string // duties but for parts of probes
	duties             []string // all that are wanted now
	moves              *moves   // nil: moves are made when the module wants them
	probes             *probes  // nil: each process probes alone
	verdicts           *verdicts
	limits             *limits
	retries            *retries
	carrier            *carrier.Carrier // of evidence, where verdicts or limits need it
	tickTimer          poll.Timer
	probeParts         []string // of probes, that this process is to claim
}

const (
	// smallFleetSize is how many processes can ask discovery alone without a thought of the others.
	smallFleetSize = 10
	// initialQueryDelayFraction is the part of the longest time without a question for which a process of a larger fleet waits at its start
	// for word of who owns the asking.
	initialQueryDelayFraction = 0.5
)

func newFleet(i *Instance, loop *poll.Loop, c Config) (*fleet, error) {
	f := &fleet{instance: i, loop: loop, session: c.Fleet.Mesh.Session, lease: c.Fleet.Mesh.Terms.Lease, startedAt: loop.Now(), sameAddresses: c.Fleet.SameAddresses, askWithin: min(c.Settings.Config.Rules.AskWithin, routes.ListLease)}
	m := c.Fleet.Mesh
	tell := m.Tell
	m.Loop, m.OnAnnouncement = loop, f.onAnnouncement
	m.Tell = func(e mesh.Event) {
		if tell != nil {
			tell(e)
		}
		f.onOwnership(e)
	}
	if c.Settings.Config.Balancers > smallFleetSize {
		f.initialQueryDelay = time.Duration(initialQueryDelayFraction * float64(f.askWithin))
	}
	var share bool
	f.baseDuties, share = splitProbes(m.Duties)
	m.Duties, f.duties = f.baseDuties, f.baseDuties
	if share {
		f.probes = newProbes(f, true)
		m.Members = f.probes.onMembersChanged
	}
	if c.Fleet.MovesPerSecond > 0 {
		f.moves = newMoves(f, c.Fleet.MovesPerSecond)
	}
	m.Direct = f.handleDirect
	f.setUpSharing(c, &m)
	var err error
	if f.node, err = mesh.New(m); err != nil {
		return nil, err
	}

	if f.carrier != nil {
		f.carrier.Bind(f.node)
		f.tick()
	}
	if slices.Contains(m.Duties, duty.Discovery) || len(m.Keepers) > 0 {
		i.engine.OnNews(f.onDiscoveryAnswer)
		i.engine.Watch().SetQueryPolicy(f.queryPolicy)
		i.engine.Vouched(func() time.Time {
			_, at, _ := f.node.Latest(duty.Discovery)
			return at
		})
	}
	return f, nil
}

// leave begins a planned stop: all duties go but the slices of limits under which clients stand, who are told to move as in any
// planned stop, not all at once.
func (f *fleet) leave() {
	f.draining, f.baseDuties, f.probeParts = true, nil, nil
	if f.limits != nil {
		f.limits.tick(f.loop.Now())
	}
	f.node.Leave(f.duties...)
}

// close ends the conversation.
func (f *fleet) close() {
	if f.probes != nil {
		f.loop.Disarm(&f.probes.settleTimer)
	}
	f.loop.Disarm(&f.tickTimer)
	f.node.Close()
}

// queryPolicy tells the watch how to ask: for all, if this process owns that; not at all while the owner's word is fresh; else
// alone, as without a fleet.
func (f *fleet) queryPolicy() (lead bool, rest time.Time, lapse time.Duration) {
	if _, ok := f.node.Holds(duty.Discovery); ok {
		return true, time.Time{}, 0
	}
	w, vouched, ok := f.node.Latest(duty.Discovery)
	if (!ok || w.Own || vouched.IsZero()) && f.node.HasOwner(duty.Discovery) {
		// There is an owner that has yet to speak: hundreds that start together would keep discovery so busy that the
		// owner's own call is lost among theirs. What is known now is as old as this process.
		vouched = f.startedAt
	} else if !ok || w.Own {
		// Nobody has said yet whether there is an owner. A proxy of a large fleet draws its first question over a longer time
		// than this in any case.
		return false, f.startedAt.Add(f.initialQueryDelay), duty.FallbackSpread(f.askWithin)
	}
	return false, duty.RelyUntil(vouched, f.askWithin), duty.FallbackSpread(f.askWithin)
}

// onOwnership looks at duties that were won or lost.
func (f *fleet) onOwnership(e mesh.Event) {
	if e.What == "lost" && f.limits != nil {
		f.limits.moveExcess()
	}
	if e.What == "own" && f.needsOwnerKnown(e.Lease) {
		f.announceOwnership(e.Lease)
	}
	if e.What == "fence-open" { // what was won before that could not be said
		for _, d := range f.duties {
			if _, ok := f.node.Holds(d); ok && f.needsOwnerKnown(d) {
				f.announceOwnership(d)
			}
		}
	}
	if e.What == "own" && e.Lease == duty.Discovery {
		f.lastAnnounced = nil
		f.instance.engine.Watch().ReevaluatePolicy()
	}
}

// needsOwnerKnown tells whether a duty is one whose owner is needsOwnerKnown by others, and must be known to them.
func (f *fleet) needsOwnerKnown(d string) bool {
	return d == duty.Moves || strings.HasPrefix(d, duty.Probes+"/")
}

// announceOwnership makes this process known as a duty's owner. Who does not hear of it goes on alone.
func (f *fleet) announceOwnership(d string) { _, _ = f.node.Announce(d, nil) }

// onDiscoveryAnswer passes an answer of discovery on, if that is this process's duty.
func (f *fleet) onDiscoveryAnswer() {
	token, ok := f.node.Holds(duty.Discovery)
	if !ok {
		return
	}
	at, seq := f.instance.engine.Discovery()
	text, err := duty.EncodeList(at, seq, f.instance.engine.Table().All())
	if err != nil {
		return // a list that can't be written is passed on by nobody, and each asks for itself
	}
	if token == f.lastAnnouncedToken && bytes.Equal(text, f.lastAnnounced) {
		f.node.ConfirmCurrent(duty.Discovery)
		return
	}
	if _, err := f.node.Announce(duty.Discovery, text); err == nil {
		f.lastAnnounced, f.lastAnnouncedToken = text, token
	}
}

// sharedView tells operators what this process holds of matters that have no owner.
func (f *fleet) sharedView() []mesh.SharedView {
	var all []mesh.SharedView
	if f.verdicts != nil {
		all = f.verdicts.view()
	}
	if f.limits != nil {
		all = append(all, f.limits.view()...)
	}
	return all
}

// setUpSharing sets up what all processes hold setUpSharing: verdicts and limits, on one carrier of evidence.
func (f *fleet) setUpSharing(c Config, m *mesh.Config) {
	v, l := c.Fleet.Verdicts, c.Fleet.Limits
	if v == nil && l == nil && c.Fleet.Retries == nil {
		return
	}
	conf := evidence.DefaultConfig()
	if v != nil {
		conf = v.Evidence
	}
	me := evidence.Writer{Session: m.Session, Name: cmp.Or(m.Name, c.Name), Zone: m.Zone}
	f.carrier = carrier.New(f.loop.Now(), me, conf, evidence.Flaws{})
	f.tickTimer.Fire = f.tick
	m.Shared = func(from netip.AddrPort, s *mesh.Shared) { f.carrier.Take(f.loop.Now(), from, s) }
	m.SharedView = f.sharedView
	if v != nil {
		f.verdicts = newVerdicts(f, *v)
	}
	if l != nil {
		f.limits = newLimits(f, *l, c)
	}
	if c.Fleet.Retries != nil {
		f.retries = newRetries(f, *c.Fleet.Retries, limit.DefaultSoft().Stale)
	}
}

// tick tells others what is new, and looks at what came of theirs.
func (f *fleet) tick() {
	now := f.loop.Now()
	f.loop.After(&f.tickTimer, carrier.LookEvery)
	if f.limits != nil {
		f.limits.tick(now)
	}
	if f.retries != nil {
		f.retries.tick(now)
	}
	f.carrier.Look(now)
	if f.verdicts != nil {
		f.verdicts.tick(now)
	}
}

// claimDuties has the node claimDuties all that is wanted now.
func (f *fleet) claimDuties() {
	if f.draining {
		f.baseDuties, f.probeParts = nil, nil
	}
	list := slices.Concat(f.baseDuties, f.probeParts)
	if f.limits != nil {
		list = append(list, f.limits.sliceDuties...)
	}
	if !slices.Equal(list, f.duties) {
		f.duties = list
		f.node.SetDuties(list)
	}
}

// handleDirect passes on what another process says to this one about a duty.
func (f *fleet) handleDirect(from netip.AddrPort, d *mesh.Direct) {
	switch {
	case d.Lease == duty.Moves && f.moves != nil:
		f.moves.handleDirect(from, d)
	case f.probes != nil && strings.HasPrefix(d.Lease, duty.Probes+"/"):
		f.probes.handleDirect(from, d)
	}
}

// setDuties takes what the operator's file says now; sharing of probes itself takes a new start.
func (f *fleet) setDuties(duties []string) {
	f.baseDuties, _ = splitProbes(duties)
	f.claimDuties()
	if f.probes != nil {
		f.probes.chooseParts()
	}
}

// onAnnouncement uses an owner's word.
func (f *fleet) onAnnouncement(w mesh.Announcement) {
	if w.Lease != duty.Discovery {
		return
	}
	at, seq := f.instance.engine.Discovery()
	decoded, err := duty.DecodeList(w.Data, at, seq, f.sameAddresses, f.instance.engine.Table().Find)
	if err != nil {
		f.instance.Count.ListsRefused++
		return
	}
	f.instance.engine.Hear(decoded.List)
	if decoded.Unknown > 0 {
		f.instance.engine.Watch().RefetchSoon()
	}
}
