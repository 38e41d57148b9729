package proxy

import (
	"fmt"
	"strings"
	"testing"
)

// connectionModel is the expected state of one client's connection.
type connectionModel struct {
	id           string
	client       *testConn
	target       *testConn // nil until the connection is established
	state        modelState
	beforeAnswer string // what the client received before the answer to its request
	toClient     string // what the client must have received
	toTarget     string // what the target must have received
	partialLine  string // unfinished line that the target has written
	moved        bool
}

type modelState uint8

const (
	mOpening modelState = iota
	mAsked
	mEstablished
	mEnded // ended by one side or by the proxy
)

// FuzzConnections takes random steps with several clients and two targets and checks each
// connection against the model: one final answer, lines unchanged and in order, MOVE between whole
// lines, one hop at a time, and everything released in the end.
func FuzzConnections(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 3, 0, 5, 0, 6, 0, 7, 0, 5, 0, 10, 0})
	f.Add([]byte{0, 1, 1, 1, 0, 2, 1, 2, 3, 2, 3, 1, 6, 1, 5, 2, 8, 1, 9, 2})
	f.Add([]byte{0, 0, 2, 0, 1, 0, 4, 0, 3, 0, 7, 0, 10, 0, 0, 0, 1, 0, 11, 0})
	f.Add([]byte{0, 0, 1, 0, 15, 0, 0, 1, 14, 1, 0, 2, 1, 2, 3, 2, 16, 2, 17, 2, 5, 2, 6, 2, 12, 2})
	f.Add([]byte{0, 0, 1, 0, 3, 0, 17, 0, 0, 1, 1, 1, 17, 1, 3, 1, 10, 0, 8, 1, 0, 2, 1, 2, 9, 2})
	f.Add([]byte{0, 0, 1, 0, 9, 0, 0, 1, 1, 1, 12, 1, 0, 2, 1, 2, 3, 2, 12, 2, 0, 3, 13, 3})
	f.Fuzz(func(t *testing.T, steps []byte) {
		b := newTestBed(t, 2, false)
		silent := newFakeDiscovery(b) // reloads move the watch to this address and away again
		b.watchAt(silent.listener.Addr())
		var all []*testConn
		models := map[byte]*connectionModel{}
		for n := 0; n+1 < len(steps) && n < 120; n += 2 {
			who := steps[n+1] % 4
			m := models[who]
			if m == nil || m.state == mEnded {
				if steps[n]%18 != 0 {
					continue
				}
				m = &connectionModel{id: fmt.Sprintf("%d-%d", who, n), client: b.dialClient()}
				models[who], all = m, append(all, m.client)
				continue
			}
			m.step(b, steps[n]%18, n)
			b.settle()
			m.check(b)
			b.waitFor("one hop at a time", func() bool {
				n := 0
				for _, h := range b.targetConns {
					if strings.HasPrefix(string(h.received), "OPEN "+m.id+" ") && !h.eof && !h.reset {
						n++
					}
				}
				return n <= 1
			})
			b.checkCounts()
		}
		b.engine.watch.Stop()
		silent.close()
		b.checkReleased(all...)
		if b.engine.counters.Overdue > 0 {
			t.Fatal("the engine answered in the module's place")
		}
	})
}

// step performs one operation on the connection and updates the model.
func (m *connectionModel) step(b *testBed, what byte, n int) {
	h := b.requestConn(m.id)
	switch {
	case what == 1 && m.state == mOpening:
		m.client.write(b.t, "OPEN "+m.id+" k c=c,d=2000,g=1\r\n")
		m.state = mAsked
	case what == 2 && m.state == mOpening:
		m.client.write(b.t, "PING\r\n")
		if strings.Count(m.beforeAnswer, "PONG") == maxOpeningLines {
			m.beforeAnswer, m.state = m.beforeAnswer+"ERR\r\n", mEnded
			return
		}
		m.beforeAnswer += "PONG\r\n"
	case what == 3 && m.state == mAsked && h != nil && !h.eof:
		m.target, m.state = h, mEstablished
		m.toTarget, m.toClient = string(h.received), m.beforeAnswer+"UP "+m.id+"\r\n"
		h.write(b.t, "UP "+m.id+"\r\n")
	case what == 4 && m.state == mAsked && h != nil && !h.eof:
		h.write(b.t, "BUSY cpu=0.9\r\n")
	case what == 5 && m.state == mEstablished:
		text := fmt.Sprintf("%sreading %d\r\nLOAD %d\r\n", m.partialLine, n, n)
		m.target.write(b.t, strings.TrimPrefix(text, m.partialLine))
		m.toClient, m.partialLine = m.toClient+text, ""
	case what == 6 && m.state == mEstablished:
		text := fmt.Sprintf("beat %d\r\nagain\r\n", n)
		m.client.write(b.t, text[:5])
		b.settle()
		m.client.write(b.t, text[5:])
		m.toTarget += text
	case what == 7 && m.state == mEstablished && m.partialLine == "":
		m.partialLine = "half "
		m.target.write(b.t, m.partialLine)
	case what == 8 && m.state == mEstablished: // the target ends the connection with BYE
		text := m.partialLine + "BYE\r\n"
		m.target.write(b.t, strings.TrimPrefix(text, m.partialLine))
		m.target.sock.CloseWrite()
		m.toClient, m.state = m.toClient+text, mEnded
	case what == 9 && m.state != mEnded: // the client half-closes
		m.client.sock.CloseWrite()
		m.state = mEnded
	case what == 10 && m.state == mEstablished:
		for id, x := range b.engine.exchanges {
			if s := x.client.(*session); s.open.ID == m.id {
				(*host)(b.engine).Move(id)
			}
		}
		m.toClient, m.state, m.moved = m.toClient+"MOVE\r\n", mEnded, true
	case what == 11 && m.state == mEstablished: // the target resets: unforwarded lines are lost
		m.target.reset = true
		m.target.sock.Reset()
		b.waitFor("the reset", func() bool { return m.client.reset })
		m.state = mEnded
	case what == 12 && m.state != mEnded:
		m.client.reset = true
		m.client.sock.Reset()
		m.state = mEnded
	case what == 13 && m.state == mOpening:
		m.client.write(b.t, "nonsense\r\n")
		m.beforeAnswer, m.state = m.beforeAnswer+"ERR\r\n", mEnded
		b.waitFor("ERR", func() bool { return m.client.eof && string(m.client.received) == m.beforeAnswer })
	case what == 14 && m.state == mOpening:
		m.client.write(b.t, malformedFirstLines[n%len(malformedFirstLines)]+"\r\n")
		m.state = mEnded
		b.waitFor("ERR", func() bool { return m.client.eof && strings.HasSuffix(string(m.client.received), "ERR\r\n") })
	// the client sends a line before its answer
	case what == 15 && m.state == mAsked && !m.client.eof:
		m.client.write(b.t, "early\r\n")
		m.state = mEnded
		b.waitFor("an answer", func() bool { return m.client.eof })
	case what == 16 && m.state == mEstablished: // another client uses the same id
		c := b.dialClient()
		c.write(b.t, "OPEN "+m.id+" k c=c,d=2000,g=1\r\n")
		b.waitFor("ERR", func() bool { return c.eof && string(c.received) == "ERR\r\n" })
		c.sock.Close()
	case what == 17: // a reload must not affect any connection
		b.engine.SetDiscovery(b.servers[n%2].Addr())
		b.engine.SetDiscovery(b.frontend.listener.Addr())
	}
}

// checkCounts compares the module's count of connections at each target with the hops that exist.
func (b *testBed) checkCounts() {
	b.t.Helper()
	b.waitFor("the counts of the module to match the hops", func() bool {
		hops := map[string]int{}
		for _, s := range b.frontend.sessions {
			if s.hop != nil {
				hops[s.hop.target.id]++
			}
		}
		for id := range b.frontend.targetStates {
			if b.engine.module.ConnectionCount(id) != hops[id] {
				return false
			}
		}
		return true
	})
}

// check compares what both ends received with the model.
func (m *connectionModel) check(b *testBed) {
	got := string(m.client.received)
	switch {
	case m.target == nil:
		rest := strings.TrimPrefix(got, m.beforeAnswer)
		if rest != "" && rest != "BUSY\r\n" && m.state != mEnded {
			b.t.Fatalf("%s: the client got %q before its connection was established", m.id, got)
		}
		if rest != "" {
			m.state = mEnded
		}
	case m.state == mEstablished || m.moved:
		b.waitFor(fmt.Sprintf("%s: %q at the client, %q at the target", m.id, m.toClient, m.toTarget), func() bool {
			return string(m.client.received) == m.toClient && string(m.target.received) == m.toTarget
		})
		if m.moved {
			b.waitFor("both ends closed", func() bool {
				return m.client.eof && (m.target.eof || m.target.reset)
			})
		}
	case !m.client.reset && !strings.HasPrefix(m.toClient, got):
		b.t.Fatalf("%s: the client got %q, want a prefix of %q", m.id, got, m.toClient)
	}
}
