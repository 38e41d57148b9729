package proxy

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/settings"
	"ospreyspan/internal/stats"
	"ospreyspan/internal/vnet"
)

const testSettings = `{"Balancers":1,"Zone":"z","Discovery":"automatic",` +
	`"Classes":[{"Name":"c","Repeat":"free","TargetUs":500000,"HardLimitUs":2000000,"Worth":1}],` +
	`"Orgs":[{"Name":"serra"},{"Name":"vale"}],"Domain":{"TenantQuotaConnections":[10,5],"TellsDelay":true,"TellsLoad":true,"MessageAimUs":[60000],"ReportX0":"load over capacity"},` +
	`"Permissions":{"AttemptsCap":3,"Cancel":true,"Probing":%v,"DialTimeoutUs":200000,"ConnIdleUs":60000000},` +
	`"Report":{"Fields":["cpu","x0"]}}`

// end is the far end of a connection, a client's or an egress target's, on the same loop as the proxy.
type end struct {
	sock  *poll.Socket
	got   []byte
	deaf  bool
	eof   bool
	reset bool
}

func (e *end) Ready(r poll.Ready) {
	if e.eof && r.Hangup { // both directions are over, which is told without end
		e.sock.Close()
		return
	}
	if e.deaf || e.eof || e.reset {
		return
	}
	buf := make([]byte, 32<<10)
	n, err := e.sock.Read(buf)
	e.got = append(e.got, buf[:n]...)
	if err == io.EOF {
		e.eof = true
		e.sock.Want(false, false)
	} else if err != nil && err != poll.ErrAgain {
		e.reset = true
		e.sock.Close()
	}
}

func (e *end) say(t testing.TB, text string) {
	t.Helper()
	if n, err := e.sock.Write([]byte(text)); !e.reset && err == nil && n < len(text) {
		t.Fatalf("wrote %d of %d bytes", n, len(text))
	}
}

// loopback is an address of a real bed's own.
func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(250)), byte(rand.IntN(256)), byte(1 + rand.IntN(250))}), 0)
}

// bed is a proxy between ends that the test plays, all on one loop: in virtual time, or on real sockets.
type bed struct {
	t       testing.TB
	world   *vnet.World // nil: real sockets
	host    *vnet.Host
	local   netip.AddrPort
	raw     bool // the engine is not asked to deliver: the test looks at its events
	loop    *poll.Loop
	engine  *Engine
	front   *Lines
	count   stats.Counters
	log     bytes.Buffer
	hops    []*end // connections to the targets, in order
	servers []*poll.Listener
	base    int
	text    string // its settings
}

func newBed(t testing.TB, targets int, probes bool) *bed {
	t.Helper()
	b := &bed{t: t, world: vnet.New(1, nil), local: netip.MustParseAddrPort("10.0.0.1:0"), text: fmt.Sprintf(testSettings, probes)}
	b.host = b.world.AddHost("bed", b.local.Addr(), vnet.Limits{})
	err := b.host.Start(func(k poll.Kernel) (func() error, error) {
		b.loop = poll.NewOn(k, func() {})
		b.build(targets)
		return b.step, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	b.settle()
	b.base = b.loop.Open()
	return b
}

// watchConfig is for a watch on another discovery in place of the engine's own.
func (b *bed) watchConfig(at netip.AddrPort) routes.WatchConfig {
	return routes.WatchConfig{Loop: b.loop, Addr: at, Seq: 7, AskWithin: 3 * time.Second, Rand: rand.New(rand.NewPCG(1, 1)), Requests: &b.count.Watches, OnResult: b.engine.news}
}

// newRealBed is newBed on real sockets.
func newRealBed(t testing.TB, targets int, probes bool) *bed {
	t.Helper()
	return newRealBedWith(t, targets, fmt.Sprintf(testSettings, probes))
}

// newRealBedWith is newRealBed with other settings.
func newRealBedWith(t testing.TB, targets int, text string) *bed {
	t.Helper()
	b := &bed{t: t, local: loopback(), text: text}
	var err error
	if b.loop, err = poll.New(func() {}); err != nil {
		t.Fatal(err)
	}
	return b.begin(targets)
}

// newRealBedOn is newRealBed without probes, on a kernel that is put around the real one.
func newRealBedOn(t testing.TB, targets int, around func(poll.Kernel) poll.Kernel) *bed {
	t.Helper()
	kernel, err := poll.NewEpoll(poll.LinuxCalls())
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, local: loopback(), text: fmt.Sprintf(testSettings, false), loop: poll.NewOn(around(kernel), func() {})}
	return b.begin(targets)
}

// begin makes the proxy on its loop.
func (b *bed) begin(targets int) *bed {
	b.build(targets)
	b.settle()
	b.base = b.loop.Open()
	b.t.Cleanup(func() {
		for _, l := range append(b.servers, b.front.listener) {
			l.Close()
		}
		b.loop.Close()
	})
	return b
}

// step is one turn.
func (b *bed) step() error {
	if b.raw {
		return b.loop.Turn(true)
	}
	b.engine.Deliver()
	return b.loop.Turn(!b.engine.Pending())
}

// build makes the proxy and its targets.
func (b *bed) build(targets int) {
	t, local := b.t, b.local
	known := &routes.List{Whole: true}
	for i := range targets {
		l, err := b.loop.Listen(local, func(s *poll.Socket, _ bool) poll.Handler {
			h := &end{sock: s}
			b.hops = append(b.hops, h)
			return h
		})
		if err != nil {
			t.Fatal(err)
		}
		b.servers = append(b.servers, l)
		known.Hosts = append(known.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: l.Addr(), Site: "z"})
	}
	set, err := settings.Decode([]byte(b.text))
	if err != nil {
		t.Fatal(err)
	}
	b.engine, err = NewEngine(EngineConfig{
		Loop: b.loop, Settings: set, Known: known, Seed: 1, Count: &b.count, Log: log.New(&b.log, "", 0),
	})
	if err != nil {
		t.Fatal(err)
	}
	b.front = NewLines(b.engine, 0)
	if err := b.front.Listen(local); err != nil {
		t.Fatal(err)
	}
}

// now is the time of the bed's world.
func (b *bed) now() time.Time {
	if b.world != nil {
		return b.world.Now()
	}
	return time.Now()
}

func (b *bed) since(begin time.Time) time.Duration { return b.now().Sub(begin) }

// settle turns the loop until all that the last step set off has come through.
func (b *bed) settle() {
	if b.world != nil {
		b.loop.Wake() // the test may have armed timers
		if err := b.world.Run(time.Millisecond); err != nil {
			b.t.Fatal(err)
		}
		return
	}
	for range 12 {
		b.engine.Deliver()
		if err := b.loop.Turn(false); err != nil {
			b.t.Fatal(err)
		}
	}
}

// until turns the loop until something holds.
func (b *bed) until(what string, holds func() bool) {
	b.t.Helper()
	for begin := b.now(); !holds(); {
		b.settle()
		if b.since(begin) > 5*time.Second {
			b.t.Fatalf("never came: %s\n%s", what, b.log.String())
		}
		if b.world == nil {
			time.Sleep(time.Millisecond)
		}
	}
}

func (b *bed) client() *end {
	b.t.Helper()
	c := &end{}
	sock, err := b.loop.Dial(b.front.listener.Addr(), c)
	if err != nil {
		b.t.Fatal(err)
	}
	sock.Want(true, false)
	c.sock = sock
	b.settle()
	return c
}

// asked returns the hop that carries the client's first line.
func (b *bed) asked(id string) *end {
	for _, h := range b.hops {
		if !h.reset && strings.HasPrefix(string(h.got), "OPEN "+id+" ") {
			return h
		}
	}
	return nil
}

// stands opens a connection through the proxy and returns both its ends.
func (b *bed) stands(id string) (client, target *end) {
	b.t.Helper()
	client = b.client()
	client.say(b.t, "OPEN "+id+" k c=c,d=2000,g=1\r\n")
	b.until("the hop", func() bool { target = b.asked(id); return target != nil })
	target.say(b.t, "UP r-"+id+"\r\n")
	b.until("UP", func() bool { return string(client.got) == "UP r-"+id+"\r\n" })
	client.got, target.got = nil, nil
	return client, target
}

// over checks that everything was given back once the far ends are closed.
func (b *bed) over(ends ...*end) {
	b.t.Helper()
	for _, e := range append(ends, b.hops...) {
		if e != nil {
			e.sock.Close()
		}
	}
	b.until("all given back", func() bool {
		return len(b.front.sessions) == 0 && len(b.engine.exchanges) == 0 && b.loop.Open() == b.base
	})
}
