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

// An idle process, to which no client comes for a minute, keeps its list as fresh as the rules want: as one of many it asks again
// within the time that the settings give, as one of few and where lists are pushed a call of it is always open.
func TestIdleProcessKeepsItsList(t *testing.T) {
	const askWithin = 10 * time.Second
	for name, change := range map[string][]string{
		"one of many": {`"Balancers":1`, `"Balancers":300,"Invariants":{"AskWithinUs":10000000}`},
		"one of few":  {`"Balancers":1`, `"Balancers":3,"Invariants":{"AskWithinUs":10000000}`},
		"pushed":      {`"Balancers":1,"Zone":"z","Discovery":"subscribe"`, `"Balancers":300,"Zone":"z","Discovery":"automatic"`},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSceneWith(t, 1, 0, strings.Replace(testSettings, change[0], change[1], 1))
			list := fmt.Sprintf(`{"seq":2,"whole":true,"hosts":[{"host":"s0","dial":"%s","health":"SERVING","share":1}]}`, s.known.Hosts[0].Addr)
			last, longest := s.w.Now(), time.Duration(0)
			for begin := s.w.Now(); s.w.Now().Sub(begin) < time.Minute; s.run(20 * ms) {
				if s.answerCalls(list) {
					last = s.w.Now()
				}
				longest = max(longest, s.w.Now().Sub(last))
			}
			most := 50 * ms
			if name == "one of many" {
				most = askWithin
			}
			if longest > most {
				t.Errorf("no call for %v", longest)
			}
		})
	}
}

// answerCalls has discovery answer the calls that are there with a list, watches after a second, and tells whether there was one.
func (s *scene) answerCalls(list string) (open bool) {
	for _, call := range s.discovery.taken {
		if call.over || !strings.HasSuffix(call.got, "\r\n\r\n") {
			continue
		}
		open = true
		if watch := strings.Contains(call.got, "index="); watch && s.w.Now().Sub(call.at) < time.Second {
			continue // it is answered when its wait is over
		}
		call.got = ""
		s.say(call, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
	}
	return open
}

// A process all of whose targets fail, and are well again, does not turn away its clients for good: within 4 s there is an attempt.
// Discovery answers all the while: where it is silent for over 6 s, no attempt may go to a target that has taken nothing lately.
func TestProcessTriesAgain(t *testing.T) {
	s := newScene(t, 2)
	s.crowd(0, nil)
	for _, r := range s.relays {
		r.host.Kill()
		r.taken = nil
	}
	next := 0
	ask := func(d time.Duration, served bool) {
		for begin := s.w.Now(); s.w.Now().Sub(begin) < d; {
			s.answerCalls(`{"seq":2,"whole":false,"hosts":[]}`)
			next++
			s.crowd(1, func(int) string { return fmt.Sprintf("OPEN a%d k%d c=c,d=500\r\n", next, next) })
			if served {
				s.serve(40 * ms)
			} else {
				s.run(40 * ms)
			}
		}
	}
	attempts := s.inst.Count.Hops
	for range 4 {
		ask(4*time.Second, false)
		if s.inst.Count.Hops == attempts {
			t.Error("no attempt for 4 s while all targets are down")
		}
		attempts = s.inst.Count.Hops
	}
	for _, r := range s.relays {
		s.start(r, true)
	}
	up := s.inst.Count.Up
	ask(4*time.Second, true)
	if s.inst.Count.Up == up {
		t.Errorf("nobody is served 4 s after the targets' return; %d attempts", s.inst.Count.Hops-attempts)
	}
}

// A configuration whose list names targets of which none is there any more does not keep the process from serving what discovery
// names.
func TestStartWithAnOldList(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: ms} })
	set, err := settings.Decode([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	known := &routes.List{Whole: true, Seq: 1}
	for i := range 90 {
		known.Hosts = append(known.Hosts, &routes.Target{ID: fmt.Sprint("old", i), Addr: netip.MustParseAddrPort("10.9.9.9:1"), Site: "z"})
	}
	s := &scene{t: t, w: w, known: known}
	s.clients, s.discovery = s.far("clients", 2, false), s.far("discovery", 3, true)
	s.relays = []*far{s.far("relay", 10, true)}
	s.proxy = w.AddHost("proxy", netip.MustParseAddr("10.0.0.1"), vnet.Limits{})
	err = s.proxy.Start(func(k poll.Kernel) (func() error, error) {
		s.inst, err = New(poll.NewOn(k, func() {}), Config{
			Name: "p", Listen: netip.AddrPortFrom(s.proxy.Addr(), port), Discovery: s.at(s.discovery), Seed: 1,
			KnownList: known, Settings: set, Log: log.New(io.Discard, "", 0),
		})
		return func() error { return s.inst.Turn() }, err
	})
	if err != nil {
		t.Fatal(err)
	}
	s.run(10 * ms)
	s.tell(fmt.Sprintf(`{"seq":900,"whole":true,"hosts":[{"host":"s0","dial":"%s","health":"SERVING","share":1}]}`, s.at(s.relays[0])))
	c := s.crowd(1, func(int) string { return "OPEN a k c=c,d=1000\r\n" })
	s.serve(300 * ms)
	if c[0].got != "UP r\r\n" {
		t.Errorf("got %q", c[0].got)
	}
}
