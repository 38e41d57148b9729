// Package owner has the client's and the receiver's sides of leases. A lease is the right to do one piece of work, such as asking
// discovery, for the whole fleet; the keepers grant it to one process at a time, its owner. A LeaseClient is a process's side of
// the leases that it wants: it says what to request and whether one is held now. A Fence is a receiver's side: it refuses
// effects of former owners by their fencing tokens. Both are pure: events come with their time, there is no clock, no I/O and no
// randomness.
//
// The lease saves work; the fence is the proof. A process may stop for any time between its look at the lease and its
// send, and a datagram may arrive at any later time, so that Holds can be true when it is asked and false when the effect
// arrives. What is certain is that tokens of a lease only grow from owner to owner, and that a Fence which has seen one
// accepts none below it.
package owner

// Flaws are mistakes to be planted in tests, which must find each of them. The zero value has none.
type Flaws struct {
	LeaseFromResponse bool // the lease is counted from the response
	NoFence           bool // receivers accept every effect
}
