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

// statusField reads a figure of the process's statusField.
func (p *process) statusField(name string) int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	found := regexp.MustCompile(name + `:\s*(\d+)`).FindSubmatch(text)
	if found == nil {
		p.t.Fatalf("no %s", name)
	}
	n, err := strconv.Atoi(string(found[1]))
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

// Memory and threads of one of 350 processes with 500 targets, and of one of 1,024 with as many: with lists that come again and
// again, clients that stand and others that say nothing, half of what a scored day allows is enough.
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
		asked := make(chan struct{}, 1000)
		discovery, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(list)
			asked <- struct{}{}
		})}
		go func() { _ = server.Serve(discovery) }()
		p := startProcess(t, 1024, func(c map[string]any) {
			c["discovery"], c["known"] = discovery.Addr().String(), json.RawMessage(list)
			set := c["settings"].(map[string]any)
			set["Balancers"], set["Invariants"].(map[string]any)["AskWithinUs"] = processes, 200000
		})
		for i := range 700 {
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if i >= 200 {
				continue // it says nothing
			}
			fmt.Fprintf(c, "OPEN a%d k%d c=%s,d=1500\r\n", i, i, exampleClass(t))
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			if text, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(text, "UP ") {
				t.Fatalf("client %d got %q, %v", i, text, err)
			}
		}
		for range 20 {
			select {
			case <-asked:
			case <-time.After(5 * time.Second):
				t.Fatal("it does not ask discovery")
			}
		}
		peak, threads := p.statusField("VmHWM")>>10, p.statusField("Threads")
		if t.Logf("%d processes, %d targets: %d MB at the peak, %d threads", processes, targets, peak, threads); peak > maxMB || threads > maxThreads {
			t.Errorf("over %d MB or %d threads", maxMB, maxThreads)
		}
		_ = server.Close()
	}
}

// targetList is a whole list of so many targets, all at one address.
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
