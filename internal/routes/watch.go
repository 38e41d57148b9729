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
	// openWait is the wait of the call that opens a watch: its answer proves at once that discovery is there, with all that was
	// missed, and costs discovery one call where a whole list and a watch behind it cost two.
	openWait = 50 * time.Millisecond
	// leadWait is the wait of a watch on behalf of others, who rely on how lately discovery has answered it.
	leadWait = 2 * time.Second
	// dialWait is how long a connection may take to come up, and openGrace how long the answer to the call that opens a watch may: a
	// connection that comes up a second late, a silence and another such connection take 3.3 s.
	dialWait  = 1200 * time.Millisecond
	openGrace = 1200 * time.Millisecond
	// queueGrace is the same where a call may wait in discovery's queue: the first one of a process, one behind a refusal, and one
	// behind a second failure. A call that is given up there has taken its turn for nothing.
	queueGrace = 3 * time.Second
	// Where lists are pushed, what discovery has counts as told whether or not it was asked, and the rules leave 0.5 s: it is tried
	// at short intervals, as nobody else's calls are in the way. One try and one pause are over in 0.45 s at the most.
	pushedDial = 300 * time.Millisecond
	// ownFaultRetry is the mean pause after a call that this machine could not begin, for want of memory, a port or a path: such
	// moments are short, and the lease of the list runs on. After ownFaultTries of them in a row the usual pauses hold.
	ownFaultRetry = 50 * time.Millisecond
	ownFaultTries = 20
	// A new address counts as having told all its news 4 s after it was given, reached or not: for so long the
	// pauses between tries don't grow.
	hurryFor = 4 * time.Second
)

// NoVersion is the version to go on from where none is known: the whole list is asked for.
const NoVersion = -1

// Watch keeps up with discovery by a watch: the next call follows each answer at once, on the same connection where that stays
// open. Discovery takes such a call for the same watch, which costs it next to nothing; one that is opened anew takes its turn
// in the queue of all processes' calls. The Watch owns its connection, its timer and its buffers.
type Watch struct {
	loop     *poll.Loop
	addr     netip.AddrPort
	pace     pace
	lease    Lease
	seq      int64
	news     func(*List, error)
	sock     *poll.Socket
	timer    poll.Timer
	out      []byte
	in       []byte
	state    watchState
	restEnds time.Time // the next call is made then, in watchResting
	stands   bool      // the last call was answered: the next one goes on with the watch
	again    bool      // the connection has answered a call before
	tries    int       // calls that failed in a row
	crowded  bool      // others may ask at the same time: no call was answered yet, or the last one was refused
	hurry    time.Time // until then the pauses stay short
	pushed   bool      // lists are pushed
	calls    *int      // counts them
	guide    QueryPolicy
	pressed  bool // it is to ask soon, whatever the guide says
	eased    bool // it rests because the guide said so
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
	watchAsking
	watchResting // after a failure, until the next try
)

// ErrBusy is why a call failed that discovery answered 503: it waited there for too long, or discovery is down.
var ErrBusy = errors.New("status 503")

var (
	errSilent = errors.New("no answer in time")
	errHalf   = errors.New("connection ended before the answer")
)

var errOldVersion = errors.New("the versions of the list went back")

// NewWatch returns a Watch, which makes no call before Start.
func NewWatch(c WatchConfig) *Watch {
	w := &Watch{
		loop: c.Loop, addr: c.Addr, seq: c.Seq, pushed: c.Pushed, calls: c.Calls, news: c.OnResult, crowded: !c.Pushed,
		pace: newPace(c.Processes, c.AskWithin, c.Rand), lease: NewLease(c.Loop.Now(), c.Pushed),
	}
	w.timer.Fire = w.due
	return w
}

// Start makes a call unless one is out or about to be made. The first calls of many processes come at drawn times: they
// may all have started together, and know a list.
func (w *Watch) Start() {
	if w.state != watchOff {
		return
	}
	if pause := w.pace.start(); pause > 0 && w.seq != NoVersion && !w.pushed {
		w.rest(pause)
		return
	}
	w.call()
}

// LeaseExpiry returns the time from which on a change that this process does not know of may count as told to it, by its own calls.
// ok is false where it has never been asked to call.
func (w *Watch) LeaseExpiry() (at time.Time, ok bool) { return w.lease.Expiry(), w.state != watchOff }

// Expedite has a call made soon, since requests wait for it.
func (w *Watch) Expedite() {
	if w.state == watchResting && w.restEnds.Sub(w.loop.Now()) > busyRetry {
		w.eased, w.pressed = false, true
		w.rest(w.pace.around(busyRetry / 2))
	}
}

// SetQueryPolicy has a guide asked before each call; nil: none.
func (w *Watch) SetQueryPolicy(g QueryPolicy) { w.guide = g }

// ReevaluatePolicy has the watch look at its guide at once: it may lead now.
func (w *Watch) ReevaluatePolicy() {
	if lead, _, _ := w.guided(); lead && w.state == watchResting {
		w.eased = false
		w.call()
	}
}

// RefetchSoon has it ask itself soon, at a drawn time: what it was told is not enough.
func (w *Watch) RefetchSoon() {
	if w.state == watchResting && !w.pressed {
		w.eased, w.pressed = false, true
		w.seq = NoVersion
		w.rest(time.Duration(w.pace.rng.Float64() * float64(time.Second)))
	}
}

func (w *Watch) guided() (lead bool, rest time.Time, lapse time.Duration) {
	if w.guide == nil {
		return false, time.Time{}, 0
	}
	return w.guide()
}

// leads tells whether it asks on behalf of others.
func (w *Watch) leads() bool {
	lead, _, _ := w.guided()
	return lead
}

// rest makes the next call after a while.
func (w *Watch) rest(d time.Duration) {
	w.state = watchResting
	w.restEnds = w.loop.Now().Add(d)
	w.loop.Arm(&w.timer, w.restEnds)
}

// SetAddr moves the watch to another address, at once. Nothing that the old one may still say counts: its
// connection goes, and what was read of an answer with it. The new one's versions need not continue the old
// one's, so that it is asked for the whole list first. The address that it has already is only tried anew.
func (w *Watch) SetAddr(to netip.AddrPort) {
	w.hurry, w.tries = w.loop.Now().Add(hurryFor), 0
	if to != w.addr {
		w.hangUp()
		w.addr, w.seq, w.stands = to, NoVersion, false
	} else if w.state != watchResting {
		return
	}
	if w.state != watchOff {
		w.call()
	}
}

// SocketCount is how many the watch has open.
func (w *Watch) SocketCount() int {
	if w.sock == nil {
		return 0
	}
	return 1
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.hangUp()
	w.loop.Disarm(&w.timer)
	w.state = watchOff
}

func (w *Watch) hangUp() {
	if w.sock != nil {
		w.sock.Close()
		w.sock = nil
	}
	w.in, w.out, w.again = w.in[:0], w.out[:0], false
	w.lease.Failed()
}

func (w *Watch) call() {
	*w.calls++
	if w.sock == nil {
		sock, err := w.loop.Dial(w.addr, w)
		if err != nil {
			w.fail(err)
			return
		}
		// After a pause of the process news may lie there together with hops that have come up meanwhile: one to a
		// target that drains must be given up, not sent.
		sock.Urgent()
		w.sock, w.state = sock, watchDialing
		if w.pushed {
			w.loop.After(&w.timer, pushedDial)
		} else {
			w.loop.After(&w.timer, dialWait)
		}
		return
	}
	w.ask()
}

func (w *Watch) ask() {
	w.state = watchAsking
	w.in = w.in[:0]
	wait, grace := openWait, openGrace
	switch {
	case w.stands && w.leads():
		wait, grace = leadWait, answerGrace
	case w.stands:
		wait, grace = w.pace.wait(), answerGrace
	case w.tries > 1 || w.crowded:
		grace = queueGrace
	}
	w.out = appendCall(w.out[:0], w.addr.String(), w.seq, wait.Milliseconds())
	if w.stands {
		w.lease.Watching(w.loop.Now(), wait)
	}
	w.loop.After(&w.timer, wait+grace)
	w.write()
}

func (w *Watch) write() {
	n, err := w.sock.Write(w.out)
	if err != nil {
		w.broke(err)
		return
	}
	w.out = w.out[n:]
	w.sock.Want(true, len(w.out) > 0)
}

// Ready is called by the loop.
func (w *Watch) Ready(r poll.Ready) {
	if w.state == watchDialing {
		if err := w.sock.Established(); err != nil {
			w.lease.Unreachable(w.loop.Now())
			w.fail(err)
			return
		}
		w.ask()
		return
	}
	if r.Write && len(w.out) > 0 {
		if w.write(); w.state != watchAsking {
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
	for err == nil && len(w.in) <= maxHead+2*maxBody {
		if cap(w.in)-len(w.in) < step {
			w.in = append(make([]byte, 0, 2*cap(w.in)+step), w.in...)
		}
		var n int
		n, err = w.sock.Read(w.in[len(w.in):cap(w.in)])
		w.in = w.in[:len(w.in)+n]
	}
	if errors.Is(err, poll.ErrAgain) {
		err = nil
	}
	if err != nil && !errors.Is(err, io.EOF) {
		if len(w.in) > 0 { // what was read of it may be of news that counts as told now
			err = fmt.Errorf("%w: %w", errHalf, err)
		}
		w.broke(err)
		return
	}
	r, parseErr := parseResponse(w.in, err != nil)
	switch {
	case errors.Is(parseErr, errMore) && err != nil:
		w.broke(errHalf)
	case errors.Is(parseErr, errMore):
	case parseErr != nil:
		w.fail(parseErr)
	case r.status == 503:
		w.fail(ErrBusy)
	case r.status != 200:
		w.fail(fmt.Errorf("status %d", r.status))
	default:
		w.answer(r, err == nil)
	}
}

func (w *Watch) answer(r *response, open bool) {
	list, err := Decode(r.body)
	if err != nil {
		w.fail(err)
		return
	}
	if list.Seq < w.seq && !list.Whole { // another process answers, whose versions don't continue those that are known
		w.fail(errOldVersion)
		return
	}
	w.seq, w.tries, w.stands, w.crowded = list.Seq, 0, true, false
	w.lease.Answered(w.loop.Now())
	w.pace.answered()
	if r.keep && open {
		w.again = true
	} else {
		w.hangUp()
	}
	if lead, until, _ := w.guided(); !lead && until.After(w.loop.Now()) {
		w.hangUp()
		w.eased, w.stands = true, false
		w.rest(until.Sub(w.loop.Now()))
	} else {
		// The watch goes on only if the next call follows within 200 ms: it is made before the news is used.
		w.call()
	}
	w.news(list, nil)
}

// broke deals with a connection that ended. One that was kept from an earlier call may have been closed as
// idle just then, which is no failure of the call: it is made again at once, on a new connection.
func (w *Watch) broke(err error) {
	if w.again && len(w.in) == 0 {
		w.hangUp()
		w.call()
		return
	}
	w.fail(err)
}

// fail ends a call that brought no list and has the next one made after a pause, which is short whenever the list's lease is
// about to end: there is no call that makes up for one that comes late.
func (w *Watch) fail(err error) {
	busy, silent := errors.Is(err, ErrBusy), errors.Is(err, errSilent) && len(w.in) == 0
	if !busy && !silent && !ownFault(err) {
		// What answers next may be another process, whose versions don't continue those that are known.
		w.seq = NoVersion
	}
	w.hangUp()
	w.stands, w.crowded = false, busy
	pause := w.pauseAfter(err)
	w.tries++
	w.rest(pause)
	w.news(nil, err)
}

// ownFault tells whether a call failed since this machine could not begin a connection, which says nothing of discovery.
func ownFault(err error) bool {
	return errors.Is(err, poll.ErrNoSocket) || errors.Is(err, poll.ErrNoPath)
}

// pauseAfter draws the pause after a call that failed.
func (w *Watch) pauseAfter(err error) time.Duration {
	silent := errors.Is(err, errSilent) || errors.Is(err, errHalf)
	switch {
	case ownFault(err) && w.tries < ownFaultTries:
		return w.pace.around(ownFaultRetry)
	case silent && w.tries < 2:
		return 0 // the watch is opened anew at once: what it may have missed counts as told soon
	case w.pushed:
		return w.pace.around(pushedRetry)
	case w.loop.Now().Before(w.hurry):
		return w.pace.around(retryFrom)
	case errors.Is(err, ErrBusy):
		return w.pace.busy(w.tries, w.lease.Expiry().Sub(w.loop.Now()))
	}
	return w.pace.failed(w.tries)
}

func (w *Watch) due() {
	if w.state != watchResting {
		w.fail(errSilent)
		return
	}
	lead, until, lapse := w.guided()
	switch now := w.loop.Now(); {
	case !lead && until.After(now) && !w.pressed:
		w.eased = true
		w.rest(until.Sub(now))
	case !lead && w.eased:
		// The word of whoever asked for all has lapsed, here and elsewhere at once.
		w.eased = false
		w.rest(time.Duration(w.pace.rng.Float64() * float64(lapse)))
	default:
		w.eased, w.pressed = false, false
		w.call()
	}
}
