package poll

import (
	"errors"
	"net/netip"
	"time"
)

// Kernel is the interface between a Loop and the operating system: sockets, readiness events,
// clocks and a wake-up call. NewEpoll returns the one for Linux; a simulated network provides
// another one for each of its hosts. A descriptor is a small number that the kernel assigns. No
// method blocks except Wait.
//
// A Kernel belongs to one Loop and its goroutine; only Wake may be called from other goroutines.
type Kernel interface {
	// Now returns the time for measuring durations. This clock is never stepped.
	Now() time.Time
	// WallTime returns the wall clock time. The wall clock may be stepped at any time, forward or
	// back, by an hour and more, so durations must not be measured with it. It is only for
	// comparison with Unix times that other machines report.
	WallTime() time.Time
	// Wait stores ready descriptors in events and returns their number. It waits at most maxWait
	// for the first one, without limit if maxWait is negative. It may return early with no event.
	Wait(events []Event, maxWait time.Duration) (int, error)
	// Wake ends the current call of Wait, or the next one, with an event whose Slot is WakeSlot.
	Wake()
	// Close frees the resources of the kernel itself. Descriptors belong to their users.
	Close()

	// Connect starts a TCP connection. The connection is established, or has failed, once its
	// descriptor is ready for writing; SocketError tells which. Connect returns ErrNoSocket for a
	// failure of this machine and ErrNoPath for a failure of the route to the address.
	Connect(to netip.AddrPort) (fd int, err error)
	// Listen opens a TCP listener. Each accepted connection buffers at most receiveBuffer unread
	// bytes in the kernel.
	Listen(at netip.AddrPort, receiveBuffer int) (fd int, err error)
	// Accept accepts a connection. It returns ErrAgain if none is pending, ErrDescriptors if this
	// process has reached its descriptor limit, ErrShortage if the machine has run out of files or
	// memory, and ErrAborted if the pending connection has already ended.
	Accept(fd int) (conn int, err error)
	// OpenUDP opens a UDP socket at an address; port 0 selects a free port.
	OpenUDP(at netip.AddrPort) (fd int, err error)
	// OpenReserve opens a descriptor that is not used for I/O. Closing it makes room for another
	// one when the process has reached its descriptor limit.
	OpenReserve() (fd int, err error)
	// CloseFD closes a descriptor. A connection with unread bytes is reset; any other one is closed
	// gracefully.
	CloseFD(fd int)

	// Watch adds a descriptor to those that Wait reports, with the slot and generation that its
	// events carry. UpdateWatch changes what is waited for. Either may fail for lack of memory; the
	// caller must then try again later.
	Watch(fd int, want Interest, slot, gen int32) error
	UpdateWatch(fd int, want Interest, slot, gen int32) error

	// Read and Send transfer bytes of a connection. They return ErrAgain, unwrapped, if there is
	// nothing to read or no room to send. Read returns 0 bytes without an error once the remote
	// side has ended its sending direction.
	Read(fd int, p []byte) (int, error)
	Send(fd int, p []byte) (int, error)
	// Receive and SendTo transfer one datagram.
	Receive(fd int, p []byte) (int, netip.AddrPort, error)
	SendTo(fd int, p []byte, to netip.AddrPort) error

	// CloseWrite ends the sending direction of a connection. Data sent before is still delivered.
	CloseWrite(fd int)
	// ResetOnClose makes CloseFD end the connection with a reset.
	ResetOnClose(fd int)
	// SocketError returns and clears the pending error of a connection; nil if there is none.
	SocketError(fd int) error
	// Idle returns the time since the last bytes of a connection arrived at this machine.
	Idle(fd int) time.Duration
	// LocalAddr returns the local address of a socket, RemoteAddr the remote address of a
	// connection.
	LocalAddr(fd int) netip.AddrPort
	RemoteAddr(fd int) netip.AddrPort
}

// Interest is the set of operations that a socket waits for. Hang-ups and errors are always
// reported.
type Interest uint8

// The flags of an Interest.
const (
	WantRead Interest = 1 << iota
	WantWrite
)

// Event reports that a descriptor is ready.
type Event struct {
	Slot, Gen int32
	Ready
}

// WakeSlot is the Slot of the event that Wake causes.
const WakeSlot = -1

var (
	// ErrAgain means that a socket currently has nothing to read, or no room to send.
	ErrAgain = errors.New("poll: socket not ready")
	// ErrNoSocket means that this machine has no descriptor, port or memory left; the remote side
	// is not at fault.
	ErrNoSocket = errors.New("poll: no descriptor, port or memory for a socket")
	// ErrNoPath means that the routes or filters of this machine currently let nothing out to an
	// address; the remote side may be healthy.
	ErrNoPath = errors.New("poll: address not reachable from this machine")
	// ErrShortage means that the whole machine has run out of files or memory, which this process
	// cannot change.
	ErrShortage = errors.New("poll: machine out of files or memory")
	// ErrDescriptors means that this process has reached its descriptor limit.
	ErrDescriptors = errors.New("poll: process out of descriptors")
	// ErrAborted means that a connection ended before it was accepted; others may be pending.
	ErrAborted = errors.New("poll: connection ended before it was accepted")
)
