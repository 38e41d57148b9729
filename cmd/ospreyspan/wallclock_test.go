package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"ospreyspan/internal/poll/callfaults"
)

// TestWallClockSteps steps the wall clock of the machine, before the process starts or while it
// runs, and starts a server. Whatever the wall clock shows, the server must receive only a small
// part of the requests while it is cold, and its share once it is warm.
func TestWallClockSteps(t *testing.T) {
	const warmUp, requests = 6 * time.Second, 60
	for _, tt := range []struct {
		name  string
		steps []callfaults.WallStep
	}{
		{"never", nil},
		{"an hour forward before the start", []callfaults.WallStep{{By: time.Hour}}},
		{"an hour back before the start", []callfaults.WallStep{{By: -time.Hour}}},
		{"an hour forward before the announcement", []callfaults.WallStep{{After: time.Second, By: time.Hour}}},
		{"an hour back before the announcement", []callfaults.WallStep{{After: time.Second, By: -time.Hour}}},
		{"10 s forward, then an hour back", []callfaults.WallStep{{After: time.Second, By: 10 * time.Second}, {After: 2500 * time.Millisecond, By: -time.Hour}}},
		{"10 s back after the announcement, then forward", []callfaults.WallStep{{After: 2300 * time.Millisecond, By: -10 * time.Second}, {After: 2500 * time.Millisecond, By: time.Hour}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			plan, err := json.Marshal(callfaults.Plan{Steps: tt.steps})
			if err != nil {
				t.Fatal(err)
			}
			b := newTestbed(t, testbedConfig{servers: 3, env: []string{faultPlanEnv + "=" + string(plan)}, configure: func(settings map[string]any) {
				settings["Invariants"].(map[string]any)["WarmWithinUs"] = warmUp.Microseconds()
				settings["Domain"].(map[string]any)["Groups"] = false
			}})
			time.Sleep(2 * time.Second)
			coldServer := newTestServer(t, "cold")
			coldServer.startMS = time.Now().Add(-time.Second).UnixMilli()
			b.discovery.addServer(coldServer)
			time.Sleep(200 * time.Millisecond)
			b.requestMany("c", requests, 1500*time.Millisecond)
			if n := len(coldServer.receivedAttempts()); n > requests/10 {
				t.Errorf("a cold server received %d of %d requests, want at most a tenth", n, requests)
			}
			time.Sleep(warmUp)
			before := len(coldServer.receivedAttempts())
			b.requestMany("w", requests, 1500*time.Millisecond)
			if n := len(coldServer.receivedAttempts()) - before; n < requests/10 {
				t.Errorf("a warm server received %d of %d requests, want at least a tenth", n, requests)
			}
		})
	}
}

// requestMany sends count requests, spread evenly over span, each on a connection of its own that
// is closed after the answer.
func (b *testbed) requestMany(prefix string, count int, span time.Duration) {
	b.t.Helper()
	var requests sync.WaitGroup
	for i := range count {
		requests.Go(func() {
			time.Sleep(span * time.Duration(i) / time.Duration(count))
			c, _, err := b.request(fmt.Sprint(prefix, i), exampleClass(b.t), 1500*time.Millisecond)
			if err != nil {
				b.t.Errorf("request %s%d: %v", prefix, i, err)
			}
			if c != nil {
				c.conn.Close()
			}
		})
	}
	requests.Wait()
}
