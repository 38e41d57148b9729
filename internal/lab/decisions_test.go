package lab

import (
	"fmt"
	"testing"
)

// BenchmarkDecision measures the cost of a request in the balancer by the number of relays.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, err := NewDecisionHarness(n)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Request()
			}
			if d.OpenConnections() < min(n, 30)/2 {
				b.Fatalf("%d connections are open: the balancer places no requests", d.OpenConnections())
			}
		})
	}
}

// The measured balancer must do real work: connections are open, and the measurements are for the
// requested numbers of relays. A balancer that places no requests would measure as cheap.
func TestMeasureDecisionsPlacesRequests(t *testing.T) {
	d, err := NewDecisionHarness(50)
	if err != nil {
		t.Fatal(err)
	}
	if d.OpenConnections() < 40 {
		t.Errorf("%d of 50 connections are open, want at least 40", d.OpenConnections())
	}
	list, err := MeasureDecisions([]int{10, 40}, 1e6)
	if err != nil || len(list) != 2 || list[1].Relays != 40 || list[0].Cost <= 0 {
		t.Errorf("costs at 10 and 40 relays: %v, %v", list, err)
	}
}
