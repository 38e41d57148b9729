package evidence

import (
	"testing"
	"time"
)

// The use of a limit reaches other processes with its age, and only its latest windows are kept.
func TestLimitUse(t *testing.T) {
	a, b := store(1, Flaws{}), store(2, Flaws{})
	g := NewGossip(b, time.Second)
	for i := range 8 {
		now := t0.Add(time.Duration(i) * 600 * time.Millisecond)
		a.RecordUse(now, LimitKey("l"), 10+i, i)
		for _, m := range a.Answer(now, g.Query(now, 1)) {
			text, err := m.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if m, err = Decode(text); err != nil {
				t.Fatal(err)
			}
			g.Receive(m)
		}
		seen := false
		b.EachUse(now, LimitKey("l"), func(w Writer, use, demand int, age time.Duration) {
			if w.Session != 1 {
				return
			}
			seen = true
			if use != 10+i || demand != i || age < 0 || age > 2*b.cfg.WindowLength {
				t.Errorf("step %d: got use %d, demand %d, age %v", i, use, demand, age)
			}
		})
		if !seen {
			t.Errorf("step %d: the use was not received", i)
		}
	}
	if b.Cells() > keptUseWindows || b.Disputed() {
		t.Errorf("%d cells of the use are kept, or a target is disputed", b.Cells())
	}
}
