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

// maxAttemptDelay is how long after its client has left an attempt may begin, by the specification.
const maxAttemptDelay = 100 * time.Millisecond

// TestStalls suspends the process for 0.15 s repeatedly while a server does not respond and clients
// wait for 0.1 to 0.5 s or leave earlier. Every request must have its final answer at most 0.5 s
// after its deadline, may have only one attempt open at a time, and no attempt may begin more than
// 0.1 s after its client has left.
func TestStalls(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testStalls(t, rand.New(rand.NewPCG(seed, 150)))
		})
	}
}

func testStalls(t *testing.T, rng *rand.Rand) {
	b := newTestbed(t, testbedConfig{servers: 3})
	b.servers[0].stopResponding()
	done := make(chan struct{})
	var stallLoop sync.WaitGroup
	stallLoop.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
			_ = b.process.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(maxStall)
			_ = b.process.cmd.Process.Signal(syscall.SIGCONT)
		}
	})
	var (
		requests sync.WaitGroup
		lock     sync.Mutex
		leftAt   = make(map[string]time.Time)
	)
	const clients = 150
	for i := range clients {
		deadline := time.Duration(100+rng.IntN(400)) * time.Millisecond
		stays := rng.IntN(2) == 0
		leaveDelay := time.Duration(rng.Int64N(int64(deadline)))
		requests.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			id := fmt.Sprint("a", i)
			c, err := b.dial()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.conn.Close()
			if err := c.sendOpen(id, exampleClass(t), deadline); err != nil {
				t.Error(err)
				return
			}
			if !stays {
				time.Sleep(leaveDelay)
				lock.Lock()
				leftAt[id] = time.Now()
				lock.Unlock()
				return
			}
			if _, err := c.readLine(deadline + answerMargin); err != nil {
				t.Errorf("request %s with deadline %v: no answer after %v: %v, connection ended: %v", id, deadline, time.Since(c.sentAt), err, errors.Is(err, io.EOF))
			}
		})
	}
	requests.Wait()
	close(done)
	stallLoop.Wait()
	time.Sleep(300 * time.Millisecond)
	for _, s := range b.servers {
		for _, a := range s.receivedAttempts() {
			if at, ok := leftAt[a.id]; ok && a.receivedAt.Sub(at) > maxAttemptDelay {
				t.Errorf("request %s: an attempt began %v after its client had left", a.id, a.receivedAt.Sub(at))
			}
		}
	}
	b.checkNoOverlappingAttempts()
}
