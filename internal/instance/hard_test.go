package instance

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/settings"
	"ospreyspan/internal/vnet"
)

const testSettings = `{"Balancers":1,"Zone":"z","Discovery":"subscribe",` +
	`"Classes":[{"Name":"c","Repeat":"free","TargetUs":500000,"HardLimitUs":2000000,"Worth":1}],` +
	`"Domain":{"TellsDelay":true,"TellsLoad":true,"MessageAimUs":[60000],"ReportX0":"load over capacity"},` +
	`"Permissions":{"AttemptsCap":3,"Cancel":true,"Probing":false,"DialTimeoutUs":200000,"ConnIdleUs":60000000}}`

// testConn is the test's end of a connection.
type testConn struct {
	socket      *poll.Socket
	received    string
	established bool
	closed      bool
	err         error
	lastReadAt  time.Time
	now         func() time.Time
}

func (e *testConn) Ready(r poll.Ready) {
	if !e.established {
		if e.err = e.socket.DialError(); e.err != nil {
			e.close()
			return
		}
		e.established = true
		e.socket.Want(true, false)
		return
	}
	var buf [4096]byte
	n, err := e.socket.Read(buf[:])
	if n > 0 {
		e.received += string(buf[:n])
		e.lastReadAt = e.now()
	}
	if err != nil && !errors.Is(err, poll.ErrAgain) {
		if !errors.Is(err, io.EOF) {
			e.err = err
		}
		e.close()
	}
}

func (e *testConn) close() {
	e.closed = true
	e.socket.Close()
}

// testHost is a host with an event loop and the connections that its port accepted.
type testHost struct {
	host     *vnet.Host
	loop     *poll.Loop
	accepted []*testConn
}

// testBed is one proxy, with a host for clients, one for discovery and one for each target.
type testBed struct {
	t         *testing.T
	world     *vnet.World
	proxy     *vnet.Host
	instance  *Instance
	clients   *testHost
	discovery *testHost
	targets   []*testHost
	knownList *routes.List
}

const ms = time.Millisecond

func newTestBed(t *testing.T, targets int) *testBed {
	t.Helper()
	return newTestBedWith(t, targets, 0, testSettings)
}

// newTestBedWith is newTestBed with the given settings and limit of descriptors; 0 means no limit.
func newTestBedWith(t *testing.T, targets, descriptors int, text string) *testBed {
	t.Helper()
	s := &testBed{t: t, world: vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: ms} })}
	s.clients, s.discovery = s.addHost("clients", 2, false), s.addHost("discovery", 3, true)
	known := &routes.List{Whole: true, Seq: 1}
	for i := range targets {
		r := s.addHost(fmt.Sprint("relay", i), 10+i, true)
		s.targets = append(s.targets, r)
		known.Hosts = append(known.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: s.addrOf(r), Site: "z"})
	}
	s.knownList = known
	set, err := settings.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.proxy = s.world.AddHost("proxy", netip.MustParseAddr("10.0.0.1"), vnet.Limits{Descriptors: max(descriptors-processDescriptors, 0)})
	err = s.proxy.Start(func(k poll.Kernel) (func() error, error) {
		loop := poll.NewOn(k, func() {})
		s.instance, err = New(loop, Config{
			Name: "p", Listen: netip.AddrPortFrom(s.proxy.Addr(), port), Discovery: s.addrOf(s.discovery), Seed: 1,
			MaxDescriptors: descriptors, KnownList: known, Settings: set, Log: log.New(io.Discard, "", 0),
		})
		return func() error { return s.instance.Turn() }, err
	})
	if err != nil {
		t.Fatal(err)
	}
	s.run(10 * ms)
	return s
}

const port = 8443

// processDescriptors is the number of descriptors of a process that the loop does not open:
// standard streams, epoll, eventfd and the like.
const processDescriptors = 9

func (s *testBed) addrOf(f *testHost) netip.AddrPort { return netip.AddrPortFrom(f.host.Addr(), port) }

func (s *testBed) addHost(name string, number int, listen bool) *testHost {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
	f := &testHost{host: s.world.AddHost(name, addr, vnet.Limits{})}
	s.startHost(f, listen)
	return f
}

func (s *testBed) startHost(f *testHost, listen bool) {
	s.t.Helper()
	err := f.host.Start(func(k poll.Kernel) (func() error, error) {
		f.loop = poll.NewOn(k, func() {})
		var err error
		if listen {
			_, err = f.loop.Listen(s.addrOf(f), func(sock *poll.Socket, _ bool) poll.Handler {
				e := &testConn{socket: sock, established: true, now: s.world.Now}
				f.accepted = append(f.accepted, e)
				return e
			})
		}
		return func() error { return f.loop.Turn(true) }, err
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *testBed) run(d time.Duration) {
	s.t.Helper()
	if err := s.world.Run(d); err != nil {
		s.t.Fatal(err)
	}
	if err := s.instance.Audit(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testBed) send(e *testConn, text string) {
	s.t.Helper()
	if n, err := e.socket.Write([]byte(text)); err != nil || n < len(text) {
		s.t.Fatalf("wrote %d of %q: %v", n, text, err)
	}
}

// connectClient connects a client and sends its first line.
func (s *testBed) connectClient(id string, wait time.Duration) *testConn {
	s.t.Helper()
	e := &testConn{now: s.world.Now}
	var err error
	if e.socket, err = s.clients.loop.Dial(netip.AddrPortFrom(s.proxy.Addr(), port), e); err != nil {
		s.t.Fatal(err)
	}
	for range 20 {
		if s.run(ms); e.established {
			break
		}
	}
	s.send(e, fmt.Sprintf("OPEN %s k c=c,d=%d\r\n", id, wait.Milliseconds()))
	return e
}

// connectionFor returns the connection on which the host received the request with the given ID, or
// nil if there is none.
func (f *testHost) connectionFor(id string) *testConn {
	for _, e := range f.accepted {
		if strings.HasPrefix(e.received, "OPEN "+id+" ") {
			return e
		}
	}
	return nil
}

// answerDiscoveryRequest answers the pending request to discovery.
func (s *testBed) answerDiscoveryRequest(text string) {
	s.t.Helper()
	for i := len(s.discovery.accepted) - 1; i >= 0; i-- {
		if e := s.discovery.accepted[i]; !e.closed {
			s.send(e, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
			s.run(5 * ms)
			return
		}
	}
	s.t.Fatal("no pending request to discovery")
}

// answerNextDiscoveryRequest answers the next request to discovery.
func (s *testBed) answerNextDiscoveryRequest(text string) {
	s.t.Helper()
	made := len(s.discovery.accepted)
	for range 100 {
		if s.run(50 * ms); len(s.discovery.accepted) > made && !s.discovery.accepted[made].closed {
			s.answerDiscoveryRequest(text)
			return
		}
	}
	s.t.Fatal("no request to discovery was made")
}

// A target stops answering in the middle of a line. Its client receives MOVE between two lines,
// soon after the client's own next line. When the target is back, cold and under the same ID, the
// client's next connection goes there, and nothing of the old connection is passed on.
func TestTargetSilentMidLine(t *testing.T) {
	s := newTestBed(t, 1)
	c := s.connectClient("a", 2*time.Second)
	s.run(20 * ms)
	r := s.targets[0].connectionFor("a")
	if r == nil {
		t.Fatal("the target received no request")
	}
	s.send(r, "UP r-a\r\nreading 1\r\nhalf a li")
	s.run(20 * ms)
	s.targets[0].host.Vanish()
	sent := s.world.Now()
	s.send(c, "beat\r\n")
	s.run(3 * time.Second)
	if c.received != "UP r-a\r\nreading 1\r\nMOVE\r\n" || !c.closed || c.err != nil {
		t.Fatalf("the client received %q, error %v", c.received, c.err)
	}
	if took := c.lastReadAt.Sub(sent); took > 900*ms {
		t.Errorf("client was moved after %v, want at most 900ms", took)
	}
	s.targets[0].host.Return()
	s.targets[0].accepted = nil
	s.startHost(s.targets[0], true)
	s.answerDiscoveryRequest(fmt.Sprintf(`{"seq":2,"whole":true,"hosts":[{"host":"s0","dial":%q,"health":"SERVING","site":"z","born_ms":%d}]}`,
		s.addrOf(s.targets[0]), s.world.Now().Add(-time.Minute).UnixMilli()))
	// the ejection of the target has ended
	s.run(10 * time.Second)
	// a list of 10 s ago is not used without a new answer of discovery
	s.answerNextDiscoveryRequest(`{"seq":2,"whole":false,"hosts":[]}`)
	again := s.connectClient("b", 2*time.Second)
	s.run(50 * ms)
	r = s.targets[0].connectionFor("b")
	if r == nil {
		t.Fatalf("the returned target received no request; the client received %q", again.received)
	}
	s.send(r, "UP r-b\r\n")
	s.run(20 * ms)
	if again.received != "UP r-b\r\n" || s.targets[0].connectionFor("a") != nil {
		t.Errorf("the client received %q", again.received)
	}
}

// A partition heals while a hop is connecting across it. The retransmitted SYN then finds a
// connection that was given up, and the request must have run once, at one target.
func TestPartitionHealsWhileConnecting(t *testing.T) {
	s := newTestBed(t, 2)
	cut := s.world.Cut([]*vnet.Host{s.proxy}, []*vnet.Host{s.targets[0].host, s.targets[1].host})
	c := s.connectClient("a", 2*time.Second)
	s.run(100 * ms) // in the middle of the first hop's timeout of 200 ms
	cut.Heal()
	s.run(1200 * ms)
	var asked []*testConn
	for _, r := range s.targets {
		if e := r.connectionFor("a"); e != nil {
			asked = append(asked, e)
		}
	}
	if len(asked) != 1 {
		t.Fatalf("%d targets received the request, want 1; the client received %q", len(asked), c.received)
	}
	s.send(asked[0], "UP r\r\n")
	s.run(3 * time.Second) // all earlier SYNs have been retransmitted by now
	if c.received != "UP r\r\n" || c.closed {
		t.Errorf("the client received %q, closed: %v", c.received, c.closed)
	}
	for i, r := range s.targets {
		n := 0
		for _, e := range r.accepted {
			if strings.HasPrefix(e.received, "OPEN") {
				n++
			}
		}
		if n > 1 || i == 1 && n+len(s.targets[0].accepted) < 1 {
			t.Errorf("target %d received %d requests", i, n)
		}
	}
	if s.instance.Count.HopNoConnect == 0 || s.instance.Count.Overdue != 0 {
		t.Errorf("unexpected counters: %+v", s.instance.Count)
	}
}

// The process is stalled for 300 ms around the end of a client's time limit. If the stall ends
// before the deadline, the answer is in time. If it lasts beyond the deadline, the answer is sent
// as soon as it ends, and there is only one.
func TestStallAtTheDeadline(t *testing.T) {
	for _, tt := range []struct {
		stallAt, latest time.Duration
	}{{570 * ms, 905 * ms}, {700 * ms, 1010 * ms}} {
		s := newTestBed(t, 0) // there is no target: the module holds the request as long as it may
		begin := s.world.Now()
		c := s.connectClient("a", 900*ms)
		s.run(tt.stallAt - s.world.Now().Sub(begin))
		s.proxy.Stall(300 * ms)
		s.run(3 * time.Second)
		if c.received != "BUSY\r\n" && c.received != "BUSY 500\r\n" {
			t.Errorf("the client received %q", c.received)
		}
		if at := c.lastReadAt.Sub(begin); at > tt.latest {
			t.Errorf("stalled at %v: answered after %v, want at most %v", tt.stallAt, at, tt.latest)
		}
		if n := s.instance.Count.Shed + s.instance.Count.Overdue; n != 1 {
			t.Errorf("%d answers, want 1: %+v", n, s.instance.Count)
		}
	}
}

// A process is stalled while a hop connects, and then a list arrives by which its target drains.
// When the process continues it must read the list first, so that the hop is cancelled and nothing
// new reaches the target.
func TestListReadBeforeHopsAfterStall(t *testing.T) {
	s := newTestBed(t, 1)
	s.connectClient("a", 2*time.Second)
	for s.instance.Count.Hops == 0 {
		s.run(ms / 10)
	}
	s.proxy.Stall(700 * ms)
	s.run(5 * ms) // the hop is connected, which the process has not seen
	s.answerDiscoveryRequest(fmt.Sprintf(`{"seq":2,"whole":false,"hosts":[{"host":"s0","dial":%q,"health":"DRAINING","site":"z"}]}`, s.addrOf(s.targets[0])))
	s.run(2 * time.Second)
	if e := s.targets[0].connectionFor("a"); e != nil {
		t.Errorf("the draining target received %q", e.received)
	}
	if s.instance.Count.HopNoConnect != 1 {
		t.Errorf("unexpected counters: %+v", s.instance.Count)
	}
}
