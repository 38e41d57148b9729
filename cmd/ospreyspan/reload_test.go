package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The file can't be opened in the moment of SIGHUP, since the process or the machine is out of descriptors. It counts all the same
// 4 s later: a drain that only the new discovery tells of is kept.
func TestReloadWhileNoFileOpens(t *testing.T) {
	b := newBed(t, bedConfig{servers: 2})
	path := b.process.config
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	second := newTestDiscovery(t, b.servers)
	replaced := strings.Replace(string(text), b.discovery.at, second.at, 1)
	if err := os.WriteFile(path+".new", []byte(replaced), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	pid := b.process.cmd.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: 1024}, &limit); err != nil {
		t.Fatal(err)
	}
	if err := b.process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	if second.calls() == 0 {
		t.Errorf("the new discovery was not asked\n%s", b.process.logged())
	}
}
