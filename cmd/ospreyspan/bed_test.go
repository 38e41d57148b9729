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

// bed is the program in a process of its own between servers, a discovery and clients that the test plays. What they receive is
// what its verdicts count.
type bed struct {
	t         *testing.T
	process   *process
	discovery *testDiscovery
	servers   []*testServer
	book      *attemptBook
}

// attemptBook sees the attempts of all servers as they arrive.
type attemptBook struct {
	lock     sync.Mutex
	out      map[string][]net.Conn // by request
	overlaps []string              // requests of which an attempt arrived while another was out
}

// arrives notes an attempt. An earlier one that was given up has its end in its connection by then, whether its server has read that yet
// or not.
func (b *attemptBook) arrives(id string, conn net.Conn) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, earlier := range b.out[id] {
		if !endIsThere(earlier) {
			b.overlaps = append(b.overlaps, id)
		}
	}
	b.out[id] = append(b.out[id], conn)
}

// endIsThere tells whether the far side's end of a connection has arrived.
func endIsThere(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true // closed here
	}
	over := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		over = n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN)
	})
	return over || err != nil
}

// bedConfig is what a bed is made of.
type bedConfig struct {
	servers   int
	waits     map[string]time.Duration // deadlines of classes, where they differ from the example's
	configure func(settings map[string]any)
	env       []string
	names     int // of servers in the list, of which several share a listener; 0: each has one of its own
}

// newBed starts servers, a discovery that names them and the program, and waits until that answers PONG.
func newBed(t *testing.T, c bedConfig) *bed {
	t.Helper()
	b := &bed{t: t, book: &attemptBook{out: make(map[string][]net.Conn)}}
	for i := range c.servers {
		s := newTestServer(t, fmt.Sprint("s", i))
		s.book = b.book
		b.servers = append(b.servers, s)
	}
	b.discovery = newTestDiscovery(t, b.servers)
	b.discovery.names = max(c.names, c.servers)
	b.process = startProcessIn(t, 1024, c.env, func(config map[string]any) {
		config["discovery"] = b.discovery.at
		config["known"] = json.RawMessage(b.discovery.list())
		set := config["settings"].(map[string]any)
		for _, class := range set["Classes"].([]any) {
			class := class.(map[string]any)
			if wait := c.waits[class["Name"].(string)]; wait > 0 {
				class["HardLimitUs"] = wait.Microseconds()
				class["TargetUs"] = min(wait.Microseconds()/2, int64(class["TargetUs"].(float64)))
			}
		}
		if c.configure != nil {
			c.configure(set)
		}
	})
	return b
}

// testServer takes all connections that it is sent and echoes their lines.
type testServer struct {
	name     string
	at       string
	book     *attemptBook // nil: it keeps none
	lock     sync.Mutex
	bornMS   int64
	health   string
	hung     bool // it answers nothing any more, whatever it is sent
	full     bool // it turns requests away, and answers probes as before
	attempts []attempt
	accepted int
}

// connections is how many were made to it.
func (s *testServer) connections() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.accepted
}

// attempt is a request's line as a server received it.
type attempt struct {
	id    string
	class string
	at    time.Time
}

func newTestServer(t *testing.T, name string) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &testServer{name: name, at: l.Addr().String(), health: "SERVING"}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.lock.Lock()
			s.accepted++
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
			if s.book != nil {
				s.book.arrives(id, c)
			}
			s.lock.Lock()
			open, _ := line.ParseOpen([]byte(text))
			s.attempts = append(s.attempts, attempt{id: id, class: open.Class, at: time.Now()})
			hung := s.hung
			if s.full {
				reply = "BUSY"
			}
			s.lock.Unlock()
			if !hung {
				fmt.Fprint(c, reply+"\r\n")
			}
			if reply == "BUSY" {
				return
			}
		case s.hangs():
		case text == "STATS":
			fmt.Fprint(c, "PONG cpu=0.1,x0=0.1,rps=1\r\n")
		default:
			fmt.Fprint(c, text+"\r\n")
		}
	}
}

// drain has the server take nothing new.
func (s *testServer) drain() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.full, s.health = true, "DRAINING"
}

// hang has the server answer nothing any more.
func (s *testServer) hang() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.hung = true
}

func (s *testServer) hangs() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.hung
}

// received are the attempts so far.
func (s *testServer) received() []attempt {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]attempt(nil), s.attempts...)
}

// testDiscovery answers with the servers' present state. A watch waits for a change.
type testDiscovery struct {
	at      string
	lock    sync.Mutex
	servers []*testServer
	version int
	asked   int
	names   int    // of servers; those beyond the listeners share them
	told    int    // bytes of lists
	patch   string // the last change, if it was of one server only
	busy    bool   // it refuses all calls, since too many wait
	changed chan struct{}
}

// refuse has it refuse all calls from now on, and ends the watches that are open.
func (d *testDiscovery) refuse() {
	d.lock.Lock()
	d.busy = true
	d.lock.Unlock()
	d.change()
}

// calls is how many calls there have been.
func (d *testDiscovery) calls() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.asked
}

func newTestDiscovery(t *testing.T, servers []*testServer) *testDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &testDiscovery{at: l.Addr().String(), servers: servers, version: 1, changed: make(chan struct{})}
	server := &http.Server{Handler: d}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return d
}

// accept has it answer again.
func (d *testDiscovery) accept() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.busy = false
}

// list is the whole list.
func (d *testDiscovery) list() string {
	var hosts []string
	d.lock.Lock()
	defer d.lock.Unlock()
	for i := range max(d.names, len(d.servers)) {
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
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":"m","block":0,"health":%q,"share":1,"born_ms":%d}`, name, s.at, s.health, s.bornMS)
}

// repeat tells watches of a change of one server, which stays as it is.
func (d *testDiscovery) repeat(i int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.announce(d.entry(i))
}

// bytes are those of all lists that it has told.
func (d *testDiscovery) bytes() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.told
}

// add has the list name another server.
func (d *testDiscovery) add(s *testServer) {
	d.lock.Lock()
	d.servers = append(d.servers, s)
	d.lock.Unlock()
	d.change()
}

// change tells all watches of what has changed in the servers.
func (d *testDiscovery) change() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.announce("")
}

// announce ends the watches with a new version of the list; patch is its one changed entry, empty for the whole list.
func (d *testDiscovery) announce(patch string) {
	d.version++
	d.patch = patch
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *testDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.lock.Lock()
	d.asked++
	known, changed := r.FormValue("index") == fmt.Sprint(d.version), d.changed
	d.lock.Unlock()
	if known && !d.refuses() {
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
	if d.refuses() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := d.list()
	d.lock.Lock()
	if known && d.patch != "" {
		list = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, d.version, d.patch)
	}
	d.told += len(list)
	d.lock.Unlock()
	io.WriteString(w, list)
}

func (d *testDiscovery) refuses() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.busy
}

// testClient is one client's connection to the program.
type testClient struct {
	id    string
	conn  net.Conn
	lines *bufio.Reader
	sent  time.Time // its request's last byte
}

// dial connects without a request.
func (b *bed) dial() (*testClient, error) {
	conn, err := net.DialTimeout("tcp", b.process.at, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &testClient{conn: conn, lines: bufio.NewReader(conn)}, nil
}

// ask sends the request's line.
func (c *testClient) ask(id, class string, wait time.Duration) error {
	c.id = id
	_, err := fmt.Fprintf(c.conn, "OPEN %s k%s c=%s,d=%d,g=g%s\r\n", id, id, class, wait.Milliseconds(), id)
	c.sent = time.Now()
	return err
}

// next reads a line, without its end. io.EOF and resets come as errors.
func (c *testClient) next(within time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	text, err := c.lines.ReadString('\n')
	return strings.TrimRight(text, "\r\n"), err
}

// answerLatest is how long after a client's time its final answer may come, by the standing pages.
const answerLatest = 500 * time.Millisecond

// answerTo sends a request on a connection of its own and returns the first word of its answer.
func (b *bed) answerTo(id, class string, wait time.Duration) (c *testClient, word string, err error) {
	if c, err = b.dial(); err != nil {
		return nil, "", err
	}
	if err = c.ask(id, class, wait); err != nil {
		return c, "", err
	}
	text, err := c.next(wait + answerLatest)
	if err != nil {
		return c, "", fmt.Errorf("no answer after %v: %w", time.Since(c.sent).Round(time.Millisecond), err)
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

// oneAttemptAtATime checks that no request had two attempts out together.
func (b *bed) oneAttemptAtATime() {
	b.t.Helper()
	b.book.lock.Lock()
	defer b.book.lock.Unlock()
	for _, id := range b.book.overlaps {
		b.t.Errorf("request %s: an attempt arrived while another was out", id)
	}
}
