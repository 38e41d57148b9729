package poll

import (
	"errors"
	"fmt"
	"net/netip"
)

// UDPSocket is a UDP socket. Whoever opened it owns it and closes it once.
type UDPSocket struct{ sock *Socket }

// OpenUDP opens a UDP socket at an address; port 0 picks a free one. Its handler is told when a datagram waits.
func (l *Loop) OpenUDP(at netip.AddrPort, h Handler) (*UDPSocket, error) {
	fd, err := l.kernel.OpenUDP(at)
	if err != nil {
		return nil, fmt.Errorf("udp at %s: %w", at, err)
	}
	return &UDPSocket{l.add(fd, h, WantRead)}, nil
}

// Receive takes one datagram, of which what does not fit into p is lost; ErrAgain if none waits.
func (u *UDPSocket) Receive(p []byte) (int, netip.AddrPort, error) {
	n, from, err := u.sock.loop.kernel.Receive(u.sock.fd, p)
	if err != nil && !errors.Is(err, ErrAgain) {
		err = fmt.Errorf("receive: %w", err)
	}
	return n, from, err
}

// Send sends one datagram, which may be lost on its way. ErrAgain means that it was lost here, for want of room.
func (u *UDPSocket) Send(p []byte, to netip.AddrPort) error {
	err := u.sock.loop.kernel.SendTo(u.sock.fd, p, to)
	if err != nil && !errors.Is(err, ErrAgain) {
		err = fmt.Errorf("send to %s: %w", to, err)
	}
	return err
}

// Addr is the address at which it is.
func (u *UDPSocket) Addr() netip.AddrPort { return u.sock.LocalAddr() }

// Close gives the descriptor back. Further calls do nothing.
func (u *UDPSocket) Close() { u.sock.Close() }
