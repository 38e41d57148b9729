package hollow

import (
	"time"

	"golang.org/x/sys/unix"
)

// threadTime is the processor time that the calling thread has used. The caller stays on its thread.
func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
