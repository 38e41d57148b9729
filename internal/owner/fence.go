package owner

// Fence refuses effects of former owners by their tokens. A receiver that has restarted must ask
// the keepers for the floors, the latest token of each lease, before it accepts an effect: see
// Closed.
type Fence struct {
	highestTokens map[string]uint64 // highest token seen, by lease name
	closed        bool              // Open was not called yet: every effect is refused
	flaws         Flaws
}

// NewFence returns a Fence that accepts nothing until Open is called: a receiver that has just
// started does not know which tokens it accepted before.
func NewFence(f Flaws) *Fence {
	return &Fence{highestTokens: make(map[string]uint64), closed: true, flaws: f}
}

// Closed reports whether the Fence still waits for the floors and so refuses every effect.
func (f *Fence) Closed() bool { return f.closed }

// Open opens the Fence for effects whose tokens are not below the floors, the latest tokens by
// lease name that the keepers returned.
func (f *Fence) Open(floors map[string]uint64) {
	f.closed = false
	for lease, token := range floors {
		f.highestTokens[lease] = max(f.highestTokens[lease], token)
	}
}

// Accept reports whether an effect may be accepted, and records its token. An effect with the
// highest token so far is accepted: the order of the effects of one owner is left to the owner and
// the receiver.
func (f *Fence) Accept(lease string, token uint64) bool {
	if f.flaws.NoFence {
		return true
	}
	if f.closed || token < f.highestTokens[lease] {
		return false
	}
	f.highestTokens[lease] = token
	return true
}

// Floor returns the lowest token that is accepted for a lease.
func (f *Fence) Floor(lease string) uint64 { return f.highestTokens[lease] }
