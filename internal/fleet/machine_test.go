package fleet

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6*math.Max(1, math.Abs(b)) }

// The backlog grows while the load exceeds the capacity, and shrinks afterwards at the rate that
// the load leaves free.
func TestBacklog(t *testing.T) {
	m := NewMachine(start, MachineConfig{Cores: 2, Speed: 1.5, MessageWork: 0.004})
	m.AddLoad(start, 4) // of a capacity of 3
	if !approxEqual(m.Utilization(start), 4.0/3) {
		t.Errorf("utilization %v, want 4/3", m.Utilization(start))
	}
	// An excess of 1 over 3 s is 3 s of work, which takes 1 s at a capacity of 3.
	if got := m.BacklogTime(after(3 * time.Second)); got != time.Second {
		t.Errorf("backlog time after 3 s: %v, want 1s", got)
	}
	m.AddLoad(after(3*time.Second), -2)
	if got := m.BacklogTime(after(5 * time.Second)); got.Round(time.Millisecond) != 333*time.Millisecond {
		t.Errorf("backlog time after 5 s: %v, want 333ms", got)
	}
	if got := m.BacklogTime(after(time.Minute)); got != 0 {
		t.Errorf("backlog time after 1 min: %v, want 0", got)
	}
	m.SetSlowdown(after(time.Minute), 3)
	m.SetNeighbourShare(after(time.Minute), 0.5)
	if c := m.Capacity(after(time.Minute)); !approxEqual(c, 0.5) {
		t.Errorf("capacity when three times slower with half of it taken: %v, want 0.5", c)
	}
	m.AddLoad(after(time.Minute), -5)
	if m.OfferedLoad() != 0 {
		t.Errorf("offered load %v after all connections ended, want 0", m.OfferedLoad())
	}
}

// The capacity of a machine grows linearly from its cold fraction to the whole.
func TestWarmUp(t *testing.T) {
	m := NewMachine(start, MachineConfig{Cores: 1, Speed: 1, ColdFrom: 0.2, WarmUp: 20 * time.Second, FallMultiple: 3, FallWithin: 1500 * time.Millisecond})
	for d, want := range map[time.Duration]float64{0: 0.2, 10 * time.Second: 0.6, 20 * time.Second: 1, time.Hour: 1} {
		if got := m.Capacity(after(d)); !approxEqual(got, want) {
			t.Errorf("capacity after %v: %v, want %v", d, got, want)
		}
	}
}

// A cold machine crashes when its load exceeds the multiple for as long as FallWithin, but not
// after shorter overloads, and never once it is warm.
func TestFallsUnderColdOverload(t *testing.T) {
	c := MachineConfig{Cores: 1, Speed: 1, ColdFrom: 0.2, WarmUp: 20 * time.Second, FallMultiple: 3, FallWithin: 1500 * time.Millisecond}
	m := NewMachine(start, c)
	m.AddLoad(start, 1)
	for d := time.Duration(0); d <= 1400*time.Millisecond; d += 100 * time.Millisecond {
		if m.ColdOverload(after(d)) {
			t.Fatalf("crashed after %v, want 1.5s", d)
		}
	}
	if !m.ColdOverload(after(1500 * time.Millisecond)) {
		t.Error("did not crash after 1.5 s at five times its capacity")
	}
	m = NewMachine(start, c)
	m.AddLoad(start, 1)
	m.ColdOverload(start)
	m.AddLoad(after(time.Second), -1)
	m.ColdOverload(after(time.Second))
	m.AddLoad(after(1100*time.Millisecond), 1)
	if m.ColdOverload(after(1600 * time.Millisecond)) {
		t.Error("crashed after two overloads that were each shorter than 1.5 s")
	}
	c.WarmUp = 0
	m = NewMachine(start, c)
	m.AddLoad(start, 100)
	if m.ColdOverload(start); m.ColdOverload(after(time.Minute)) {
		t.Error("a warm machine crashed")
	}
}

// Message delays grow with utilization, and are much longer near full capacity.
func TestDelayGrowsWithLoad(t *testing.T) {
	mean := func(load float64) time.Duration {
		rng := rand.New(rand.NewPCG(1, 2))
		m := NewMachine(start, MachineConfig{Cores: 3, Speed: 1, MessageWork: 0.005})
		m.AddLoad(start, 3*load)
		sum := time.Duration(0)
		for range 2000 {
			sum += m.Delay(start, rng)
		}
		return sum / 2000
	}
	idle, half, busy, full := mean(0), mean(0.5), mean(0.9), mean(0.99)
	if idle < 4500*time.Microsecond || idle > 5500*time.Microsecond || half <= idle || busy < half+2*time.Millisecond || full < 60*time.Millisecond {
		t.Errorf("mean delays: idle %v, half %v, busy %v, full %v; want idle 4.5ms to 5.5ms, half above idle, busy at least 2ms above half, full at least 60ms", idle, half, busy, full)
	}
}

// Wanted and served seconds fall into the right one-second buckets, and the worst window is found.
func TestLedger(t *testing.T) {
	l := NewLedger(start, 30*time.Second, []Class{{Name: "a", Worth: 3}, {Name: "b", Worth: 1}})
	l.addWanted(0, after(-5*time.Second), after(30*time.Second))
	l.addServed(0, after(-5*time.Second), after(12500*time.Millisecond))
	l.addServed(0, after(20*time.Second), after(40*time.Second))
	l.addWanted(1, after(0), after(30*time.Second))
	l.addServed(1, after(0), after(30*time.Second))
	if got := l.Service(0, 0, 30); !approxEqual(got, 22.5/30) {
		t.Errorf("service of class a: %v, want 22.5/30", got)
	}
	if got := l.Service(-1, 0, 30); !approxEqual(got, (3*22.5+30)/(4*30)) {
		t.Errorf("service of all classes: %v, want 97.5/120", got)
	}
	if got, from := l.WorstWindow(); !approxEqual(got, (3*2.5+10)/40) || from < 10 || from > 12 {
		t.Errorf("worst window: %v from second %d, want 17.5/40 from second 10 to 12", got, from)
	}
	if got := l.Service(0, 12, 13); !approxEqual(got, 0.5) {
		t.Errorf("service of class a in second 12: %v, want 0.5", got)
	}
}
