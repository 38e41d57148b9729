package mesh

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	meanPullInterval        = 500 * time.Millisecond // mean time between two pulls
	pullFanout              = 16                     // most members that regularly pull from one
	maxAnnouncementsPerPull = 16                     // per pull request, and ages per response
)

// puller holds the state of this process's pulls: the pending pull and the time of the next one.
// Every member periodically pulls newer announcements from another member (anti-entropy).
type puller struct {
	sequence  uint64         // sequence number of the last pull
	server    netip.AddrPort // member that the last pull was sent to
	sentAt    time.Time      // when the pending pull was sent; zero: none is pending
	nextAt    time.Time
	avoidTree bool // the last pull got no response: send the next one to a random member
}

// newPuller returns a puller. Its sequence numbers start at the session, so that a late response to
// a pull of a former process at this address is not mistaken for a response to a pull of this one.
func newPuller(now time.Time, session uint64, rng *rand.Rand) puller {
	return puller{sequence: session, nextAt: now.Add(time.Duration(rng.Int64N(int64(meanPullInterval))))}
}

// schedule sets the time of the next pull, with jitter.
func (p *puller) schedule(now time.Time, rng *rand.Rand) {
	p.nextAt = now.Add(meanPullInterval*3/4 + time.Duration(rng.Int64N(int64(meanPullInterval/2))))
}

// expire abandons the pending pull and reports whether there was one.
func (p *puller) expire() bool {
	if p.sentAt.IsZero() {
		return false
	}
	p.avoidTree = true
	p.sentAt = time.Time{}
	return true
}

// begin records that a pull is sent, and returns its sequence number.
func (p *puller) begin(now time.Time, server netip.AddrPort) uint64 {
	p.avoidTree = false
	p.sequence++
	p.sentAt, p.server = now, server
	return p.sequence
}

// matchesPending reports whether a response belongs to the pending pull.
func (p *puller) matchesPending(from netip.AddrPort, sequence uint64) bool {
	return !p.sentAt.IsZero() && sequence == p.sequence && from == p.server
}

// sendPull requests newer announcements from another member. This is normally the member's parent
// in a tree rooted at the owner, which keeps ages small and limits the number of members that pull
// from one member to pullFanout. After a lost response it is a random member.
func (n *Node) sendPull(now time.Time) {
	n.puller.schedule(now, n.rng)
	if n.puller.expire() {
		n.Counters.PullsLost++
	}
	server, ok := n.pullServer()
	if !ok {
		return
	}
	request := &pullRequest{Seq: n.puller.begin(now, server)}
	for _, lease := range n.announcements.leaseNames[:min(len(n.announcements.leaseNames), maxAnnouncementsPerPull)] {
		request.Known = append(request.Known, n.announcements.find(lease).AnnouncementID)
	}
	n.Counters.Pulls++
	n.send(server, &envelope{Pull: request})
}

// pullServer returns the member that the next pull is sent to. ok is false if there is none.
func (n *Node) pullServer() (server netip.AddrPort, ok bool) {
	parent, found := n.peers.Parent(n.announcements.firstOwnerSession(), pullFanout)
	if found && !n.puller.avoidTree {
		return parent, true
	}
	random := n.peers.RandomMembers(1)
	if len(random) == 0 {
		return netip.AddrPort{}, false
	}
	return random[0].Addr, true
}

// handlePull responds to a pull request. It sends the announcements that are newer here, and the
// ages of those that the sender already has.
func (n *Node) handlePull(now time.Time, from netip.AddrPort, request *pullRequest) {
	response := &pullResponse{Seq: request.Seq}
	known := make(map[string]AnnouncementID, len(request.Known))
	for _, id := range request.Known {
		known[id.Lease] = id
	}
	for _, lease := range n.announcements.leaseNames {
		state := n.announcements.find(lease)
		if !state.known {
			continue
		}
		n.dropLostOwnership(state)
		if state.newerThan(known[lease]) {
			n.sendAnnouncement(from, state)
		}
		if !known[lease].newerThan(state.AnnouncementID) && !state.confirmedAt.IsZero() && len(response.Ages) < maxAnnouncementsPerPull {
			response.Ages = append(response.Ages, announcementAge{state.AnnouncementID, now.Sub(state.confirmedAt).Milliseconds()})
		}
	}
	n.send(from, &envelope{PullResponse: response})
}

// dropLostOwnership clears the mark of an announcement as published by this process if the lease
// has since been lost. While this process holds the lease, ConfirmCurrent determines the
// announcement's age.
func (n *Node) dropLostOwnership(state *announcementState) {
	if !state.Local {
		return
	}
	if token, ok := n.Holds(state.Lease); !ok || token != state.Token {
		state.Local = false
	}
}

// handlePullResponse processes the ages in a pull response. Each age is counted from before the
// request was sent, so that no network delay makes an announcement look fresher than it is.
func (n *Node) handlePullResponse(from netip.AddrPort, response *pullResponse) {
	if !n.puller.matchesPending(from, response.Seq) {
		return
	}
	for _, age := range response.Ages {
		n.confirm(age)
	}
	n.puller.sentAt = time.Time{}
}

// confirm applies an age reported by another process, if it refers to the announcement that is
// known here.
func (n *Node) confirm(age announcementAge) {
	state := n.announcements.find(age.ID.Lease)
	if state == nil || !state.known || state.AnnouncementID != age.ID || age.AgeMS < 0 || state.Local {
		return
	}
	at := n.puller.sentAt.Add(-time.Duration(age.AgeMS) * time.Millisecond)
	if at.After(state.confirmedAt) {
		state.confirmedAt = at
	}
}
