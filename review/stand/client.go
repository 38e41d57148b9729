package stand

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Client is one connection of a client.
type Client struct {
	ID     string
	record *Record
	conn   net.Conn
	mu     sync.Mutex
	Answer string // the first line that came; empty: none yet
	lines  []Line
	end    time.Time // when the proxy ended the connection; zero: it has not
	moved  bool      // MOVE came before the end
	sent   []time.Time
	done   chan struct{}
	answer chan struct{}
}

// Line is a line that a client received.
type Line struct {
	At   time.Time
	Text string
}

// OpenClient connects to a proxy and sends the first line. Once UP has come, the client sends a
// line every 2 s.
func OpenClient(r *Record, proxy, id, class string, wait time.Duration, extra string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", proxy, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{ID: id, record: r, conn: conn, done: make(chan struct{}), answer: make(chan struct{})}
	text := fmt.Sprintf("OPEN %s k%s c=%s,d=%d%s", id, id, class, wait.Milliseconds(), extra)
	r.Printf("client %s: sends %q", id, text)
	if _, err := fmt.Fprintf(conn, "%s\r\n", text); err != nil {
		return nil, err
	}
	go c.read()
	return c, nil
}

func (c *Client) read() {
	in := bufio.NewReader(c.conn)
	first := true
	for {
		text, err := in.ReadString('\n')
		c.mu.Lock()
		if err != nil {
			c.end = time.Now()
			c.mu.Unlock()
			c.record.Printf("client %s: connection ended: %v", c.ID, err)
			close(c.done)
			if first {
				close(c.answer)
			}
			_ = c.conn.Close()
			return
		}
		text = strings.TrimRight(text, "\r\n")
		c.lines = append(c.lines, Line{time.Now(), text})
		if text == "MOVE" {
			c.moved = true
		}
		if first {
			c.Answer = text
		}
		c.mu.Unlock()
		c.record.Printf("client %s: got %q", c.ID, text)
		if first {
			first = false
			close(c.answer)
			if strings.HasPrefix(text, "UP ") {
				go c.talk()
			}
		}
	}
}

func (c *Client) talk() {
	for n := 1; ; n++ {
		select {
		case <-c.done:
			return
		case <-time.After(2 * time.Second):
		}
		c.mu.Lock()
		c.sent = append(c.sent, time.Now())
		c.mu.Unlock()
		c.record.Printf("client %s: sends line %d", c.ID, n)
		if _, err := fmt.Fprintf(c.conn, "line %d\r\n", n); err != nil {
			return
		}
	}
}

// WaitAnswer waits for the first line and returns it; empty: none came in time, or the connection
// ended without one.
func (c *Client) WaitAnswer(most time.Duration) string {
	select {
	case <-c.answer:
	case <-time.After(most):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Answer
}

// Up reports whether the client's connection is served and has not ended.
func (c *Client) Up() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.HasPrefix(c.Answer, "UP ") && c.end.IsZero()
}

// Ended returns when the proxy ended the connection, and whether it said MOVE. The time is zero if
// the connection is open.
func (c *Client) Ended() (at time.Time, moved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.moved
}

// LastHeard returns when the last line came.
func (c *Client) LastHeard() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lines) == 0 {
		return time.Time{}
	}
	return c.lines[len(c.lines)-1].At
}

// SentSince returns how many lines the client sent after a time.
func (c *Client) SentSince(t time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.sent {
		if at.After(t) {
			n++
		}
	}
	return n
}

// Close ends the client's connection.
func (c *Client) Close() { _ = c.conn.Close() }
