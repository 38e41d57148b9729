// Package stats holds the counters of a proxy: what it received, sent and answered.
package stats

import (
	"fmt"
	"io"
	"math"
	"reflect"
	"time"
)

// Counters counts events of a proxy since its start. It is not safe for concurrent use: it belongs
// to the goroutine of the event loop. Its JSON form has the field names as keys. In this package a
// hop is one attempt at an egress target, a probe is a health check of a target, and a watch is one
// query for the list of targets sent to discovery.
type Counters struct {
	// Received: client connections, requests (exchanges), connections that were established and
	// stay open (standing), pings, and malformed requests.
	Connections, Exchanges, Standing, Pings, Malformed int
	// Sent: hops, probes, watches, moves of clients to another target, and lines on established
	// connections.
	Hops, Probes, Watches, Moves, Lines int
	// Answers to clients: Up (connection established), Shed (refused with BUSY) and Failed. Left
	// counts clients that closed their connection before the answer.
	Up, Shed, Failed, Left int
	// Hops by their result. HopFull: the target refused for lack of room. HopBroken: the connection
	// broke.
	HopOK, HopError, HopFull, HopTimeout, HopNoConnect, HopBroken, HopCancelled int
	// Counters that matter when many proxies share targets and discovery. HopsCold: hops to targets
	// that are still warming up. MovesDrain: those of Moves that leave a draining target.
	// ProbesRefused: those of ProbesFailed that the target refused. WatchesBusy: those of
	// WatchesFailed that discovery refused.
	HopsCold, MovesDrain, ProbesRefused, WatchesBusy int
	// Those of HopsCold that carried a client that lost or was moved off an earlier connection
	// (HopsColdReconnect), and those after the first hop of a request (HopsColdFurther). The others
	// are first hops of new clients.
	HopsColdReconnect, HopsColdFurther int
	// Lists of targets that another process forwarded: accepted, and rejected as old or unreadable.
	ListsHeard, ListsRefused int
	// ProbesAsked: requests to the process that owns the probes of a target, sent instead of an own
	// probe. ProbesShared: reports that such a process returned in time.
	ProbesAsked, ProbesShared int
	// Moves off draining targets that waited for the time slot that the owner of the target
	// assigned.
	MovesPaced int
	// Condemned: fleet verdicts that took a target out of service. Acquitted: targets that the
	// fleet took back. Sightings: hops and probes with trouble that were reported to other
	// processes. Trials: turns of this process to try a target that returns to service.
	Condemned, Acquitted, Sightings, Trials int
	// Beyond: requests refused because all processes together had reached a shared limit. Yielded:
	// connections moved because this process had to give up a part of a strict limit.
	Beyond, Yielded int
	// Further: hops after the first one of a first request of a client. Thrifty: changes of the
	// fleet-wide budget for these retries between available and exhausted.
	Further, Thrifty int
	// Hops by the age of the list of targets with which they were placed: under 0.25, 0.5, 1, 2, 3,
	// 5, 10 and 20 s (each without the ones before), and older. The age counts from when the query
	// was sent that the list answered, or from the time that the process which queries discovery
	// confirmed.
	ListAgeQuarter, ListAgeHalf, ListAge1, ListAge2, ListAge3, ListAge5, ListAge10, ListAge20, ListAgeMore int
	// ListWaits: attempts that waited for discovery because the lease of the list had expired.
	// ListsExpired: attempts that were not made because neither discovery nor their server had
	// answered.
	ListWaits, ListsExpired int
	// Adopted connections, which stood before the start of the process. AdoptionsWaited: waits for
	// discovery to list their targets. AdoptionsRefused: those refused meanwhile for lack of
	// descriptors. AdoptionsExpired: those not established in time.
	AdoptionsWaited, AdoptionsRefused, AdoptionsExpired int
	// Repeated: requests answered ERR because an earlier one with the same id may have run.
	// NoRecord: requests refused because too many earlier ones are remembered.
	Repeated, NoRecord int
	// Other counters. Silent: established connections whose target was found to send no data.
	// Overdue: requests answered at their deadline because the module had not answered. Full:
	// clients refused for lack of file descriptors. Reloads: configuration reloads. Garbled:
	// protocol violations by targets.
	ProbesFailed, WatchesFailed, Silent, Overdue, Full, Reloads, Garbled int
}

// Add adds the counters of another proxy, or of an earlier run of the same one.
func (c *Counters) Add(o *Counters) {
	dst, src := reflect.ValueOf(c).Elem(), reflect.ValueOf(o).Elem()
	// All fields are ints; reflection also covers fields added later.
	for i := range dst.NumField() {
		dst.Field(i).SetInt(dst.Field(i).Int() + src.Field(i).Int())
	}
}

// CountListAge counts a hop that was placed with a list of the given age.
func (c *Counters) CountListAge(age time.Duration) {
	for _, b := range c.ageBuckets() {
		if age < b.under {
			*b.count++
			return
		}
	}
}

// ageBucket is a range of list ages, from the limit of the bucket before it up to under.
type ageBucket struct {
	under time.Duration
	count *int
}

// ageBuckets returns the buckets in ascending order.
func (c *Counters) ageBuckets() []ageBucket {
	return []ageBucket{
		{time.Second / 4, &c.ListAgeQuarter}, {time.Second / 2, &c.ListAgeHalf}, {time.Second, &c.ListAge1}, {2 * time.Second, &c.ListAge2},
		{3 * time.Second, &c.ListAge3}, {5 * time.Second, &c.ListAge5}, {10 * time.Second, &c.ListAge10}, {20 * time.Second, &c.ListAge20},
		{math.MaxInt64, &c.ListAgeMore},
	}
}

// ListAgeFraction returns the fraction of hops that were placed with a list younger than age, which
// must be a limit of a bucket. It returns 0 if there were no hops.
func (c *Counters) ListAgeFraction(age time.Duration) float64 {
	under, all := 0, 0
	for _, b := range c.ageBuckets() {
		if all += *b.count; b.under <= age {
			under += *b.count
		}
	}
	return float64(under) / float64(max(all, 1))
}

// ListAgeQuantile returns the age below which the lists of the given fraction of hops were, 0 to 1.
// The result is the upper limit of a bucket, and at most 40 s.
func (c *Counters) ListAgeQuantile(quantile float64) time.Duration {
	all, seen := 0, 0
	for _, b := range c.ageBuckets() {
		all += *b.count
	}
	for _, b := range c.ageBuckets() {
		if seen += *b.count; float64(seen) >= quantile*float64(all) {
			return min(b.under, 40*time.Second)
		}
	}
	return 0
}

// Print writes the counters as text lines. Tools read this text: its words and their order must not
// change.
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
	fmt.Fprintf(w, "adopted connections: waited-for-list=%d refused-for-descriptors=%d expired=%d; ids: repeated=%d no-record=%d\n",
		c.AdoptionsWaited, c.AdoptionsRefused, c.AdoptionsExpired, c.Repeated, c.NoRecord)
	fmt.Fprintf(w, "hops to cold targets: new=%d reconnect=%d further=%d\n",
		c.HopsCold-c.HopsColdReconnect-c.HopsColdFurther, c.HopsColdReconnect, c.HopsColdFurther)
}
