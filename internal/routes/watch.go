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
	// answerGrace is how long after its wait a watch is given up: news that it should have told counts as told 2 s after that wait,
	// and a new watch has to be answered by then.
	answerGrace = 800 * time.Millisecond
	// openingWait is the wait of the call that opens a watch: its answer proves at once that discovery is there, with all that was
	// missed, and costs discovery one call where a whole list and a watch behind it cost two.
	openingWait = 50 * time.Millisecond
	// leaderWait is the wait of a watch on behalf of others, who rely on how lately discovery has answered it.
	leaderWait = 2 * time.Second
	// dialTimeout is how long a connection may take to come up, and openGrace how long the answer to the call that opens a watch may: a
	// connection that comes up a second late, a silence and another such connection take 3.3 s.
	dialTimeout  = 1200 * time.Millisecond
	openingGrace = 1200 * time.Millisecond
	// queueGrace is the same where a call may wait in discovery's queue: the first one of a process, one behind a refusal, and one
	// behind a second failure. A call that is given up there has taken its turn for nothing.
	queueGrace = 3 * time.Second
	// Where lists are pushed, what discovery has counts as told whether or not it was asked, and the rules leave 0.5 s: it is tried
	// at short intervals, as nobody else's calls are in the way. One try and one pause are over in 0.45 s at the most.
	pushedDialTimeout = 300 * time.Millisecond
	// localFailureRetryMean is the mean pause after a call that this machine could not begin, for want of memory, a port or a path: such
	// moments are short, and the lease of the list runs on. After ownFaultTries of them in a row the usual pauses hold.
	localFailureRetryMean  = 50 * time.Millisecond
	maxLocalFailureRetries = 20
	// A new address counts as having told all its news 4 s after it was given, reached or not: for so long the
	// pauses between tries don't grow.
	shortRetryPeriod = 4 * time.Second
)

// NoVersion is the version to go on from where none is known: the whole list is asked for.
const NoVersion = -1

// Watch keeps up with discovery by a watch: the next call follows each answer at once, on the same connection where that stays
// open. Discovery takes such a call for the same watch, which costs it next to nothing; one that is opened anew takes its turn
// in the queue of all processes' calls. The Watch owns its connection, its timer and its buffers.
type Watch struct {
	loop             *poll.Loop
	addr             netip.AddrPort
	pace             callPacer
	lease            Lease
	seq              int64
	onResult         func(*List, error)
	socket           *poll.Socket
	timer            poll.Timer
	writeBuffer      []byte
	readBuffer       []byte
	state            watchState
	nextCallAt       time.Time // the next call is made then, in watchResting
	established      bool      // the last call was answered: the next one goes on with the watch
	reused           bool      // the connection has answered a call before
	failures         int       // calls that failed in a row
	mayQueue         bool      // others may ask at the same time: no call was answered yet, or the last one was refused
	shortRetryUntil  time.Time // until then the pauses stay short
	pushed           bool      // lists are pushed
	callCount        *int      // counts them
	policy           QueryPolicy
	expedited        bool // it is to ask soon, whatever the guide says
	deferredByPolicy bool // it rests because the guide said so
}

// WatchConfig is what a Watch needs.
type WatchConfig struct {
	Loop      *poll.Loop
	Addr      netip.AddrPort
	Seq       int64         // version to go on from, or FromNothing
	Processes int           // that share discovery; a few need not draw their first calls apart
	AskWithin time.Duration // longest time between two questions by the settings; 0: they name none
	Pushed    bool          // what discovery has counts as told whether or not a watch is open
	Rand      *rand.Rand
	Calls     *int               // counts the calls
	OnResult  func(*List, error) // gets each list, or why a call failed
}

// QueryPolicy tells how a watch is to ask where another process may ask in its place. lead has it watch without a pause, on
// behalf of the others; else it need not ask before rest, and draws its first question over lapse after that.
type QueryPolicy func() (lead bool, rest time.Time, lapse time.Duration)

type watchState uint8

const (
	watchOff watchState = iota
	watchDialing
	watchRequesting
	watchWaiting // after a failure, until the next try
)

// ErrBusy is why a call failed that discovery answered 503: it waited there for too long, or discovery is down.
var ErrBusy = errors.New("status 503")

var (
	errNoAnswer  = errors.New("no answer in time")
	errTruncated = errors.New("connection ended before the answer")
)

var errVersionWentBack = errors.New("the versions of the list went back")

// NewWatch returns a Watch, which makes no call before Start.
func NewWatch(c WatchConfig) *Watch {
	w := &Watch{
		loop: c.Loop, addr: c.Addr, seq: c.Seq, pushed: c.Pushed, callCount: c.Calls, onResult: c.OnResult, mayQueue: !c.Pushed,
		pace: newCallPacer(c.Processes, c.AskWithin, c.Rand), lease: NewLease(c.Loop.Now(), c.Pushed),
	}
	w.timer.Fire = w.onTimer
	return w
}

// Start makes a call unless one is out or about to be made. The first calls of many processes come at drawn times: they
// may all have started together, and know a list.
func (w *Watch) Start() {
	if w.state != watchOff {
		return
	}
	if pause := w.pace.startDelay(); pause > 0 && w.seq != NoVersion && !w.pushed {
		w.scheduleCall(pause)
		return
	}
	w.call()
}

// LeaseExpiry returns the time from which on a change that this process does not know of may count as told to it, by its own calls.
// ok is false where it has never been asked to call.
func (w *Watch) LeaseExpiry() (at time.Time, ok bool) { return w.lease.Expiry(), w.state != watchOff }

// Expedite has a call made soon, since requests wait for it.
func (w *Watch) Expedite() {
	if w.state == watchWaiting && w.nextCallAt.Sub(w.loop.Now()) > busyRetryMean {
		w.deferredByPolicy, w.expedited = false, true
		w.scheduleCall(w.pace.jitter(busyRetryMean / 2))
	}
}

// SetQueryPolicy has a guide asked before each call; nil: none.
func (w *Watch) SetQueryPolicy(g QueryPolicy) { w.policy = g }

// ReevaluatePolicy has the watch look at its guide at once: it may lead now.
func (w *Watch) ReevaluatePolicy() {
	if lead, _, _ := w.evaluatePolicy(); lead && w.state == watchWaiting {
		w.deferredByPolicy = false
		w.call()
	}
}

// RefetchSoon has it ask itself soon, at a drawn time: what it was told is not enough.
func (w *Watch) RefetchSoon() {
	if w.state == watchWaiting && !w.expedited {
		w.deferredByPolicy, w.expedited = false, true
		w.seq = NoVersion
		w.scheduleCall(time.Duration(w.pace.rng.Float64() * float64(time.Second)))
	}
}

func (w *Watch) evaluatePolicy() (lead bool, rest time.Time, lapse time.Duration) {
	if w.policy == nil {
		return false, time.Time{}, 0
	}
	return w.policy()
}

// isLeader tells whether it asks on behalf of others.
func (w *Watch) isLeader() bool {
	lead, _, _ := w.evaluatePolicy()
	return lead
}

// scheduleCall makes the next call after a while.
func (w *Watch) scheduleCall(d time.Duration) {
	w.state = watchWaiting
	w.nextCallAt = w.loop.Now().Add(d)
	w.loop.Arm(&w.timer, w.nextCallAt)
}

// SetAddr moves the watch to another address, at once. Nothing that the old one may still say counts: its
// connection goes, and what was read of an answer with it. The new one's versions need not continue the old
// one's, so that it is asked for the whole list first. The address that it has already is only tried anew.
func (w *Watch) SetAddr(to netip.AddrPort) {
	w.shortRetryUntil, w.failures = w.loop.Now().Add(shortRetryPeriod), 0
	if to != w.addr {
		w.closeConnection()
		w.addr, w.seq, w.established = to, NoVersion, false
	} else if w.state != watchWaiting {
		return
	}
	if w.state != watchOff {
		w.call()
	}
}

// SocketCount is how many the watch has open.
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

func (w *Watch) call() {
	*w.callCount++
	if w.socket == nil {
		sock, err := w.loop.Dial(w.addr, w)
		if err != nil {
			w.fail(err)
			return
		}
		// After a pause of the process news may lie there together with hops that have come up meanwhile: one to a
		// target that drains must be given up, not sent.
		sock.Urgent()
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
		wait, grace = w.pace.drawWait(), answerGrace
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

// Ready is called by the loop.
func (w *Watch) Ready(r poll.Ready) {
	if w.state == watchDialing {
		if err := w.socket.Established(); err != nil {
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

// read takes all that is there: the rest of a long list would be read a turn later, after hops were sent.
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
		if len(w.readBuffer) > 0 { // what was read of it may be of news that counts as told now
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
	if list.Seq < w.seq && !list.Whole { // another process answers, whose versions don't continue those that are known
		w.fail(errVersionWentBack)
		return
	}
	w.seq, w.failures, w.established, w.mayQueue = list.Seq, 0, true, false
	w.lease.Answered(w.loop.Now())
	w.pace.onAnswer()
	if r.keepAlive && open {
		w.reused = true
	} else {
		w.closeConnection()
	}
	if lead, until, _ := w.evaluatePolicy(); !lead && until.After(w.loop.Now()) {
		w.closeConnection()
		w.deferredByPolicy, w.established = true, false
		w.scheduleCall(until.Sub(w.loop.Now()))
	} else {
		// The watch goes on only if the next call follows within 200 ms: it is made before the news is used.
		w.call()
	}
	w.onResult(list, nil)
}

// connectionEnded deals with a connection that ended. One that was kept from an earlier call may have been closed as
// idle just then, which is no failure of the call: it is made again at once, on a new connection.
func (w *Watch) connectionEnded(err error) {
	if w.reused && len(w.readBuffer) == 0 {
		w.closeConnection()
		w.call()
		return
	}
	w.fail(err)
}

// fail ends a call that brought no list and has the next one made after a pause, which is short whenever the list's lease is
// about to end: there is no call that makes up for one that comes late.
func (w *Watch) fail(err error) {
	busy, silent := errors.Is(err, ErrBusy), errors.Is(err, errNoAnswer) && len(w.readBuffer) == 0
	if !busy && !silent && !isLocalFailure(err) {
		// What answers next may be another process, whose versions don't continue those that are known.
		w.seq = NoVersion
	}
	w.closeConnection()
	w.established, w.mayQueue = false, busy
	pause := w.pauseAfter(err)
	w.failures++
	w.scheduleCall(pause)
	w.onResult(nil, err)
}

// isLocalFailure tells whether a call failed since this machine could not begin a connection, which says nothing of discovery.
func isLocalFailure(err error) bool {
	return errors.Is(err, poll.ErrNoSocket) || errors.Is(err, poll.ErrNoPath)
}

// pauseAfter draws the pause after a call that failed.
func (w *Watch) pauseAfter(err error) time.Duration {
	silent := errors.Is(err, errNoAnswer) || errors.Is(err, errTruncated)
	switch {
	case isLocalFailure(err) && w.failures < maxLocalFailureRetries:
		return w.pace.jitter(localFailureRetryMean)
	case silent && w.failures < 2:
		return 0 // the watch is opened anew at once: what it may have missed counts as told soon
	case w.pushed:
		return w.pace.jitter(pushedRetryMean)
	case w.loop.Now().Before(w.shortRetryUntil):
		return w.pace.jitter(retryMean)
	case errors.Is(err, ErrBusy):
		return w.pace.busyPause(w.failures, w.lease.Expiry().Sub(w.loop.Now()))
	}
	return w.pace.failurePause(w.failures)
}

func (w *Watch) onTimer() {
	if w.state != watchWaiting {
		w.fail(errNoAnswer)
		return
	}
	lead, until, lapse := w.evaluatePolicy()
	switch now := w.loop.Now(); {
	case !lead && until.After(now) && !w.expedited:
		w.deferredByPolicy = true
		w.scheduleCall(until.Sub(now))
	case !lead && w.deferredByPolicy:
		// The word of whoever asked for all has lapsed, here and elsewhere at once.
		w.deferredByPolicy = false
		w.scheduleCall(time.Duration(w.pace.rng.Float64() * float64(lapse)))
	default:
		w.deferredByPolicy, w.expedited = false, false
		w.call()
	}
}
