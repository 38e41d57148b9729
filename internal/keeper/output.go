package keeper

import (
	"net/netip"

	pb "go.etcd.io/raft/v3/raftpb"

	"ospreyspan/internal/owner"
)

// Output is what a Core wants done. Whoever drives it takes it after each call and carries it out, the disk first. Nothing in
// Messages or Responses depends on a write that has not been reported by Synced.
type Output struct {
	Append    []byte // to be written behind the log and synced
	Replace   []byte // to be written in the log's place, all or nothing
	Messages  []*pb.Message
	Responses []Response
	Hellos    []Hello
	Stopped   error // the member must end
}

// Hello tells another keeper under which disk this one speaks.
type Hello struct {
	To      uint64
	IsReply bool // else one is wanted
}

// Response is the response to a request of leases or of floors, and where it goes.
type Response struct {
	To            netip.AddrPort
	Leases        *owner.LeaseResponse // to a lease request
	FloorsRequest *FloorsRequest       // with Floors: the request
	Floors        map[string]uint64    // latest token by lease
}
