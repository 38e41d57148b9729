// Package owner implements the client's and the receiver's side of leases. A lease is the right to
// do one piece of work for the whole fleet, such as asking discovery. The keepers grant it to one
// process at a time, its owner. A LeaseClient is the client side in a process: it decides what to
// request and whether the process holds a lease now. A Fence is the receiver side: it refuses
// effects of former owners by their fencing tokens. Both are deterministic: events are passed in
// with their time, and there is no clock, no I/O and no randomness.
//
// A lease only avoids duplicate work; the fence guarantees that no effect of a former owner is
// accepted. A process may stall for any time between its check of the lease and its send, and a
// datagram may arrive arbitrarily late, so Holds can be true when it is called and false when the
// effect arrives. What is certain is that the tokens of a lease only increase from owner to owner,
// and that a Fence that has seen a token accepts none below it.
package owner

// Flaws are deliberate defects that tests enable, to verify that the checks detect each of them.
// The zero value has none.
type Flaws struct {
	LeaseFromResponse bool // a grant counts from its response instead of its request
	NoFence           bool // receivers accept every effect
}
