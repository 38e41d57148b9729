package owner

import (
	"testing"
	"time"
)

var start = time.Unix(1e9, 0)

func responseTo(request *LeaseRequest, token uint64, mine bool) *LeaseResponse {
	return &LeaseResponse{Session: request.Session, Seq: request.Seq, Leases: []LeaseStatus{{Lease: "d", Token: token, Mine: mine, Holder: "x"}}}
}

// A grant counts from before its request was sent, however late the response arrives.
func TestLeaseCountsFromRequest(t *testing.T) {
	terms := DefaultTerms()
	c := NewLeaseClient(terms, 7, "x", Flaws{})
	c.SetLeases([]string{"d"})
	request := c.NextRequest(start)
	late := start.Add(terms.Lease / 2)
	c.HandleResponse(late, responseTo(request, 3, true))
	if token, ok := c.Holds(late, "d"); !ok || token != 3 {
		t.Fatalf("token %d, held %v; want token 3, held", token, ok)
	}
	if _, ok := c.Holds(start.Add(terms.HolderTimeout()), "d"); ok {
		t.Error("the client still holds the lease HolderTimeout after its request")
	}
	if c.HandleResponse(late, responseTo(request, 4, true)) {
		t.Error("a second response to the same request was accepted")
	}
}

// A request without a response is repeated unchanged. A response to a request that has been
// replaced is ignored.
func TestRequestIsRepeatedThenReplaced(t *testing.T) {
	terms := DefaultTerms()
	c := NewLeaseClient(terms, 7, "x", Flaws{})
	c.SetLeases([]string{"d"})
	first := c.NextRequest(start)
	if again := c.NextRequest(start.Add(terms.Lease / 4)); again != first {
		t.Fatalf("request %+v was sent in place of a repetition of %+v", again, first)
	}
	second := c.NextRequest(start.Add(terms.Lease * 2))
	if second.Seq != first.Seq+1 {
		t.Fatalf("request %+v follows %+v", second, first)
	}
	if c.HandleResponse(start.Add(terms.Lease*2), responseTo(first, 1, true)) {
		t.Error("the response to a request of two lease durations ago was accepted")
	}
}

// A lease that is no longer wanted is released.
func TestUnwantedLeaseIsReleased(t *testing.T) {
	c := NewLeaseClient(DefaultTerms(), 7, "x", Flaws{})
	c.SetLeases([]string{"d"})
	c.HandleResponse(start, responseTo(c.NextRequest(start), 3, true))
	c.SetLeases(nil)
	if _, ok := c.Holds(start, "d"); ok {
		t.Error("the client holds a lease that it is about to release")
	}
	c.RequestNow(start)
	if request := c.NextRequest(start); request == nil || !request.Claims[0].Drop || request.Claims[0].Token != 3 {
		t.Errorf("request %+v, want one that drops token 3", request)
	}
}

// Of a chain of three owners that resume in reverse order, only the effects of the latest one are
// accepted. A receiver that has restarted accepts none before it knows the floors.
func TestFence(t *testing.T) {
	f := NewFence(Flaws{})
	if f.Accept("d", 9) {
		t.Error("a closed fence accepted an effect")
	}
	f.Open(map[string]uint64{"d": 2})
	for _, tt := range []struct {
		token    uint64
		accepted bool
	}{{3, true}, {2, false}, {1, false}, {3, true}, {4, true}, {3, false}} {
		if got := f.Accept("d", tt.token); got != tt.accepted {
			t.Errorf("token %d: accepted %v", tt.token, got)
		}
	}
	if !f.Accept("other", 1) {
		t.Error("the token of one lease affects another lease")
	}
}

// One of hundreds of clients that wait for a lease requests it rarely. The holder renews at the
// usual interval.
func TestIdleClientsRequestRarely(t *testing.T) {
	terms := DefaultTerms()
	for _, mine := range []bool{true, false} {
		c := NewLeaseClient(terms, 7, "x", Flaws{})
		c.SetLeases([]string{"d"})
		c.SetIdleInterval(10 * terms.Lease)
		c.HandleResponse(start, responseTo(c.NextRequest(start), 3, mine))
		if soon := c.Due().Sub(start) < terms.Lease; soon != mine {
			t.Errorf("holds the lease: %v, next request after %v", mine, c.Due().Sub(start))
		}
		if !c.HasOwner(start.Add(terms.Lease*11), "d") && !mine {
			t.Error("HasOwner is false between two requests of an idle client")
		}
	}
}
