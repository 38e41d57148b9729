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

// TestTimers checks that timers fire in order of their time and once each, and that a disarmed
// timer does not fire, for random sequences of Arm and Disarm.
func TestTimers(t *testing.T) {
	l := newLoop(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var fired, want []int
	list := make([]Timer, 200)
	at := make([]int, len(list))
	for i := range list {
		list[i].Fire = func() { fired = append(fired, at[i]) }
		for range 1 + rng.IntN(3) { // arming an armed timer moves it
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
		t.Errorf("without a timer: got %d ms, want -1", got)
	}
	var timer Timer
	for d, want := range map[time.Duration]int{-1: 0, 0: 0, 1: 1, time.Millisecond: 1, 1100 * time.Microsecond: 2} {
		if l.Arm(&timer, l.now.Add(d)); timeoutMillis(l.timers.next(0)) != want {
			t.Errorf("timer in %v: wait %v, want it to round up to %d ms", d, l.timers.next(0), want)
		}
	}
}

// readRecorder is a Handler that records the data and the first error that it reads.
type readRecorder struct {
	sock *Socket
	err  error
	data []byte
}

func (k *readRecorder) Ready(Ready) {
	var buf [64]byte
	n, err := k.sock.Read(buf[:])
	k.data = append(k.data, buf[:n]...)
	if err != nil && !errors.Is(err, ErrAgain) && k.err == nil {
		k.err = err
		k.sock.Want(false, false)
	}
}

// TestWriteAfterReset checks that writing to a connection that the remote side has reset returns an
// error and does not end the process with SIGPIPE.
func TestWriteAfterReset(t *testing.T) {
	l := newLoop(t)
	var server *readRecorder
	n, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(s *Socket, _ bool) Handler {
		server = &readRecorder{sock: s}
		return server
	})
	if err != nil {
		t.Fatal(err)
	}
	client := &readRecorder{}
	if client.sock, err = l.Dial(n.Addr(), client); err != nil {
		t.Fatal(err)
	}
	client.sock.Want(true, false)
	turn := func() {
		for range 5 {
			if err := l.Turn(false); err != nil {
				t.Fatal(err)
			}
		}
	}
	turn()
	if _, err := server.sock.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	turn()
	if string(client.data) != "hello" || client.sock.DialError() != nil {
		t.Fatalf("dial failed, or client got %q, want hello", client.data)
	}
	server.sock.Reset()
	turn()
	if client.err == nil || errors.Is(client.err, io.EOF) {
		t.Errorf("after a reset: got read error %v, want one other than io.EOF", client.err)
	}
	for range 3 {
		_, err = client.sock.Write([]byte("x"))
	}
	if err == nil {
		t.Error("write after the reset did not fail")
	}
	client.sock.Close()
	client.sock.Close() // does nothing
	if n.Close(); l.Open() != 0 {
		t.Errorf("%d sockets are open, want 0", l.Open())
	}
}

// TestOutOfDescriptors checks that a process at its descriptor limit still accepts a connection
// with the reserve descriptor, passes it on as the last one, and opens the reserve again.
func TestOutOfDescriptors(t *testing.T) {
	l := newLoop(t)
	lastCalls := 0
	n, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(s *Socket, l bool) Handler {
		if l {
			lastCalls++
			s.Close()
		}
		return &readRecorder{sock: s}
	})
	if err != nil {
		t.Fatal(err)
	}
	client := &readRecorder{}
	if client.sock, err = l.Dial(n.Addr(), client); err != nil {
		t.Fatal(err)
	}
	client.sock.Want(true, false)
	var duplicates []int
	defer func() {
		for _, fd := range duplicates {
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
		duplicates = append(duplicates, fd)
	}
	for range 5 {
		if err := l.Turn(false); err != nil {
			t.Fatal(err)
		}
	}
	if lastCalls != 1 || client.err == nil || n.reserve < 0 {
		t.Errorf("%d connections passed on as the last one, want 1; client error %v; reserve descriptor %d", lastCalls, client.err, n.reserve)
	}
	client.sock.Close()
	n.Close()
}

// TestStaleEvent checks that an event collected before its socket closed does not reach the socket
// that took over its slot.
func TestStaleEvent(t *testing.T) {
	l := newLoop(t)
	pair := func() (int, *readRecorder) {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		k := &readRecorder{}
		k.sock = l.add(fds[0], k, WantRead)
		return fds[1], k
	}
	remoteA, a := pair()
	remoteB, b := pair()
	var remoteC int
	var c *readRecorder
	swap := func(from *readRecorder) Handler {
		// The first call closes both sockets and opens another one in their place.
		return handlerFunc(func(Ready) {
			a.sock.Close()
			b.sock.Close()
			if c == nil {
				remoteC, c = pair()
				c.sock.SetHandler(handlerFunc(func(Ready) { t.Error("new socket got an event of a closed one") }))
			}
		})
	}
	a.sock.SetHandler(swap(a))
	b.sock.SetHandler(swap(b))
	for _, fd := range []int{remoteA, remoteB} {
		if _, err := unix.Write(fd, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Turn(false); err != nil {
		t.Fatal(err)
	}
	if c == nil {
		t.Fatal("no handler was called")
	}
	for _, fd := range []int{remoteA, remoteB, remoteC} {
		unix.Close(fd)
	}
	c.sock.Close()
}

type handlerFunc func(Ready)

func (h handlerFunc) Ready(r Ready) { h(r) }

// TestClassifyConnectError checks that a shortage of this machine is reported as ErrNoSocket, and
// that errors of the network or of the remote side are not.
func TestClassifyConnectError(t *testing.T) {
	for err, own := range map[error]bool{
		unix.EADDRNOTAVAIL: true, unix.ENOBUFS: true, unix.ECONNREFUSED: false, unix.ENETUNREACH: false,
	} {
		if got := classifyConnectError(err); errors.Is(got, ErrNoSocket) != own || !errors.Is(got, err) {
			t.Errorf("%v classified as %v, want ErrNoSocket: %v", err, got, own)
		}
	}
}

// TestUDPSocket checks that datagrams pass between two sockets of one loop whole and with the
// address of their sender.
func TestUDPSocket(t *testing.T) {
	l := newLoop(t)
	at := netip.MustParseAddrPort("127.0.0.1:0")
	var got []string
	var from netip.AddrPort
	var in *UDPSocket
	in, err := l.OpenUDP(at, handlerFunc(func(Ready) {
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
	out, err := l.OpenUDP(at, handlerFunc(func(Ready) {}))
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
		t.Errorf("got %q from %v, want one and two from %v", got, from, out.Addr())
	}
	in.Close()
	out.Close()
	if l.Open() != 0 {
		t.Errorf("%d sockets are open, want 0", l.Open())
	}
}

// TestUrgentComesFirst checks that the handler of an urgent socket is called before all others,
// also in a turn with more ready sockets than maxEvents in which its own event was not collected.
func TestUrgentComesFirst(t *testing.T) {
	l := newLoop(t)
	var order []int
	var socks []*Socket
	var remotes []int
	pair := func(i int) *Socket {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		s := l.add(fds[0], handlerFunc(func(Ready) { order = append(order, i) }), WantRead)
		if _, err := unix.Write(fds[1], []byte("x")); err != nil {
			t.Fatal(err)
		}
		socks, remotes = append(socks, s), append(remotes, fds[1])
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
		t.Errorf("handlers called in the order %v, want 11 with 10 first", order)
	}
	for i := 11; i < maxEvents+60; i++ {
		pair(i)
	}
	for range 3 { // the kernel may collect other events each time
		order = nil
		if err := l.Turn(false); err != nil {
			t.Fatal(err)
		}
		if len(order) < maxEvents || order[0] != 10 {
			t.Errorf("%d handlers called, want at least %d; first was %d, want 10", len(order), maxEvents, order[0])
		}
	}
	for i, s := range socks {
		s.Close()
		unix.Close(remotes[i])
	}
	if l.Open() != 0 || len(l.urgent) != 0 {
		t.Errorf("%d sockets are open and %d urgent, want 0", l.Open(), len(l.urgent))
	}
}

// TestListenerPausesWithoutDescriptors checks that a listener whose process has no descriptor left,
// not even the reserve, pauses and does not make the loop spin, and that it accepts again once
// there is a descriptor.
func TestListenerPausesWithoutDescriptors(t *testing.T) {
	k := &exhaustedKernel{Kernel: newLoop(t).kernel, exhausted: true}
	l := NewOn(k, func() {})
	accepted := 0
	n, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(s *Socket, _ bool) Handler {
		accepted++
		s.Close()
		return &readRecorder{sock: s}
	})
	if err != nil {
		t.Fatal(err)
	}
	client := &readRecorder{}
	if client.sock, err = l.Dial(n.Addr(), client); err != nil {
		t.Fatal(err)
	}
	client.sock.Want(false, false)
	for begin := time.Now(); time.Since(begin) < 2*shortagePause; {
		if err := l.Turn(true); err != nil {
			t.Fatal(err)
		}
	}
	if k.accepts < 2 || k.accepts > 10 {
		t.Errorf("%d calls of Accept in %v, want 2 to 10", k.accepts, 2*shortagePause)
	}
	k.exhausted = false
	for begin := time.Now(); accepted == 0 && time.Since(begin) < 5*time.Second; {
		if err := l.Turn(true); err != nil {
			t.Fatal(err)
		}
	}
	if accepted != 1 {
		t.Error("connection not accepted once there was a descriptor again")
	}
	client.sock.Close()
	n.Close()
}

// exhaustedKernel is a Kernel whose Accept fails for lack of descriptors while exhausted is set.
type exhaustedKernel struct {
	Kernel
	exhausted bool
	accepts   int
}

func (k *exhaustedKernel) Accept(fd int) (int, error) {
	if k.exhausted {
		k.accepts++
		return -1, ErrDescriptors
	}
	return k.Kernel.Accept(fd)
}
