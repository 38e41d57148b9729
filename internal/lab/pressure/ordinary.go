package pressure

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// ordinaryInterval is the time between two ordinary clients.
	ordinaryInterval = 25 * time.Millisecond
	// lateSlack is what the protocol adds to a deadline, and how late this process may notice.
	lateSlack = 50*time.Millisecond + 450*time.Millisecond
)

// ordinaryClients come one after another. Each asks for a connection, sends a line, reads it back
// and leaves.
type ordinaryClients struct {
	addr     string
	seed     uint64
	done     chan struct{}
	wait     sync.WaitGroup
	mu       sync.Mutex
	answered int
	refused  int
	late     int
	slowest  time.Duration
}

func startOrdinaryClients(addr string, seed uint64) *ordinaryClients {
	o := &ordinaryClients{addr: addr, seed: seed, done: make(chan struct{})}
	o.wait.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-o.done:
				return
			case <-time.After(ordinaryInterval):
				o.wait.Go(func() { o.visit(i) })
			}
		}
	})
	return o
}

// visit plays one client.
func (o *ordinaryClients) visit(i int) {
	begin := time.Now()
	c, err := dial(o.addr)
	if err != nil {
		o.record("", begin)
		return
	}
	defer c.Close()
	class, deadline := classFree, freeDeadline
	if i%2 == 1 {
		class, deadline = classShort, shortDeadline
	}
	_ = c.SetDeadline(begin.Add(deadline + lateSlack))
	in := bufio.NewReader(c)
	fmt.Fprintf(c, "OPEN ordinary-%d-%d k%d c=%s,d=%d,g=g%d\r\n", o.seed, i, i, class, deadline.Milliseconds(), i)
	answer, err := in.ReadString('\n')
	if err != nil {
		answer = ""
	}
	if strings.HasPrefix(answer, "UP ") {
		fmt.Fprint(c, "reading 7.1\r\n")
		if echo, err := in.ReadString('\n'); err != nil || echo != "reading 7.1\r\n" && echo != "MOVE\r\n" {
			answer = "" // the line was not returned
		}
	}
	o.record(answer, begin)
}

// record notes how a client was answered; an empty answer means that it was not.
func (o *ordinaryClients) record(answer string, begin time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slowest = max(o.slowest, time.Since(begin))
	switch {
	case answer == "":
		o.late++
	default:
		o.answered++
		if !strings.HasPrefix(answer, "UP ") {
			o.refused++
		}
	}
}

// stop lets the last clients end and adds up what they saw.
func (o *ordinaryClients) stop(r *Report) {
	close(o.done)
	o.wait.Wait()
	r.Answered, r.Refused, r.Late, r.Slowest = o.answered, o.refused, o.late, o.slowest
}

func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, freeDeadline) }

// exchange sends a line on a connection of its own and returns the answer without its line end.
func exchange(addr, text string, timeout time.Duration) (string, error) {
	c, err := dial(addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte(text)); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimRight(answer, "\r\n"), err
}
