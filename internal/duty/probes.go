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

// Probes is the name by which operators assign the duty of probing targets to a process: the
// process shares the results of probes and may own parts of the targets.
const Probes = "probes"

// ProbeParts is the number of parts into which the targets are divided. Each part has its own
// lease, named probes/0, probes/1 and so on.
const ProbeParts = 8

const (
	// maxReportAge is the maximum age at which a report can replace a probe of one's own. It equals
	// the maximum age of the reports that package balance uses when it samples targets.
	maxReportAge = 200 * time.Millisecond
	// maxCachedAge is the maximum age at which the owner sends a cached report. It is below
	// maxReportAge because the response takes time to arrive.
	maxCachedAge = 120 * time.Millisecond
	// responseTimeout is how long a requester waits for the owner before it acts on its own.
	responseTimeout = 120 * time.Millisecond

	maxWaiting       = 1024 // requests that wait for the end of a probe
	maxCachedReports = 4096
	maxTargetIDBytes = 128
	reportFields     = 7
)

// ProbePart returns the name of the lease for the part that a target belongs to.
func ProbePart(target string) string {
	return fmt.Sprintf("probes/%d", xxhash.Sum64String(target)%ProbeParts)
}

// ProbePartsOf returns the names of the leases that the process with the given session is to claim.
// They are assigned by rendezvous hashing (Thaler and Ravishankar, 1998): exactly one of the
// members claims each part, and if a member joins or leaves, only the parts that it gains or loses
// move.
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

// preferredOwner returns the session of the member with the highest weight for a part, or 0 if
// there are no members. Equal weights are decided by the higher session.
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

// rendezvousWeight returns the weight of a member for a part, which is the hash of the part's name,
// a space and the session in decimal.
func rendezvousWeight(part string, session uint64) uint64 {
	var buffer [64]byte
	key := append(append(buffer[:0], part...), ' ')
	return xxhash.Sum64(strconv.AppendUint(key, session, 10))
}

// ProbeRequest is a request to the owner of a part for a target's report.
type ProbeRequest struct {
	Target string `cbor:"1,keyasint"`
}

// ProbeResponse is the owner's response to a ProbeRequest: a report and its age. If Failed is set,
// the requester probes the target itself: its own probe may succeed.
type ProbeResponse struct {
	Target string    `cbor:"1,keyasint"`
	Failed bool      `cbor:"2,keyasint,omitempty"` // the owner's own probe failed; Report is not to be used
	AgeUS  int64     `cbor:"3,keyasint"`           // age when sent, in microseconds
	Report []float64 `cbor:"4,keyasint"`           // see encodeReport
}

// encodeReport returns the values of a report as a list. A value that is not reported must be
// NaN: decodeReport rejects negative values.
func encodeReport(report balance.Report) []float64 {
	return []float64{report.Load, report.CPU, report.Active, report.Waiting, report.Latency, report.Rate, report.Errors}
}

// decodeReport returns the report that encodeReport encoded. The result ok is false if it is
// malformed.
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

// Encode returns the encoded request.
func (r *ProbeRequest) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Encode returns the encoded response.
func (r *ProbeResponse) Encode() ([]byte, error) { return cbor.Marshal(r) }

// DecodeProbeRequest decodes a request. A request without a target, or with a target's name of more
// than 128 bytes, is an error.
func DecodeProbeRequest(data []byte) (*ProbeRequest, error) {
	var request ProbeRequest
	if err := cbor.Unmarshal(data, &request); err != nil || request.Target == "" || len(request.Target) > maxTargetIDBytes {
		return nil, fmt.Errorf("duty: invalid probe request (target name of %d bytes, allowed 1 to %d): %w", len(request.Target), maxTargetIDBytes, err)
	}
	return &request, nil
}

// DecodeProbeResponse decodes a response. A response with a negative age is an error.
func DecodeProbeResponse(data []byte) (*ProbeResponse, error) {
	var response ProbeResponse
	if err := cbor.Unmarshal(data, &response); err != nil || response.AgeUS < 0 {
		return nil, fmt.Errorf("duty: invalid probe response (age %d µs, at least 0 allowed): %w", response.AgeUS, err)
	}
	return &response, nil
}

// Requester identifies a request that waits at the owner for the end of a probe.
type Requester[A any] struct {
	To  A      // address of the process that made the request
	Seq uint64 // sequence number of the request
}

// ProbeOwner is the owner's side of shared probing. It combines concurrent requests for a target
// into one probe and serves later ones from a cache while the report is fresh.
type ProbeOwner[A any] struct {
	cache        map[string]cachedReport   // by target
	waiting      map[string][]Requester[A] // by target
	waitingCount int                       // requests in waiting, for all targets
}

// cachedReport is a report and the time at which its probe ended.
type cachedReport struct {
	probedAt time.Time
	report   balance.Report
}

// NewProbeOwner returns a ProbeOwner with an empty cache.
func NewProbeOwner[A any]() *ProbeOwner[A] {
	return &ProbeOwner[A]{cache: make(map[string]cachedReport), waiting: make(map[string][]Requester[A])}
}

// Request handles a request for a target's report. If a fresh report is cached, Request returns the
// response. Otherwise response is nil and the requester waits for the end of a probe; the caller
// must start one if probe is true. While 1,024 requests wait, further ones are dropped; their
// senders probe the target themselves after a timeout.
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

// Complete handles the end of a probe; ok reports whether it succeeded, with the given report. It
// returns the requesters that wait for the probe and the response to send to them.
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

// ProbeClient is the requester's side of shared probing. It tracks the requests in progress.
type ProbeClient struct {
	pending map[string]pendingRequest // by target
	lastSeq uint64                    // sequence number of the last request
}

// pendingRequest is a request that has not been answered.
type pendingRequest struct {
	seq    uint64
	sentAt time.Time
}

// NewProbeClient returns a ProbeClient without requests. The sequence numbers of its requests
// follow firstSeq, which must differ each time the process starts: otherwise a late response to a
// request from before a restart could be taken for a fresh report.
func NewProbeClient(firstSeq uint64) *ProbeClient {
	return &ProbeClient{lastSeq: firstSeq, pending: make(map[string]pendingRequest)}
}

// BeginRequest records that a request for a target's report is sent. It returns the request's
// sequence number and the time until which to wait for the response.
func (c *ProbeClient) BeginRequest(now time.Time, target string) (seq uint64, deadline time.Time) {
	c.lastSeq++
	c.pending[target] = pendingRequest{c.lastSeq, now}
	return c.lastSeq, now.Add(responseTimeout)
}

// HandleResponse handles a response. The result known is false if no pending request matches it.
// The result fresh reports whether the report is recent enough to replace a probe of one's own; its
// age counts from the time the request was sent, so that network delay cannot make it look newer.
// If known is true and fresh is false, the caller must probe the target itself.
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

// Expire abandons a request after its deadline and reports whether it was still pending. If so, the
// caller must probe the target itself.
func (c *ProbeClient) Expire(target string, seq uint64) bool {
	if request, ok := c.pending[target]; !ok || request.seq != seq {
		return false
	}
	delete(c.pending, target)
	return true
}
