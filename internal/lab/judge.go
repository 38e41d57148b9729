package lab

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/line"
	"ospreyspan/internal/vnet"
)

// role is what a machine is for.
type role uint8

const (
	roleOther role = iota
	roleClient
	roleProxy
	roleRelay
	roleDiscovery
)

// judge sees all that the machines hand to their sockets and checks the rules on it, at the moment it happens. What a
// broken rule is called:
//
//	one-final-answer       a request has exactly one answer: not none, not two
//	answer-in-time         it comes before the client gives up (and the slack)
//	two-attempts           a request is never at two relays at once
//	drain-grace            nothing new to a relay, the grace after the proxy was told that it drains
//	stale-list             nor the grace after that counts as told by a clock, whether it arrived or not; see newsClock
//	ask-again              after a call of discovery that failed the next one comes before what was missed counts as told
//	cold-relay-pushed-over all proxies together must not topple a relay that is cold
//	cold-budget            nor send it more than it bears, most of it from proxies that were told of its start; see coldBudget
//	sent-after-leaving     a request whose client left while it waited is not sent on later than leftGrace
//	effect-twice           a request that may have run is sent again only where, and while, its class's effect allows that
//	repeat-invited         nor is it refused, which invites its client to repeat it
//	standing-lost          no standing connection is cut off without MOVE while its relay answers
//	counts                 the module's counts equal the sockets'
//	given-back             every descriptor, timer and table entry is given back
type judge struct {
	world                *vnet.World
	ledger               *fleet.Ledger
	rules                *Rules
	roles                map[*vnet.Host]role
	relayID              map[*vnet.Host]string
	sites                map[string]string // of relays
	blocks               map[string]int    // likewise
	classes              map[string]*Class
	requests             map[string]*request
	excusedUntil         map[*vnet.Host]time.Time     // a proxy that could not run answers late until then
	maxClockLag          map[*vnet.Host]time.Duration // by how much a proxy's clock was late at the most: its windows are longer by that
	pendingNotifications []notification               // discovery is about to write
	changeClock          *changeClock
	coldBudget           *coldBudget                       // nil: it is not judged
	findColdRelay        func(id string) (coldRelay, bool) // ok is false if none runs, or it was there from the start
	Requests             int
	Attempts             int
}

// news is what discovery tells a proxy of a relay. It counts from when it is at the proxy's machine: what a partition
// holds back nobody can know before the clock for it runs out.
type notification struct {
	proxy     netip.Addr
	entry     fleet.Entry
	endOffset int // bytes of the connection that must have arrived
}

func newJudge(w *vnet.World, l *fleet.Ledger, r *Rules, clock *changeClock) *judge {
	j := &judge{
		world: w, ledger: l, rules: r, changeClock: clock, roles: make(map[*vnet.Host]role), relayID: make(map[*vnet.Host]string),
		sites: make(map[string]string), blocks: make(map[string]int), maxClockLag: make(map[*vnet.Host]time.Duration), classes: make(map[string]*Class),
		requests: make(map[string]*request), excusedUntil: make(map[*vnet.Host]time.Time),
	}
	l.Telling = func(proxy netip.Addr, e fleet.Entry) {
		j.pendingNotifications = append(j.pendingNotifications, notification{proxy: proxy, entry: e})
	}
	l.Silenced = clock.watchSilenced
	l.Broken = func(rule, detail string) { j.reportViolation(rule, "%s", detail) }
	w.SetTap(j)
	return j
}

// Violation is a broken rule.
type Violation struct{ Rule, Detail string }

func (v *Violation) Error() string { return v.Rule + ": " + v.Detail }

func (j *judge) reportViolation(rule, format string, args ...any) {
	j.world.Fail(&Violation{rule, fmt.Sprintf(format, args...)})
}

// audit takes an error of Instance.Audit, which begins with the rule's name.
func (j *judge) reportAuditError(proxy string, err error) {
	if err == nil {
		return
	}
	rule, detail, _ := strings.Cut(err.Error(), ": ")
	j.reportViolation(rule, "%s: %s", proxy, detail)
}

// tapped is what the judge knows of a connection between a client and a proxy, or between a proxy and a relay.
type tappedConn struct {
	request       *request
	firstLine     []byte // the first line from the dialler, as far as it is there
	firstLineSeen bool   // the first line was looked at
	replyLine     []byte // the first line from the listener, as far as it is there
	replySeen     bool
	refused       bool // that was BUSY: it never ran
	relayEnded    bool
	relay         string
	sentAt        time.Time
	conn          *vnet.Conn
}

// discoveryConn is what is known of a connection to discovery.
func (j *judge) discoveryConn(c *vnet.Conn) *discoveryConn {
	d, _ := c.User.(*discoveryConn)
	if d == nil {
		d = &discoveryConn{}
		c.User = d
	}
	return d
}

func (j *judge) tappedConn(c *vnet.Conn) *tappedConn {
	w, _ := c.User.(*tappedConn)
	if w == nil {
		w = &tappedConn{conn: c}
		c.User = w
	}
	return w
}

// cut takes the first line off what a side sends; done tells that it is whole now.
func appendLine(have *[]byte, data []byte) (done bool) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		*have = append(*have, data[:i+1]...)
		return true
	}
	if len(*have) < line.MaxLength {
		*have = append(*have, data...)
	}
	return false
}

var openPrefix = []byte("OPEN ")

// Sent is called when a process writes.
func (j *judge) Sent(c *vnet.Conn, from *vnet.Host, data []byte) {
	switch {
	case j.roles[c.Listener] == roleDiscovery:
		d := j.discoveryConn(c)
		if from == c.Dialler {
			j.changeClock.callWritten(from.Addr(), d, data)
			return
		}
		d.sentBytes += len(data)
		for _, n := range j.pendingNotifications {
			n.endOffset = d.sentBytes
			d.notifications = append(d.notifications, n)
		}
		j.pendingNotifications = j.pendingNotifications[:0]
	case from == c.Dialler && j.roles[from] == roleClient && j.roles[c.Listener] == roleProxy:
		w := j.tappedConn(c)
		if !w.firstLineSeen && appendLine(&w.firstLine, data) {
			w.firstLineSeen = true
			j.onClientRequest(c, w)
		}
	case from == c.Listener && j.roles[from] == roleProxy:
		if w, _ := c.User.(*tappedConn); w != nil && w.request != nil {
			j.onProxyWrite(w.request, data)
		}
	case from == c.Dialler && j.roles[from] == roleProxy && j.roles[c.Listener] == roleRelay:
		w := j.tappedConn(c)
		if !w.firstLineSeen && appendLine(&w.firstLine, data) {
			w.firstLineSeen = true
			j.onAttempt(c, w)
		}
	}
}

// Arrived is called when bytes reach a machine.
func (j *judge) Arrived(c *vnet.Conn, at *vnet.Host, data []byte) {
	if d, ok := c.User.(*discoveryConn); ok {
		if at == c.Dialler {
			j.onDiscoveryBytes(c, d, data)
		}
		return
	}
	w, _ := c.User.(*tappedConn)
	if w == nil || w.request == nil || j.roles[at] != roleProxy {
		return
	}
	if at == c.Listener {
		if r := w.request; !r.arrived { // its time counts from here
			r.arrived, r.deadline = true, j.world.Now().Add(r.wait)
			j.world.After(r.wait+j.rules.AnswerSlack, func() { j.checkAnswerDue(r) })
		}
		return
	}
	if w.replySeen || !appendLine(&w.replyLine, data) {
		return
	}
	w.replySeen = true
	word, _ := line.ParseWord(line.TrimLineEnd(w.replyLine))
	w.refused = word == line.Busy
	if word != line.Up && w.request.current == w {
		w.request.current = nil
	}
	w.replyLine = nil
}

// hears sees what discovery wrote reach a proxy.
func (j *judge) onDiscoveryBytes(c *vnet.Conn, d *discoveryConn, data []byte) {
	d.arrivedBytes += len(data)
	for len(d.notifications) > 0 && d.notifications[0].endOffset <= d.arrivedBytes {
		n := d.notifications[0]
		d.notifications = d.notifications[1:]
		j.ledger.Told(j.world.Now(), n.proxy, n.entry.Host, n.entry.Health == fleet.Serving)
		j.changeClock.entryArrived(n.proxy, n.entry)
	}
	j.changeClock.answerArrived(c.Dialler.Addr(), d, data)
}

// EndArrived is called when an end, or a reset, reaches a machine.
func (j *judge) EndArrived(c *vnet.Conn, at *vnet.Host) {
	if d, ok := c.User.(*discoveryConn); ok && at == c.Dialler {
		j.changeClock.connectionEnded(at.Addr(), d)
		return
	}
	if w, _ := c.User.(*tappedConn); w != nil && w.request != nil && at == c.Listener && j.roles[at] == roleProxy {
		if r := w.request; !r.answered && r.clientLeftAt.IsZero() {
			r.clientLeftAt = j.world.Now()
		}
	}
}

// Ended is called when a process is through with its side of a connection.
func (j *judge) Ended(c *vnet.Conn, from *vnet.Host) {
	if j.roles[c.Listener] == roleDiscovery {
		if from == c.Dialler {
			j.changeClock.connectionEnded(from.Addr(), j.discoveryConn(c))
		}
		return
	}
	w, _ := c.User.(*tappedConn)
	if w == nil || w.request == nil {
		return
	}
	r := w.request
	switch {
	case from == c.Dialler && j.roles[from] == roleClient:
		r.clientEnded = true
		j.sideEnded(r)
	case from == c.Listener && j.roles[from] == roleProxy:
		if from.Up() && !r.clientEnded {
			j.onProxyClose(r)
		}
		j.sideEnded(r)
	case from == c.Dialler: // the proxy's side of an attempt
		if r.current == w {
			r.current = nil
		}
	default:
		w.relayEnded = true
		if r.current == w {
			r.current = nil
		}
	}
}

// excuse takes down that a proxy cannot run, or not be reached, until then.
func (j *judge) excuse(proxy *vnet.Host, until time.Time) {
	if until.After(j.excusedUntil[proxy]) {
		j.excusedUntil[proxy] = until
	}
}
