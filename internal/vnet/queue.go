package vnet

import "time"

// happening is what an event does.
type happening interface{ happen(w *World) }

// event is a happening at its time; of two at the same time the one that was put in first comes first.
type event struct {
	at  time.Duration
	seq uint64
	do  happening
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue is a heap with four children a node: it is the hottest part of a run, and wider nodes touch fewer lines of
// memory.
type queue struct {
	heap []event
	seq  uint64
}

const fan = 4

func (q *queue) push(at time.Duration, do happening) {
	q.seq++
	e := event{at, q.seq, do}
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		up := (i - 1) / fan
		if !e.before(&q.heap[up]) {
			break
		}
		q.heap[i] = q.heap[up]
		i = up
	}
	q.heap[i] = e
}

func (q *queue) pop() event {
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
		least := i*fan + 1
		if least >= n {
			break
		}
		for c := least + 1; c < min(i*fan+1+fan, n); c++ {
			if q.heap[c].before(&q.heap[least]) {
				least = c
			}
		}
		if !q.heap[least].before(&e) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = e
	return top
}
