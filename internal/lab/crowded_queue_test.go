package lab

import "testing"

// Symptom: a hundred and sixty processes start together and open their watches at a discovery that takes fifteen calls a second, in a
// queue of two seconds. Some are without a confirmed list for longer than 6 s though the queue had room for all of them in time.
func TestCallsInDiscoverysQueueAreWaitedFor(t *testing.T) {
	c := play(t, must(t, `
[run]
length = 20s
warm_up = 15s
cool_down = 0s
audit = 40s
[proxies]
count = 160
[relays]
count = 12
[traffic]
rate = 2
[discovery]
call = 65ms
timeout = 2s
`), 1).Counters
	if c.WatchesBusy < 100 || c.WatchesFailed != c.WatchesBusy {
		t.Errorf("%d calls were refused, %d others were given up", c.WatchesBusy, c.WatchesFailed-c.WatchesBusy)
	}
}
