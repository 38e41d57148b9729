package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	soakSeeds = flag.Uint64("soak.seeds", 12, "planned stops that TestPlannedStops plays")
	soakFrom  = flag.Uint64("soak.from", 1, "its first seed")
)

// stopPlay is one planned stop of the program, drawn from a seed, with clients that go on until the process is killed.
type stopPlay struct {
	*bed
	rng   *rand.Rand
	waits map[string]time.Duration
	// term is when the first signal that stops the process was sent, kill when SIGKILL follows by the protocol: the longest
	// deadline, counted as 3 s at the most, and 0.7 s later.
	term, kill time.Time
	lock       sync.Mutex
	count      map[string]int
	refused    map[string]bool // requests that were answered BUSY
	once       map[string]bool // classes that must not run twice
	clients    sync.WaitGroup
}

const (
	longestCounted = 3 * time.Second
	killAfter      = 700 * time.Millisecond
	standers       = 20
	resters        = 25
	newcomers      = 25
	crowdSize      = 300
	// stallMost is how long the machine may keep a process from running, by the standing pages.
	stallMost = 150 * time.Millisecond
)

// Planned stops on real processes, from seeds: deadlines down to 100 ms, the kill at the earliest moment that the protocol allows,
// signals in series, a server that hangs, a crowd that says nothing, a stall of 0.15 s, and clients that use their open connections until the kill.
// Every request has its final answer, every client that stands hears MOVE while its server lives, and nothing is held at the kill.
func TestPlannedStops(t *testing.T) {
	for seed := *soakFrom; seed < *soakFrom+*soakSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playStop(t, seed)
		})
	}
}

func playStop(t *testing.T, seed uint64) {
	p := &stopPlay{rng: rand.New(rand.NewPCG(seed, 30)), waits: make(map[string]time.Duration), count: make(map[string]int), refused: make(map[string]bool), once: make(map[string]bool)}
	deadlines := []time.Duration{100, 200, 300, 500, 800, 1800, 4800}
	longest := time.Duration(0)
	for _, class := range []string{"readings", "status"} {
		p.once[class] = p.rng.IntN(2) == 0
		p.waits[class] = deadlines[p.rng.IntN(len(deadlines))] * time.Millisecond
		longest = max(longest, min(p.waits[class], longestCounted))
	}
	signals := [][]syscall.Signal{
		{syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGINT, syscall.SIGTERM},
		{syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	}[p.rng.IntN(6)]
	hangs, crowded, stalls := p.rng.IntN(3) == 0, p.rng.IntN(3) == 0, p.rng.IntN(3) == 0
	p.bed = newBed(t, bedConfig{servers: 3, waits: p.waits, configure: func(set map[string]any) {
		for _, class := range set["Classes"].([]any) {
			if class := class.(map[string]any); p.once[class["Name"].(string)] {
				class["Repeat"] = "single_shot"
			}
		}
	}})
	defer func() {
		t.Logf("deadlines %v, once %v, signals %v, a server hangs %v, crowd %v, stall %v: %v", p.waits, p.once, signals, hangs, crowded, stalls, p.count)
		if t.Failed() {
			t.Log(p.process.logged())
		}
	}()
	for i := range standers {
		p.clients.Go(func() { p.stand(fmt.Sprint("s", i)) })
	}
	time.Sleep(600 * time.Millisecond)
	var rests []*testClient
	for range resters {
		if c, err := p.dial(); err == nil {
			rests = append(rests, c)
		}
	}
	if crowded {
		for range crowdSize {
			if c, err := p.dial(); err == nil {
				defer c.conn.Close()
				if p.rng.IntN(2) == 0 {
					io.WriteString(c.conn, "OPEN half a req")
				}
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	if hangs {
		p.servers[0].hang()
	}
	p.lock.Lock()
	for _, sig := range signals {
		if p.term.IsZero() && (sig == syscall.SIGTERM || sig == syscall.SIGINT) {
			p.term = time.Now()
			p.kill = p.term.Add(longest + killAfter)
		}
		_ = p.process.cmd.Process.Signal(sig) // it may have ended
		time.Sleep(time.Duration(p.rng.IntN(30)) * time.Millisecond)
	}
	p.lock.Unlock()
	span := time.Until(p.kill)
	for i, c := range rests {
		at, class := time.Duration(p.rng.Int64N(int64(span))), p.anyClass()
		p.clients.Go(func() {
			time.Sleep(at)
			p.use(c, fmt.Sprint("r", i), class)
		})
	}
	for i := range newcomers {
		at, class := time.Duration(p.rng.Int64N(int64(400*time.Millisecond))), p.anyClass()
		p.clients.Go(func() {
			time.Sleep(at)
			if c, err := p.dial(); err == nil {
				p.use(c, fmt.Sprint("n", i), class)
			}
		})
	}
	if stalls {
		at := time.Duration(p.rng.Int64N(int64(span)))
		p.clients.Go(func() {
			time.Sleep(at)
			_ = p.process.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(stallMost)
			_ = p.process.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	ended := make(chan error, 1)
	go func() { ended <- p.process.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(time.Until(p.kill)):
		_ = p.process.cmd.Process.Signal(os.Kill)
		t.Errorf("it had to be killed %v after the signal", time.Since(p.term))
		<-ended
	}
	p.clients.Wait()
	p.oneAttemptAtATime()
	p.nothingTwice()
}

// nothingTwice checks that a request of a class that must not run twice was sent once, and was not refused once it had been sent.
func (p *stopPlay) nothingTwice() {
	sent := make(map[string]int)
	for _, s := range p.servers {
		for _, a := range s.received() {
			if sent[a.id]++; p.once[a.class] && (sent[a.id] > 1 || p.refused[a.id]) {
				p.t.Errorf("request %s may not run twice: sent %d times, refused %v", a.id, sent[a.id], p.refused[a.id])
			}
		}
	}
}

func (p *stopPlay) anyClass() string { return []string{"readings", "status"}[p.rng.IntN(2)] }

func (p *stopPlay) note(what string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.count[what]++
}

// stand is a client that was there before the stop; one that is refused comes again, as clients do.
func (p *stopPlay) stand(id string) {
	for try := range 3 {
		c, err := p.dial()
		if err != nil {
			return
		}
		if up := p.use(c, fmt.Sprint(id, "-", try), "readings"); up {
			return
		}
	}
}

// use sends a request on an open connection, judges its answer and, once it is up, sends lines until the connection ends.
func (p *stopPlay) use(c *testClient, id, class string) (up bool) {
	defer c.conn.Close()
	if err := c.ask(id, class, p.waits[class]); err != nil {
		p.note("unsent")
		return false // the connection had ended: it was never taken
	}
	text, err := c.next(p.waits[class] + answerLatest)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET):
		if text != "" {
			p.t.Errorf("request %s: half an answer %q", id, text)
		}
		p.t.Errorf("request %s, sent %v after the signal: its connection ended without an answer: %v", id, p.after(c.sent), err)
		return false
	case err != nil:
		p.t.Errorf("request %s, sent %v after the signal: no answer after %v", id, p.after(c.sent), time.Since(c.sent))
		return false
	case !strings.HasPrefix(text, "UP "):
		p.lock.Lock()
		p.refused[id] = strings.HasPrefix(text, "BUSY")
		p.lock.Unlock()
		p.note(strings.Fields(text + " -")[0])
		return false
	}
	p.note("UP")
	p.talk(c, strings.TrimPrefix(text, "UP ") == p.servers[0].name)
	return true
}

func (p *stopPlay) after(at time.Time) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.term.IsZero() {
		return 0
	}
	return at.Sub(p.term).Round(time.Millisecond)
}

// lineLatest is how long a line may be held back, by the protocol.
const lineLatest = time.Second

// talk sends lines on a connection that stands, until it is told to move. Its server may have been hung since: then no line comes
// back, and MOVE does all the same.
func (p *stopPlay) talk(c *testClient, mayHang bool) {
	for n := 0; ; n++ {
		said := fmt.Sprintf("line %d of %s", n, c.id)
		if _, err := fmt.Fprint(c.conn, said+"\r\n"); err != nil {
			said = "" // it ends; what it was told comes first
		}
		text, err := c.next(lineLatest)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && mayHang && p.servers[0].hangs() && time.Now().Before(p.kill):
		case err != nil:
			p.t.Errorf("client %s, %v after the signal: cut off without MOVE: %v", c.id, p.after(time.Now()), err)
			return
		case text == "MOVE":
			p.note("MOVE")
			return
		case text != said && said != "":
			p.t.Errorf("client %s: said %q, heard %q", c.id, said, text)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
