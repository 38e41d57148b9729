package proxy

import "ospreyspan/internal/line"

const (
	// maxBacklog is the number of unsent bytes of one connection above which the other side is not
	// read.
	maxBacklog = 64 << 10
	// crowdedMaxBacklog replaces maxBacklog while all backlogs together exceed their limit: more
	// than the longest line.
	crowdedMaxBacklog = 2 * line.MaxLength
	// defaultTotalBacklog is the limit of all backlogs together where the memory of the process is
	// not limited.
	defaultTotalBacklog = 32 << 20
	// totalBacklogDivisor is the divisor of the memory limit that gives the limit of all backlogs.
	// While it is reached each connection may still add a little, and the garbage collector needs
	// as much again.
	totalBacklogDivisor = 6
)

// backlogBudget limits the memory that unsent output takes on all links of a frontend together.
// Peers that do not read, hundreds of them, may otherwise fill the memory of the process although
// each keeps to its own limit.
type backlogBudget struct {
	used  int // bytes of the buffers of all links
	limit int
}

func newBacklogBudget() *backlogBudget { return &backlogBudget{limit: defaultTotalBacklog} }

// setMemoryLimit sets the limit by the memory that the process may use, in bytes; 0: not limited.
func (b *backlogBudget) setMemoryLimit(bytes int64) {
	if b.limit = int(bytes / totalBacklogDivisor); bytes <= 0 {
		b.limit = defaultTotalBacklog
	}
}

// crowded reports whether all backlogs together have reached their limit.
func (b *backlogBudget) crowded() bool { return b.used >= b.limit }

// linkLimit returns the number of unsent bytes of one link above which the other side is not read.
func (b *backlogBudget) linkLimit() int {
	if b.crowded() {
		return crowdedMaxBacklog
	}
	return maxBacklog
}

// readBuffer returns the buffer for the next read of an established connection: a small one while
// backlogs are at their limit, since all that is read may have to be kept.
func (f *LineFrontend) readBuffer() []byte {
	if f.backlog.crowded() {
		return f.scratch[:openingReadSize]
	}
	return f.scratch
}
