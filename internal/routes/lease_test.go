package routes

import (
	"testing"
	"time"
)

// A list may be acted upon until what it lacks counts as told, by what became of the calls.
func TestLease(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, tt := range []struct {
		name   string
		pushed bool
		calls  func(l *Lease)
		ends   time.Time
	}{
		{"no call", false, func(*Lease) {}, at(6)},
		{"an answer", false, func(l *Lease) { l.Answered(at(3)) }, at(9)},
		{"answers out of order", false, func(l *Lease) { l.Answered(at(3)); l.Answered(at(2)) }, at(9)},
		{"a call that is refused again and again", false, func(l *Lease) { l.Answered(at(1)); l.Failed(); l.Failed() }, at(7)},
		{"a watch with a short wait", false, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 2*time.Second) }, at(7)},
		{"a watch with a long wait", false, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 20*time.Second) }, at(23)},
		{"a watch that was given up", false, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 20*time.Second); l.Failed() }, at(7)},
		{"a watch that goes on", false, func(l *Lease) {
			l.Answered(at(1))
			l.Watching(at(1), 4*time.Second)
			l.Answered(at(5))
			l.Watching(at(5), 10*time.Second)
		}, at(17)},
		{"out of reach", false, func(l *Lease) { l.Answered(at(1)); l.Failed(); l.Unreachable(at(9)); l.Failed() }, at(15)},
		{"pushed, no watch", true, func(*Lease) {}, at(0)},
		{"pushed, a watch", true, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 2*time.Second) }, at(7)},
		{"pushed, a watch that broke", true, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 2*time.Second); l.Failed() }, at(1)},
		{"pushed, out of reach", true, func(l *Lease) { l.Answered(at(1)); l.Failed(); l.Unreachable(at(9)) }, at(9)},
	} {
		l := NewLease(start, tt.pushed)
		tt.calls(&l)
		if got := l.Expiry(); !got.Equal(tt.ends) {
			t.Errorf("%s: ends after %v, not %v", tt.name, got.Sub(start), tt.ends.Sub(start))
		}
	}
}
