package lab

import (
	"fmt"
	"time"

	"ospreyspan/internal/fleet"
)

// RandomThrong generates a throng scenario: 20 to 30 proxies share a discovery that handles few
// calls; servers are replaced, join, and return cold; and a burst of clients arrives meanwhile.
func RandomThrong(seed uint64) *Scenario {
	d := newDraws(randomStream(seed, "throng"))
	s := defaults()
	s.Kinds, s.Classes = defaultKinds(), defaultClasses()
	s.Name = fmt.Sprintf("throng-%d", seed)
	s.Run.About = "made up: a throng"
	s.Run.Length, s.Run.WarmUp, s.Run.AuditPeriod = d.span(24*time.Second, 32*time.Second).From, d.span(8*time.Second, 12*time.Second).From, time.Second
	s.Proxies.Count, s.Proxies.MaxDescriptors = 20+d.r.IntN(11), 384
	s.Relays.Count = 16 + d.r.IntN(9)
	s.Relays.DrainNotice, s.Relays.StartNotice = millisRange(200, 800), millisRange(200, 800)
	s.Relays.SilenceNotice = millisRange(2000, 4000)
	s.Traffic.Rate = d.value(7, 13).From
	s.Waves = []Wave{{Name: "burst", At: d.span(s.Run.WarmUp+8*time.Second, s.Run.WarmUp+12*time.Second), For: d.span(5*time.Second, 9*time.Second), Times: d.value(2.5, 4)}}
	s.Discovery = Discovery{CallTime: d.span(170*time.Millisecond, 220*time.Millisecond).From, LineTime: s.Discovery.LineTime, Timeout: 2 * time.Second, ResetShare: 0.5}
	s.Rules.ColdBudget, s.Rules.AskAgain = true, s.Rules.NewsWithin
	s.Faults = d.throngFaults(s.Run.Length)
	return &s
}

// throngFaults generates the faults of a throng scenario; some of them occur in a part of the
// scenarios only.
func (d *scenarioDraws) throngFaults(length time.Duration) []Fault {
	second := time.Second
	list := []Fault{
		{Name: "replaced", Kind: "drain", At: d.span(4*second, 7*second), Count: 3 + d.r.IntN(3), Every: d.span(second, 2500*time.Millisecond).From, For: d.span(8*second, 11*second), Away: foreverSpan()},
		{Name: "joined", Kind: "grow", At: d.span(6*second, 10*second), Count: 2 + d.r.IntN(3)},
		{Name: "back", Kind: "drain", At: d.span(3*second, 8*second), Count: 2 + d.r.IntN(3), Every: d.span(second, 2*second).From, For: d.span(3*second, 6*second), Away: d.span(300*time.Millisecond, second)},
		{Name: "nonsense", Kind: "rude", At: d.span(second, 3*second), For: fleet.DurationRange{From: length, To: length}, Size: d.value(2, 8)},
	}
	list = append(list, Fault{Name: "asked", Kind: "discovery-queue", At: d.span(3*second, 8*second), For: d.span(2*second, 3*second), Repeats: 1, RepeatAfter: d.span(8*second, 12*second)})
	if d.r.IntN(3) == 0 {
		list = append(list, Fault{Name: "errors", Kind: "failing", At: d.span(8*second, 16*second), For: d.span(2*second, 6*second), Part: d.value(0.05, 0.2), Size: d.value(0.1, 0.5)})
	}
	if d.r.IntN(3) == 0 {
		list = append(list, Fault{Name: "vanished", Kind: "silence", At: d.span(2*second, 6*second), For: d.span(8*second, 12*second), Count: 1})
	}
	return list
}

// foreverSpan returns a span longer than any day.
func foreverSpan() fleet.DurationRange { return fleet.DurationRange{From: time.Hour, To: time.Hour} }

func millisRange(from, to int) fleet.DurationRange {
	return fleet.DurationRange{From: time.Duration(from) * time.Millisecond, To: time.Duration(to) * time.Millisecond}
}
