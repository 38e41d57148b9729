package lab

import "testing"

// Discovery handles fifteen calls a second in turn, and eighty proxies share it. When they all asked as soon as they
// could, a few held it busy, and the others' calls waited too long, failed and were made again: they never heard a word.
func TestManyProxiesShareDiscovery(t *testing.T) {
	s := must(t, `
[run]
length = 20s
warm_up = 10s
cool_down = 0s
audit = 20s
[proxies]
count = 80
[relays]
count = 12
[traffic]
rate = 2
[discovery]
call = 65ms
timeout = 2s
[trouble kill]
kind = proxy-kill
at = 2s
count = 56
away = 1500ms
[trouble drain]
kind = drain
at = 1s
count = 4
every = 1500ms
for = 7s
away = 5s
`)
	r := play(t, s, 1)
	c := r.Counters
	if c.Watches < 200 || c.WatchesFailed > c.Watches/20 {
		t.Errorf("%d of %d calls to discovery failed", c.WatchesFailed, c.Watches)
	}
}
