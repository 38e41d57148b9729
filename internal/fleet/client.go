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

// LoadGeneratorConfig describes the clients of one site.
type LoadGeneratorConfig struct {
	Site    string
	Traffic Traffic
	Classes []Class
	Groups  int                         // number of client groups of the site
	Seed    uint64                      // of the random draws that each client makes itself
	Rate    func(now time.Time) float64 // new clients per second
}

// LoadGenerator creates the clients of one site. Arrival times and what each client wants are drawn
// independently of what happens to the clients, so that two runs with the same seed see the same
// clients whatever the proxies do.
type LoadGenerator struct {
	config                LoadGeneratorConfig
	loop                  *poll.Loop
	front                 *FrontBalancer
	ledger                *Ledger
	rng                   *rand.Rand // draws the arrivals
	cumulativeGroupShares []float64  // running sums of the groups' weights
	clients               []*client
	arrivalTimer          poll.Timer
	stopped               bool
	earlyLeaveFraction    float64 // see SetEarlyLeaveFraction
	arrivals              int
	scratch               []byte
}

// NewLoadGenerator returns a generator whose clients start to arrive.
func NewLoadGenerator(loop *poll.Loop, c LoadGeneratorConfig, front *FrontBalancer, rng *rand.Rand, ledger *Ledger) *LoadGenerator {
	g := &LoadGenerator{config: c, loop: loop, front: front, ledger: ledger, rng: rng, scratch: make([]byte, 16<<10)}
	sum := 0.0
	for i := range max(c.Groups, 1) { // group sizes follow Zipf's law
		sum += 1 / math.Pow(float64(i+1), 0.95)
		g.cumulativeGroupShares = append(g.cumulativeGroupShares, sum)
	}
	g.arrivalTimer.Fire = g.arrive
	g.scheduleArrival()
	return g
}

// Open returns the number of clients that have not left yet.
func (g *LoadGenerator) Open() int { return len(g.clients) }

// zeroRatePoll is the interval at which the arrival rate is read again while it is zero.
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
	share, class := g.rng.Float64(), 0
	for ; class < len(g.config.Classes)-1 && share >= g.config.Classes[class].Share; class++ {
		share -= g.config.Classes[class].Share
	}
	group := sort.SearchFloat64s(g.cumulativeGroupShares, g.rng.Float64()*g.cumulativeGroupShares[len(g.cumulativeGroupShares)-1])
	g.addClient(class, fmt.Sprintf("%s-%d", g.config.Site, group), g.rng)
	g.scheduleArrival()
}

// addClient adds a client that connects now. What it wants is drawn from rng.
func (g *LoadGenerator) addClient(class int, group string, rng *rand.Rand) {
	g.addHeldClient(class, group, "", rng)
}

// addHeldClient adds a client that connects now and whose connection a relay has held since before
// the day; an empty name means none.
func (g *LoadGenerator) addHeldClient(class int, group, heldBy string, rng *rand.Rand) {
	g.arrivals++
	t := g.config.Traffic
	c := &client{
		generator: g, class: class, index: len(g.clients), arrived: g.loop.Now(),
		group: group, heldBy: heldBy,
		key:           fmt.Sprintf("%s%d", g.config.Site, g.arrivals),
		remaining:     seconds(rng.ExpFloat64() * t.MeanLife.Seconds() * g.config.Classes[class].LifeFactor),
		honoursAdvice: rng.Float64() < t.HonourFraction,
		impatient:     rng.Float64() < t.ImpatientFraction,
	}
	c.pcg.Seed(g.config.Seed, rng.Uint64())
	c.timer.Fire = c.onTimer
	g.clients = append(g.clients, c)
	g.ledger.Counts.Clients++
	c.connect()
}

// StartGroup adds a group of the given name whose clients, all new and of the first class, connect
// evenly within a time, as the controllers of a plant do when it is switched on. What they want is
// drawn from rng.
func (g *LoadGenerator) StartGroup(group string, clients int, within time.Duration, rng *rand.Rand) {
	var timer poll.Timer
	left := clients
	timer.Fire = func() {
		if g.stopped {
			return
		}
		g.addClient(0, group, rng)
		if left--; left > 0 {
			g.loop.After(&timer, within/time.Duration(clients))
		}
	}
	g.loop.After(&timer, 0)
}

// Stop ends the arrivals. Clients that have arrived stay.
func (g *LoadGenerator) Stop() {
	g.stopped = true
	g.loop.Disarm(&g.arrivalTimer)
}

// SetEarlyLeaveFraction sets the fraction of requests, 0 to 1, that a client abandons shortly after
// sending them, before their answer. Such a client retries like one that got no answer.
func (g *LoadGenerator) SetEarlyLeaveFraction(fraction float64) { g.earlyLeaveFraction = fraction }

// maxEarlyLeaveDelay is the longest time for which a client that abandons its request waits.
const maxEarlyLeaveDelay = 400 * time.Millisecond

// Finish stops the arrivals, records in the ledger all the time that clients still want, and closes
// their connections.
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
	clientClosing // it has ended its sending direction
	clientGone
)

// client wants one connection for a total time and reconnects until it has had that much of it.
type client struct {
	generator     *LoadGenerator
	class         int
	group         string
	key           string
	remaining     time.Duration // connected time that it still wants
	arrived       time.Time
	honoursAdvice bool
	impatient     bool
	reconnecting  bool
	heldBy        string // relay that holds its connection since before the day; empty: none
	index         int
	pcg           rand.PCG

	state          clientState
	sock           *poll.Socket
	proxy          netip.AddrPort
	timer          poll.Timer
	partialLine    []byte
	attempts       int
	failures       int
	requestedAt    time.Time // when it sent its OPEN line
	leavesEarly    bool      // it abandons the request when the timer fires
	connectedAt    time.Time // when the current connection was established; zero: none
	intervalStart  time.Time // when it sent its last message
	answeredInTime bool      // the last message was answered in time and none is outstanding
	sentTimes      []time.Time
	moveReceived   bool
}

func (c *client) random() float64 { return rand.New(&c.pcg).Float64() }

// dialTimeout bounds the time that a client waits for a proxy to accept its connection, and for the
// proxy to close a connection that the client has finished with.
const dialTimeout = time.Second

func (c *client) connect() {
	g := c.generator
	proxy, ok := g.front.Pick()
	if !ok {
		g.ledger.Counts.ConnectFailures++
		c.retry(0)
		return
	}
	sock, err := g.loop.Dial(proxy, c)
	if err != nil {
		g.ledger.Counts.ConnectFailures++
		c.retry(0)
		return
	}
	c.sock, c.proxy, c.state = sock, proxy, clientDialing
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

// retry schedules the next attempt. Advice is the delay that the proxy asked for, 0 if it asked for
// none.
func (c *client) retry(advice time.Duration) {
	c.closeSocket()
	c.state = clientWaiting
	t := c.generator.config.Traffic
	attemptsPerRound := t.QuickRetries + 1
	c.failures++
	if c.heldBy != "" && c.attempts >= attemptsPerRound {
		c.reportStandingLost()
		return
	}
	var wait time.Duration
	if c.failures%attemptsPerRound != 0 {
		first := t.Backoff.From + time.Duration(float64(t.Backoff.To-t.Backoff.From)*c.random())
		wait = first << min(c.failures%attemptsPerRound-1, 8)
	} else { // all quick retries failed: wait longer with each such round, up to the fourth
		wait = time.Duration(float64(time.Second) * (1 + c.random()) * float64(min(c.failures/attemptsPerRound, 4)))
	}
	if c.honoursAdvice {
		wait = max(wait, advice)
	}
	if c.impatient {
		wait = min(wait, t.Backoff.From)
	}
	c.generator.loop.After(&c.timer, wait)
}

// retryFailedRequest retries a request that failed, unless its class is SingleShot: then the client
// leaves.
func (c *client) retryFailedRequest() {
	if c.generator.config.Classes[c.class].SingleShot {
		c.recordWanted()
		c.closeAndRemove()
		return
	}
	c.retry(0)
}

// reconnect schedules a new connection after one that was moved or broke.
func (c *client) reconnect() {
	c.deductConnectedTime()
	c.closeSocket()
	c.state, c.reconnecting, c.failures = clientWaiting, true, 0
	r := c.generator.config.Traffic.ReconnectDelay
	c.generator.loop.After(&c.timer, r.From+time.Duration(float64(r.To-r.From)*c.random()))
}

// deductConnectedTime subtracts the time of the current connection up to now from the time that the
// client still wants.
func (c *client) deductConnectedTime() {
	if c.connectedAt.IsZero() {
		return
	}
	now := c.generator.loop.Now()
	c.recordInterval(now)
	c.remaining -= now.Sub(c.connectedAt)
	c.connectedAt = time.Time{}
}

// recordInterval records the time since the last message in the ledger, as served if that message
// was answered in time.
func (c *client) recordInterval(now time.Time) {
	if c.answeredInTime {
		c.generator.ledger.addServed(c.class, c.intervalStart, now)
	}
	c.intervalStart, c.answeredInTime = now, false
}

// recordWanted records in the ledger that the client wanted service from its arrival until now.
func (c *client) recordWanted() {
	if c.state == clientClosing || c.state == clientGone {
		return // it was recorded when the client had all the connected time that it wanted
	}
	c.deductConnectedTime()
	c.generator.ledger.addWanted(c.class, c.arrived, c.generator.loop.Now())
}

// remove takes the client off the generator's list.
func (c *client) remove() {
	g := c.generator
	c.state = clientGone
	last := len(g.clients) - 1
	g.clients[c.index] = g.clients[last]
	g.clients[c.index].index = c.index
	g.clients[last] = nil
	g.clients = g.clients[:last]
}

// onTimer handles the client's timer, whose meaning depends on the state.
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

// finish ends the sending direction once the client has had all the connected time that it wanted.
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

// sendMessage sends the next message.
func (c *client) sendMessage() {
	g := c.generator
	now := g.loop.Now()
	c.recordInterval(now)
	if n, err := c.sock.Write(message); err != nil {
		g.ledger.Counts.Cut++
		c.reconnect()
		return
	} else if n == len(message) { // a message that does not fit gets no answer
		c.sentTimes = append(c.sentTimes, now)
	}
	g.loop.After(&c.timer, max(min(g.config.Traffic.MessageInterval, c.remaining-now.Sub(c.connectedAt)), time.Millisecond))
}

var message = []byte("reading 7.25 bar 81.3 C\r\n")

// Ready handles readiness of the client's socket.
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
	lines, rest, err := line.SplitComplete(g.scratch[:held+n])
	if err != nil {
		g.ledger.reportViolation("line-too-long", "client %s received a line longer than the limit", c.key)
		c.handleClosed()
		return
	}
	c.partialLine = append(c.partialLine[:0], rest...)
	for len(lines) > 0 && c.sock != nil {
		var first []byte
		first, lines = line.Next(lines)
		c.handleLine(line.TrimLineEnd(first))
	}
}

// answerGrace is how much longer than its announced deadline a client waits, so that a late answer
// is recorded as late.
const answerGrace = 250 * time.Millisecond

func (c *client) sendRequest() {
	g := c.generator
	c.attempts++
	class := &g.config.Classes[c.class]
	timeout, more := class.AttemptTimeout, ""
	if c.reconnecting {
		more = ",again=1"
	}
	if c.heldBy != "" {
		timeout, more = c.arrived.Add(MaxStandingWait).Sub(g.loop.Now()), ",at="+c.heldBy
	}
	openLine := fmt.Appendf(nil, "OPEN %s.%d %s c=%s,d=%d,g=%s%s\r\n",
		c.key, c.attempts, c.key, class.Name, timeout.Milliseconds(), c.group, more)
	n, err := c.sock.Write(openLine)
	if err != nil || n < len(openLine) {
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
	g.loop.After(&c.timer, timeout+answerGrace)
}

func (c *client) handleLine(text []byte) {
	g := c.generator
	now := g.loop.Now()
	if c.state == clientRequesting {
		word, rest := line.ParseWord(text)
		switch word {
		case line.Up:
			g.ledger.Counts.Up++
			c.markStandingUp()
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
		latency := now.Sub(c.sentTimes[0])
		last := len(c.sentTimes) == 1
		c.sentTimes = c.sentTimes[1:]
		g.ledger.Message[c.class].add(latency)
		if last && latency <= g.config.Classes[c.class].MessageTarget {
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

// handleClosed handles a connection that the other side has closed.
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
