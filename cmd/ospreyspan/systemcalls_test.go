package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ospreyspan/internal/poll/callfaults"
)

// faultPlanEnvironment returns the environment variables that make the system calls of a process
// fail with the given faults.
func faultPlanEnvironment(t *testing.T, faults ...callfaults.Fault) []string {
	t.Helper()
	text, err := json.Marshal(callfaults.Plan{Seed: 1, Faults: faults})
	if err != nil {
		t.Fatal(err)
	}
	return []string{faultPlanEnv + "=" + string(text)}
}

// TestFailingSystemCalls makes system calls fail temporarily, in the ways that Linux documents,
// while the servers are healthy. Every request must have one final answer in time, open connections
// must forward lines, and temporary failures must not cause refusals.
func TestFailingSystemCalls(t *testing.T) {
	const sometimes, often, always = 0.25, 0.5, 1.0
	fault := func(call callfaults.Call, errno unix.Errno, probability float64) callfaults.Fault {
		return callfaults.Fault{Call: call, Errno: errno, Probability: probability}
	}
	onSide := func(side callfaults.Side, f callfaults.Fault) callfaults.Fault {
		f.Side = side
		return f
	}
	briefly := func(f callfaults.Fault) callfaults.Fault {
		f.Duration = 150 * time.Millisecond
		return f
	}
	for _, tt := range []struct {
		name      string
		faults    []callfaults.Fault
		minServed int // of 40 requests
	}{
		{"accept ECONNABORTED", []callfaults.Fault{fault(callfaults.Accept, unix.ECONNABORTED, often)}, 40},
		{"accept EINTR", []callfaults.Fault{fault(callfaults.Accept, unix.EINTR, often)}, 40},
		{"accept EPROTO", []callfaults.Fault{fault(callfaults.Accept, unix.EPROTO, often)}, 40},
		{"accept ENETDOWN", []callfaults.Fault{fault(callfaults.Accept, unix.ENETDOWN, often)}, 40},
		{"accept EPERM", []callfaults.Fault{fault(callfaults.Accept, unix.EPERM, often)}, 40},
		{"accept ENOBUFS", []callfaults.Fault{fault(callfaults.Accept, unix.ENOBUFS, often)}, 40},
		{"accept ENOMEM for a moment", []callfaults.Fault{briefly(fault(callfaults.Accept, unix.ENOMEM, always))}, 40},
		{"accept ENFILE", []callfaults.Fault{fault(callfaults.Accept, unix.ENFILE, often)}, 40},
		{"accept ENFILE for a moment", []callfaults.Fault{briefly(fault(callfaults.Accept, unix.ENFILE, always))}, 40},
		{"accept ENFILE, then aborted", []callfaults.Fault{fault(callfaults.Accept, unix.ENFILE, sometimes), fault(callfaults.Accept, unix.ECONNABORTED, often)}, 40},
		{"accept EMFILE, then aborted", []callfaults.Fault{fault(callfaults.Accept, unix.EMFILE, sometimes), fault(callfaults.Accept, unix.ECONNABORTED, often)}, 20},
		{"spare descriptor ENFILE", []callfaults.Fault{fault(callfaults.Accept, unix.ENFILE, sometimes), fault(callfaults.OpenFile, unix.ENFILE, often)}, 40},
		{"socket ENFILE", []callfaults.Fault{fault(callfaults.Socket, unix.ENFILE, sometimes)}, 40},
		{"socket EMFILE for a moment", []callfaults.Fault{briefly(callfaults.Fault{Call: callfaults.Socket, Errno: unix.EMFILE, Probability: always, Skip: 4})}, 40},
		{"socket ENOBUFS", []callfaults.Fault{fault(callfaults.Socket, unix.ENOBUFS, often)}, 40},
		{"connect EADDRNOTAVAIL", []callfaults.Fault{fault(callfaults.Connect, unix.EADDRNOTAVAIL, often)}, 40},
		{"connect EAGAIN", []callfaults.Fault{fault(callfaults.Connect, unix.EAGAIN, often)}, 40},
		{"connect ENETUNREACH", []callfaults.Fault{fault(callfaults.Connect, unix.ENETUNREACH, often)}, 40},
		{"connect EHOSTUNREACH", []callfaults.Fault{fault(callfaults.Connect, unix.EHOSTUNREACH, often)}, 40},
		{"connect EACCES", []callfaults.Fault{fault(callfaults.Connect, unix.EACCES, often)}, 40},
		{"connect EPERM for a moment", []callfaults.Fault{briefly(callfaults.Fault{Call: callfaults.Connect, Errno: unix.EPERM, Probability: always, Skip: 4})}, 40},
		{"connect EINTR", []callfaults.Fault{fault(callfaults.Connect, unix.EINTR, 0)}, 40},
		{"epoll_ctl ADD ENOMEM", []callfaults.Fault{{Call: callfaults.WatchAdd, Errno: unix.ENOMEM, Probability: sometimes, Skip: 1}}, 40},
		{"epoll_ctl ADD ENOSPC for a moment", []callfaults.Fault{briefly(callfaults.Fault{Call: callfaults.WatchAdd, Errno: unix.ENOSPC, Probability: always, Skip: 6})}, 40},
		{"epoll_ctl MOD ENOMEM", []callfaults.Fault{fault(callfaults.WatchMod, unix.ENOMEM, sometimes)}, 40},
		{"epoll_ctl both", []callfaults.Fault{{Call: callfaults.WatchAdd, Errno: unix.ENOMEM, Probability: sometimes, Skip: 1}, fault(callfaults.WatchMod, unix.ENOMEM, often)}, 40},
		{"epoll_wait EINTR", []callfaults.Fault{fault(callfaults.Wait, unix.EINTR, often)}, 40},
		{"read EINTR", []callfaults.Fault{fault(callfaults.Read, unix.EINTR, often)}, 40},
		{"read ENOMEM", []callfaults.Fault{fault(callfaults.Read, unix.ENOMEM, sometimes)}, 40},
		{"read ENOBUFS", []callfaults.Fault{fault(callfaults.Read, unix.ENOBUFS, sometimes)}, 40},
		{"send EINTR", []callfaults.Fault{fault(callfaults.Send, unix.EINTR, often)}, 40},
		{"send ENOBUFS", []callfaults.Fault{fault(callfaults.Send, unix.ENOBUFS, sometimes)}, 40},
		{"send ENOMEM", []callfaults.Fault{fault(callfaults.Send, unix.ENOMEM, sometimes)}, 40},
		{"short reads and writes", []callfaults.Fault{fault(callfaults.ShortRead, 1, often), fault(callfaults.ShortSend, 1, often)}, 40},
		{"server's connections ETIMEDOUT", []callfaults.Fault{onSide(callfaults.Connected, callfaults.Fault{Call: callfaults.Read, Errno: unix.ETIMEDOUT, Probability: 0.1, Skip: 2})}, 30},
		{"server's connections EHOSTUNREACH", []callfaults.Fault{onSide(callfaults.Connected, callfaults.Fault{Call: callfaults.Send, Errno: unix.EHOSTUNREACH, Probability: 0.1, Skip: 2})}, 30},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, testbedConfig{servers: 3, env: faultPlanEnvironment(t, tt.faults...)})
			checkRequestsServed(t, b, tt.minServed)
		})
	}
}

// checkRequestsServed sends the requests of 40 clients within a second, exchanges lines on the
// connections that are served, and checks that at least minServed requests are served.
func checkRequestsServed(t *testing.T, b *testbed, minServed int) {
	t.Helper()
	const clients, lines = 40, 3
	const deadline = 1500 * time.Millisecond
	var (
		requests sync.WaitGroup
		lock     sync.Mutex
		answers  = make(map[string]int)
	)
	for i := range clients {
		requests.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			c, word, err := b.request(fmt.Sprintf("a%d", i), exampleClass(t), deadline)
			if c != nil {
				defer c.conn.Close()
			}
			if err != nil {
				t.Errorf("client %d: %v", i, err)
				return
			}
			lock.Lock()
			answers[word]++
			lock.Unlock()
			for n := 0; word == "UP" && n < lines; n++ {
				sent := fmt.Sprintf("line %d of %d", n, i)
				fmt.Fprint(c.conn, sent+"\r\n")
				if echo, err := c.readLine(time.Second); echo != sent && minServed == clients {
					t.Errorf("client %d: sent %q, received %q, %v", i, sent, echo, err)
					return
				}
			}
		})
	}
	requests.Wait()
	if answers["UP"] < minServed {
		t.Errorf("answers %v, want at least %d UP\n%s", answers, minServed, b.process.logText())
	}
	b.checkNoOverlappingAttempts()
}
