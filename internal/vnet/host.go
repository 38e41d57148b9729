package vnet

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

// Host is a simulated machine: an address, the descriptors of one process, and that process's
// Kernel.
type Host struct {
	world *World
	index int32
	name  string
	addr  netip.Addr

	// State of the process.
	step         func() error // one turn of the event loop; nil: no process runs
	incarnation  int          // counts process starts and ends; earlier work is void
	runAt        time.Duration
	scheduled    bool // a wakeup is queued for runAt
	running      bool
	blocked      bool // its last Wait found no events
	wakePending  bool
	stalledUntil time.Duration // virtual time before which the process does not run
	kernel       *kernel

	// Descriptors. A free one is nil in files.
	files   []file
	freeFDs []int
	openFDs int
	ready   []file // possibly ready descriptors, in the order in which they became so

	listeners map[uint16]*listener
	datagrams map[uint16]*datagramSocket
	lastPort  uint16 // last local port allocated

	unreachable bool // the machine is off, or cut off from all others

	disks               map[string]*Disk
	diskOrder           []*Disk
	wallClockOffset     time.Duration // offset of the wall clock from virtual time
	sendStall           time.Duration // suspends the process before its next datagram send
	delayedConnectRatio float64       // share of connections that DelayConnects delays, 0 to 1
	maxConnectDelay     time.Duration

	limits Limits
}

// Limits are the resource limits of a machine. The zero value sets no limits.
type Limits struct {
	Descriptors int           // most descriptors that the process may hold; 0: no limit
	SendBuffer  int           // send buffer of each connection, in bytes; 0: 64 KiB
	EventCost   time.Duration // processor time for each event; delays the next loop turn; 0: none
}

// file is the object behind a descriptor.
type file interface {
	// state returns the current readiness.
	state() poll.Ready
	watch() *watch
	close()
}

// watch holds the events that the event loop waits for on a descriptor.
type watch struct {
	host       *Host
	slot, gen  int32
	interest   poll.Interest
	registered bool // registered with Wait
	queued     bool // in the host's ready list
}

// AddHost adds a machine at an address. Names and addresses must be unique; AddHost panics if the
// address is taken.
func (w *World) AddHost(name string, addr netip.Addr, l Limits) *Host {
	if w.byAddr[addr] != nil {
		panic(fmt.Sprintf("vnet: duplicate host address %s", addr))
	}
	if l.SendBuffer <= 0 {
		l.SendBuffer = 64 << 10
	}
	h := &Host{
		world: w, index: int32(len(w.hosts)), name: name, addr: addr, limits: l, lastPort: firstPort,
		listeners: make(map[uint16]*listener), datagrams: make(map[uint16]*datagramSocket),
	}
	w.hosts = append(w.hosts, h)
	w.byAddr[addr] = h
	return h
}

// firstPort is the start of the range of local ports that the host allocates.
const firstPort = 32768

// Name returns the machine's name.
func (h *Host) Name() string { return h.name }

// Addr returns the machine's address.
func (h *Host) Addr() netip.Addr { return h.addr }

// Host returns the machine at an address, or nil if there is none.
func (w *World) Host(at netip.Addr) *Host { return w.byAddr[at] }

// Open returns the number of descriptors that the process holds.
func (h *Host) Open() int { return h.openFDs }

// Incarnation returns a counter that changes whenever a process starts or ends on the machine.
func (h *Host) Incarnation() int { return h.incarnation }

// Running reports whether a process runs on the machine, reachable or not.
func (h *Host) Running() bool { return h.step != nil }

// Up reports whether a process runs on the machine and the machine is reachable.
func (h *Host) Up() bool { return h.step != nil && !h.unreachable }

// SetDescriptors changes how many descriptors the process may hold; 0 sets no limit. Descriptors
// already open stay open.
func (h *Host) SetDescriptors(n int) { h.limits.Descriptors = n }

// Start runs a process. begin builds the process on the kernel of a new incarnation and returns the
// function that performs one turn of its event loop. The first turn runs immediately, at the
// current virtual time.
func (h *Host) Start(begin func(k poll.Kernel) (step func() error, err error)) error {
	if h.step != nil {
		return fmt.Errorf("vnet: a process is already running on %s", h.name)
	}
	h.incarnation++
	h.kernel = &kernel{host: h, incarnation: h.incarnation, clockRate: 1}
	step, err := begin(h.kernel)
	if err != nil {
		h.abort(false)
		return fmt.Errorf("vnet: start process on %s: %w", h.name, err)
	}
	h.step, h.stalledUntil = step, 0
	h.world.record(Record{What: "start", From: h})
	h.schedule(h.world.now)
	return nil
}

// Kill terminates the process abruptly: its connections are reset, and new ones are refused.
func (h *Host) Kill() {
	if h.step == nil {
		return
	}
	h.world.record(Record{What: "kill", From: h})
	h.abort(true)
}

// Exit ends the process in an orderly way: descriptors it left open are closed as the operating
// system does, with a FIN or, where bytes are unread, a reset.
func (h *Host) Exit() {
	if h.step == nil {
		return
	}
	h.world.record(Record{What: "exit", From: h})
	h.step = nil
	h.incarnation++
	for _, f := range h.files {
		if f != nil {
			f.watch().registered = false
			f.close()
		}
	}
	h.clearProcess()
}

// abort ends the process. If notifyPeers is set, the peers of its connections are sent resets.
func (h *Host) abort(notifyPeers bool) {
	h.step = nil
	h.incarnation++
	for _, f := range h.files {
		switch f := f.(type) {
		case *end:
			f.resetOnClose, f.silent = true, !notifyPeers
		case *listener:
			for _, e := range f.queue {
				e.silent = !notifyPeers
			}
		}
		if f != nil {
			f.watch().registered = false // later arrivals must not reach the next process
			f.close()
		}
	}
	h.clearProcess()
}

// clearProcess discards the state of a process that has ended, and crashes the disks.
func (h *Host) clearProcess() {
	for _, d := range h.diskOrder {
		d.crash()
	}
	h.sendStall = 0
	h.files, h.freeFDs, h.openFDs, h.ready = h.files[:0], h.freeFDs[:0], 0, nil
	clear(h.listeners)
	clear(h.datagrams)
	h.scheduled = false
}

// Vanish takes the machine, with its process, off the network without notice. Its connections stay
// open at their peers, and segments sent to them are not answered until Return.
func (h *Host) Vanish() {
	if h.unreachable {
		return
	}
	h.world.record(Record{What: "vanish", From: h})
	h.unreachable = true
	h.abort(false)
}

// Return puts a machine that vanished back on the network, without a process. Segments for
// connections of an earlier incarnation are answered with resets.
func (h *Host) Return() {
	if h.unreachable {
		h.world.record(Record{What: "return", From: h})
		h.unreachable = false
	}
}

// Isolate cuts the machine off from all others, while its process keeps running, until Rejoin.
func (h *Host) Isolate() {
	h.world.record(Record{What: "isolate", From: h})
	h.unreachable = true
}

// Rejoin ends the effect of Isolate.
func (h *Host) Rejoin() {
	h.world.record(Record{What: "rejoin", From: h})
	h.unreachable = false
}

// Stall suspends the process for d, as on an overloaded machine. What arrives meanwhile waits in
// its sockets.
func (h *Host) Stall(d time.Duration) {
	h.world.record(Record{What: "stall", From: h, Size: int(d / time.Millisecond)})
	h.stalledUntil = max(h.stalledUntil, h.world.now+d)
}

// Stalled reports whether the process is alive but suspended.
func (h *Host) Stalled() bool { return h.step != nil && h.stalledUntil > h.world.now }

// ClockLag makes the process read its clock late by d: it sees the time of d ago. The time that it
// sees never runs backwards.
func (h *Host) ClockLag(d time.Duration) {
	if h.kernel != nil {
		h.kernel.clockLag = d
	}
}

// StallBeforeNextSend suspends the process for d just before its next datagram send, between the
// decision to send and the send itself.
func (h *Host) StallBeforeNextSend(d time.Duration) { h.sendStall = d }

// ClockRate makes the process's clock run at another rate from now on; a rate of 1.01 is one
// percent too fast.
func (h *Host) ClockRate(rate float64) {
	if k := h.kernel; k != nil {
		k.clockOffset += time.Duration(float64(h.world.now-k.rateSince) * (k.clockRate - 1))
		k.clockRate, k.rateSince = rate, h.world.now
	}
}

// ClockJump sets the process's clock ahead by d. A negative d has no effect.
func (h *Host) ClockJump(d time.Duration) {
	if h.kernel != nil {
		h.kernel.clockOffset += max(d, 0)
	}
}

// StepWall steps the machine's wall clock forward or back by d. The process's monotonic clock is
// not affected.
func (h *Host) StepWall(d time.Duration) { h.wallClockOffset += d }

// ClockNow returns the time that the process's clock shows, whether the process runs or is stopped.
func (h *Host) ClockNow() time.Time {
	if h.kernel == nil {
		return h.world.Now()
	}
	return epoch.Add(h.kernel.clock())
}

// ExhaustPorts makes every Connect fail for lack of a local port, until it is called with false.
func (h *Host) ExhaustPorts(on bool) {
	if h.kernel != nil {
		h.kernel.noPorts = on
	}
}

// schedule makes the process run at a time, unless it is to run sooner.
func (h *Host) schedule(at time.Duration) {
	if h.step == nil || h.scheduled && h.runAt <= at {
		return
	}
	h.scheduled, h.runAt = true, at
	h.world.queue.push(at, wakeup{h, h.incarnation})
}

// wakeup is the event of a time at which a process may have to run.
type wakeup struct {
	host        *Host
	incarnation int
}

func (k wakeup) execute(w *World) {
	h := k.host
	if k.incarnation != h.incarnation || !h.scheduled || h.runAt != w.now {
		return // it ran sooner, or another process runs
	}
	h.scheduled = false
	if h.stalledUntil > w.now {
		h.schedule(h.stalledUntil)
		return
	}
	h.run()
}

// maxTurns bounds how often a process may turn its loop without virtual time advancing. A loop that
// spins would do so forever.
const maxTurns = 100000

// run turns the event loop of the process until it blocks, ends, or has to yield the processor.
func (h *Host) run() {
	w := h.world
	incarnation := h.incarnation
	h.running = true
	defer func() { h.running = false }()
	for turns := 0; ; turns++ {
		h.blocked = false
		h.kernel.eventsReturned = 0
		if err := h.step(); err != nil && incarnation == h.incarnation {
			if !errors.Is(err, ErrExit) {
				w.Fail(fmt.Errorf("%s: %w", h.name, err))
			}
			h.Exit()
		}
		if incarnation != h.incarnation || h.blocked || w.failure != nil {
			return
		}
		if cost := time.Duration(h.kernel.eventsReturned) * h.limits.EventCost; cost > 0 || h.stalledUntil > w.now {
			h.schedule(max(w.now+cost, h.stalledUntil))
			return
		}
		if turns == maxTurns {
			w.Fail(fmt.Errorf("%s: event loop spins: %d turns without time advancing", h.name, turns))
			return
		}
	}
}

// ErrExit is returned by a process's step function to end the process in an orderly way.
var ErrExit = errors.New("vnet: exit")

// notify makes the process look at a descriptor whose state may have changed.
func (a *watch) notify(f file) {
	h := a.host
	if !a.registered || a.queued || !wanted(f.state(), a.interest) {
		return
	}
	a.queued = true
	h.ready = append(h.ready, f)
	if !h.running || h.blocked { // otherwise the next Wait finds it
		h.schedule(h.world.now)
	}
}

// wanted reports whether a state is worth an event. Hang-ups always are.
func wanted(r poll.Ready, want poll.Interest) bool {
	return r.Hangup || r.Read && want&poll.WantRead != 0 || r.Write && want&poll.WantWrite != 0
}

// allocate assigns f the most recently freed descriptor, or a new one if none is free.
func (h *Host) allocate(f file) (int, error) {
	if h.limits.Descriptors > 0 && h.openFDs >= h.limits.Descriptors {
		return -1, poll.ErrDescriptors
	}
	h.openFDs++
	if n := len(h.freeFDs); n > 0 {
		fd := h.freeFDs[n-1]
		h.freeFDs = h.freeFDs[:n-1]
		h.files[fd] = f
		return fd, nil
	}
	h.files = append(h.files, f)
	return len(h.files) - 1, nil
}

// nextPort allocates a local port on which no socket is open.
func (h *Host) nextPort() uint16 {
	for {
		h.lastPort++
		if h.lastPort < firstPort {
			h.lastPort = firstPort
		}
		if h.listeners[h.lastPort] == nil && h.datagrams[h.lastPort] == nil {
			return h.lastPort
		}
	}
}
