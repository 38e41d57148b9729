package lab

import (
	"fmt"
	"testing"
)

// BenchmarkDecision is what a request costs the module, by the number of relays.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, err := NewDecider(n)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Request()
			}
			if d.Standing() < min(n, 30)/2 {
				b.Fatalf("%d connections stand: it places none", d.Standing())
			}
		})
	}
}

// What is measured is a module at work: connections stand, and the numbers of relays are those that were asked for.
func TestDecisionsMeasureAModuleAtWork(t *testing.T) {
	d, err := NewDecider(50)
	if err != nil {
		t.Fatal(err)
	}
	if d.Standing() < 40 {
		t.Errorf("%d of 50 connections stand", d.Standing())
	}
	list, err := MeasureDecisions([]int{10, 40}, 1e6)
	if err != nil || len(list) != 2 || list[1].Relays != 40 || list[0].Cost <= 0 {
		t.Errorf("%v, %v", list, err)
	}
}
