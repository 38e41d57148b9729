package vnet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"ospreyspan/internal/poll"
)

// endpoint is one end of a connection, driven by a test.
type endpoint struct {
	sock       *poll.Socket
	up         bool
	received   []byte
	err        error // first error that was read
	notReading bool
	readTimes  []time.Time
	machine    *machine
}

func (s *endpoint) Ready(r poll.Ready) {
	if !s.up {
		if s.err = s.sock.DialError(); s.err != nil {
			s.sock.Close()
			return
		}
		s.up = true
		s.sock.Want(true, false)
		return
	}
	if s.notReading && !r.Hangup {
		return
	}
	buf := make([]byte, 4096)
	n, err := s.sock.Read(buf)
	if s.received = append(s.received, buf[:n]...); n > 0 {
		s.readTimes = append(s.readTimes, s.machine.loop.Now())
	}
	if err != nil && !errors.Is(err, poll.ErrAgain) {
		if s.err == nil {
			s.err = err
		}
		s.sock.Want(false, false)
		if r.Hangup { // a hang-up is reported until the socket is closed
			s.sock.Close()
		}
	}
}

// machine is a host with an event loop and the connections that it accepted.
type machine struct {
	t        *testing.T
	w        *World
	host     *Host
	loop     *poll.Loop
	accepted []*endpoint
	listener *poll.Listener
}

func newMachine(t *testing.T, w *World, name string, last byte, l Limits) *machine {
	t.Helper()
	m := &machine{t: t, w: w, host: w.AddHost(name, netip.AddrFrom4([4]byte{10, 0, 0, last}), l)}
	m.start()
	return m
}

func (m *machine) start() {
	m.t.Helper()
	err := m.host.Start(func(k poll.Kernel) (func() error, error) {
		m.loop = poll.NewOn(k, func() {})
		return func() error { return m.loop.Turn(true) }, nil
	})
	if err != nil {
		m.t.Fatal(err)
	}
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.host.Addr(), port) }

func (m *machine) listen(port uint16) {
	m.t.Helper()
	n, err := m.loop.Listen(m.at(port), func(s *poll.Socket, last bool) poll.Handler {
		accepted := &endpoint{sock: s, up: true, machine: m}
		if last {
			s.Close()
		}
		m.accepted = append(m.accepted, accepted)
		return accepted
	})
	if err != nil {
		m.t.Fatal(err)
	}
	m.listener = n
}

func (m *machine) dial(to netip.AddrPort) *endpoint {
	m.t.Helper()
	s := &endpoint{machine: m}
	var err error
	if s.sock, err = m.loop.Dial(to, s); err != nil {
		m.t.Fatal(err)
	}
	return s
}

func (m *machine) run(d time.Duration) {
	m.t.Helper()
	if err := m.w.Run(d); err != nil {
		m.t.Fatal(err)
	}
}

const ms = time.Millisecond

func delay(d time.Duration) func(_, _ *Host) Link {
	return func(_, _ *Host) Link { return Link{Delay: d} }
}

// A connection is established after one round trip, data arrives after the one-way delay, and the
// end of the stream arrives after the data.
func TestConnection(t *testing.T) {
	w := New(1, delay(10*ms))
	a, b := newMachine(t, w, "a", 1, Limits{}), newMachine(t, w, "b", 2, Limits{})
	b.listen(80)
	s := a.dial(b.at(80))
	a.run(19 * ms)
	if s.up {
		t.Fatal("connection established before one round trip")
	}
	a.run(1 * ms)
	if !s.up {
		t.Fatal("connection not established after one round trip")
	}
	if n, err := s.sock.Write([]byte("hello")); n != 5 || err != nil {
		t.Fatal(n, err)
	}
	s.sock.CloseWrite()
	a.run(10 * ms)
	peer := b.accepted[0]
	if string(peer.received) != "hello" || peer.err != io.EOF || peer.sock.RemoteAddr().Addr() != a.host.Addr() {
		t.Fatalf("read %q, error %v, from %v", peer.received, peer.err, peer.sock.RemoteAddr())
	}
	peer.sock.Close()
	a.run(10 * ms)
	if s.err != io.EOF {
		t.Errorf("after the peer closed: got error %v, want EOF", s.err)
	}
	s.sock.Close()
	if a.host.Open() != 0 || b.host.Open() != 2 { // b: the listener and its reserve
		t.Errorf("open descriptors: got %d and %d, want 0 and 2", a.host.Open(), b.host.Open())
	}
}

// A process that dies resets its connections and refuses new ones. A machine that vanishes sends
// nothing, and its old connections are reset once it is back.
func TestKillAndVanish(t *testing.T) {
	w := New(1, delay(ms))
	a, b := newMachine(t, w, "a", 1, Limits{}), newMachine(t, w, "b", 2, Limits{})
	b.listen(80)
	s := a.dial(b.at(80))
	a.run(10 * ms)
	b.host.Kill()
	a.run(ms)
	if !errors.Is(s.err, unix.ECONNRESET) {
		t.Errorf("peer process killed: got %v, want ECONNRESET", s.err)
	}
	s = a.dial(b.at(80))
	a.run(10 * ms)
	if !errors.Is(s.err, unix.ECONNREFUSED) {
		t.Errorf("no listener: got %v, want ECONNREFUSED", s.err)
	}
	b.start()
	b.listen(80)
	s = a.dial(b.at(80))
	a.run(10 * ms)
	b.host.Vanish()
	_, _ = s.sock.Write([]byte("hello"))
	late := a.dial(b.at(80))
	a.run(5 * time.Second)
	if s.err != nil || late.up || late.err != nil {
		t.Fatalf("traffic from a vanished machine: errors %v and %v", s.err, late.err)
	}
	b.host.Return()
	b.start()
	b.listen(80)
	a.run(30 * time.Second)
	if !errors.Is(s.err, unix.ECONNRESET) {
		t.Errorf("connection of the earlier incarnation: got %v, want ECONNRESET", s.err)
	}
	if !late.up {
		t.Errorf("SYN was not retransmitted: %v", late.err)
	}
	if got := b.accepted[len(b.accepted)-1].received; len(got) != 0 {
		t.Errorf("the new process received %q, want nothing", got)
	}
}

// Data sent across a partition arrives once and in order after the partition heals. A path under
// overlapping partitions is restored only when all of them are healed. A connection attempt that is
// in progress when the partition heals succeeds.
func TestPartition(t *testing.T) {
	w := New(1, delay(ms))
	a, b := newMachine(t, w, "a", 1, Limits{}), newMachine(t, w, "b", 2, Limits{})
	b.listen(80)
	s := a.dial(b.at(80))
	a.run(10 * ms)
	first := w.Cut([]*Host{a.host}, []*Host{b.host})
	second := w.Cut([]*Host{b.host}, []*Host{a.host})
	for i := range 5 {
		_, _ = s.sock.Write(fmt.Appendf(nil, "%d", i))
		a.run(100 * ms)
	}
	pending := a.dial(b.at(80))
	first.Heal()
	first.Heal()
	a.run(2 * time.Second)
	if len(b.accepted[0].received) != 0 || pending.up {
		t.Fatal("traffic passed while the second partition was in force")
	}
	second.Heal()
	a.run(3 * time.Second)
	if string(b.accepted[0].received) != "01234" || !pending.up {
		t.Errorf("after healing: received %q, want 01234; pending connection established: %v", b.accepted[0].received, pending.up)
	}
}

// A peer that does not read closes the window: writes are short, and resume once it reads.
func TestBackPressure(t *testing.T) {
	w := New(1, delay(ms))
	a, b := newMachine(t, w, "a", 1, Limits{SendBuffer: 1000}), newMachine(t, w, "b", 2, Limits{})
	b.listen(80)
	s := a.dial(b.at(80))
	a.run(10 * ms)
	peer := b.accepted[0]
	peer.notReading = true
	peer.sock.Want(false, false)
	text := bytes.Repeat([]byte("x"), 100000)
	n, err := s.sock.Write(text)
	if err != nil || n <= 1000 || n >= len(text) {
		t.Fatalf("short write: wrote %d, error %v", n, err)
	}
	if again, _ := s.sock.Write(text); again != 0 {
		t.Fatalf("wrote %d more bytes to a full window", again)
	}
	reported := false
	s.sock.SetHandler(readyFunc(func(r poll.Ready) {
		if r.Write {
			reported = true
			s.sock.Want(false, false)
		}
	}))
	s.sock.Want(false, true)
	a.run(time.Second)
	if reported {
		t.Fatal("writability was reported while the peer read nothing")
	}
	peer.notReading = false
	peer.sock.Want(true, false)
	a.run(time.Second)
	if !reported || len(peer.received) != n {
		t.Errorf("writability reported: %v; %d of %d bytes arrived", reported, len(peer.received), n)
	}
}

type readyFunc func(poll.Ready)

func (f readyFunc) Ready(r poll.Ready) { f(r) }

// A process that has used up its descriptors can open no more; the listener's reserve still accepts
// one connection.
func TestDescriptors(t *testing.T) {
	w := New(1, nil)
	a, b := newMachine(t, w, "a", 1, Limits{Descriptors: 2}), newMachine(t, w, "b", 2, Limits{Descriptors: 3})
	b.listen(80)
	first, second := a.dial(b.at(80)), a.dial(b.at(80))
	if _, err := a.loop.Dial(b.at(80), &endpoint{machine: a}); !errors.Is(err, poll.ErrNoSocket) {
		t.Errorf("dial beyond the limit of 2 descriptors: %v", err)
	}
	a.run(10 * ms)
	if len(b.accepted) != 2 || !first.up || second.err == nil || b.host.Open() != 3 {
		t.Errorf("%d connections accepted, error of the second %v, %d descriptors open", len(b.accepted), second.err, b.host.Open())
	}
	first.sock.Close()
	a.host.ExhaustPorts(true)
	if _, err := a.loop.Dial(b.at(80), &endpoint{machine: a}); !errors.Is(err, poll.ErrNoSocket) {
		t.Errorf("dial without free ports: %v", err)
	}
}

// A stalled process receives what arrived meanwhile once it resumes. A process whose clock is read
// late fires its timers late.
func TestStallAndLateClock(t *testing.T) {
	w := New(1, delay(ms))
	a, b := newMachine(t, w, "a", 1, Limits{}), newMachine(t, w, "b", 2, Limits{})
	b.listen(80)
	s := a.dial(b.at(80))
	a.run(10 * ms)
	b.host.Stall(300 * ms)
	begin := w.Now()
	_, _ = s.sock.Write([]byte("x"))
	a.run(299 * ms)
	if len(b.accepted[0].received) != 0 {
		t.Fatal("the process ran while stalled")
	}
	a.run(10 * ms)
	if at := b.accepted[0].readTimes; len(at) != 1 || at[0].Sub(begin) != 300*ms {
		t.Errorf("read times: got %v, want one, 300 ms after the start of the stall", at)
	}
	var fired time.Duration
	timer := poll.Timer{Fire: func() { fired = w.Now().Sub(begin) }}
	begin = w.Now()
	b.loop.Arm(&timer, begin.Add(100*ms))
	b.host.ClockLag(50 * ms)
	_, _ = s.sock.Write([]byte("x"))
	a.run(time.Second)
	if fired < 150*ms || fired > 152*ms {
		t.Errorf("100 ms timer with a clock lag of 50 ms fired after %v", fired)
	}
}

// Bandwidth spaces segments out. On a lossy link datagrams are lost, whereas segments of a
// connection are only delayed.
func TestBandwidthAndLoss(t *testing.T) {
	w := New(1, func(_, _ *Host) Link { return Link{Delay: ms, Bandwidth: 1000} })
	a, b := newMachine(t, w, "a", 1, Limits{}), newMachine(t, w, "b", 2, Limits{})
	b.listen(80)
	s := a.dial(b.at(80))
	a.run(time.Second)
	begin := w.Now()
	for range 3 {
		_, _ = s.sock.Write(bytes.Repeat([]byte("x"), 1000-segmentHeaderSize))
	}
	a.run(10 * time.Second)
	for i, at := range b.accepted[0].readTimes {
		if want := time.Duration(i+1)*time.Second + ms; at.Sub(begin) != want {
			t.Errorf("segment %d arrived after %v, want %v", i, at.Sub(begin), want)
		}
	}
	w = New(1, func(_, _ *Host) Link { return Link{Delay: ms, Loss: 0.5} })
	a, b = newMachine(t, w, "a", 1, Limits{}), newMachine(t, w, "b", 2, Limits{})
	got := 0
	var in *poll.UDPSocket
	in, err := b.loop.OpenUDP(b.at(53), readyFunc(func(poll.Ready) {
		var buf [16]byte
		for {
			if _, from, err := in.Receive(buf[:]); err != nil || from.Addr() != a.host.Addr() {
				return
			}
			got++
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	out, err := a.loop.OpenUDP(a.at(0), readyFunc(func(poll.Ready) {}))
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		if err := out.Send([]byte("x"), in.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	a.run(time.Second)
	if got < 70 || got > 130 {
		t.Errorf("%d of 200 datagrams arrived over a link with 50 %% loss, want 70 to 130", got)
	}
}

// An event loop that spins without virtual time advancing fails the run, which would otherwise
// never end.
func TestSpinningLoopFails(t *testing.T) {
	w := New(7, nil)
	h := w.AddHost("spins", netip.MustParseAddr("10.0.0.1"), Limits{})
	_ = h.Start(func(k poll.Kernel) (func() error, error) {
		l := poll.NewOn(k, func() {})
		return func() error { return l.Turn(false) }, nil
	})
	var f *Failure
	if err := w.Run(time.Second); !errors.As(err, &f) || f.Seed != 7 || !strings.Contains(err.Error(), "spins") || len(f.Last) == 0 {
		t.Errorf("spinning event loop: got %v", err)
	}
}

// Whatever two processes do to a connection and whatever the network does to them, each reads what
// the other wrote, in order and without a gap. If the connection is not reset, each reads all of
// it.
func TestStreamIntegrity(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(r, "loss")
		w := New(rapid.Uint64().Draw(r, "seed"), func(_, _ *Host) Link {
			return Link{Delay: 3 * ms, Jitter: 5 * ms, Loss: loss, Bandwidth: 200e3}
		})
		a, b := newMachine(t, w, "a", 1, Limits{SendBuffer: 500}), newMachine(t, w, "b", 2, Limits{SendBuffer: 300})
		b.listen(80)
		near := a.dial(b.at(80))
		for range 20 { // a SYN may be lost several times
			if a.run(5 * time.Second); near.up && len(b.accepted) > 0 {
				break
			}
		}
		far := b.accepted[0]
		var sent [2][]byte
		var cuts []*Partition
		broken := false
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			i := rapid.IntRange(0, 1).Draw(r, "side")
			s := [2]*endpoint{near, far}[i]
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0, 1, 2, 3:
				text := make([]byte, rapid.IntRange(1, 3000).Draw(r, "size"))
				for j := range text {
					text[j] = byte(len(sent[i]) + j)
				}
				if n, err := s.sock.Write(text); err == nil {
					sent[i] = append(sent[i], text[:n]...)
				}
			case 4:
				cuts = append(cuts, w.Cut([]*Host{a.host}, []*Host{b.host}))
			case 5:
				for _, c := range cuts {
					c.Heal()
				}
			case 6:
				s.notReading = !s.notReading
				s.sock.Want(!s.notReading, false)
			case 7:
				b.host.Stall(20 * ms)
			case 8:
				if rapid.IntRange(0, 9).Draw(r, "reset") == 0 {
					s.sock.Reset()
					broken = true
				}
			default:
				a.run(time.Duration(rapid.IntRange(1, 500).Draw(r, "ms")) * ms)
			}
		}
		for _, c := range cuts {
			c.Heal()
		}
		for _, s := range []*endpoint{near, far} {
			s.notReading = false
			s.sock.Want(true, false)
		}
		a.run(30 * time.Minute)
		for i, s := range []*endpoint{far, near} {
			if !bytes.HasPrefix(sent[i], s.received) {
				r.Fatalf("side %d read %d bytes that differ from those written", i, len(s.received))
			}
			if !broken && len(s.received) != len(sent[i]) {
				r.Fatalf("side %d read %d of %d bytes written", i, len(s.received), len(sent[i]))
			}
		}
	})
}

// The same seed gives the same trace; a different seed gives a different one.
func TestSameSeedSameTrace(t *testing.T) {
	run := func(seed uint64) uint64 {
		w := New(seed, func(_, _ *Host) Link { return Link{Delay: ms, Jitter: 3 * ms, Loss: 0.1} })
		a, b := newMachine(t, w, "a", 1, Limits{}), newMachine(t, w, "b", 2, Limits{})
		b.listen(80)
		var all []*endpoint
		for range 20 {
			all = append(all, a.dial(b.at(80)))
		}
		for range 20 {
			for _, s := range all {
				if s.up && s.err == nil {
					_, _ = s.sock.Write([]byte("line"))
				}
			}
			a.run(100 * ms)
		}
		return w.TraceSum()
	}
	first, again, other := run(1), run(1), run(2)
	if first != again || first == other {
		t.Error("trace hashes: want equal for the same seed, different for another")
	}
}
