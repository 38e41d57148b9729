package duty

import (
	"math"
	"testing"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/peers"
)

var now = time.Unix(1e9, 0)

// One probe serves all who ask meanwhile and shortly after; later ones cause another.
func TestProbeOwnerSharesProbes(t *testing.T) {
	o := NewProbeOwner[int]()
	if a, probe := o.Request(now, "s", Requester[int]{1, 1}); a != nil || !probe {
		t.Fatal("the first question causes no probe")
	}
	if a, probe := o.Request(now, "s", Requester[int]{2, 1}); a != nil || probe {
		t.Fatal("the second question causes a probe of its own")
	}
	list, a := o.Complete(now.Add(5*time.Millisecond), "s", true, balance.Report{Load: 0.5})
	if len(list) != 2 || a.Failed || a.Report[0] != 0.5 {
		t.Fatalf("%v, %+v", list, a)
	}
	if a, probe := o.Request(now.Add(50*time.Millisecond), "s", Requester[int]{3, 1}); a == nil || probe || a.AgeUS != 45000 {
		t.Fatalf("a fresh report is not used: %+v", a)
	}
	if a, probe := o.Request(now.Add(time.Second), "s", Requester[int]{3, 2}); a != nil || !probe {
		t.Fatalf("an old report is used: %+v", a)
	}
	if _, a := o.Complete(now.Add(time.Second), "s", false, balance.Report{}); !a.Failed {
		t.Error("a probe that failed passes for a report")
	}
}

// A report's age counts from before the question: what a link held is old, whatever its owner said.
func TestLateResponsesAreNotFresh(t *testing.T) {
	a := &ProbeResponse{Target: "s", AgeUS: 100000, Report: encodeReport(balance.Report{Load: 0.5, CPU: math.NaN()})}
	for _, tt := range []struct {
		after        time.Duration
		fresh, known bool
	}{{50 * time.Millisecond, true, true}, {150 * time.Millisecond, false, true}} {
		c := NewProbeClient(7)
		seq, late := c.Begin(now, "s")
		rep, fresh, known := c.HandleResponse(now.Add(tt.after), seq, a)
		if fresh != tt.fresh || known != tt.known || fresh && rep.Load != 0.5 {
			t.Errorf("after %v: %+v, fresh %v, known %v", tt.after, rep, fresh, known)
		}
		if _, _, again := c.HandleResponse(now, seq, a); again || c.Expire("s", seq) || !late.After(now) {
			t.Error("an answer counts twice")
		}
	}
	c := NewProbeClient(7)
	old, _ := c.Begin(now, "s")
	seq, _ := c.Begin(now.Add(time.Second), "s")
	if _, _, known := c.HandleResponse(now.Add(time.Second), old, a); known || !c.Expire("s", seq) || c.Expire("s", seq) {
		t.Error("an answer to an earlier question counts")
	}
	for _, bad := range [][]float64{nil, {1}, {-1, 0, 0, 0, 0, 0, 0}, {math.Inf(1), 0, 0, 0, 0, 0, 0}} {
		seq, _ := c.Begin(now, "s")
		if _, fresh, known := c.HandleResponse(now, seq, &ProbeResponse{Target: "s", Report: bad}); fresh || !known {
			t.Errorf("%v passes for a report", bad)
		}
	}
}

// Each part has exactly one claimant among the same members, and a death moves only the dead one's parts.
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
					t.Errorf("%s has two claimants", part)
				}
				m[part] = p.Session
			}
		}
		if len(m) != ProbeParts {
			t.Errorf("%d parts of %d are claimed", len(m), ProbeParts)
		}
		return m
	}
	before, after := owner(all), owner(all[1:])
	for part, s := range before {
		if s != 100 && after[part] != s {
			t.Errorf("%s moved from %d to %d, though %d lives", part, s, after[part], s)
		}
	}
}
