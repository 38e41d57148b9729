package poll

import (
	"fmt"
	"io"
	"net/netip"
	"time"
)

// Socket is a TCP connection. Whoever opened or accepted it owns it and must close it once.
type Socket struct {
	loop       *Loop
	fd         int   // descriptor; -1: closed
	slot       int32 // index in Loop.slots
	want       Interest
	handler    Handler
	urgent     bool // see SetUrgent
	watched    bool // Kernel.Watch has succeeded once; the interest may be stale, see watchStale
	watchStale bool // the kernel does not have want, see Loop.updateWatch; in Loop.staleWatches
}

// Dial starts a connection. The connection is established, or has failed, once the socket is ready
// for writing; DialError tells which.
func (l *Loop) Dial(to netip.AddrPort, h Handler) (*Socket, error) {
	fd, err := l.kernel.Connect(to)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	return l.add(fd, h, WantWrite), nil
}

// DialError returns the error with which Dial failed; nil if the connection is established.
func (s *Socket) DialError() error { return s.loop.kernel.SocketError(s.fd) }

// SetUrgent makes the loop call the handler of the socket before all others in each turn, from the
// next one on. It is for sockets whose data changes how the others must be handled. The handler
// must accept being called as ready to read when there is nothing to read.
func (s *Socket) SetUrgent() {
	if !s.urgent && s.fd >= 0 {
		s.urgent = true
		s.loop.urgent = append(s.loop.urgent, s)
	}
}

// SetHandler replaces the handler of the socket.
func (s *Socket) SetHandler(h Handler) { s.handler = h }

// Want sets what the loop waits for.
func (s *Socket) Want(read, write bool) {
	var want Interest
	if read {
		want |= WantRead
	}
	if write {
		want |= WantWrite
	}
	if s.fd < 0 || want == s.want {
		return
	}
	s.want = want
	s.loop.updateWatch(s)
}

// dispatch passes an event to the handler. If the kernel still watches for something that the
// socket no longer waits for, dispatch removes that from the event.
func (s *Socket) dispatch(r Ready) {
	if s.watchStale && !r.Hangup {
		r.Read = r.Read && s.want&WantRead != 0
		r.Write = r.Write && s.want&WantWrite != 0
	}
	s.handler.Ready(r)
}

// Read reads available bytes. It returns ErrAgain if there are none, and io.EOF once the remote
// side has ended its sending direction.
func (s *Socket) Read(p []byte) (int, error) {
	n, err := s.loop.kernel.Read(s.fd, p)
	switch {
	case n > 0:
		return n, nil
	case err == nil:
		return 0, io.EOF
	case err == ErrAgain:
		return 0, err
	}
	return 0, fmt.Errorf("read: %w", err)
}

// Write writes as many bytes as the socket accepts now, which may be none. It returns an error for
// a broken connection and does not raise SIGPIPE.
func (s *Socket) Write(p []byte) (int, error) {
	n, err := s.loop.kernel.Send(s.fd, p)
	switch err {
	case nil:
		return n, nil
	case ErrAgain:
		return 0, nil
	}
	return 0, fmt.Errorf("write: %w", err)
}

// CloseWrite ends the sending direction of the connection. Data written before is still delivered.
func (s *Socket) CloseWrite() { s.loop.kernel.CloseWrite(s.fd) }

// Idle returns the time since the last bytes arrived, as measured by the kernel. The loop may not
// have read these bytes yet.
func (s *Socket) Idle() time.Duration { return s.loop.kernel.Idle(s.fd) }

// LocalAddr returns the local address of the connection.
func (s *Socket) LocalAddr() netip.AddrPort { return s.loop.kernel.LocalAddr(s.fd) }

// RemoteAddr returns the remote address of the connection.
func (s *Socket) RemoteAddr() netip.AddrPort { return s.loop.kernel.RemoteAddr(s.fd) }

// Close ends the connection and closes its descriptor. Further calls do nothing.
func (s *Socket) Close() {
	if s.fd >= 0 {
		s.loop.remove(s)
	}
}

// Reset ends the connection with a TCP reset.
func (s *Socket) Reset() {
	if s.fd >= 0 {
		s.loop.kernel.ResetOnClose(s.fd)
		s.loop.remove(s)
	}
}
