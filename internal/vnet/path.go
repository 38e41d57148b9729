package vnet

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Link is the way from one host to another, in one direction.
type Link struct {
	Delay  time.Duration // of every segment
	Jitter time.Duration // added to it, drawn evenly from none to this
	// Loss is the part of the segments that get lost, 0 to 1. A lost one of a connection arrives by its retransmission,
	// and what follows waits for it; a lost datagram is gone.
	Loss      float64
	Bandwidth float64 // bytes a second; 0: without end
}

const (
	// minRTO is the least time after which a segment is sent again; it doubles with each try, up to maxRTO. SYNs wait
	// synRTO first. These are Linux's figures.
	minRTO = 200 * time.Millisecond
	maxRTO = 120 * time.Second
	synRTO = time.Second
)

// Reaches tells whether what one host sends gets to another now, and its answer back.
func (w *World) Reaches(a, b *Host) bool { return w.path(a, b).delivers() && w.path(b, a).delivers() }

type pair struct{ from, to int32 }

// path is a Link with its state.
type path struct {
	Link
	rng        *rand.Rand
	busyUntil  time.Duration // until when segments that were sent before take its bandwidth
	partitions int           // partitions that lie across it
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

// rand returns the path's own stream, made when it is first needed: most of a big fleet's paths carry nothing.
func (p *path) rand() *rand.Rand {
	if p.rng == nil {
		p.rng = p.from.world.Rand("path " + p.from.name + " " + p.to.name)
	}
	return p.rng
}

// transit is how long a segment of that size takes; lost tells that it does not arrive.
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

// segmentHeaderSize is the size of a segment's headers on a link.
const segmentHeaderSize = 66

// delivers tells whether a segment gets through now: no partition lies across the path and both machines are there.
func (p *path) delivers() bool { return p.partitions == 0 && !p.from.unreachable && !p.to.unreachable }

// Partition cuts every path between the hosts of a and those of b, both ways, until Heal. Partitions may overlap: a
// path carries again once all that lie across it are healed.
type Partition struct {
	world  *World
	a, b   []*Host
	oneWay bool // only what a sends to b is lost
	healed bool
}

// Cut makes a partition between two sets of hosts.
func (w *World) Cut(a, b []*Host) *Partition {
	c := &Partition{world: w, a: slices.Clone(a), b: slices.Clone(b)}
	c.add(1)
	w.record(Record{What: "cut", Size: len(a) * len(b)})
	return c
}

// CutOneWay makes a partition that loses what the hosts of a send to those of b; b is still heard.
func (w *World) CutOneWay(a, b []*Host) *Partition {
	c := &Partition{world: w, a: slices.Clone(a), b: slices.Clone(b), oneWay: true}
	c.add(1)
	w.record(Record{What: "cut", Size: len(a) * len(b)})
	return c
}

// Heal ends the partition. Connections across it go on when their segments are next sent again.
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
