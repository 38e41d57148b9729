package proxy

import (
	"errors"
	"time"
)

// Tuning holds the times that were found by experiment and may be found anew. The platform's own figures are in its
// settings, not here.
type Tuning struct {
	// AnswerMargin is taken off what the client waits, so that the module's last word reaches it in time: a machine
	// that shares its cores may keep the process from running for 100 ms and more, and a request that the module holds
	// until its end would then have no answer. Of a short wait a smaller part is taken. Above 0.
	AnswerMargin time.Duration
	// SilentAfter is how long a line of the client may stay without any sign of the target on any of its connections.
	// A running target answers at once, also one that is slow at its work; a machine that vanished gives no other sign,
	// and its clients are without service until they are moved. The rules leave 7 s. At least 10 ms.
	SilentAfter time.Duration
	// MovesSpan and MovesDone place the moves of a planned stop: they are spread evenly over MovesSpan, which ends
	// MovesDone before SIGKILL. They are late and close together: in a rolling restart the proxy that stopped before
	// this one is not back sooner, and until then those who are sent away may have nowhere to go.
	MovesSpan, MovesDone time.Duration
}

// DefaultTuning is what serves.
func DefaultTuning() Tuning {
	return Tuning{
		AnswerMargin: 150 * time.Millisecond,
		SilentAfter:  800 * time.Millisecond,
		MovesSpan:    1700 * time.Millisecond,
		MovesDone:    850 * time.Millisecond,
	}
}

// Check tells what is out of its range.
func (t *Tuning) Check() error {
	switch {
	case t.AnswerMargin <= 0:
		return errors.New("answer margin: not above 0")
	case t.SilentAfter < 10*time.Millisecond:
		return errors.New("silent after: under 10 ms")
	case t.MovesSpan < drainInterval:
		return errors.New("moves' span: under 20 ms")
	case t.MovesDone < exitLead:
		return errors.New("moves done: less than 350 ms before the end")
	}
	return nil
}
