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
	clockStep = 50 * time.Millisecond
	// afterWait is how long after its wait what an open watch missed counts as told.
	afterWait = 2 * time.Second
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
type newsClock struct {
	world      *vnet.World
	newsWithin time.Duration // 0: nothing counts as told by a clock
	askWithin  time.Duration
	callers    map[netip.Addr]*caller
	changes    map[string]listChange // by server, the latest
	gone       map[notice]time.Time  // since when a proxy counts as told that a server takes nothing new
	started    map[notice]int64      // the start, as in Entry.BornMS, that a proxy was told of or counts as told of
}

// notice names a proxy and a server that it was told of.
type notice struct {
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
type caller struct {
	reach  time.Time      // since when it can reach discovery; zero: it can't
	last   time.Time      // its last call was answered, or its process started
	failed time.Time      // a call has failed since, and none was answered after that; zero: none has
	rests  time.Time      // since when no call is out after one that failed
	call   *discoveryConn // the call that is out, or nil
	silent time.Time      // since when the watch that is out is silent; zero: it is not
}

// discoveryConn is a connection to discovery.
type discoveryConn struct {
	sent, arrived int
	news          []news // that was written and has not arrived yet
	asked         time.Time
	wait          time.Duration // of the call that is out; 0: it is no watch
	answer        []byte        // as far as it is there
	idle          bool          // a call was answered, and no other made
}

func newNewsClock(w *vnet.World, rules *Rules, allow *Allow) *newsClock {
	n := &newsClock{
		world: w, newsWithin: rules.NewsWithin, askWithin: allow.AskWithin, callers: make(map[netip.Addr]*caller),
		changes: make(map[string]listChange), gone: make(map[notice]time.Time), started: make(map[notice]int64),
	}
	if allow.Pushed { // all that discovery has counts as told at once
		n.newsWithin = 0
	}
	return n
}

// begins forgets a proxy's earlier life.
func (n *newsClock) begins(proxy netip.Addr) {
	n.callers[proxy] = &caller{last: n.world.Now()}
	for k := range n.gone { // all that match go, in whatever order
		if k.proxy == proxy {
			delete(n.gone, k)
		}
	}
	for k := range n.started {
		if k.proxy == proxy {
			delete(n.started, k)
		}
	}
}

// changed takes down that discovery's list has changed.
func (n *newsClock) changed(e fleet.Entry) {
	serving := e.Health == fleet.Serving
	if was, ok := n.changes[e.Host]; ok && !serving && !was.serving {
		return // it counts from when the server took nothing new
	}
	n.changes[e.Host] = listChange{serving: serving, bornMS: e.StartedMS, at: n.world.Now()}
	if serving {
		n.forget(e.Host)
	}
}

// returns takes down that a server runs anew, which discovery will tell later: it neither drains nor is gone.
func (n *newsClock) returns(server string) {
	delete(n.changes, server)
	n.forget(server)
}

// forget drops that a server counts as told to take nothing new.
func (n *newsClock) forget(server string) {
	for k := range n.gone { // all that match go, in whatever order
		if k.server == server {
			delete(n.gone, k)
		}
	}
}

// arrived takes down that an entry has reached a proxy.
func (n *newsClock) arrived(proxy netip.Addr, e fleet.Entry) {
	if e.Health == fleet.Serving && e.StartedMS > 0 {
		n.started[notice{proxy, e.Host}] = e.StartedMS
	}
}

// look marks what counts as told to a proxy by now. Reaches tells whether it can reach a discovery that answers.
func (n *newsClock) look(proxy netip.Addr, reaches bool) {
	c := n.callers[proxy]
	if c == nil {
		return
	}
	now := n.world.Now()
	switch {
	case !reaches:
		c.reach = time.Time{}
		return
	case c.reach.IsZero():
		c.reach = now
	}
	if n.newsWithin <= 0 {
		return
	}
	for server, change := range n.changes { // each is looked at by itself, in whatever order
		since, ok := c.toldAt(change.at, n)
		if !ok || since.After(now) {
			continue
		}
		key := notice{proxy, server}
		if change.serving {
			n.started[key] = change.bornMS
		} else if _, known := n.gone[key]; !known {
			n.gone[key] = since
		}
	}
}

// toldAt is when a change of that time counts as told to the caller, as it stands now; ok is false if no clock runs.
func (c *caller) toldAt(change time.Time, n *newsClock) (at time.Time, ok bool) {
	from := later(change, c.reach)
	switch {
	case !c.failed.IsZero():
		return later(from.Add(n.newsWithin), c.failed), true
	case !c.silent.IsZero():
		return later(c.silent.Add(n.newsWithin), c.call.asked.Add(c.call.wait+afterWait)), true
	case c.call != nil && c.call.wait > 0:
		return time.Time{}, false // it is written as soon as it is there
	}
	return later(from, c.last).Add(n.askWithin), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// restsFor is how long a proxy that can reach discovery has made no call since one failed; 0: none has failed, or one is out.
func (n *newsClock) restsFor(proxy netip.Addr) time.Duration {
	c := n.callers[proxy]
	if c == nil || c.failed.IsZero() || c.call != nil || c.reach.IsZero() {
		return 0
	}
	return n.world.Now().Sub(later(c.rests, c.reach))
}

// goneSince tells since when a proxy counts as told, by a clock, that a server takes nothing new.
func (n *newsClock) goneSince(proxy netip.Addr, server string) (time.Time, bool) {
	t, ok := n.gone[notice{proxy, server}]
	return t, ok
}

// knowsStart tells whether a proxy was told of a server's start.
func (n *newsClock) knowsStart(proxy netip.Addr, server string, bornMS int64) bool {
	return n.started[notice{proxy, server}] == bornMS
}

var waitField = []byte("wait=")

// asks sees a proxy write a call.
func (n *newsClock) asks(proxy netip.Addr, d *discoveryConn, data []byte) {
	c := n.callers[proxy]
	if c == nil || !bytes.HasPrefix(data, []byte("GET ")) {
		return
	}
	d.asked, d.wait, d.answer, d.idle = n.world.Now(), 0, d.answer[:0], false
	if _, after, ok := bytes.Cut(data, waitField); ok {
		end := bytes.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' })
		ms, _ := strconv.Atoi(string(after[:max(end, 0)]))
		d.wait = time.Duration(ms) * time.Millisecond
	}
	c.call, c.silent = d, time.Time{}
}

// hears sees a part of an answer reach a proxy.
func (n *newsClock) hears(proxy netip.Addr, d *discoveryConn, data []byte) {
	d.answer = append(d.answer, data...)
	status, whole := answerStatus(d.answer)
	if !whole {
		return
	}
	d.answer, d.idle = d.answer[:0], true
	c := n.callers[proxy]
	if c == nil {
		return
	}
	if c.call == d {
		c.call, c.silent = nil, time.Time{}
	}
	if status == "200" {
		c.last, c.failed = n.world.Now(), time.Time{}
	} else {
		c.fails(n.world.Now())
	}
}

// ends sees a connection to discovery end, on either side: a call that was out on it has failed or was given up.
func (n *newsClock) ends(proxy netip.Addr, d *discoveryConn) {
	c := n.callers[proxy]
	if c == nil || d.idle {
		return
	}
	d.idle = true
	if c.call == d {
		c.call, c.silent = nil, time.Time{}
	}
	c.fails(n.world.Now())
}

func (c *caller) fails(now time.Time) {
	if c.rests = now; c.failed.IsZero() {
		c.failed = now
	}
}

// silences takes down that a proxy's open watch fell silent.
func (n *newsClock) silences(proxy netip.Addr) {
	if c := n.callers[proxy]; c != nil && c.call != nil {
		c.silent = n.world.Now()
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
