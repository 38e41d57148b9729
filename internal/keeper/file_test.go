package keeper

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// diskFault is a kind of failure of a simulated disk.
type diskFault int32

const (
	noFault      diskFault = iota
	diskFull               // a write stores half of its data and returns ENOSPC
	syncFails              // Sync returns EIO: earlier writes may or may not be on disk
	allCallsFail           // every call returns EIO
)

// faultyFile is a file on a disk with the fault that fault holds.
type faultyFile struct {
	*os.File
	fault *atomic.Int32
}

func (f faultyFile) Write(p []byte) (int, error) {
	switch diskFault(f.fault.Load()) {
	case diskFull:
		n, _ := f.File.Write(p[:len(p)/2])
		return n, unix.ENOSPC
	case allCallsFail:
		return 0, unix.EIO
	}
	return f.File.Write(p)
}

func (f faultyFile) Sync() error {
	if r := diskFault(f.fault.Load()); r == syncFails || r == allCallsFail {
		return unix.EIO
	}
	return f.File.Sync()
}

// A disk fails for 300 ms with each kind of fault, during appends and replacements, and then works
// again. Afterwards all writes must be on disk, in order and once, no write may have been
// acknowledged before it was on disk, and the file must be a log that a restart can read.
func TestFileRecoversFromDiskFaults(t *testing.T) {
	for _, fault := range []diskFault{diskFull, syncFails, allCallsFail} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(fault, " ", seed), func(t *testing.T) {
				t.Parallel()
				testDiskFault(t, fault, rand.New(rand.NewPCG(seed, uint64(fault))))
			})
		}
	}
}

func testDiskFault(t *testing.T, fault diskFault, rng *rand.Rand) {
	dir := t.TempDir()
	if err := Create(dir, 7); err != nil {
		t.Fatal(err)
	}
	posted := make(chan func(), 100)
	w, _, err := OpenFile(dir, func(f func()) { posted <- f })
	if err != nil {
		t.Fatal(err)
	}
	var current atomic.Int32
	createFaulty := func(path string) (logFile, error) {
		if diskFault(current.Load()) == allCallsFail {
			return nil, unix.EIO
		}
		f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
		return faultyFile{f, &current}, err
	}
	w.system.create = createFaulty
	w.file = faultyFile{w.file.(*os.File), &current}

	want := InitialRecord(7)
	write := func(n int) {
		data := InitialRecord(uint64(100 + n)) // any complete record
		if rng.IntN(4) == 0 {
			want = append(InitialRecord(7), data...)
			w.Replace(want, func(err error) { expectSuccess(t, err) })
		} else {
			want = append(bytes.Clone(want), data...)
			w.Append(data, func(err error) { expectSuccess(t, err) })
		}
	}
	const jobs = 12
	acknowledged := 0
	for n := range jobs {
		if n == 4 {
			current.Store(int32(fault))
			time.AfterFunc(300*time.Millisecond, func() { current.Store(int32(noFault)) })
		}
		write(n)
		select {
		case f := <-posted:
			if f(); diskFault(current.Load()) != noFault && n >= 4 {
				t.Errorf("write %d was acknowledged during the disk fault", n)
			}
			acknowledged++
		case <-time.After(5 * time.Second):
			t.Fatalf("write %d is not done after 5 s", n)
		}
		if got, err := os.ReadFile(filepath.Join(dir, logName)); err != nil || !bytes.HasPrefix(got, want) {
			t.Errorf("write %d was acknowledged and is not on disk: %v", n, err)
		}
	}
	w.Close()
	got, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("the file has %d bytes, want %d; %v", len(got), len(want), err)
	}
	if _, err := Restore(got); err != nil {
		t.Error(err)
	}
}

func expectSuccess(t *testing.T, err error) {
	if err != nil {
		t.Errorf("write failed: %v", err)
	}
}
