package lab

import (
	"fmt"
	"time"
)

// RandomCutOutput generates a scenario in which relays stop answering on some of their connections,
// after any byte of their output, again and again. A part of the relays drains meanwhile.
func RandomCutOutput(seed uint64) *Scenario {
	d := newDraws(randomStream(seed, "cut-output"))
	s := defaults()
	s.Kinds, s.Classes = defaultKinds(), defaultClasses()
	s.Name = fmt.Sprintf("cut-output-%d", seed)
	s.Run.About = "made up: relays stop answering after any byte"
	s.Run.Length, s.Run.WarmUp = d.span(25*time.Second, 35*time.Second).From, d.span(8*time.Second, 12*time.Second).From
	s.Proxies.Count = 1 + d.r.IntN(4)
	s.Relays.Count = 4 + d.r.IntN(5)
	s.Traffic.Rate = d.value(4, 10).From
	// Loads that change often come between the answers.
	for i := range s.Classes {
		s.Classes[i].Change = d.span(200*time.Millisecond, 3*time.Second)
	}
	hangs := Fault{Name: "hangs", Kind: "cut-output", At: d.span(0, 2*time.Second), Count: 1 + d.r.IntN(2), Size: d.value(0.1, 0.6)}
	hangs.Repeats, hangs.RepeatAfter = 4+d.r.IntN(4), d.span(time.Second, 3*time.Second)
	s.Faults = []Fault{hangs}
	if d.r.IntN(2) == 0 {
		drains := Fault{Name: "drains", Kind: "drain", At: d.span(2*time.Second, 8*time.Second), Count: 1, For: d.span(8*time.Second, 11*time.Second), Away: foreverSpan()}
		s.Faults = append(s.Faults, drains)
	}
	return &s
}
