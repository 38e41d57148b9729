// Package stand has the stand-ins of the review's cases: a discovery, servers and clients that speak
// the platform's protocol on loopback addresses, and the project's proxy as a process of its own.
package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the list of what was sent, answered and run in a case, written to a file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record. The times in it count from now.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as seconds since the start of the record.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Verdict adds a line and prints it to standard output too.
func (r *Record) Verdict(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
