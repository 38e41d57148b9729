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

// end is a far end that a test plays, on a machine of its own.
type end struct {
	sock *poll.Socket
	got  string
	up   bool
	over bool
	err  error
	at   time.Time // of the last bytes
	now  func() time.Time
}

func (e *end) Ready(r poll.Ready) {
	if !e.up {
		if e.err = e.sock.Established(); e.err != nil {
			e.close()
			return
		}
		e.up = true
		e.sock.Want(true, false)
		return
	}
	var buf [4096]byte
	n, err := e.sock.Read(buf[:])
	if n > 0 {
		e.got += string(buf[:n])
		e.at = e.now()
	}
	if err != nil && !errors.Is(err, poll.ErrAgain) {
		if !errors.Is(err, io.EOF) {
			e.err = err
		}
		e.close()
	}
}

func (e *end) close() {
	e.over = true
	e.sock.Close()
}

// far is a machine with a loop and what came to its port.
type far struct {
	host  *vnet.Host
	loop  *poll.Loop
	taken []*end
}

// scene is one proxy, a machine for clients, one for discovery and one for each relay.
type scene struct {
	t         *testing.T
	w         *vnet.World
	proxy     *vnet.Host
	inst      *Instance
	clients   *far
	discovery *far
	relays    []*far
	known     *routes.List
}

const ms = time.Millisecond

func newScene(t *testing.T, relays int) *scene {
	t.Helper()
	return newSceneWith(t, relays, 0, testSettings)
}

// newSceneWith is newScene with other settings and a proxy that may hold so many descriptors; 0: any number.
func newSceneWith(t *testing.T, relays, descriptors int, text string) *scene {
	t.Helper()
	s := &scene{t: t, w: vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: ms} })}
	s.clients, s.discovery = s.far("clients", 2, false), s.far("discovery", 3, true)
	known := &routes.List{Whole: true, Seq: 1}
	for i := range relays {
		r := s.far(fmt.Sprint("relay", i), 10+i, true)
		s.relays = append(s.relays, r)
		known.Hosts = append(known.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: s.at(r), Site: "z"})
	}
	s.known = known
	set, err := settings.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.proxy = s.w.AddHost("proxy", netip.MustParseAddr("10.0.0.1"), vnet.Limits{Descriptors: max(descriptors-processDescriptors, 0)})
	err = s.proxy.Start(func(k poll.Kernel) (func() error, error) {
		loop := poll.NewOn(k, func() {})
		s.inst, err = New(loop, Config{
			Name: "p", Listen: netip.AddrPortFrom(s.proxy.Addr(), port), Discovery: s.at(s.discovery), Seed: 1,
			MaxDescriptors: descriptors, KnownList: known, Settings: set, Log: log.New(io.Discard, "", 0),
		})
		return func() error { return s.inst.Turn() }, err
	})
	if err != nil {
		t.Fatal(err)
	}
	s.run(10 * ms)
	return s
}

const port = 8443

// processDescriptors are those of a process that a loop does not open: standard streams, epoll, eventfd and the like.
const processDescriptors = 9

func (s *scene) at(f *far) netip.AddrPort { return netip.AddrPortFrom(f.host.Addr(), port) }

func (s *scene) far(name string, number int, listen bool) *far {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
	f := &far{host: s.w.AddHost(name, addr, vnet.Limits{})}
	s.start(f, listen)
	return f
}

func (s *scene) start(f *far, listen bool) {
	s.t.Helper()
	err := f.host.Start(func(k poll.Kernel) (func() error, error) {
		f.loop = poll.NewOn(k, func() {})
		var err error
		if listen {
			_, err = f.loop.Listen(s.at(f), func(sock *poll.Socket, _ bool) poll.Handler {
				e := &end{sock: sock, up: true, now: s.w.Now}
				f.taken = append(f.taken, e)
				return e
			})
		}
		return func() error { return f.loop.Turn(true) }, err
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *scene) run(d time.Duration) {
	s.t.Helper()
	if err := s.w.Run(d); err != nil {
		s.t.Fatal(err)
	}
	if err := s.inst.Audit(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scene) say(e *end, text string) {
	s.t.Helper()
	if n, err := e.sock.Write([]byte(text)); err != nil || n < len(text) {
		s.t.Fatalf("wrote %d of %q: %v", n, text, err)
	}
}

// client connects and sends its first line.
func (s *scene) client(id string, wait time.Duration) *end {
	s.t.Helper()
	e := &end{now: s.w.Now}
	var err error
	if e.sock, err = s.clients.loop.Dial(netip.AddrPortFrom(s.proxy.Addr(), port), e); err != nil {
		s.t.Fatal(err)
	}
	for range 20 {
		if s.run(ms); e.up {
			break
		}
	}
	s.say(e, fmt.Sprintf("OPEN %s k c=c,d=%d\r\n", id, wait.Milliseconds()))
	return e
}

// asked returns the connection at a relay that asks for this id, nil if there is none.
func (f *far) asked(id string) *end {
	for _, e := range f.taken {
		if strings.HasPrefix(e.got, "OPEN "+id+" ") {
			return e
		}
	}
	return nil
}

// tell has discovery answer the call that is out.
func (s *scene) tell(text string) {
	s.t.Helper()
	for i := len(s.discovery.taken) - 1; i >= 0; i-- {
		if e := s.discovery.taken[i]; !e.over {
			s.say(e, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
			s.run(5 * ms)
			return
		}
	}
	s.t.Fatal("no call of discovery is out")
}

// tellNext answers the next call of discovery that is made.
func (s *scene) tellNext(text string) {
	s.t.Helper()
	made := len(s.discovery.taken)
	for range 100 {
		if s.run(50 * ms); len(s.discovery.taken) > made && !s.discovery.taken[made].over {
			s.tell(text)
			return
		}
	}
	s.t.Fatal("no call of discovery was made")
}

// A relay falls silent in the middle of a line. Its client is told MOVE between two lines, soon after its own next line;
// when the relay is back, cold and under its id, the client's next connection goes there and nothing of the old life is
// passed on.
func TestRelaySilentMidLine(t *testing.T) {
	s := newScene(t, 1)
	c := s.client("a", 2*time.Second)
	s.run(20 * ms)
	r := s.relays[0].asked("a")
	if r == nil {
		t.Fatal("the relay was not asked")
	}
	s.say(r, "UP r-a\r\nreading 1\r\nhalf a li")
	s.run(20 * ms)
	s.relays[0].host.Vanish()
	sent := s.w.Now()
	s.say(c, "beat\r\n")
	s.run(3 * time.Second)
	if c.got != "UP r-a\r\nreading 1\r\nMOVE\r\n" || !c.over || c.err != nil {
		t.Fatalf("the client got %q, %v", c.got, c.err)
	}
	if took := c.at.Sub(sent); took > 900*ms {
		t.Errorf("moved after %v", took)
	}
	s.relays[0].host.Return()
	s.relays[0].taken = nil
	s.start(s.relays[0], true)
	s.tell(fmt.Sprintf(`{"seq":2,"whole":true,"hosts":[{"host":"s0","dial":%q,"health":"SERVING","site":"z","born_ms":%d}]}`,
		s.at(s.relays[0]), s.w.Now().Add(-time.Minute).UnixMilli()))
	s.run(10 * time.Second)                          // whatever was ejected is not any more
	s.tellNext(`{"seq":2,"whole":false,"hosts":[]}`) // a list of 10 s ago is not acted upon without a word of discovery
	again := s.client("b", 2*time.Second)
	s.run(50 * ms)
	r = s.relays[0].asked("b")
	if r == nil {
		t.Fatalf("the relay that is back was not asked; the client got %q", again.got)
	}
	s.say(r, "UP r-b\r\n")
	s.run(20 * ms)
	if again.got != "UP r-b\r\n" || s.relays[0].asked("a") != nil {
		t.Errorf("the client got %q", again.got)
	}
}

// A partition heals while a hop is connecting across it: the SYN that is sent again finds a connection that was given up,
// and the request has run once, at one relay.
func TestPartitionHealsWhileConnecting(t *testing.T) {
	s := newScene(t, 2)
	cut := s.w.Cut([]*vnet.Host{s.proxy}, []*vnet.Host{s.relays[0].host, s.relays[1].host})
	c := s.client("a", 2*time.Second)
	s.run(100 * ms) // in the middle of the first hop's 200 ms
	cut.Heal()
	s.run(1200 * ms)
	var asked []*end
	for _, r := range s.relays {
		if e := r.asked("a"); e != nil {
			asked = append(asked, e)
		}
	}
	if len(asked) != 1 {
		t.Fatalf("%d relays were asked; the client got %q", len(asked), c.got)
	}
	s.say(asked[0], "UP r\r\n")
	s.run(3 * time.Second) // all SYNs of the time before have been sent again by now
	if c.got != "UP r\r\n" || c.over {
		t.Errorf("the client got %q, over: %v", c.got, c.over)
	}
	for i, r := range s.relays {
		n := 0
		for _, e := range r.taken {
			if strings.HasPrefix(e.got, "OPEN") {
				n++
			}
		}
		if n > 1 || i == 1 && n+len(s.relays[0].taken) < 1 {
			t.Errorf("relay %d was asked %d times", i, n)
		}
	}
	if s.inst.Count.HopNoConnect == 0 || s.inst.Count.Overdue != 0 {
		t.Errorf("%+v", s.inst.Count)
	}
}

// The process is stalled for 300 ms just when a client's time is up. A stall that ends before the deadline costs nothing:
// the answer is there in time. One that goes on beyond it makes the answer late, at once when it ends, and still only one.
func TestStallAtTheDeadline(t *testing.T) {
	for _, tt := range []struct {
		from, most time.Duration
	}{{570 * ms, 905 * ms}, {700 * ms, 1010 * ms}} {
		s := newScene(t, 0) // nobody can take it: the module holds the request as long as it may
		begin := s.w.Now()
		c := s.client("a", 900*ms)
		s.run(tt.from - s.w.Now().Sub(begin))
		s.proxy.Stall(300 * ms)
		s.run(3 * time.Second)
		if c.got != "BUSY\r\n" && c.got != "BUSY 500\r\n" {
			t.Errorf("the client got %q", c.got)
		}
		if at := c.at.Sub(begin); at > tt.most {
			t.Errorf("stalled at %v: answered after %v", tt.from, at)
		}
		if n := s.inst.Count.Shed + s.inst.Count.Overdue; n != 1 {
			t.Errorf("%d answers: %+v", n, s.inst.Count)
		}
	}
}

// A process is stalled while a hop comes up and then news arrives that its target drains. The news is read first when the
// process runs again: the hop is given up, and nothing new reaches the target.
func TestNewsComesBeforeHopsAfterAStall(t *testing.T) {
	s := newScene(t, 1)
	s.client("a", 2*time.Second)
	for s.inst.Count.Hops == 0 {
		s.run(ms / 10)
	}
	s.proxy.Stall(700 * ms)
	s.run(5 * ms) // the hop is up, which the process has not seen
	s.tell(fmt.Sprintf(`{"seq":2,"whole":false,"hosts":[{"host":"s0","dial":%q,"health":"DRAINING","site":"z"}]}`, s.at(s.relays[0])))
	s.run(2 * time.Second)
	if e := s.relays[0].asked("a"); e != nil {
		t.Errorf("the target that drains got %q", e.got)
	}
	if s.inst.Count.HopNoConnect != 1 {
		t.Errorf("%+v", s.inst.Count)
	}
}
