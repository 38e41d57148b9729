package evidence

import (
	"testing"
	"time"
)

// The use of a limit reaches others with an age, and only the latest windows of it are kept.
func TestUse(t *testing.T) {
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
		b.EachUse(now, LimitKey("l"), func(w Writer, use, want int, age time.Duration) {
			if w.Session != 1 {
				return
			}
			seen = true
			if use != 10+i || want != i || age < 0 || age > 2*b.cfg.WindowLength {
				t.Errorf("step %d: use %d, want %d, age %v", i, use, want, age)
			}
		})
		if !seen {
			t.Errorf("step %d: the use is not known", i)
		}
	}
	if b.Cells() > keptUseWindows || b.Disputed() {
		t.Errorf("%d cells of a use are kept", b.Cells())
	}
}
