package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// leftLatest is how long after its client left an attempt may begin, by the standing pages.
const leftLatest = 100 * time.Millisecond

// The machine keeps the process from running for 0.15 s again and again, a server hangs, and clients wait for 0.1 to 0.5 s or leave
// before that. Every request has its final answer at the latest 0.5 s after its time, one attempt is out at a time, and none begins
// more than 0.1 s after its client left.
func TestStalls(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playStalls(t, rand.New(rand.NewPCG(seed, 150)))
		})
	}
}

func playStalls(t *testing.T, rng *rand.Rand) {
	b := newBed(t, bedConfig{servers: 3})
	b.servers[0].hang()
	over := make(chan struct{})
	var stalls sync.WaitGroup
	stalls.Go(func() {
		for {
			select {
			case <-over:
				return
			case <-time.After(200 * time.Millisecond):
			}
			_ = b.process.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(stallMost)
			_ = b.process.cmd.Process.Signal(syscall.SIGCONT)
		}
	})
	var (
		all  sync.WaitGroup
		lock sync.Mutex
		left = make(map[string]time.Time)
	)
	const clients = 150
	for i := range clients {
		wait := time.Duration(100+rng.IntN(400)) * time.Millisecond
		stays := rng.IntN(2) == 0
		leaves := time.Duration(rng.Int64N(int64(wait)))
		all.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			id := fmt.Sprint("a", i)
			c, err := b.dial()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.conn.Close()
			if err := c.ask(id, exampleClass(t), wait); err != nil {
				t.Error(err)
				return
			}
			if !stays {
				time.Sleep(leaves)
				lock.Lock()
				left[id] = time.Now()
				lock.Unlock()
				return
			}
			if _, err := c.next(wait + answerLatest); err != nil {
				t.Errorf("request %s of %v: no answer after %v: %v, its end %v", id, wait, time.Since(c.sent), err, errors.Is(err, io.EOF))
			}
		})
	}
	all.Wait()
	close(over)
	stalls.Wait()
	time.Sleep(300 * time.Millisecond)
	for _, s := range b.servers {
		for _, a := range s.received() {
			if at, ok := left[a.id]; ok && a.at.Sub(at) > leftLatest {
				t.Errorf("request %s: an attempt began %v after its client left", a.id, a.at.Sub(at))
			}
		}
	}
	b.oneAttemptAtATime()
}
