package duty

import (
	"math"
	"testing"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/peers"
)

var now = time.Unix(1e9, 0)

// One probe serves all requests that arrive until it ends and shortly after; a later request starts
// another probe.
func TestProbeOwnerSharesProbes(t *testing.T) {
	o := NewProbeOwner[int]()
	if a, probe := o.Request(now, "s", Requester[int]{1, 1}); a != nil || !probe {
		t.Fatal("first request starts no probe")
	}
	if a, probe := o.Request(now, "s", Requester[int]{2, 1}); a != nil || probe {
		t.Fatal("second request starts another probe")
	}
	list, a := o.Complete(now.Add(5*time.Millisecond), "s", true, balance.Report{Load: 0.5})
	if len(list) != 2 || a.Failed || a.Report[0] != 0.5 {
		t.Fatalf("%v, %+v", list, a)
	}
	if a, probe := o.Request(now.Add(50*time.Millisecond), "s", Requester[int]{3, 1}); a == nil || probe || a.AgeUS != 45000 {
		t.Fatalf("fresh report not used: %+v", a)
	}
	if a, probe := o.Request(now.Add(time.Second), "s", Requester[int]{3, 2}); a != nil || !probe {
		t.Fatalf("old report used: %+v", a)
	}
	if _, a := o.Complete(now.Add(time.Second), "s", false, balance.Report{}); !a.Failed {
		t.Error("failed probe not marked as failed")
	}
}

// A report's age counts from the time the request was sent: a response that the network delayed is
// old, whatever age the owner states. Duplicate responses, responses to superseded requests and
// malformed reports are not used.
func TestLateResponsesAreNotFresh(t *testing.T) {
	a := &ProbeResponse{Target: "s", AgeUS: 100000, Report: encodeReport(balance.Report{Load: 0.5, CPU: math.NaN()})}
	for _, tt := range []struct {
		after        time.Duration
		fresh, known bool
	}{{50 * time.Millisecond, true, true}, {150 * time.Millisecond, false, true}} {
		c := NewProbeClient(7)
		seq, late := c.BeginRequest(now, "s")
		rep, fresh, known := c.HandleResponse(now.Add(tt.after), seq, a)
		if fresh != tt.fresh || known != tt.known || fresh && rep.Load != 0.5 {
			t.Errorf("after %v: %+v, fresh %v, known %v", tt.after, rep, fresh, known)
		}
		if _, _, again := c.HandleResponse(now, seq, a); again || c.Expire("s", seq) || !late.After(now) {
			t.Error("response accepted twice, or deadline not after the request")
		}
	}
	c := NewProbeClient(7)
	old, _ := c.BeginRequest(now, "s")
	seq, _ := c.BeginRequest(now.Add(time.Second), "s")
	if _, _, known := c.HandleResponse(now.Add(time.Second), old, a); known || !c.Expire("s", seq) || c.Expire("s", seq) {
		t.Error("response to a superseded request accepted, or request expired twice or not at all")
	}
	for _, bad := range [][]float64{nil, {1}, {-1, 0, 0, 0, 0, 0, 0}, {math.Inf(1), 0, 0, 0, 0, 0, 0}} {
		seq, _ := c.BeginRequest(now, "s")
		if _, fresh, known := c.HandleResponse(now, seq, &ProbeResponse{Target: "s", Report: bad}); fresh || !known {
			t.Errorf("malformed report %v accepted as fresh", bad)
		}
	}
}

// For the same members, each part has exactly one claimant, and if a member is removed, only its
// parts move.
func TestProbePartsAreDivided(t *testing.T) {
	var all []peers.Member
	for i := range uint64(9) {
		all = append(all, peers.Member{Session: 100 + i})
	}
	owner := func(list []peers.Member) map[string]uint64 {
		m := make(map[string]uint64)
		for _, p := range list {
			for _, part := range ProbePartsOf(p.Session, list) {
				if m[part] != 0 {
					t.Errorf("%s has more than one claimant", part)
				}
				m[part] = p.Session
			}
		}
		if len(m) != ProbeParts {
			t.Errorf("%d of %d parts claimed", len(m), ProbeParts)
		}
		return m
	}
	before, after := owner(all), owner(all[1:])
	for part, s := range before {
		if s != 100 && after[part] != s {
			t.Errorf("%s moved from member %d to %d although %d is still live", part, s, after[part], s)
		}
	}
}
