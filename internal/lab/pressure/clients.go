package pressure

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

// crowdSize is the number of clients that are connected at once in the pictures of crowds.
const crowdSize = 700

// clientPictures are played at the port for clients.
var clientPictures = []picture{
	{name: "slow-requests", about: "700 clients write a byte of a long request each 50 ms", play: playSlowRequests},
	{name: "half-requests", about: "700 clients stop half way through a request of 4 KB", play: playHalfRequests},
	{name: "many-fields", about: "700 clients send requests of 3.9 KB of short fields, and stay", play: playManyFields},
	{name: "half-lines", about: "400 established clients stop half way through a line of 4 KB", play: playHalfLines},
	{name: "unread-echoes", about: "480 established clients send at full speed and never read", play: playUnreadEchoes},
	{name: "pings", about: "8 clients send PING and junk at full speed on ever new connections", play: playPings},
	{name: "tiny-lines", about: "one established client sends tiny and empty lines at full speed", play: playTinyLines},
	{name: "new-names", about: "8 clients send requests under ever new ids, keys and groups at full speed", play: playNewNames},
	{name: "new-names-once", about: "the same in a class that must not run twice", play: playNewNamesOnce},
	{name: "unknown-servers", about: "700 clients ask for connections at servers that do not exist", play: playUnknownServers},
	{name: "leave-at-once", about: "clients write a request, with much behind it, and leave by FIN or reset", play: playLeaveAtOnce},
	{name: "leave-held-up", about: "clients leave while the process is stopped", play: playLeaveHeldUp},
	{name: "leave-while-held", about: "clients leave while all servers are full, and these have room again", play: playLeaveWhileHeld},
	{name: "half-closed", about: "700 clients end their sending behind a request, and stay", play: playHalfClosed},
	{name: "same-id-once", about: "clients of a class that must not run twice leave, and come again by the same id", play: playSameIDOnce},
	{name: "same-id-guarded", about: "the same with a class whose repeats are dropped for 0.5 s only", play: playSameIDGuarded},
}

// openLine returns a request with the given id and key. more is appended to the list of values.
func openLine(id, key, class string, wait time.Duration, more string) string {
	return fmt.Sprintf("OPEN %s %s c=%s,d=%d,g=%s%s\r\n", id, key, class, wait.Milliseconds(), key, more)
}

// manyFields returns short fields of about the given length in total.
func manyFields(length int) string {
	return strings.Repeat(",a=1", length/4)
}

// crowd keeps n clients connected until the picture is over. Each writes with write until that
// returns false, and then stays until the process ends its connection; then it comes again.
func (s *stage) crowd(n int, write func(c net.Conn, i, visit int) bool) {
	parallel(n, func(i int) {
		for visit := 0; !s.over(); visit++ {
			c, err := dial(s.addr)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			_ = c.SetDeadline(s.until)
			s.addLoad(1)
			if write(c, i, visit) {
				_, _ = bufio.NewReader(c).ReadBytes(0) // until the process ends the connection
			}
			c.Close()
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func playSlowRequests(s *stage) {
	s.crowd(crowdSize, func(c net.Conn, i, visit int) bool {
		for _, b := range []byte(openLine(fmt.Sprint("slow", i, visit), "k", classFree, time.Second, manyFields(3800))) {
			if _, err := c.Write([]byte{b}); err != nil || s.over() {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
		return true
	})
}

func playHalfRequests(s *stage) {
	s.crowd(crowdSize, func(c net.Conn, i, visit int) bool {
		whole := openLine(fmt.Sprint("half", i, visit), "k", classFree, time.Second, manyFields(3800))
		_, err := c.Write([]byte(whole[:len(whole)/2]))
		return err == nil
	})
}

func playManyFields(s *stage) {
	s.crowd(crowdSize, func(c net.Conn, i, visit int) bool {
		_, err := c.Write([]byte(openLine(fmt.Sprint("fields", i, "-", visit), "k", classFree, freeDeadline, manyFields(3900))))
		return err == nil
	})
}

// establish opens a connection through the process.
func (s *stage) establish(c net.Conn, id string) bool {
	if _, err := c.Write([]byte(openLine(id, "k", classFree, freeDeadline, ""))); err != nil {
		return false
	}
	var answer [64]byte
	n, err := c.Read(answer[:])
	return err == nil && bytes.HasPrefix(answer[:n], []byte("UP "))
}

func playHalfLines(s *stage) {
	s.crowd(400, func(c net.Conn, i, visit int) bool {
		if !s.establish(c, fmt.Sprint("line", i, "-", visit)) {
			return false
		}
		_, err := c.Write(bytes.Repeat([]byte("x"), 4000))
		return err == nil
	})
}

func playUnreadEchoes(s *stage) {
	lines := bytes.Repeat([]byte(strings.Repeat("y", 1000)+"\r\n"), 30)
	s.crowd(480, func(c net.Conn, i, visit int) bool {
		if !s.establish(c, fmt.Sprint("unread", i, "-", visit)) {
			return false
		}
		for !s.over() {
			if _, err := c.Write(lines); err != nil {
				return false
			}
			s.addLoad(30)
		}
		return false
	})
}

func playPings(s *stage) {
	texts := []string{"PING\r\n", strings.Repeat("PING\r\n", 50), "junk\r\n", "OPEN\r\n", "STATS\r\n", "OPEN a b c=none,d=1,g=1\r\n", strings.Repeat("x", 5000)}
	parallel(8, func(i int) {
		for visit := i; !s.over(); visit++ {
			if c, err := dial(s.addr); err == nil {
				_, _ = c.Write([]byte(texts[visit%len(texts)]))
				c.Close()
				s.addLoad(1)
			}
		}
	})
}

func playTinyLines(s *stage) {
	lines := bytes.Repeat([]byte("\r\nx\r\n"), 5000)
	s.crowd(1, func(c net.Conn, i, visit int) bool {
		if !s.establish(c, fmt.Sprint("tiny", visit)) {
			return false
		}
		go func() { // reads what comes back in three of four visits
			buffer := make([]byte, 64<<10)
			for visit%4 > 0 {
				if _, err := c.Read(buffer); err != nil {
					return
				}
			}
		}()
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && !s.over(); {
			if _, err := c.Write(lines); err != nil {
				return false
			}
			s.addLoad(10000)
		}
		return false
	})
}

func playNewNames(s *stage) { s.playNewNames(classFree) }

func playNewNamesOnce(s *stage) { s.playNewNames(classOnce) }

func (s *stage) playNewNames(class string) {
	parallel(8, func(i int) {
		for visit := 0; !s.over(); visit++ {
			name := fmt.Sprintf("new-%d-%d", i, visit)
			_, _ = exchange(s.addr, openLine(name, name, class, onceDeadline, ",again=1,h=3"), onceDeadline) // any answer will do
			s.addLoad(1)
		}
	})
}

func playUnknownServers(s *stage) {
	s.crowd(crowdSize, func(c net.Conn, i, visit int) bool {
		_, err := c.Write([]byte(openLine(fmt.Sprint("at", i, "-", visit), "k", classFree, 40*time.Second, fmt.Sprint(",at=none-", i))))
		return err == nil
	})
}

// leave ends a client's connection, by a reset or in order.
func leave(c net.Conn, reset bool) {
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0) // the close resets the connection
	}
	c.Close()
}

// goneGrace is how long after its client has left a request may still reach a server: it may have
// been under way.
const goneGrace = 200 * time.Millisecond

func playLeaveAtOnce(s *stage) {
	parallel(16, func(i int) {
		for visit := 0; !s.over(); visit++ {
			id := fmt.Sprintf("%sgone-%d-%d", recordedPrefix, i, visit)
			c, err := dial(s.addr)
			if err != nil {
				continue
			}
			text := openLine(id, "k", classOnce, onceDeadline, "")
			if visit%2 == 0 {
				text += strings.Repeat("more\r\n", 4000)
			}
			_, _ = c.Write([]byte(text)) // the process may have ended the connection
			leave(c, visit%4 < 2)
			s.checkGone(id, time.Now())
		}
	})
	time.Sleep(slowWork)
	s.countGone()
}

// departure is a client that has left.
type departure struct {
	id string
	at time.Time
}

func (s *stage) checkGone(id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Load++
	s.departures = append(s.departures, departure{id, at})
}

// countGone counts the requests that reached a server after their client had left.
func (s *stage) countGone() {
	for _, d := range s.departures {
		for _, at := range s.runs(d.id) {
			if at.Sub(d.at) > goneGrace {
				s.report.SentForGone++
			}
		}
	}
}

func playLeaveHeldUp(s *stage) {
	for round := 0; !s.over(); round++ {
		s.processes[0].pause(func() {
			for i := range 20 {
				id := fmt.Sprintf("%sheld-%d-%d", recordedPrefix, round, i)
				c, err := dial(s.addr)
				if err != nil {
					continue
				}
				_, _ = c.Write([]byte(openLine(id, "k", classOnce, onceDeadline, "")))
				leave(c, i%2 == 0)
				s.checkGone(id, time.Now())
			}
			time.Sleep(2 * goneGrace)
		})
		time.Sleep(goneGrace)
	}
	s.countGone()
}

func playLeaveWhileHeld(s *stage) {
	for round := 0; !s.over(); round++ {
		s.setFull(true)
		for i := range 50 {
			id := fmt.Sprintf("%swait-%d-%d", recordedPrefix, round, i)
			c, err := dial(s.addr)
			if err != nil {
				continue
			}
			_, _ = c.Write([]byte(openLine(id, "k", classOnce, onceDeadline, "")))
			time.Sleep(5 * time.Millisecond)
			leave(c, i%2 == 0)
			s.checkGone(id, time.Now())
		}
		s.setFull(false)
		time.Sleep(4 * goneGrace)
	}
	s.countGone()
}

func playHalfClosed(s *stage) {
	s.crowd(crowdSize, func(c net.Conn, i, visit int) bool {
		if _, err := c.Write([]byte(openLine(fmt.Sprint("closed", i, "-", visit), "k", classFree, time.Second, ""))); err != nil {
			return false
		}
		_ = c.(*net.TCPConn).CloseWrite() // the process may have ended the connection
		return true
	})
}

func playSameIDOnce(s *stage) { s.playSameID(classOnce, 0) }

func playSameIDGuarded(s *stage) { s.playSameID(classGuarded, guardedWindow) }

// playSameID has clients leave 0.1 s after their request, which takes a server slowWork, and come
// again by the same id. A run within window after the first one is dropped by the servers.
func (s *stage) playSameID(class string, window time.Duration) {
	const clients = 24
	parallel(clients, func(i int) {
		for visit := 0; !s.over(); visit++ {
			id := fmt.Sprintf("%ssame-%d-%d", recordedPrefix, i, visit)
			for try := 0; try < 4 && !s.over(); try++ {
				c, err := dial(s.addr)
				if err != nil {
					continue
				}
				s.addLoad(1)
				_, _ = c.Write([]byte(openLine(id, slowKey, class, onceDeadline, "")))
				if try < 3 {
					time.Sleep(100 * time.Millisecond)
					leave(c, (i+try)%2 == 0)
					time.Sleep(time.Duration(50+300*(visit%3)) * time.Millisecond)
				} else {
					_ = c.SetDeadline(time.Now().Add(onceDeadline + lateSlack))
					_, _ = bufio.NewReader(c).ReadString('\n') // any answer will do
					c.Close()
				}
			}
			if runs := s.runs(id); len(runs) > 1 && runs[len(runs)-1].Sub(runs[0]) > window {
				s.mu.Lock()
				s.report.RanAgain++
				s.mu.Unlock()
			}
		}
	})
}
