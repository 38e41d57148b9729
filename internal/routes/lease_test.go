package routes

import (
	"testing"
	"time"
)

// The expiry of a list's lease follows from the outcomes of the requests.
func TestLease(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, tt := range []struct {
		name   string
		pushed bool
		events func(l *Lease)
		ends   time.Time
	}{
		{"no request", false, func(*Lease) {}, at(6)},
		{"one answer", false, func(l *Lease) { l.Answered(at(3)) }, at(9)},
		{"answers out of order", false, func(l *Lease) { l.Answered(at(3)); l.Answered(at(2)) }, at(9)},
		{"repeated refusals", false, func(l *Lease) { l.Answered(at(1)); l.Failed(); l.Failed() }, at(7)},
		{"a watch with a short wait", false, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 2*time.Second) }, at(7)},
		{"a watch with a long wait", false, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 20*time.Second) }, at(23)},
		{"a watch that failed", false, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 20*time.Second); l.Failed() }, at(7)},
		{"a continued watch", false, func(l *Lease) {
			l.Answered(at(1))
			l.Watching(at(1), 4*time.Second)
			l.Answered(at(5))
			l.Watching(at(5), 10*time.Second)
		}, at(17)},
		{"unreachable", false, func(l *Lease) { l.Answered(at(1)); l.Failed(); l.Unreachable(at(9)); l.Failed() }, at(15)},
		{"pushed, no watch", true, func(*Lease) {}, at(0)},
		{"pushed, a watch", true, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 2*time.Second) }, at(7)},
		{"pushed, a watch that failed", true, func(l *Lease) { l.Answered(at(1)); l.Watching(at(1), 2*time.Second); l.Failed() }, at(1)},
		{"pushed, unreachable", true, func(l *Lease) { l.Answered(at(1)); l.Failed(); l.Unreachable(at(9)) }, at(9)},
	} {
		l := NewLease(start, tt.pushed)
		tt.events(&l)
		if got := l.Expiry(); !got.Equal(tt.ends) {
			t.Errorf("%s: expires after %v, want %v", tt.name, got.Sub(start), tt.ends.Sub(start))
		}
	}
}
