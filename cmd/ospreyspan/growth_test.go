package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// resourceUse is the use of resources by a process during a run.
type resourceUse struct {
	cpuTime     time.Duration // logged, but not checked, since the machine may be busy
	memoryKB    int           // peak resident size
	descriptors int
	connections int // accepted by servers
	listBytes   int
}

// TestGrowthWithServers checks that, with sixteen times the servers and the same traffic, a process
// needs no more memory, descriptors, connections to servers and bytes of lists than the
// specification allows, while discovery announces changes.
func TestGrowthWithServers(t *testing.T) {
	const fewServers, manyServers = 200, 3200
	before, after := measureResourceUse(t, fewServers), measureResourceUse(t, manyServers)
	t.Logf("%d servers: %+v; %d: %+v", fewServers, before, manyServers, after)
	const thousands = float64(manyServers) / 1000
	for _, tt := range []struct {
		quantity   string
		got, limit float64
	}{
		{"KB of memory", float64(after.memoryKB), 1.5*float64(before.memoryKB) + 1024*(8+4*thousands)},
		{"descriptors", float64(after.descriptors), 2*float64(before.descriptors) + 40},
		{"connections to servers", float64(after.connections), 2.5*float64(before.connections) + 40},
		{"bytes of lists", float64(after.listBytes), 2*float64(before.listBytes) + 64e3 + 500e3*thousands},
	} {
		if tt.got > tt.limit {
			t.Errorf("%s: %.0f, at most %.0f", tt.quantity, tt.got, tt.limit)
		}
	}
}

// measureResourceUse runs a process for some seconds of requests and list changes with the given
// number of servers, which share a few listen addresses.
func measureResourceUse(t *testing.T, servers int) resourceUse {
	t.Helper()
	const listeners, rounds = 20, 8
	b := newTestbed(t, testbedConfig{servers: listeners, configure: func(settings map[string]any) { settings["Balancers"] = 300 }, hostCount: servers})
	for round := range rounds {
		b.requestMany(fmt.Sprint(servers, "-", round, "-"), 20, 500*time.Millisecond)
		b.discovery.announceEntry(round)
	}
	pid := b.process.cmd.Process.Pid
	use := resourceUse{descriptors: b.process.descriptors(), memoryKB: peakMemoryKB(t, pid), cpuTime: cpuTime(t, pid), listBytes: b.discovery.sentListBytes()}
	for _, s := range b.servers {
		use.connections += s.connectionCount()
	}
	return use
}

// peakMemoryKB returns the peak resident size of a process in KB.
func peakMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	n, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// cpuTime returns the processor time that a process has used. Linux counts it in hundredths of a
// second.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}
