package keeper

import (
	"net/netip"

	pb "go.etcd.io/raft/v3/raftpb"

	"ospreyspan/internal/owner"
)

// Output is the work that a Core hands to its caller. The caller takes it after each call and
// carries it out, the writes first. Nothing in Messages or Responses depends on a write that has
// not been reported by Core.Synced.
type Output struct {
	Append    []byte // appended to the log and synced; nil: nothing
	Replace   []byte // replaces the whole log atomically; nil: nothing
	Messages  []*pb.Message
	Responses []Response
	Hellos    []Hello
	Stopped   error // why the keeper has stopped; nil: it runs
}

// Hello tells another keeper the identity of this keeper's disk.
type Hello struct {
	To      uint64
	IsReply bool // a reply to the hello of To; otherwise To is to reply
}

// Response is the response to a lease request or a floors request.
type Response struct {
	To            netip.AddrPort
	Leases        *owner.LeaseResponse // response to a lease request; nil for a floors request
	FloorsRequest *FloorsRequest       // the request that Floors answers; nil for a lease request
	Floors        map[string]uint64    // latest token by lease name
}
