package poll

import (
	"container/heap"
	"time"
)

// Timer calls a function once at a given time. The zero value with Fire set is ready for use. It
// belongs to the struct that embeds it; whoever arms it must disarm it before dropping the
// reference.
type Timer struct {
	Fire func()
	pos  int // index in the heap plus one; 0: not armed
}

// Armed returns whether the timer is set.
func (t *Timer) Armed() bool { return t.pos > 0 }

// Arm sets the timer to fire at a time. If it is already armed, the new time replaces the old one.
func (l *Loop) Arm(t *Timer, at time.Time) {
	due := at.Sub(l.start)
	if t.pos > 0 {
		l.timers[t.pos-1].dueSinceStart = due
		heap.Fix(&l.timers, t.pos-1)
		return
	}
	heap.Push(&l.timers, armedTimer{due, t})
}

// After sets the timer to fire after d.
func (l *Loop) After(t *Timer, d time.Duration) { l.Arm(t, l.now.Add(d)) }

// Disarm cancels the timer. It does nothing if the timer is not armed.
func (l *Loop) Disarm(t *Timer) {
	if t.pos > 0 {
		heap.Remove(&l.timers, t.pos-1)
	}
}

// armedTimer is the heap entry of an armed timer. The due time, as a duration since Loop.start, is
// stored beside the pointer: in a heap of tens of thousands of timers each comparison would
// otherwise cause a cache miss.
type armedTimer struct {
	dueSinceStart time.Duration
	timer         *Timer
}

// timerHeap is a min-heap ordered by due time.
type timerHeap []armedTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueSinceStart < h[j].dueSinceStart }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer.pos, h[j].timer.pos = i+1, j+1
}

// Push and Pop implement heap.Interface.
func (h *timerHeap) Push(x any) {
	a := x.(armedTimer)
	*h = append(*h, a)
	a.timer.pos = len(*h)
}

func (h *timerHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = armedTimer{}
	*h = old[:len(old)-1]
	a.timer.pos = 0
	return a
}

// next returns how long the kernel may wait for events: until the next timer is due, at most one
// hour; negative, meaning without limit, if no timer is armed.
func (h timerHeap) next(now time.Duration) time.Duration {
	if len(h) == 0 {
		return -1
	}
	return min(max(h[0].dueSinceStart-now, 0), time.Hour)
}

// fire calls all timers that are due, including those that the called functions arm for now.
func (h *timerHeap) fire(now time.Duration) {
	for len(*h) > 0 && (*h)[0].dueSinceStart <= now {
		heap.Pop(h).(armedTimer).timer.Fire()
	}
}
