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

// refusal is what a disk does for a while instead of its work.
type refusal int32

const (
	bears     refusal = iota
	full              // writes end in the middle with ENOSPC
	failsSync         // what was written may or may not be there
	failsAll          // EIO, whatever is asked
)

// refusingFile is a file on a disk that refuses.
type refusingFile struct {
	*os.File
	now *atomic.Int32
}

func (f refusingFile) Write(p []byte) (int, error) {
	switch refusal(f.now.Load()) {
	case full:
		n, _ := f.File.Write(p[:len(p)/2])
		return n, unix.ENOSPC
	case failsAll:
		return 0, unix.EIO
	}
	return f.File.Write(p)
}

func (f refusingFile) Sync() error {
	if r := refusal(f.now.Load()); r == failsSync || r == failsAll {
		return unix.EIO
	}
	return f.File.Sync()
}

// A disk refuses for a while, in each way and in the middle of each kind of write, and bears again. All that was taken is written
// then, in order and once, nothing was acknowledged before it was there, and a restart finds it.
func TestFileOnADiskThatRefusesForAWhile(t *testing.T) {
	for _, how := range []refusal{full, failsSync, failsAll} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(how, " ", seed), func(t *testing.T) {
				t.Parallel()
				playRefusal(t, how, rand.New(rand.NewPCG(seed, uint64(how))))
			})
		}
	}
}

func playRefusal(t *testing.T, how refusal, rng *rand.Rand) {
	dir := t.TempDir()
	if err := Create(dir, 7); err != nil {
		t.Fatal(err)
	}
	posted := make(chan func(), 100)
	w, _, err := OpenFile(dir, func(f func()) { posted <- f })
	if err != nil {
		t.Fatal(err)
	}
	var now atomic.Int32
	refusing := func(path string) (logFile, error) {
		if refusal(now.Load()) == failsAll {
			return nil, unix.EIO
		}
		f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
		return refusingFile{f, &now}, err
	}
	w.system.create = refusing
	w.file = refusingFile{w.file.(*os.File), &now}

	want := InitialRecord(7)
	write := func(n int) {
		text := InitialRecord(uint64(100 + n)) // any whole record
		if rng.IntN(4) == 0 {
			want = append(InitialRecord(7), text...)
			w.Replace(want, func(err error) { reported(t, err) })
		} else {
			want = append(bytes.Clone(want), text...)
			w.Append(text, func(err error) { reported(t, err) })
		}
	}
	const jobs = 12
	acknowledged := 0
	for n := range jobs {
		if n == 4 {
			now.Store(int32(how))
			time.AfterFunc(300*time.Millisecond, func() { now.Store(int32(bears)) })
		}
		write(n)
		select {
		case f := <-posted:
			if f(); refusal(now.Load()) != bears && n >= 4 {
				t.Errorf("write %d was acknowledged while the disk refused", n)
			}
			acknowledged++
		case <-time.After(5 * time.Second):
			t.Fatalf("write %d is not done 5 s later", n)
		}
		if got, err := os.ReadFile(filepath.Join(dir, logName)); err != nil || !bytes.HasPrefix(got, want) {
			t.Errorf("write %d was acknowledged and is not there: %v", n, err)
		}
	}
	w.Close()
	got, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes are there, want %d, %v", len(got), len(want), err)
	}
	if _, err := Restore(got); err != nil {
		t.Error(err)
	}
}

func reported(t *testing.T, err error) {
	if err != nil {
		t.Errorf("a write ended with %v", err)
	}
}
