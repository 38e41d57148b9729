package proxy

import (
	"errors"

	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
)

// backlog is the unsent output from which the other side is not read any more.
const maxBacklog = 64 << 10

// link is one connection with its line framing. It owns its socket and its buffers; close and reset are where
// they are given back.
type link struct {
	sock             *poll.Socket
	partial          []byte // a line that has not ended yet
	unsent           []byte // not written yet
	readPaused       bool   // not to be read: the other side is behind, or has nothing more to say
	eof              bool   // the other end has ended its sending
	closeWhenFlushed bool   // end the sending once out is empty
}

// want tells the loop what the link waits for.
func (l *link) updateInterest() {
	if l.sock != nil {
		l.sock.Want(!l.readPaused && !l.eof, len(l.unsent) > 0)
	}
}

// fill reads what is there and returns the whole lines. They share the scratch buffer, which must hold a
// longest line and more. io.EOF comes when the other end has ended its sending.
func (l *link) readLines(scratch []byte) ([]byte, error) {
	held := copy(scratch, l.partial)
	n, err := l.sock.Read(scratch[held:])
	if errors.Is(err, poll.ErrAgain) {
		return nil, nil
	}
	if err != nil {
		l.eof = true
		l.updateInterest()
		return nil, err
	}
	whole, rest, err := line.Whole(scratch[:held+n])
	if err != nil {
		return nil, err
	}
	l.partial = append(l.partial[:0], rest...)
	return whole, nil
}

// write sends what the socket takes and keeps the rest for flush.
func (l *link) write(p []byte) error {
	if len(l.unsent) == 0 {
		n, err := l.sock.Write(p)
		if err != nil {
			return err
		}
		p = p[n:]
	}
	if len(p) > 0 {
		l.unsent = append(l.unsent, p...)
		l.updateInterest()
	}
	return nil
}

// flush sends what is kept.
func (l *link) flush() error {
	n, err := l.sock.Write(l.unsent)
	if err != nil {
		return err
	}
	l.unsent = l.unsent[:copy(l.unsent, l.unsent[n:])]
	if len(l.unsent) == 0 && l.closeWhenFlushed {
		l.sock.CloseWrite()
	}
	l.updateInterest()
	return nil
}

// finish ends the sending once all is written.
func (l *link) closeWrite() {
	if l.closeWhenFlushed {
		return
	}
	l.closeWhenFlushed = true
	if len(l.unsent) == 0 {
		l.sock.CloseWrite()
	}
	l.updateInterest()
}

// skim reads and drops what has arrived, up to so many bytes: a connection that is closed over unread bytes is reset.
func (l *link) discard(scratch []byte, most int) {
	for most > 0 && l.sock != nil && !l.eof {
		n, err := l.sock.Read(scratch)
		if err != nil {
			return
		}
		most -= n
	}
}

func (l *link) backlogged() bool { return len(l.unsent) > maxBacklog }

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
