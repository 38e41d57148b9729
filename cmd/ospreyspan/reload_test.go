package main

import (
	"io"
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

// New configurations come in a row, some of them broken: the last one that can be used is in force, a drain that only its discovery
// tells of is kept from 4 s after its signal, and connections go on through all of them.
func TestReloadsInARow(t *testing.T) {
	b := newBed(t, bedConfig{servers: 3, configure: withoutGroups})
	text, err := os.ReadFile(b.process.config)
	if err != nil {
		t.Fatal(err)
	}
	stands, word, err := b.answerTo("stands", exampleClass(t), time.Second)
	if word != "UP" {
		t.Fatalf("answer %q, %v", word, err)
	}
	defer stands.conn.Close()
	last := newTestDiscovery(t, b.servers)
	for _, file := range []string{
		strings.Replace(string(text), b.discovery.at, newTestDiscovery(t, b.servers).at, 1),
		string(text[:len(text)/2]),
		strings.Replace(string(text), b.discovery.at, freeAddress(t), 1),
		"",
		strings.Replace(string(text), b.discovery.at, last.at, 1),
		string(text[:len(text)-1]),
	} {
		if err := os.WriteFile(b.process.config+".new", []byte(file), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(b.process.config+".new", b.process.config); err != nil {
			t.Fatal(err)
		}
		if err := b.process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	signalled := time.Now()
	b.servers[0].drain()
	last.change()
	counts := signalled.Add(reloadPatience + drainGrace + socketSlack)
	time.Sleep(time.Until(counts))
	b.askMany("after", 40, time.Second)
	for _, a := range b.servers[0].received() {
		if a.at.After(counts) {
			t.Errorf("a request reached the draining server %v after the last signal", a.at.Sub(signalled))
		}
	}
	io.WriteString(stands.conn, "still there\r\n")
	for text, err := stands.next(time.Second); text != "still there"; text, err = stands.next(time.Second) {
		if err != nil || text == "MOVE" {
			if text != "MOVE" { // off the draining server
				t.Errorf("the connection that stood: %q, %v", text, err)
			}
			break
		}
	}
}
