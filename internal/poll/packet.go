package poll

import (
	"errors"
	"fmt"
	"net/netip"
)

// UDPSocket is a UDP socket. Whoever opened it owns it and must close it once.
type UDPSocket struct{ sock *Socket }

// OpenUDP opens a UDP socket at an address; port 0 selects a free port. The handler is called when
// a datagram has arrived.
func (l *Loop) OpenUDP(at netip.AddrPort, h Handler) (*UDPSocket, error) {
	fd, err := l.kernel.OpenUDP(at)
	if err != nil {
		return nil, fmt.Errorf("udp at %s: %w", at, err)
	}
	return &UDPSocket{l.add(fd, h, WantRead)}, nil
}

// Receive reads one datagram. It drops the part that does not fit into p. It returns ErrAgain if no
// datagram is waiting.
func (u *UDPSocket) Receive(p []byte) (int, netip.AddrPort, error) {
	n, from, err := u.sock.loop.kernel.Receive(u.sock.fd, p)
	if err != nil && !errors.Is(err, ErrAgain) {
		err = fmt.Errorf("receive: %w", err)
	}
	return n, from, err
}

// Send sends one datagram, which may be lost on the network. ErrAgain means that it was dropped
// locally for lack of buffer space.
func (u *UDPSocket) Send(p []byte, to netip.AddrPort) error {
	err := u.sock.loop.kernel.SendTo(u.sock.fd, p, to)
	if err != nil && !errors.Is(err, ErrAgain) {
		err = fmt.Errorf("send to %s: %w", to, err)
	}
	return err
}

// Addr returns the local address.
func (u *UDPSocket) Addr() netip.AddrPort { return u.sock.LocalAddr() }

// Close closes the socket. Further calls do nothing.
func (u *UDPSocket) Close() { u.sock.Close() }
