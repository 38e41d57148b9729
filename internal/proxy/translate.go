package proxy

import (
	"ospreyspan/balance"
	"ospreyspan/internal/routes"
)

// This file translates between the module's terms and those of this package: a backend of the
// module is an egress target here, its list the route table, its request an exchange and its
// attempt a hop.

// moduleStates maps the health of a target to the state of the module's backend.
var moduleStates = map[routes.Health]balance.State{
	routes.Serving: balance.Ready, routes.Draining: balance.Draining, routes.Deleted: balance.Gone,
}

// backends converts entries of the route table.
func backends(hosts []*routes.Target) []balance.Backend {
	list := make([]balance.Backend, len(hosts))
	for i, t := range hosts {
		list[i] = balance.Backend{
			ID: t.ID, Zone: t.Site, Cell: t.Block, State: moduleStates[t.Health], Size: t.Share, StartTime: t.StartedAt,
		}
	}
	return list
}
