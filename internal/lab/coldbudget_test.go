package lab

import (
	"testing"
	"time"

	"ospreyspan/internal/fleet"
)

// A cold server bears N + 2√N + 2 requests of mean work, N + 3√N + 3 where N is under 30, and its fall breaks the rule if over two
// thirds came from proxies that knew.
func TestColdBudget(t *testing.T) {
	now := time.Unix(1e9, 0)
	// A quarter of four cores: N = 2 x 1 x 2 s / 1 s = 4, and it bears 4 + 6 + 3 requests.
	machine := func() *fleet.Machine {
		return fleet.NewMachine(now, fleet.MachineConfig{Cores: 4, Speed: 1, ColdFrom: 0.25, WarmUp: time.Hour})
	}
	budget := func() *coldBudget {
		return &coldBudget{multiple: 2, within: 2 * time.Second, mean: 1, work: map[string]float64{"half": 0.5}, servers: make(map[string]*coldServer)}
	}
	send := func(b *coldBudget, m *fleet.Machine, n int, every time.Duration, class string, told func(i int) bool) *coldFall {
		for i := range n {
			if f := b.sent(now.Add(time.Duration(i)*every), "s", 1, m, class, told(i)); f != nil {
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
		{"as many as it bears", 13, time.Millisecond, "one", all, false, false},
		{"one more", 14, time.Millisecond, "one", all, true, true},
		{"of half the work", 26, time.Millisecond, "half", all, false, false},
		{"spread over twice the time", 26, 250 * time.Millisecond, "one", all, false, false},
		{"half of them know", 14, time.Millisecond, "one", func(i int) bool { return i%2 == 0 }, true, false},
		{"ten of fourteen know", 14, time.Millisecond, "one", func(i int) bool { return i >= 4 }, true, true},
		{"nine of fourteen know", 14, time.Millisecond, "one", func(i int) bool { return i >= 5 }, true, false},
	} {
		f := send(budget(), machine(), tt.n, tt.every, tt.class, tt.told)
		if (f != nil) != tt.falls || f != nil && f.broken() != tt.broken {
			t.Errorf("%s: %+v", tt.name, f)
		}
	}
	// Another life of the server starts with nothing.
	b := budget()
	if send(b, machine(), 13, time.Millisecond, "one", all) != nil || b.sent(now.Add(time.Second), "s", 2, machine(), "one", true) != nil {
		t.Error("what an earlier life got counts")
	}
	// A large one: N = 2 x 16 x 2 s / 1 s = 64, and it bears 64 + 16 + 2.
	large := func() *fleet.Machine {
		return fleet.NewMachine(now, fleet.MachineConfig{Cores: 64, Speed: 1, ColdFrom: 0.25, WarmUp: time.Hour})
	}
	if send(budget(), large(), 82, time.Millisecond, "one", all) != nil || send(budget(), large(), 83, time.Millisecond, "one", all) == nil {
		t.Error("a large server does not bear N + 2√N + 2")
	}
}
