package lab

import (
	"testing"
	"time"

	"ospreyspan/internal/fleet"
)

// A cold server bears N + 2√N + 2 requests of mean work, or N + 3√N + 3 where N is under 30.
// Exceeding that violates the rule if over two thirds of the work came from proxies that were told
// of its start.
func TestColdBudget(t *testing.T) {
	now := time.Unix(1e9, 0)
	// A quarter of four cores: N = 2 x 1 x 2 s / 1 s = 4, so the server bears 4 + 6 + 3 requests.
	machine := func() *fleet.Machine {
		return fleet.NewMachine(now, fleet.MachineConfig{Cores: 4, Speed: 1, ColdFrom: 0.25, WarmUp: time.Hour})
	}
	budget := func() *coldBudget {
		return &coldBudget{fallMultiple: 2, fallWithin: 2 * time.Second, meanWork: 1, work: map[string]float64{"half": 0.5}, servers: make(map[string]*coldServer)}
	}
	send := func(b *coldBudget, m *fleet.Machine, n int, every time.Duration, class string, told func(i int) bool) *coldFall {
		for i := range n {
			if f := b.recordRequest(now.Add(time.Duration(i)*every), "s", 1, m, class, told(i)); f != nil {
				return f
			}
		}
		return nil
	}
	all := func(int) bool { return true }
	for _, tt := range []struct {
		name   string
		n      int
		every  time.Duration
		class  string
		told   func(i int) bool
		falls  bool
		broken bool
	}{
		{"at the limit", 13, time.Millisecond, "one", all, false, false},
		{"one over the limit", 14, time.Millisecond, "one", all, true, true},
		{"requests of half the work", 26, time.Millisecond, "half", all, false, false},
		{"spread over a longer time", 26, 250 * time.Millisecond, "one", all, false, false},
		{"half of the senders informed", 14, time.Millisecond, "one", func(i int) bool { return i%2 == 0 }, true, false},
		{"ten of fourteen informed", 14, time.Millisecond, "one", func(i int) bool { return i >= 4 }, true, true},
		{"nine of fourteen informed", 14, time.Millisecond, "one", func(i int) bool { return i >= 5 }, true, false},
	} {
		f := send(budget(), machine(), tt.n, tt.every, tt.class, tt.told)
		if (f != nil) != tt.falls || f != nil && f.breaksRule() != tt.broken {
			t.Errorf("%s: %+v", tt.name, f)
		}
	}
	// Another start of the server begins with an empty count.
	b := budget()
	if send(b, machine(), 13, time.Millisecond, "one", all) != nil || b.recordRequest(now.Add(time.Second), "s", 2, machine(), "one", true) != nil {
		t.Error("requests to an earlier process of the server are counted")
	}
	// A large server: N = 2 x 16 x 2 s / 1 s = 64, so it bears 64 + 16 + 2 requests.
	large := func() *fleet.Machine {
		return fleet.NewMachine(now, fleet.MachineConfig{Cores: 64, Speed: 1, ColdFrom: 0.25, WarmUp: time.Hour})
	}
	if send(budget(), large(), 82, time.Millisecond, "one", all) != nil || send(budget(), large(), 83, time.Millisecond, "one", all) == nil {
		t.Error("a large server does not bear N + 2√N + 2")
	}
}
