package fleet

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

// BadClients is a source of clients that break the protocol: they say nothing, or nonsense, or too much, or leave at once.
type BadClients struct {
	loop  *poll.Loop
	rng   *rand.Rand
	to    []netip.AddrPort
	rate  float64 // connections a second
	timer poll.Timer
	open  []*rudeClient
	made  int
}

// rudeMost is how many of its connections are open at a time; the oldest makes room.
const rudeMost = 2000

// NewBadClients starts bad clients that come to these proxies at that rate.
func NewBadClients(loop *poll.Loop, to []netip.AddrPort, rate float64, rng *rand.Rand) *BadClients {
	r := &BadClients{loop: loop, rng: rng, to: to, rate: rate}
	r.timer.Fire = r.come
	loop.After(&r.timer, 0)
	return r
}

// Connections tells how many there were.
func (r *BadClients) Connections() int { return r.made }

// Stop ends them.
func (r *BadClients) Stop() {
	r.loop.Disarm(&r.timer)
	for len(r.open) > 0 {
		r.open[0].end()
	}
}

func (r *BadClients) come() {
	r.loop.After(&r.timer, min(seconds(r.rng.ExpFloat64()/r.rate), time.Second))
	if len(r.open) >= rudeMost {
		r.open[0].end()
	}
	c := &rudeClient{r: r, kind: r.rng.IntN(len(rudeLines) + 2)}
	sock, err := r.loop.Dial(r.to[r.rng.IntN(len(r.to))], c)
	if err != nil {
		return
	}
	r.made++
	c.sock = sock
	r.open = append(r.open, c)
}

// rudeLines are what they say. Ids of their own would need no format: none of these is to reach a relay.
var rudeLines = [][]byte{
	[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
	[]byte("OPEN\r\n"),
	[]byte("OPEN rude k c=none,d=1000\r\n"),
	[]byte("OPEN rude k c=readings,d=NaN\r\n"),
	[]byte("OPEN rude k c=readings,d=1000,d=2000\r\n"),
	[]byte("OPEN rude k c=read"),
	[]byte("\r\n"),
	[]byte("\x00\x01\x02\xff\r\n"),
	bytes.Repeat([]byte("x"), 6000),
	bytes.Repeat([]byte("PING\r\n"), 100),
	[]byte("STATS\r\n"),
	fmt.Appendf(nil, "OPEN rude k c=readings,d=%d\r\n", 1<<60),
}

// rudeClient is one of them. Those beyond rudeLines say nothing, or leave at once.
type rudeClient struct {
	r    *BadClients
	kind int
	sock *poll.Socket
	up   bool
}

func (c *rudeClient) Ready(e poll.Ready) {
	if !c.up {
		if c.sock.DialError() != nil {
			c.end()
			return
		}
		c.up = true
		switch {
		case c.kind < len(rudeLines):
			if _, err := c.sock.Write(rudeLines[c.kind]); err != nil {
				c.end()
				return
			}
		case c.kind == len(rudeLines):
			c.end()
			return
		}
		c.sock.Want(true, false)
		return
	}
	var buf [256]byte
	if _, err := c.sock.Read(buf[:]); err != nil && err != poll.ErrAgain {
		c.end()
	}
}

func (c *rudeClient) end() {
	c.sock.Close()
	for i, o := range c.r.open {
		if o == c {
			c.r.open = append(c.r.open[:i], c.r.open[i+1:]...)
			return
		}
	}
}
