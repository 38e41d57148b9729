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
	world    *vnet.World
	ledger   *fleet.Ledger
	rules    *Rules
	roles    map[*vnet.Host]role
	relayID  map[*vnet.Host]string
	sites    map[string]string // of relays
	blocks   map[string]int    // likewise
	classes  map[string]*Class
	requests map[string]*request
	excused  map[*vnet.Host]time.Time     // a proxy that could not run answers late until then
	lag      map[*vnet.Host]time.Duration // by how much a proxy's clock was late at the most: its windows are longer by that
	telling  []news                       // discovery is about to write
	clock    *newsClock
	cold     *coldBudget                       // nil: it is not judged
	relay    func(id string) (coldRelay, bool) // ok is false if none runs, or it was there from the start
	Requests int
	Attempts int
}

// news is what discovery tells a proxy of a relay. It counts from when it is at the proxy's machine: what a partition
// holds back nobody can know before the clock for it runs out.
type news struct {
	proxy netip.Addr
	entry fleet.Entry
	at    int // bytes of the connection that must have arrived
}

func newJudge(w *vnet.World, l *fleet.Ledger, r *Rules, clock *newsClock) *judge {
	j := &judge{
		world: w, ledger: l, rules: r, clock: clock, roles: make(map[*vnet.Host]role), relayID: make(map[*vnet.Host]string),
		sites: make(map[string]string), blocks: make(map[string]int), lag: make(map[*vnet.Host]time.Duration), classes: make(map[string]*Class),
		requests: make(map[string]*request), excused: make(map[*vnet.Host]time.Time),
	}
	l.OnTell = func(proxy netip.Addr, e fleet.Entry) {
		j.telling = append(j.telling, news{proxy: proxy, entry: e})
	}
	l.OnWatchSilenced = clock.silences
	l.OnViolation = func(rule, detail string) { j.broken(rule, "%s", detail) }
	w.SetTap(j)
	return j
}

// Violation is a broken rule.
type Violation struct{ Rule, Detail string }

func (v *Violation) Error() string { return v.Rule + ": " + v.Detail }

func (j *judge) broken(rule, format string, args ...any) {
	j.world.Fail(&Violation{rule, fmt.Sprintf(format, args...)})
}

// audit takes an error of Instance.Audit, which begins with the rule's name.
func (j *judge) audit(proxy string, err error) {
	if err == nil {
		return
	}
	rule, detail, _ := strings.Cut(err.Error(), ": ")
	j.broken(rule, "%s: %s", proxy, detail)
}

// tapped is what the judge knows of a connection between a client and a proxy, or between a proxy and a relay.
type tapped struct {
	req        *request
	first      []byte // the first line from the dialler, as far as it is there
	known      bool   // the first line was looked at
	word       []byte // the first line from the listener, as far as it is there
	heard      bool
	refused    bool // that was BUSY: it never ran
	relayEnded bool
	relay      string
	sentAt     time.Time
	conn       *vnet.Conn
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

func (j *judge) tapped(c *vnet.Conn) *tapped {
	w, _ := c.User.(*tapped)
	if w == nil {
		w = &tapped{conn: c}
		c.User = w
	}
	return w
}

// cut takes the first line off what a side sends; done tells that it is whole now.
func cut(have *[]byte, data []byte) (done bool) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		*have = append(*have, data[:i+1]...)
		return true
	}
	if len(*have) < line.MaxLength {
		*have = append(*have, data...)
	}
	return false
}

var openWord = []byte("OPEN ")

// Sent is called when a process writes.
func (j *judge) Sent(c *vnet.Conn, from *vnet.Host, data []byte) {
	switch {
	case j.roles[c.Listener] == roleDiscovery:
		d := j.discoveryConn(c)
		if from == c.Dialler {
			j.clock.asks(from.Addr(), d, data)
			return
		}
		d.sent += len(data)
		for _, n := range j.telling {
			n.at = d.sent
			d.news = append(d.news, n)
		}
		j.telling = j.telling[:0]
	case from == c.Dialler && j.roles[from] == roleClient && j.roles[c.Listener] == roleProxy:
		w := j.tapped(c)
		if !w.known && cut(&w.first, data) {
			w.known = true
			j.asked(c, w)
		}
	case from == c.Listener && j.roles[from] == roleProxy:
		if w, _ := c.User.(*tapped); w != nil && w.req != nil {
			j.answers(w.req, data)
		}
	case from == c.Dialler && j.roles[from] == roleProxy && j.roles[c.Listener] == roleRelay:
		w := j.tapped(c)
		if !w.known && cut(&w.first, data) {
			w.known = true
			j.attempt(c, w)
		}
	}
}

// Arrived is called when bytes reach a machine.
func (j *judge) Arrived(c *vnet.Conn, at *vnet.Host, data []byte) {
	if d, ok := c.User.(*discoveryConn); ok {
		if at == c.Dialler {
			j.hears(c, d, data)
		}
		return
	}
	w, _ := c.User.(*tapped)
	if w == nil || w.req == nil || j.roles[at] != roleProxy {
		return
	}
	if at == c.Listener {
		if r := w.req; !r.taken { // its time counts from here
			r.taken, r.deadline = true, j.world.Now().Add(r.wait)
			j.world.After(r.wait+j.rules.AnswerSlack, func() { j.due(r) })
		}
		return
	}
	if w.heard || !cut(&w.word, data) {
		return
	}
	w.heard = true
	word, _ := line.ParseWord(line.TrimLineEnd(w.word))
	w.refused = word == line.Busy
	if word != line.Up && w.req.out == w {
		w.req.out = nil
	}
	w.word = nil
}

// hears sees what discovery wrote reach a proxy.
func (j *judge) hears(c *vnet.Conn, d *discoveryConn, data []byte) {
	d.arrived += len(data)
	for len(d.news) > 0 && d.news[0].at <= d.arrived {
		n := d.news[0]
		d.news = d.news[1:]
		j.ledger.RecordTold(j.world.Now(), n.proxy, n.entry.Host, n.entry.Health == fleet.Serving)
		j.clock.arrived(n.proxy, n.entry)
	}
	j.clock.hears(c.Dialler.Addr(), d, data)
}

// EndArrived is called when an end, or a reset, reaches a machine.
func (j *judge) EndArrived(c *vnet.Conn, at *vnet.Host) {
	if d, ok := c.User.(*discoveryConn); ok && at == c.Dialler {
		j.clock.ends(at.Addr(), d)
		return
	}
	if w, _ := c.User.(*tapped); w != nil && w.req != nil && at == c.Listener && j.roles[at] == roleProxy {
		if r := w.req; !r.answered && r.leftAt.IsZero() {
			r.leftAt = j.world.Now()
		}
	}
}

// Ended is called when a process is through with its side of a connection.
func (j *judge) Ended(c *vnet.Conn, from *vnet.Host) {
	if j.roles[c.Listener] == roleDiscovery {
		if from == c.Dialler {
			j.clock.ends(from.Addr(), j.discoveryConn(c))
		}
		return
	}
	w, _ := c.User.(*tapped)
	if w == nil || w.req == nil {
		return
	}
	r := w.req
	switch {
	case from == c.Dialler && j.roles[from] == roleClient:
		r.left = true
		j.forget(r)
	case from == c.Listener && j.roles[from] == roleProxy:
		if from.Up() && !r.left {
			j.closes(r)
		}
		j.forget(r)
	case from == c.Dialler: // the proxy's side of an attempt
		if r.out == w {
			r.out = nil
		}
	default:
		w.relayEnded = true
		if r.out == w {
			r.out = nil
		}
	}
}

// excuse takes down that a proxy cannot run, or not be reached, until then.
func (j *judge) excuse(proxy *vnet.Host, until time.Time) {
	if until.After(j.excused[proxy]) {
		j.excused[proxy] = until
	}
}
