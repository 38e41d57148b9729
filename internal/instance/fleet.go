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
	i         *Instance
	loop      *poll.Loop
	node      *mesh.Node
	session   uint64
	lease     time.Duration
	leaving   bool // a planned stop has begun
	same      bool
	askWithin time.Duration
	begun     time.Time
	patience  time.Duration // at the start, until the keepers have been heard; 0 in a small fleet
	said      []byte        // the last list that was said
	saidToken uint64
	base      []string // duties but for parts of probes
	duties    []string // all that are wanted now
	moves     *moves   // nil: moves are made when the module wants them
	probes    *probes  // nil: each process probes alone
	verdicts  *verdicts
	limits    *limits
	retries   *retries
	carrier   *carrier.Carrier // of evidence, where verdicts or limits need it
	looks     poll.Timer
	parts     []string // of probes, that this process is to claim
}

const (
	// smallFleet is how many processes can ask discovery alone without a thought of the others.
	smallFleet = 10
	// patiencePart is the part of the longest time without a question for which a process of a larger fleet waits at its start
	// for word of who owns the asking.
	patiencePart = 0.5
)

func newFleet(i *Instance, loop *poll.Loop, c Config) (*fleet, error) {
	f := &fleet{i: i, loop: loop, session: c.Fleet.Mesh.Session, lease: c.Fleet.Mesh.Terms.Lease, begun: loop.Now(), same: c.Fleet.SameAddresses, askWithin: min(c.Settings.Config.Rules.MaxDiscoveryGap, routes.ListLease)}
	m := c.Fleet.Mesh
	tell := m.Tell
	m.Loop, m.OnAnnouncement = loop, f.heard
	m.Tell = func(e mesh.Event) {
		if tell != nil {
			tell(e)
		}
		f.changed(e)
	}
	if c.Settings.Config.Relays > smallFleet {
		f.patience = time.Duration(patiencePart * float64(f.askWithin))
	}
	var share bool
	f.base, share = shares(m.Duties)
	m.Duties, f.duties = f.base, f.base
	if share {
		f.probes = newProbes(f, true)
		m.Members = f.probes.members
	}
	if c.Fleet.MovesPerSecond > 0 {
		f.moves = newMoves(f, c.Fleet.MovesPerSecond)
	}
	m.Direct = f.direct
	f.together(c, &m)
	var err error
	if f.node, err = mesh.New(m); err != nil {
		return nil, err
	}

	if f.carrier != nil {
		f.carrier.Bind(f.node)
		f.look()
	}
	if slices.Contains(m.Duties, duty.Discovery) || len(m.Keepers) > 0 {
		i.engine.OnDiscoveryAnswer(f.news)
		i.engine.Watch().SetQueryPolicy(f.guide)
		i.engine.SetPeerConfirmation(func() time.Time {
			_, at, _ := f.node.Latest(duty.Discovery)
			return at
		})
	}
	return f, nil
}

// leave begins a planned stop: all duties go but the slices of limits under which clients stand, who are told to move as in any
// planned stop, not all at once.
func (f *fleet) leave() {
	f.leaving, f.base, f.parts = true, nil, nil
	if f.limits != nil {
		f.limits.look(f.loop.Now())
	}
	f.node.Leave(f.duties...)
}

// close ends the conversation.
func (f *fleet) close() {
	if f.probes != nil {
		f.loop.Disarm(&f.probes.timer)
	}
	f.loop.Disarm(&f.looks)
	f.node.Close()
}

// guide tells the watch how to ask: for all, if this process owns that; not at all while the owner's word is fresh; else
// alone, as without a fleet.
func (f *fleet) guide() (lead bool, rest time.Time, lapse time.Duration) {
	if _, ok := f.node.Holds(duty.Discovery); ok {
		return true, time.Time{}, 0
	}
	w, vouched, ok := f.node.Latest(duty.Discovery)
	if (!ok || w.Own || vouched.IsZero()) && f.node.HasOwner(duty.Discovery) {
		// There is an owner that has yet to speak: hundreds that start together would keep discovery so busy that the
		// owner's own call is lost among theirs. What is known now is as old as this process.
		vouched = f.begun
	} else if !ok || w.Own {
		// Nobody has said yet whether there is an owner. A proxy of a large fleet draws its first question over a longer time
		// than this in any case.
		return false, f.begun.Add(f.patience), duty.FallbackSpread(f.askWithin)
	}
	return false, duty.RelyUntil(vouched, f.askWithin), duty.FallbackSpread(f.askWithin)
}

// changed looks at duties that were won or lost.
func (f *fleet) changed(e mesh.Event) {
	if e.What == "lost" && f.limits != nil {
		f.limits.yield()
	}
	if e.What == "own" && f.asked(e.Lease) {
		f.present(e.Lease)
	}
	if e.What == "fence-open" { // what was won before that could not be said
		for _, d := range f.duties {
			if _, ok := f.node.Holds(d); ok && f.asked(d) {
				f.present(d)
			}
		}
	}
	if e.What == "own" && e.Lease == duty.Discovery {
		f.said = nil
		f.i.engine.Watch().ReevaluatePolicy()
	}
}

// asked tells whether a duty is one whose owner is asked by others, and must be known to them.
func (f *fleet) asked(d string) bool { return d == duty.Moves || strings.HasPrefix(d, duty.Probes+"/") }

// present makes this process known as a duty's owner. Who does not hear of it goes on alone.
func (f *fleet) present(d string) { _, _ = f.node.Announce(d, nil) }

// news passes an answer of discovery on, if that is this process's duty.
func (f *fleet) news() {
	token, ok := f.node.Holds(duty.Discovery)
	if !ok {
		return
	}
	at, seq := f.i.engine.Discovery()
	text, err := duty.EncodeList(at, seq, f.i.engine.Table().All())
	if err != nil {
		return // a list that can't be written is passed on by nobody, and each asks for itself
	}
	if token == f.saidToken && bytes.Equal(text, f.said) {
		f.node.ConfirmCurrent(duty.Discovery)
		return
	}
	if _, err := f.node.Announce(duty.Discovery, text); err == nil {
		f.said, f.saidToken = text, token
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

// together sets up what all processes hold together: verdicts and limits, on one carrier of evidence.
func (f *fleet) together(c Config, m *mesh.Config) {
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
	f.looks.Fire = f.look
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

// look tells others what is new, and looks at what came of theirs.
func (f *fleet) look() {
	now := f.loop.Now()
	f.loop.After(&f.looks, carrier.LookEvery)
	if f.limits != nil {
		f.limits.look(now)
	}
	if f.retries != nil {
		f.retries.look(now)
	}
	f.carrier.Look(now)
	if f.verdicts != nil {
		f.verdicts.look(now)
	}
}

// claim has the node claim all that is wanted now.
func (f *fleet) claim() {
	if f.leaving {
		f.base, f.parts = nil, nil
	}
	list := slices.Concat(f.base, f.parts)
	if f.limits != nil {
		list = append(list, f.limits.duties...)
	}
	if !slices.Equal(list, f.duties) {
		f.duties = list
		f.node.SetDuties(list)
	}
}

// direct passes on what another process says to this one about a duty.
func (f *fleet) direct(from netip.AddrPort, d *mesh.Direct) {
	switch {
	case d.Lease == duty.Moves && f.moves != nil:
		f.moves.direct(from, d)
	case f.probes != nil && strings.HasPrefix(d.Lease, duty.Probes+"/"):
		f.probes.direct(from, d)
	}
}

// setDuties takes what the operator's file says now; sharing of probes itself takes a new start.
func (f *fleet) setDuties(duties []string) {
	f.base, _ = shares(duties)
	f.claim()
	if f.probes != nil {
		f.probes.choose()
	}
}

// heard uses an owner's word.
func (f *fleet) heard(w mesh.Announcement) {
	if w.Lease != duty.Discovery {
		return
	}
	at, seq := f.i.engine.Discovery()
	h, err := duty.DecodeList(w.Data, at, seq, f.same, f.i.engine.Table().Find)
	if err != nil {
		f.i.Count.ListsRefused++
		return
	}
	f.i.engine.ApplyPeerList(h.List)
	if h.Unknown > 0 {
		f.i.engine.Watch().RefetchSoon()
	}
}
