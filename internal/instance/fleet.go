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

// FleetConfig configures the work that a proxy shares with other proxies.
type FleetConfig struct {
	// New sets Loop and the callbacks of Mesh; a given OnEvent is called as well.
	Mesh           mesh.Config
	SameAddresses  bool               // targets have the same addresses for all proxies
	Verdicts       *VerdictConfig     // nil: each proxy judges targets alone
	Limits         *LimitsConfig      // nil: no limits on all proxies together
	Retries        *limit.RetryBudget // budget of all proxies together; nil: none
	MovesPerSecond float64            // rate at which the duty's owner paces moves; 0: not paced
}

// fleet connects a proxy with the other proxies: it carries out the duties that this process owns,
// and uses what the owners of the other duties announce.
type fleet struct {
	instance           *Instance
	loop               *poll.Loop
	node               *mesh.Node
	session            uint64
	leaseDuration      time.Duration // of the leases of duties
	draining           bool          // a planned stop has begun
	sameAddresses      bool
	askWithin          time.Duration // longest time between two requests to discovery
	startedAt          time.Time
	initialQueryDelay  time.Duration // wait for the keepers after the start; 0 in a small fleet
	lastAnnounced      []byte        // encoding of the last announced list
	lastAnnouncedToken uint64        // fencing token with which it was announced
	baseDuties         []string      // duties except parts of probes and slices of limits
	duties             []string      // all wanted duties
	moves              *moves        // nil: moves are made when the module requests them
	probes             *probes       // nil: this process probes alone
	verdicts           *verdicts
	limits             *limits
	retries            *retries
	carrier            *carrier.Carrier // of evidence; nil: no verdicts, limits or retry budget
	tickTimer          poll.Timer
	probeParts         []string // parts of probes that this process claims
}

const (
	// smallFleetSize is the number of processes up to which each may ask discovery without regard
	// to the others.
	smallFleetSize = 10
	// initialQueryDelayFraction is the fraction of the longest time between two requests to
	// discovery for which a process of a larger fleet waits at its start to learn which process
	// owns the asking.
	initialQueryDelayFraction = 0.5
)

func newFleet(i *Instance, loop *poll.Loop, c Config) (*fleet, error) {
	f := &fleet{instance: i, loop: loop, session: c.Fleet.Mesh.Session, leaseDuration: c.Fleet.Mesh.Terms.Lease, startedAt: loop.Now(), sameAddresses: c.Fleet.SameAddresses, askWithin: min(c.Settings.Config.Rules.MaxDiscoveryGap, routes.ListLease)}
	m := c.Fleet.Mesh
	tell := m.OnEvent
	m.Loop, m.OnAnnouncement = loop, f.onAnnouncement
	m.OnEvent = func(e mesh.Event) {
		if tell != nil {
			tell(e)
		}
		f.onOwnership(e)
	}
	if c.Settings.Config.Relays > smallFleetSize {
		f.initialQueryDelay = time.Duration(initialQueryDelayFraction * float64(f.askWithin))
	}
	var share bool
	f.baseDuties, share = splitProbes(m.Duties)
	m.Duties, f.duties = f.baseDuties, f.baseDuties
	if share {
		f.probes = newProbes(f, true)
		m.OnMembersChanged = f.probes.onMembersChanged
	}
	if c.Fleet.MovesPerSecond > 0 {
		f.moves = newMoves(f, c.Fleet.MovesPerSecond)
	}
	m.OnOwnerMessage = f.handleDirect
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
		i.engine.OnDiscoveryAnswer(f.onDiscoveryAnswer)
		i.engine.Watch().SetQueryPolicy(f.queryPolicy)
		i.engine.SetPeerConfirmation(func() time.Time {
			_, at, _ := f.node.Latest(duty.Discovery)
			return at
		})
	}
	return f, nil
}

// leave begins a planned stop. All duties are given up except the slices of strict limits that
// clients still occupy; these clients are told to move gradually, as in any planned stop.
func (f *fleet) leave() {
	f.draining, f.baseDuties, f.probeParts = true, nil, nil
	if f.limits != nil {
		f.limits.tick(f.loop.Now())
	}
	f.node.Leave(f.duties...)
}

// close leaves the fleet's mesh and stops the timers.
func (f *fleet) close() {
	if f.probes != nil {
		f.loop.Disarm(&f.probes.settleTimer)
	}
	f.loop.Disarm(&f.tickTimer)
	f.node.Close()
}

// queryPolicy decides how the watch asks discovery: on behalf of all if this process owns that
// duty, not at all while the owner's last announcement is fresh, and otherwise on its own, as
// without a fleet.
func (f *fleet) queryPolicy() (lead bool, deferUntil time.Time, spread time.Duration) {
	if _, ok := f.node.Holds(duty.Discovery); ok {
		return true, time.Time{}, 0
	}
	announcement, vouched, ok := f.node.Latest(duty.Discovery)
	if (!ok || announcement.Local || vouched.IsZero()) && f.node.HasOwner(duty.Discovery) {
		// There is an owner that has not announced a list yet. Hundreds of processes that start
		// together would keep discovery so busy that the owner's own request is lost among theirs.
		// The known list is as old as this process.
		vouched = f.startedAt
	} else if !ok || announcement.Local {
		// It is not known yet whether there is an owner. In a large fleet a proxy spreads its first
		// request over a longer time than this in any case.
		return false, f.startedAt.Add(f.initialQueryDelay), duty.FallbackSpread(f.askWithin)
	}
	return false, duty.RelyUntil(vouched, f.askWithin), duty.FallbackSpread(f.askWithin)
}

// onOwnership handles a duty that was won or lost.
func (f *fleet) onOwnership(e mesh.Event) {
	if e.Kind == "lost" && f.limits != nil {
		f.limits.moveExcess()
	}
	if e.Kind == "own" && f.needsOwnerKnown(e.Lease) {
		f.announceOwnership(e.Lease)
	}
	if e.Kind == "fence-open" { // a duty won before this event could not be announced
		for _, d := range f.duties {
			if _, ok := f.node.Holds(d); ok && f.needsOwnerKnown(d) {
				f.announceOwnership(d)
			}
		}
	}
	if e.Kind == "own" && e.Lease == duty.Discovery {
		f.lastAnnounced = nil
		f.instance.engine.Watch().ReevaluatePolicy()
	}
}

// needsOwnerKnown reports whether other processes send requests to the owner of the duty, so that
// they have to know it.
func (f *fleet) needsOwnerKnown(d string) bool {
	return d == duty.Moves || strings.HasPrefix(d, duty.Probes+"/")
}

// announceOwnership announces this process as the owner of the duty. Processes that do not receive
// the announcement do the work themselves.
func (f *fleet) announceOwnership(d string) { _, _ = f.node.Announce(d, nil) }

// onDiscoveryAnswer announces an answer of discovery to the other processes if this process owns
// that duty.
func (f *fleet) onDiscoveryAnswer() {
	token, ok := f.node.Holds(duty.Discovery)
	if !ok {
		return
	}
	at, seq := f.instance.engine.Discovery()
	text, err := duty.EncodeList(at, seq, f.instance.engine.Table().All())
	if err != nil {
		// a list that cannot be encoded is not passed on, so that each process asks for itself
		return
	}
	if token == f.lastAnnouncedToken && bytes.Equal(text, f.lastAnnounced) {
		f.node.ConfirmCurrent(duty.Discovery)
		return
	}
	if _, err := f.node.Announce(duty.Discovery, text); err == nil {
		f.lastAnnounced, f.lastAnnouncedToken = text, token
	}
}

// sharedView returns this process's state of shared matters that have no owner, for operators.
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

// setUpSharing sets up what all processes track together, verdicts, limits and the retry budget, on
// one carrier of evidence.
func (f *fleet) setUpSharing(c Config, m *mesh.Config) {
	v, l := c.Fleet.Verdicts, c.Fleet.Limits
	if v == nil && l == nil && c.Fleet.Retries == nil {
		return
	}
	evidenceConfig := evidence.DefaultConfig()
	if v != nil {
		evidenceConfig = v.Evidence
	}
	me := evidence.Writer{Session: m.Session, Name: cmp.Or(m.Name, c.Name), Zone: m.Zone}
	f.carrier = carrier.New(f.loop.Now(), me, evidenceConfig, evidence.Flaws{})
	f.tickTimer.Fire = f.tick
	m.OnSharedMessage = func(from netip.AddrPort, s *mesh.SharedMessage) { f.carrier.Receive(f.loop.Now(), from, s) }
	m.SharedView = f.sharedView
	if v != nil {
		f.verdicts = newVerdicts(f, *v)
	}
	if l != nil {
		f.limits = newLimits(f, *l, c)
	}
	if c.Fleet.Retries != nil {
		f.retries = newRetries(f, *c.Fleet.Retries, limit.DefaultSoftConfig().StaleAfter)
	}
}

// tick publishes this process's new evidence and evaluates that of the others.
func (f *fleet) tick() {
	now := f.loop.Now()
	f.loop.After(&f.tickTimer, carrier.TickInterval)
	if f.limits != nil {
		f.limits.tick(now)
	}
	if f.retries != nil {
		f.retries.tick(now)
	}
	f.carrier.Tick(now)
	if f.verdicts != nil {
		f.verdicts.tick(now)
	}
}

// claimDuties sets the duties that the node claims to those that are wanted now.
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

// handleDirect dispatches a direct message from another process about a duty.
func (f *fleet) handleDirect(from netip.AddrPort, d *mesh.OwnerMessage) {
	switch {
	case d.Lease == duty.Moves && f.moves != nil:
		f.moves.handleDirect(from, d)
	case f.probes != nil && strings.HasPrefix(d.Lease, duty.Probes+"/"):
		f.probes.handleDirect(from, d)
	}
}

// setDuties applies the duties of the operator's file. Whether probes are shared changes only with
// a restart.
func (f *fleet) setDuties(duties []string) {
	f.baseDuties, _ = splitProbes(duties)
	f.claimDuties()
	if f.probes != nil {
		f.probes.chooseParts()
	}
}

// onAnnouncement handles an announcement of a duty's owner.
func (f *fleet) onAnnouncement(announcement mesh.Announcement) {
	if announcement.Lease != duty.Discovery {
		return
	}
	at, seq := f.instance.engine.Discovery()
	decoded, err := duty.DecodeList(announcement.Data, at, seq, f.sameAddresses, f.instance.engine.Table().Find)
	if err != nil {
		f.instance.Count.ListsRefused++
		return
	}
	f.instance.engine.ApplyPeerList(decoded.List)
	if decoded.UnknownAddrs > 0 {
		f.instance.engine.Watch().RefetchSoon()
	}
}
