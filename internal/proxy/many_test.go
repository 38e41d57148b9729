package proxy

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

// manyTargets returns a list of n targets, all at one address, as discovery encodes it. Those
// before index serving are draining.
func manyTargets(seq, n, serving int, whole bool, addr string) string {
	var hosts []map[string]any
	for i := range n {
		health := "SERVING"
		if i < serving {
			health = "DRAINING"
		}
		hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%08x", i), "dial": addr, "site": "z", "class": "m2", "block": i / 8, "health": health, "share": 1})
	}
	text, err := json.MarshalIndent(map[string]any{"seq": seq, "whole": whole, "hosts": hosts}, "", "    ")
	if err != nil {
		panic(err) // cannot fail for strings and numbers
	}
	return string(text)
}

// A list of 1,024 targets and a change of 1,023 of them reach the module whole: on a watch, as a
// whole list again, and where lists are pushed. Requests find the one target that still serves.
func TestManyTargets(t *testing.T) {
	const n = 1024
	for _, how := range []string{"watched", "whole again", "pushed"} {
		t.Run(how, func(t *testing.T) {
			b := newSocketTestBed(t, 0, false)
			var hops []*testConn
			target, err := b.loop.Listen(b.local, func(s *poll.Socket, _ bool) poll.Handler {
				hops = append(hops, &testConn{sock: s})
				return hops[len(hops)-1]
			})
			if err != nil {
				t.Fatal(err)
			}
			d := newFakeDiscovery(b)
			config := b.watchConfig(d.listener.Addr())
			config.Seq, config.Pushed = routes.NoVersion, how == "pushed"
			b.engine.watch = routes.NewWatch(config)
			b.engine.watch.Start()
			d.awaitCall(0)
			d.writeAnswer(0, manyTargets(8, n, 0, true, target.Addr().String()))
			b.waitFor("the list", func() bool { return len(b.engine.table.IDs()) == n })
			d.awaitCall(0)
			d.writeAnswer(0, manyTargets(9, n, n-1, how == "whole again", target.Addr().String()))
			b.waitFor("the change", func() bool { return b.engine.table.Seq == 9 })
			b.settle()
			for i := range 20 {
				c := b.dialClient()
				c.write(t, fmt.Sprintf("OPEN a%d k%d c=c,d=2000\r\n", i, i))
				b.waitFor("the attempt", func() bool { return len(hops) > i && len(hops[i].received) > 0 })
				hops[i].write(t, "UP r\r\n")
				b.waitFor("UP", func() bool { return string(c.received) == "UP r\r\n" })
			}
			if held := b.engine.module.ConnectionCount(fmt.Sprintf("s-%08x", n-1)); held != 20 {
				t.Errorf("%d of 20 requests at the serving target", held)
			}
			b.engine.watch.Stop()
			d.close()
		})
	}
}

// writeAnswer writes an answer that may be longer than the socket takes at once.
func (d *fakeDiscovery) writeAnswer(n int, body string) {
	d.b.t.Helper()
	rest := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	d.b.waitFor("all written", func() bool {
		k, err := d.calls[n].sock.Write(rest)
		if err != nil {
			d.b.t.Fatal(err)
		}
		rest = rest[k:]
		return len(rest) == 0
	})
}

// The memory of a proxy grows no faster than the list: 500 targets among 350 proxies, and 1,024 of
// each.
func TestMemoryOfManyTargets(t *testing.T) {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for n, most := range map[int]uint64{500: 1 << 20, 1024: 2 << 20} {
		before := heap()
		b := newSocketTestBedWithSettings(t, 0, settingsWith(t, `"Balancers":1`, fmt.Sprintf(`"Balancers":%d`, max(n*7/10, 350))))
		for seq := range 20 { // memory of earlier lists is released
			list, err := routes.Decode([]byte(manyTargets(seq+1, n, 0, true, "127.0.0.1:1")))
			if err != nil {
				t.Fatal(err)
			}
			b.engine.handleDiscoveryAnswer(list, nil)
			b.settle()
		}
		if kept := heap() - min(before, heap()); kept > most {
			t.Errorf("%d targets: %d KiB are kept", n, kept>>10)
		} else {
			t.Logf("%d targets: %d KiB are kept", n, kept>>10)
		}
		runtime.KeepAlive(b)
	}
}
