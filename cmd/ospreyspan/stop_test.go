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
	stopSeeds     = flag.Uint64("soak.seeds", 12, "number of planned stops, each with its own seed, that TestPlannedStops runs")
	firstStopSeed = flag.Uint64("soak.from", 1, "first seed of TestPlannedStops")
)

// plannedStop is one planned stop of the program, drawn from a seed, with clients that continue
// until the process is killed.
type plannedStop struct {
	*testbed
	rng       *rand.Rand
	deadlines map[string]time.Duration
	// stopSentAt is when the first signal that stops the process was sent. killAt is when SIGKILL
	// follows by the protocol: after the longest deadline, of which at most 3 s count, plus 0.7 s.
	stopSentAt, killAt time.Time
	lock               sync.Mutex
	outcomes           map[string]int
	refused            map[string]bool // IDs of requests that were answered BUSY
	singleShot         map[string]bool // classes whose requests must not run twice
	clients            sync.WaitGroup
}

const (
	maxCountedDeadline = 3 * time.Second
	killMargin         = 700 * time.Millisecond
	standingClients    = 20
	idleClients        = 25
	newClients         = 25
	silentClients      = 300
	// maxStall is how long the machine may keep a process from running, by the specification.
	maxStall = 150 * time.Millisecond
)

// TestPlannedStops runs planned stops of real processes, drawn from seeds: deadlines as short as
// 100 ms, SIGKILL at the earliest time that the protocol allows, series of signals, an unresponsive
// server, many clients that send no complete request, a stall of 0.15 s, and clients that use their
// open connections until the kill. Every request must have its final answer, every client with an
// open session must receive MOVE while its server runs, and the process must have ended by the time
// of the kill.
func TestPlannedStops(t *testing.T) {
	for seed := *firstStopSeed; seed < *firstStopSeed+*stopSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testPlannedStop(t, seed)
		})
	}
}

func testPlannedStop(t *testing.T, seed uint64) {
	p := &plannedStop{rng: rand.New(rand.NewPCG(seed, 30)), deadlines: make(map[string]time.Duration), outcomes: make(map[string]int), refused: make(map[string]bool), singleShot: make(map[string]bool)}
	deadlines := []time.Duration{100, 200, 300, 500, 800, 1800, 4800}
	longest := time.Duration(0)
	for _, class := range []string{"readings", "status"} {
		p.singleShot[class] = p.rng.IntN(2) == 0
		p.deadlines[class] = deadlines[p.rng.IntN(len(deadlines))] * time.Millisecond
		longest = max(longest, min(p.deadlines[class], maxCountedDeadline))
	}
	signals := [][]syscall.Signal{
		{syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGINT, syscall.SIGTERM},
		{syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	}[p.rng.IntN(6)]
	serverHangs, manySilentClients, stalls := p.rng.IntN(3) == 0, p.rng.IntN(3) == 0, p.rng.IntN(3) == 0
	p.testbed = newTestbed(t, testbedConfig{servers: 3, deadlines: p.deadlines, configure: func(settings map[string]any) {
		for _, class := range settings["Classes"].([]any) {
			if class := class.(map[string]any); p.singleShot[class["Name"].(string)] {
				class["Repeat"] = "single_shot"
			}
		}
	}})
	defer func() {
		t.Logf("deadlines %v, single-shot classes %v, signals %v, unresponsive server %v, silent clients %v, stall %v: outcomes %v", p.deadlines, p.singleShot, signals, serverHangs, manySilentClients, stalls, p.outcomes)
		if t.Failed() {
			t.Log(p.process.logText())
		}
	}()
	for i := range standingClients {
		p.clients.Go(func() { p.runStandingClient(fmt.Sprint("s", i)) })
	}
	time.Sleep(600 * time.Millisecond)
	var idle []*testClient
	for range idleClients {
		if c, err := p.dial(); err == nil {
			idle = append(idle, c)
		}
	}
	if manySilentClients {
		for range silentClients {
			if c, err := p.dial(); err == nil {
				defer c.conn.Close()
				if p.rng.IntN(2) == 0 {
					io.WriteString(c.conn, "OPEN half a req")
				}
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	if serverHangs {
		p.servers[0].stopResponding()
	}
	p.lock.Lock()
	for _, sig := range signals {
		if p.stopSentAt.IsZero() && (sig == syscall.SIGTERM || sig == syscall.SIGINT) {
			p.stopSentAt = time.Now()
			p.killAt = p.stopSentAt.Add(longest + killMargin)
		}
		_ = p.process.cmd.Process.Signal(sig) // fails if the process has ended
		time.Sleep(time.Duration(p.rng.IntN(30)) * time.Millisecond)
	}
	p.lock.Unlock()
	untilKill := time.Until(p.killAt)
	for i, c := range idle {
		delay, class := time.Duration(p.rng.Int64N(int64(untilKill))), p.randomClass()
		p.clients.Go(func() {
			time.Sleep(delay)
			p.requestOn(c, fmt.Sprint("r", i), class)
		})
	}
	for i := range newClients {
		delay, class := time.Duration(p.rng.Int64N(int64(400*time.Millisecond))), p.randomClass()
		p.clients.Go(func() {
			time.Sleep(delay)
			if c, err := p.dial(); err == nil {
				p.requestOn(c, fmt.Sprint("n", i), class)
			}
		})
	}
	if stalls {
		delay := time.Duration(p.rng.Int64N(int64(untilKill)))
		p.clients.Go(func() {
			time.Sleep(delay)
			_ = p.process.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(maxStall)
			_ = p.process.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	ended := make(chan error, 1)
	go func() { ended <- p.process.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the process ended with an error: %v", err)
		}
	case <-time.After(time.Until(p.killAt)):
		_ = p.process.cmd.Process.Signal(os.Kill)
		t.Errorf("the process was still running %v after the signal and had to be killed", time.Since(p.stopSentAt))
		<-ended
	}
	p.clients.Wait()
	p.checkNoOverlappingAttempts()
	p.checkSingleShotRequests()
}

// checkSingleShotRequests checks that requests of classes that must not run twice were sent at most
// once, and were not answered BUSY if they had been sent.
func (p *plannedStop) checkSingleShotRequests() {
	sent := make(map[string]int)
	for _, s := range p.servers {
		for _, a := range s.receivedAttempts() {
			if sent[a.id]++; p.singleShot[a.className] && (sent[a.id] > 1 || p.refused[a.id]) {
				p.t.Errorf("request %s may not run twice: sent %d times, refused %v", a.id, sent[a.id], p.refused[a.id])
			}
		}
	}
}

func (p *plannedStop) randomClass() string { return []string{"readings", "status"}[p.rng.IntN(2)] }

func (p *plannedStop) countOutcome(outcome string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.outcomes[outcome]++
}

// runStandingClient is a client that connects before the stop. If it is refused, it tries again, up
// to three times in all.
func (p *plannedStop) runStandingClient(id string) {
	for try := range 3 {
		c, err := p.dial()
		if err != nil {
			return
		}
		if up := p.requestOn(c, fmt.Sprint(id, "-", try), "readings"); up {
			return
		}
	}
}

// requestOn sends a request on an open connection and checks its answer. If the answer is UP, it
// exchanges lines until the client is told to move, and returns true.
func (p *plannedStop) requestOn(c *testClient, id, class string) (up bool) {
	defer c.conn.Close()
	if err := c.sendOpen(id, class, p.deadlines[class]); err != nil {
		p.countOutcome("unsent")
		return false // the connection had ended before the request was accepted
	}
	text, err := c.readLine(p.deadlines[class] + answerMargin)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET):
		if text != "" {
			p.t.Errorf("request %s: truncated answer %q", id, text)
		}
		p.t.Errorf("request %s, sent %v after the signal: its connection ended without an answer: %v", id, p.sinceStop(c.sentAt), err)
		return false
	case err != nil:
		p.t.Errorf("request %s, sent %v after the signal: no answer after %v", id, p.sinceStop(c.sentAt), time.Since(c.sentAt))
		return false
	case !strings.HasPrefix(text, "UP "):
		p.lock.Lock()
		p.refused[id] = strings.HasPrefix(text, "BUSY")
		p.lock.Unlock()
		p.countOutcome(strings.Fields(text + " -")[0])
		return false
	}
	p.countOutcome("UP")
	p.exchangeLines(c, strings.TrimPrefix(text, "UP ") == p.servers[0].name)
	return true
}

// sinceStop returns how long after the stop signal a time is; 0 if the signal has not been sent.
func (p *plannedStop) sinceStop(at time.Time) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.stopSentAt.IsZero() {
		return 0
	}
	return at.Sub(p.stopSentAt).Round(time.Millisecond)
}

// maxLineDelay is the longest time for which the proxy may delay a line, by the protocol.
const maxLineDelay = time.Second

// exchangeLines sends lines on an open session and checks their echoes until the client receives
// MOVE. If the server has become unresponsive, no line returns, but MOVE must still arrive.
func (p *plannedStop) exchangeLines(c *testClient, serverMayHang bool) {
	for n := 0; ; n++ {
		sent := fmt.Sprintf("line %d of %s", n, c.id)
		if _, err := fmt.Fprint(c.conn, sent+"\r\n"); err != nil {
			sent = "" // the connection is ending; lines already sent to the client still arrive
		}
		text, err := c.readLine(maxLineDelay)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && serverMayHang && p.servers[0].isUnresponsive() && time.Now().Before(p.killAt):
		case err != nil:
			p.t.Errorf("client %s, %v after the signal: connection ended without MOVE: %v", c.id, p.sinceStop(time.Now()), err)
			return
		case text == "MOVE":
			p.countOutcome("MOVE")
			return
		case text != sent && sent != "":
			p.t.Errorf("client %s: sent %q, received %q", c.id, sent, text)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
