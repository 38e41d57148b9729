package poll

import (
	"container/heap"
	"time"
)

// Timer calls a function once at a time. Its zero value with Fire set is ready for use; it belongs to whoever
// embeds it, and whoever arms it disarms it before letting go of it.
type Timer struct {
	Fire func()
	pos  int // index in the heap plus one; 0: not armed
}

// Armed tells whether the timer is to go off.
func (t *Timer) Armed() bool { return t.pos > 0 }

// Arm sets the timer, anew if it is armed.
func (l *Loop) Arm(t *Timer, at time.Time) {
	due := at.Sub(l.start)
	if t.pos > 0 {
		l.timers[t.pos-1].due = due
		heap.Fix(&l.timers, t.pos-1)
		return
	}
	heap.Push(&l.timers, armedTimer{due, t})
}

// After sets the timer to go off after d.
func (l *Loop) After(t *Timer, d time.Duration) { l.Arm(t, l.now.Add(d)) }

// Disarm takes the timer back.
func (l *Loop) Disarm(t *Timer) {
	if t.pos > 0 {
		heap.Remove(&l.timers, t.pos-1)
	}
}

// armedTimer is a timer that is armed. Its time, since the loop began, stands beside the pointer: a heap of ten thousands of
// timers would otherwise miss the cache at each comparison.
type armedTimer struct {
	due   time.Duration
	timer *Timer
}

// timerHeap is a heap, the next one first.
type timerHeap []armedTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer.pos, h[j].timer.pos = i+1, j+1
}

// Push and Pop are for container/heap.
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

// next tells how long the kernel may wait, below 0 for without end.
func (h timerHeap) next(now time.Duration) time.Duration {
	if len(h) == 0 {
		return -1
	}
	return min(max(h[0].due-now, 0), time.Hour)
}

// fire calls all timers that are due, also those that others arm for now meanwhile.
func (h *timerHeap) fire(now time.Duration) {
	for len(*h) > 0 && (*h)[0].due <= now {
		heap.Pop(h).(armedTimer).timer.Fire()
	}
}
