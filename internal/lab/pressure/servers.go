package pressure

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"ospreyspan/internal/line"
	"ospreyspan/internal/rig"
)

// The classes of the settings, by what may be repeated.
const (
	classFree    = "readings"
	classShort   = "status"  // like readings, for clients that wait less long
	classOnce    = "once"    // a request must not run twice
	classGuarded = "guarded" // servers drop repeats, but only for guardedWindow
)

const (
	guardedWindow = 500 * time.Millisecond
	// How long clients of these classes wait.
	freeDeadline  = 4800 * time.Millisecond
	shortDeadline = 1800 * time.Millisecond
	onceDeadline  = 3 * time.Second
)

// settings returns settings with the figures of aebi-telemetry and a class for each effect.
func settings() map[string]any {
	s := rig.Settings(1)
	s["Classes"] = []any{
		map[string]any{"Name": classFree, "Repeat": "free", "TargetUs": 800000, "HardLimitUs": freeDeadline.Microseconds(), "Worth": 3},
		map[string]any{"Name": classShort, "Repeat": "free", "TargetUs": 300000, "HardLimitUs": shortDeadline.Microseconds(), "Worth": 2},
		map[string]any{"Name": classOnce, "Repeat": "single_shot", "TargetUs": 800000, "HardLimitUs": onceDeadline.Microseconds(), "Worth": 2},
		map[string]any{
			"Name": classGuarded, "Repeat": "guarded", "DedupScope": "all", "WindowUs": guardedWindow.Microseconds(),
			"TargetUs": 800000, "HardLimitUs": onceDeadline.Microseconds(), "Worth": 2,
		},
	}
	return s
}

// server is a stand-in for a server. It answers at once, or after the delay that a request's key
// asks for, and remembers when each request arrived.
type server struct {
	name     string
	listener net.Listener
	mu       sync.Mutex
	runs     map[string][]time.Time // arrivals of requests of recorded ids
	probe    func(c net.Conn) bool  // answers a probe in place of the server; nil: the server does
	full     bool                   // refuses requests, which do not run
}

// setFull has all servers refuse requests, or take them again.
func (s *stage) setFull(on bool) {
	for _, server := range s.servers {
		server.mu.Lock()
		server.full = on
		server.mu.Unlock()
	}
}

// recordedPrefix marks the ids of requests whose arrivals are remembered.
const recordedPrefix = "rec-"

// slowKey is the key of requests that the server works on for slowWork.
const (
	slowKey  = "slow"
	slowWork = 1200 * time.Millisecond
)

func newServer(name string) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{name: name, listener: l, runs: make(map[string][]time.Time)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		text, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		switch {
		case bytes.HasPrefix(text, []byte("OPEN ")):
			request, err := line.ParseOpen(line.TrimLineEnd(text))
			if err != nil {
				return
			}
			if !s.take(request.ID) {
				_, _ = c.Write([]byte("BUSY\r\n")) // the process may have ended the connection
				return
			}
			if request.Key == slowKey {
				time.Sleep(slowWork)
			}
			if _, err := fmt.Fprintf(c, "UP %s\r\n", s.name); err != nil {
				return
			}
		case bytes.Equal(text, []byte("STATS\r\n")) || bytes.Equal(text, []byte("PING\r\n")):
			s.mu.Lock()
			probe := s.probe
			s.mu.Unlock()
			if probe != nil {
				if !probe(c) {
					return
				}
			} else if _, err := c.Write([]byte("PONG cpu=0.1,x0=0.1,rps=10\r\n")); err != nil {
				return
			}
		default:
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	}
}

// take records the arrival of a request and reports whether the server takes it.
func (s *server) take(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return false
	}
	if strings.HasPrefix(id, recordedPrefix) {
		s.runs[id] = append(s.runs[id], time.Now())
	}
	return true
}

// runs returns when a request arrived, at any server.
func (s *stage) runs(id string) []time.Time {
	var all []time.Time
	for _, server := range s.servers {
		server.mu.Lock()
		all = append(all, server.runs[id]...)
		server.mu.Unlock()
	}
	return all
}

// discovery is a stand-in for discovery, whose list never changes.
type discovery struct {
	addr     string
	listener net.Listener
	servers  []*server
	mu       sync.Mutex
	answer   func(w http.ResponseWriter) // answers a call in place of the list; nil: the list
}

func newDiscovery(servers []*server) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), listener: l, servers: servers}
	go func() { _ = http.Serve(l, d) }() // ends when the listener is closed
	return d, nil
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	answer := d.answer
	d.mu.Unlock()
	switch wait, _ := time.ParseDuration(r.FormValue("wait") + "ms"); {
	case answer != nil:
		answer(w)
	case wait > 0:
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		fmt.Fprint(w, `{"seq":1,"whole":false,"hosts":[]}`)
	default:
		_, _ = w.Write(d.list()) // the caller may have gone
	}
}

// list returns the whole list.
func (d *discovery) list() []byte {
	var hosts []any
	for _, s := range d.servers {
		hosts = append(hosts, map[string]any{
			"host": s.name, "dial": s.listener.Addr().String(), "site": "here", "class": "m", "block": 0, "health": "SERVING", "share": 1, "born_ms": 0,
		})
	}
	text, err := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": hosts})
	if err != nil {
		panic(err) // all values are plain
	}
	return text
}
