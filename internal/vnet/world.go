// Package vnet simulates a network in virtual time: many hosts in one process, each with its own
// poll.Kernel, joined by links with delay, jitter, loss and bandwidth. Virtual time jumps from one
// event to the next, and one ordered queue holds the events of all hosts. A program written on
// poll.Loop runs on it unchanged.
//
// All random draws derive from the world's seed. Each concern has its own random stream, so a fault
// that is added to a run does not shift the draws of the others. The same program with the same
// seed gives the same run, event for event; World.TraceSum verifies this.
//
// The simulation leaves out congestion control, segmentation (a send is one segment), reordering
// (TCP hides it) and acknowledgements (a window opens when the peer reads; a sender that found it
// closed learns of this one one-way delay later). For a TCP connection, loss shows as a delay of
// all later segments.
package vnet

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// epoch is the virtual time at which every world begins. It is fixed so that a run does not depend
// on the wall clock.
var epoch = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// World is a simulated network and its hosts. It must be used from a single goroutine.
type World struct {
	seed          uint64
	now           time.Duration // virtual time since epoch
	queue         eventQueue
	hosts         []*Host
	byAddr        map[netip.Addr]*Host
	paths         map[pair]*path
	linkFunc      func(from, to *Host) Link
	segmentPool   []*segment // segments free for reuse
	traceHash     *xxhash.Digest
	recent        recentRecords
	tap           Tap
	datagramFault func(from, to *Host, size int) DatagramFault
	connCount     uint64 // connections opened so far
	eventCount    uint64
	failure       error
}

// New returns a World without hosts. link returns the properties of the path from one host to
// another and is called once for each ordered pair; nil stands for links without delay.
func New(seed uint64, link func(from, to *Host) Link) *World {
	if link == nil {
		link = func(_, _ *Host) Link { return Link{} }
	}
	return &World{
		seed: seed, linkFunc: link, byAddr: make(map[netip.Addr]*Host), paths: make(map[pair]*path), traceHash: xxhash.New(),
	}
}

// Seed returns the seed that was passed to New.
func (w *World) Seed() uint64 { return w.seed }

// Now returns the current virtual time.
func (w *World) Now() time.Time { return epoch.Add(w.now) }

// Elapsed returns the virtual time since the world began.
func (w *World) Elapsed() time.Duration { return w.now }

// Events returns the number of events executed so far.
func (w *World) Events() uint64 { return w.eventCount }

// TraceSum returns a hash over all events so far: kind, time, hosts and size of each.
func (w *World) TraceSum() uint64 { return w.traceHash.Sum64() }

// Rand returns a new random stream for one concern. Two calls with the same name in the same world
// return the same stream, from its start.
func (w *World) Rand(concern string) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(concern)))
}

// After calls f once d has elapsed. The call is an event of the world itself, such as a fault or a
// measurement, and belongs to no host.
func (w *World) After(d time.Duration, f func()) {
	w.queue.push(w.now+max(d, 0), callback(f))
}

type callback func()

func (f callback) execute(w *World) {
	w.record(Record{What: "world"})
	f()
}

// Run advances the world by d. It ends early, with the error, once Fail was called.
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

// Fail stops the run because an invariant was violated. Only the first failure counts.
func (w *World) Fail(err error) {
	if w.failure == nil && err != nil {
		w.failure = &Failure{Seed: w.seed, At: w.now, Err: err, Last: w.recent.list()}
	}
}

// Failure is the error of a run that Fail stopped.
type Failure struct {
	Seed uint64
	At   time.Duration // virtual time since the world began
	Err  error
	Last []Record // the events just before the failure, oldest first
}

// Error returns the seed and virtual time of the failure and its cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("seed %d, %v: %v", f.Seed, f.At, f.Err)
}

// Unwrap returns the cause of the failure.
func (f *Failure) Unwrap() error { return f.Err }

// Record is one event of the trace.
type Record struct {
	At       time.Duration
	What     string // event kind, one of a fixed set of words
	From, To *Host  // may be nil
	Port     uint16 // port of the listening side; 0: does not apply
	Size     int    // bytes
}

// String formats the record as a line of the trace.
func (r Record) String() string {
	name := func(h *Host) string {
		if h == nil {
			return "-"
		}
		return h.name
	}
	return fmt.Sprintf("%12v %-8s %s -> %s port %d, %d bytes", r.At, r.What, name(r.From), name(r.To), r.Port, r.Size)
}

// record adds an event to the trace.
func (w *World) record(r Record) {
	r.At = w.now
	w.recent.add(r)
	var b [32]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.At))
	kindEnd := 8 + copy(b[8:16], r.What)
	b[16], b[17] = 0, byte(kindEnd)
	if r.From != nil {
		binary.LittleEndian.PutUint32(b[18:], uint32(r.From.index+1))
	}
	if r.To != nil {
		binary.LittleEndian.PutUint32(b[22:], uint32(r.To.index+1))
	}
	binary.LittleEndian.PutUint16(b[26:], r.Port)
	binary.LittleEndian.PutUint32(b[28:], uint32(r.Size))
	_, _ = w.traceHash.Write(b[:]) // a hash never fails to write
}

// Note adds an event to the trace on behalf of a model that runs on top of the world.
func (w *World) Note(what string, from, to *Host, size int) {
	w.record(Record{What: what, From: from, To: to, Size: size})
}

// recentRecords keeps the last records in a ring buffer.
type recentRecords struct {
	ring  [64]Record
	total int
}

func (r *recentRecords) add(rec Record) {
	r.ring[r.total%len(r.ring)] = rec
	r.total++
}

func (r *recentRecords) list() []Record {
	var list []Record
	for i := max(r.total-len(r.ring), 0); i < r.total; i++ {
		list = append(list, r.ring[i%len(r.ring)])
	}
	return list
}
