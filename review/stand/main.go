package stand

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// The exit codes of a case.
const (
	Held    = 0 // the rule held
	Broken  = 1 // the rule was broken
	CantRun = 2 // the case could not run
)

// Main runs a case: os.Args[1] is the path of its record. With TROUBLE=0 in the environment the
// case leaves the disruption out. It ends the program with the code that play returns.
func Main(play func(r *Record, dir string, trouble bool) (int, error)) {
	runtime.LockOSThread() // the proxies end with the thread that started them
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(CantRun)
	}
	r, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CantRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CantRun)
	}
	time.AfterFunc(110*time.Second, func() {
		r.Verdict("could not run: not over after 110 s")
		os.RemoveAll(dir)
		os.Exit(CantRun) // the proxies get SIGKILL with this process
	})
	code, err := play(r, dir, os.Getenv("TROUBLE") != "0")
	os.RemoveAll(dir)
	if err != nil {
		r.Verdict("could not run: %v", err)
		code = CantRun
	}
	os.Exit(code)
}
