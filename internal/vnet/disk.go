package vnet

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Disk is one file on a machine's disk. It survives the process being killed. Data that was not
// synced by then may be present, present in part, or missing.
type Disk struct {
	host      *Host
	rng       *rand.Rand
	durable   []byte // the durable contents
	queue     []diskWrite
	busy      bool
	faults    DiskFaults
	onWritten func() // called when a write has become durable, before the process is told
}

type diskWrite struct {
	data        []byte
	replace     bool
	done        func(error)
	incarnation int
}

// DiskFaults configures the faults of a Disk. The zero value is a disk that takes no time and loses
// only what is not synced.
type DiskFaults struct {
	Delay, Jitter time.Duration // of a write and its sync: fixed part, largest random part
	Torn          float64       // probability that a kill leaves part of an unsynced write, 0 to 1
	Scrambled     float64       // probability that such a part lacks an earlier piece, 0 to 1
	FailSync      bool          // each sync fails from now on
	WritesBlocked bool          // writes wait until this is cleared, as keeper.File makes them wait
	Capacity      int           // capacity in bytes; 0: unlimited
}

// Errors of a Disk's writes.
var (
	ErrSync = errors.New("vnet: disk sync failed")
	ErrFull = errors.New("vnet: no space left on disk")
)

// Disk returns the machine's file of that name, created empty on first use.
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

// SetFaults sets the faults in force.
func (d *Disk) SetFaults(f DiskFaults) { d.faults = f }

// Faults returns the faults in force.
func (d *Disk) Faults() DiskFaults { return d.faults }

// OnWritten sets a function that is called when a write has become durable, before the process is
// told.
func (d *Disk) OnWritten(f func()) { d.onWritten = f }

// Contents returns a copy of the durable contents.
func (d *Disk) Contents() []byte { return append([]byte(nil), d.durable...) }

// SetContents replaces the file from outside, as a wiped or damaged disk does.
func (d *Disk) SetContents(text []byte) { d.durable = append([]byte(nil), text...) }

// Truncate cuts the file to at most size bytes, as a process does at its start.
func (d *Disk) Truncate(size int) { d.durable = d.durable[:min(size, len(d.durable))] }

// Append appends b to the file and syncs it. done is called on the process's machine with the
// result of the write; a nil error means that the data is durable.
func (d *Disk) Append(b []byte, done func(error)) { d.write(b, false, done) }

// Replace atomically replaces the whole file with b: either all of b becomes durable, or nothing.
// done is called as for Disk.Append.
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
	incarnation := d.host.incarnation
	d.host.world.After(duration, func() {
		if incarnation == d.host.incarnation {
			d.finish()
		}
	})
}

// blockedRetryInterval is the interval at which a write is retried while the disk blocks writes.
const blockedRetryInterval = 100 * time.Millisecond

func (d *Disk) finish() {
	if d.faults.WritesBlocked {
		incarnation := d.host.incarnation
		d.host.world.After(blockedRetryInterval, func() {
			if incarnation == d.host.incarnation {
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

// deliver reports the result of a write to the process, once the process runs.
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

// crash applies the effect of a kill: the write in progress may leave a part of its data, and later
// writes leave nothing.
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
