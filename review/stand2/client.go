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

// Standing is a client that keeps its connection and sends a line every 2 s.
type Standing struct {
	Server string // that the receipt names
	mu     sync.Mutex
	end    string
}

// End returns how the connection ended: "told to move", "cut off", or empty while it stands.
func (s *Standing) End() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}

// Stand opens connections through a proxy and keeps them. Those that don't come up are left out.
func (r *Record) Stand(p *Proxy, n int) []*Standing {
	var all []*Standing
	for range n {
		c := r.Request(p, "readings", 4800*time.Millisecond, "")
		if !c.Up() {
			c.End()
			continue
		}
		server, _, _ := strings.Cut(strings.TrimPrefix(c.Answer, "UP "), "/")
		s := &Standing{Server: server}
		all = append(all, s)
		go func() {
			defer c.End()
			tick := time.NewTicker(2 * time.Second)
			defer tick.Stop()
			go func() {
				for range tick.C {
					if _, err := c.Write([]byte("reading 7.1\r\n")); err != nil {
						return
					}
				}
			}()
			end := "cut off"
			for {
				text, err := c.In.ReadString('\n')
				if err != nil {
					break
				}
				if text == "MOVE\r\n" {
					end = "told to move"
					break
				}
			}
			s.mu.Lock()
			s.end = end
			s.mu.Unlock()
			r.Logf("client %s at %s: %s", c.ID, server, end)
		}()
	}
	return all
}

// Ends logs what became of the clients that stood at a server.
func (r *Record) Ends(all []*Standing, server string) {
	ends := make(map[string]int)
	for _, s := range all {
		if s.Server == server {
			ends[s.End()]++
		}
	}
	r.Logf("of the clients that stood at %s, %d were told to move and %d were cut off when it left", server, ends["told to move"], ends["cut off"])
}
