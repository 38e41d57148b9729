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
	config                LoadGeneratorConfig
	loop                  *poll.Loop
	front                 *FrontBalancer
	ledger                *Ledger
	rng                   *rand.Rand // arrivals
	cumulativeGroupShares []float64  // running sums of the groups' shares
	clients               []*client
	arrivalTimer          poll.Timer
	stopped               bool
	earlyLeaveFraction    float64 // see Leaving
	arrivals              int
	scratch               []byte
}

// NewLoadGenerator starts the clients' arrivals.
func NewLoadGenerator(loop *poll.Loop, c LoadGeneratorConfig, front *FrontBalancer, rng *rand.Rand, ledger *Ledger) *LoadGenerator {
	g := &LoadGenerator{config: c, loop: loop, front: front, ledger: ledger, rng: rng, scratch: make([]byte, 16<<10)}
	sum := 0.0
	for i := range max(c.Groups, 1) { // plants differ in size, by Zipf's law
		sum += 1 / math.Pow(float64(i+1), 0.95)
		g.cumulativeGroupShares = append(g.cumulativeGroupShares, sum)
	}
	g.arrivalTimer.Fire = g.arrive
	g.scheduleArrival()
	return g
}

// Open tells how many clients are there that still want something.
func (g *LoadGenerator) Open() int { return len(g.clients) }

// zeroRatePoll is how often a rate of nothing is looked at again.
const zeroRatePoll = 100 * time.Millisecond

func (g *LoadGenerator) scheduleArrival() {
	if rate := g.config.Rate(g.loop.Now()); rate > 0 {
		g.loop.After(&g.arrivalTimer, min(seconds(g.rng.ExpFloat64()/rate), time.Minute))
	} else {
		g.loop.After(&g.arrivalTimer, zeroRatePoll)
	}
}

func (g *LoadGenerator) arrive() {
	if g.stopped {
		return
	}
	if g.config.Rate(g.loop.Now()) <= 0 {
		g.scheduleArrival()
		return
	}
	g.arrivals++
	t := g.config.Traffic
	x, class := g.rng.Float64(), 0
	for ; class < len(g.config.Classes)-1 && x >= g.config.Classes[class].Share; class++ {
		x -= g.config.Classes[class].Share
	}
	plant := sort.SearchFloat64s(g.cumulativeGroupShares, g.rng.Float64()*g.cumulativeGroupShares[len(g.cumulativeGroupShares)-1])
	c := &client{
		generator: g, class: class, index: len(g.clients), arrived: g.loop.Now(),
		group:         fmt.Sprintf("%s-%d", g.config.Site, plant),
		key:           fmt.Sprintf("%s%d", g.config.Site, g.arrivals),
		remaining:     seconds(g.rng.ExpFloat64() * t.MeanLife.Seconds() * g.config.Classes[class].LifeFactor),
		honoursAdvice: g.rng.Float64() < t.HonourFraction,
		impatient:     g.rng.Float64() < t.ImpatientFraction,
	}
	c.pcg.Seed(g.config.Seed, g.rng.Uint64())
	c.timer.Fire = c.onTimer
	g.clients = append(g.clients, c)
	g.ledger.Counts.Clients++
	c.connect()
	g.scheduleArrival()
}

// Stop ends the arrivals.
func (g *LoadGenerator) Stop() {
	g.stopped = true
	g.loop.Disarm(&g.arrivalTimer)
}

// SetEarlyLeaveFraction has a part of the clients leave while they wait for their answer, 0 to 1: soon, as somebody who changed his mind. They
// come again like others that got none.
func (g *LoadGenerator) SetEarlyLeaveFraction(part float64) { g.earlyLeaveFraction = part }

// maxEarlyLeaveDelay is when such a client is gone at the latest.
const maxEarlyLeaveDelay = 400 * time.Millisecond

// Finish takes all that clients still want into the ledger, and lets them go.
func (g *LoadGenerator) Finish() {
	g.Stop()
	for len(g.clients) > 0 {
		c := g.clients[len(g.clients)-1]
		c.recordWanted()
		c.closeSocket()
		c.remove()
	}
}

type clientState uint8

const (
	clientWaiting clientState = iota
	clientDialing
	clientRequesting
	clientConnected
	clientClosing // it has ended its sending
	clientGone
)

// client wants one connection for as long as its life, and comes again until it has had it.
type client struct {
	generator     *LoadGenerator
	class         int
	group         string
	key           string
	remaining     time.Duration // still to be had
	arrived       time.Time
	honoursAdvice bool
	impatient     bool
	reconnecting  bool
	index         int
	pcg           rand.PCG

	state          clientState
	sock           *poll.Socket
	proxy          netip.AddrPort
	timer          poll.Timer
	partialLine    []byte
	attempts       int
	failures       int
	requestedAt    time.Time // its first line
	leavesEarly    bool      // it leaves before its answer, by the timer
	connectedAt    time.Time // that its connection stands since
	intervalStart  time.Time // its last line
	answeredInTime bool      // that was answered in time
	sentTimes      []time.Time
	moveReceived   bool
}

func (c *client) random() float64 { return rand.New(&c.pcg).Float64() }

// dialTimeout is how long a client waits for a proxy's machine.
const dialTimeout = time.Second

func (c *client) connect() {
	g := c.generator
	at, ok := g.front.Pick()
	if !ok {
		g.ledger.Counts.ConnectFailures++
		c.retry(0)
		return
	}
	sock, err := g.loop.Dial(at, c)
	if err != nil {
		g.ledger.Counts.ConnectFailures++
		c.retry(0)
		return
	}
	c.sock, c.proxy, c.state = sock, at, clientDialing
	g.loop.After(&c.timer, dialTimeout)
}

func (c *client) closeSocket() {
	if c.sock != nil {
		c.sock.Close()
		c.sock = nil
	}
	c.partialLine, c.sentTimes = nil, nil
	c.generator.loop.Disarm(&c.timer)
}

// retry has the client come again later; advice is what it was told, 0 if nothing.
func (c *client) retry(advice time.Duration) {
	c.closeSocket()
	c.state = clientWaiting
	t := c.generator.config.Traffic
	quick := t.QuickRetries + 1
	c.failures++
	var wait time.Duration
	if c.failures%quick != 0 {
		first := t.Backoff.From + time.Duration(float64(t.Backoff.To-t.Backoff.From)*c.random())
		wait = first << min(c.failures%quick-1, 8)
	} else { // a whole try failed: it waits longer, the more have
		wait = time.Duration(float64(time.Second) * (1 + c.random()) * float64(min(c.failures/quick, 4)))
	}
	if c.honoursAdvice {
		wait = max(wait, advice)
	}
	if c.impatient {
		wait = min(wait, t.Backoff.From)
	}
	c.generator.loop.After(&c.timer, wait)
}

// retryFailedRequest has a client come again whose request failed, if its effect may be repeated.
func (c *client) retryFailedRequest() {
	if c.generator.config.Classes[c.class].SingleShot {
		c.recordWanted()
		c.closeAndRemove()
		return
	}
	c.retry(0)
}

// reconnect has a client come again whose connection was moved or broke.
func (c *client) reconnect() {
	c.deductConnectedTime()
	c.closeSocket()
	c.state, c.reconnecting, c.failures = clientWaiting, true, 0
	r := c.generator.config.Traffic.ReconnectDelay
	c.generator.loop.After(&c.timer, r.From+time.Duration(float64(r.To-r.From)*c.random()))
}

// deductConnectedTime takes the standing connection's time up to now off what the client wants.
func (c *client) deductConnectedTime() {
	if c.connectedAt.IsZero() {
		return
	}
	now := c.generator.loop.Now()
	c.recordInterval(now)
	c.remaining -= now.Sub(c.connectedAt)
	c.connectedAt = time.Time{}
}

// recordInterval takes the time since the last line into the ledger: it is well served if that line was answered in time.
func (c *client) recordInterval(now time.Time) {
	if c.answeredInTime {
		c.generator.ledger.addServed(c.class, c.intervalStart, now)
	}
	c.intervalStart, c.answeredInTime = now, false
}

// recordWanted closes the client's account: all the time from its arrival on was wanted.
func (c *client) recordWanted() {
	if c.state == clientClosing || c.state == clientGone {
		return // it was closed when the client had what it wanted
	}
	c.deductConnectedTime()
	c.generator.ledger.addWanted(c.class, c.arrived, c.generator.loop.Now())
}

// remove takes the client off the list.
func (c *client) remove() {
	g := c.generator
	c.state = clientGone
	last := len(g.clients) - 1
	g.clients[c.index] = g.clients[last]
	g.clients[c.index].index = c.index
	g.clients[last] = nil
	g.clients = g.clients[:last]
}

// onTimer is called by the timer.
func (c *client) onTimer() {
	g := c.generator
	now := g.loop.Now()
	switch c.state {
	case clientWaiting:
		c.connect()
	case clientDialing:
		g.ledger.Counts.ConnectFailures++
		c.retry(0)
	case clientRequesting:
		switch {
		case c.leavesEarly && c.random() < 0.5:
			c.sock.Reset()
			c.retry(0)
		case c.leavesEarly:
			c.retry(0)
		default:
			g.ledger.Counts.Unanswered++
			c.retryFailedRequest()
		}
	case clientConnected:
		if left := c.remaining - now.Sub(c.connectedAt); left <= 0 {
			c.finish()
			return
		}
		c.sendMessage()
	case clientClosing:
		c.closeAndRemove()
	}
}

// finish ends the sending: the client has had what it wanted.
func (c *client) finish() {
	c.recordWanted()
	c.generator.ledger.Counts.Completed++
	c.state = clientClosing
	c.sock.CloseWrite()
	c.generator.loop.After(&c.timer, dialTimeout)
}

func (c *client) closeAndRemove() {
	c.closeSocket()
	c.remove()
}

// sendMessage sends the next sendMessage.
func (c *client) sendMessage() {
	g := c.generator
	now := g.loop.Now()
	c.recordInterval(now)
	if n, err := c.sock.Write(message); err != nil {
		g.ledger.Counts.Cut++
		c.reconnect()
		return
	} else if n == len(message) { // else it has no room: nothing is answered
		c.sentTimes = append(c.sentTimes, now)
	}
	g.loop.After(&c.timer, max(min(g.config.Traffic.MessageInterval, c.remaining-now.Sub(c.connectedAt)), time.Millisecond))
}

var message = []byte("reading 7.25 bar 81.3 C\r\n")

// Ready is called by the loop.
func (c *client) Ready(r poll.Ready) {
	g := c.generator
	if c.state == clientDialing {
		if c.sock.DialError() != nil {
			g.ledger.Counts.ConnectFailures++
			c.retry(0)
			return
		}
		c.sendRequest()
		return
	}
	if !r.Read {
		return
	}
	held := copy(g.scratch, c.partialLine)
	n, err := c.sock.Read(g.scratch[held:])
	if errors.Is(err, poll.ErrAgain) {
		return
	}
	if err != nil {
		c.handleClosed()
		return
	}
	whole, rest, err := line.SplitComplete(g.scratch[:held+n])
	if err != nil {
		g.ledger.reportViolation("line-too-long", "client %s got a line over the limit", c.key)
		c.handleClosed()
		return
	}
	c.partialLine = append(c.partialLine[:0], rest...)
	for len(whole) > 0 && c.sock != nil {
		var first []byte
		first, whole = line.Next(whole)
		c.handleLine(line.TrimLineEnd(first))
	}
}

// answerGrace is how much longer than it said a client waits, so that an answer which comes late is seen to be late.
const answerGrace = 250 * time.Millisecond

func (c *client) sendRequest() {
	g := c.generator
	c.attempts++
	class := &g.config.Classes[c.class]
	again := ""
	if c.reconnecting {
		again = ",again=1"
	}
	first := fmt.Appendf(nil, "OPEN %s.%d %s c=%s,d=%d,g=%s%s\r\n",
		c.key, c.attempts, c.key, class.Name, class.AttemptTimeout.Milliseconds(), c.group, again)
	n, err := c.sock.Write(first)
	if err != nil || n < len(first) {
		g.ledger.Counts.ConnectFailures++
		c.retry(0)
		return
	}
	g.ledger.Counts.Requests++
	c.state, c.requestedAt, c.moveReceived = clientRequesting, g.loop.Now(), false
	c.sock.Want(true, false)
	if c.leavesEarly = g.earlyLeaveFraction > 0 && c.random() < g.earlyLeaveFraction; c.leavesEarly {
		g.loop.After(&c.timer, time.Duration(c.random()*float64(min(maxEarlyLeaveDelay, class.AttemptTimeout))))
		return
	}
	g.loop.After(&c.timer, class.AttemptTimeout+answerGrace)
}

func (c *client) handleLine(text []byte) {
	g := c.generator
	now := g.loop.Now()
	if c.state == clientRequesting {
		word, rest := line.ParseWord(text)
		switch word {
		case line.Up:
			g.ledger.Counts.Up++
			g.ledger.SetUp[c.class].add(now.Sub(c.requestedAt))
			c.state, c.connectedAt, c.intervalStart, c.answeredInTime, c.failures = clientConnected, now, now, false, 0
			c.sendMessage()
		case line.Busy:
			g.ledger.Counts.Refused++
			ms, _ := strconv.ParseInt(string(rest), 10, 64)
			c.retry(time.Duration(ms) * time.Millisecond)
		default:
			g.ledger.Counts.Failed++
			c.retryFailedRequest()
		}
		return
	}
	switch {
	case bytes.Equal(text, []byte("seen")):
		if len(c.sentTimes) == 0 {
			return
		}
		took := now.Sub(c.sentTimes[0])
		last := len(c.sentTimes) == 1
		c.sentTimes = c.sentTimes[1:]
		g.ledger.Message[c.class].add(took)
		if last && took <= g.config.Classes[c.class].MessageTarget {
			c.answeredInTime = true
		}
	case bytes.Equal(text, []byte("MOVE")):
		c.moveReceived = true
		if c.state == clientConnected {
			g.ledger.addMove(now)
			c.reconnect()
		}
	}
}

// handleClosed deals with a connection that the other side handleClosed.
func (c *client) handleClosed() {
	switch c.state {
	case clientRequesting:
		c.generator.ledger.Counts.Lost++
		c.retryFailedRequest()
	case clientConnected:
		c.generator.ledger.Counts.Cut++
		c.reconnect()
	case clientClosing:
		c.closeAndRemove()
	}
}
