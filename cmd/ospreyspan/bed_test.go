package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ospreyspan/internal/line"
)

// testbed runs the program in a process of its own, with servers, a discovery service and clients
// that are part of the test. Tests assert only on what these receive.
type testbed struct {
	t         *testing.T
	process   *process
	discovery *testDiscovery
	servers   []*testServer
	recorder  *attemptRecorder
}

// attemptRecorder records the attempts at all servers in the order in which they arrive.
type attemptRecorder struct {
	lock         sync.Mutex
	openAttempts map[string][]net.Conn // by request ID
	overlaps     []string              // request IDs of attempts that arrived while one was open
}

// record adds an attempt. If the program has abandoned an earlier attempt of the request, the end
// of that connection has arrived by now, even if its server has not read it yet.
func (r *attemptRecorder) record(id string, conn net.Conn) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, previous := range r.openAttempts[id] {
		if !peerClosed(previous) {
			r.overlaps = append(r.overlaps, id)
		}
	}
	r.openAttempts[id] = append(r.openAttempts[id], conn)
}

// peerClosed reports whether a connection is over: its peer's end or reset has arrived, or it is
// closed on this side.
func peerClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true // closed on this side
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN)
	})
	return closed || err != nil
}

// testbedConfig describes a testbed.
type testbedConfig struct {
	servers   int
	deadlines map[string]time.Duration // by class name; others keep those of the example
	configure func(settings map[string]any)
	env       []string
	hostCount int // hosts in the list; 0: one per server, more: they share servers
}

// newTestbed starts servers, a discovery service that lists them, and the program, and waits until
// the program serves.
func newTestbed(t *testing.T, c testbedConfig) *testbed {
	t.Helper()
	b := &testbed{t: t, recorder: &attemptRecorder{openAttempts: make(map[string][]net.Conn)}}
	for i := range c.servers {
		s := newTestServer(t, fmt.Sprint("s", i))
		s.recorder = b.recorder
		b.servers = append(b.servers, s)
	}
	b.discovery = newTestDiscovery(t, b.servers)
	b.discovery.hostCount = max(c.hostCount, c.servers)
	b.process = startProcessWithEnv(t, 1024, c.env, func(config map[string]any) {
		config["discovery"] = b.discovery.addr
		config["known"] = json.RawMessage(b.discovery.list())
		settings := config["settings"].(map[string]any)
		for _, class := range settings["Classes"].([]any) {
			class := class.(map[string]any)
			if deadline := c.deadlines[class["Name"].(string)]; deadline > 0 {
				class["HardLimitUs"] = deadline.Microseconds()
				class["TargetUs"] = min(deadline.Microseconds()/2, int64(class["TargetUs"].(float64)))
			}
		}
		if c.configure != nil {
			c.configure(settings)
		}
	})
	return b
}

// testServer is a server that accepts all requests and echoes the lines of its connections.
type testServer struct {
	name          string
	addr          string
	recorder      *attemptRecorder // nil: attempts are not recorded
	lock          sync.Mutex
	startMS       int64
	health        string
	unresponsive  bool // does not answer anything that it receives
	rejecting     bool // rejects requests, but still answers probes
	attempts      []attempt
	acceptedCount int
}

// connectionCount returns the number of connections that the server has accepted.
func (s *testServer) connectionCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.acceptedCount
}

// attempt is an OPEN line that a server received.
type attempt struct {
	id         string
	className  string
	receivedAt time.Time
}

func newTestServer(t *testing.T, name string) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &testServer{name: name, addr: l.Addr().String(), health: "SERVING"}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.lock.Lock()
			s.acceptedCount++
			s.lock.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *testServer) serve(c net.Conn) {
	defer c.Close()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		text := lines.Text()
		switch {
		case strings.HasPrefix(text, "OPEN "):
			id := strings.Fields(text)[1]
			reply := "UP " + s.name
			if s.recorder != nil {
				s.recorder.record(id, c)
			}
			s.lock.Lock()
			open, _ := line.ParseOpen([]byte(text))
			s.attempts = append(s.attempts, attempt{id: id, className: open.Class, receivedAt: time.Now()})
			unresponsive := s.unresponsive
			if s.rejecting {
				reply = "BUSY"
			}
			s.lock.Unlock()
			if !unresponsive {
				fmt.Fprint(c, reply+"\r\n")
			}
			if reply == "BUSY" {
				return
			}
		case s.isUnresponsive():
		case text == "STATS":
			fmt.Fprint(c, "PONG cpu=0.1,x0=0.1,rps=1\r\n")
		default:
			fmt.Fprint(c, text+"\r\n")
		}
	}
}

// startDraining makes the server reject all new requests.
func (s *testServer) startDraining() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rejecting, s.health = true, "DRAINING"
}

// stopResponding makes the server ignore everything that it receives from now on.
func (s *testServer) stopResponding() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.unresponsive = true
}

func (s *testServer) isUnresponsive() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.unresponsive
}

// receivedAttempts returns a copy of the attempts received so far.
func (s *testServer) receivedAttempts() []attempt {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]attempt(nil), s.attempts...)
}

// testDiscovery is a discovery service that answers with the current state of the servers. A call
// that knows the current version waits for a change.
type testDiscovery struct {
	addr         string
	lock         sync.Mutex
	servers      []*testServer
	version      int
	callCount    int
	hostCount    int    // hosts in the list, which share servers if there are more of them
	listBytes    int    // total size of the lists sent
	changedEntry string // the entry that the last change announced; empty: the whole list
	refusing     bool   // refuses all calls, as if too many were waiting
	changed      chan struct{}
}

// startRefusing makes discovery refuse all calls from now on, including those that are waiting.
func (d *testDiscovery) startRefusing() {
	d.lock.Lock()
	d.refusing = true
	d.lock.Unlock()
	d.announceWholeList()
}

// calls returns the number of calls received.
func (d *testDiscovery) calls() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.callCount
}

func newTestDiscovery(t *testing.T, servers []*testServer) *testDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &testDiscovery{addr: l.Addr().String(), servers: servers, version: 1, changed: make(chan struct{})}
	server := &http.Server{Handler: d}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return d
}

// stopRefusing makes discovery answer calls again.
func (d *testDiscovery) stopRefusing() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.refusing = false
}

// list returns the whole list.
func (d *testDiscovery) list() string {
	var hosts []string
	d.lock.Lock()
	defer d.lock.Unlock()
	for i := range max(d.hostCount, len(d.servers)) {
		hosts = append(hosts, d.entry(i))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.version, strings.Join(hosts, ","))
}

// entry returns the list entry of host i.
func (d *testDiscovery) entry(i int) string {
	s := d.servers[i%len(d.servers)]
	s.lock.Lock()
	defer s.lock.Unlock()
	name := s.name
	if i >= len(d.servers) {
		name = fmt.Sprint(s.name, "-", i)
	}
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":"m","block":0,"health":%q,"share":1,"born_ms":%d}`, name, s.addr, s.health, s.startMS)
}

// announceEntry announces a change of host i alone, with its unchanged entry.
func (d *testDiscovery) announceEntry(i int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.announce(d.entry(i))
}

// sentListBytes returns the total size of the lists sent.
func (d *testDiscovery) sentListBytes() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.listBytes
}

// addServer adds a server to the list and announces it.
func (d *testDiscovery) addServer(s *testServer) {
	d.lock.Lock()
	d.servers = append(d.servers, s)
	d.lock.Unlock()
	d.announceWholeList()
}

// announceWholeList announces the current state of all servers.
func (d *testDiscovery) announceWholeList() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.announce("")
}

// announce answers the waiting calls with a new version of the list. changedEntry is its only
// changed entry; if it is empty, the whole list is sent.
func (d *testDiscovery) announce(changedEntry string) {
	d.version++
	d.changedEntry = changedEntry
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *testDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.lock.Lock()
	d.callCount++
	known, changed := r.FormValue("index") == fmt.Sprint(d.version), d.changed
	d.lock.Unlock()
	if known && !d.isRefusing() {
		wait, _ := time.ParseDuration(r.FormValue("wait") + "ms")
		select {
		case <-changed:
		case <-time.After(wait):
			d.lock.Lock()
			fmt.Fprintf(w, `{"seq":%d,"whole":false,"hosts":[]}`, d.version)
			d.lock.Unlock()
			return
		}
	}
	if d.isRefusing() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := d.list()
	d.lock.Lock()
	if known && d.changedEntry != "" {
		list = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, d.version, d.changedEntry)
	}
	d.listBytes += len(list)
	d.lock.Unlock()
	io.WriteString(w, list)
}

func (d *testDiscovery) isRefusing() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.refusing
}

// testClient is a client's connection to the program.
type testClient struct {
	id     string
	conn   net.Conn
	reader *bufio.Reader
	sentAt time.Time // when the request was written
}

// dial connects a client that has not sent a request yet.
func (b *testbed) dial() (*testClient, error) {
	conn, err := net.DialTimeout("tcp", b.process.addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &testClient{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// sendOpen sends the OPEN line of a request.
func (c *testClient) sendOpen(id, class string, deadline time.Duration) error {
	c.id = id
	_, err := fmt.Fprintf(c.conn, "OPEN %s k%s c=%s,d=%d,g=g%s\r\n", id, id, class, deadline.Milliseconds(), id)
	c.sentAt = time.Now()
	return err
}

// readLine returns the next line without its line ending. The end of the connection and resets are
// returned as errors.
func (c *testClient) readLine(timeout time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	text, err := c.reader.ReadString('\n')
	return strings.TrimRight(text, "\r\n"), err
}

// answerMargin is how long after the deadline of a request its final answer may arrive, by the
// specification.
const answerMargin = 500 * time.Millisecond

// request sends a request on a connection of its own and returns the first word of its answer if
// that is UP or BUSY, otherwise the whole line.
func (b *testbed) request(id, class string, deadline time.Duration) (c *testClient, word string, err error) {
	if c, err = b.dial(); err != nil {
		return nil, "", err
	}
	if err = c.sendOpen(id, class, deadline); err != nil {
		return c, "", err
	}
	text, err := c.readLine(deadline + answerMargin)
	if err != nil {
		return c, "", fmt.Errorf("no answer after %v: %w", time.Since(c.sentAt).Round(time.Millisecond), err)
	}
	first, _ := line.ParseWord([]byte(text))
	switch first {
	case line.Up:
		return c, "UP", nil
	case line.Busy:
		return c, "BUSY", nil
	}
	return c, text, nil
}

// checkNoOverlappingAttempts checks that no request had two attempts open at the same time.
func (b *testbed) checkNoOverlappingAttempts() {
	b.t.Helper()
	b.recorder.lock.Lock()
	defer b.recorder.lock.Unlock()
	for _, id := range b.recorder.overlaps {
		b.t.Errorf("request %s: an attempt arrived while another was open", id)
	}
}
