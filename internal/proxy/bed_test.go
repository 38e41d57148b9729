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

// testConn is the remote end of a connection, a client's or an egress target's. It runs on the
// proxy's loop.
type testConn struct {
	sock       *poll.Socket
	received   []byte
	readPaused bool
	eof        bool
	reset      bool
}

func (e *testConn) Ready(r poll.Ready) {
	if e.eof && r.Hangup { // both directions are closed; the loop would report it in every turn
		e.sock.Close()
		return
	}
	if e.readPaused || e.eof || e.reset {
		return
	}
	buf := make([]byte, 32<<10)
	n, err := e.sock.Read(buf)
	e.received = append(e.received, buf[:n]...)
	if err == io.EOF {
		e.eof = true
		e.sock.Want(false, false)
	} else if err != nil && err != poll.ErrAgain {
		e.reset = true
		e.sock.Close()
	}
}

func (e *testConn) write(t testing.TB, text string) {
	t.Helper()
	if n, err := e.sock.Write([]byte(text)); !e.reset && err == nil && n < len(text) {
		t.Fatalf("wrote %d of %d bytes", n, len(text))
	}
}

// loopback returns a random loopback address for one socket test bed.
func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(250)), byte(rand.IntN(256)), byte(1 + rand.IntN(250))}), 0)
}

// testBed is a proxy with clients and egress targets that the test plays, all on one loop: in
// virtual time on a simulated network, or on real sockets.
type testBed struct {
	t              testing.TB
	world          *vnet.World // nil: real sockets
	host           *vnet.Host
	local          netip.AddrPort
	manualDelivery bool // Engine.Deliver is not called: the test inspects the engine's events
	loop           *poll.Loop
	engine         *Engine
	frontend       *LineFrontend
	counters       stats.Counters
	log            bytes.Buffer
	targetConns    []*testConn // accepted by the targets, in order
	servers        []*poll.Listener
	baseSockets    int
	settingsText   string // the proxy's settings, JSON
}

func newTestBed(t testing.TB, targets int, probes bool) *testBed {
	t.Helper()
	b := &testBed{t: t, world: vnet.New(1, nil), local: netip.MustParseAddrPort("10.0.0.1:0"), settingsText: fmt.Sprintf(testSettings, probes)}
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
	b.baseSockets = b.loop.Open()
	return b
}

// watchConfig returns the configuration of a watch on discovery at an address, in place of the
// engine's own watch.
func (b *testBed) watchConfig(at netip.AddrPort) routes.WatchConfig {
	return routes.WatchConfig{Loop: b.loop, Addr: at, Seq: 7, AskWithin: 3 * time.Second, Rand: rand.New(rand.NewPCG(1, 1)), Requests: &b.counters.Watches, OnResult: b.engine.handleDiscoveryAnswer}
}

// newSocketTestBed returns a test bed on real sockets.
func newSocketTestBed(t testing.TB, targets int, probes bool) *testBed {
	t.Helper()
	return newSocketTestBedWithSettings(t, targets, fmt.Sprintf(testSettings, probes))
}

// newSocketTestBedWithSettings returns a test bed on real sockets with the given settings.
func newSocketTestBedWithSettings(t testing.TB, targets int, text string) *testBed {
	t.Helper()
	b := &testBed{t: t, local: loopback(), settingsText: text}
	var err error
	if b.loop, err = poll.New(func() {}); err != nil {
		t.Fatal(err)
	}
	return b.start(targets)
}

// newSocketTestBedOnKernel returns a test bed on real sockets, without probes, whose loop uses the
// kernel that around returns for the real one.
func newSocketTestBedOnKernel(t testing.TB, targets int, around func(poll.Kernel) poll.Kernel) *testBed {
	t.Helper()
	kernel, err := poll.NewEpoll(poll.LinuxCalls())
	if err != nil {
		t.Fatal(err)
	}
	b := &testBed{t: t, local: loopback(), settingsText: fmt.Sprintf(testSettings, false), loop: poll.NewOn(around(kernel), func() {})}
	return b.start(targets)
}

// start creates the proxy and its targets on the loop, and closes them at the end of the test.
func (b *testBed) start(targets int) *testBed {
	b.build(targets)
	b.settle()
	b.baseSockets = b.loop.Open()
	b.t.Cleanup(func() {
		for _, l := range append(b.servers, b.frontend.listener) {
			l.Close()
		}
		b.loop.Close()
	})
	return b
}

// step runs one turn of the loop.
func (b *testBed) step() error {
	if b.manualDelivery {
		return b.loop.Turn(true)
	}
	b.engine.Deliver()
	return b.loop.Turn(!b.engine.Pending())
}

// build creates the proxy and its targets.
func (b *testBed) build(targets int) {
	t, local := b.t, b.local
	known := &routes.List{Whole: true}
	for i := range targets {
		l, err := b.loop.Listen(local, func(s *poll.Socket, _ bool) poll.Handler {
			h := &testConn{sock: s}
			b.targetConns = append(b.targetConns, h)
			return h
		})
		if err != nil {
			t.Fatal(err)
		}
		b.servers = append(b.servers, l)
		known.Hosts = append(known.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: l.Addr(), Site: "z"})
	}
	set, err := settings.Decode([]byte(b.settingsText))
	if err != nil {
		t.Fatal(err)
	}
	b.engine, err = NewEngine(EngineConfig{
		Loop: b.loop, Settings: set, Known: known, Seed: 1, Count: &b.counters, Log: log.New(&b.log, "", 0),
	})
	if err != nil {
		t.Fatal(err)
	}
	b.frontend = NewLineFrontend(b.engine, 0)
	if err := b.frontend.Listen(local); err != nil {
		t.Fatal(err)
	}
}

// now returns the virtual time, or the real time on real sockets.
func (b *testBed) now() time.Time {
	if b.world != nil {
		return b.world.Now()
	}
	return time.Now()
}

func (b *testBed) since(begin time.Time) time.Duration { return b.now().Sub(begin) }

// settle runs the loop until the effects of the test's last step are complete: 1 ms of virtual
// time, or 12 turns on real sockets.
func (b *testBed) settle() {
	if b.world != nil {
		b.loop.Wake() // the test may have set timers
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

// waitFor runs the loop until holds returns true, for at most 5 s.
func (b *testBed) waitFor(what string, holds func() bool) {
	b.t.Helper()
	for begin := b.now(); !holds(); {
		b.settle()
		if b.since(begin) > 5*time.Second {
			b.t.Fatalf("timed out after 5 s waiting for %s; log:\n%s", what, b.log.String())
		}
		if b.world == nil {
			time.Sleep(time.Millisecond)
		}
	}
}

func (b *testBed) dialClient() *testConn {
	b.t.Helper()
	c := &testConn{}
	sock, err := b.loop.Dial(b.frontend.listener.Addr(), c)
	if err != nil {
		b.t.Fatal(err)
	}
	sock.Want(true, false)
	c.sock = sock
	b.settle()
	return c
}

// requestConn returns the target's end of the hop on which the client's first line arrived, or nil.
func (b *testBed) requestConn(id string) *testConn {
	for _, h := range b.targetConns {
		if !h.reset && strings.HasPrefix(string(h.received), "OPEN "+id+" ") {
			return h
		}
	}
	return nil
}

// establish opens a connection through the proxy and returns both its remote ends.
func (b *testBed) establish(id string) (client, target *testConn) {
	b.t.Helper()
	client = b.dialClient()
	client.write(b.t, "OPEN "+id+" k c=c,d=2000,g=1\r\n")
	b.waitFor("the hop", func() bool { target = b.requestConn(id); return target != nil })
	target.write(b.t, "UP r-"+id+"\r\n")
	b.waitFor("UP", func() bool { return string(client.received) == "UP r-"+id+"\r\n" })
	client.received, target.received = nil, nil
	return client, target
}

// checkReleased closes the remote ends and checks that the proxy releases all it held for them.
func (b *testBed) checkReleased(ends ...*testConn) {
	b.t.Helper()
	for _, e := range append(ends, b.targetConns...) {
		if e != nil {
			e.sock.Close()
		}
	}
	b.waitFor("the release of all sessions, exchanges and sockets", func() bool {
		return len(b.frontend.sessions) == 0 && len(b.engine.exchanges) == 0 && b.loop.Open() == b.baseSockets
	})
}
