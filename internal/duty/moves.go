package duty

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Moves is the name of the lease for pacing moves off draining servers. Its owner assigns a time to
// each move, so that all proxies together move connections at an even rate, however many
// connections each of them has.
const Moves = "moves"

// maxMoveWait is the longest delay of a move. Package balance spreads its own moves off a server
// over 3 s, and the server may stop soon after: in the emulator, delays of 1 to 1.5 s at a rate
// that was too low disconnected clients.
const maxMoveWait = 500 * time.Millisecond

// MovePacer assigns times to moves for the owner of the Moves lease. The zero value is ready to use
// once Rate is set.
type MovePacer struct {
	Rate   float64   // moves per second of all proxies together; above 0
	nextAt time.Time // earliest time of the next move
}

// Schedule assigns a time to a move and returns the delay until then, from 0 to maxMoveWait
// (500 ms). The delay is 0 while moves are requested at less than Rate per second.
func (p *MovePacer) Schedule(now time.Time) time.Duration {
	if p.nextAt.Before(now) {
		p.nextAt = now
	}
	wait := p.nextAt.Sub(now)
	p.nextAt = p.nextAt.Add(time.Duration(float64(time.Second) / p.Rate))
	if wait > maxMoveWait {
		// The fleet has more connections to move than the rate allows. Further moves get the
		// longest delay, so that the backlog does not grow without bound.
		p.nextAt = now.Add(maxMoveWait)
		return maxMoveWait
	}
	return wait
}

// moveResponse is the owner's response to a request for the time of a move.
type moveResponse struct {
	WaitUS int64 `cbor:"1,keyasint"`
}

// EncodeMoveDelay encodes the owner's response, the delay of a move.
func EncodeMoveDelay(wait time.Duration) ([]byte, error) {
	return cbor.Marshal(moveResponse{wait.Microseconds()})
}

// DecodeMoveDelay decodes the owner's response and returns the remaining delay of the move, at
// least 0. The argument elapsed is the time since the request was sent. A delay below 0 or above
// maxMoveWait (500 ms) is an error.
func DecodeMoveDelay(data []byte, elapsed time.Duration) (time.Duration, error) {
	var response moveResponse
	if err := cbor.Unmarshal(data, &response); err != nil {
		return 0, fmt.Errorf("duty: move: %w", err)
	}
	wait := time.Duration(response.WaitUS) * time.Microsecond
	if wait < 0 || wait > maxMoveWait {
		return 0, fmt.Errorf("duty: move: delay of %v, allowed 0 to %v", wait, maxMoveWait)
	}
	return max(wait-elapsed, 0), nil
}

// MoveResponseTimeout is how long a proxy waits for the owner's response to a request for the time
// of a move. After it, the proxy makes the move as if there were no owner.
const MoveResponseTimeout = responseTimeout
