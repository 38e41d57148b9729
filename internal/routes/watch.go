package routes

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

const (
	// answerGrace is how long after the end of its wait an open watch is given up. A change that it
	// should have delivered counts as delivered 2 s after the end of the wait, and a new watch has
	// to be answered by then.
	answerGrace = 800 * time.Millisecond
	// openingWait is the wait of the request that opens a watch. Its answer proves at once that
	// discovery is reachable and brings all missed changes. It costs discovery one request, whereas
	// a whole list followed by a watch costs two.
	openingWait = 50 * time.Millisecond
	// leaderWait is the wait of a watch on behalf of other processes, which depend on how recently
	// discovery has answered it.
	leaderWait = 2 * time.Second
	// dialTimeout bounds the time until a connection is established, openingGrace the time until
	// the request that opens a watch is answered. A connection that takes 1 s to establish, an
	// unanswered request and another such connection take 3.3 s together.
	dialTimeout  = 1200 * time.Millisecond
	openingGrace = 1200 * time.Millisecond
	// queueGrace replaces openingGrace where a request may wait in discovery's queue: for the first
	// request of a process, after a refusal, and after a second failure. A request that is given up
	// while it waits there has taken its place in the queue for nothing.
	queueGrace = 3 * time.Second
	// pushedDialTimeout replaces dialTimeout where lists are pushed. There, what discovery has
	// counts as delivered whether or not it was asked, and the rules allow 0.5 s, so that attempts
	// are made at short intervals; requests of other processes do not compete. One attempt and one
	// pause take at most 0.45 s.
	pushedDialTimeout = 300 * time.Millisecond
	// localFailureRetryMean is the mean pause after a request that this machine could not start for
	// lack of memory, a port or a route. Such failures are short, and the lease of the list
	// continues meanwhile. After maxLocalFailureRetries of them in a row the usual pauses apply.
	localFailureRetryMean  = 50 * time.Millisecond
	maxLocalFailureRetries = 20
	// shortRetryPeriod is how long after a change of discovery's address the pauses between
	// attempts do not grow: 4 s after the change all that the new address has counts as delivered,
	// whether or not it was reached.
	shortRetryPeriod = 4 * time.Second
)

// NoVersion is the version of a list that is not known yet: the whole list is requested.
const NoVersion = -1

// Watch follows the changes of discovery's list with a long-polling watch: the next request follows
// each answer at once, on the same connection if that stays open. Discovery treats such a request
// as part of the same watch, which costs it next to nothing, whereas a newly opened watch takes its
// turn in the queue of the requests of all processes. The Watch owns its connection, its timer and
// its buffers.
type Watch struct {
	loop             *poll.Loop
	addr             netip.AddrPort
	pacer            requestPacer
	lease            Lease
	seq              int64 // version of the last list, or NoVersion
	onResult         func(*List, error)
	socket           *poll.Socket
	timer            poll.Timer
	writeBuffer      []byte
	readBuffer       []byte
	state            watchState
	nextRequestAt    time.Time // time of the next request, in watchWaiting
	established      bool      // the last request was answered: the next continues the watch
	reused           bool      // the connection has carried an answered request
	failures         int       // consecutive failed requests; 0 after an answer
	mayQueue         bool      // others may ask too: no request answered yet, or the last refused
	shortRetryUntil  time.Time // pauses do not grow before this time
	pushed           bool      // lists are pushed: a change counts as delivered at once
	requestCount     *int      // number of requests; owned by the caller
	policy           QueryPolicy
	expedited        bool // the next request is made whatever the policy says
	deferredByPolicy bool // the next request was deferred by the policy
}

// WatchConfig configures a Watch.
type WatchConfig struct {
	Loop      *poll.Loop
	Addr      netip.AddrPort
	Seq       int64         // version to continue from, or NoVersion
	Processes int           // that share discovery; a small fleet does not spread first requests
	AskWithin time.Duration // longest time between two requests by the settings; 0: none given
	Pushed    bool          // what discovery has counts as delivered whether or not a watch is open
	Rand      *rand.Rand
	Requests  *int               // incremented with each request
	OnResult  func(*List, error) // receives each list, or the error of a failed request
}

// QueryPolicy decides how a watch asks discovery where another process may ask in its place. If
// lead is true, it watches without a pause, on behalf of the others. Otherwise it need not ask
// before deferUntil, and makes its first request at a random time within spread after that.
type QueryPolicy func() (lead bool, deferUntil time.Time, spread time.Duration)

type watchState uint8

const (
	watchOff watchState = iota
	watchDialing
	watchRequesting
	watchWaiting // until the next request
)

// ErrBusy reports a request that discovery answered with status 503: the request waited there for
// too long, or discovery is down.
var ErrBusy = errors.New("status 503")

var (
	errNoAnswer  = errors.New("no answer in time")
	errTruncated = errors.New("connection closed before the answer was complete")
)

var errVersionWentBack = errors.New("list version went back")

// NewWatch returns a Watch that makes no request before Start.
func NewWatch(c WatchConfig) *Watch {
	w := &Watch{
		loop: c.Loop, addr: c.Addr, seq: c.Seq, pushed: c.Pushed, requestCount: c.Requests, onResult: c.OnResult, mayQueue: !c.Pushed,
		pacer: newRequestPacer(c.Processes, c.AskWithin, c.Rand), lease: NewLease(c.Loop.Now(), c.Pushed),
	}
	w.timer.Fire = w.onTimer
	return w
}

// Start makes a request unless one is in progress or scheduled. The first request is delayed at
// random where many processes share discovery and this one already has a list, as all of them may
// have started together.
func (w *Watch) Start() {
	if w.state != watchOff {
		return
	}
	if pause := w.pacer.startDelay(); pause > 0 && w.seq != NoVersion && !w.pushed {
		w.scheduleRequest(pause)
		return
	}
	w.startRequest()
}

// LeaseExpiry returns the time from which a change that this process does not know may count as
// delivered to it, as far as its own requests go. ok is false if the watch was never started.
func (w *Watch) LeaseExpiry() (at time.Time, ok bool) { return w.lease.Expiry(), w.state != watchOff }

// Expedite brings the next request forward because client requests wait for its answer.
func (w *Watch) Expedite() {
	if w.state == watchWaiting && w.nextRequestAt.Sub(w.loop.Now()) > busyRetryMean {
		w.deferredByPolicy, w.expedited = false, true
		w.scheduleRequest(w.pacer.jitter(busyRetryMean / 2))
	}
}

// SetQueryPolicy sets the policy that is evaluated before each request; nil means none.
func (w *Watch) SetQueryPolicy(policy QueryPolicy) { w.policy = policy }

// ReevaluatePolicy evaluates the policy at once and makes a request if this process leads now.
func (w *Watch) ReevaluatePolicy() {
	if lead, _, _ := w.evaluatePolicy(); lead && w.state == watchWaiting {
		w.deferredByPolicy = false
		w.startRequest()
	}
}

// RefetchSoon schedules a request for the whole list at a random time within 1 s, because a list
// that another process passed on was not sufficient.
func (w *Watch) RefetchSoon() {
	if w.state == watchWaiting && !w.expedited {
		w.deferredByPolicy, w.expedited = false, true
		w.seq = NoVersion
		w.scheduleRequest(time.Duration(w.pacer.rng.Float64() * float64(time.Second)))
	}
}

func (w *Watch) evaluatePolicy() (lead bool, deferUntil time.Time, spread time.Duration) {
	if w.policy == nil {
		return false, time.Time{}, 0
	}
	return w.policy()
}

// isLeader reports whether the watch asks on behalf of other processes.
func (w *Watch) isLeader() bool {
	lead, _, _ := w.evaluatePolicy()
	return lead
}

// scheduleRequest schedules the next request after a pause.
func (w *Watch) scheduleRequest(d time.Duration) {
	w.state = watchWaiting
	w.nextRequestAt = w.loop.Now().Add(d)
	w.loop.Arm(&w.timer, w.nextRequestAt)
}

// SetAddr changes the address of discovery at once. The connection to the old address is closed,
// and a partly received answer is discarded. The versions of the new address need not continue
// those of the old one, so that the whole list is requested first. If the address is unchanged, a
// scheduled request is made at once.
func (w *Watch) SetAddr(to netip.AddrPort) {
	w.shortRetryUntil, w.failures = w.loop.Now().Add(shortRetryPeriod), 0
	if to != w.addr {
		w.closeConnection()
		w.addr, w.seq, w.established = to, NoVersion, false
	} else if w.state != watchWaiting {
		return
	}
	if w.state != watchOff {
		w.startRequest()
	}
}

// SocketCount returns the number of sockets that the watch has open.
func (w *Watch) SocketCount() int {
	if w.socket == nil {
		return 0
	}
	return 1
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.closeConnection()
	w.loop.Disarm(&w.timer)
	w.state = watchOff
}

func (w *Watch) closeConnection() {
	if w.socket != nil {
		w.socket.Close()
		w.socket = nil
	}
	w.readBuffer, w.writeBuffer, w.reused = w.readBuffer[:0], w.writeBuffer[:0], false
	w.lease.Failed()
}

func (w *Watch) startRequest() {
	*w.requestCount++
	if w.socket == nil {
		sock, err := w.loop.Dial(w.addr, w)
		if err != nil {
			w.fail(err)
			return
		}
		// After a stall of the process an answer may be readable together with hops whose
		// connections were established meanwhile. It must be read first: a hop to a draining target
		// has to be cancelled instead of sent.
		sock.SetUrgent()
		w.socket, w.state = sock, watchDialing
		if w.pushed {
			w.loop.After(&w.timer, pushedDialTimeout)
		} else {
			w.loop.After(&w.timer, dialTimeout)
		}
		return
	}
	w.sendRequest()
}

func (w *Watch) sendRequest() {
	w.state = watchRequesting
	w.readBuffer = w.readBuffer[:0]
	wait, grace := openingWait, openingGrace
	switch {
	case w.established && w.isLeader():
		wait, grace = leaderWait, answerGrace
	case w.established:
		wait, grace = w.pacer.drawWait(), answerGrace
	case w.failures > 1 || w.mayQueue:
		grace = queueGrace
	}
	w.writeBuffer = appendRequest(w.writeBuffer[:0], w.addr.String(), w.seq, wait.Milliseconds())
	if w.established {
		w.lease.Watching(w.loop.Now(), wait)
	}
	w.loop.After(&w.timer, wait+grace)
	w.write()
}

func (w *Watch) write() {
	n, err := w.socket.Write(w.writeBuffer)
	if err != nil {
		w.connectionEnded(err)
		return
	}
	w.writeBuffer = w.writeBuffer[n:]
	w.socket.Want(true, len(w.writeBuffer) > 0)
}

// Ready implements poll.Handler.
func (w *Watch) Ready(r poll.Ready) {
	if w.state == watchDialing {
		if err := w.socket.DialError(); err != nil {
			w.lease.Unreachable(w.loop.Now())
			w.fail(err)
			return
		}
		w.sendRequest()
		return
	}
	if r.Write && len(w.writeBuffer) > 0 {
		if w.write(); w.state != watchRequesting {
			return
		}
	}
	if r.Read {
		w.read()
	}
}

// read reads all available data: the rest of a long list would otherwise be read one loop turn
// later, after hops were sent.
func (w *Watch) read() {
	const step = 16 << 10
	var err error
	for err == nil && len(w.readBuffer) <= maxHeadBytes+2*maxBodyBytes {
		if cap(w.readBuffer)-len(w.readBuffer) < step {
			w.readBuffer = append(make([]byte, 0, 2*cap(w.readBuffer)+step), w.readBuffer...)
		}
		var n int
		n, err = w.socket.Read(w.readBuffer[len(w.readBuffer):cap(w.readBuffer)])
		w.readBuffer = w.readBuffer[:len(w.readBuffer)+n]
	}
	if errors.Is(err, poll.ErrAgain) {
		err = nil
	}
	if err != nil && !errors.Is(err, io.EOF) {
		// the partial answer may be a change that counts as delivered now
		if len(w.readBuffer) > 0 {
			err = fmt.Errorf("%w: %w", errTruncated, err)
		}
		w.connectionEnded(err)
		return
	}
	r, parseErr := parseResponse(w.readBuffer, err != nil)
	switch {
	case errors.Is(parseErr, errIncomplete) && err != nil:
		w.connectionEnded(errTruncated)
	case errors.Is(parseErr, errIncomplete):
	case parseErr != nil:
		w.fail(parseErr)
	case r.status == 503:
		w.fail(ErrBusy)
	case r.status != 200:
		w.fail(fmt.Errorf("status %d", r.status))
	default:
		w.handleAnswer(r, err == nil)
	}
}

func (w *Watch) handleAnswer(r *response, open bool) {
	list, err := Decode(r.body)
	if err != nil {
		w.fail(err)
		return
	}
	if list.Seq < w.seq && !list.Whole { // from another process with its own versions
		w.fail(errVersionWentBack)
		return
	}
	w.seq, w.failures, w.established, w.mayQueue = list.Seq, 0, true, false
	w.lease.Answered(w.loop.Now())
	w.pacer.onAnswer()
	if r.keepAlive && open {
		w.reused = true
	} else {
		w.closeConnection()
	}
	if lead, deferUntil, _ := w.evaluatePolicy(); !lead && deferUntil.After(w.loop.Now()) {
		w.closeConnection()
		w.deferredByPolicy, w.established = true, false
		w.scheduleRequest(deferUntil.Sub(w.loop.Now()))
	} else {
		// The watch continues only if the next request follows within 200 ms, so that it is made
		// before the list is used.
		w.startRequest()
	}
	w.onResult(list, nil)
}

// connectionEnded handles a connection that has ended. A connection that was kept open after an
// earlier answer may have been closed as idle at this moment, which is not a failure of the
// request: it is made again at once on a new connection.
func (w *Watch) connectionEnded(err error) {
	if w.reused && len(w.readBuffer) == 0 {
		w.closeConnection()
		w.startRequest()
		return
	}
	w.fail(err)
}

// fail ends a request that brought no list and schedules the next one after a pause. The pause is
// short if the list's lease is about to expire, as no later request makes up for a late one.
func (w *Watch) fail(err error) {
	busy, unanswered := errors.Is(err, ErrBusy), errors.Is(err, errNoAnswer) && len(w.readBuffer) == 0
	if !busy && !unanswered && !isLocalFailure(err) {
		// The next answer may come from another process, whose versions do not continue the known
		// ones.
		w.seq = NoVersion
	}
	w.closeConnection()
	w.established, w.mayQueue = false, busy
	pause := w.pauseAfter(err)
	w.failures++
	w.scheduleRequest(pause)
	w.onResult(nil, err)
}

// isLocalFailure reports whether a request failed because this machine could not open a connection,
// which says nothing about discovery.
func isLocalFailure(err error) bool {
	return errors.Is(err, poll.ErrNoSocket) || errors.Is(err, poll.ErrNoPath)
}

// pauseAfter draws the pause after a failed request.
func (w *Watch) pauseAfter(err error) time.Duration {
	interrupted := errors.Is(err, errNoAnswer) || errors.Is(err, errTruncated)
	switch {
	case isLocalFailure(err) && w.failures < maxLocalFailureRetries:
		return w.pacer.jitter(localFailureRetryMean)
	case interrupted && w.failures < 2:
		return 0 // reopen at once: what the watch may have missed soon counts as delivered
	case w.pushed:
		return w.pacer.jitter(pushedRetryMean)
	case w.loop.Now().Before(w.shortRetryUntil):
		return w.pacer.jitter(retryMean)
	case errors.Is(err, ErrBusy):
		return w.pacer.busyPause(w.failures, w.lease.Expiry().Sub(w.loop.Now()))
	}
	return w.pacer.failurePause(w.failures)
}

func (w *Watch) onTimer() {
	if w.state != watchWaiting {
		w.fail(errNoAnswer)
		return
	}
	lead, deferUntil, spread := w.evaluatePolicy()
	switch now := w.loop.Now(); {
	case !lead && deferUntil.After(now) && !w.expedited:
		w.deferredByPolicy = true
		w.scheduleRequest(deferUntil.Sub(now))
	case !lead && w.deferredByPolicy:
		// The process that asked on behalf of all has not been heard for too long, and other
		// processes notice it at the same time.
		w.deferredByPolicy = false
		w.scheduleRequest(time.Duration(w.pacer.rng.Float64() * float64(spread)))
	default:
		w.deferredByPolicy, w.expedited = false, false
		w.startRequest()
	}
}
