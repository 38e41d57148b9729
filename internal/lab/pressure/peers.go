package pressure

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// peerPictures are played by servers and by discovery.
var peerPictures = []picture{
	{name: "probe-fields", about: "servers answer probes with 3.9 KB of short fields", play: playProbeFields},
	{name: "probe-flood", about: "servers answer each probe with lines without end", play: playProbeFlood},
	{name: "discovery-heads", about: "discovery answers with heads of very many fields", play: playDiscoveryHeads},
	{name: "discovery-pieces", about: "discovery answers in very small chunks, without end", play: playDiscoveryPieces},
}

// answerProbes has all servers answer probes with f until the picture is over.
func (s *stage) answerProbes(f func(c net.Conn) bool) {
	for _, server := range s.servers {
		server.mu.Lock()
		server.probe = func(c net.Conn) bool { s.addLoad(1); return f(c) }
		server.mu.Unlock()
	}
	time.Sleep(time.Until(s.until))
}

func playProbeFields(s *stage) {
	answer := []byte("PONG cpu=0.1,x0=0.1,rps=1" + manyFields(3900) + "\r\n")
	s.answerProbes(func(c net.Conn) bool {
		_, err := c.Write(answer)
		return err == nil
	})
}

func playProbeFlood(s *stage) {
	answer := []byte(strings.Repeat("PONG cpu=0.1,x0=0.1,rps=1\r\n", 500))
	s.answerProbes(func(c net.Conn) bool {
		for !s.over() {
			if _, err := c.Write(answer); err != nil {
				return false
			}
		}
		return false
	})
}

// answerCalls has discovery answer calls with f until the picture is over. The calls that wait are
// ended, so that the process calls again.
func (s *stage) answerCalls(f func(w http.ResponseWriter)) {
	s.discovery.mu.Lock()
	s.discovery.answer = func(w http.ResponseWriter) { s.addLoad(1); f(w) }
	s.discovery.mu.Unlock()
	time.Sleep(time.Until(s.until))
	s.discovery.mu.Lock()
	s.discovery.answer = nil
	s.discovery.mu.Unlock()
}

func playDiscoveryHeads(s *stage) {
	s.answerCalls(func(w http.ResponseWriter) {
		for i := range 2000 {
			w.Header().Set(fmt.Sprint("A", i), "1")
		}
		_, _ = w.Write(s.discovery.list())
	})
}

func playDiscoveryPieces(s *stage) {
	s.answerCalls(func(w http.ResponseWriter) {
		raw, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer raw.Close()
		_, _ = raw.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		piece := []byte(strings.Repeat("1\r\n \r\n", 500))
		for !s.over() {
			if _, err := raw.Write(piece); err != nil {
				return
			}
		}
	})
}
