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
	// maxReportAge is how old a report may be for it to pass for one's own probe, as for the decision module's scans.
	maxReportAge = 200 * time.Millisecond
	// maxCachedAge is how old a report may be that the owner sends: its way takes time too.
	maxCachedAge = 120 * time.Millisecond
	// responseTimeout is how long an owner's response may take before the requester probes itself.
	responseTimeout = 120 * time.Millisecond

	maxWaiting       = 1024 // requests that wait for probes
	maxCachedReports = 4096 // reports
	maxTargetIDBytes = 128  // bytes
	reportFields     = 7
)

// ProbePart is the lease for the probes of a target.
func ProbePart(target string) string {
	return fmt.Sprintf("probes/%d", xxhash.Sum64String(target)%ProbeParts)
}

// ProbePartsOf returns the parts for which a process is first among the members by rendezvous hashing (Thaler and
// Ravishankar, 1998): of those who live, each part has one who claims it, and a change of members moves only its parts.
func ProbePartsOf(session uint64, members []peers.Member) []string {
	var parts []string
	for i := range ProbeParts {
		part := fmt.Sprintf("probes/%d", i)
		if preferredOwner(part, members) == session {
			parts = append(parts, part)
		}
	}
	return parts
}

// preferredOwner returns the session of the member that is first for a part, 0 if there are no members.
func preferredOwner(part string, members []peers.Member) uint64 {
	first, highest := uint64(0), uint64(0)
	for i := range members {
		session := members[i].Session
		if weight := rendezvousWeight(part, session); weight > highest || weight == highest && session > first {
			first, highest = session, weight
		}
	}
	return first
}

// rendezvousWeight is the weight of a member for a part: the hash of "part session".
func rendezvousWeight(part string, session uint64) uint64 {
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
func encodeReport(report balance.Report) []float64 {
	return []float64{report.Load, report.CPU, report.Active, report.Waiting, report.Latency, report.Rate, report.Errors}
}

// decodeReport reads a report; ok is false for a malformed one.
func decodeReport(values []float64) (report balance.Report, ok bool) {
	if len(values) != reportFields {
		return report, false
	}
	for _, x := range values {
		if math.IsInf(x, 0) || x < 0 {
			return report, false
		}
	}
	return balance.Report{Load: values[0], CPU: values[1], Active: values[2], Waiting: values[3], Latency: values[4], Rate: values[5], Errors: values[6]}, true
}

// Encode writes a request.
func (r *ProbeRequest) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Encode writes a response.
func (r *ProbeResponse) Encode() ([]byte, error) { return cbor.Marshal(r) }

// DecodeProbeRequest reads a request. One without a target or with a name above 128 bytes is an error.
func DecodeProbeRequest(data []byte) (*ProbeRequest, error) {
	var request ProbeRequest
	if err := cbor.Unmarshal(data, &request); err != nil || request.Target == "" || len(request.Target) > maxTargetIDBytes {
		return nil, fmt.Errorf("duty: not a question for a report: %w", err)
	}
	return &request, nil
}

// DecodeProbeResponse reads a response. A negative age is an error.
func DecodeProbeResponse(data []byte) (*ProbeResponse, error) {
	var response ProbeResponse
	if err := cbor.Unmarshal(data, &response); err != nil || response.AgeUS < 0 {
		return nil, fmt.Errorf("duty: not a report: %w", err)
	}
	return &response, nil
}

// Requester is a process that waits for a report at the owner: its address and the number of its request.
type Requester[A any] struct {
	To  A
	Seq uint64
}

// ProbeOwner is the owner's side: it probes a target once for all requests within a short time.
type ProbeOwner[A any] struct {
	cache        map[string]cachedReport   // by target
	waiting      map[string][]Requester[A] // by target
	waitingCount int                       // of all that wait
}

// cachedReport is a report and when its probe ended.
type cachedReport struct {
	probedAt time.Time
	report   balance.Report
}

// NewProbeOwner returns an owner that has probed nothing.
func NewProbeOwner[A any]() *ProbeOwner[A] {
	return &ProbeOwner[A]{cache: make(map[string]cachedReport), waiting: make(map[string][]Requester[A])}
}

// Request takes a request. Either a response is there at once, or the requester waits, and probe says that a probe is to go out. One
// above the bound is dropped: it will probe itself.
func (o *ProbeOwner[A]) Request(now time.Time, target string, from Requester[A]) (response *ProbeResponse, probe bool) {
	if c, ok := o.cache[target]; ok && now.Sub(c.probedAt) <= maxCachedAge {
		return &ProbeResponse{Target: target, AgeUS: now.Sub(c.probedAt).Microseconds(), Report: encodeReport(c.report)}, false
	}
	if o.waitingCount >= maxWaiting {
		return nil, false
	}
	o.waitingCount++
	o.waiting[target] = append(o.waiting[target], from)
	return nil, len(o.waiting[target]) == 1
}

// Complete takes the end of a probe, with its report if ok, and returns who waits for it and the response for them.
func (o *ProbeOwner[A]) Complete(now time.Time, target string, ok bool, report balance.Report) ([]Requester[A], *ProbeResponse) {
	if ok {
		if len(o.cache) >= maxCachedReports {
			clear(o.cache)
		}
		o.cache[target] = cachedReport{now, report}
	}
	requesters := o.waiting[target]
	delete(o.waiting, target)
	o.waitingCount -= len(requesters)
	if len(requesters) == 0 {
		return nil, nil
	}
	return requesters, &ProbeResponse{Target: target, Failed: !ok, Report: encodeReport(report)}
}

// ProbeClient is the requester's side.
type ProbeClient struct {
	pending map[string]pendingRequest // by target
	lastSeq uint64                    // of the last request
}

// pendingRequest is a request without a response.
type pendingRequest struct {
	seq    uint64
	sentAt time.Time
}

// NewProbeClient returns a client without requests. They are numbered from first on, which must differ from life to life: a late
// response to a request of a former one must not pass for a fresh report.
func NewProbeClient(firstSeq uint64) *ProbeClient {
	return &ProbeClient{lastSeq: firstSeq, pending: make(map[string]pendingRequest)}
}

// Begin notes that a request goes out, and returns its number and until when its response is waited for.
func (c *ProbeClient) Begin(now time.Time, target string) (seq uint64, deadline time.Time) {
	c.lastSeq++
	c.pending[target] = pendingRequest{c.lastSeq, now}
	return c.lastSeq, now.Add(responseTimeout)
}

// HandleResponse takes a response; known is false if it is to no pending request. fresh says that its report passes for an own
// probe's: its age is counted from before the request went out, whatever the way took. With known and not fresh the target is to be
// probed here.
func (c *ProbeClient) HandleResponse(now time.Time, seq uint64, response *ProbeResponse) (report balance.Report, fresh, known bool) {
	request, ok := c.pending[response.Target]
	if !ok || request.seq != seq {
		return report, false, false
	}
	delete(c.pending, response.Target)
	report, ok = decodeReport(response.Report)
	age := now.Sub(request.sentAt) + time.Duration(response.AgeUS)*time.Microsecond
	return report, ok && !response.Failed && age <= maxReportAge, true
}

// Expire tells whether a request still has no response, and gives it up; the target is then to be probed here.
func (c *ProbeClient) Expire(target string, seq uint64) bool {
	if request, ok := c.pending[target]; !ok || request.seq != seq {
		return false
	}
	delete(c.pending, target)
	return true
}
