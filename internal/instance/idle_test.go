package instance

import (
	"fmt"
	"io"
	"log"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/settings"
	"ospreyspan/internal/vnet"
)

// A process that no client contacts for a minute keeps its list as fresh as the rules require. In a
// large fleet it asks again within the time that the settings give; in a small fleet and where
// lists are pushed, it always has a pending request.
func TestIdleProcessRefreshesList(t *testing.T) {
	const askWithin = 10 * time.Second
	for name, change := range map[string][]string{
		"large fleet": {`"Balancers":1`, `"Balancers":300,"Invariants":{"AskWithinUs":10000000}`},
		"small fleet": {`"Balancers":1`, `"Balancers":3,"Invariants":{"AskWithinUs":10000000}`},
		"pushed":      {`"Balancers":1,"Zone":"z","Discovery":"subscribe"`, `"Balancers":300,"Zone":"z","Discovery":"automatic"`},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestBedWith(t, 1, 0, strings.Replace(testSettings, change[0], change[1], 1))
			list := fmt.Sprintf(`{"seq":2,"whole":true,"hosts":[{"host":"s0","dial":"%s","health":"SERVING","share":1}]}`, s.knownList.Hosts[0].Addr)
			last, longest := s.world.Now(), time.Duration(0)
			for begin := s.world.Now(); s.world.Now().Sub(begin) < time.Minute; s.run(20 * ms) {
				if s.answerDiscoveryRequests(list) {
					last = s.world.Now()
				}
				longest = max(longest, s.world.Now().Sub(last))
			}
			most := 50 * ms
			if name == "large fleet" {
				most = askWithin
			}
			if longest > most {
				t.Errorf("no pending request for %v", longest)
			}
		})
	}
}

// answerDiscoveryRequests answers the pending requests to discovery with a list, watches only after
// 1 s, and reports whether there was a pending request.
func (s *testBed) answerDiscoveryRequests(list string) (open bool) {
	for _, call := range s.discovery.accepted {
		if call.closed || !strings.HasSuffix(call.received, "\r\n\r\n") {
			continue
		}
		open = true
		if watch := strings.Contains(call.received, "index="); watch && s.world.Now().Sub(call.lastReadAt) < time.Second {
			continue // answered at the end of its wait
		}
		call.received = ""
		s.send(call, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
	}
	return open
}

// A process whose targets all fail and then recover must not refuse clients for good: it makes an
// attempt within 4 s. Discovery answers throughout: once it has been silent for over 6 s, no
// attempt may go to a target that has accepted nothing lately.
func TestAttemptsResumeWhenAllTargetsFailed(t *testing.T) {
	s := newTestBed(t, 2)
	s.connectClients(0, nil)
	for _, r := range s.targets {
		r.host.Kill()
		r.accepted = nil
	}
	next := 0
	ask := func(d time.Duration, served bool) {
		for begin := s.world.Now(); s.world.Now().Sub(begin) < d; {
			s.answerDiscoveryRequests(`{"seq":2,"whole":false,"hosts":[]}`)
			next++
			s.connectClients(1, func(int) string { return fmt.Sprintf("OPEN a%d k%d c=c,d=500\r\n", next, next) })
			if served {
				s.answerTargetRequests(40 * ms)
			} else {
				s.run(40 * ms)
			}
		}
	}
	attempts := s.instance.Count.Hops
	for range 4 {
		ask(4*time.Second, false)
		if s.instance.Count.Hops == attempts {
			t.Error("no attempt within 4 s while all targets are down")
		}
		attempts = s.instance.Count.Hops
	}
	for _, r := range s.targets {
		s.startHost(r, true)
	}
	up := s.instance.Count.Up
	ask(4*time.Second, true)
	if s.instance.Count.Up == up {
		t.Errorf("no client was served within 4 s after the targets returned; %d attempts", s.instance.Count.Hops-attempts)
	}
}

// A configured list all of whose targets are gone does not prevent the process from using the
// targets that discovery lists.
func TestStartWithStaleList(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: ms} })
	set, err := settings.Decode([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	known := &routes.List{Whole: true, Seq: 1}
	for i := range 90 {
		known.Hosts = append(known.Hosts, &routes.Target{ID: fmt.Sprint("old", i), Addr: netip.MustParseAddrPort("10.9.9.9:1"), Site: "z"})
	}
	s := &testBed{t: t, world: w, knownList: known}
	s.clients, s.discovery = s.addHost("clients", 2, false), s.addHost("discovery", 3, true)
	s.targets = []*testHost{s.addHost("relay", 10, true)}
	s.proxy = w.AddHost("proxy", netip.MustParseAddr("10.0.0.1"), vnet.Limits{})
	err = s.proxy.Start(func(k poll.Kernel) (func() error, error) {
		s.instance, err = New(poll.NewOn(k, func() {}), Config{
			Name: "p", Listen: netip.AddrPortFrom(s.proxy.Addr(), port), Discovery: s.addrOf(s.discovery), Seed: 1,
			KnownList: known, Settings: set, Log: log.New(io.Discard, "", 0),
		})
		return func() error { return s.instance.Turn() }, err
	})
	if err != nil {
		t.Fatal(err)
	}
	s.run(10 * ms)
	s.answerDiscoveryRequest(fmt.Sprintf(`{"seq":900,"whole":true,"hosts":[{"host":"s0","dial":"%s","health":"SERVING","share":1}]}`, s.addrOf(s.targets[0])))
	c := s.connectClients(1, func(int) string { return "OPEN a k c=c,d=1000\r\n" })
	s.answerTargetRequests(300 * ms)
	if c[0].received != "UP r\r\n" {
		t.Errorf("the client received %q", c[0].received)
	}
}
