package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryPart is how much of the machine's memory a measurement may take, its children not counted: they are few.
	memoryPart  = 0.5
	memoryCheck = 200 * time.Millisecond
)

// GuardMemory calls exceeded, once, when this process has half of the machine's memory resident. The returned function ends
// the watch.
func GuardMemory(exceeded func()) (stop func(), err error) {
	total, err := ProcBytes("/proc/meminfo", "MemTotal:")
	if err != nil {
		return nil, err
	}
	over := make(chan struct{})
	go func() {
		tick := time.NewTicker(memoryCheck)
		defer tick.Stop()
		for {
			select {
			case <-over:
				return
			case <-tick.C:
			}
			if resident, err := ProcBytes("/proc/self/status", "VmRSS:"); err == nil && resident > memoryPart*total {
				exceeded()
				return
			}
		}
	}()
	return func() { close(over) }, nil
}

// ProcBytes reads a figure such as "VmRSS:  1234 kB" of a file of /proc and returns it in bytes.
func ProcBytes(path, name string) (float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s: no %s", path, name)
	}
	kilobytes, err := strconv.ParseFloat(fields[0], 64)
	return 1024 * kilobytes, err
}
