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
	step    func() error // one turn of its loop; nil: none runs
	life    int          // counts the processes: what was begun for an earlier one is void
	due     time.Duration
	armed   bool // it is to run at due
	running bool
	blocked bool // its last Wait found nothing to do
	woken   bool
	stalled time.Duration // it does not run before this
	kernel  *kernel

	// Its descriptors. A free one is nil.
	fds   []file
	free  []int
	open  int
	ready []file // those that may be ready, in the order in which they became so

	listeners map[uint16]*listener
	datagrams map[uint16]*datagramSocket
	port      uint16 // last one given out

	dark bool // the machine is off, or cut off from all others

	disks     map[string]*Disk
	diskOrder []*Disk
	wallStep  time.Duration // of its wall clock against real time
	stallSend time.Duration // its next datagram waits for so long, and the process with it
	latePart  float64       // see LateConnects
	lateMost  time.Duration

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
	host      *Host
	slot, gen int32
	want      poll.Interest
	on        bool // it is under Wait
	queued    bool // it is in the host's ready list
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
		world: w, index: int32(len(w.hosts)), name: name, addr: addr, limits: l, port: firstPort,
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
func (h *Host) Open() int { return h.open }

// Incarnation counts the machine's processes: it changes when one starts or ends.
func (h *Host) Incarnation() int { return h.life }

// Running tells whether a process runs, reachable or not.
func (h *Host) Running() bool { return h.step != nil }

// Up tells whether a process runs, on a machine that is reachable.
func (h *Host) Up() bool { return h.step != nil && !h.dark }

// SetDescriptors changes how many descriptors the process may hold; 0: without limit. What it holds already stays.
func (h *Host) SetDescriptors(n int) { h.limits.Descriptors = n }

// Start runs a process: begin builds it on the kernel of a new life and returns what does one turn of its loop. The
// first turn comes at once.
func (h *Host) Start(begin func(k poll.Kernel) (step func() error, err error)) error {
	if h.step != nil {
		return fmt.Errorf("vnet: %s runs already", h.name)
	}
	h.life++
	h.kernel = &kernel{host: h, life: h.life, rate: 1}
	step, err := begin(h.kernel)
	if err != nil {
		h.release(false)
		return fmt.Errorf("vnet: %s: %w", h.name, err)
	}
	h.step, h.stalled = step, 0
	h.world.note(Record{What: "start", From: h})
	h.schedule(h.world.now)
	return nil
}

// Kill ends the process outright: its connections are reset, and new ones are refused.
func (h *Host) Kill() {
	if h.step == nil {
		return
	}
	h.world.note(Record{What: "kill", From: h})
	h.release(true)
}

// Exit ends the process in order: what it left open is closed as the operating system does, with a FIN or, where
// bytes are unread, a reset.
func (h *Host) Exit() {
	if h.step == nil {
		return
	}
	h.world.note(Record{What: "exit", From: h})
	h.step = nil
	h.life++
	for _, f := range h.fds {
		if f != nil {
			f.watch().on = false
			f.close()
		}
	}
	h.forget()
}

// release ends the process; tell has its peers hear of it.
func (h *Host) release(tell bool) {
	h.step = nil
	h.life++
	for _, f := range h.fds {
		switch f := f.(type) {
		case *end:
			f.linger0, f.mute = true, !tell
		case *listener:
			for _, e := range f.queue {
				e.mute = !tell
			}
		}
		if f != nil {
			f.watch().on = false // what still arrives is not for the next process
			f.close()
		}
	}
	h.forget()
}

func (h *Host) forget() {
	for _, d := range h.diskOrder {
		d.crash()
	}
	h.stallSend = 0
	h.fds, h.free, h.open, h.ready = h.fds[:0], h.free[:0], 0, nil
	clear(h.listeners)
	clear(h.datagrams)
	h.armed = false
}

// Vanish takes the machine off the network without a sign, process and all. Its connections stay open at their far
// ends, and what is sent to them is not answered until Return.
func (h *Host) Vanish() {
	if h.dark {
		return
	}
	h.world.note(Record{What: "vanish", From: h})
	h.dark = true
	h.release(false)
}

// Return puts a machine that vanished back, without a process: what belongs to an earlier life is answered with resets.
func (h *Host) Return() {
	if h.dark {
		h.world.note(Record{What: "return", From: h})
		h.dark = false
	}
}

// Isolate cuts the machine off from all others while its process runs on, until Rejoin.
func (h *Host) Isolate() {
	h.world.note(Record{What: "isolate", From: h})
	h.dark = true
}

// Rejoin ends Isolate.
func (h *Host) Rejoin() {
	h.world.note(Record{What: "rejoin", From: h})
	h.dark = false
}

// Stall keeps the process from running for d, as a machine that is busy with others does. What comes meanwhile waits
// in its sockets.
func (h *Host) Stall(d time.Duration) {
	h.world.note(Record{What: "stall", From: h, Size: int(d / time.Millisecond)})
	h.stalled = max(h.stalled, h.world.now+d)
}

// Stalled tells whether it does not run now, though it lives.
func (h *Host) Stalled() bool { return h.step != nil && h.stalled > h.world.now }

// ClockLag has the process read its clock late by d: the time that it sees is that of d ago, but never runs back.
func (h *Host) ClockLag(d time.Duration) {
	if h.kernel != nil {
		h.kernel.lag = d
	}
}

// StallBeforeNextSend stops the process just before it sends its next datagram, for d: between whatever made it decide to
// send and the send itself.
func (h *Host) StallBeforeNextSend(d time.Duration) { h.stallSend = d }

// ClockRate has the process's clock run at another rate from now on: 1.01 is one in a hundred too fast.
func (h *Host) ClockRate(rate float64) {
	if k := h.kernel; k != nil {
		k.offset += time.Duration(float64(h.world.now-k.since) * (k.rate - 1))
		k.rate, k.since = rate, h.world.now
	}
}

// ClockJump sets the process's clock ahead by d.
func (h *Host) ClockJump(d time.Duration) {
	if h.kernel != nil {
		h.kernel.offset += max(d, 0)
	}
}

// StepWall steps the machine's wall clock, forward or back; its process's spans of time go on as before.
func (h *Host) StepWall(d time.Duration) { h.wallStep += d }

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
	if h.step == nil || h.armed && h.due <= at {
		return
	}
	h.armed, h.due = true, at
	h.world.queue.push(at, wakeup{h, h.life})
}

// wakeup is a time at which a process may have to run.
type wakeup struct {
	host *Host
	life int
}

func (k wakeup) happen(w *World) {
	h := k.host
	if k.life != h.life || !h.armed || h.due != w.now {
		return // it ran sooner, or another process runs
	}
	h.armed = false
	if h.stalled > w.now {
		h.schedule(h.stalled)
		return
	}
	h.run()
}

// mostTurns is how often a process may turn without the time going on. A loop that spins would do so for ever.
const mostTurns = 100000

func (h *Host) run() {
	w := h.world
	life := h.life
	h.running = true
	defer func() { h.running = false }()
	for turns := 0; ; turns++ {
		h.blocked = false
		h.kernel.handed = 0
		if err := h.step(); err != nil && life == h.life {
			if !errors.Is(err, ErrExit) {
				w.Fail(fmt.Errorf("%s: %w", h.name, err))
			}
			h.Exit()
		}
		if life != h.life || h.blocked || w.failed != nil {
			return
		}
		if cost := time.Duration(h.kernel.handed) * h.limits.EventCost; cost > 0 || h.stalled > w.now {
			h.schedule(max(w.now+cost, h.stalled))
			return
		}
		if turns == mostTurns {
			w.Fail(fmt.Errorf("%s: turned %d times at one moment: it spins", h.name, turns))
			return
		}
	}
}

// ErrExit is what a process's step returns to end in order.
var ErrExit = errors.New("vnet: exit")

// stir has the process look at a descriptor whose state may have changed.
func (a *watch) stir(f file) {
	h := a.host
	if !a.on || a.queued || !wanted(f.state(), a.want) {
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

// take gives a file the lowest descriptor that was given back last, or a new one.
func (h *Host) take(f file) (int, error) {
	if h.limits.Descriptors > 0 && h.open >= h.limits.Descriptors {
		return -1, poll.ErrDescriptors
	}
	h.open++
	if n := len(h.free); n > 0 {
		fd := h.free[n-1]
		h.free = h.free[:n-1]
		h.fds[fd] = f
		return fd, nil
	}
	h.fds = append(h.fds, f)
	return len(h.fds) - 1, nil
}

// nextPort gives out a port that nobody listens at.
func (h *Host) nextPort() uint16 {
	for {
		h.port++
		if h.port < firstPort {
			h.port = firstPort
		}
		if h.listeners[h.port] == nil && h.datagrams[h.port] == nil {
			return h.port
		}
	}
}
