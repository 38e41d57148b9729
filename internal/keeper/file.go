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

// File is a keeper's log on a real disk. A goroutine of its own writes and syncs, so that the event
// loop never blocks on the disk. It reports each completed write through post. File owns the log
// file and the lock file of its directory.
type File struct {
	dir             string
	lock            *os.File // holds the lock on dir
	file            logFile
	system          fileSystem
	durable         []byte // contents known to be on disk
	contentsUnknown bool   // a write failed: the file may hold more or other data than durable
	jobs            chan writeJob
	post            func(func()) // runs a function on the goroutine that drives the keeper
	closing         chan struct{}
	finished        chan struct{}
}

// logFile is the open log file.
type logFile interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// fileSystem holds the file system operations of a File, so that tests can inject failures.
type fileSystem struct {
	create  func(path string) (logFile, error) // creates the file, or truncates it to 0 bytes
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

// writeJob is a queued write.
type writeJob struct {
	data    []byte
	replace bool // data replaces the whole log instead of being appended
	done    func(error)
}

// Create creates the log of a new disk in a directory, and the directory if it is missing. If there
// is a log already, Create leaves it as it is and returns an error: the votes and entries that it
// acknowledged must not be lost.
func Create(dir string, identity uint64) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, logName), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("keeper: %s is there already; a keeper's log is created only once, when its fleet is first set up", logPath(dir))
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

// OpenFile opens the log in a directory, truncates a torn last record and returns the contents.
// post runs a function on the goroutine that drives the keeper. The error is ErrEmpty if there is
// no log and ErrDamaged if the log is corrupt.
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
		return nil, nil, nil, fmt.Errorf("keeper: %s: locked by another process: %w", path, err)
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
		return nil, nil, nil, fmt.Errorf("keeper: %s: can't truncate the torn last record: %w", path, err)
	}
	return f, data[:restored.ValidBytes], restored, nil
}

// truncateAt truncates a file to size bytes and syncs it.
func truncateAt(f *os.File, size int64) error {
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Append queues b to be appended to the log and synced. done is called through post.
func (w *File) Append(b []byte, done func(error)) { w.jobs <- writeJob{b, false, done} }

// Replace queues the atomic replacement of the whole log by b. done is called through post.
func (w *File) Replace(b []byte, done func(error)) { w.jobs <- writeJob{b, true, done} }

// Close waits for the queued writes, then closes the log file and the lock file. A write that fails
// is not retried any more.
func (w *File) Close() {
	close(w.closing)
	close(w.jobs)
	<-w.finished
}

const (
	// A failed write is retried after minRetryDelay. The delay doubles up to maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// run executes the queued writes until Close.
func (w *File) run() {
	defer close(w.finished)
	for j := range w.jobs {
		err := w.execute(j)
		w.post(func() { j.done(err) })
	}
	w.file.Close()
	w.lock.Close()
}

// execute performs a write and retries it until it succeeds or the File is closed. After a failed
// write the contents of the file are unknown, and after a failed sync the kernel may have dropped
// dirty pages and report success for the next sync. So nothing more is written to that file: a new
// file with the durable contents and the pending write replaces it. Until the new file is on disk
// the write is not reported, and no request that depends on it is answered.
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

// replace writes a new file and replaces the log with it once it is on disk.
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

// install writes a file and renames it to the log's name. Each step is durable before the next one
// begins.
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
