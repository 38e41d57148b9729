// Package vnet is a network that does not exist: many hosts in one process, each a poll.Kernel of its own, joined by
// links with delay, jitter, loss and bandwidth. Time is virtual: it jumps from one event to the next, and one ordered
// queue holds the events of all hosts. A program written on poll.Loop runs on it unchanged.
//
// Everything that is drawn comes from the world's seed, and each concern has a stream of its own, so that a fault which
// is added to a run does not shift the draws of the others. The same program with the same seed is the same run, event
// for event; TraceSum tells.
//
// What it leaves out of a real network: congestion control, segmentation (a send is one segment), reordering (TCP hides
// it) and acknowledgements (a window opens when the far end reads; a sender that found it shut hears of that one way's
// delay later). Loss shows as what it costs a TCP connection: a delay of all that follows.
package vnet

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Epoch is the time at which every world begins: a run must not depend on when it is made.
var epoch = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// World is a network and the machines on it. It belongs to one goroutine.
type World struct {
	seed          uint64
	now           time.Duration // since the epoch
	queue         eventQueue
	hosts         []*Host
	byAddr        map[netip.Addr]*Host
	paths         map[pair]*path
	linkFunc      func(from, to *Host) Link
	segmentPool   []*segment // segments that were used up
	traceHash     *xxhash.Digest
	recent        recentRecords
	tap           Tap
	datagramFault func(from, to *Host, size int) DatagramFault
	connCount     uint64 // opened so far
	eventCount    uint64
	failure       error
}

// New returns a world without hosts. link gives the way from one host to another, asked once for each pair; nil stands
// for links without delay.
func New(seed uint64, link func(from, to *Host) Link) *World {
	if link == nil {
		link = func(_, _ *Host) Link { return Link{} }
	}
	return &World{
		seed: seed, linkFunc: link, byAddr: make(map[netip.Addr]*Host), paths: make(map[pair]*path), traceHash: xxhash.New(),
	}
}

// Seed is what New was given.
func (w *World) Seed() uint64 { return w.seed }

// Now is the present virtual time.
func (w *World) Now() time.Time { return epoch.Add(w.now) }

// Elapsed is the virtual time since the world began.
func (w *World) Elapsed() time.Duration { return w.now }

// Events tells how many events have happened.
func (w *World) Events() uint64 { return w.eventCount }

// TraceSum is a hash over all events so far: kind, time, hosts and size of each.
func (w *World) TraceSum() uint64 { return w.traceHash.Sum64() }

// Rand returns the stream of draws of one concern: the same name in the same world is the same stream from its start.
func (w *World) Rand(concern string) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(concern)))
}

// After has f called after d; it is an event of the world's own, a fault or a measurement, and belongs to no host.
func (w *World) After(d time.Duration, f func()) {
	w.queue.push(w.now+max(d, 0), callback(f))
}

type callback func()

func (f callback) execute(w *World) {
	w.record(Record{What: "world"})
	f()
}

// Run lets the world go on for d. It ends early, with the error, once Fail was called.
func (w *World) Run(d time.Duration) error {
	until := w.now + d
	for w.failure == nil && len(w.queue.heap) > 0 && w.queue.heap[0].at <= until {
		e := w.queue.pop()
		w.now = e.at
		w.eventCount++
		e.action.execute(w)
	}
	if w.failure == nil {
		w.now = until
	}
	return w.failure
}

// Fail stops the run: something that must never happen has happened. Only the first failure counts.
func (w *World) Fail(err error) {
	if w.failure == nil && err != nil {
		w.failure = &Failure{Seed: w.seed, At: w.now, Err: err, Last: w.recent.list()}
	}
}

// Failure is a run that Fail stopped.
type Failure struct {
	Seed uint64
	At   time.Duration // since the world began
	Err  error
	Last []Record // what happened just before, the latest last
}

func (f *Failure) Error() string {
	return fmt.Sprintf("seed %d, %v: %v", f.Seed, f.At, f.Err)
}

func (f *Failure) Unwrap() error { return f.Err }

// Record is one event of the trace.
type Record struct {
	At       time.Duration
	What     string // a word of fixed spelling
	From, To *Host  // may be nil
	Port     uint16 // of the side that listens; 0: does not apply
	Size     int    // bytes
}

func (r Record) String() string {
	name := func(h *Host) string {
		if h == nil {
			return "-"
		}
		return h.name
	}
	return fmt.Sprintf("%12v %-8s %s -> %s port %d, %d bytes", r.At, r.What, name(r.From), name(r.To), r.Port, r.Size)
}

// record takes an event into the trace.
func (w *World) record(r Record) {
	r.At = w.now
	w.recent.add(r)
	var b [32]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.At))
	count := 8 + copy(b[8:16], r.What)
	b[16], b[17] = 0, byte(count)
	if r.From != nil {
		binary.LittleEndian.PutUint32(b[18:], uint32(r.From.index+1))
	}
	if r.To != nil {
		binary.LittleEndian.PutUint32(b[22:], uint32(r.To.index+1))
	}
	binary.LittleEndian.PutUint16(b[26:], r.Port)
	binary.LittleEndian.PutUint32(b[28:], uint32(r.Size))
	_, _ = w.traceHash.Write(b[:]) // a hash takes all
}

// Note takes something that a model on top of the world wants in its trace.
func (w *World) Note(what string, from, to *Host, size int) {
	w.record(Record{What: what, From: from, To: to, Size: size})
}

// recentRecords keeps the last records in a ring.
type recentRecords struct {
	ring [64]Record
	n    int
}

func (r *recentRecords) add(rec Record) {
	r.ring[r.n%len(r.ring)] = rec
	r.n++
}

func (r *recentRecords) list() []Record {
	var list []Record
	for i := max(r.n-len(r.ring), 0); i < r.n; i++ {
		list = append(list, r.ring[i%len(r.ring)])
	}
	return list
}
