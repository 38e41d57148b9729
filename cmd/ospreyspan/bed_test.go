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

// testbed is the program in a process of its own between servers, a discovery and clients that the test plays. What they receive is
// what its verdicts count.
type testbed struct {
	t         *testing.T
	process   *process
	discovery *testDiscovery
	servers   []*testServer
	recorder  *attemptRecorder
}

// attemptRecorder sees the attempts of all servers as they arrive.
type attemptRecorder struct {
	lock         sync.Mutex
	openAttempts map[string][]net.Conn // by request
	overlaps     []string              // requests of which an attempt arrived while another was out
}

// record notes an attempt. An earlier one that was given up has its end in its connection by then, whether its server has read that yet
// or not.
func (b *attemptRecorder) record(id string, conn net.Conn) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, earlier := range b.openAttempts[id] {
		if !peerClosed(earlier) {
			b.overlaps = append(b.overlaps, id)
		}
	}
	b.openAttempts[id] = append(b.openAttempts[id], conn)
}

// peerClosed tells whether the far side's end of a connection has arrived.
func peerClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true // closed here
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN)
	})
	return closed || err != nil
}

// testbedConfig is what a bed is made of.
type testbedConfig struct {
	servers   int
	deadlines map[string]time.Duration // deadlines of classes, where they differ from the example's
	configure func(settings map[string]any)
	env       []string
	hostCount int // of servers in the list, of which several share a listener; 0: each has one of its own
}

// newTestbed starts servers, a discovery that names them and the program, and waits until that answers PONG.
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

// testServer takes all connections that it is sent and echoes their lines.
type testServer struct {
	name          string
	addr          string
	recorder      *attemptRecorder // nil: it keeps none
	lock          sync.Mutex
	startMS       int64
	health        string
	unresponsive  bool // it answers nothing any more, whatever it is sent
	rejecting     bool // it turns requests away, and answers probes as before
	attempts      []attempt
	acceptedCount int
}

// connectionCount is how many were made to it.
func (s *testServer) connectionCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.acceptedCount
}

// attempt is a request's line as a server received it.
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
			hung := s.unresponsive
			if s.rejecting {
				reply = "BUSY"
			}
			s.lock.Unlock()
			if !hung {
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

// startDraining has the server take nothing new.
func (s *testServer) startDraining() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rejecting, s.health = true, "DRAINING"
}

// stopResponding has the server answer nothing any more.
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

// receivedAttempts are the attempts so far.
func (s *testServer) receivedAttempts() []attempt {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]attempt(nil), s.attempts...)
}

// testDiscovery answers with the servers' present state. A watch waits for a change.
type testDiscovery struct {
	addr         string
	lock         sync.Mutex
	servers      []*testServer
	version      int
	callCount    int
	hostCount    int    // of servers; those beyond the listeners share them
	listBytes    int    // bytes of lists
	changedEntry string // the last change, if it was of one server only
	refusing     bool   // it refuses all calls, since too many wait
	changed      chan struct{}
}

// startRefusing has it startRefusing all calls from now on, and ends the watches that are open.
func (d *testDiscovery) startRefusing() {
	d.lock.Lock()
	d.refusing = true
	d.lock.Unlock()
	d.announceWholeList()
}

// calls is how many calls there have been.
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

// stopRefusing has it answer again.
func (d *testDiscovery) stopRefusing() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.refusing = false
}

// list is the whole list.
func (d *testDiscovery) list() string {
	var hosts []string
	d.lock.Lock()
	defer d.lock.Unlock()
	for i := range max(d.hostCount, len(d.servers)) {
		hosts = append(hosts, d.entry(i))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.version, strings.Join(hosts, ","))
}

// entry is a server's part of the list.
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

// announceEntry tells watches of a change of one server, which stays as it is.
func (d *testDiscovery) announceEntry(i int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.announce(d.entry(i))
}

// sentListBytes are those of all lists that it has told.
func (d *testDiscovery) sentListBytes() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.listBytes
}

// addServer has the list name another server.
func (d *testDiscovery) addServer(s *testServer) {
	d.lock.Lock()
	d.servers = append(d.servers, s)
	d.lock.Unlock()
	d.announceWholeList()
}

// announceWholeList tells all watches of what has changed in the servers.
func (d *testDiscovery) announceWholeList() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.announce("")
}

// announce ends the watches with a new version of the list; patch is its one changed entry, empty for the whole list.
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

// testClient is one client's connection to the program.
type testClient struct {
	id     string
	conn   net.Conn
	reader *bufio.Reader
	sentAt time.Time // its request's last byte
}

// dial connects without a request.
func (b *testbed) dial() (*testClient, error) {
	conn, err := net.DialTimeout("tcp", b.process.addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &testClient{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// sendOpen sends the request's line.
func (c *testClient) sendOpen(id, class string, deadline time.Duration) error {
	c.id = id
	_, err := fmt.Fprintf(c.conn, "OPEN %s k%s c=%s,d=%d,g=g%s\r\n", id, id, class, deadline.Milliseconds(), id)
	c.sentAt = time.Now()
	return err
}

// readLine reads a line, without its end. io.EOF and resets come as errors.
func (c *testClient) readLine(timeout time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	text, err := c.reader.ReadString('\n')
	return strings.TrimRight(text, "\r\n"), err
}

// answerMargin is how long after a client's time its final answer may come, by the standing pages.
const answerMargin = 500 * time.Millisecond

// request sends a request on a connection of its own and returns the first word of its answer.
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

// checkNoOverlappingAttempts checks that no request had two attempts out together.
func (b *testbed) checkNoOverlappingAttempts() {
	b.t.Helper()
	b.recorder.lock.Lock()
	defer b.recorder.lock.Unlock()
	for _, id := range b.recorder.overlaps {
		b.t.Errorf("request %s: an attempt arrived while another was out", id)
	}
}
