package lab

import (
	"fmt"
	"time"

	"ospreyspan/internal/fleet"
)

// RandomThrong makes up a throng: twenty to thirty proxies that share a discovery which bears few calls, servers that are replaced,
// join and come back cold, and a burst of clients upon them.
func RandomThrong(seed uint64) *Scenario {
	d := newDraws(stream(seed, "throng"))
	s := defaults()
	s.Kinds, s.Classes = defaultKinds(), defaultClasses()
	s.Name = fmt.Sprintf("throng-%d", seed)
	s.Run.Text = "made up: a throng"
	s.Run.Length, s.Run.WarmUp, s.Run.Audit = d.span(24*time.Second, 32*time.Second).From, d.span(8*time.Second, 12*time.Second).From, time.Second
	s.Proxies.Count, s.Proxies.Sockets = 20+d.r.IntN(11), 384
	s.Relays.Count = 16 + d.r.IntN(9)
	s.Relays.Notice, s.Relays.Return = millis(200, 800), millis(200, 800)
	s.Relays.Silent = millis(2000, 4000)
	s.Traffic.Rate = d.one(7, 13).From
	s.Waves = []Wave{{Name: "burst", At: d.span(s.Run.WarmUp+8*time.Second, s.Run.WarmUp+12*time.Second), For: d.span(5*time.Second, 9*time.Second), Times: d.one(2.5, 4)}}
	s.Discovery = Discovery{Call: d.span(170*time.Millisecond, 220*time.Millisecond).From, Line: s.Discovery.Line, Timeout: 2 * time.Second, Resets: 0.5}
	s.Rules.ColdBudget, s.Rules.AskAgain = true, s.Rules.NewsWithin
	s.Troubles = d.throngTroubles(s.Run.Length)
	return &s
}

// throngTroubles are the days' troubles; some of them come on part of the days only.
func (d *draws) throngTroubles(length time.Duration) []Trouble {
	second := time.Second
	list := []Trouble{
		{Name: "replaced", Kind: "drain", At: d.span(4*second, 7*second), Count: 3 + d.r.IntN(3), Every: d.span(second, 2500*time.Millisecond).From, For: d.span(8*second, 11*second), Away: forGood()},
		{Name: "joined", Kind: "grow", At: d.span(6*second, 10*second), Count: 2 + d.r.IntN(3)},
		{Name: "back", Kind: "drain", At: d.span(3*second, 8*second), Count: 2 + d.r.IntN(3), Every: d.span(second, 2*second).From, For: d.span(3*second, 6*second), Away: d.span(300*time.Millisecond, second)},
		{Name: "nonsense", Kind: "rude", At: d.span(second, 3*second), For: fleet.DurationRange{From: length, To: length}, Size: d.one(2, 8)},
	}
	list = append(list, Trouble{Name: "asked", Kind: "discovery-queue", At: d.span(3*second, 8*second), For: d.span(2*second, 3*second), Again: 1, After: d.span(8*second, 12*second)})
	if d.r.IntN(3) == 0 {
		list = append(list, Trouble{Name: "errors", Kind: "failing", At: d.span(8*second, 16*second), For: d.span(2*second, 6*second), Part: d.one(0.05, 0.2), Size: d.one(0.1, 0.5)})
	}
	if d.r.IntN(3) == 0 {
		list = append(list, Trouble{Name: "vanished", Kind: "silence", At: d.span(2*second, 6*second), For: d.span(8*second, 12*second), Count: 1})
	}
	return list
}

// forGood is longer than any day.
func forGood() fleet.DurationRange { return fleet.DurationRange{From: time.Hour, To: time.Hour} }

func millis(from, to int) fleet.DurationRange {
	return fleet.DurationRange{From: time.Duration(from) * time.Millisecond, To: time.Duration(to) * time.Millisecond}
}
