// Package instance is one whole proxy on a loop: the engine with its module, the front and the counters. The program runs
// it on epoll, the emulator on a virtual kernel, unchanged.
package instance

import (
	"fmt"
	"log"
	"net/netip"
	"time"

	"ospreyspan/internal/mesh"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/proxy"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/settings"
	"ospreyspan/internal/shared/limit"
	"ospreyspan/internal/stats"
)

// Config is what an Instance needs.
type Config struct {
	Name           string
	Listen         netip.AddrPort
	Discovery      netip.AddrPort
	Seed           uint64
	MaxDescriptors int          // descriptors that the process may hold; 0: no limit is known
	KnownList      *routes.List // the route table as it was last known
	Settings       *settings.Settings
	Tuning         *proxy.Tuning // nil: what serves
	Log            *log.Logger
	Fleet          *Fleet // nil: this proxy shares nothing with others
	// Retry tries something again while it fails for a passing reason; nil: it is tried once.
	Retry func(try func() error) error
}

// Instance is one proxy. It belongs to its loop's goroutine.
type Instance struct {
	Count   stats.Counters
	loop    *poll.Loop
	engine  *proxy.Engine
	front   *proxy.Lines
	drained bool
	fleet   *fleet
}

// New starts a proxy on a loop, which stays the caller's.
func New(loop *poll.Loop, c Config) (*Instance, error) {
	i := &Instance{loop: loop}
	var err error
	i.engine, err = proxy.NewEngine(proxy.EngineConfig{
		Loop: loop, Settings: c.Settings, Known: c.KnownList, Discovery: c.Discovery, Seed: c.Seed,
		Count: &i.Count, Log: c.Log, Tuning: c.Tuning,
	})
	if err != nil {
		return nil, err
	}
	i.front = proxy.NewLines(i.engine, c.MaxDescriptors)
	listen := func() error { return i.front.Listen(c.Listen) }
	if c.Retry != nil {
		err = c.Retry(listen)
	} else {
		err = listen()
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if c.Fleet != nil {
		if i.fleet, err = newFleet(i, loop, c); err != nil {
			return nil, err
		}
		i.front.SetShared(1)
	}
	c.Log.Printf("%s: serving at %s", c.Name, c.Listen)
	return i, nil
}

// Turn does one turn of the loop: what has happened goes to the module, what it asks for is carried out, and the loop
// waits for more.
func (i *Instance) Turn() error {
	i.engine.Deliver()
	return i.loop.Turn(!i.engine.Pending())
}

// Drain begins a planned stop.
func (i *Instance) Drain() {
	if i.fleet != nil {
		i.fleet.leave() // its duties go to another at once, not when the lease ends
	}
	i.front.Drain(func() {
		i.drained = true
		if i.fleet != nil {
			i.fleet.node.Leave() // what was kept for clients that stood
			i.fleet.close()
			i.front.SetShared(0)
		}
	})
}

// SetDuties changes which of the fleet's duties this process takes.
func (i *Instance) SetDuties(duties []string) {
	if i.fleet != nil {
		i.fleet.setDuties(duties)
	}
}

// SetLimits changes how much the limits hold that it has; see limits.set.
func (i *Instance) SetLimits(list []limit.Limit) {
	if i.fleet != nil && i.fleet.limits != nil {
		i.fleet.limits.set(list)
	}
}

// Node is its part of the fleet's conversation, nil if it has none.
func (i *Instance) Node() *mesh.Node {
	if i.fleet == nil {
		return nil
	}
	return i.fleet.node
}

// ListVersion is discovery's version of the latest list of targets that is in force here.
func (i *Instance) ListVersion() int64 {
	_, version := i.engine.Discovery()
	return version
}

// Done tells whether a planned stop is over.
func (i *Instance) Done() bool { return i.drained }

// Reload moves the watch to another address of discovery and changes the limit of descriptors.
func (i *Instance) Reload(discovery netip.AddrPort, sockets int) {
	i.front.SetSockets(sockets)
	i.engine.SetDiscovery(discovery)
}

// Audit checks the books; see proxy.Lines. What counts under limits is what the engine's exchanges say.
func (i *Instance) Audit() error {
	if err := i.front.Audit(); err != nil || i.fleet == nil || i.fleet.limits == nil {
		return err
	}
	return i.fleet.limits.audit()
}

// Idle tells whether no client is left.
func (i *Instance) Idle() bool { return i.front.Idle() }

// MaxDrainDuration is the longest time that a planned stop may take.
func MaxDrainDuration(s *settings.Settings) time.Duration { return proxy.Longest(s) }
