// Package stats counts what a proxy takes in, sends and answers.
package stats

import (
	"fmt"
	"io"
	"math"
	"reflect"
	"time"
)

// Counters are a proxy's counts since its start. They belong to the loop's goroutine.
type Counters struct {
	// Taken in.
	Connections, Exchanges, Standing, Pings, Malformed int
	// Sent.
	Hops, Probes, Watches, Moves, Lines int
	// Answered to clients.
	Up, Shed, Failed, Left int
	// How hops ended.
	HopOK, HopError, HopFull, HopTimeout, HopNoConnect, HopBroken, HopCancelled int
	// Where many proxies share targets and discovery: hops to targets that are still warming up; moves off targets that
	// drain, of all moves; probes that a target turned away, of those that failed; calls that discovery turned away, likewise.
	HopsCold, MovesDrain, ProbesRefused, WatchesBusy int
	// Lists of discovery that another process passed on: taken, and refused as old or unreadable.
	ListsHeard, ListsRefused int
	// Questions to the owners of probes in place of an own probe, and reports that came of them in time.
	ProbesAsked, ProbesShared int
	// Moves off draining targets that waited for the time that their owner gave them.
	MovesPaced int
	// Targets that the fleet condemned and took back, hops and probes with trouble that were told to others, and turns to try a
	// target that returns.
	Condemned, Acquitted, Sightings, Trials int
	// Requests refused because all processes together have what they may take, and connections moved because a part of a strict
	// limit had to be given up.
	Beyond, Yielded int
	// Hops beyond the first one of a client's first request, and times that the fleet's budget for them was found spent or free.
	Further, Thrifty int
	// Hops by how old the list was that they were placed by: under 0.25, 0.5, 1, 2, 3, 5, 10 and 20 s, each without those before,
	// and older. It is as old as the question whose answer told it, or as what the owner of the asking vouched for.
	ListAgeQuarter, ListAgeHalf, ListAge1, ListAge2, ListAge3, ListAge5, ListAge10, ListAge20, ListAgeMore int
	// Attempts that waited for discovery because the lease of the list had run out, and those that were not made since neither it
	// nor their server had answered.
	ListWaits, ListsExpired int
	// Other.
	ProbesFailed, WatchesFailed, Silent, Overdue, Full, Reloads, Garbled int
}

// Add adds the counts of another proxy, or of another life of one.
func (c *Counters) Add(o *Counters) {
	to, from := reflect.ValueOf(c).Elem(), reflect.ValueOf(o).Elem()
	for i := range to.NumField() { // all are ints, and one that is added later must not be forgotten
		to.Field(i).SetInt(to.Field(i).Int() + from.Field(i).Int())
	}
}

// CountListAge counts a hop that was placed by a list of some age.
func (c *Counters) CountListAge(age time.Duration) {
	for _, b := range c.ageBuckets() {
		if age < b.under {
			*b.count++
			return
		}
	}
}

type ageBucket struct {
	under time.Duration
	count *int
}

func (c *Counters) ageBuckets() []ageBucket {
	return []ageBucket{
		{time.Second / 4, &c.ListAgeQuarter}, {time.Second / 2, &c.ListAgeHalf}, {time.Second, &c.ListAge1}, {2 * time.Second, &c.ListAge2},
		{3 * time.Second, &c.ListAge3}, {5 * time.Second, &c.ListAge5}, {10 * time.Second, &c.ListAge10}, {20 * time.Second, &c.ListAge20},
		{math.MaxInt64, &c.ListAgeMore},
	}
}

// ListAgeFraction is the part of the hops that were placed by a list younger than that, one of the classes' bounds; 0 where there were none.
func (c *Counters) ListAgeFraction(age time.Duration) float64 {
	under, all := 0, 0
	for _, b := range c.ageBuckets() {
		if all += *b.count; b.under <= age {
			under += *b.count
		}
	}
	return float64(under) / float64(max(all, 1))
}

// ListAgeQuantile is the age under which a part of the hops' lists were, 0 to 1: the upper bound of its class, at most 40 s.
func (c *Counters) ListAgeQuantile(part float64) time.Duration {
	all, seen := 0, 0
	for _, b := range c.ageBuckets() {
		all += *b.count
	}
	for _, b := range c.ageBuckets() {
		if seen += *b.count; float64(seen) >= part*float64(all) {
			return min(b.under, 40*time.Second)
		}
	}
	return 0
}

// Print writes the counts on a few lines.
func (c *Counters) Print(w io.Writer) {
	fmt.Fprintf(w, "in: connections=%d exchanges=%d standing=%d pings=%d malformed=%d\n",
		c.Connections, c.Exchanges, c.Standing, c.Pings, c.Malformed)
	fmt.Fprintf(w, "sent: hops=%d probes=%d watches=%d moves=%d lines=%d\n",
		c.Hops, c.Probes, c.Watches, c.Moves, c.Lines)
	fmt.Fprintf(w, "answered: up=%d shed=%d failed=%d left=%d overdue=%d\n",
		c.Up, c.Shed, c.Failed, c.Left, c.Overdue)
	fmt.Fprintf(w, "hops ended: ok=%d error=%d full=%d timeout=%d no-connect=%d broken=%d cancelled=%d\n",
		c.HopOK, c.HopError, c.HopFull, c.HopTimeout, c.HopNoConnect, c.HopBroken, c.HopCancelled)
	fmt.Fprintf(w, "shared: hops-cold=%d moves-drain=%d probes-refused=%d watches-busy=%d lists-heard=%d lists-refused=%d probes-asked=%d probes-shared=%d moves-paced=%d\n",
		c.HopsCold, c.MovesDrain, c.ProbesRefused, c.WatchesBusy, c.ListsHeard, c.ListsRefused, c.ProbesAsked, c.ProbesShared, c.MovesPaced)
	fmt.Fprintf(w, "verdicts: condemned=%d acquitted=%d sightings=%d trials=%d; limits: refused=%d yielded=%d; retries: further=%d budget-changes=%d\n",
		c.Condemned, c.Acquitted, c.Sightings, c.Trials, c.Beyond, c.Yielded, c.Further, c.Thrifty)
	fmt.Fprintf(w, "list's age at hops: under-0.25s=%d under-0.5s=%d under-1s=%d under-2s=%d under-3s=%d under-5s=%d under-10s=%d under-20s=%d older=%d\n",
		c.ListAgeQuarter, c.ListAgeHalf, c.ListAge1, c.ListAge2, c.ListAge3, c.ListAge5, c.ListAge10, c.ListAge20, c.ListAgeMore)
	fmt.Fprintf(w, "troubles: probes-failed=%d watches-failed=%d silent=%d out-of-descriptors=%d reloads=%d garbled=%d list-waits=%d lists-expired=%d\n",
		c.ProbesFailed, c.WatchesFailed, c.Silent, c.Full, c.Reloads, c.Garbled, c.ListWaits, c.ListsExpired)
}
