package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// statusField returns a numeric field of the process's /proc status.
func (p *process) statusField(name string) int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	found := regexp.MustCompile(name + `:\s*(\d+)`).FindSubmatch(text)
	if found == nil {
		p.t.Fatalf("no field %s in the status of the process", name)
	}
	n, err := strconv.Atoi(string(found[1]))
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

// TestProcessMemoryAndThreads checks the memory and the number of threads of one process out of 350
// with 500 targets, and of one out of 1,024 with 1,024 targets, while whole lists arrive repeatedly
// and both open connections and clients without a request are present. Each bound is half of what
// a scored day allows.
func TestProcessMemoryAndThreads(t *testing.T) {
	const maxMB, maxThreads = 96, 16
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go serveAllRequests(target)
	for processes, targets := range map[int]int{350: 500, 1024: 1024} {
		list := targetList(t, targets, target.Addr().String())
		calls := make(chan struct{}, 1000)
		discovery, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(list)
			calls <- struct{}{}
		})}
		go func() { _ = server.Serve(discovery) }()
		p := startProcess(t, 1024, func(c map[string]any) {
			c["discovery"], c["known"] = discovery.Addr().String(), json.RawMessage(list)
			settings := c["settings"].(map[string]any)
			settings["Balancers"], settings["Invariants"].(map[string]any)["AskWithinUs"] = processes, 200000
		})
		for i := range 700 {
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if i >= 200 {
				continue // sends no request
			}
			fmt.Fprintf(c, "OPEN a%d k%d c=%s,d=1500\r\n", i, i, exampleClass(t))
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			if text, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(text, "UP ") {
				t.Fatalf("client %d: got answer %q, %v", i, text, err)
			}
		}
		for range 20 {
			select {
			case <-calls:
			case <-time.After(5 * time.Second):
				t.Fatal("discovery receives no call within 5 s")
			}
		}
		peak, threads := p.statusField("VmHWM")>>10, p.statusField("Threads")
		if t.Logf("%d processes, %d targets: %d MB at the peak, %d threads", processes, targets, peak, threads); peak > maxMB || threads > maxThreads {
			t.Errorf("more than %d MB or %d threads", maxMB, maxThreads)
		}
		_ = server.Close()
	}
}

// targetList returns a whole list of n targets that all have the same address.
func targetList(t *testing.T, n int, addr string) []byte {
	t.Helper()
	var hosts []map[string]any
	for i := range n {
		hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%08x", i), "dial": addr, "site": "a", "class": "m2", "block": i / 8, "health": "SERVING", "share": 1})
	}
	text, err := json.Marshal(map[string]any{"seq": 7, "whole": true, "hosts": hosts})
	if err != nil {
		t.Fatal(err)
	}
	return text
}
