package changes

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkInnerNode measures the cost of a change for a process with four children, at 5,550
// entries: it is decoded, applied, checked and pushed on. The memory of the states is reported too.
func BenchmarkInnerNode(b *testing.B) {
	now := time.Unix(0, 0)
	tree := NewTree([]Member{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}, {ID: 5}, {ID: 6}}, 1, 4)
	config := DefaultConfig()
	config.Self, config.Session, config.BytesPerSecond, config.BurstBytes = 1, 1, 1e12, 1e12
	source := New(now, config)
	if err := source.BecomeSource(now, 1); err != nil {
		b.Fatal(err)
	}
	source.SetTree(now, tree)
	source.children.acquire(now, 2, now.Add(time.Hour), 1)
	config.Self, config.Session = 2, 2
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	inner := New(now, config)
	inner.SetTree(now, tree)
	for child := MemberID(3); child < 7; child++ {
		inner.children.acquire(now, child, now.Add(time.Hour), 4)
	}
	deliver := func() {
		for _, out := range source.TakeMessages() {
			inner.Handle(now, 1, out.Data)
		}
		inner.TakeMessages()
		for _, r := range []*Replica{source, inner} {
			r.TakeApplied()
			r.TakeUpdate()
		}
	}
	source.pushToChildren(now, 0, nil)
	deliver()
	change := func(i int) Change {
		return Change{Key: fmt.Sprintf("server-%05d", i%5550), Value: fmt.Sprintf("10.20.123.123:9000 zone-1 %09d", i)}
	}
	step := func(i int) {
		now = now.Add(config.MinPushInterval)
		source.nextFlushAt = now
		if err := source.Propose(now, []Change{change(i)}); err != nil {
			b.Fatal(err)
		}
		source.children[0].until = now.Add(time.Hour)
		for i := range inner.children {
			inner.children[i].until = now.Add(time.Hour)
		}
		deliver()
	}
	for i := range 5550 {
		step(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		step(5550 + i)
	}
	if _, number := inner.Position(); number != uint64(5550+b.N) || inner.Counters.Sent < uint64(4*b.N) {
		b.Fatalf("replica at number %d, counters %+v", number, inner.Counters)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB-of-both")
}
