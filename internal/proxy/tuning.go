package proxy

import (
	"errors"
	"time"
)

// Tuning holds times that depend on the environment and can be changed. Times that the platform
// specifies are in its settings.
type Tuning struct {
	// AnswerMargin is subtracted from the client's wait, so that the module's final answer arrives
	// in time. A machine that shares its cores may stop the process for 100 ms and more, and a
	// request that the module holds until its deadline would then have no answer. For a short wait
	// the margin is a fraction of the wait. Must be above 0.
	AnswerMargin time.Duration
	// SilentAfter is how long a client's line may remain unanswered without any sign of life from
	// the target on any of its connections. A running target answers at once, even if it processes
	// slowly. A machine that vanished gives no other sign, and its clients are without service
	// until they are moved. The rules allow 7 s. Must be at least 10 ms.
	SilentAfter time.Duration
	// MovesSpan and MovesDone schedule the moves of a planned stop: they are spread evenly over
	// MovesSpan, which ends MovesDone before SIGKILL. They are late and close together because in a
	// rolling restart the previously stopped proxy is not back sooner, and moved clients may have
	// no other proxy until then.
	MovesSpan, MovesDone time.Duration
}

// DefaultTuning returns the values for production.
func DefaultTuning() Tuning {
	return Tuning{
		AnswerMargin: 150 * time.Millisecond,
		SilentAfter:  800 * time.Millisecond,
		MovesSpan:    1700 * time.Millisecond,
		MovesDone:    850 * time.Millisecond,
	}
}

// Check returns an error for the first value that is out of range.
func (t *Tuning) Check() error {
	switch {
	case t.AnswerMargin <= 0:
		return errors.New("answer margin: must be above 0")
	case t.SilentAfter < 10*time.Millisecond:
		return errors.New("silent after: must be at least 10 ms")
	case t.MovesSpan < drainInterval:
		return errors.New("moves span: must be at least 20 ms")
	case t.MovesDone < exitLead:
		return errors.New("moves done: must be at least 350 ms before SIGKILL")
	}
	return nil
}
