// Package stand2 has the stand-ins of the second review's cases: servers, discovery, clients, and a platform that
// starts the program with the command of the deploy file. They keep to the operators' protocol page and do nothing
// that the page does not allow, unless a case says so.
package stand2

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file record.txt of a case: what was sent, answered and run, with the time since the case began.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	fails []string
}

// NewRecord opens record.txt in the case's folder, which the first argument of the case names.
func NewRecord() (*Record, error) {
	if len(os.Args) < 2 {
		return nil, errors.New("usage: case FOLDER")
	}
	f, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, begin: time.Now()}, nil
}

// Since returns the time since the case began.
func (r *Record) Since() time.Duration { return time.Since(r.begin) }

// Logf writes a line.
func (r *Record) Logf(format string, a ...any) { r.LogAt(time.Now(), format, a...) }

// LogAt writes a line about a moment.
func (r *Record) LogAt(at time.Time, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.begin).Seconds(), fmt.Sprintf(format, a...))
}

// Broken notes that the rule was broken.
func (r *Record) Broken(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	r.Logf("BROKEN: %s", text)
	r.mu.Lock()
	r.fails = append(r.fails, text)
	r.mu.Unlock()
}

// Verdict prints the result and returns the exit code: 1 if the rule was broken, else 0.
func (r *Record) Verdict() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, f := range r.fails {
		if i == 5 {
			fmt.Printf("... and %d more\n", len(r.fails)-i)
			break
		}
		fmt.Println("broken:", f)
	}
	if len(r.fails) > 0 {
		fmt.Fprintf(r.file, "result: the rule was broken %d times\n", len(r.fails))
		return 1
	}
	fmt.Fprintln(r.file, "result: the rule held")
	fmt.Println("held")
	return 0
}

// Trouble reports whether the case is to be played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Run plays a case and ends the process with its exit code: 2 if the case could not run.
func Run(play func(r *Record, w *World) error) {
	os.Exit(run(play))
}

func run(play func(r *Record, w *World) error) int {
	r, err := NewRecord()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.file.Close()
	w, err := newWorld(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	stop := time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		w.close()
		os.Exit(2)
	})
	defer stop.Stop()
	if err := play(r, w); err != nil {
		r.Logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return r.Verdict()
}

// freeTCP returns a free TCP address on a loopback IP.
func freeTCP(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// FreeUDP returns a free UDP address on 127.0.0.1.
func FreeUDP() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}
