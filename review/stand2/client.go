package stand2

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// NewID returns an id that no other connection has.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Conn is a client's connection.
type Conn struct {
	ID     string
	Answer string // the first answer, without its line end; empty: none came
	Err    error  // why none came
	Took   time.Duration
	net.Conn
	In *bufio.Reader
}

// Request connects to a proxy, sends a first line with the given list, and waits for the answer as long as the client
// gives the try.
func (r *Record) Request(p *Proxy, class string, wait time.Duration, more string) *Conn {
	c := &Conn{ID: NewID()}
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d,g=%s%s", c.ID, NewID(), class, wait.Milliseconds(), NewID(), more)
	var err error
	if c.Conn, err = net.DialTimeout("tcp", p.Addr, time.Second); err != nil {
		c.Err = err
		r.Logf("client %s: %s: can't connect: %v", c.ID, p.Name, err)
		return c
	}
	c.In = bufio.NewReader(c.Conn)
	if _, c.Err = c.Conn.Write([]byte(line + "\r\n")); c.Err != nil {
		return c
	}
	sent := time.Now()
	r.LogAt(sent, "client %s: sends %s %q", c.ID, p.Name, line)
	// a client waits a little longer than it says, to see a late answer too
	_ = c.SetReadDeadline(sent.Add(wait + 500*time.Millisecond))
	c.Answer, c.Err = c.In.ReadString('\n')
	c.Took = time.Since(sent)
	c.Answer = strings.TrimRight(c.Answer, "\r\n")
	r.Logf("client %s: %s answers %q after %v (%v)", c.ID, p.Name, c.Answer, c.Took.Round(time.Millisecond), c.Err)
	_ = c.SetReadDeadline(time.Time{})
	return c
}

// Up reports whether the answer is UP.
func (c *Conn) Up() bool { return strings.HasPrefix(c.Answer, "UP ") }

// End closes the connection.
func (c *Conn) End() {
	if c.Conn != nil {
		c.Conn.Close()
	}
}

// Steady sends a request to each proxy every interval until a time, each with a connection that ends soon if it comes
// up. It returns which proxy each request went to.
func (r *Record) Steady(all []*Proxy, interval time.Duration, until time.Time) map[string]string {
	byProxy := make(map[string]string)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for time.Now().Before(until) {
		for _, p := range all {
			wg.Go(func() {
				c := r.Request(p, "readings", 4800*time.Millisecond, "")
				mu.Lock()
				byProxy[c.ID] = p.Name
				mu.Unlock()
				time.Sleep(2 * time.Second)
				c.End()
			})
		}
		time.Sleep(interval)
	}
	wg.Wait()
	return byProxy
}
