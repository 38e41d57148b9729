package mesh

import (
	"iter"
	"net/netip"
	"slices"

	"ospreyspan/internal/peers"
)

// View is what one process knows of the fleet, for operators.
type View struct {
	Members []peers.Member
	Leases  []LeaseView
	Keeper  *KeeperView // nil: the process is no keeper
	Counts  []Figure
	Shared  []SharedView
}

// SharedView is a line on a matter that has no owner: a verdict on a target, or a limit.
type SharedView struct {
	Matter string `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"`
	State  string `cbor:"3,keyasint"`
	AgeMS  int64  `cbor:"4,keyasint"` // of what it rests on; below 0: not known
	Text   string `cbor:"5,keyasint"`
}

// LeaseView is what a process knows of one lease.
type LeaseView struct {
	Lease   string `cbor:"1,keyasint"`
	Token   uint64 `cbor:"2,keyasint"` // latest that is known
	Holder  string `cbor:"3,keyasint"` // by name, as the keepers last told
	Mine    bool   `cbor:"4,keyasint"` // the process holds it
	Version uint64 `cbor:"5,keyasint"` // of the latest announcement
	AgeMS   int64  `cbor:"6,keyasint"` // of that announcement; below 0: not known
	Floor   uint64 `cbor:"7,keyasint"` // tokens below are refused
}

// KeeperView is a keeper's own state.
type KeeperView struct {
	ID      uint64   `cbor:"1,keyasint"`
	Leader  uint64   `cbor:"2,keyasint"`
	Term    uint64   `cbor:"3,keyasint"`
	Applied uint64   `cbor:"4,keyasint"`
	Voters  []uint64 `cbor:"5,keyasint"`
	Refused uint64   `cbor:"6,keyasint"` // messages of keepers whose disk is another one
}

// Figure is a counter.
type Figure struct {
	Name  string `cbor:"1,keyasint"`
	Value uint64 `cbor:"2,keyasint"`
}

const (
	viewPer   = 14 // members and leases that one fragment carries
	sharedPer = 5  // likewise of other matters
)

// View returns this process's own view.
func (n *Node) View() View {
	v := View{Members: n.peers.Members(), Keeper: n.keeperView(), Counts: n.Figures()}
	for _, lease := range n.cfg.Duties {
		v.addLease(n, lease)
	}
	for _, lease := range n.announcements.leases {
		v.addLease(n, lease)
	}
	if n.cfg.SharedView != nil {
		v.Shared = n.cfg.SharedView()
	}
	return v
}

// addLease adds a lease unless it is there.
func (v *View) addLease(n *Node, lease string) {
	if !slices.ContainsFunc(v.Leases, func(l LeaseView) bool { return l.Lease == lease }) {
		v.Leases = append(v.Leases, n.leaseView(lease))
	}
}

func (n *Node) leaseView(lease string) LeaseView {
	now := n.loop.Now()
	v := LeaseView{Lease: lease, AgeMS: -1, Floor: n.fence.Floor(lease)}
	if n.leases != nil {
		v.Holder, v.Token = n.leases.Owner(lease)
		_, v.Mine = n.leases.Holds(now, lease)
	}
	latest := n.announcements.find(lease)
	if latest == nil || !latest.known {
		return v
	}
	v.Version, v.Token = latest.Version, max(v.Token, latest.Token)
	if !latest.confirmedFor.IsZero() {
		v.AgeMS = now.Sub(latest.confirmedFor).Milliseconds()
	}
	return v
}

func (n *Node) keeperView() *KeeperView {
	if n.core == nil {
		return nil
	}
	return &KeeperView{
		ID: n.cfg.Keeper.ID, Leader: n.core.Leader(), Term: n.core.Term(), Applied: n.core.State().Applied,
		Voters: n.core.Voters(), Refused: n.core.Count.Refused,
	}
}

// Figures are the counters, in a fixed order.
func (n *Node) Figures() []Figure {
	c, p := &n.Count, &n.peers.Counters
	return []Figure{
		{"datagrams-sent", c.Sent}, {"datagrams-received", c.Received}, {"bytes-sent", c.BytesSent}, {"bytes-received", c.BytesReceived},
		{"dropped-foreign", c.Foreign}, {"dropped-damaged", c.Damaged}, {"dropped-long", c.Long}, {"unsent", c.Unsent},
		{"asks", c.LeaseRequests}, {"looks", c.FloorsRequests}, {"words-taken", c.AnnouncementsAccepted}, {"words-stale-refused", c.AnnouncementsStale},
		{"words-old", c.AnnouncementsOld}, {"words-early", c.AnnouncementsEarly}, {"pulls", c.Pulls}, {"pulls-lost", c.PullsLost},
		{"members-suspected", p.Suspected}, {"members-died", p.Died}, {"suspicions-refuted", p.Refuted}, {"members-twins", p.NameConflicts},
	}
}

// sendView answers an operator's request for the view, in as many datagrams as it takes.
func (n *Node) sendView(to netip.AddrPort, seq uint64) {
	parts := n.View().fragments()
	for i := range parts {
		parts[i].Seq, parts[i].Index, parts[i].Count = seq, i, len(parts)
		n.send(to, &envelope{View: &parts[i]})
	}
}

// fragments cuts a view into parts that fit a datagram each: first the members, then the leases, of both at least one part, then
// other matters. What the keeper knows and the counters go with the first part of the leases.
func (v View) fragments() []viewFragment {
	var parts []viewFragment
	for members := range chunks(v.Members, viewPer) {
		parts = append(parts, viewFragment{Members: members})
	}
	firstOfLeases := len(parts)
	for leases := range chunks(v.Leases, viewPer) {
		parts = append(parts, viewFragment{Leases: leases})
	}
	parts[firstOfLeases].Keeper, parts[firstOfLeases].Counts = v.Keeper, v.Counts
	for shared := range slices.Chunk(v.Shared, sharedPer) {
		parts = append(parts, viewFragment{Shared: shared})
	}
	return parts
}

// chunks is slices.Chunk with one empty part for an empty list.
func chunks[T any](list []T, size int) iter.Seq[[]T] {
	if len(list) == 0 {
		return func(yield func([]T) bool) { yield(nil) }
	}
	return slices.Chunk(list, size)
}
