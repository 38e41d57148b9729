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

// TestReloadWithoutFreeDescriptors checks that the program retries a reload if the file cannot be
// opened at the time of SIGHUP because the process or the machine is out of descriptors. The new
// configuration counts from 4 s after the signal all the same: the program must respect a drain
// that only the new discovery announces.
func TestReloadWithoutFreeDescriptors(t *testing.T) {
	b := newTestbed(t, testbedConfig{servers: 2})
	path := b.process.configPath
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	newDiscovery := newTestDiscovery(t, b.servers)
	replaced := strings.Replace(string(text), b.discovery.addr, newDiscovery.addr, 1)
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
	if newDiscovery.calls() == 0 {
		t.Errorf("the new discovery received no call\n%s", b.process.logText())
	}
}

// TestConsecutiveReloads replaces the configuration several times in quick succession, partly with
// invalid files. The last valid one must be in force, a drain that only its discovery announces
// must be respected from 4 s after its signal, and connections must continue through all reloads.
func TestConsecutiveReloads(t *testing.T) {
	b := newTestbed(t, testbedConfig{servers: 3, configure: disableGroups})
	text, err := os.ReadFile(b.process.configPath)
	if err != nil {
		t.Fatal(err)
	}
	standingClient, word, err := b.request("stands", exampleClass(t), time.Second)
	if word != "UP" {
		t.Fatalf("answer %q, %v", word, err)
	}
	defer standingClient.conn.Close()
	lastDiscovery := newTestDiscovery(t, b.servers)
	for _, file := range []string{
		strings.Replace(string(text), b.discovery.addr, newTestDiscovery(t, b.servers).addr, 1),
		string(text[:len(text)/2]),
		strings.Replace(string(text), b.discovery.addr, freeAddress(t), 1),
		"",
		strings.Replace(string(text), b.discovery.addr, lastDiscovery.addr, 1),
		string(text[:len(text)-1]),
	} {
		if err := os.WriteFile(b.process.configPath+".new", []byte(file), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(b.process.configPath+".new", b.process.configPath); err != nil {
			t.Fatal(err)
		}
		if err := b.process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	signalled := time.Now()
	b.servers[0].startDraining()
	lastDiscovery.announceWholeList()
	drainDeadline := signalled.Add(reloadRetryTimeout + drainGrace + timeTolerance)
	time.Sleep(time.Until(drainDeadline))
	b.requestMany("after", 40, time.Second)
	for _, a := range b.servers[0].receivedAttempts() {
		if a.receivedAt.After(drainDeadline) {
			t.Errorf("a request reached the draining server %v after the last signal", a.receivedAt.Sub(signalled))
		}
	}
	io.WriteString(standingClient.conn, "still there\r\n")
	for text, err := standingClient.readLine(time.Second); text != "still there"; text, err = standingClient.readLine(time.Second) {
		if err != nil || text == "MOVE" {
			if text != "MOVE" { // MOVE is allowed: the connection's server may be the draining one
				t.Errorf("the open connection: got %q, %v", text, err)
			}
			break
		}
	}
}
