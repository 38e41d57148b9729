package duty

import (
	"testing"
	"time"
)

// A hundred moves that are asked for at once are spread at the rate; none waits so long that its target has stopped.
func TestMovesAreSpread(t *testing.T) {
	o := MovePacer{Rate: 50}
	countByTenth := make(map[int]int) // moves by tenth of a second
	for range 60 {
		wait := o.Schedule(now)
		if wait > maxMoveWait {
			t.Fatalf("a wait of %v", wait)
		}
		countByTenth[int(wait/(100*time.Millisecond))]++
	}
	for tenth := range 4 {
		if n := countByTenth[tenth]; n < 4 || n > 6 {
			t.Errorf("%d moves in tenth %d", n, tenth)
		}
	}
	if o.Schedule(now.Add(time.Minute)) != 0 {
		t.Error("a move waits though nothing is under way")
	}
}

// An answer's wait is what is left of it; one that is out of range is none.
func TestDecodeMove(t *testing.T) {
	text, _ := EncodeMove(400 * time.Millisecond)
	if d, err := DecodeMove(text, 300*time.Millisecond); err != nil || d != 100*time.Millisecond {
		t.Error(d, err)
	}
	if d, err := DecodeMove(text, 2*time.Second); err != nil || d != 0 {
		t.Error(d, err)
	}
	for _, bad := range []time.Duration{-time.Second, time.Hour} {
		text, _ := EncodeMove(bad)
		if _, err := DecodeMove(text, 0); err == nil {
			t.Errorf("a wait of %v is taken", bad)
		}
	}
}
