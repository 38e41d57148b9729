// Package keeper implements the replicated store of leases: which process holds which lease. Three
// or five processes, the keepers, replicate it by Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014; the implementation is go.etcd.io/raft).
//
// State is the replicated state machine and Core drives the Raft library. Both are deterministic
// and do no I/O: events are passed in with their time, Core returns what to write and to send, and
// random choices come from a seed. File is the log on a real disk. No request is acknowledged
// before its entry is durable on a majority of the keepers.
package keeper
