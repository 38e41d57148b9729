package instance

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// connectClients connects n clients at once. Each sends a line, or nothing if text is nil.
func (s *testBed) connectClients(n int, text func(i int) string) []*testConn {
	s.t.Helper()
	all := make([]*testConn, n)
	for i := range all {
		all[i] = &testConn{now: s.world.Now}
		var err error
		if all[i].socket, err = s.clients.loop.Dial(netip.AddrPortFrom(s.proxy.Addr(), port), all[i]); err != nil {
			s.t.Fatal(err)
		}
		all[i].socket.Want(true, true)
	}
	for range 10 {
		s.run(ms)
	}
	for i, e := range all {
		if text != nil && e.established && !e.closed {
			s.send(e, text(i))
		}
	}
	return all
}

// answerTargetRequests has the targets answer each request with UP for the given duration.
func (s *testBed) answerTargetRequests(d time.Duration) {
	s.t.Helper()
	for begin := s.world.Now(); s.world.Now().Sub(begin) < d; s.run(2 * ms) {
		for _, r := range s.targets {
			for _, e := range r.accepted {
				switch {
				case e.closed:
				case strings.HasPrefix(e.received, "OPEN "):
					e.received = ""
					s.send(e, "UP r\r\n")
				case e.received == "STATS\r\n":
					e.received = ""
					s.send(e, "PONG x0=0.1\r\n")
				}
			}
		}
	}
}

// countAnswers counts the clients by the first word that they received.
func countAnswers(all []*testConn) map[string]int {
	count := make(map[string]int)
	for _, e := range all {
		word, _, _ := strings.Cut(strings.TrimSuffix(e.received, "\r\n"), " ")
		count[word]++
	}
	return count
}

// Discovery is down, and clients connect by the hundred. Most send nothing, others send requests
// and stay connected, more than there are descriptors. Accepted clients must be served, and a
// request must reach discovery soon after its return.
func TestDescriptorsReservedForDiscovery(t *testing.T) {
	const sockets = 200
	for _, asking := range []int{60, 140, 190} {
		t.Run(fmt.Sprint(asking, " requests"), func(t *testing.T) {
			s := newTestBedWith(t, 2, sockets, testSettings)
			s.discovery.host.Kill()
			s.discovery.accepted = nil
			s.run(100 * ms)
			served := s.connectClients(asking, func(i int) string { return fmt.Sprintf("OPEN a%d k%d c=c,d=2000\r\n", i, i) })
			s.connectClients(300, nil)
			s.answerTargetRequests(500 * ms)
			got := countAnswers(served)
			if got["UP"]+got["BUSY"] != asking || got["UP"] < min(asking, (sockets-60)/2) {
				t.Errorf("%d requests: answers %v", asking, got)
			}
			if s.proxy.Open()+processDescriptors >= sockets {
				t.Errorf("%d of %d descriptors are open", s.proxy.Open()+processDescriptors, sockets)
			}
			s.startHost(s.discovery, true)
			s.connectClients(300, nil)
			s.answerTargetRequests(2500 * ms)
			if len(s.discovery.accepted) == 0 {
				t.Error("no request reached discovery after its return")
			}
		})
	}
}

// probingSettings is testSettings with probes.
var probingSettings = strings.Replace(testSettings, `"Probing":false`, `"Probing":true`, 1)

// A process with more targets than descriptors keeps connections for probes, over half of all
// descriptors that it may hold. These connections must make room for clients and their attempts.
func TestProbeConnectionsYieldDescriptors(t *testing.T) {
	const targets, sockets = 1024, 180
	s := newTestBedWith(t, targets, sockets, probingSettings)
	for i, target := range s.knownList.Hosts { // a few at once, as the module requests them
		if s.instance.front.Probe(target); i%8 == 7 {
			s.answerTargetRequests(6 * ms)
		}
	}
	s.answerTargetRequests(20 * ms)
	if open := s.proxy.Open() + processDescriptors; s.instance.Count.ProbesFailed > 0 || open < sockets/2 {
		t.Errorf("%d probes failed and %d descriptors are open", s.instance.Count.ProbesFailed, open)
	}
	served := s.connectClients(40, func(i int) string { return fmt.Sprintf("OPEN a%d k%d c=c,d=2000\r\n", i, i) })
	s.connectClients(150, nil)
	s.answerTargetRequests(500 * ms)
	if got := countAnswers(served); got["UP"] != len(served) {
		t.Errorf("%d requests: answers %v", len(served), got)
	}
	if open := s.proxy.Open() + processDescriptors; open >= sockets {
		t.Errorf("%d of %d descriptors are open", open, sockets)
	}
}
