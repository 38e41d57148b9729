package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// resourceUse is what a process needed over a play.
type resourceUse struct {
	cpuTime     time.Duration // shown, and no verdict: the machine may be busy
	memoryKB    int           // KB at its peak
	descriptors int
	connections int // made to servers
	listBytes   int
}

// With sixteen times the servers and the same traffic a process needs at most what the standing pages allow: memory, descriptors,
// connections to servers and bytes of lists while discovery tells changes.
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

// measureResourceUse plays some seconds of requests and changes of the list with so many servers, which listen at few addresses.
func measureResourceUse(t *testing.T, servers int) resourceUse {
	t.Helper()
	const listeners, rounds = 20, 8
	b := newTestbed(t, testbedConfig{servers: listeners, configure: func(set map[string]any) { set["Balancers"] = 300 }, hostCount: servers})
	for round := range rounds {
		b.requestMany(fmt.Sprint(servers, "-", round, "-"), 20, 500*time.Millisecond)
		b.discovery.announceEntry(round)
	}
	pid := b.process.cmd.Process.Pid
	u := resourceUse{descriptors: b.process.descriptors(), memoryKB: peakMemoryKB(t, pid), cpuTime: cpuTime(t, pid), listBytes: b.discovery.sentListBytes()}
	for _, s := range b.servers {
		u.connections += s.connectionCount()
	}
	return u
}

// peakMemoryKB is a process's largest resident size in KB.
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

// cpuTime is the processor time that a process has used, by Linux's hundredths of a second.
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
