package poll

import (
	"fmt"
	"io"
	"net/netip"
	"time"
)

// Socket is one TCP connection. Whoever opened or accepted it owns it and closes it once.
type Socket struct {
	loop       *Loop
	fd         int
	slot       int32
	want       Interest
	handler    Handler
	urgent     bool
	watched    bool // the kernel watches it
	watchStale bool // for something else than it wants, see Loop.watch
}

// Dial starts a connection. It is up, or has failed, once it is ready for writing: Established tells which.
func (l *Loop) Dial(to netip.AddrPort, h Handler) (*Socket, error) {
	fd, err := l.kernel.Connect(to)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	return l.add(fd, h, WantWrite), nil
}

// DialError tells how a Dial ended.
func (s *Socket) DialError() error { return s.loop.kernel.SocketError(s.fd) }

// SetUrgent has the socket told before all others in each turn, from the next one on: what it brings changes what may be
// done with them. Its handler must bear being told that it may read when nothing is there.
func (s *Socket) SetUrgent() {
	if !s.urgent && s.fd >= 0 {
		s.urgent = true
		s.loop.urgent = append(s.loop.urgent, s)
	}
}

// SetHandler hands the socket's events to another handler.
func (s *Socket) SetHandler(h Handler) { s.handler = h }

// Want tells the loop what to wait for.
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

// dispatch hands an event to the handler. The kernel may still watch the socket for what it does not want any more.
func (s *Socket) dispatch(r Ready) {
	if s.watchStale && !r.Hangup {
		r.Read = r.Read && s.want&WantRead != 0
		r.Write = r.Write && s.want&WantWrite != 0
	}
	s.handler.Ready(r)
}

// Read reads what is there: ErrAgain if nothing is, io.EOF once the other side has ended its sending.
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

// Write writes as much as the socket takes now, which may be nothing. A broken connection is an error and
// raises no SIGPIPE.
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

// CloseWrite ends the sending on the connection; what was written still arrives.
func (s *Socket) CloseWrite() { s.loop.kernel.CloseWrite(s.fd) }

// Idle tells how long ago the last bytes arrived, by the kernel's word: they may have waited for the loop.
func (s *Socket) Idle() time.Duration { return s.loop.kernel.Idle(s.fd) }

// LocalAddr is the connection's local address.
func (s *Socket) LocalAddr() netip.AddrPort { return s.loop.kernel.LocalAddr(s.fd) }

// RemoteAddr is the address of the connection's far end.
func (s *Socket) RemoteAddr() netip.AddrPort { return s.loop.kernel.RemoteAddr(s.fd) }

// Close ends the connection and gives its descriptor back. Further calls do nothing.
func (s *Socket) Close() {
	if s.fd >= 0 {
		s.loop.remove(s)
	}
}

// Reset ends the connection with a reset.
func (s *Socket) Reset() {
	if s.fd >= 0 {
		s.loop.kernel.ResetOnClose(s.fd)
		s.loop.remove(s)
	}
}
