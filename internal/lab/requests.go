package lab

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"ospreyspan/internal/line"
	"ospreyspan/internal/vnet"
)

// request is one first line of a client, from when it was sent to the end of its connection.
type request struct {
	id            string
	proxy         *vnet.Host
	proxyLife     int // of the proxy's process
	wait          time.Duration
	arrived       bool      // it is at the proxy's machine...
	deadline      time.Time // ...since wait before this
	answered      bool
	standing      bool
	finalLineSent bool          // a last line, MOVE or the relay's own, has gone to the client
	clientEnded   bool          // the client has ended its side
	clientLeftAt  time.Time     // when that was at the proxy's machine, before the answer; zero: it was not
	current       *tappedConn   // the attempt that is out
	lastAttempt   *tappedConn   // the latest one
	class         *Class        // nil: unknown
	attempts      []*tappedConn // attempts that were sent whole, in turn
	endedSides    int           // sides of the client's connection that have ended
}

// asked sees the first line of a client.
func (j *judge) onClientRequest(c *vnet.Conn, w *tappedConn) {
	o, err := line.ParseOpen(line.TrimLineEnd(w.firstLine))
	w.firstLine = nil
	if err != nil {
		return // a check of the front's, or a bad client
	}
	if j.requests[o.ID] != nil {
		return
	}
	j.Requests++
	r := &request{id: o.ID, proxy: c.Listener, proxyLife: c.Listener.Life(), wait: o.Wait, class: j.classes[o.Class]}
	w.request = r
	j.requests[o.ID] = r
}

// due is called when the answer must have come.
func (j *judge) checkAnswerDue(r *request) {
	if !r.arrived || r.answered || r.clientEnded || r.proxy.Life() != r.proxyLife || !r.proxy.Up() {
		return
	}
	if until, ok := j.excusedUntil[r.proxy]; ok && r.deadline.Before(until) {
		return
	}
	j.reportViolation("answer-in-time", "%s: request %s has no answer %v after its client gave up", r.proxy.Name(), r.id, j.rules.AnswerSlack)
}

// answers sees what a proxy writes to a client.
func (j *judge) onProxyWrite(r *request, data []byte) {
	now := j.world.Now()
	if r.standing {
		for _, word := range []string{"MOVE\r\n", "BYE\r\n"} {
			if bytes.HasSuffix(data, []byte(word)) || bytes.HasPrefix(data, []byte(word)) {
				r.finalLineSent = true
			}
		}
		return
	}
	if r.answered {
		j.reportViolation("one-final-answer", "%s: request %s had its answer, and now gets %.40q", r.proxy.Name(), r.id, data)
		return
	}
	first, rest := line.Next(data)
	if len(first) == 0 {
		first = data // in pieces: its beginning tells enough
	}
	r.answered = true
	word, advice := line.ParseWord(line.TrimLineEnd(first))
	if word == line.Busy && j.coldBudget != nil {
		j.coldBudget.lastRefusal = now
	}
	if word == line.Busy && !r.clientEnded {
		ms, _ := strconv.Atoi(string(advice))
		j.checkRefusal(r, time.Duration(ms)*time.Millisecond)
	}
	r.standing = word == line.Up
	if word == line.Up {
		if r.lastAttempt == nil || !r.lastAttempt.replySeen {
			j.reportViolation("one-final-answer", "%s: request %s is told UP, and no relay has said so", r.proxy.Name(), r.id)
		}
		if len(rest) > 0 {
			j.onProxyWrite(r, rest)
		}
	}
	if late := now.Sub(r.deadline); r.arrived && late > j.rules.AnswerSlack && !r.clientEnded { // one may be turned away unread
		if until, ok := j.excusedUntil[r.proxy]; !ok || r.deadline.After(until) {
			j.reportViolation("answer-in-time", "%s: request %s is answered %v after its client gave up", r.proxy.Name(), r.id, late)
		}
	}
}

// closes sees a proxy end a client's connection.
func (j *judge) onProxyClose(r *request) {
	switch {
	case r.arrived && !r.answered:
		j.reportViolation("one-final-answer", "%s ends the connection of request %s without an answer", r.proxy.Name(), r.id)
	case r.standing && !r.finalLineSent && j.relayStillConnected(r):
		j.reportViolation("standing-lost", "%s cuts off %s, whose relay answers", r.proxy.Name(), r.id)
	}
}

func (j *judge) relayStillConnected(r *request) bool {
	return r.lastAttempt != nil && !r.lastAttempt.relayEnded && j.world.Reaches(r.lastAttempt.conn.Listener, r.proxy)
}

// exits checks that a proxy which ends in order leaves nobody behind.
func (j *judge) checkProxyExit(proxy *vnet.Host) error {
	for _, r := range j.requests { // any one will do; which one is told may differ, that there is one does not
		if r.proxy != proxy || r.proxyLife != proxy.Life() || r.clientEnded || !r.arrived {
			continue
		}
		if !r.answered || r.standing && !r.finalLineSent && j.relayStillConnected(r) {
			return errors.New("standing-lost: it ends with a client that was neither answered nor moved")
		}
	}
	return nil
}

func (j *judge) sideEnded(r *request) {
	if r.endedSides++; r.endedSides == 2 {
		delete(j.requests, r.id)
	}
}
