package owner

// Fence refuses effects of former owners by their tokens. Whoever restarts must ask the keepers for the floors, the latest token
// of each lease, before it accepts an effect: see Closed.
type Fence struct {
	highestTokens map[string]uint64 // token by lease
	closed        bool
	flaws         Flaws
}

// NewFence returns a Fence that accepts nothing until Open is called: what a receiver that has just started has forgotten
// may have been anything.
func NewFence(f Flaws) *Fence {
	return &Fence{highestTokens: make(map[string]uint64), closed: true, flaws: f}
}

// Closed tells whether the floors have not been learnt yet.
func (f *Fence) Closed() bool { return f.closed }

// Open lets effects in whose tokens are not below the floors: tokens by lease, as the keepers told them.
func (f *Fence) Open(floors map[string]uint64) {
	f.closed = false
	for lease, token := range floors {
		f.highestTokens[lease] = max(f.highestTokens[lease], token)
	}
}

// Accept tells whether an effect may be accepted, and remembers its token. An effect with the highest token so far is accepted:
// what one owner sends in which order is between it and the receiver.
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

// Floor is the least token that is accepted for a lease.
func (f *Fence) Floor(lease string) uint64 { return f.highestTokens[lease] }
