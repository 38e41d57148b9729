package proxy

import (
	"ospreyspan/balance"
	"ospreyspan/internal/routes"
)

// The module's words and this package's meet here: its backend is an egress target, its list the route table,
// its request an exchange, its attempt a hop and its refusal a shed.

var moduleStates = map[routes.Health]balance.State{
	routes.Serving: balance.Ready, routes.Draining: balance.Draining, routes.Deleted: balance.Gone,
}

// backends translates entries of the route table.
func backends(hosts []*routes.Target) []balance.Backend {
	list := make([]balance.Backend, len(hosts))
	for i, t := range hosts {
		list[i] = balance.Backend{
			ID: t.ID, Zone: t.Site, Cell: t.Block, State: moduleStates[t.Health], Size: t.Share, Boot: t.Boot,
		}
	}
	return list
}
