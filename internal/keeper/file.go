package keeper

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	logName  = "keeper.log"
	tempName = "keeper.tmp"
)

// File is a keeper's log on a real disk. One goroutine of its own writes and syncs, so that the loop never waits for a
// disk; it reports by post what it has done. It owns the file and the lock on its folder.
type File struct {
	dir             string
	lock            *os.File
	file            logFile
	system          fileSystem
	durable         []byte // what is on disk for certain
	contentsUnknown bool   // a write has failed since: what the file holds behind that text, or in its place, is not known
	jobs            chan writeJob
	post            func(func())
	closing         chan struct{}
	finished        chan struct{}
}

// logFile is an open file that is written and synced.
type logFile interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// fileSystem is what a File needs of the disk; a test has it fail.
type fileSystem struct {
	create  func(path string) (logFile, error) // empty
	rename  func(from, to string) error
	syncDir func(path string) error
}

func realFileSystem() fileSystem {
	return fileSystem{
		create: func(path string) (logFile, error) {
			return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
		},
		rename:  os.Rename,
		syncDir: syncDir,
	}
}

// writeJob is a write that waits for its turn.
type writeJob struct {
	data    []byte
	replace bool
	done    func(error)
}

// Create makes the log of a new disk in a folder, which is made if it is not there. A log that is there stays, and Create returns
// an error: what it promised must not be forgotten.
func Create(dir string, identity uint64) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, logName), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("keeper: %s is there already; a keeper's log is made once, when its fleet is first set up", logPath(dir))
	}
	if err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	_, err = f.Write(InitialRecord(identity))
	return errors.Join(err, f.Sync(), f.Close(), syncDir(dir))
}

func logPath(dir string) string { return filepath.Join(dir, logName) }

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// OpenFile opens a log, cuts off a torn last record and returns what it holds. post passes a function to the goroutine that
// drives the keeper. ErrEmpty means that there is no log, ErrDamaged that it can't be trusted.
func OpenFile(dir string, post func(func())) (*File, *RestoredLog, error) {
	path := logPath(dir)
	lock, err := os.OpenFile(filepath.Join(dir, "keeper.lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, fmt.Errorf("%w in %s", ErrEmpty, dir)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("keeper: %w", err)
	}
	file, data, restored, err := open(path, lock)
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	w := &File{dir: dir, lock: lock, file: file, system: realFileSystem(), durable: data, jobs: make(chan writeJob, 64), post: post,
		closing: make(chan struct{}), finished: make(chan struct{})}
	go w.run()
	return w, restored, nil
}

func open(path string, lock *os.File) (*os.File, []byte, *RestoredLog, error) {
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, nil, nil, fmt.Errorf("keeper: %s: another process has it: %w", path, err)
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil, fmt.Errorf("%w at %s", ErrEmpty, path)
	}
	if err != nil {
		return nil, nil, nil, fmt.Errorf("keeper: %w", err)
	}
	restored, err := Restore(data)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("keeper: %w", err)
	}
	if err := truncateAt(f, int64(restored.ValidBytes)); err != nil {
		f.Close()
		return nil, nil, nil, fmt.Errorf("keeper: %s: the torn end can't be cut off: %w", path, err)
	}
	return f, data[:restored.ValidBytes], restored, nil
}

// truncateAt cuts a file off behind its first size bytes and syncs that.
func truncateAt(f *os.File, size int64) error {
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Append writes b behind the log and syncs it; done is called by post.
func (w *File) Append(b []byte, done func(error)) { w.jobs <- writeJob{b, false, done} }

// Replace puts a log in this one's place, all of it or nothing; done is called by post.
func (w *File) Replace(b []byte, done func(error)) { w.jobs <- writeJob{b, true, done} }

// Close waits for the writes that were begun and closes the file and the lock. A write that the disk refuses is not waited for.
func (w *File) Close() {
	close(w.closing)
	close(w.jobs)
	<-w.finished
}

const (
	// A disk that refuses is tried again after minRetryDelay, which doubles up to maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// run writes until Close.
func (w *File) run() {
	defer close(w.finished)
	for j := range w.jobs {
		err := w.execute(j)
		w.post(func() { j.done(err) })
	}
	w.file.Close()
	w.lock.Close()
}

// execute carries a write out, however long the disk refuses. After a failed write nobody knows what the file holds, and after a failed
// sync the kernel may have dropped pages and call the next sync good. So nothing more is written to that file: a new one with all that
// is pending takes its place. Until that is on disk the write is not done, and whoever waits for it is not answered.
func (w *File) execute(j writeJob) error {
	contents := j.data
	if !j.replace {
		contents = append(slices.Clip(w.durable), j.data...)
	}
	var err error
	if !w.contentsUnknown {
		if err = w.write(j); err == nil {
			w.durable = contents
			return nil
		}
		w.contentsUnknown = true
	}
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		if err = w.replace(contents); err == nil {
			w.contentsUnknown, w.durable = false, contents
			return nil
		}
		select {
		case <-time.After(pause):
		case <-w.closing:
			return err
		}
	}
}

func (w *File) write(j writeJob) error {
	if j.replace {
		return w.replace(j.data)
	}
	if _, err := w.file.Write(j.data); err != nil {
		return err
	}
	return w.file.Sync()
}

// replace writes a new file and puts it in the log's place once it is on disk.
func (w *File) replace(data []byte) error {
	path := filepath.Join(w.dir, tempName)
	file, err := w.system.create(path)
	if err != nil {
		return err
	}
	if err := w.install(file, path, data); err != nil {
		file.Close()
		return err
	}
	w.file.Close()
	w.file = file
	return nil
}

// install writes a file and renames it to the log's name; each step is on disk before the next one.
func (w *File) install(file logFile, path string, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := w.system.rename(path, logPath(w.dir)); err != nil {
		return err
	}
	return w.system.syncDir(w.dir)
}
