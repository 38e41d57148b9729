package duty

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ospreyspan/balance"
	"ospreyspan/internal/peers"
)

// Probes is the name by which operators have a process share probes and take parts of them.
const Probes = "probes"

// ProbeParts is into how many parts the targets are divided; each part has a lease of its own, probes/0 and on.
const ProbeParts = 8

const (
	// reportFresh is how old a report may be for it to pass for one's own probe, as for the decision module's scans.
	reportFresh = 200 * time.Millisecond
	// cacheFresh is how old a report may be that the owner sends: its way takes time too.
	cacheFresh = 120 * time.Millisecond
	// responseTimeout is how long an owner's response may take before the requester probes itself.
	responseTimeout = 120 * time.Millisecond

	mostWaiting  = 1024 // requests that wait for probes
	mostCached   = 4096 // reports
	mostTargetID = 128  // bytes
	reportFields = 7
)

// ProbePart is the lease for the probes of a target.
func ProbePart(target string) string {
	return fmt.Sprintf("probes/%d", xxhash.Sum64String(target)%ProbeParts)
}

// ProbePartsOf returns the parts for which a process is first among the members by rendezvous hashing (Thaler and
// Ravishankar, 1998): of those who live, each part has one who claims it, and a change of members moves only its parts.
func ProbePartsOf(session uint64, members []peers.Member) []string {
	var mine []string
	for i := range ProbeParts {
		part := fmt.Sprintf("probes/%d", i)
		if firstOf(part, members) == session {
			mine = append(mine, part)
		}
	}
	return mine
}

// firstOf returns the session of the member that is first for a part, 0 if there are no members.
func firstOf(part string, members []peers.Member) uint64 {
	first, highest := uint64(0), uint64(0)
	for i := range members {
		session := members[i].Session
		if weight := rank(part, session); weight > highest || weight == highest && session > first {
			first, highest = session, weight
		}
	}
	return first
}

// rank is the weight of a member for a part: the hash of "part session".
func rank(part string, session uint64) uint64 {
	var buffer [64]byte
	key := append(append(buffer[:0], part...), ' ')
	return xxhash.Sum64(strconv.AppendUint(key, session, 10))
}

// ProbeRequest asks the owner of a part for a target's report.
type ProbeRequest struct {
	Target string `cbor:"1,keyasint"`
}

// ProbeResponse carries a report and its age at the owner.
type ProbeResponse struct {
	Target string    `cbor:"1,keyasint"`
	Failed bool      `cbor:"2,keyasint,omitempty"` // the owner's probe failed, which says nothing of probes from here
	AgeUS  int64     `cbor:"3,keyasint"`           // microseconds
	Report []float64 `cbor:"4,keyasint"`           // see encodeReport
}

// encodeReport writes a report as a list; a figure that is absent is NaN.
func encodeReport(r balance.Report) []float64 {
	return []float64{r.Load, r.CPU, r.Active, r.Waiting, r.Latency, r.Rate, r.Errors}
}

// decodeReport reads a report; ok is false for a malformed one.
func decodeReport(f []float64) (r balance.Report, ok bool) {
	if len(f) != reportFields {
		return r, false
	}
	for _, x := range f {
		if math.IsInf(x, 0) || x < 0 {
			return r, false
		}
	}
	return balance.Report{Load: f[0], CPU: f[1], Active: f[2], Waiting: f[3], Latency: f[4], Rate: f[5], Errors: f[6]}, true
}

// Encode writes a request.
func (a *ProbeRequest) Encode() ([]byte, error) { return cbor.Marshal(a) }

// Encode writes a response.
func (a *ProbeResponse) Encode() ([]byte, error) { return cbor.Marshal(a) }

// DecodeProbeRequest reads a request. One without a target or with a name above 128 bytes is an error.
func DecodeProbeRequest(text []byte) (*ProbeRequest, error) {
	var a ProbeRequest
	if err := cbor.Unmarshal(text, &a); err != nil || a.Target == "" || len(a.Target) > mostTargetID {
		return nil, fmt.Errorf("duty: not a question for a report: %w", err)
	}
	return &a, nil
}

// DecodeProbeResponse reads a response. A negative age is an error.
func DecodeProbeResponse(text []byte) (*ProbeResponse, error) {
	var a ProbeResponse
	if err := cbor.Unmarshal(text, &a); err != nil || a.AgeUS < 0 {
		return nil, fmt.Errorf("duty: not a report: %w", err)
	}
	return &a, nil
}

// Requester is a process that waits for a report at the owner: its address and the number of its request.
type Requester[A any] struct {
	To  A
	Seq uint64
}

// ProbeOwner is the owner's side: it probes a target once for all requests within a short time.
type ProbeOwner[A any] struct {
	cache   map[string]cachedReport   // by target
	waiting map[string][]Requester[A] // by target
	count   int                       // of all that wait
}

// cachedReport is a report and when its probe ended.
type cachedReport struct {
	at  time.Time
	rep balance.Report
}

// NewProbeOwner returns an owner that has probed nothing.
func NewProbeOwner[A any]() *ProbeOwner[A] {
	return &ProbeOwner[A]{cache: make(map[string]cachedReport), waiting: make(map[string][]Requester[A])}
}

// Request takes a request. Either a response is there at once, or the requester waits, and probe says that a probe is to go out. One
// above the bound is dropped: it will probe itself.
func (o *ProbeOwner[A]) Request(now time.Time, target string, from Requester[A]) (response *ProbeResponse, probe bool) {
	if c, ok := o.cache[target]; ok && now.Sub(c.at) <= cacheFresh {
		return &ProbeResponse{Target: target, AgeUS: now.Sub(c.at).Microseconds(), Report: encodeReport(c.rep)}, false
	}
	if o.count >= mostWaiting {
		return nil, false
	}
	o.count++
	o.waiting[target] = append(o.waiting[target], from)
	return nil, len(o.waiting[target]) == 1
}

// Complete takes the end of a probe, with its report if ok, and returns who waits for it and the response for them.
func (o *ProbeOwner[A]) Complete(now time.Time, target string, ok bool, rep balance.Report) ([]Requester[A], *ProbeResponse) {
	if ok {
		if len(o.cache) >= mostCached {
			clear(o.cache)
		}
		o.cache[target] = cachedReport{now, rep}
	}
	list := o.waiting[target]
	delete(o.waiting, target)
	o.count -= len(list)
	if len(list) == 0 {
		return nil, nil
	}
	return list, &ProbeResponse{Target: target, Failed: !ok, Report: encodeReport(rep)}
}

// ProbeClient is the requester's side.
type ProbeClient struct {
	pending map[string]pendingRequest // by target
	seq     uint64                    // of the last request
}

// pendingRequest is a request without a response.
type pendingRequest struct {
	seq    uint64
	sentAt time.Time
}

// NewProbeClient returns a client without requests. They are numbered from first on, which must differ from life to life: a late
// response to a request of a former one must not pass for a fresh report.
func NewProbeClient(first uint64) *ProbeClient {
	return &ProbeClient{seq: first, pending: make(map[string]pendingRequest)}
}

// Begin notes that a request goes out, and returns its number and until when its response is waited for.
func (c *ProbeClient) Begin(now time.Time, target string) (seq uint64, deadline time.Time) {
	c.seq++
	c.pending[target] = pendingRequest{c.seq, now}
	return c.seq, now.Add(responseTimeout)
}

// HandleResponse takes a response; known is false if it is to no pending request. fresh says that its report passes for an own
// probe's: its age is counted from before the request went out, whatever the way took. With known and not fresh the target is to be
// probed here.
func (c *ProbeClient) HandleResponse(now time.Time, seq uint64, a *ProbeResponse) (rep balance.Report, fresh, known bool) {
	q, ok := c.pending[a.Target]
	if !ok || q.seq != seq {
		return rep, false, false
	}
	delete(c.pending, a.Target)
	rep, ok = decodeReport(a.Report)
	age := now.Sub(q.sentAt) + time.Duration(a.AgeUS)*time.Microsecond
	return rep, ok && !a.Failed && age <= reportFresh, true
}

// Expire tells whether a request still has no response, and gives it up; the target is then to be probed here.
func (c *ProbeClient) Expire(target string, seq uint64) bool {
	if q, ok := c.pending[target]; !ok || q.seq != seq {
		return false
	}
	delete(c.pending, target)
	return true
}
