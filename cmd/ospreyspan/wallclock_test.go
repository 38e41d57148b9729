package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"ospreyspan/internal/poll/callfaults"
)

// The machine's wall clock is stepped, before the process starts or while it runs, and a server starts. What the server is sent while
// it is cold is a small part of the requests, whatever the wall clock shows, and once it is warm it has its share.
func TestWallClockSteps(t *testing.T) {
	const warmUp, requests = 6 * time.Second, 60
	for _, tt := range []struct {
		name  string
		steps []callfaults.WallStep
	}{
		{"never", nil},
		{"an hour forward before the start", []callfaults.WallStep{{By: time.Hour}}},
		{"an hour back before the start", []callfaults.WallStep{{By: -time.Hour}}},
		{"an hour forward before the news", []callfaults.WallStep{{After: time.Second, By: time.Hour}}},
		{"an hour back before the news", []callfaults.WallStep{{After: time.Second, By: -time.Hour}}},
		{"10 s forward, then an hour back", []callfaults.WallStep{{After: time.Second, By: 10 * time.Second}, {After: 2500 * time.Millisecond, By: -time.Hour}}},
		{"10 s back after the news, then forward", []callfaults.WallStep{{After: 2300 * time.Millisecond, By: -10 * time.Second}, {After: 2500 * time.Millisecond, By: time.Hour}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			plan, err := json.Marshal(callfaults.Plan{Steps: tt.steps})
			if err != nil {
				t.Fatal(err)
			}
			b := newTestbed(t, testbedConfig{servers: 3, env: []string{faultPlanEnv + "=" + string(plan)}, configure: func(set map[string]any) {
				set["Invariants"].(map[string]any)["WarmWithinUs"] = warmUp.Microseconds()
				set["Domain"].(map[string]any)["Groups"] = false
			}})
			time.Sleep(2 * time.Second)
			coldServer := newTestServer(t, "cold")
			coldServer.startMS = time.Now().Add(-time.Second).UnixMilli()
			b.discovery.addServer(coldServer)
			time.Sleep(200 * time.Millisecond)
			b.requestMany("c", requests, 1500*time.Millisecond)
			if n := len(coldServer.receivedAttempts()); n > requests/10 {
				t.Errorf("a server that had just started was sent %d of %d requests", n, requests)
			}
			time.Sleep(warmUp)
			before := len(coldServer.receivedAttempts())
			b.requestMany("w", requests, 1500*time.Millisecond)
			if n := len(coldServer.receivedAttempts()) - before; n < requests/10 {
				t.Errorf("once it was warm it was sent %d of %d requests", n, requests)
			}
		})
	}
}

// requestMany has so many clients ask over a span, each on a connection that it closes when it has its answer.
func (b *testbed) requestMany(prefix string, n int, span time.Duration) {
	b.t.Helper()
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			time.Sleep(span * time.Duration(i) / time.Duration(n))
			c, _, err := b.request(fmt.Sprint(prefix, i), exampleClass(b.t), 1500*time.Millisecond)
			if err != nil {
				b.t.Errorf("request %s%d: %v", prefix, i, err)
			}
			if c != nil {
				c.conn.Close()
			}
		})
	}
	all.Wait()
}
