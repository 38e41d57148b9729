// Command case1 shows that the proxies together push over a server that has just started.
package main

import (
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"ospreyspan/review/stand"
)

const (
	proxyCount = 28 // throng: twenty to thirty proxies
	burst      = 50 // controllers of one plant; the site's groups have 32 to 59 members
	burstFor   = 250 * time.Millisecond

	// The server that starts: r3-fast, the strongest kind of the site, at the middle of its ranges.
	// 3 cores at a speed of 2 with 14 connections each are full with 84. The settings say the rest.
	fullWith     = 3 * 2 * 14.0
	coldFrom     = 0.13
	warmWithin   = 24 * time.Second
	fallMultiple = 3.0
	fallWithin   = 1500 * time.Millisecond

	listedAfter  = 1200 * time.Millisecond // discovery lists a new start after 1.1 to 2.4 s
	reportPeriod = 300 * time.Millisecond  // load reports are refreshed every 43 to 370 ms
	reportDelay  = 100 * time.Millisecond  // and 19 to 140 ms late
	usualLoad    = 0.4                     // of the warm servers
)

func main() { stand.Main(play) }

// warmth returns the part of its capacity that a server has by now if it warms up evenly.
func warmth(age time.Duration) float64 {
	return min(coldFrom+(1-coldFrom)*age.Seconds()/warmWithin.Seconds(), 1)
}

// allowed returns how many requests a cold server may get within fallWithin: N + 3 x root of N + 3,
// N being what the settings allow it. A server takes new connections no faster than fills it over
// its warm-up.
func allowed(age time.Duration) float64 {
	n := fallMultiple * fullWith / warmWithin.Seconds() * warmth(age) * fallWithin.Seconds()
	return n + 3*math.Sqrt(n) + 3
}

// load is the load report of a server, refreshed now and then and a little late.
type load struct {
	mu     sync.Mutex
	report string
	born   time.Time // zero: long ago
}

func (l *load) set(x0 float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report = fmt.Sprintf("cpu=%.2f,x0=%.2f,rps=1", min(x0, 1), x0)
}

func (l *load) get() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report
}

func (l *load) start(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.born = at
}

// refresh measures the load for as long as the case runs: the server's own connections, and 3 mean
// loads for a plant, over its present capacity. A server that did not restart has the usual load
// beside that.
func (l *load) refresh(s *stand.Server) {
	for {
		n := float64(len(s.Open()))
		if n > 0 {
			n += 3
		}
		l.mu.Lock()
		born := l.born
		l.mu.Unlock()
		x0 := usualLoad + n/fullWith
		if !born.IsZero() {
			x0 = n / (fullWith * warmth(time.Since(born)))
		}
		time.Sleep(reportDelay)
		l.set(x0)
		time.Sleep(reportPeriod - reportDelay)
	}
}

func play(r *stand.Record, dir string, trouble bool) (int, error) {
	d, err := stand.NewDiscovery(r)
	if err != nil {
		return 0, err
	}
	var servers []*stand.Server
	var loads []*load
	for i := range 9 {
		s, err := stand.NewServer(r, fmt.Sprintf("s-%d", i))
		if err != nil {
			return 0, err
		}
		l := &load{}
		l.set(usualLoad)
		s.OnStats = l.get
		go l.refresh(s)
		servers, loads = append(servers, s), append(loads, l)
		d.Set(s.Host("SERVING"))
	}
	settings, err := stand.Settings()
	if err != nil {
		return 0, err
	}
	stand.Set(settings, proxyCount, "Balancers")
	var proxies []*stand.Proxy
	for i := range proxyCount {
		p, err := stand.StartProxy(r, dir, fmt.Sprintf("n%d", i), d.Addr(), d.List(), settings)
		if err != nil {
			return 0, err
		}
		defer p.Kill()
		proxies = append(proxies, p)
	}
	open := func(proxy int, id, plant string) (*stand.Client, error) {
		return stand.OpenClient(r, proxies[proxy%proxyCount].Addr, id, "readings", 4800*time.Millisecond, ",g="+plant)
	}
	// Two controllers of each of a number of plants connect. One plant whose connections s-8 takes
	// is the one that starts later.
	target, plant := servers[8], ""
	for i := range 60 {
		before, name := len(target.Opens()), fmt.Sprintf("plant%d", i)
		for k := range 2 {
			c, err := open(i+7*k, fmt.Sprintf("a%02d%d", i, k), name)
			if err != nil {
				return 0, err
			}
			c.WaitAnswer(5 * time.Second)
		}
		if len(target.Opens()) == before+2 && plant == "" {
			plant = name
		}
	}
	if plant == "" {
		return 0, fmt.Errorf("no plant has its connections at s-8")
	}
	time.Sleep(2 * time.Second)
	var born time.Time
	if trouble {
		// The process of s-8 ends; a new one starts cold.
		target.Drop()
		d.Set(target.Host("DELETED"))
		time.Sleep(3 * time.Second)
		born = time.Now()
		loads[8].start(born)
		loads[8].set(0)
		r.Printf("server s-8: starts")
		time.Sleep(listedAfter)
		h := target.Host("SERVING")
		h.BornMS = born.UnixMilli()
		seq := d.Set(h)
		time.Sleep(200 * time.Millisecond)
		told := 0
		for _, c := range d.Calls() {
			if c.Index == strconv.FormatInt(seq, 10) {
				told++
			}
		}
		if told < proxyCount {
			return 0, fmt.Errorf("only %d of %d proxies have the list with the start of s-8", told, proxyCount)
		}
		r.Printf("all %d proxies have the list with the start of s-8", proxyCount)
	}
	// The plant starts up: its controllers connect, spread over the proxies.
	begin := time.Now()
	var all sync.WaitGroup
	for i := range burst {
		all.Go(func() {
			if c, err := open(i, fmt.Sprintf("b%02d", i), plant); err == nil {
				c.WaitAnswer(6 * time.Second)
			}
		})
		time.Sleep(burstFor / burst)
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	for _, p := range proxies {
		if !p.Running() {
			return 0, fmt.Errorf("proxy %s ended", p.Name)
		}
	}
	if !trouble {
		r.Verdict("no server was cold")
		return stand.Held, nil
	}
	// The server falls as soon as one window has more than it bears.
	var recent []time.Time
	most, bound, fell := 0, 0.0, false
	for _, o := range target.Opens() {
		if o.At.Before(born) {
			continue
		}
		recent = append(recent, o.At)
		for o.At.Sub(recent[0]) > fallWithin {
			recent = recent[1:]
		}
		bears := allowed(o.At.Sub(born))
		if len(recent) > most {
			most, bound = len(recent), bears
		}
		if n := len(recent); !fell && float64(n) > bears {
			fell = true
			r.Verdict("server s-8 falls %.2f s after its start: %d new connections within %v, it bears %.1f", o.At.Sub(born).Seconds(), n, fallWithin, bears)
		}
	}
	r.Verdict("%s started %.1f s after s-8: at most %d of its %d connections came to s-8 within %v, the bound then was %.1f; all came from proxies that had been told", plant, begin.Sub(born).Seconds(), most, burst, fallWithin, bound)
	if fell {
		return stand.Broken, nil
	}
	return stand.Held, nil
}
