package vnet

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Disk is one file on a machine's disk. It stays when the process is killed; what had not been synced by then may be there,
// in part, or not at all.
type Disk struct {
	host      *Host
	rng       *rand.Rand
	durable   []byte // durable
	queue     []diskWrite
	busy      bool
	faults    DiskFaults
	onWritten func() // called when a write has become durable, before the process hears of it
}

type diskWrite struct {
	data        []byte
	replace     bool
	done        func(error)
	incarnation int
}

// DiskFaults are what goes wrong. The zero value is a disk that takes no time and loses only what is not synced.
type DiskFaults struct {
	Delay, Jitter time.Duration // of a write and its sync
	Torn          float64       // part of the kills that leave a part of an unsynced write, 0 to 1
	Scrambled     float64       // part of these in which an earlier part of the write is missing, and a later one there
	FailSync      bool          // each sync fails from now on
	WritesBlocked bool          // nothing is written for now: writes wait, as keeper.File has them wait, until this is over
	Capacity      int           // bytes that it holds at the most; 0: without end
}

// The errors of a Disk.
var (
	ErrSync = errors.New("vnet: sync failed")
	ErrFull = errors.New("vnet: no space left")
)

// Disk returns the machine's file of that name, made empty when it is first asked for.
func (h *Host) Disk(name string) *Disk {
	if h.disks == nil {
		h.disks = make(map[string]*Disk)
	}
	d := h.disks[name]
	if d == nil {
		d = &Disk{host: h, rng: h.world.Rand("disk " + h.name + " " + name)}
		h.disks[name] = d
		h.diskOrder = append(h.diskOrder, d)
	}
	return d
}

// SetFaults changes what goes wrong.
func (d *Disk) SetFaults(f DiskFaults) { d.faults = f }

// Faults are those in force.
func (d *Disk) Faults() DiskFaults { return d.faults }

// OnWritten has f called when a write has become durable, before the process hears of it.
func (d *Disk) OnWritten(f func()) { d.onWritten = f }

// Contents is what is durable.
func (d *Disk) Contents() []byte { return append([]byte(nil), d.durable...) }

// SetContents changes the file from outside, as a wiped or damaged disk.
func (d *Disk) SetContents(text []byte) { d.durable = append([]byte(nil), text...) }

// Truncate cuts the file off, as a process does at its start.
func (d *Disk) Truncate(size int) { d.durable = d.durable[:min(size, len(d.durable))] }

// Append writes behind the file and syncs it; done is called on the process's machine when it is durable.
func (d *Disk) Append(b []byte, done func(error)) { d.write(b, false, done) }

// Replace puts a file in this one's place: all of it, or nothing.
func (d *Disk) Replace(b []byte, done func(error)) { d.write(b, true, done) }

func (d *Disk) write(b []byte, replace bool, done func(error)) {
	d.queue = append(d.queue, diskWrite{append([]byte(nil), b...), replace, done, d.host.incarnation})
	d.startNext()
}

func (d *Disk) startNext() {
	if d.busy || len(d.queue) == 0 {
		return
	}
	d.busy = true
	duration := d.faults.Delay
	if d.faults.Jitter > 0 {
		duration += time.Duration(d.rng.Int64N(int64(d.faults.Jitter) + 1))
	}
	life := d.host.incarnation
	d.host.world.After(duration, func() {
		if life == d.host.incarnation {
			d.finish()
		}
	})
}

// blockedRetryInterval is how often a write is tried again on a disk that refuses.
const blockedRetryInterval = 100 * time.Millisecond

func (d *Disk) finish() {
	if d.faults.WritesBlocked {
		life := d.host.incarnation
		d.host.world.After(blockedRetryInterval, func() {
			if life == d.host.incarnation {
				d.finish()
			}
		})
		return
	}
	w := d.queue[0]
	d.queue = d.queue[1:]
	d.busy = false
	var err error
	switch size := len(w.data); {
	case d.faults.FailSync:
		err = ErrSync
	case d.faults.Capacity > 0 && (w.replace && size > d.faults.Capacity || !w.replace && len(d.durable)+size > d.faults.Capacity):
		err = ErrFull
	case w.replace:
		d.durable = w.data
	default:
		d.durable = append(d.durable, w.data...)
	}
	if err == nil && d.onWritten != nil {
		d.onWritten()
	}
	d.deliver(w, err)
	d.startNext()
}

// deliver tells the process, once it runs.
func (d *Disk) deliver(w diskWrite, err error) {
	h := d.host
	if w.incarnation != h.incarnation {
		return
	}
	if h.stalledUntil > h.world.now {
		h.world.After(h.stalledUntil-h.world.now, func() { d.deliver(w, err) })
		return
	}
	w.done(err)
	if w.incarnation == h.incarnation {
		h.schedule(h.world.now)
	}
}

// crash is what a kill leaves: of the write that was under way perhaps a part, of later ones nothing.
func (d *Disk) crash() {
	if d.busy && len(d.queue) > 0 && !d.queue[0].replace && d.rng.Float64() < d.faults.Torn {
		part := d.queue[0].data
		part = append([]byte(nil), part[:d.rng.IntN(len(part)+1)]...)
		if d.rng.Float64() < d.faults.Scrambled {
			clear(part[:d.rng.IntN(len(part)+1)])
		}
		d.durable = append(d.durable, part...)
	}
	d.queue, d.busy = nil, false
}
