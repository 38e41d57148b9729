package poll

import (
	"errors"
	"net/netip"
	"time"
)

// Kernel is all that a Loop needs of the machine beneath it: sockets, readiness, a clock and a way to be woken.
// Epoll is the one that serves; a virtual one plays a machine of a network that does not exist. Descriptors are
// the kernel's own small numbers. No call blocks but Wait.
//
// A Kernel belongs to one Loop and its goroutine; only Wake may be called from another.
type Kernel interface {
	// Now is the machine's clock for spans of time: it is never stepped.
	Now() time.Time
	// WallTime is the machine's wall clock. It may be stepped at any time, forward or back, by an hour and more, and is no measure of any
	// span; only what other machines tell in Unix time is read by it.
	WallTime() time.Time
	// Wait gathers what is ready into events and returns how many there are. It waits for the first one for at
	// most that long; below 0, without end. It may return early with none.
	Wait(events []Event, most time.Duration) (int, error)
	// Wake ends the Wait that is going on, or the next one, with an event whose Slot is WakeSlot.
	Wake()
	// Close gives back what the kernel itself holds. Descriptors belong to their users.
	Close()

	// Connect opens a TCP connection. It is up, or has failed, once its descriptor is ready for writing; Fault
	// tells which. An error here is about this machine if it is ErrNoSocket, about the way to the address if it is ErrNoPath.
	Connect(to netip.AddrPort) (fd int, err error)
	// Listen opens a TCP listener; what it accepts keeps no more than receive bytes unread.
	Listen(at netip.AddrPort, receive int) (fd int, err error)
	// Accept takes a connection off a listener: ErrAgain if none waits, ErrDescriptors if this process may hold
	// no more, ErrShortage if the machine is out of files or memory, ErrAborted if the one that waited has ended.
	Accept(fd int) (conn int, err error)
	// OpenUDP opens a UDP socket at an address; port 0 picks one.
	OpenUDP(at netip.AddrPort) (fd int, err error)
	// OpenReserve opens a descriptor that stands for nothing, to be closed when descriptors run out.
	OpenReserve() (fd int, err error)
	// CloseFD gives a descriptor back. A connection with unread bytes is reset by it, else it ends in order.
	CloseFD(fd int)

	// Watch puts a descriptor under Wait, with the slot and generation that its events are to carry; Rewatch
	// changes what is waited for. Either may fail for want of memory, and is to be tried again then.
	Watch(fd int, want Interest, slot, gen int32) error
	UpdateWatch(fd int, want Interest, slot, gen int32) error

	// Read and Send move bytes of a connection: ErrAgain, unwrapped, if there are none, or no room. Read returns 0 bytes
	// without an error once the other end has ended its sending.
	Read(fd int, p []byte) (int, error)
	Send(fd int, p []byte) (int, error)
	// Receive and SendTo move one datagram.
	Receive(fd int, p []byte) (int, netip.AddrPort, error)
	SendTo(fd int, p []byte, to netip.AddrPort) error

	// CloseWrite ends a connection's sending; what was sent still arrives.
	CloseWrite(fd int)
	// ResetOnClose has CloseFD end the connection with a reset.
	ResetOnClose(fd int)
	// SocketError takes a connection's pending error; nil: none.
	SocketError(fd int) error
	// Idle tells how long ago the last bytes arrived at this machine.
	Idle(fd int) time.Duration
	// LocalAddr is the local address, Peer that of a connection's far end.
	LocalAddr(fd int) netip.AddrPort
	RemoteAddr(fd int) netip.AddrPort
}

// Interest is what a socket waits for. Hang-ups and errors are told in any case.
type Interest uint8

// The parts of an Interest.
const (
	WantRead Interest = 1 << iota
	WantWrite
)

// Event tells that a descriptor is ready.
type Event struct {
	Slot, Gen int32
	Ready
}

// WakeSlot is the Slot of the event that Wake causes.
const WakeSlot = -1

var (
	// ErrAgain means that the socket has nothing to read now, or takes nothing.
	ErrAgain = errors.New("poll: not ready")
	// ErrNoSocket means that this machine has no descriptor, port or memory left: the other side is not at fault.
	ErrNoSocket = errors.New("poll: no socket")
	// ErrNoPath means that this machine's routes or filters let nothing out to an address now: the other side may be sound.
	ErrNoPath = errors.New("poll: no path")
	// ErrShortage means that the whole machine is out of files or memory, which this process can't change.
	ErrShortage = errors.New("poll: the machine is short of files or memory")
	// ErrDescriptors means that the process may hold no more descriptors.
	ErrDescriptors = errors.New("poll: out of descriptors")
	// ErrAborted means that a connection ended before it was accepted; another may wait.
	ErrAborted = errors.New("poll: connection ended before it was accepted")
)
