package lab

import (
	"bytes"
	"net/netip"
	"strconv"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/vnet"
)

const (
	// clockInterval is the time between two updates of the clocks: a change is deemed known at most
	// that much too late.
	clockInterval = 50 * time.Millisecond
	// watchWaitGrace is how long after the wait of an open watch the changes it missed are deemed
	// known.
	watchWaitGrace = 2 * time.Second
	// clockSlack is added to each time limit for delays on sockets.
	clockSlack = 50 * time.Millisecond
)

// changeClock determines which changes of the relay list a proxy is deemed to know even if they may
// not have arrived:
//
//   - after a call that failed, was refused or was given up: once the change is newsWithin old,
//     counted anew from when discovery can be reached again, but not before the call has failed;
//   - after an open watch fell silent: newsWithin after that, or watchWaitGrace after the end of
//     the call's wait, whichever is later;
//   - where no call is open and the last one was answered: once the change is askWithin old,
//     counted anew from when discovery can be reached again.
//
// It recognises calls from the bytes on the wire alone.
type changeClock struct {
	world      *vnet.World
	newsWithin time.Duration // 0: no change is deemed known
	askWithin  time.Duration
	clients    map[netip.Addr]*discoveryClient
	changes    map[string]listChange // latest change, by server
	// unavailable holds since when a proxy is deemed to know that a server takes no new work.
	unavailable map[proxyServer]time.Time
	// knownStarts holds the start, as in Entry.StartedMS, that a proxy knows or is deemed to know.
	knownStarts map[proxyServer]int64
}

// proxyServer is a key for what a proxy knows of a server.
type proxyServer struct {
	proxy  netip.Addr
	server string
}

// listChange is the state of a server in discovery's list since a time.
type listChange struct {
	serving bool
	bornMS  int64
	at      time.Time
}

// discoveryClient is a proxy in its role as a client of discovery.
type discoveryClient struct {
	reachableSince time.Time      // zero: discovery cannot be reached
	lastAnswer     time.Time      // or start of the process
	failedSince    time.Time      // first failed call since the last answer; zero: none
	idleSince      time.Time      // since when no call is open, after a failed one
	currentCall    *discoveryConn // the open call, or nil
	silentSince    time.Time      // since when the open watch is silent; zero: it is not
}

// discoveryConn is the state of a connection to discovery.
type discoveryConn struct {
	sentBytes, arrivedBytes int
	notifications           []notification // written but not arrived yet
	calledAt                time.Time
	wait                    time.Duration // of the open call; 0: it is no watch
	answer                  []byte        // as far as it has arrived
	idle                    bool          // the last call was answered and no other one made
}

func newChangeClock(w *vnet.World, rules *Rules, allow *Permissions) *changeClock {
	n := &changeClock{
		world: w, newsWithin: rules.NewsWithin, askWithin: allow.AskWithin, clients: make(map[netip.Addr]*discoveryClient),
		changes: make(map[string]listChange), unavailable: make(map[proxyServer]time.Time), knownStarts: make(map[proxyServer]int64),
	}
	if allow.ListsPushed { // everything in discovery's list is deemed known at once
		n.newsWithin = 0
	}
	return n
}

// proxyStarted discards what is known of the proxy's earlier process.
func (n *changeClock) proxyStarted(proxy netip.Addr) {
	n.clients[proxy] = &discoveryClient{lastAnswer: n.world.Now()}
	for k := range n.unavailable { // all matching entries go, in any order
		if k.proxy == proxy {
			delete(n.unavailable, k)
		}
	}
	for k := range n.knownStarts {
		if k.proxy == proxy {
			delete(n.knownStarts, k)
		}
	}
}

// listChanged records a change of discovery's list.
func (n *changeClock) listChanged(e fleet.Entry) {
	serving := e.Health == fleet.Serving
	if was, ok := n.changes[e.Host]; ok && !serving && !was.serving {
		return // the time of the first change that ended new work counts
	}
	n.changes[e.Host] = listChange{serving: serving, bornMS: e.StartedMS, at: n.world.Now()}
	if serving {
		n.clearUnavailable(e.Host)
	}
}

// serverRestarted records that a server runs again, which discovery will list later: it neither
// drains nor is gone.
func (n *changeClock) serverRestarted(server string) {
	delete(n.changes, server)
	n.clearUnavailable(server)
}

// clearUnavailable removes the record that proxies are deemed to know that a server takes no new
// work.
func (n *changeClock) clearUnavailable(server string) {
	for k := range n.unavailable { // all matching entries go, in any order
		if k.server == server {
			delete(n.unavailable, k)
		}
	}
}

// entryArrived records that an entry has reached a proxy.
func (n *changeClock) entryArrived(proxy netip.Addr, e fleet.Entry) {
	if e.Health == fleet.Serving && e.StartedMS > 0 {
		n.knownStarts[proxyServer{proxy, e.Host}] = e.StartedMS
	}
}

// update records what a proxy is deemed to know by now. The argument reaches reports whether the
// proxy can reach a discovery that answers.
func (n *changeClock) update(proxy netip.Addr, reaches bool) {
	c := n.clients[proxy]
	if c == nil {
		return
	}
	now := n.world.Now()
	switch {
	case !reaches:
		c.reachableSince = time.Time{}
		return
	case c.reachableSince.IsZero():
		c.reachableSince = now
	}
	if n.newsWithin <= 0 {
		return
	}
	for server, change := range n.changes { // independent of each other, so in any order
		since, ok := c.knownAt(change.at, n)
		if !ok || since.After(now) {
			continue
		}
		key := proxyServer{proxy, server}
		if change.serving {
			n.knownStarts[key] = change.bornMS
		} else if _, known := n.unavailable[key]; !known {
			n.unavailable[key] = since
		}
	}
}

// knownAt returns when a change made at the given time is deemed known to the client, by its
// present state; ok is false if no time limit applies.
func (c *discoveryClient) knownAt(change time.Time, n *changeClock) (at time.Time, ok bool) {
	from := later(change, c.reachableSince)
	switch {
	case !c.failedSince.IsZero():
		return later(from.Add(n.newsWithin), c.failedSince), true
	case !c.silentSince.IsZero():
		return later(c.silentSince.Add(n.newsWithin), c.currentCall.calledAt.Add(c.currentCall.wait+watchWaitGrace)), true
	case c.currentCall != nil && c.currentCall.wait > 0:
		return time.Time{}, false // discovery writes to a working watch at once
	}
	return later(from, c.lastAnswer).Add(n.askWithin), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// idleAfterFailure returns for how long a proxy that can reach discovery has made no call since one
// failed; 0: none has failed, or one is open.
func (n *changeClock) idleAfterFailure(proxy netip.Addr) time.Duration {
	c := n.clients[proxy]
	if c == nil || c.failedSince.IsZero() || c.currentCall != nil || c.reachableSince.IsZero() {
		return 0
	}
	return n.world.Now().Sub(later(c.idleSince, c.reachableSince))
}

// unavailableSince returns since when a proxy is deemed to know, by a time limit, that a server
// takes no new work.
func (n *changeClock) unavailableSince(proxy netip.Addr, server string) (time.Time, bool) {
	t, ok := n.unavailable[proxyServer{proxy, server}]
	return t, ok
}

// knowsStart reports whether a proxy knows, or is deemed to know, of a server's start.
func (n *changeClock) knowsStart(proxy netip.Addr, server string, bornMS int64) bool {
	return n.knownStarts[proxyServer{proxy, server}] == bornMS
}

var waitField = []byte("wait=")

// callWritten handles bytes that a proxy writes to discovery, which begin a call or continue one.
func (n *changeClock) callWritten(proxy netip.Addr, d *discoveryConn, data []byte) {
	c := n.clients[proxy]
	if c == nil || !bytes.HasPrefix(data, []byte("GET ")) {
		return
	}
	d.calledAt, d.wait, d.answer, d.idle = n.world.Now(), 0, d.answer[:0], false
	if _, after, ok := bytes.Cut(data, waitField); ok {
		end := bytes.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' })
		ms, _ := strconv.Atoi(string(after[:max(end, 0)]))
		d.wait = time.Duration(ms) * time.Millisecond
	}
	c.currentCall, c.silentSince = d, time.Time{}
}

// answerArrived handles a part of an answer that reaches a proxy.
func (n *changeClock) answerArrived(proxy netip.Addr, d *discoveryConn, data []byte) {
	d.answer = append(d.answer, data...)
	status, whole := answerStatus(d.answer)
	if !whole {
		return
	}
	d.answer, d.idle = d.answer[:0], true
	c := n.clients[proxy]
	if c == nil {
		return
	}
	if c.currentCall == d {
		c.currentCall, c.silentSince = nil, time.Time{}
	}
	if status == "200" {
		c.lastAnswer, c.failedSince = n.world.Now(), time.Time{}
	} else {
		c.callFailed(n.world.Now())
	}
}

// connectionEnded handles the end of a connection to discovery, on either side: a call that was
// open on it has failed or was given up.
func (n *changeClock) connectionEnded(proxy netip.Addr, d *discoveryConn) {
	c := n.clients[proxy]
	if c == nil || d.idle {
		return
	}
	d.idle = true
	if c.currentCall == d {
		c.currentCall, c.silentSince = nil, time.Time{}
	}
	c.callFailed(n.world.Now())
}

// callFailed records that a call failed.
func (c *discoveryClient) callFailed(now time.Time) {
	if c.idleSince = now; c.failedSince.IsZero() {
		c.failedSince = now
	}
}

// watchSilenced records that a proxy's open watch fell silent.
func (n *changeClock) watchSilenced(proxy netip.Addr) {
	if c := n.clients[proxy]; c != nil && c.currentCall != nil {
		c.silentSince = n.world.Now()
	}
}

// answerStatus returns the status of an answer of discovery; whole reports whether the answer is
// complete.
func answerStatus(answer []byte) (status string, whole bool) {
	head, body, ok := bytes.Cut(answer, []byte("\r\n\r\n"))
	if !ok {
		return "", false
	}
	_, length, ok := bytes.Cut(head, []byte("Content-Length: "))
	if !ok || len(head) < len("HTTP/1.1 200") {
		return "", false
	}
	n, err := strconv.Atoi(string(length))
	return string(head[len("HTTP/1.1 "):len("HTTP/1.1 200")]), err == nil && len(body) >= n
}
