package proxy

import (
	"errors"

	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
)

// link is one connection with its line framing. It owns its socket and its buffers; close and reset
// release them.
type link struct {
	sock             *poll.Socket
	partial          []byte // received part of an incomplete line
	unsent           []byte // output that is not written yet
	readPaused       bool   // input is not read: the other side is behind or needs no more of it
	eof              bool   // the remote end has closed its sending side
	closeWhenFlushed bool   // close the sending side once unsent is empty
	budget           *backlogBudget
}

// setUnsent replaces the output that is not written yet, and accounts for its buffer. An empty
// buffer is released: after a burst hundreds of them would keep what they once needed.
func (l *link) setUnsent(unsent []byte) {
	if len(unsent) == 0 {
		unsent = nil
	}
	l.budget.used += cap(unsent) - cap(l.unsent)
	l.unsent = unsent
}

// updateInterest tells the loop which socket events the link waits for.
func (l *link) updateInterest() {
	if l.sock != nil {
		l.sock.Want(!l.readPaused && !l.eof, len(l.unsent) > 0)
	}
}

// readLines reads the available input and returns the complete lines. They share the scratch
// buffer, which must be larger than the longest line. It returns io.EOF when the remote end has
// closed its sending side.
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
	whole, rest, err := line.SplitComplete(scratch[:held+n])
	if err != nil {
		return nil, err
	}
	l.partial = append(l.partial[:0], rest...)
	return whole, nil
}

// write sends as much as the socket accepts and keeps the rest for flush.
func (l *link) write(p []byte) error {
	if len(l.unsent) == 0 {
		n, err := l.sock.Write(p)
		if err != nil {
			return err
		}
		p = p[n:]
	}
	if len(p) > 0 {
		l.setUnsent(append(l.unsent, p...))
		l.updateInterest()
	}
	return nil
}

// flush sends unsent output.
func (l *link) flush() error {
	n, err := l.sock.Write(l.unsent)
	if err != nil {
		return err
	}
	l.setUnsent(l.unsent[:copy(l.unsent, l.unsent[n:])])
	if len(l.unsent) == 0 && l.closeWhenFlushed {
		l.sock.CloseWrite()
	}
	l.updateInterest()
	return nil
}

// closeWrite closes the sending side once all output is written.
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

// discard reads and drops what has arrived, until it has dropped at least most bytes: closing a
// connection with unread bytes resets it.
func (l *link) discard(scratch []byte, most int) {
	for most > 0 && l.sock != nil && !l.eof {
		n, err := l.sock.Read(scratch)
		if err != nil {
			return
		}
		most -= n
	}
}

func (l *link) backlogged() bool { return len(l.unsent) > l.budget.linkLimit() }

func (l *link) close() {
	if l.sock != nil {
		l.sock.Close()
		l.release()
	}
}

func (l *link) reset() {
	if l.sock != nil {
		l.sock.Reset()
		l.release()
	}
}

// release gives back the buffers of a link whose socket is closed.
func (l *link) release() {
	l.setUnsent(nil)
	*l = link{budget: l.budget}
}
