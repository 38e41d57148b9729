package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strconv"
	"time"

	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
)

// LoadGeneratorConfig is what the clients of one site are.
type LoadGeneratorConfig struct {
	Site    string
	Traffic Traffic
	Classes []Class
	Groups  int                         // plants of the site
	Seed    uint64                      // of each client's own draws
	Rate    func(now time.Time) float64 // new clients a second
}

// LoadGenerator is the clients of one site. Who comes when, and what for, is drawn ahead of all that happens to them, so that
// two runs with the same seed see the same clients whatever the proxies do.
type LoadGenerator struct {
	c        LoadGeneratorConfig
	loop     *poll.Loop
	front    *FrontBalancer
	ledger   *Ledger
	rng      *rand.Rand // arrivals
	plants   []float64  // running sums of the groups' shares
	clients  []*client
	next     poll.Timer
	stopped  bool
	leaving  float64 // see Leaving
	arrivals int
	scratch  []byte
}

// NewLoadGenerator starts the clients' arrivals.
func NewLoadGenerator(loop *poll.Loop, c LoadGeneratorConfig, front *FrontBalancer, rng *rand.Rand, ledger *Ledger) *LoadGenerator {
	w := &LoadGenerator{c: c, loop: loop, front: front, ledger: ledger, rng: rng, scratch: make([]byte, 16<<10)}
	sum := 0.0
	for i := range max(c.Groups, 1) { // plants differ in size, by Zipf's law
		sum += 1 / math.Pow(float64(i+1), 0.95)
		w.plants = append(w.plants, sum)
	}
	w.next.Fire = w.arrive
	w.wait()
	return w
}

// Open tells how many clients are there that still want something.
func (w *LoadGenerator) Open() int { return len(w.clients) }

// idleWait is how often a rate of nothing is looked at again.
const idleWait = 100 * time.Millisecond

func (w *LoadGenerator) wait() {
	if rate := w.c.Rate(w.loop.Now()); rate > 0 {
		w.loop.After(&w.next, min(seconds(w.rng.ExpFloat64()/rate), time.Minute))
	} else {
		w.loop.After(&w.next, idleWait)
	}
}

func (w *LoadGenerator) arrive() {
	if w.stopped {
		return
	}
	if w.c.Rate(w.loop.Now()) <= 0 {
		w.wait()
		return
	}
	w.arrivals++
	t := w.c.Traffic
	x, class := w.rng.Float64(), 0
	for ; class < len(w.c.Classes)-1 && x >= w.c.Classes[class].Share; class++ {
		x -= w.c.Classes[class].Share
	}
	plant := sort.SearchFloat64s(w.plants, w.rng.Float64()*w.plants[len(w.plants)-1])
	c := &client{
		w: w, class: class, pos: len(w.clients), arrived: w.loop.Now(),
		group:     fmt.Sprintf("%s-%d", w.c.Site, plant),
		key:       fmt.Sprintf("%s%d", w.c.Site, w.arrivals),
		life:      seconds(w.rng.ExpFloat64() * t.MeanLife.Seconds() * w.c.Classes[class].LifeFactor),
		honours:   w.rng.Float64() < t.HonourFraction,
		impatient: w.rng.Float64() < t.ImpatientFraction,
	}
	c.pcg.Seed(w.c.Seed, w.rng.Uint64())
	c.timer.Fire = c.due
	w.clients = append(w.clients, c)
	w.ledger.Counts.Clients++
	c.connect()
	w.wait()
}

// Stop ends the arrivals.
func (w *LoadGenerator) Stop() {
	w.stopped = true
	w.loop.Disarm(&w.next)
}

// SetEarlyLeaveFraction has a part of the clients leave while they wait for their answer, 0 to 1: soon, as somebody who changed his mind. They
// come again like others that got none.
func (w *LoadGenerator) SetEarlyLeaveFraction(part float64) { w.leaving = part }

// leaveMost is when such a client is gone at the latest.
const leaveMost = 400 * time.Millisecond

// Finish takes all that clients still want into the ledger, and lets them go.
func (w *LoadGenerator) Finish() {
	w.Stop()
	for len(w.clients) > 0 {
		c := w.clients[len(w.clients)-1]
		c.settle()
		c.hangUp()
		c.leave()
	}
}

type clientState uint8

const (
	clientResting clientState = iota
	clientDialing
	clientAsking
	clientUp
	clientEnding // it has ended its sending
	clientGone
)

// client wants one connection for as long as its life, and comes again until it has had it.
type client struct {
	w         *LoadGenerator
	class     int
	group     string
	key       string
	life      time.Duration // still to be had
	arrived   time.Time
	honours   bool
	impatient bool
	again     bool
	pos       int
	pcg       rand.PCG

	state    clientState
	sock     *poll.Socket
	proxy    netip.AddrPort
	timer    poll.Timer
	rest     []byte
	conns    int
	fails    int
	asked    time.Time // its first line
	leaves   bool      // it leaves before its answer, by the timer
	up       time.Time // that its connection stands since
	interval time.Time // its last line
	good     bool      // that was answered in time
	sent     []time.Time
	moved    bool
}

func (c *client) draw() float64 { return rand.New(&c.pcg).Float64() }

// dialWait is how long a client waits for a proxy's machine.
const dialWait = time.Second

func (c *client) connect() {
	w := c.w
	at, ok := w.front.Pick()
	if !ok {
		w.ledger.Counts.ConnectFailures++
		c.retry(0)
		return
	}
	sock, err := w.loop.Dial(at, c)
	if err != nil {
		w.ledger.Counts.ConnectFailures++
		c.retry(0)
		return
	}
	c.sock, c.proxy, c.state = sock, at, clientDialing
	w.loop.After(&c.timer, dialWait)
}

func (c *client) hangUp() {
	if c.sock != nil {
		c.sock.Close()
		c.sock = nil
	}
	c.rest, c.sent = nil, nil
	c.w.loop.Disarm(&c.timer)
}

// retry has the client come again later; advice is what it was told, 0 if nothing.
func (c *client) retry(advice time.Duration) {
	c.hangUp()
	c.state = clientResting
	t := c.w.c.Traffic
	quick := t.QuickRetries + 1
	c.fails++
	var wait time.Duration
	if c.fails%quick != 0 {
		first := t.Backoff.From + time.Duration(float64(t.Backoff.To-t.Backoff.From)*c.draw())
		wait = first << min(c.fails%quick-1, 8)
	} else { // a whole try failed: it waits longer, the more have
		wait = time.Duration(float64(time.Second) * (1 + c.draw()) * float64(min(c.fails/quick, 4)))
	}
	if c.honours {
		wait = max(wait, advice)
	}
	if c.impatient {
		wait = min(wait, t.Backoff.From)
	}
	c.w.loop.After(&c.timer, wait)
}

// refail has a client come again whose request failed, if its effect may be repeated.
func (c *client) refail() {
	if c.w.c.Classes[c.class].SingleShot {
		c.settle()
		c.done()
		return
	}
	c.retry(0)
}

// comeBack has a client come again whose connection was moved or broke.
func (c *client) comeBack() {
	c.stand()
	c.hangUp()
	c.state, c.again, c.fails = clientResting, true, 0
	r := c.w.c.Traffic.ReconnectDelay
	c.w.loop.After(&c.timer, r.From+time.Duration(float64(r.To-r.From)*c.draw()))
}

// stand takes the standing connection's time up to now off what the client wants.
func (c *client) stand() {
	if c.up.IsZero() {
		return
	}
	now := c.w.loop.Now()
	c.count(now)
	c.life -= now.Sub(c.up)
	c.up = time.Time{}
}

// count takes the time since the last line into the ledger: it is well served if that line was answered in time.
func (c *client) count(now time.Time) {
	if c.good {
		c.w.ledger.serve(c.class, c.interval, now)
	}
	c.interval, c.good = now, false
}

// settle closes the client's account: all the time from its arrival on was wanted.
func (c *client) settle() {
	if c.state == clientEnding || c.state == clientGone {
		return // it was closed when the client had what it wanted
	}
	c.stand()
	c.w.ledger.want(c.class, c.arrived, c.w.loop.Now())
}

// leave takes the client off the list.
func (c *client) leave() {
	w := c.w
	c.state = clientGone
	last := len(w.clients) - 1
	w.clients[c.pos] = w.clients[last]
	w.clients[c.pos].pos = c.pos
	w.clients[last] = nil
	w.clients = w.clients[:last]
}

// due is called by the timer.
func (c *client) due() {
	w := c.w
	now := w.loop.Now()
	switch c.state {
	case clientResting:
		c.connect()
	case clientDialing:
		w.ledger.Counts.ConnectFailures++
		c.retry(0)
	case clientAsking:
		switch {
		case c.leaves && c.draw() < 0.5:
			c.sock.Reset()
			c.retry(0)
		case c.leaves:
			c.retry(0)
		default:
			w.ledger.Counts.Unanswered++
			c.refail()
		}
	case clientUp:
		if left := c.life - now.Sub(c.up); left <= 0 {
			c.finish()
			return
		}
		c.line()
	case clientEnding:
		c.done()
	}
}

// finish ends the sending: the client has had what it wanted.
func (c *client) finish() {
	c.settle()
	c.w.ledger.Counts.Completed++
	c.state = clientEnding
	c.sock.CloseWrite()
	c.w.loop.After(&c.timer, dialWait)
}

func (c *client) done() {
	c.hangUp()
	c.leave()
}

// line sends the next line.
func (c *client) line() {
	w := c.w
	now := w.loop.Now()
	c.count(now)
	if n, err := c.sock.Write(message); err != nil {
		w.ledger.Counts.Cut++
		c.comeBack()
		return
	} else if n == len(message) { // else it has no room: nothing is answered
		c.sent = append(c.sent, now)
	}
	w.loop.After(&c.timer, max(min(w.c.Traffic.MessageInterval, c.life-now.Sub(c.up)), time.Millisecond))
}

var message = []byte("reading 7.25 bar 81.3 C\r\n")

// Ready is called by the loop.
func (c *client) Ready(r poll.Ready) {
	w := c.w
	if c.state == clientDialing {
		if c.sock.DialError() != nil {
			w.ledger.Counts.ConnectFailures++
			c.retry(0)
			return
		}
		c.ask()
		return
	}
	if !r.Read {
		return
	}
	held := copy(w.scratch, c.rest)
	n, err := c.sock.Read(w.scratch[held:])
	if errors.Is(err, poll.ErrAgain) {
		return
	}
	if err != nil {
		c.ended()
		return
	}
	whole, rest, err := line.SplitComplete(w.scratch[:held+n])
	if err != nil {
		w.ledger.broken("line-too-long", "client %s got a line over the limit", c.key)
		c.ended()
		return
	}
	c.rest = append(c.rest[:0], rest...)
	for len(whole) > 0 && c.sock != nil {
		var first []byte
		first, whole = line.Next(whole)
		c.hear(line.TrimLineEnd(first))
	}
}

// patience is how much longer than it said a client waits, so that an answer which comes late is seen to be late.
const patience = 250 * time.Millisecond

func (c *client) ask() {
	w := c.w
	c.conns++
	class := &w.c.Classes[c.class]
	again := ""
	if c.again {
		again = ",again=1"
	}
	first := fmt.Appendf(nil, "OPEN %s.%d %s c=%s,d=%d,g=%s%s\r\n",
		c.key, c.conns, c.key, class.Name, class.AttemptTimeout.Milliseconds(), c.group, again)
	n, err := c.sock.Write(first)
	if err != nil || n < len(first) {
		w.ledger.Counts.ConnectFailures++
		c.retry(0)
		return
	}
	w.ledger.Counts.Requests++
	c.state, c.asked, c.moved = clientAsking, w.loop.Now(), false
	c.sock.Want(true, false)
	if c.leaves = w.leaving > 0 && c.draw() < w.leaving; c.leaves {
		w.loop.After(&c.timer, time.Duration(c.draw()*float64(min(leaveMost, class.AttemptTimeout))))
		return
	}
	w.loop.After(&c.timer, class.AttemptTimeout+patience)
}

func (c *client) hear(text []byte) {
	w := c.w
	now := w.loop.Now()
	if c.state == clientAsking {
		word, rest := line.ParseWord(text)
		switch word {
		case line.Up:
			w.ledger.Counts.Up++
			w.ledger.SetUp[c.class].add(now.Sub(c.asked))
			c.state, c.up, c.interval, c.good, c.fails = clientUp, now, now, false, 0
			c.line()
		case line.Busy:
			w.ledger.Counts.Refused++
			ms, _ := strconv.ParseInt(string(rest), 10, 64)
			c.retry(time.Duration(ms) * time.Millisecond)
		default:
			w.ledger.Counts.Failed++
			c.refail()
		}
		return
	}
	switch {
	case bytes.Equal(text, []byte("seen")):
		if len(c.sent) == 0 {
			return
		}
		took := now.Sub(c.sent[0])
		last := len(c.sent) == 1
		c.sent = c.sent[1:]
		w.ledger.Message[c.class].add(took)
		if last && took <= w.c.Classes[c.class].MessageTarget {
			c.good = true
		}
	case bytes.Equal(text, []byte("MOVE")):
		c.moved = true
		if c.state == clientUp {
			w.ledger.moved(now)
			c.comeBack()
		}
	}
}

// ended deals with a connection that the other side ended.
func (c *client) ended() {
	switch c.state {
	case clientAsking:
		c.w.ledger.Counts.Lost++
		c.refail()
	case clientUp:
		c.w.ledger.Counts.Cut++
		c.comeBack()
	case clientEnding:
		c.done()
	}
}
