package datapath

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	targets       = 16 // servers behind the proxy
	localAddrs    = 4  // addresses that clients call from, each with its own ports
	openWithin    = 5 * time.Second
	openTries     = 8
	callersAtOnce = 32
)

// host is a target as discovery names it.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// ends are all that the proxy speaks to: targets, discovery and clients, in this process.
type ends struct {
	hosts     []host
	discovery string
	listeners []net.Listener
	server    *http.Server

	mu       sync.Mutex
	standing []net.Conn // the targets' sides
	clients  []net.Conn
	closed   bool

	delivered atomic.Int64 // lines that clients have read
}

func newEnds() (*ends, error) {
	e := &ends{}
	for i := range targets {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.close()
			return nil, err
		}
		e.listeners = append(e.listeners, l)
		e.hosts = append(e.hosts, host{
			Host: fmt.Sprintf("target-%02d", i), Dial: l.Addr().String(), Site: "here", Class: "plain", Health: "SERVING", Share: 1,
		})
		go e.accept(l)
	}
	return e, e.serveDiscovery()
}

// serveDiscovery answers a whole list once and then that nothing has changed, each time after the wait that was asked for.
func (e *ends) serveDiscovery() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.close()
		return err
	}
	e.discovery = l.Addr().String()
	var whole []string
	for _, h := range e.hosts {
		whole = append(whole, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":"plain","block":0,"health":"SERVING","share":1,"born_ms":0}`, h.Host, h.Dial))
	}
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("index") != "1" {
			fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[%s]}`, strings.Join(whole, ","))
			return
		}
		if wait, err := time.ParseDuration(r.FormValue("wait") + "ms"); err == nil {
			time.Sleep(min(wait, 2*time.Second))
		}
		fmt.Fprint(w, `{"seq":1,"whole":false,"hosts":[]}`)
	})}
	go e.server.Serve(l)
	return nil
}

func (e *ends) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // it was closed
		}
		go e.talk(c)
	}
}

// talk answers probes and takes a connection; what the client says then is read and dropped.
func (e *ends) talk(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 512)
	up := false
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			return
		}
		reply := ""
		switch {
		case up:
			continue
		case strings.HasPrefix(text, "PING"):
			reply = "PONG\r\n"
		case strings.HasPrefix(text, "STATS"):
			reply = "PONG cpu=0.10,x0=0.10,rps=1\r\n"
		case strings.HasPrefix(text, "OPEN "):
			up, reply = true, "UP target\r\n"
		default:
			reply = "SYNTAX\r\n"
		}
		if _, err := c.Write([]byte(reply)); err != nil {
			return
		}
		if up && !e.keep(&e.standing, c) {
			return
		}
	}
}

// keep notes a connection, or tells that all is over.
func (e *ends) keep(list *[]net.Conn, c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		*list = append(*list, c)
	}
	return !e.closed
}

// open has clients connect until so many more stand.
func (e *ends) open(proxy string, from, count int) error {
	var (
		group  sync.WaitGroup
		next   atomic.Int64
		mu     sync.Mutex
		failed error
	)
	for range callersAtOnce {
		group.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= count {
					return
				}
				if err := e.openOne(proxy, from+i); err != nil {
					mu.Lock()
					failed = errors.Join(failed, err)
					mu.Unlock()
					return
				}
			}
		})
	}
	group.Wait()
	return failed
}

// openOne opens a connection; who is told to come again does.
func (e *ends) openOne(proxy string, number int) error {
	dialer := net.Dialer{Timeout: openWithin, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+number%localAddrs))}}
	answer := ""
	for range openTries {
		c, err := dialer.Dial("tcp", proxy)
		if err != nil {
			return fmt.Errorf("client %d: %w", number, err)
		}
		c.SetDeadline(time.Now().Add(openWithin))
		if _, err = fmt.Fprintf(c, "OPEN c%d k%d c=readings,d=4000,g=g%d\r\n", number, number, number%997); err == nil {
			in := bufio.NewReaderSize(c, 512)
			if answer, err = in.ReadString('\n'); err == nil && strings.HasPrefix(answer, "UP") {
				c.SetDeadline(time.Time{})
				if !e.keep(&e.clients, c) {
					return c.Close()
				}
				go e.count(in)
				return nil
			}
		}
		c.Close()
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("client %d is not let in after %d tries: %q", number, openTries, answer)
}

// count reads a client's lines.
func (e *ends) count(in *bufio.Reader) {
	for {
		if _, err := in.ReadSlice('\n'); err != nil {
			return
		}
		e.delivered.Add(1)
	}
}

// deliver has targets send lines at a rate over all standing connections in turn, for a time. It returns how many were sent.
func (e *ends) deliver(rate float64, span time.Duration) (int64, error) {
	e.mu.Lock()
	list := e.standing
	e.mu.Unlock()
	text := []byte("reading 7.25 bar 81.3 C running\r\n")
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	sent := int64(0)
	for begin := time.Now(); ; <-tick.C {
		passed := min(time.Since(begin), span)
		for due := int64(rate * passed.Seconds()); sent < due; sent++ {
			if _, err := list[int(sent)%len(list)].Write(text); err != nil {
				return sent, err
			}
		}
		if passed == span {
			return sent, nil
		}
	}
}

// close ends all connections and listeners.
func (e *ends) close() {
	for _, l := range e.listeners {
		l.Close()
	}
	if e.server != nil {
		e.server.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, c := range append(e.standing, e.clients...) {
		c.Close()
	}
}
