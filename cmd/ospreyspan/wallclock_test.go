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
func TestWallClockIsStepped(t *testing.T) {
	const warmIn, requests = 6 * time.Second, 60
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
			b := newBed(t, bedConfig{servers: 3, env: []string{faultsVariable + "=" + string(plan)}, configure: func(set map[string]any) {
				set["Invariants"].(map[string]any)["WarmWithinUs"] = warmIn.Microseconds()
				set["Domain"].(map[string]any)["Groups"] = false
			}})
			time.Sleep(2 * time.Second)
			cold := newTestServer(t, "cold")
			cold.bornMS = time.Now().Add(-time.Second).UnixMilli()
			b.discovery.add(cold)
			time.Sleep(200 * time.Millisecond)
			b.askMany("c", requests, 1500*time.Millisecond)
			if n := len(cold.received()); n > requests/10 {
				t.Errorf("a server that had just started was sent %d of %d requests", n, requests)
			}
			time.Sleep(warmIn)
			before := len(cold.received())
			b.askMany("w", requests, 1500*time.Millisecond)
			if n := len(cold.received()) - before; n < requests/10 {
				t.Errorf("once it was warm it was sent %d of %d requests", n, requests)
			}
		})
	}
}

// askMany has so many clients ask over a span, each on a connection that it closes when it has its answer.
func (b *bed) askMany(prefix string, n int, over time.Duration) {
	b.t.Helper()
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			time.Sleep(over * time.Duration(i) / time.Duration(n))
			c, _, err := b.answerTo(fmt.Sprint(prefix, i), exampleClass(b.t), 1500*time.Millisecond)
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
