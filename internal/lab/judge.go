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

// role is the function of a machine in the emulated fleet.
type role uint8

const (
	roleOther role = iota
	roleClient
	roleProxy
	roleRelay
	roleDiscovery
)

// judge checks the rules below on everything that the machines of a virtual day send and receive,
// at the moment it happens. The first violation fails the run and carries the name of its rule:
//
//	one-final-answer       a request gets exactly one answer
//	answer-in-time         the answer comes before the client gives up, plus AnswerSlack
//	two-attempts           a request never has attempts at two relays at the same time
//	drain-grace            a relay gets nothing new later than DrainGrace after the proxy
//	                       was told that it drains
//	stale-list             a relay gets nothing new later than DrainGrace after the proxy
//	                       is deemed to know that it drains, received or not; see
//	                       changeClock
//	ask-again              after a failed discovery call the next one is made before the
//	                       changes missed are deemed known
//	cold-relay-pushed-over all proxies together do not overload a cold relay
//	cold-budget            all proxies together send a cold relay no more than it bears,
//	                       if most of it comes from proxies that were told of its start;
//	                       see coldBudget
//	sent-after-leaving     a request whose client left while it waited is not sent to a
//	                       relay later than departedClientGrace after that
//	effect-twice           a request that may have run is sent again only where, and for as
//	                       long as, the effect of its class allows it
//	repeat-invited         a request that may have run and must not be repeated is not
//	                       refused, since a refusal invites the client to repeat it
//	standing-lost          an established connection is not closed without MOVE while its
//	                       relay answers
//	standing-not-up        a connection that a relay has held since before the day comes up
//	                       within fleet.MaxStandingWait, at the tries that its client makes
//	standing-elsewhere     such a connection is sent to no other relay
//	silent-kept            an established connection on which a running relay returns
//	                       nothing is ended or moved within fleet.MaxSilentConnection
//	counts                 the proxy's own counts equal those of the sockets
//	given-back             every descriptor, timer and table entry is released
type judge struct {
	world    *vnet.World
	ledger   *fleet.Ledger
	rules    *Rules
	roles    map[*vnet.Host]role
	relayID  map[*vnet.Host]string
	sites    map[string]string // by relay id
	blocks   map[string]int    // deduplication cell of a relay, by relay id
	classes  map[string]*Class
	requests map[string]*request
	// A proxy that could not run may answer late until excusedUntil.
	excusedUntil map[*vnet.Host]time.Time
	// maxClockLag is the largest lag of a proxy's clock. It extends the time limits of the proxy.
	maxClockLag          map[*vnet.Host]time.Duration
	pendingNotifications []notification // of entries that discovery is about to write
	changeClock          *changeClock
	coldBudget           *coldBudget // nil: the budget is not checked
	// findColdRelay's ok is false if no relay runs under the id or it ran from the start.
	findColdRelay func(id string) (coldRelay, bool)
	Requests      int
	Attempts      int
}

// notification is an entry of the relay list that discovery sends to a proxy. The proxy knows it
// from when its last byte reaches the proxy's machine: a proxy cannot know what a partition holds
// back before the time in changeClock runs out.
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
	l.OnTell = func(proxy netip.Addr, e fleet.Entry) {
		j.pendingNotifications = append(j.pendingNotifications, notification{proxy: proxy, entry: e})
	}
	l.OnWatchSilenced = clock.watchSilenced
	l.OnViolation = func(rule, detail string) { j.reportViolation(rule, "%s", detail) }
	w.SetTap(j)
	return j
}

// Violation is the error of a broken rule.
type Violation struct{ Rule, Detail string }

func (v *Violation) Error() string { return v.Rule + ": " + v.Detail }

func (j *judge) reportViolation(rule, format string, args ...any) {
	j.world.Fail(&Violation{rule, fmt.Sprintf(format, args...)})
}

// reportAuditError reports an error of Instance.Audit, whose text begins with the name of the rule.
func (j *judge) reportAuditError(proxy string, err error) {
	if err == nil {
		return
	}
	rule, detail, _ := strings.Cut(err.Error(), ": ")
	j.reportViolation(rule, "%s: %s", proxy, detail)
}

// tappedConn is what the judge has seen of a connection from a client to a proxy or from a proxy to
// a relay.
type tappedConn struct {
	request       *request
	firstLine     []byte // first line of the dialler, as far as it was sent
	firstLineSeen bool   // the first line is complete and was evaluated
	replyLine     []byte // first line of the listener, as far as it arrived
	replySeen     bool
	refused       bool // the reply was BUSY: the request did not run
	relayEnded    bool
	relay         string
	sentAt        time.Time
	conn          *vnet.Conn
}

// discoveryConn returns the state of a connection to discovery, which it creates at the first use.
func (j *judge) discoveryConn(c *vnet.Conn) *discoveryConn {
	d, _ := c.User.(*discoveryConn)
	if d == nil {
		d = &discoveryConn{}
		c.User = d
	}
	return d
}

func (j *judge) tappedConn(c *vnet.Conn) *tappedConn {
	tap, _ := c.User.(*tappedConn)
	if tap == nil {
		tap = &tappedConn{conn: c}
		c.User = tap
	}
	return tap
}

// appendLine adds data to an incomplete first line, up to the line feed or line.MaxLength. It
// reports whether the line is complete.
func appendLine(buffer *[]byte, data []byte) (done bool) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		*buffer = append(*buffer, data[:i+1]...)
		return true
	}
	if len(*buffer) < line.MaxLength {
		*buffer = append(*buffer, data...)
	}
	return false
}

var openPrefix = []byte("OPEN ")

// Sent is called when a process writes to a connection.
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
		tap := j.tappedConn(c)
		if !tap.firstLineSeen && appendLine(&tap.firstLine, data) {
			tap.firstLineSeen = true
			j.onClientRequest(c, tap)
		}
	case from == c.Listener && j.roles[from] == roleProxy:
		if tap, _ := c.User.(*tappedConn); tap != nil && tap.request != nil {
			j.onProxyWrite(tap.request, data)
		}
	case from == c.Dialler && j.roles[from] == roleProxy && j.roles[c.Listener] == roleRelay:
		tap := j.tappedConn(c)
		if !tap.firstLineSeen && appendLine(&tap.firstLine, data) {
			tap.firstLineSeen = true
			j.onAttempt(c, tap)
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
	tap, _ := c.User.(*tappedConn)
	if tap == nil || tap.request == nil || j.roles[at] != roleProxy {
		return
	}
	if at == c.Listener {
		if r := tap.request; !r.arrived { // the client's time limit runs from here
			r.arrived, r.deadline = true, j.world.Now().Add(r.clientTimeout)
			j.world.After(r.clientTimeout+j.rules.AnswerSlack, func() { j.checkAnswerDue(r) })
		}
		return
	}
	if tap.replySeen || !appendLine(&tap.replyLine, data) {
		return
	}
	tap.replySeen = true
	word, _ := line.ParseWord(line.TrimLineEnd(tap.replyLine))
	tap.refused = word == line.Busy
	if word != line.Up && tap.request.current == tap {
		tap.request.current = nil
	}
	tap.replyLine = nil
}

// onDiscoveryBytes handles bytes from discovery that reach a proxy.
func (j *judge) onDiscoveryBytes(c *vnet.Conn, d *discoveryConn, data []byte) {
	d.arrivedBytes += len(data)
	for len(d.notifications) > 0 && d.notifications[0].endOffset <= d.arrivedBytes {
		n := d.notifications[0]
		d.notifications = d.notifications[1:]
		j.ledger.RecordTold(j.world.Now(), n.proxy, n.entry.Host, n.entry.Health == fleet.Serving)
		j.changeClock.entryArrived(n.proxy, n.entry)
	}
	j.changeClock.answerArrived(c.Dialler.Addr(), d, data)
}

// EndArrived is called when a FIN or a reset reaches a machine.
func (j *judge) EndArrived(c *vnet.Conn, at *vnet.Host) {
	if d, ok := c.User.(*discoveryConn); ok && at == c.Dialler {
		j.changeClock.connectionEnded(at.Addr(), d)
		return
	}
	if tap, _ := c.User.(*tappedConn); tap != nil && tap.request != nil && at == c.Listener && j.roles[at] == roleProxy {
		if r := tap.request; !r.answered && r.clientLeftAt.IsZero() {
			r.clientLeftAt = j.world.Now()
		}
	}
}

// Ended is called when a process closes its side of a connection.
func (j *judge) Ended(c *vnet.Conn, from *vnet.Host) {
	if j.roles[c.Listener] == roleDiscovery {
		if from == c.Dialler {
			j.changeClock.connectionEnded(from.Addr(), j.discoveryConn(c))
		}
		return
	}
	tap, _ := c.User.(*tappedConn)
	if tap == nil || tap.request == nil {
		return
	}
	r := tap.request
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
		if r.current == tap {
			r.current = nil
		}
	default:
		tap.relayEnded = true
		if r.current == tap {
			r.current = nil
		}
	}
}

// excuse records that a proxy cannot run, or cannot be reached, until the given time.
func (j *judge) excuse(proxy *vnet.Host, until time.Time) {
	if until.After(j.excusedUntil[proxy]) {
		j.excusedUntil[proxy] = until
	}
}
