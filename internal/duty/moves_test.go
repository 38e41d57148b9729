package duty

import (
	"testing"
	"time"
)

// 60 moves that are requested at once are spread at the rate of 50 per second. No move waits longer
// than maxMoveWait: a draining server could stop before a later move and cut off the client.
func TestMovesAreSpread(t *testing.T) {
	o := MovePacer{Rate: 50}
	countByTenth := make(map[int]int) // moves by tenth of a second of their delay
	for range 60 {
		wait := o.Schedule(now)
		if wait > maxMoveWait {
			t.Fatalf("delay of %v, want at most %v", wait, maxMoveWait)
		}
		countByTenth[int(wait/(100*time.Millisecond))]++
	}
	for tenth := range 4 {
		if n := countByTenth[tenth]; n < 4 || n > 6 {
			t.Errorf("%d moves in tenth %d of the second, want 4 to 6", n, tenth)
		}
	}
	if o.Schedule(now.Add(time.Minute)) != 0 {
		t.Error("move delayed although no other move is scheduled")
	}
}

// The decoded delay is reduced by the time that the response took. A delay out of range is an
// error.
func TestDecodeMove(t *testing.T) {
	text, _ := EncodeMoveDelay(400 * time.Millisecond)
	if d, err := DecodeMoveDelay(text, 300*time.Millisecond); err != nil || d != 100*time.Millisecond {
		t.Error(d, err)
	}
	if d, err := DecodeMoveDelay(text, 2*time.Second); err != nil || d != 0 {
		t.Error(d, err)
	}
	for _, bad := range []time.Duration{-time.Second, time.Hour} {
		text, _ := EncodeMoveDelay(bad)
		if _, err := DecodeMoveDelay(text, 0); err == nil {
			t.Errorf("delay of %v accepted", bad)
		}
	}
}
