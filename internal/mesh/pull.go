package mesh

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	pullEvery  = 500 * time.Millisecond // the mean time between two pulls
	pullFanout = 16                     // how many members pull from one
	mostPulled = 16                     // announcements that one pull asks for
)

// puller keeps the state of this process's pulls: the pending pull, and when the next one is due. Every member
// asks another one now and then what is newer there (anti-entropy).
type puller struct {
	sequence  uint64         // of the last pull
	server    netip.AddrPort // of the last pull
	sentAt    time.Time      // when the pending pull was sent; zero: none is pending
	nextAt    time.Time
	avoidTree bool // the last pull was lost: the next one goes to a random member
}

// newPuller returns a puller. Its pulls are numbered from the session on: a late response to one of a former life at this address
// must not pass for the response to one of this life.
func newPuller(now time.Time, session uint64, rng *rand.Rand) puller {
	return puller{sequence: session, nextAt: now.Add(time.Duration(rng.Int64N(int64(pullEvery))))}
}

// schedule sets the time of the next pull, with jitter.
func (p *puller) schedule(now time.Time, rng *rand.Rand) {
	p.nextAt = now.Add(pullEvery*3/4 + time.Duration(rng.Int64N(int64(pullEvery/2))))
}

// expire gives up the pending pull, and tells whether there was one.
func (p *puller) expire() bool {
	if p.sentAt.IsZero() {
		return false
	}
	p.avoidTree = true
	p.sentAt = time.Time{}
	return true
}

// begin notes that a pull goes out, and returns its number.
func (p *puller) begin(now time.Time, server netip.AddrPort) uint64 {
	p.avoidTree = false
	p.sequence++
	p.sentAt, p.server = now, server
	return p.sequence
}

// answers tells whether a response is to the pending pull.
func (p *puller) answers(from netip.AddrPort, sequence uint64) bool {
	return !p.sentAt.IsZero() && sequence == p.sequence && from == p.server
}

// sendPull asks another member what is newer. In calm times that is the parent in a tree with the owner at its root, so that
// ages stay small and nobody is asked by more than pullFanout; after a lost response it is a random one.
func (n *Node) sendPull(now time.Time) {
	n.pulls.schedule(now, n.rng)
	if n.pulls.expire() {
		n.Counters.PullsLost++
	}
	server, ok := n.pullServer()
	if !ok {
		return
	}
	request := &pullRequest{Seq: n.pulls.begin(now, server)}
	for _, lease := range n.announcements.leases[:min(len(n.announcements.leases), mostPulled)] {
		request.Known = append(request.Known, n.announcements.find(lease).AnnouncementID)
	}
	n.Counters.Pulls++
	n.send(server, &envelope{Pull: request})
}

// pullServer is the member to be asked next; ok is false if there is none.
func (n *Node) pullServer() (server netip.AddrPort, ok bool) {
	parent, found := n.peers.Parent(n.announcements.firstOwner(), pullFanout)
	if found && !n.pulls.avoidTree {
		return parent, true
	}
	random := n.peers.RandomMembers(1)
	if len(random) == 0 {
		return netip.AddrPort{}, false
	}
	return random[0].Addr, true
}

// handlePull answers a pull: it sends the announcements that are newer here, and the ages of those that the sender has.
func (n *Node) handlePull(now time.Time, from netip.AddrPort, request *pullRequest) {
	response := &pullResponse{Seq: request.Seq}
	known := make(map[string]AnnouncementID, len(request.Known))
	for _, id := range request.Known {
		known[id.Lease] = id
	}
	for _, lease := range n.announcements.leases {
		state := n.announcements.find(lease)
		if !state.known {
			continue
		}
		n.dropLostOwnership(state)
		if state.newerThan(known[lease]) {
			n.sendAnnouncement(from, state)
		}
		if !known[lease].newerThan(state.AnnouncementID) && !state.confirmedFor.IsZero() && len(response.Ages) < mostPulled {
			response.Ages = append(response.Ages, announcementAge{state.AnnouncementID, now.Sub(state.confirmedFor).Milliseconds()})
		}
	}
	n.send(from, &envelope{PullResponse: response})
}

// dropLostOwnership notes that an announcement that was published here is no longer its owner's, if the lease has been lost since.
// While it is held the owner itself confirms its announcement, by ConfirmCurrent.
func (n *Node) dropLostOwnership(state *announcementState) {
	if !state.Local {
		return
	}
	if token, ok := n.Holds(state.Lease); !ok || token != state.Token {
		state.Local = false
	}
}

// handlePullResponse takes the ages of announcements: each is counted from before this process asked, so that no delay on the way
// makes one look fresher than it is.
func (n *Node) handlePullResponse(from netip.AddrPort, response *pullResponse) {
	if !n.pulls.answers(from, response.Seq) {
		return
	}
	for _, age := range response.Ages {
		n.confirm(age)
	}
	n.pulls.sentAt = time.Time{}
}

// confirm notes the age that another process reported of an announcement, if it is the one that is known here.
func (n *Node) confirm(age announcementAge) {
	state := n.announcements.find(age.ID.Lease)
	if state == nil || !state.known || state.AnnouncementID != age.ID || age.MS < 0 || state.Local {
		return
	}
	at := n.pulls.sentAt.Add(-time.Duration(age.MS) * time.Millisecond)
	if at.After(state.confirmedFor) {
		state.confirmedFor = at
	}
}
