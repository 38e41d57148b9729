package lab

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"ospreyspan/internal/line"
	"ospreyspan/internal/vnet"
)

// request is a client's request, from when its first line is sent to the end of its connection.
type request struct {
	id            string
	proxy         *vnet.Host
	proxyLife     int // number of the proxy's process that got it
	clientTimeout time.Duration
	arrived       bool      // at the proxy's machine
	deadline      time.Time // time of arrival plus clientTimeout
	answered      bool
	established   bool
	finalLineSent bool          // MOVE or the relay's own last line was sent to the client
	clientEnded   bool          // the client has closed its side
	clientLeftAt  time.Time     // when that reached the proxy, if before the answer; else zero
	current       *tappedConn   // the attempt in progress, or nil
	lastAttempt   *tappedConn   // the latest attempt, or nil
	class         *Class        // nil: unknown
	attempts      []*tappedConn // attempts that were sent completely, in order
	endedSides    int           // sides of the client's connection that have ended
}

// onClientRequest handles the complete first line of a client.
func (j *judge) onClientRequest(c *vnet.Conn, tap *tappedConn) {
	o, err := line.ParseOpen(line.TrimLineEnd(tap.firstLine))
	tap.firstLine = nil
	if err != nil {
		return // a health check of the load balancer, or a bad client
	}
	if j.requests[o.ID] != nil {
		return
	}
	j.Requests++
	r := &request{id: o.ID, proxy: c.Listener, proxyLife: c.Listener.Incarnation(), clientTimeout: o.MaxWait, class: j.classes[o.Class]}
	tap.request = r
	j.requests[o.ID] = r
}

// checkAnswerDue checks that a request was answered once its deadline and the slack have passed.
func (j *judge) checkAnswerDue(r *request) {
	if !r.arrived || r.answered || r.clientEnded || r.proxy.Incarnation() != r.proxyLife || !r.proxy.Up() {
		return
	}
	if until, ok := j.excusedUntil[r.proxy]; ok && r.deadline.Before(until) {
		return
	}
	j.reportViolation("answer-in-time", "%s: request %s has no answer %v after its client gave up", r.proxy.Name(), r.id, j.rules.AnswerSlack)
}

// onProxyWrite handles what a proxy writes to a client.
func (j *judge) onProxyWrite(r *request, data []byte) {
	now := j.world.Now()
	if r.established {
		for _, word := range []string{"MOVE\r\n", "BYE\r\n"} {
			if bytes.HasSuffix(data, []byte(word)) || bytes.HasPrefix(data, []byte(word)) {
				r.finalLineSent = true
			}
		}
		return
	}
	if r.answered {
		j.reportViolation("one-final-answer", "%s: request %s was already answered and now gets %.40q", r.proxy.Name(), r.id, data)
		return
	}
	first, rest := line.Next(data)
	if len(first) == 0 {
		first = data // incomplete line: its beginning is enough
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
	r.established = word == line.Up
	if word == line.Up {
		if r.lastAttempt == nil || !r.lastAttempt.replySeen {
			j.reportViolation("one-final-answer", "%s: request %s is answered UP, but no relay has answered UP", r.proxy.Name(), r.id)
		}
		if len(rest) > 0 {
			j.onProxyWrite(r, rest)
		}
	}
	// A request may be refused before it is read.
	if late := now.Sub(r.deadline); r.arrived && late > j.rules.AnswerSlack && !r.clientEnded {
		if until, ok := j.excusedUntil[r.proxy]; !ok || r.deadline.After(until) {
			j.reportViolation("answer-in-time", "%s: request %s is answered %v after its client gave up", r.proxy.Name(), r.id, late)
		}
	}
}

// onProxyClose handles a proxy that closes a client's connection.
func (j *judge) onProxyClose(r *request) {
	switch {
	case r.arrived && !r.answered:
		j.reportViolation("one-final-answer", "%s ends the connection of request %s without an answer", r.proxy.Name(), r.id)
	case r.established && !r.finalLineSent && j.relayStillConnected(r):
		j.reportViolation("standing-lost", "%s closes the connection of request %s without a last line though its relay still answers", r.proxy.Name(), r.id)
	}
}

// relayStillConnected reports whether the relay of the latest attempt keeps its connection open and
// can be reached.
func (j *judge) relayStillConnected(r *request) bool {
	return r.lastAttempt != nil && !r.lastAttempt.relayEnded && j.world.Reaches(r.lastAttempt.conn.Listener, r.proxy)
}

// checkProxyExit checks that a proxy which exits in order leaves no client unanswered or unmoved.
func (j *judge) checkProxyExit(proxy *vnet.Host) error {
	// Any violation will do: the map's order does not decide whether there is one.
	for _, r := range j.requests {
		if r.proxy != proxy || r.proxyLife != proxy.Incarnation() || r.clientEnded || !r.arrived {
			continue
		}
		if !r.answered || r.established && !r.finalLineSent && j.relayStillConnected(r) {
			return errors.New("standing-lost: the process exits with a client that was neither answered nor moved")
		}
	}
	return nil
}

// sideEnded counts the ended sides of a client's connection, and forgets the request after both.
func (j *judge) sideEnded(r *request) {
	if r.endedSides++; r.endedSides == 2 {
		delete(j.requests, r.id)
	}
}
