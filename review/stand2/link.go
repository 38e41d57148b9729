package stand2

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Link is a way from the proxies to an address. While it is cut, open connections remain open and silent, and new ones
// never come up: nobody accepts, and the queue of the listener is full.
type Link struct {
	Addr, to string
	r        *Record
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	cut      chan struct{} // closed when the link is there again; nil: it is there
	fill     []net.Conn
}

// NewLink returns a link to an address, with a free port of 127.0.0.1.
func NewLink(r *Record, to string) (*Link, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	err = errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 1))
	file := os.NewFile(uintptr(fd), "link")
	defer file.Close()
	if err != nil {
		return nil, err
	}
	l := &Link{to: to, r: r, conns: make(map[net.Conn]bool)}
	if l.listener, err = net.FileListener(file); err != nil {
		return nil, err
	}
	l.Addr = l.listener.Addr().String()
	go l.accept()
	return l, nil
}

func (l *Link) accept() {
	for {
		l.wait()
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(c)
	}
}

// wait waits while the link is cut.
func (l *Link) wait() {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

func (l *Link) carry(c net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[far] = true, true
	l.mu.Unlock()
	copyTo := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			l.wait()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if errors.Is(err, io.EOF) {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			}
			if err != nil {
				return
			}
		}
	}
	var both sync.WaitGroup
	both.Go(func() { copyTo(c, far) })
	both.Go(func() { copyTo(far, c) })
	both.Wait()
	c.Close()
	far.Close()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, far)
	l.mu.Unlock()
}

// Cut cuts the link.
func (l *Link) Cut() {
	l.mu.Lock()
	l.cut = make(chan struct{})
	l.mu.Unlock()
	l.r.Logf("the link is cut")
	for range 16 { // until the queue is full; the first one may be accepted
		c, err := net.DialTimeout("tcp", l.Addr, 20*time.Millisecond)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.fill = append(l.fill, c)
		l.mu.Unlock()
	}
}

// Mend ends that. The connections that were open are reset.
func (l *Link) Mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	for _, c := range l.fill {
		c.Close()
	}
	l.fill = nil
	close(l.cut)
	l.cut = nil
	l.r.Logf("the link is there again")
}
