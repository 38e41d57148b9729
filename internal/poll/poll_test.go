package poll

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New(func() {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// Timers go off in order, once each, and not after they were disarmed, however they are mixed.
func TestTimers(t *testing.T) {
	l := newLoop(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var fired, want []int
	list := make([]Timer, 200)
	at := make([]int, len(list))
	for i := range list {
		list[i].Fire = func() { fired = append(fired, at[i]) }
		for range 1 + rng.IntN(3) { // arming again moves a timer
			at[i] = rng.IntN(1000)
			l.Arm(&list[i], l.now.Add(time.Duration(at[i])*time.Microsecond))
		}
		if rng.IntN(4) == 0 {
			l.Disarm(&list[i])
			l.Disarm(&list[i])
		}
	}
	for i := range list {
		if list[i].Armed() {
			want = append(want, at[i])
		}
	}
	slices.Sort(want)
	l.timers.fire(l.now.Add(time.Second).Sub(l.start))
	if !slices.Equal(fired, want) || len(l.timers) != 0 {
		t.Errorf("fired %v, want %v", fired, want)
	}
}

func TestWaitIsRoundedUp(t *testing.T) {
	l := newLoop(t)
	if got := timeoutMillis(l.timers.next(0)); got != -1 {
		t.Errorf("without a timer: %d", got)
	}
	var timer Timer
	for d, want := range map[time.Duration]int{-1: 0, 0: 0, 1: 1, time.Millisecond: 1, 1100 * time.Microsecond: 2} {
		if l.Arm(&timer, l.now.Add(d)); timeoutMillis(l.timers.next(0)) != want {
			t.Errorf("%v: %v, want %d ms", d, l.timers.next(0), want)
		}
	}
}

type sink struct {
	s    *Socket
	err  error
	data []byte
}

func (k *sink) Ready(Ready) {
	var buf [64]byte
	n, err := k.s.Read(buf[:])
	k.data = append(k.data, buf[:n]...)
	if err != nil && !errors.Is(err, ErrAgain) && k.err == nil {
		k.err = err
		k.s.Want(false, false)
	}
}

// A write to a connection that the other end has reset is an error, and no signal ends the process.
func TestWriteAfterReset(t *testing.T) {
	l := newLoop(t)
	var server *sink
	n, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(s *Socket, _ bool) Handler {
		server = &sink{s: s}
		return server
	})
	if err != nil {
		t.Fatal(err)
	}
	client := &sink{}
	if client.s, err = l.Dial(n.Addr(), client); err != nil {
		t.Fatal(err)
	}
	client.s.Want(true, false)
	turn := func() {
		for range 5 {
			if err := l.Turn(false); err != nil {
				t.Fatal(err)
			}
		}
	}
	turn()
	if _, err := server.s.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	turn()
	if string(client.data) != "hello" || client.s.DialError() != nil {
		t.Fatalf("got %q", client.data)
	}
	server.s.Reset()
	turn()
	if client.err == nil || errors.Is(client.err, io.EOF) {
		t.Errorf("a reset was read as %v", client.err)
	}
	for range 3 {
		_, err = client.s.Write([]byte("x"))
	}
	if err == nil {
		t.Error("a write after the reset went through")
	}
	client.s.Close()
	client.s.Close() // does nothing
	if n.Close(); l.Open() != 0 {
		t.Errorf("%d sockets are open", l.Open())
	}
}

// When the process is out of descriptors, a connection is still accepted with the one in reserve, told as the
// last one, and the reserve is taken again.
func TestOutOfDescriptors(t *testing.T) {
	l := newLoop(t)
	last := 0
	n, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(s *Socket, l bool) Handler {
		if l {
			last++
			s.Close()
		}
		return &sink{s: s}
	})
	if err != nil {
		t.Fatal(err)
	}
	client := &sink{}
	if client.s, err = l.Dial(n.Addr(), client); err != nil {
		t.Fatal(err)
	}
	client.s.Want(true, false)
	var taken []int
	defer func() {
		for _, fd := range taken {
			unix.Close(fd)
		}
	}()
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 64, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Setrlimit(unix.RLIMIT_NOFILE, &old) }()
	for {
		fd, err := unix.Dup(0)
		if err != nil {
			break
		}
		taken = append(taken, fd)
	}
	for range 5 {
		if err := l.Turn(false); err != nil {
			t.Fatal(err)
		}
	}
	if last != 1 || client.err == nil || n.reserve < 0 {
		t.Errorf("%d told as the last, the client saw %v, reserve %d", last, client.err, n.reserve)
	}
	client.s.Close()
	n.Close()
}

// An event that was gathered before its socket closed must not reach the one that took its place.
func TestStaleEvent(t *testing.T) {
	l := newLoop(t)
	pair := func() (int, *sink) {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		k := &sink{}
		k.s = l.add(fds[0], k, WantRead)
		return fds[1], k
	}
	farA, a := pair()
	farB, b := pair()
	var farC int
	var c *sink
	swap := func(from *sink) Handler {
		return handler(func(Ready) { // whichever comes first closes both and opens another in their place
			a.s.Close()
			b.s.Close()
			if c == nil {
				farC, c = pair()
				c.s.SetHandler(handler(func(Ready) { t.Error("it got an event that is not its own") }))
			}
		})
	}
	a.s.SetHandler(swap(a))
	b.s.SetHandler(swap(b))
	for _, fd := range []int{farA, farB} {
		if _, err := unix.Write(fd, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Turn(false); err != nil {
		t.Fatal(err)
	}
	if c == nil {
		t.Fatal("no event came")
	}
	for _, fd := range []int{farA, farB, farC} {
		unix.Close(fd)
	}
	c.s.Close()
}

type handler func(Ready)

func (h handler) Ready(r Ready) { h(r) }

// What this machine lacks must not be told as a fault of the other side; what the other side refuses must.
func TestOwnFault(t *testing.T) {
	for err, own := range map[error]bool{
		unix.EADDRNOTAVAIL: true, unix.ENOBUFS: true, unix.ECONNREFUSED: false, unix.ENETUNREACH: false,
	} {
		if got := classifyConnectError(err); errors.Is(got, ErrNoSocket) != own || !errors.Is(got, err) {
			t.Errorf("%v is told as %v", err, got)
		}
	}
}

// Datagrams pass between two sockets of one loop, each whole and with its sender's address.
func TestPackets(t *testing.T) {
	l := newLoop(t)
	at := netip.MustParseAddrPort("127.0.0.1:0")
	var got []string
	var from netip.AddrPort
	var in *UDPSocket
	in, err := l.OpenUDP(at, handler(func(Ready) {
		var buf [64]byte
		for {
			n, who, err := in.Receive(buf[:])
			if err != nil {
				if !errors.Is(err, ErrAgain) {
					t.Error(err)
				}
				return
			}
			got, from = append(got, string(buf[:n])), who
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	out, err := l.OpenUDP(at, handler(func(Ready) {}))
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"one", "two"} {
		if err := out.Send([]byte(text), in.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		if err := l.Turn(false); err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(got, []string{"one", "two"}) || from != out.Addr() {
		t.Errorf("got %q from %v, sent from %v", got, from, out.Addr())
	}
	in.Close()
	out.Close()
	if l.Open() != 0 {
		t.Errorf("%d sockets are open", l.Open())
	}
}

// An urgent socket is told before all others, also in a turn that has more events than fit and did not gather its own.
func TestUrgentComesFirst(t *testing.T) {
	l := newLoop(t)
	var order []int
	var socks []*Socket
	var fars []int
	pair := func(i int) *Socket {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		s := l.add(fds[0], handler(func(Ready) { order = append(order, i) }), WantRead)
		if _, err := unix.Write(fds[1], []byte("x")); err != nil {
			t.Fatal(err)
		}
		socks, fars = append(socks, s), append(fars, fds[1])
		return s
	}
	for i := range 10 {
		pair(i)
	}
	last := pair(10)
	last.SetUrgent()
	last.SetUrgent()
	if err := l.Turn(false); err != nil {
		t.Fatal(err)
	}
	if len(order) != 11 || order[0] != 10 {
		t.Errorf("told in the order %v", order)
	}
	for i := 11; i < maxEvents+60; i++ {
		pair(i)
	}
	for range 3 { // whichever events are gathered
		order = nil
		if err := l.Turn(false); err != nil {
			t.Fatal(err)
		}
		if len(order) < maxEvents || order[0] != 10 {
			t.Errorf("%d told, the first one %d", len(order), order[0])
		}
	}
	for i, s := range socks {
		s.Close()
		unix.Close(fars[i])
	}
	if l.Open() != 0 || len(l.urgent) != 0 {
		t.Errorf("%d open, %d urgent", l.Open(), len(l.urgent))
	}
}

// A listener whose process has no descriptor left, the reserve included, rests and does not turn without end; it accepts
// again once there is one.
func TestListenerRestsWithoutDescriptors(t *testing.T) {
	k := &shortKernel{Kernel: newLoop(t).kernel, short: true}
	l := NewOn(k, func() {})
	taken := 0
	n, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(s *Socket, _ bool) Handler {
		taken++
		s.Close()
		return &sink{s: s}
	})
	if err != nil {
		t.Fatal(err)
	}
	client := &sink{}
	if client.s, err = l.Dial(n.Addr(), client); err != nil {
		t.Fatal(err)
	}
	client.s.Want(false, false)
	for begin := time.Now(); time.Since(begin) < 2*shortagePause; {
		if err := l.Turn(true); err != nil {
			t.Fatal(err)
		}
	}
	if k.tries < 2 || k.tries > 10 {
		t.Errorf("%d tries to accept in %v", k.tries, 2*shortagePause)
	}
	k.short = false
	for begin := time.Now(); taken == 0 && time.Since(begin) < 5*time.Second; {
		if err := l.Turn(true); err != nil {
			t.Fatal(err)
		}
	}
	if taken != 1 {
		t.Error("not accepted when there was a descriptor again")
	}
	client.s.Close()
	n.Close()
}

// shortKernel is a kernel whose process has no descriptor left for what it would accept.
type shortKernel struct {
	Kernel
	short bool
	tries int
}

func (k *shortKernel) Accept(fd int) (int, error) {
	if k.short {
		k.tries++
		return -1, ErrDescriptors
	}
	return k.Kernel.Accept(fd)
}
