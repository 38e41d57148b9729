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
	// clockStep is the time between two looks at the clocks: a change counts as told at most so much too late.
	clockInterval = 50 * time.Millisecond
	// afterWait is how long after its wait what an open watch missed counts as told.
	watchWaitGrace = 2 * time.Second
	// clockSlack is by how much each limit of time is longer on sockets.
	clockSlack = 50 * time.Millisecond
)

// newsClock tells which changes of the list count as told to a proxy though they may not have arrived:
//
//   - after a call that failed, was refused or given up: once the change is newsWithin old, counted anew when discovery can be
//     reached again, and the call has failed;
//   - after an open watch fell silent: newsWithin after that, or afterWait after the call's wait, if that is later;
//   - where no call is out and the last one was answered: once the change is askWithin old, counted anew when discovery is back.
//
// It knows calls from the bytes on the wire alone.
type changeClock struct {
	world       *vnet.World
	newsWithin  time.Duration // 0: nothing counts as told by a clock
	askWithin   time.Duration
	clients     map[netip.Addr]*discoveryClient
	changes     map[string]listChange     // by server, the latest
	unavailable map[proxyServer]time.Time // since when a proxy counts as told that a server takes nothing new
	knownStarts map[proxyServer]int64     // the start, as in Entry.BornMS, that a proxy was told of or counts as told of
}

// notice names a proxy and a server that it was told of.
type proxyServer struct {
	proxy  netip.Addr
	server string
}

// listChange is what discovery has of a server, since a time.
type listChange struct {
	serving bool
	bornMS  int64
	at      time.Time
}

// caller is a proxy as discovery's client.
type discoveryClient struct {
	reachableSince time.Time      // since when it can reach discovery; zero: it can't
	lastAnswer     time.Time      // its last call was answered, or its process started
	failedSince    time.Time      // a call has failed since, and none was answered after that; zero: none has
	idleSince      time.Time      // since when no call is out after one that failed
	currentCall    *discoveryConn // the call that is out, or nil
	silentSince    time.Time      // since when the watch that is out is silent; zero: it is not
}

// discoveryConn is a connection to discovery.
type discoveryConn struct {
	sentBytes, arrivedBytes int
	notifications           []notification // that was written and has not arrived yet
	calledAt                time.Time
	wait                    time.Duration // of the call that is out; 0: it is no watch
	answer                  []byte        // as far as it is there
	idle                    bool          // a call was answered, and no other made
}

func newChangeClock(w *vnet.World, rules *Rules, allow *Permissions) *changeClock {
	n := &changeClock{
		world: w, newsWithin: rules.NewsWithin, askWithin: allow.AskWithin, clients: make(map[netip.Addr]*discoveryClient),
		changes: make(map[string]listChange), unavailable: make(map[proxyServer]time.Time), knownStarts: make(map[proxyServer]int64),
	}
	if allow.ListsPushed { // all that discovery has counts as told at once
		n.newsWithin = 0
	}
	return n
}

// begins forgets a proxy's earlier life.
func (n *changeClock) proxyStarted(proxy netip.Addr) {
	n.clients[proxy] = &discoveryClient{lastAnswer: n.world.Now()}
	for k := range n.unavailable { // all that match go, in whatever order
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

// changed takes down that discovery's list has changed.
func (n *changeClock) listChanged(e fleet.Entry) {
	serving := e.Health == fleet.Serving
	if was, ok := n.changes[e.Host]; ok && !serving && !was.serving {
		return // it counts from when the server took nothing new
	}
	n.changes[e.Host] = listChange{serving: serving, bornMS: e.BornMS, at: n.world.Now()}
	if serving {
		n.clearUnavailable(e.Host)
	}
}

// returns takes down that a server runs anew, which discovery will tell later: it neither drains nor is gone.
func (n *changeClock) serverRestarted(server string) {
	delete(n.changes, server)
	n.clearUnavailable(server)
}

// forget drops that a server counts as told to take nothing new.
func (n *changeClock) clearUnavailable(server string) {
	for k := range n.unavailable { // all that match go, in whatever order
		if k.server == server {
			delete(n.unavailable, k)
		}
	}
}

// arrived takes down that an entry has reached a proxy.
func (n *changeClock) entryArrived(proxy netip.Addr, e fleet.Entry) {
	if e.Health == fleet.Serving && e.BornMS > 0 {
		n.knownStarts[proxyServer{proxy, e.Host}] = e.BornMS
	}
}

// look marks what counts as told to a proxy by now. Reaches tells whether it can reach a discovery that answers.
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
	for server, change := range n.changes { // each is looked at by itself, in whatever order
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

// toldAt is when a change of that time counts as told to the caller, as it stands now; ok is false if no clock runs.
func (c *discoveryClient) knownAt(change time.Time, n *changeClock) (at time.Time, ok bool) {
	from := later(change, c.reachableSince)
	switch {
	case !c.failedSince.IsZero():
		return later(from.Add(n.newsWithin), c.failedSince), true
	case !c.silentSince.IsZero():
		return later(c.silentSince.Add(n.newsWithin), c.currentCall.calledAt.Add(c.currentCall.wait+watchWaitGrace)), true
	case c.currentCall != nil && c.currentCall.wait > 0:
		return time.Time{}, false // it is written as soon as it is there
	}
	return later(from, c.lastAnswer).Add(n.askWithin), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// restsFor is how long a proxy that can reach discovery has made no call since one failed; 0: none has failed, or one is out.
func (n *changeClock) idleAfterFailure(proxy netip.Addr) time.Duration {
	c := n.clients[proxy]
	if c == nil || c.failedSince.IsZero() || c.currentCall != nil || c.reachableSince.IsZero() {
		return 0
	}
	return n.world.Now().Sub(later(c.idleSince, c.reachableSince))
}

// goneSince tells since when a proxy counts as told, by a clock, that a server takes nothing new.
func (n *changeClock) unavailableSince(proxy netip.Addr, server string) (time.Time, bool) {
	t, ok := n.unavailable[proxyServer{proxy, server}]
	return t, ok
}

// knowsStart tells whether a proxy was told of a server's start.
func (n *changeClock) knowsStart(proxy netip.Addr, server string, bornMS int64) bool {
	return n.knownStarts[proxyServer{proxy, server}] == bornMS
}

var waitField = []byte("wait=")

// asks sees a proxy write a call.
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

// hears sees a part of an answer reach a proxy.
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

// ends sees a connection to discovery end, on either side: a call that was out on it has failed or was given up.
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

func (c *discoveryClient) callFailed(now time.Time) {
	if c.idleSince = now; c.failedSince.IsZero() {
		c.failedSince = now
	}
}

// silences takes down that a proxy's open watch fell silent.
func (n *changeClock) watchSilenced(proxy netip.Addr) {
	if c := n.clients[proxy]; c != nil && c.currentCall != nil {
		c.silentSince = n.world.Now()
	}
}

// answerStatus is the status of an answer of discovery's; whole tells that all of it is there.
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
