package changes

// Change sets the value of a key or deletes the key. Its number follows from its position in a
// Batch.
type Change struct {
	Key    string
	Value  string
	Delete bool
}

func (c Change) check() error { return Entry{c.Key, c.Value}.check() }

// Batch holds consecutive changes in order. The first one has the number From+1, the last one
// From+len(Changes).
type Batch struct {
	From    uint64
	Before  uint64 // digest of the state that the changes apply to
	After   uint64 // digest of the state after the changes
	Changes []Change
}

// To returns the number of the last change, or From if the batch is empty.
func (b *Batch) To() uint64 { return b.From + uint64(len(b.Changes)) }

// estimatedSize returns the approximate size of a message with this batch, in bytes.
func (b *Batch) estimatedSize() int {
	const header = 40
	size := header + DatagramOverhead
	if b != nil {
		for _, c := range b.Changes {
			size += changeSize(c)
		}
	}
	return size
}

// logEntry is a change, the change that reverts it, and the digest of the resulting state.
type logEntry struct {
	change Change
	undo   Change
	digest uint64
}

// Log holds the latest changes of a state, bounded in number and in bytes. The oldest ones are
// dropped; a member that needs those fetches a snapshot.
type Log struct {
	baseNumber uint64 // number of the state that the oldest change applies to
	baseDigest uint64 // digest of that state
	changes    []logEntry
	bytes      int
}

// Reset drops all changes. The log continues from the given number and digest of the state.
func (l *Log) Reset(number, digest uint64) {
	*l = Log{baseNumber: number, baseDigest: digest}
}

// Last returns the number of the latest change.
func (l *Log) Last() uint64 { return l.baseNumber + uint64(len(l.changes)) }

func (l *Log) append(c, undo Change, digest uint64) {
	l.changes = append(l.changes, logEntry{c, undo, digest})
	l.bytes += changeSize(c)
}

// rollBack drops the changes after a number and returns the changes that revert them, in the order
// in which they have to be applied. ok is false if the log does not reach back that far.
func (l *Log) rollBack(number uint64) (undo []Change, ok bool) {
	if number < l.baseNumber || number > l.Last() {
		return nil, false
	}
	keep := number - l.baseNumber
	for i := len(l.changes) - 1; uint64(i+1) > keep; i-- {
		undo = append(undo, l.changes[i].undo)
		l.bytes -= changeSize(l.changes[i].change)
	}
	l.changes = l.changes[:keep]
	return undo, true
}

// compact drops the oldest changes beyond maxChanges or maxBytes.
func (l *Log) compact(maxChanges, maxBytes int) {
	drop, bytes := 0, l.bytes
	for drop < len(l.changes) && (len(l.changes)-drop > maxChanges || bytes > maxBytes) {
		bytes -= changeSize(l.changes[drop].change)
		drop++
	}
	// Changes are dropped in larger groups, so that not every change copies the whole log.
	if drop == 0 || drop < len(l.changes)/8 && len(l.changes)-drop > 8 {
		return
	}
	l.baseDigest = l.changes[drop-1].digest
	l.baseNumber += uint64(drop)
	l.changes = append([]logEntry(nil), l.changes[drop:]...)
	l.bytes = bytes
}

// digestAt returns the digest of the state at a number. ok is false if the log does not reach back
// that far.
func (l *Log) digestAt(number uint64) (digest uint64, ok bool) {
	switch {
	case number < l.baseNumber || number > l.Last():
		return 0, false
	case number == l.baseNumber:
		return l.baseDigest, true
	}
	return l.changes[number-l.baseNumber-1].digest, true
}

// changesAfter returns the changes after a number: as many as fit limit encoded bytes, and at least
// one. It returns nil if there are none or the log does not reach back that far.
func (l *Log) changesAfter(number uint64, limit int) *Batch {
	before, ok := l.digestAt(number)
	if !ok || number == l.Last() {
		return nil
	}
	b := &Batch{From: number, Before: before}
	size := 0
	for _, c := range l.changes[number-l.baseNumber:] {
		size += changeSize(c.change)
		if size > limit && len(b.Changes) > 0 {
			break
		}
		b.Changes = append(b.Changes, c.change)
		b.After = c.digest
	}
	return b
}
