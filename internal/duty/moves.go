package duty

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Moves is the lease for pacing moves off servers that drain: its owner gives each move a time, so that all proxies together move
// evenly, however many connections each of them has.
const Moves = "moves"

// maxMoveWait is the longest that a move waits for its time. The decision module spreads its own moves off a server over 3 s, and
// the server may stop soon after: with waits of 1 to 1.5 s and a pace that was too low, clients were cut off in the emulator.
const maxMoveWait = 500 * time.Millisecond

// MovePacer gives moves their times, for the owner of Moves. Its zero value with Rate set is ready.
type MovePacer struct {
	Rate   float64   // moves a second, of all proxies together; above 0
	nextAt time.Time // of the next move
}

// Schedule gives a move its time, as a wait from now, from 0 to longestMoveWait. Under Rate moves a second there is none.
func (p *MovePacer) Schedule(now time.Time) time.Duration {
	if p.nextAt.Before(now) {
		p.nextAt = now
	}
	wait := p.nextAt.Sub(now)
	p.nextAt = p.nextAt.Add(time.Duration(float64(time.Second) / p.Rate))
	if wait > maxMoveWait {
		// The fleet has more to move than it can move evenly in time. Later moves go as late as they may, and the backlog does not
		// grow without end.
		p.nextAt = now.Add(maxMoveWait)
		return maxMoveWait
	}
	return wait
}

// moveResponse is the owner's response.
type moveResponse struct {
	WaitUS int64 `cbor:"1,keyasint"`
}

// EncodeMove writes an owner's response.
func EncodeMove(wait time.Duration) ([]byte, error) {
	return cbor.Marshal(moveResponse{wait.Microseconds()})
}

// DecodeMove reads an owner's response and returns how long the move still waits, at least 0, if its request was sent so long ago. A
// wait out of range is an error.
func DecodeMove(data []byte, elapsed time.Duration) (time.Duration, error) {
	var response moveResponse
	if err := cbor.Unmarshal(data, &response); err != nil {
		return 0, fmt.Errorf("duty: move: %w", err)
	}
	wait := time.Duration(response.WaitUS) * time.Microsecond
	if wait < 0 || wait > maxMoveWait {
		return 0, fmt.Errorf("duty: move: a wait of %v", wait)
	}
	return max(wait-elapsed, 0), nil
}

// MoveResponseTimeout is how long an owner's response may take; after it the proxy moves as without an owner.
const MoveResponseTimeout = responseTimeout
