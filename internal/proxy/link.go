package proxy

import (
	"errors"

	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
)

// backlog is the unsent output from which the other side is not read any more.
const backlog = 64 << 10

// link is one connection with its line framing. It owns its socket and its buffers; close and reset are where
// they are given back.
type link struct {
	sock  *poll.Socket
	rest  []byte // a line that has not ended yet
	out   []byte // not written yet
	deaf  bool   // not to be read: the other side is behind, or has nothing more to say
	ended bool   // the other end has ended its sending
	fin   bool   // end the sending once out is empty
}

// want tells the loop what the link waits for.
func (l *link) want() {
	if l.sock != nil {
		l.sock.Want(!l.deaf && !l.ended, len(l.out) > 0)
	}
}

// fill reads what is there and returns the whole lines. They share the scratch buffer, which must hold a
// longest line and more. io.EOF comes when the other end has ended its sending.
func (l *link) fill(scratch []byte) ([]byte, error) {
	held := copy(scratch, l.rest)
	n, err := l.sock.Read(scratch[held:])
	if errors.Is(err, poll.ErrAgain) {
		return nil, nil
	}
	if err != nil {
		l.ended = true
		l.want()
		return nil, err
	}
	whole, rest, err := line.Whole(scratch[:held+n])
	if err != nil {
		return nil, err
	}
	l.rest = append(l.rest[:0], rest...)
	return whole, nil
}

// write sends what the socket takes and keeps the rest for flush.
func (l *link) write(p []byte) error {
	if len(l.out) == 0 {
		n, err := l.sock.Write(p)
		if err != nil {
			return err
		}
		p = p[n:]
	}
	if len(p) > 0 {
		l.out = append(l.out, p...)
		l.want()
	}
	return nil
}

// flush sends what is kept.
func (l *link) flush() error {
	n, err := l.sock.Write(l.out)
	if err != nil {
		return err
	}
	l.out = l.out[:copy(l.out, l.out[n:])]
	if len(l.out) == 0 && l.fin {
		l.sock.CloseWrite()
	}
	l.want()
	return nil
}

// finish ends the sending once all is written.
func (l *link) finish() {
	if l.fin {
		return
	}
	l.fin = true
	if len(l.out) == 0 {
		l.sock.CloseWrite()
	}
	l.want()
}

// skim reads and drops what has arrived, up to so many bytes: a connection that is closed over unread bytes is reset.
func (l *link) skim(scratch []byte, most int) {
	for most > 0 && l.sock != nil && !l.ended {
		n, err := l.sock.Read(scratch)
		if err != nil {
			return
		}
		most -= n
	}
}

func (l *link) behind() bool { return len(l.out) > backlog }

func (l *link) close() {
	if l.sock != nil {
		l.sock.Close()
		*l = link{}
	}
}

func (l *link) reset() {
	if l.sock != nil {
		l.sock.Reset()
		*l = link{}
	}
}
