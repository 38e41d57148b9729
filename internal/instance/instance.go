// Package instance assembles one whole proxy on an event loop: the engine with its placement
// module, the listener for clients and the counters. The program runs it on epoll, the emulator on
// a virtual kernel, without changes.
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

// Config configures an Instance.
type Config struct {
	Name           string
	Listen         netip.AddrPort
	Discovery      netip.AddrPort
	Seed           uint64
	MaxDescriptors int          // descriptors that the process may hold; 0: no known limit
	MemoryLimit    int64        // bytes of memory that the process may use; 0: no known limit
	KnownList      *routes.List // last known list of targets
	Settings       *settings.Settings
	Tuning         *proxy.Tuning // nil: the defaults
	Log            *log.Logger
	Fleet          *FleetConfig // nil: this proxy shares nothing
	// Retry repeats an attempt while it fails for a transient reason; nil means a single attempt.
	Retry func(try func() error) error
}

// Instance is one proxy. It is confined to the goroutine of its loop.
type Instance struct {
	Count   stats.Counters
	loop    *poll.Loop
	engine  *proxy.Engine
	front   *proxy.LineFrontend
	drained bool
	fleet   *fleet
}

// New starts a proxy on a loop. The caller keeps ownership of the loop.
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
	i.front = proxy.NewLineFrontend(i.engine, c.MaxDescriptors)
	i.front.SetMemoryLimit(c.MemoryLimit)
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
		i.front.SetSharedSockets(1)
	}
	c.Log.Printf("%s: serving at %s", c.Name, c.Listen)
	return i, nil
}

// Turn runs one turn of the loop: it delivers pending events to the module, carries out the actions
// that the module returns, and waits for more events.
func (i *Instance) Turn() error {
	i.engine.Deliver()
	return i.loop.Turn(!i.engine.Pending())
}

// Drain begins a planned stop.
func (i *Instance) Drain() {
	if i.fleet != nil {
		i.fleet.leave() // its duties pass to others at once instead of when the lease expires
	}
	i.front.Drain(func() {
		i.drained = true
		if i.fleet != nil {
			i.fleet.node.Leave() // gives up what was kept for the remaining clients
			i.fleet.close()
			i.front.SetSharedSockets(0)
		}
	})
}

// SetDuties changes which of the fleet's duties this process may own.
func (i *Instance) SetDuties(duties []string) {
	if i.fleet != nil {
		i.fleet.setDuties(duties)
	}
}

// SetLimits changes the sizes of existing limits. An entry that matches no existing limit in name,
// kind and number of slices is ignored. A soft limit that shrinks affects no existing client; of a
// strict one, the clients beyond the smaller slices are moved.
func (i *Instance) SetLimits(list []limit.Limit) {
	if i.fleet != nil && i.fleet.limits != nil {
		i.fleet.limits.set(list)
	}
}

// Node returns this process's node in the fleet's mesh, or nil if it has none.
func (i *Instance) Node() *mesh.Node {
	if i.fleet == nil {
		return nil
	}
	return i.fleet.node
}

// ListVersion returns discovery's version of the list of targets that is in use.
func (i *Instance) ListVersion() int64 {
	_, version := i.engine.Discovery()
	return version
}

// Done reports whether a planned stop has completed.
func (i *Instance) Done() bool { return i.drained }

// Reload moves the watch to another address of discovery and changes the limits of descriptors and
// of memory, in bytes.
func (i *Instance) Reload(discovery netip.AddrPort, maxDescriptors int, memoryLimit int64) {
	i.front.SetMaxDescriptors(maxDescriptors)
	i.front.SetMemoryLimit(memoryLimit)
	i.engine.SetDiscovery(discovery)
}

// Audit checks the internal counts for consistency; see proxy.LineFrontend. The counts under limits
// must match the engine's exchanges.
func (i *Instance) Audit() error {
	if err := i.front.Audit(); err != nil || i.fleet == nil || i.fleet.limits == nil {
		return err
	}
	return i.fleet.limits.audit()
}

// Idle reports whether no client is connected.
func (i *Instance) Idle() bool { return i.front.Idle() }

// MaxDrainDuration returns the longest time that a planned stop may take.
func MaxDrainDuration(s *settings.Settings) time.Duration { return proxy.StopTimeout(s) }
