package vnet

import "time"

// action is the effect of an event.
type action interface{ execute(w *World) }

// event is an action at a point in virtual time. Of two events at the same time, the one that was
// queued first comes first.
type event struct {
	at     time.Duration
	seq    uint64
	action action
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// eventQueue is a 4-ary min-heap. It is the hottest code of a run, and a higher arity than two
// touches fewer cache lines.
type eventQueue struct {
	heap []event
	seq  uint64
}

// arity is the number of children of a heap node.
const arity = 4

func (q *eventQueue) push(at time.Duration, do action) {
	q.seq++
	e := event{at, q.seq, do}
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / arity
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

func (q *eventQueue) pop() event {
	top := q.heap[0]
	n := len(q.heap) - 1
	e := q.heap[n]
	q.heap[n] = event{}
	q.heap = q.heap[:n]
	if n == 0 {
		return top
	}
	i := 0
	for {
		smallest := i*arity + 1
		if smallest >= n {
			break
		}
		for c := smallest + 1; c < min(i*arity+1+arity, n); c++ {
			if q.heap[c].before(&q.heap[smallest]) {
				smallest = c
			}
		}
		if !q.heap[smallest].before(&e) {
			break
		}
		q.heap[i] = q.heap[smallest]
		i = smallest
	}
	q.heap[i] = e
	return top
}
