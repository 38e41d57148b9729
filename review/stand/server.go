package stand

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Server is a sound server of the protocol page: it answers probes, takes connections with UP and
// returns each of their lines at once.
type Server struct {
	ID     string
	record *Record
	ln     net.Listener
	mu     sync.Mutex
	drain  bool // refuses new connections with BUSY and keeps those that it has
	conns  map[*ServerConn]bool
	opens  []Opened
	// OnLine, if set, is called for each line of an open connection. It returns the lines to send.
	OnLine func(c *ServerConn, text string) []string
	// OnStats, if set, returns the load report that answers a probe.
	OnStats func() string
}

// Opened is an OPEN line that a server received.
type Opened struct {
	At     time.Time
	ID     string
	Answer string
}

// ServerConn is one client connection at a server.
type ServerConn struct {
	ID     string
	conn   net.Conn
	Silent bool // owned by OnLine: the connection has fallen silent
	Lines  int  // lines received
}

// NewServer starts a server at a free port.
func NewServer(r *Record, id string) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, record: r, ln: ln, conns: make(map[*ServerConn]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Host returns the server's entry for the list.
func (s *Server) Host(health string) Host {
	return Host{Host: s.ID, Dial: s.ln.Addr().String(), Site: "here", Class: "std", Health: health, Share: 1}
}

// SetDrain makes the server turn away new connections, or ends that.
func (s *Server) SetDrain(on bool) {
	s.mu.Lock()
	s.drain = on
	s.mu.Unlock()
	s.record.Printf("server %s: drains: %v", s.ID, on)
}

// Open returns the ids of the open client connections.
func (s *Server) Open() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for c := range s.conns {
		ids = append(ids, c.ID)
	}
	return ids
}

// Opens returns the OPEN lines so far.
func (s *Server) Opens() []Opened {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Opened(nil), s.opens...)
}

// Drop resets all open connections, as the end of the server's process does.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		_ = c.conn.Close()
	}
}

// Stop ends the server as a process that leaves does: its listener and its connections are closed.
func (s *Server) Stop() {
	s.record.Printf("server %s: leaves, with %d open connections", s.ID, len(s.Open()))
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	var open *ServerConn
	defer func() {
		if open != nil {
			s.mu.Lock()
			delete(s.conns, open)
			s.mu.Unlock()
			s.record.Printf("server %s: connection %s ended", s.ID, open.ID)
		}
	}()
	in := bufio.NewReader(conn)
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			return
		}
		text = strings.TrimRight(text, "\r\n")
		var out []string
		switch {
		case open != nil:
			open.Lines++
			s.record.Printf("server %s: %s line %q", s.ID, open.ID, text)
			if s.OnLine != nil {
				out = s.OnLine(open, text)
			} else {
				out = []string{"re " + text}
			}
			for _, l := range out {
				s.record.Printf("server %s: %s returns %q", s.ID, open.ID, l)
			}
		case text == "PING":
			out = []string{"PONG"}
		case text == "STATS":
			out = []string{"PONG cpu=0.10,x0=0.10,rps=1"}
			if s.OnStats != nil {
				out = []string{"PONG " + s.OnStats()}
			}
		case strings.HasPrefix(text, "OPEN "):
			id := strings.Fields(text)[1]
			s.mu.Lock()
			answer := "UP " + s.ID
			if s.drain {
				answer = "BUSY"
			} else {
				open = &ServerConn{ID: id, conn: conn}
				s.conns[open] = true
			}
			s.opens = append(s.opens, Opened{time.Now(), id, answer})
			s.mu.Unlock()
			s.record.Printf("server %s: %q answered %s", s.ID, text, answer)
			out = []string{answer}
		default:
			out = []string{"SYNTAX"}
		}
		for _, l := range out {
			if _, err := fmt.Fprintf(conn, "%s\r\n", l); err != nil {
				return
			}
		}
		if open == nil && len(out) == 1 && out[0] == "BUSY" {
			return
		}
	}
}
