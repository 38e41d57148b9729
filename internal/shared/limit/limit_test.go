package limit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// If all processes have the same knowledge, their shares of one period add up to at most what is
// free, plus one per process for the drawn fractions.
func TestSharesOfFreeRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := SoftConfig{StaleAfter: time.Second, DeadHold: 10 * time.Second}
		l := &Limit{Max: rapid.IntRange(1, 400).Draw(t, "most")}
		n := rapid.IntRange(1, 30).Draw(t, "members")
		all := make([]Member, n)
		used := 0
		for i := range all {
			all[i] = Member{Session: uint64(i + 1), Use: rapid.IntRange(0, 2*l.Max/n).Draw(t, "use"), Want: rapid.IntRange(0, 20).Draw(t, "want")}
			used += all[i].Use
		}
		sum := 0
		for i, self := range all {
			others := slices.Delete(slices.Clone(all), i, i+1)
			free, share := s.Room(l, time.Hour, self, others, Flaws{})
			if free != max(l.Max-used, 0) {
				t.Fatalf("Room reports %d free, want %d", free, max(l.Max-used, 0))
			}
			sum += share
		}
		if free := max(l.Max-used, 0); sum > free+n {
			t.Fatalf("shares of %d free add up to %d", free, sum)
		}
	})
}

// A process that is not heard from counts with an even share or its last known use. Two partitions
// that do not hear each other therefore keep to the limit together, whatever their members and
// previous use.
func TestPartitionsKeepToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := SoftConfig{StaleAfter: time.Second, DeadHold: time.Minute}
		l := &Limit{Max: rapid.IntRange(10, 300).Draw(t, "most")}
		n := rapid.IntRange(2, 12).Draw(t, "members")
		use, before, side := make([]int, n), make([]int, n), make([]bool, n)
		total := 0
		for i := range n {
			use[i] = rapid.IntRange(0, l.Max/n).Draw(t, "use")
			before[i], side[i] = use[i], rapid.Bool().Draw(t, "side")
			total += use[i]
		}
		for range 400 { // each process takes what it knows to be free, as long as there is any
			i := rapid.IntRange(0, n-1).Draw(t, "who")
			var others []Member
			for k := range n {
				switch {
				case k == i:
				case side[k] == side[i]:
					others = append(others, Member{Session: uint64(k + 1), Use: use[k]})
				default:
					others = append(others, Member{Session: uint64(k + 1), Use: before[k], Age: 5 * time.Second})
				}
			}
			if free, _ := s.Room(l, time.Hour, Member{Session: uint64(i + 1), Use: use[i]}, others, Flaws{}); free > 0 {
				use[i]++
				total++
			}
		}
		if total > l.Max {
			t.Fatalf("%d connections under a limit of %d, in two partitions", total, l.Max)
		}
	})
}

// A process that has just started counts the members that it has not met yet. A member that
// restarted under its name no longer counts as lost, and a lost one no longer counts after
// DeadHold.
func TestStartAndLoss(t *testing.T) {
	s := SoftConfig{StaleAfter: time.Second, DeadHold: 10 * time.Second, ExpectedMembers: 300}
	l := &Limit{Max: 600}
	if free, _ := s.Room(l, time.Second, Member{Session: 1}, nil, Flaws{}); free > 2 {
		t.Errorf("one of 300 expected processes that knows no other finds %d of 600 free, want at most 2", free)
	}
	if free, _ := s.Room(l, 11*time.Second, Member{Session: 1}, nil, Flaws{}); free != 600 {
		t.Errorf("a process without other members after DeadHold finds %d of 600 free, want all", free)
	}
	var r Roster
	r.Update(now, s.DeadHold, []LiveProcess{{1, "a"}, {2, "b"}, {3, "c"}})
	r.Update(now.Add(time.Second), s.DeadHold, []LiveProcess{{1, "a"}})
	deadAt := func(at time.Duration) (list []uint64) {
		r.Each(now.Add(at), func(l LiveProcess, deadFor time.Duration) {
			if deadFor > 0 {
				list = append(list, l.Session)
			}
		})
		return list
	}
	if got := deadAt(2 * time.Second); !slices.Equal(got, []uint64{2, 3}) {
		t.Errorf("dead processes: %v, want 2 and 3", got)
	}
	r.Update(now.Add(3*time.Second), s.DeadHold, []LiveProcess{{1, "a"}, {4, "b"}})
	if got := deadAt(3 * time.Second); !slices.Equal(got, []uint64{3}) {
		t.Errorf("dead processes after b restarted under its name: %v, want 3", got)
	}
	r.Update(now.Add(12*time.Second), s.DeadHold, []LiveProcess{{1, "a"}, {4, "b"}})
	if got := deadAt(12 * time.Second); len(got) != 0 {
		t.Errorf("dead processes after DeadHold: %v, want none", got)
	}
}

// The sizes of the slices add up to the limit. The process claims as many as it needs, gives up
// those that others hold for others, and gives back spare ones after spareTimeout.
func TestSlices(t *testing.T) {
	l := &Limit{Name: "x", Kind: StrictKind, Max: 26, SliceCount: 12}
	s := NewSlices(l, 5)
	sum := 0
	for i := range l.SliceCount {
		sum += s.Size(i)
	}
	if sum != l.Max {
		t.Errorf("slices add up to %d, want %d", sum, l.Max)
	}
	mine := map[int]bool{}
	held := func(i int) bool { return mine[i] }
	nobody := func(int) bool { return false }
	want := s.Claims(now, 3, 2, time.Second, held, nobody)
	if len(want) != 3 {
		t.Fatalf("claims for a use of 5 with slices of 2: %v, want 3 slices", want)
	}
	mine[want[0]] = true
	again := s.Claims(now.Add(2*time.Second), 3, 2, time.Second, held, func(i int) bool { return i != want[0] })
	if len(again) != 3 || again[0] != want[0] || slices.Contains(again, want[1]) && slices.Contains(again, want[2]) {
		t.Errorf("others hold all but the first of %v: claims are %v", want, again)
	}
	for _, i := range again {
		mine[i] = true
	}
	at := now.Add(3 * time.Second)
	if got := s.Claims(at, 1, 0, time.Second, held, nobody); len(got) != 3 {
		t.Errorf("claims are %v, want 3 slices: spare ones are not given back at once", got)
	}
	if got := s.Claims(at.Add(spareTimeout), 1, 0, time.Second, held, nobody); len(got) != 2 {
		t.Errorf("claims after %v: %v, want 2 slices", spareTimeout, got)
	}
}

func TestCheck(t *testing.T) {
	for want, l := range map[string]Limit{
		"most: 0 is not above 0":                   {},
		"within: -1s is below 0":                   {Max: 1, Period: -time.Second},
		"slices: 65 is not from 1 to 64":           {Max: 100, Kind: StrictKind, SliceCount: 65},
		"most: 3 is below the number of slices, 4": {Max: 3, Kind: StrictKind, SliceCount: 4},
		"": {Max: 4, Kind: StrictKind, SliceCount: 4},
	} {
		got := ""
		if err := l.Check(); err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%+v: %q, want %q", l, got, want)
		}
	}
}
