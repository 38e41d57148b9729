package fleet

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

// BadClients creates clients that break the protocol: they send nothing, malformed lines or too
// much, or disconnect at once.
type BadClients struct {
	loop        *poll.Loop
	rng         *rand.Rand
	proxies     []netip.AddrPort
	rate        float64 // connections per second
	timer       poll.Timer
	clients     []*badClient
	connections int
}

// maxBadClients bounds the number of open connections; the oldest is closed to make room.
const maxBadClients = 2000

// NewBadClients starts bad clients that connect to random ones of the given proxies at a rate per
// second.
func NewBadClients(loop *poll.Loop, proxies []netip.AddrPort, rate float64, rng *rand.Rand) *BadClients {
	b := &BadClients{loop: loop, rng: rng, proxies: proxies, rate: rate}
	b.timer.Fire = b.connect
	loop.After(&b.timer, 0)
	return b
}

// Connections returns the number of connections that were started.
func (b *BadClients) Connections() int { return b.connections }

// Stop ends the arrivals and closes all connections.
func (b *BadClients) Stop() {
	b.loop.Disarm(&b.timer)
	for len(b.clients) > 0 {
		b.clients[0].close()
	}
}

func (b *BadClients) connect() {
	b.loop.After(&b.timer, min(seconds(b.rng.ExpFloat64()/b.rate), time.Second))
	if len(b.clients) >= maxBadClients {
		b.clients[0].close()
	}
	c := &badClient{source: b, kind: b.rng.IntN(len(malformedLines) + 2)}
	sock, err := b.loop.Dial(b.proxies[b.rng.IntN(len(b.proxies))], c)
	if err != nil {
		return
	}
	b.connections++
	c.sock = sock
	b.clients = append(b.clients, c)
}

// malformedLines are the inputs that bad clients send. Their connection ids need not differ, since
// none of these lines may reach a relay.
var malformedLines = [][]byte{
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

// badClient is one of the BadClients. With a kind beyond malformedLines it sends nothing or
// disconnects at once.
type badClient struct {
	source    *BadClients
	kind      int
	sock      *poll.Socket
	connected bool
}

func (c *badClient) Ready(e poll.Ready) {
	if !c.connected {
		if c.sock.DialError() != nil {
			c.close()
			return
		}
		c.connected = true
		switch {
		case c.kind < len(malformedLines):
			if _, err := c.sock.Write(malformedLines[c.kind]); err != nil {
				c.close()
				return
			}
		case c.kind == len(malformedLines):
			c.close()
			return
		}
		c.sock.Want(true, false)
		return
	}
	var buf [256]byte
	if _, err := c.sock.Read(buf[:]); err != nil && err != poll.ErrAgain {
		c.close()
	}
}

func (c *badClient) close() {
	c.sock.Close()
	for i, o := range c.source.clients {
		if o == c {
			c.source.clients = append(c.source.clients[:i], c.source.clients[i+1:]...)
			return
		}
	}
}
