package mesh

import (
	"iter"
	"net/netip"
	"slices"

	"ospreyspan/internal/peers"
)

// View is the state of the fleet as one process knows it, for display to operators.
type View struct {
	Members  []peers.Member
	Leases   []LeaseView
	Keeper   *KeeperView // nil: the process is no keeper
	Counters []CounterValue
	Shared   []SharedView
}

// SharedView is the displayed state of one item of a topic that has no owner: of one limit, or of
// the verdict on one target. It is the state as the displaying process knows it.
type SharedView struct {
	Topic string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"` // of the item: of the limit, or the id of the target
	State string `cbor:"3,keyasint"`
	AgeMS int64  `cbor:"4,keyasint"` // age of the underlying data; below 0: unknown
	Text  string `cbor:"5,keyasint"`
}

// LeaseView is the state of one lease as a process knows it.
type LeaseView struct {
	Lease   string `cbor:"1,keyasint"`
	Token   uint64 `cbor:"2,keyasint"` // latest known fencing token
	Holder  string `cbor:"3,keyasint"` // name of the owner according to the keepers; empty: none
	Mine    bool   `cbor:"4,keyasint"` // held by the process
	Version uint64 `cbor:"5,keyasint"` // of the latest announcement
	AgeMS   int64  `cbor:"6,keyasint"` // since the owner confirmed it; below 0: unknown
	Floor   uint64 `cbor:"7,keyasint"` // lower tokens are refused
}

// KeeperView is the state of a keeper.
type KeeperView struct {
	ID      uint64   `cbor:"1,keyasint"`
	Leader  uint64   `cbor:"2,keyasint"`
	Term    uint64   `cbor:"3,keyasint"`
	Applied uint64   `cbor:"4,keyasint"`
	Voters  []uint64 `cbor:"5,keyasint"`
	Refused uint64   `cbor:"6,keyasint"` // messages of keepers whose disk has changed
}

// CounterValue is the name and value of a counter.
type CounterValue struct {
	Name  string `cbor:"1,keyasint"`
	Value uint64 `cbor:"2,keyasint"`
}

const (
	viewEntriesPerFragment = 14 // members or leases
	sharedViewsPerFragment = 5  // entries of topics without an owner
)

// View returns the view of this process.
func (n *Node) View() View {
	v := View{Members: n.peers.Members(), Keeper: n.keeperView(), Counters: n.CounterValues()}
	for _, lease := range n.cfg.Duties {
		v.addLease(n, lease)
	}
	for _, lease := range n.announcements.leaseNames {
		v.addLease(n, lease)
	}
	if n.cfg.SharedView != nil {
		v.Shared = n.cfg.SharedView()
	}
	return v
}

// addLease adds the state of a lease unless the view already has it.
func (v *View) addLease(n *Node, lease string) {
	if !slices.ContainsFunc(v.Leases, func(l LeaseView) bool { return l.Lease == lease }) {
		v.Leases = append(v.Leases, n.leaseView(lease))
	}
}

func (n *Node) leaseView(lease string) LeaseView {
	now := n.loop.Now()
	v := LeaseView{Lease: lease, AgeMS: -1, Floor: n.fence.Floor(lease)}
	if n.leaseClient != nil {
		v.Holder, v.Token = n.leaseClient.Owner(lease)
		_, v.Mine = n.leaseClient.Holds(now, lease)
	}
	latest := n.announcements.find(lease)
	if latest == nil || !latest.known {
		return v
	}
	v.Version, v.Token = latest.Version, max(v.Token, latest.Token)
	if !latest.confirmedAt.IsZero() {
		v.AgeMS = now.Sub(latest.confirmedAt).Milliseconds()
	}
	return v
}

func (n *Node) keeperView() *KeeperView {
	if n.keeperCore == nil {
		return nil
	}
	return &KeeperView{
		ID: n.cfg.Keeper.ID, Leader: n.keeperCore.Leader(), Term: n.keeperCore.Term(), Applied: n.keeperCore.State().Applied,
		Voters: n.keeperCore.Voters(), Refused: n.keeperCore.Count.Refused,
	}
}

// CounterValues returns the values of the counters, in a fixed order.
func (n *Node) CounterValues() []CounterValue {
	c, p := &n.Counters, &n.peers.Counters
	return []CounterValue{
		{"datagrams-sent", c.Sent}, {"datagrams-received", c.Received}, {"bytes-sent", c.BytesSent}, {"bytes-received", c.BytesReceived},
		{"dropped-foreign", c.Foreign}, {"dropped-damaged", c.Damaged}, {"dropped-long", c.Long}, {"unsent", c.Unsent},
		{"asks", c.LeaseRequests}, {"looks", c.FloorsRequests}, {"words-taken", c.AnnouncementsAccepted}, {"words-stale-refused", c.AnnouncementsStale},
		{"words-old", c.AnnouncementsOld}, {"words-early", c.AnnouncementsEarly}, {"pulls", c.Pulls}, {"pulls-lost", c.PullsLost},
		{"members-suspected", p.Suspected}, {"members-died", p.Died}, {"suspicions-refuted", p.Refuted}, {"members-twins", p.NameConflicts}, {"syncs-unanswered", p.SyncsUnanswered}, {"unsolicited", c.Unsolicited},
	}
}

// sendView responds to an operator's request for the view, in as many datagrams as it needs.
func (n *Node) sendView(to netip.AddrPort, seq uint64) {
	parts := n.View().fragments()
	for i := range parts {
		parts[i].Seq, parts[i].Index, parts[i].Count = seq, i, len(parts)
		n.send(to, &envelope{View: &parts[i]})
	}
}

// fragments splits a view into parts that fit one datagram each: the members first, then the
// leases, with at least one part for each of the two, then the topics that have no owner. The
// keeper's state and the counters are in the first part with leases.
func (v View) fragments() []viewFragment {
	var parts []viewFragment
	for members := range chunks(v.Members, viewEntriesPerFragment) {
		parts = append(parts, viewFragment{Members: members})
	}
	firstOfLeases := len(parts)
	for leases := range chunks(v.Leases, viewEntriesPerFragment) {
		parts = append(parts, viewFragment{Leases: leases})
	}
	parts[firstOfLeases].Keeper, parts[firstOfLeases].Counters = v.Keeper, v.Counters
	for shared := range slices.Chunk(v.Shared, sharedViewsPerFragment) {
		parts = append(parts, viewFragment{Shared: shared})
	}
	return parts
}

// chunks is like slices.Chunk, but yields one empty chunk for an empty list.
func chunks[T any](list []T, size int) iter.Seq[[]T] {
	if len(list) == 0 {
		return func(yield func([]T) bool) { yield(nil) }
	}
	return slices.Chunk(list, size)
}
