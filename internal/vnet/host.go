package vnet

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

// Host is a machine: an address, the descriptors of one process, and that process's Kernel.
type Host struct {
	world *World
	index int32
	name  string
	addr  netip.Addr

	// The process.
	step         func() error // one turn of its loop; nil: none runs
	incarnation  int          // counts the processes: what was begun for an earlier one is void
	runAt        time.Duration
	scheduled    bool // it is to run at due
	running      bool
	blocked      bool // its last Wait found nothing to do
	wakePending  bool
	stalledUntil time.Duration // it does not run before this
	kernel       *kernel

	// Its descriptors. A free one is nil.
	files   []file
	freeFDs []int
	openFDs int
	ready   []file // those that may be ready, in the order in which they became so

	listeners map[uint16]*listener
	datagrams map[uint16]*datagramSocket
	lastPort  uint16 // last one given out

	unreachable bool // the machine is off, or cut off from all others

	disks               map[string]*Disk
	diskOrder           []*Disk
	wallClockOffset     time.Duration // of its wall clock against real time
	sendStall           time.Duration // its next datagram waits for so long, and the process with it
	delayedConnectRatio float64       // see LateConnects
	maxConnectDelay     time.Duration

	limits Limits
}

// Limits are what a machine has. The zero value is without limits.
type Limits struct {
	Descriptors int           // that the process may hold; 0: without limit
	SendBuffer  int           // bytes kept for sending, for each connection; 0: 64 KiB
	EventCost   time.Duration // of the processor for each event; the next turn begins later by that
}

// file is what a descriptor stands for.
type file interface {
	// state tells what it is ready for.
	state() poll.Ready
	watch() *watch
	close()
}

// watch is what the loop waits for on a descriptor.
type watch struct {
	host       *Host
	slot, gen  int32
	interest   poll.Interest
	registered bool // it is under Wait
	queued     bool // it is in the host's ready list
}

// AddHost adds a machine at an address. Names and addresses are unique.
func (w *World) AddHost(name string, addr netip.Addr, l Limits) *Host {
	if w.byAddr[addr] != nil {
		panic(fmt.Sprintf("vnet: two hosts at %s", addr))
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

const firstPort = 32768

// Name and Addr are the machine's.
func (h *Host) Name() string     { return h.name }
func (h *Host) Addr() netip.Addr { return h.addr }

// Host returns the machine at an address, nil if there is none.
func (w *World) Host(at netip.Addr) *Host { return w.byAddr[at] }

// Open tells how many descriptors its process holds.
func (h *Host) Open() int { return h.openFDs }

// Incarnation counts the machine's processes: it changes when one starts or ends.
func (h *Host) Incarnation() int { return h.incarnation }

// Running tells whether a process runs, reachable or not.
func (h *Host) Running() bool { return h.step != nil }

// Up tells whether a process runs, on a machine that is reachable.
func (h *Host) Up() bool { return h.step != nil && !h.unreachable }

// SetDescriptors changes how many descriptors the process may hold; 0: without limit. What it holds already stays.
func (h *Host) SetDescriptors(n int) { h.limits.Descriptors = n }

// Start runs a process: begin builds it on the kernel of a new life and returns what does one turn of its loop. The
// first turn comes at once.
func (h *Host) Start(begin func(k poll.Kernel) (step func() error, err error)) error {
	if h.step != nil {
		return fmt.Errorf("vnet: %s runs already", h.name)
	}
	h.incarnation++
	h.kernel = &kernel{host: h, incarnation: h.incarnation, clockRate: 1}
	step, err := begin(h.kernel)
	if err != nil {
		h.abort(false)
		return fmt.Errorf("vnet: %s: %w", h.name, err)
	}
	h.step, h.stalledUntil = step, 0
	h.world.record(Record{What: "start", From: h})
	h.schedule(h.world.now)
	return nil
}

// Kill ends the process outright: its connections are reset, and new ones are refused.
func (h *Host) Kill() {
	if h.step == nil {
		return
	}
	h.world.record(Record{What: "kill", From: h})
	h.abort(true)
}

// Exit ends the process in order: what it left open is closed as the operating system does, with a FIN or, where
// bytes are unread, a reset.
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

// abort ends the process; tell has its peers hear of it.
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
			f.watch().registered = false // what still arrives is not for the next process
			f.close()
		}
	}
	h.clearProcess()
}

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

// Vanish takes the machine off the network without a sign, process and all. Its connections stay open at their far
// ends, and what is sent to them is not answered until Return.
func (h *Host) Vanish() {
	if h.unreachable {
		return
	}
	h.world.record(Record{What: "vanish", From: h})
	h.unreachable = true
	h.abort(false)
}

// Return puts a machine that vanished back, without a process: what belongs to an earlier life is answered with resets.
func (h *Host) Return() {
	if h.unreachable {
		h.world.record(Record{What: "return", From: h})
		h.unreachable = false
	}
}

// Isolate cuts the machine off from all others while its process runs on, until Rejoin.
func (h *Host) Isolate() {
	h.world.record(Record{What: "isolate", From: h})
	h.unreachable = true
}

// Rejoin ends Isolate.
func (h *Host) Rejoin() {
	h.world.record(Record{What: "rejoin", From: h})
	h.unreachable = false
}

// Stall keeps the process from running for d, as a machine that is busy with others does. What comes meanwhile waits
// in its sockets.
func (h *Host) Stall(d time.Duration) {
	h.world.record(Record{What: "stall", From: h, Size: int(d / time.Millisecond)})
	h.stalledUntil = max(h.stalledUntil, h.world.now+d)
}

// Stalled tells whether it does not run now, though it lives.
func (h *Host) Stalled() bool { return h.step != nil && h.stalledUntil > h.world.now }

// ClockLag has the process read its clock late by d: the time that it sees is that of d ago, but never runs back.
func (h *Host) ClockLag(d time.Duration) {
	if h.kernel != nil {
		h.kernel.clockLag = d
	}
}

// StallBeforeNextSend stops the process just before it sends its next datagram, for d: between whatever made it decide to
// send and the send itself.
func (h *Host) StallBeforeNextSend(d time.Duration) { h.sendStall = d }

// ClockRate has the process's clock run at another rate from now on: 1.01 is one in a hundred too fast.
func (h *Host) ClockRate(rate float64) {
	if k := h.kernel; k != nil {
		k.clockOffset += time.Duration(float64(h.world.now-k.rateSince) * (k.clockRate - 1))
		k.clockRate, k.rateSince = rate, h.world.now
	}
}

// ClockJump sets the process's clock ahead by d.
func (h *Host) ClockJump(d time.Duration) {
	if h.kernel != nil {
		h.kernel.clockOffset += max(d, 0)
	}
}

// StepWall steps the machine's wall clock, forward or back; its process's spans of time go on as before.
func (h *Host) StepWall(d time.Duration) { h.wallClockOffset += d }

// ClockNow is what the process's clock shows, whether it runs or is stopped.
func (h *Host) ClockNow() time.Time {
	if h.kernel == nil {
		return h.world.Now()
	}
	return epoch.Add(h.kernel.clock())
}

// ExhaustPorts has every Connect fail for want of a port, until it is called with false.
func (h *Host) ExhaustPorts(on bool) {
	if h.kernel != nil {
		h.kernel.noPorts = on
	}
}

// schedule has the process run at a time, unless it is to run sooner.
func (h *Host) schedule(at time.Duration) {
	if h.step == nil || h.scheduled && h.runAt <= at {
		return
	}
	h.scheduled, h.runAt = true, at
	h.world.queue.push(at, wakeup{h, h.incarnation})
}

// wakeup is a time at which a process may have to run.
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

// maxTurns is how often a process may turn without the time going on. A loop that spins would do so for ever.
const maxTurns = 100000

func (h *Host) run() {
	w := h.world
	life := h.incarnation
	h.running = true
	defer func() { h.running = false }()
	for turns := 0; ; turns++ {
		h.blocked = false
		h.kernel.eventsReturned = 0
		if err := h.step(); err != nil && life == h.incarnation {
			if !errors.Is(err, ErrExit) {
				w.Fail(fmt.Errorf("%s: %w", h.name, err))
			}
			h.Exit()
		}
		if life != h.incarnation || h.blocked || w.failure != nil {
			return
		}
		if cost := time.Duration(h.kernel.eventsReturned) * h.limits.EventCost; cost > 0 || h.stalledUntil > w.now {
			h.schedule(max(w.now+cost, h.stalledUntil))
			return
		}
		if turns == maxTurns {
			w.Fail(fmt.Errorf("%s: turned %d times at one moment: it spins", h.name, turns))
			return
		}
	}
}

// ErrExit is what a process's step returns to end in order.
var ErrExit = errors.New("vnet: exit")

// notify has the process look at a descriptor whose state may have changed.
func (a *watch) notify(f file) {
	h := a.host
	if !a.registered || a.queued || !wanted(f.state(), a.interest) {
		return
	}
	a.queued = true
	h.ready = append(h.ready, f)
	if !h.running || h.blocked { // else its next Wait finds it
		h.schedule(h.world.now)
	}
}

// wanted tells whether a state is worth an event: hang-ups always are.
func wanted(r poll.Ready, want poll.Interest) bool {
	return r.Hangup || r.Read && want&poll.WantRead != 0 || r.Write && want&poll.WantWrite != 0
}

// allocate gives a file the lowest descriptor that was given back last, or a new one.
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

// nextPort gives out a port that nobody listens at.
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
