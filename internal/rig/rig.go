package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/poll"
)

const (
	cluster     = "rig"
	meshPort    = 7946
	duty        = "discovery"
	targetCount = 40
)

// Options configures a Rig.
type Options struct {
	Program   string // path of the program, such as bin/ospreyspan
	Dir       string // directory for files; created if missing
	Processes int    // number of processes, 3 to 250
	Keepers   int    // number of keepers, 3 or 5
	Seed      uint64
	Lease     time.Duration
	Verdicts  bool // processes judge targets together
}

// Counts holds the numbers of a run's faults and observations.
type Counts struct {
	Processes, Starts, Stops, Kills, InboundCuts, OutboundCuts int
	Datagrams, Bytes, Dropped, Delayed, Duplicated, CutAway    int
	Grants, HandOvers, Announcements, Rounds, TimedOut         int
	StaleSent, StaleRefused, StaleAccepted, Overlaps, MaxHeld  int
}

// String returns the closing line of a run.
func (c Counts) String() string {
	return fmt.Sprintf("processes %d, started %d times; faults: stopped %d, killed %d, deaf %d, mute %d; datagrams %d, dropped %d, "+
		"late %d, repeated %d, cut away %d; grants %d, hand-overs %d, rounds %d, without a new owner in time %d; words taken %d; "+
		"stale effects sent %d, refused by those that were asked %d, taken: %d; overlapping owners by token: %d",
		c.Processes, c.Starts, c.Stops, c.Kills, c.InboundCuts, c.OutboundCuts, c.Datagrams, c.Dropped, c.Delayed, c.Duplicated, c.CutAway,
		c.Grants, c.HandOvers, c.Rounds, c.TimedOut, c.Announcements, c.StaleSent, c.StaleRefused, c.StaleAccepted, c.Overlaps)
}

// Rig is a set of processes and the links between them. It must be used from a single goroutine.
type Rig struct {
	options         Options
	loop            *poll.Loop
	rng             *rand.Rand
	procs           []*proc
	links           []*link
	byListen        map[netip.AddrPort]*proc
	registry        *fleet.Registry
	discovery       *fleet.Discovery
	ledger          *fleet.Ledger
	subnet          byte        // second byte of its addresses; the three after it are its own too
	replacedKeepers map[int]int // new numbers of replaced keepers, by process index
	lossless        bool        // links inject no loss, delay or duplication
	closing         bool
	failed          error
	latestToken     uint64
	tokenHolders    map[uint64]string // process incarnation by token
	acceptedTokens  map[string]uint64 // latest by process name and duty, across restarts
	Counts          Counts
}

// link is a process's public socket: what the others send to the process arrives on it, and what
// the process sends leaves from it.
type link struct {
	proc         *proc
	sock         *poll.UDPSocket
	dropInbound  bool // inbound traffic is dropped
	dropOutbound bool // outbound traffic is dropped
	held         []heldAnnouncement
}

// heldAnnouncement is the copy of an announcement, kept to be sent again later.
type heldAnnouncement struct {
	id   mesh.AnnouncementID
	from *link
	data []byte
}

// New starts discovery and the links, but not the processes.
func New(o Options) (*Rig, error) {
	switch {
	case o.Processes < 3 || o.Processes > 250:
		return nil, fmt.Errorf("rig: invalid number of processes: got %d, want 3 to 250", o.Processes)
	case o.Keepers != 3 && o.Keepers != 5 || o.Keepers > o.Processes:
		return nil, fmt.Errorf("rig: invalid number of keepers: got %d, want 3 or 5 and at most one per process", o.Keepers)
	case o.Lease < 200*time.Millisecond:
		return nil, fmt.Errorf("rig: lease too short: got %v, want at least 200 ms", o.Lease)
	}
	if _, err := os.Stat(o.Program); err != nil {
		return nil, fmt.Errorf("rig: find program: %w", err)
	}
	loop, err := poll.New(func() {})
	if err != nil {
		return nil, err
	}
	r := &Rig{
		options: o, loop: loop, rng: rand.New(rand.NewPCG(o.Seed, 1)), byListen: make(map[netip.AddrPort]*proc),
		registry: fleet.NewRegistry(), tokenHolders: make(map[uint64]string), acceptedTokens: make(map[string]uint64),
	}
	r.Counts.Processes = o.Processes
	r.ledger = fleet.NewLedger(loop.Now(), time.Hour, []fleet.Class{{Name: "readings"}, {Name: "status"}})
	if err := r.claimSubnet(); err != nil {
		r.Close()
		return nil, err
	}
	for i := range targetCount {
		r.setTarget(i, fleet.Serving)
	}
	for i := range o.Processes {
		p := &proc{rig: r, index: i, name: fmt.Sprintf("p%03d", i), dir: filepath.Join(o.Dir, fmt.Sprintf("p%03d", i))}
		p.listen, p.advertised = netip.AddrPortFrom(p.addr(1), meshPort), netip.AddrPortFrom(p.addr(2), meshPort)
		r.procs = append(r.procs, p)
		r.byListen[p.listen] = p
		l := &link{proc: p}
		if l.sock, err = loop.OpenUDP(p.advertised, l); err != nil {
			r.Close()
			return nil, fmt.Errorf("rig: open public socket: %w", err)
		}
		r.links = append(r.links, l)
	}
	for _, p := range r.procs {
		if err := os.MkdirAll(p.dir, 0o755); err != nil {
			r.Close()
			return nil, err
		}
		if err := p.writeConfig(); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

// claimSubnet finds a part of the loopback range that no other rig on this machine uses. Binding
// the address of discovery claims it.
func (r *Rig) claimSubnet() error {
	var err error
	for i := range 40 {
		r.subnet = byte(64 + (os.Getpid()+i)%40*4)
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, r.subnet, 0, 1}), 18500)
		var d *fleet.Discovery
		if d, err = fleet.NewDiscovery(r.loop, at, fleet.DiscoveryConfig{}, r.registry, r.ledger); err == nil {
			r.discovery = d
			return nil
		}
	}
	return fmt.Errorf("rig: listen for discovery: %w", err)
}

// Close kills all processes, by their ids, and closes all sockets and the event loop.
func (r *Rig) Close() {
	r.closing = true
	for _, p := range r.procs {
		p.kill()
	}
	for _, l := range r.links {
		l.sock.Close()
	}
	if r.discovery != nil {
		r.discovery.Stop()
	}
	r.loop.Close()
}

func (r *Rig) setTarget(i int, health string) {
	r.registry.Set(fleet.Entry{
		Host: fmt.Sprintf("s-%02d", i), Dial: fmt.Sprintf("127.%d.0.%d:8443", r.subnet+3, i+1), Site: "here", Kind: "r", Health: health, Share: 1,
	})
}

// fail fails the run with err. Only the first failure counts.
func (r *Rig) fail(err error) {
	if r.failed == nil {
		r.failed = err
	}
}

func (r *Rig) after(d time.Duration, f func()) {
	t := &poll.Timer{Fire: f}
	r.loop.After(t, d)
}

// waitUntil runs the event loop until a condition holds, an error has occurred or the time is up,
// and reports whether the condition holds.
func (r *Rig) waitUntil(timeout time.Duration, condition func() bool) bool {
	over := false
	t := &poll.Timer{Fire: func() { over = true }}
	r.loop.After(t, timeout)
	defer r.loop.Disarm(t)
	for !over && r.failed == nil && !condition() {
		if err := r.loop.Turn(true); err != nil {
			r.fail(err)
		}
	}
	return condition()
}

// changeList changes the health of a random target at a fixed interval, so that owners have changes
// to announce.
func (r *Rig) changeList(every time.Duration) {
	if r.closing {
		return
	}
	i := r.rng.IntN(targetCount)
	r.setTarget(i, []string{fleet.Serving, fleet.Draining}[r.rng.IntN(2)])
	r.discovery.NotifyWatches()
	r.after(every, func() { r.changeList(every) })
}

// handleLogEntry processes a log entry of a process. The receivers' own logs are the evidence for
// what they accepted.
func (r *Rig) handleLogEntry(p *proc, entry *logEntry) {
	switch entry.Message {
	case "fleet: own":
		holder := fmt.Sprintf("%s, incarnation %d", p.name, p.incarnation)
		if previous := r.tokenHolders[entry.Token]; previous != "" && previous != holder {
			r.Counts.Overlaps++
			r.fail(fmt.Errorf("token %d was granted to both %s and %s", entry.Token, previous, holder))
		}
		r.tokenHolders[entry.Token] = holder
		p.ownedTokens[entry.Duty] = entry.Token
		r.Counts.Grants++
		if entry.Duty == duty && entry.Token > r.latestToken {
			if r.latestToken > 0 {
				r.Counts.HandOvers++
			}
			r.latestToken = entry.Token
		}
	case "fleet: lost":
		delete(p.ownedTokens, entry.Duty)
	case "fleet: word":
		r.Counts.Announcements++
		key := p.name + " " + entry.Duty
		if entry.Token < r.acceptedTokens[key] {
			r.Counts.StaleAccepted++
			r.fail(fmt.Errorf("%s accepted an announcement of token %d after one of token %d, duty %s", p.name, entry.Token, r.acceptedTokens[key], entry.Duty))
		}
		r.acceptedTokens[key] = entry.Token
		if entry.Duty == duty {
			p.lastToken = entry.Token
		}
	}
}

// Ready forwards datagrams from the other processes to the link's process.
func (l *link) Ready(poll.Ready) {
	r := l.proc.rig
	var buf [2048]byte
	for range 64 {
		n, from, err := l.sock.Receive(buf[:])
		if err != nil {
			return
		}
		sender := r.byListen[from]
		if sender == nil {
			continue // not a process of this rig
		}
		r.forward(r.links[sender.index], l, append([]byte(nil), buf[:n]...))
	}
}

// forward sends one datagram over a link, subject to the faults of the link.
func (r *Rig) forward(from, to *link, data []byte) {
	r.Counts.Datagrams++
	r.Counts.Bytes += len(data)
	id, isAnnouncement := mesh.PeekAnnouncementID(data, cluster)
	if isAnnouncement && id.Lease == duty {
		r.hold(from, to, id, data)
	}
	if from.dropOutbound || to.dropInbound {
		r.Counts.CutAway++
		return
	}
	if !r.lossless {
		switch d := r.rng.Float64(); {
		case d < 0.02:
			r.Counts.Dropped++
			return
		case d < 0.04:
			r.Counts.Delayed++
			r.after(time.Duration(r.rng.IntN(1500))*time.Millisecond, func() { r.deliver(from, to, data) })
			return
		case d < 0.06:
			r.Counts.Duplicated++
			r.after(time.Duration(r.rng.IntN(3000))*time.Millisecond, func() { r.deliver(from, to, data) })
		}
	}
	r.deliver(from, to, data)
}

func (r *Rig) deliver(from, to *link, data []byte) {
	if r.closing {
		return
	}
	if m, ok := mesh.PeekAnnouncementID(data, cluster); ok && m.Lease == duty && m.Token < r.latestToken {
		r.Counts.StaleSent++
	}
	_ = from.sock.Send(data, to.proc.listen) // the process may not be running
}

// maxHeld is the largest number of announcements that a link keeps for later.
const maxHeld = 64

// hold keeps a copy of an announcement, to be sent once a later owner has made an announcement.
func (r *Rig) hold(from, to *link, m mesh.AnnouncementID, data []byte) {
	if len(to.held) > 0 && to.held[0].id.Token < m.Token {
		to.held = to.held[:0]
	}
	if len(to.held) < maxHeld {
		to.held = append(to.held, heldAnnouncement{m, from, data})
		r.Counts.MaxHeld = max(r.Counts.MaxHeld, len(to.held))
	}
}

// sendHeld sends the kept announcements of a former owner to all processes.
func (r *Rig) sendHeld(kept [][]heldAnnouncement) {
	for i, held := range kept {
		for _, h := range held {
			r.deliver(h.from, r.links[i], h.data)
		}
	}
}

// heldCopies returns the announcements that each link holds, by link index.
func (r *Rig) heldCopies() [][]heldAnnouncement {
	kept := make([][]heldAnnouncement, len(r.links))
	for i, l := range r.links {
		kept[i] = slices.Clone(l.held)
	}
	return kept
}

// owner returns the process that owns the duty according to its own log, or nil if there is none.
func (r *Rig) owner() *proc {
	var found *proc
	for _, p := range r.procs {
		if p.cmd != nil && p.ownedTokens[duty] != 0 && (found == nil || p.ownedTokens[duty] > found.ownedTokens[duty]) {
			found = p
		}
	}
	return found
}

// keeperNumber returns the number of the keeper that runs in a process.
func (r *Rig) keeperNumber(process int) int {
	if n := r.replacedKeepers[process]; n > 0 {
		return n
	}
	return process + 1
}

// StartAll starts all processes.
func (r *Rig) StartAll() error {
	for _, p := range r.procs {
		if err := r.start(p); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) start(p *proc) error {
	if p.cmd == nil {
		r.Counts.Starts++
	}
	return p.start()
}

// errNoHandOver fails a run in which no owner was replaced, since such a run proves nothing.
var errNoHandOver = errors.New("rig: no hand-over took place during the run, so it proves nothing")
