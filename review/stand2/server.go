package stand2

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Open is the first line of a client, as a server got it.
type Open struct {
	At     time.Time // when its first byte had come
	Server string
	ID     string
	Class  string
	Answer string // first word of the answer
	Ended  time.Time
}

// Server is a stand-in server: it answers probes and requests and echoes lines.
type Server struct {
	ID, Addr string
	r        *Record
	listener net.Listener
	mu       sync.Mutex
	draining bool
	conns    map[net.Conn]bool
	opens    []*Open
	standing int
	frozen   chan struct{} // closed when the server's machine is back; nil: it is there
	probes   []time.Time
	NoProbes bool // the settings allow no probes
	// Answer returns how a request is answered; nil: UP, or BUSY while the server drains. It may wait.
	Answer func(o *Open) string
}

// NewServer starts a server at a free address.
func NewServer(r *Record, id string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: l.Addr().String(), r: r, listener: l, conns: make(map[net.Conn]bool)}
	go s.accept(l)
	return s, nil
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// Drain makes the server take no new requests.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Vanish makes the server's machine silent until the returned function brings it back. Connections that were begun
// meanwhile are reset then, as the others are that the server still has: it has started anew.
func (s *Server) Vanish() (back func()) {
	c := make(chan struct{})
	s.mu.Lock()
	s.frozen = c
	s.mu.Unlock()
	s.r.Logf("server %s: silent", s.ID)
	return func() {
		s.mu.Lock()
		s.frozen = nil
		s.reset()
		s.mu.Unlock()
		close(c)
		s.r.Logf("server %s: back", s.ID)
	}
}

// wait waits while the machine is silent.
func (s *Server) wait() {
	s.mu.Lock()
	c := s.frozen
	s.mu.Unlock()
	if c != nil {
		<-c
	}
}

// reset resets all connections.
func (s *Server) reset() {
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// Probes returns when probes have come so far.
func (s *Server) Probes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.probes)
}

// Opens returns the requests that have come so far.
func (s *Server) Opens() []Open {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Open
	for _, o := range s.opens {
		all = append(all, *o)
	}
	return all
}

// Standing returns how many connections are up.
func (s *Server) Standing() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standing
}

// Kill ends the server as a process that dies: its connections are reset, new ones are refused.
func (s *Server) Kill() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
}

// Field returns a value of the first line's list.
func Field(line, name string) string {
	parts := strings.Split(line, " ")
	for _, pair := range strings.Split(parts[len(parts)-1], ",") {
		if v, ok := strings.CutPrefix(pair, name+"="); ok {
			return v
		}
	}
	return ""
}

func (s *Server) serve(c net.Conn) {
	var up *Open
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		if up != nil {
			up.Ended = time.Now()
			s.standing--
		}
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		s.wait()
		if _, err := in.Peek(1); err != nil {
			return
		}
		s.wait()
		at := time.Now()
		text, err := in.ReadString('\n')
		if err != nil {
			return
		}
		text = strings.TrimRight(text, "\r\n")
		reply := ""
		switch {
		case up != nil:
			reply = "ECHO " + text
		case text == "PING" || text == "STATS":
			s.mu.Lock()
			s.probes = append(s.probes, at)
			s.mu.Unlock()
			if s.NoProbes {
				reply = "NO"
				s.r.LogAt(at, "server %s: got %q, answers %q", s.ID, text, reply)
				break
			}
			reply = fmt.Sprintf("PONG util=%.2f,x0=%.2f,qps=1", 0.1, 0.1)
		case strings.HasPrefix(text, "OPEN "):
			o := &Open{At: at, Server: s.ID, ID: strings.Split(text, " ")[1], Class: Field(text, "c")}
			s.mu.Lock()
			s.opens = append(s.opens, o)
			draining := s.draining
			s.mu.Unlock()
			switch {
			case s.Answer != nil:
				reply = s.Answer(o)
			case draining && Field(text, "at") == "":
				reply = "BUSY"
			default:
				reply = "UP " + s.ID + "/" + o.ID
			}
			s.r.LogAt(at, "server %s: got %q, answers %q", s.ID, text, reply)
			word, _, _ := strings.Cut(reply, " ")
			s.mu.Lock()
			if o.Answer = word; word == "UP" {
				up = o
				s.standing++
			}
			s.mu.Unlock()
		default:
			reply = "SYNTAX"
		}
		if reply == "" {
			continue
		}
		if _, err := c.Write([]byte(reply + "\r\n")); err != nil {
			return
		}
		if strings.HasPrefix(text, "OPEN ") && up == nil {
			return
		}
	}
}
