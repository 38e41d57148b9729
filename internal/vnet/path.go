package vnet

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Link describes the network path from one host to another, in one direction.
type Link struct {
	Delay  time.Duration // one-way delay of every segment
	Jitter time.Duration // random addition to Delay, uniform from 0 to this
	// Loss is the probability that a segment is lost, 0 to 1. A lost segment of a connection
	// arrives by retransmission, and later segments wait for it; a lost datagram is gone.
	Loss      float64
	Bandwidth float64 // bytes per second; 0: unlimited
}

const (
	// minRTO is the initial retransmission timeout; it doubles with each attempt, up to maxRTO.
	// SYNs start at synRTO. These are the values of Linux.
	minRTO = 200 * time.Millisecond
	maxRTO = 120 * time.Second
	synRTO = time.Second
)

// Reaches reports whether what a sends now arrives at b, and b's answer at a.
func (w *World) Reaches(a, b *Host) bool { return w.path(a, b).delivers() && w.path(b, a).delivers() }

type pair struct{ from, to int32 }

// path is a Link with its state.
type path struct {
	Link
	rng        *rand.Rand
	busyUntil  time.Duration // when the bandwidth is free of earlier segments
	partitions int           // number of partitions in force across the path
	from       *Host
	to         *Host
}

func (w *World) path(from, to *Host) *path {
	key := pair{from.index, to.index}
	p := w.paths[key]
	if p == nil {
		p = &path{Link: w.linkFunc(from, to), from: from, to: to}
		w.paths[key] = p
	}
	return p
}

// rand returns the path's own random stream. It is created on first use, since most paths of a
// large fleet carry no traffic.
func (p *path) rand() *rand.Rand {
	if p.rng == nil {
		p.rng = p.from.world.Rand("path " + p.from.name + " " + p.to.name)
	}
	return p.rng
}

// transit returns how long a segment of the given payload size takes. lost reports that the segment
// does not arrive.
func (p *path) transit(now time.Duration, size int) (d time.Duration, lost bool) {
	d = p.Delay
	if p.Jitter > 0 {
		d += time.Duration(p.rand().Int64N(int64(p.Jitter) + 1))
	}
	if p.Bandwidth > 0 {
		start := max(now, p.busyUntil)
		p.busyUntil = start + time.Duration(float64(size+segmentHeaderSize)/p.Bandwidth*float64(time.Second))
		d += p.busyUntil - now
	}
	return d, p.Loss > 0 && p.rand().Float64() < p.Loss
}

// segmentHeaderSize is the size in bytes of a segment's headers on a link.
const segmentHeaderSize = 66

// delivers reports whether a segment gets through now: no partition is in force across the path and
// both machines are reachable.
func (p *path) delivers() bool { return p.partitions == 0 && !p.from.unreachable && !p.to.unreachable }

// Partition cuts every path between two sets of hosts, in both directions unless it is one-way,
// until Heal. Partitions may overlap: a path is restored once all partitions across it are healed.
type Partition struct {
	world  *World
	a, b   []*Host
	oneWay bool // only traffic from a to b is lost
	healed bool
}

// Cut creates a partition between two sets of hosts.
func (w *World) Cut(a, b []*Host) *Partition {
	c := &Partition{world: w, a: slices.Clone(a), b: slices.Clone(b)}
	c.add(1)
	w.record(Record{What: "cut", Size: len(a) * len(b)})
	return c
}

// CutOneWay creates a partition that loses all traffic from the hosts of a to those of b; traffic
// from b to a still arrives.
func (w *World) CutOneWay(a, b []*Host) *Partition {
	c := &Partition{world: w, a: slices.Clone(a), b: slices.Clone(b), oneWay: true}
	c.add(1)
	w.record(Record{What: "cut", Size: len(a) * len(b)})
	return c
}

// Heal ends the partition. Connections across it continue when their segments are next
// retransmitted.
func (c *Partition) Heal() {
	if !c.healed {
		c.healed = true
		c.add(-1)
		c.world.record(Record{What: "heal", Size: len(c.a) * len(c.b)})
	}
}

func (c *Partition) add(n int) {
	for _, a := range c.a {
		for _, b := range c.b {
			if a != b {
				c.world.path(a, b).partitions += n
				if !c.oneWay {
					c.world.path(b, a).partitions += n
				}
			}
		}
	}
}
