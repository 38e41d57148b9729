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
	id       string
	proxy    *vnet.Host
	life     int // of the proxy's process
	wait     time.Duration
	taken    bool      // it is at the proxy's machine...
	deadline time.Time // ...since wait before this
	answered bool
	standing bool
	sent     bool      // a last line, MOVE or the relay's own, has gone to the client
	left     bool      // the client has ended its side
	leftAt   time.Time // when that was at the proxy's machine, before the answer; zero: it was not
	out      *tapped   // the attempt that is out
	last     *tapped   // the latest one
	class    *Class    // nil: unknown
	tries    []*tapped // attempts that were sent whole, in turn
	ends     int       // sides of the client's connection that have ended
}

// asked sees the first line of a client.
func (j *judge) asked(c *vnet.Conn, w *tapped) {
	o, err := line.ParseOpen(line.TrimLineEnd(w.first))
	w.first = nil
	if err != nil {
		return // a check of the front's, or a bad client
	}
	if j.requests[o.ID] != nil {
		return
	}
	j.Requests++
	r := &request{id: o.ID, proxy: c.Listener, life: c.Listener.Incarnation(), wait: o.MaxWait, class: j.classes[o.Class]}
	w.req = r
	j.requests[o.ID] = r
}

// due is called when the answer must have come.
func (j *judge) due(r *request) {
	if !r.taken || r.answered || r.left || r.proxy.Incarnation() != r.life || !r.proxy.Up() {
		return
	}
	if until, ok := j.excused[r.proxy]; ok && r.deadline.Before(until) {
		return
	}
	j.broken("answer-in-time", "%s: request %s has no answer %v after its client gave up", r.proxy.Name(), r.id, j.rules.AnswerSlack)
}

// answers sees what a proxy writes to a client.
func (j *judge) answers(r *request, data []byte) {
	now := j.world.Now()
	if r.standing {
		for _, word := range []string{"MOVE\r\n", "BYE\r\n"} {
			if bytes.HasSuffix(data, []byte(word)) || bytes.HasPrefix(data, []byte(word)) {
				r.sent = true
			}
		}
		return
	}
	if r.answered {
		j.broken("one-final-answer", "%s: request %s had its answer, and now gets %.40q", r.proxy.Name(), r.id, data)
		return
	}
	first, rest := line.Next(data)
	if len(first) == 0 {
		first = data // in pieces: its beginning tells enough
	}
	r.answered = true
	word, advice := line.ParseWord(line.TrimLineEnd(first))
	if word == line.Busy && j.cold != nil {
		j.cold.refused = now
	}
	if word == line.Busy && !r.left {
		ms, _ := strconv.Atoi(string(advice))
		j.refuses(r, time.Duration(ms)*time.Millisecond)
	}
	r.standing = word == line.Up
	if word == line.Up {
		if r.last == nil || !r.last.heard {
			j.broken("one-final-answer", "%s: request %s is told UP, and no relay has said so", r.proxy.Name(), r.id)
		}
		if len(rest) > 0 {
			j.answers(r, rest)
		}
	}
	if late := now.Sub(r.deadline); r.taken && late > j.rules.AnswerSlack && !r.left { // one may be turned away unread
		if until, ok := j.excused[r.proxy]; !ok || r.deadline.After(until) {
			j.broken("answer-in-time", "%s: request %s is answered %v after its client gave up", r.proxy.Name(), r.id, late)
		}
	}
}

// closes sees a proxy end a client's connection.
func (j *judge) closes(r *request) {
	switch {
	case r.taken && !r.answered:
		j.broken("one-final-answer", "%s ends the connection of request %s without an answer", r.proxy.Name(), r.id)
	case r.standing && !r.sent && j.answersStill(r):
		j.broken("standing-lost", "%s cuts off %s, whose relay answers", r.proxy.Name(), r.id)
	}
}

func (j *judge) answersStill(r *request) bool {
	return r.last != nil && !r.last.relayEnded && j.world.Reaches(r.last.conn.Listener, r.proxy)
}

// exits checks that a proxy which ends in order leaves nobody behind.
func (j *judge) exits(proxy *vnet.Host) error {
	for _, r := range j.requests { // any one will do; which one is told may differ, that there is one does not
		if r.proxy != proxy || r.life != proxy.Incarnation() || r.left || !r.taken {
			continue
		}
		if !r.answered || r.standing && !r.sent && j.answersStill(r) {
			return errors.New("standing-lost: it ends with a client that was neither answered nor moved")
		}
	}
	return nil
}

func (j *judge) forget(r *request) {
	if r.ends++; r.ends == 2 {
		delete(j.requests, r.id)
	}
}
