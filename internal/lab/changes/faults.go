package changes

import (
	"fmt"
	"time"

	"ospreyspan/internal/changes"
)

// cutAfter is when the region that Options.Cut asks for is cut off.
const cutAfter = 30 * time.Second

// planFaults has faults come until a time.
func (w *world) planFaults(end time.Duration) {
	o := w.options
	if o.Cut > 0 {
		w.after(cutAfter, func() { w.cut(w.otherRegion(), o.Cut) })
	}
	if o.Kills > 0 {
		w.killUntil(end)
	}
	if o.Faults {
		w.faultUntil(end)
	}
}

// otherRegion draws a region that is not the source's.
func (w *world) otherRegion() string {
	for {
		if region := fmt.Sprint("region-", w.rng.IntN(regions)); region != w.source.member.Region {
			return region
		}
	}
}

func (w *world) killUntil(end time.Duration) {
	wait := time.Duration(w.rng.ExpFloat64() / w.options.Kills * float64(time.Second))
	if w.now+wait >= end {
		return
	}
	w.after(wait, func() {
		if p := w.anyUp(); p != w.source {
			w.killAndRestart(p)
		}
		w.killUntil(end)
	})
}

func (w *world) anyUp() *process {
	for {
		if p := w.processes[w.rng.IntN(len(w.processes))]; p.up {
			return p
		}
	}
}

func (w *world) killAndRestart(p *process) {
	w.judge.Count.Kills++
	w.kill(p)
	w.after(w.options.RestartAfter+w.rand(w.options.RestartAfter), func() { w.start(p.member) })
}

// cut separates a region from the others for a while.
func (w *world) cut(region string, d time.Duration) {
	if w.cutOff != "" {
		return
	}
	w.judge.Count.Cuts++
	w.cutOff = region
	w.after(d, func() {
		w.cutOff = ""
		w.judge.healed(region)
	})
}

// faultUntil draws a fault every second or so.
func (w *world) faultUntil(end time.Duration) {
	wait := 300*time.Millisecond + w.rand(2*time.Second)
	if w.now+wait >= end {
		return
	}
	w.after(wait, func() {
		w.fault()
		w.faultUntil(end)
	})
}

func (w *world) fault() {
	switch w.rng.IntN(8) {
	case 0, 1:
		if p := w.anyUp(); p != w.source {
			w.killAndRestart(p)
		}
	case 2:
		w.cut(fmt.Sprint("region-", w.rng.IntN(regions)), 2*time.Second+w.rand(20*time.Second))
	case 3:
		w.judge.Count.Stalls++
		w.stall(w.anyUp(), w.rand(8*time.Second))
	case 4:
		w.sourceStalls()
	case 5:
		old := w.source
		w.replaceSource()
		w.killAndRestart(old)
	case 6:
		w.sourceUnaware()
	case 7:
		w.damage(w.anyUp())
	}
}

func (w *world) stall(p *process, d time.Duration) {
	if p != w.source {
		p.stalled = max(p.stalled, w.now+d)
	}
}

// replaceSource has another process lead.
func (w *world) replaceSource() {
	w.judge.Count.SourcesReplaced++
	old := w.source
	for {
		if p := w.anyUp(); p != old && p.stalled <= w.now {
			w.lead(p)
			return
		}
	}
}

// sourceStalls stops the source, has another one lead, and lets the old one say at its end what it was about to.
func (w *world) sourceStalls() {
	old := w.source
	d := time.Second + w.rand(15*time.Second)
	old.stalled = w.now + d
	w.replaceSource()
	w.after(d, func() { w.speakLate(old) })
}

// sourceUnaware has another process lead while the old source goes on for a while.
func (w *world) sourceUnaware() {
	old := w.source
	w.replaceSource()
	for range 1 + w.rng.IntN(4) {
		w.after(w.rand(3*time.Second), func() { w.speakLate(old) })
	}
}

// speakLate has a former source propose what is not true, if it does not know yet that it is one.
func (w *world) speakLate(p *process) {
	if !p.up || p == w.source || !p.replica.IsSource() || p.stalled > w.now {
		return
	}
	w.judge.Count.LateSources++
	c := changes.Change{Key: keyName(w.rng.IntN(w.options.Keys)), Value: "of a former source"}
	_ = p.replica.Propose(p.clock(w.now), []changes.Change{c}) // it leads, as far as it knows
	w.settle(p)
}

// damage overwrites a value in a process's memory.
func (w *world) damage(p *process) {
	if p == w.source || p.replica.State().Len() == 0 {
		return
	}
	w.judge.Count.Damages++
	p.replica.State().CorruptValue(keyName(w.rng.IntN(w.options.Keys)), "damaged")
}
