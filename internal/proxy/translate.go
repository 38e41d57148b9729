package proxy

import (
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/routes"
)

// The module's words and this package's meet here: its backend is an egress target, its list the route table,
// its request an exchange, its attempt a hop and its refusal a shed.

var states = map[routes.Health]balance.State{
	routes.Serving: balance.Ready, routes.Draining: balance.Draining, routes.Deleted: balance.Gone,
}

// backends translates entries of the route table.
func backends(hosts []*routes.Target) []balance.Backend {
	list := make([]balance.Backend, len(hosts))
	for i, t := range hosts {
		list[i] = balance.Backend{
			ID: t.ID, Zone: t.Site, Cell: t.Block, State: states[t.Health], Size: t.Share, Boot: instant(t.Born()),
		}
	}
	return list
}

// instant gives the module's clock, which counts from the Unix epoch so that starts of egress targets can be
// set against it. The zero time is its 0.
func instant(t time.Time) balance.Time {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

func toModule(d time.Duration) balance.Duration   { return d.Microseconds() }
func fromModule(d balance.Duration) time.Duration { return time.Duration(d) * time.Microsecond }
