package owner

import (
	"testing"
	"time"
)

var t0 = time.Unix(1e9, 0)

func told(a *LeaseRequest, token uint64, mine bool) *LeaseResponse {
	return &LeaseResponse{Session: a.Session, Seq: a.Seq, Leases: []LeaseStatus{{Lease: "d", Token: token, Mine: mine, Holder: "x"}}}
}

// The lease counts from before the asking, however late the answer comes.
func TestLeaseCountsFromTheAsking(t *testing.T) {
	terms := DefaultTerms()
	c := NewLeaseClient(terms, 7, "x", Flaws{})
	c.SetLeases([]string{"d"})
	a := c.NextRequest(t0)
	late := t0.Add(terms.Lease / 2)
	c.HandleResponse(late, told(a, 3, true))
	if token, ok := c.Holds(late, "d"); !ok || token != 3 {
		t.Fatalf("token %d, %v", token, ok)
	}
	if _, ok := c.Holds(t0.Add(terms.HolderTimeout()), "d"); ok {
		t.Error("it holds the lease a whole lease after it asked")
	}
	if c.HandleResponse(late, told(a, 4, true)) {
		t.Error("an answer counts twice")
	}
}

// An Ask without an answer is repeated as it was; an answer to one that was replaced does not count.
func TestAskIsRepeatedThenReplaced(t *testing.T) {
	terms := DefaultTerms()
	c := NewLeaseClient(terms, 7, "x", Flaws{})
	c.SetLeases([]string{"d"})
	first := c.NextRequest(t0)
	if again := c.NextRequest(t0.Add(terms.Lease / 4)); again != first {
		t.Fatalf("%+v in place of %+v", again, first)
	}
	second := c.NextRequest(t0.Add(terms.Lease * 2))
	if second.Seq != first.Seq+1 {
		t.Fatalf("%+v after %+v", second, first)
	}
	if c.HandleResponse(t0.Add(terms.Lease*2), told(first, 1, true)) {
		t.Error("a grant that was asked for two leases ago counts")
	}
}

// What is not wanted any more is given back.
func TestDrop(t *testing.T) {
	c := NewLeaseClient(DefaultTerms(), 7, "x", Flaws{})
	c.SetLeases([]string{"d"})
	c.HandleResponse(t0, told(c.NextRequest(t0), 3, true))
	c.SetLeases(nil)
	if _, ok := c.Holds(t0, "d"); ok {
		t.Error("it acts under a lease that it gives back")
	}
	c.RequestNow(t0)
	if a := c.NextRequest(t0); a == nil || !a.Claims[0].Drop || a.Claims[0].Token != 3 {
		t.Errorf("%+v", a)
	}
}

// A chain of three owners that wake up in the reverse order: only the latest one's effects are taken, and a receiver that
// restarted takes none before it knows the floors.
func TestFence(t *testing.T) {
	f := NewFence(Flaws{})
	if f.Accept("d", 9) {
		t.Error("a receiver that knows nothing takes an effect")
	}
	f.Open(map[string]uint64{"d": 2})
	for _, tt := range []struct {
		token uint64
		taken bool
	}{{3, true}, {2, false}, {1, false}, {3, true}, {4, true}, {3, false}} {
		if got := f.Accept("d", tt.token); got != tt.taken {
			t.Errorf("token %d: taken %v", tt.token, got)
		}
	}
	if !f.Accept("other", 1) {
		t.Error("leases have fences of their own")
	}
}

// One of hundreds that wait for a lease asks seldom; who holds it renews as ever.
func TestIdleClaimantsAskSeldom(t *testing.T) {
	terms := DefaultTerms()
	for _, mine := range []bool{true, false} {
		c := NewLeaseClient(terms, 7, "x", Flaws{})
		c.SetLeases([]string{"d"})
		c.SetIdleInterval(10 * terms.Lease)
		c.HandleResponse(t0, told(c.NextRequest(t0), 3, mine))
		if soon := c.Due().Sub(t0) < terms.Lease; soon != mine {
			t.Errorf("holds it: %v, asks again after %v", mine, c.Due().Sub(t0))
		}
		if !c.HasOwner(t0.Add(terms.Lease*11), "d") && !mine {
			t.Error("between two questions it forgets that there is an owner")
		}
	}
}
