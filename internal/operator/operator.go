// Package operator reads the operator's own file: what is not of the platform and off unless it is named there. The file is
// checked as a whole; every mistake is told at once with its file, line and key.
package operator

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"ospreyspan/internal/mesh"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/shared/limit"
)

// Config is what the file says, with defaults for what it does not.
type Config struct {
	Fleet     Fleet
	Keepers   Keepers
	Duties    Duties
	Discovery Discovery
	Moves     Moves
	Verdicts  Verdicts
	Limits    []limit.Limit
	Soft      Soft
	Retries   Retries
	Log       Log

	Members []mesh.KeeperAddress // of Keepers, decoded
	Self    uint64               // the keeper that this process is; 0: none
	Seeds   []netip.AddrPort     // of Fleet, decoded
}

// Fleet says how to reach the other proxies, and by which addresses they reach this one.
type Fleet struct {
	On      bool     `ini:"-"`       // the section is there
	Cluster string   `ini:"cluster"` // datagrams of others are dropped
	Listen  addrPort `ini:"listen"`  // UDP
	// Advertise is the address by which the others reach this process, where that is another one than listen.
	Advertise addrPort `ini:"advertise"`
	Zone      string   `ini:"zone"`
	Seeds     []string `ini:"seeds"` // addresses of members to begin with
	Name      string   `ini:"name"`  // empty: that of the proxy
}

// Keepers are the processes that agree on the owners of leases.
type Keepers struct {
	Members []string      `ini:"members"`                  // id@address of each, three or five
	Dir     string        `ini:"dir"`                      // for the log of a process that is one of them
	Lease   time.Duration `ini:"lease" min:"0.2" max:"60"` // see owner.Terms
	Margin  time.Duration `ini:"margin"`                   // see owner.Terms
}

// Duties are the leases that this process takes if they are free.
type Duties struct {
	Take []string `ini:"take"` // of discovery, probes and moves
}

// Discovery says how the owner of the lease "discovery" passes lists on.
type Discovery struct {
	// SameAddresses says that a target has the same address for all proxies, so that one that a proxy has not heard of from
	// discovery itself may be used as the owner names it.
	SameAddresses bool `ini:"same_addresses"`
}

// Moves says how the owner of the lease "moves" paces moves off servers that drain.
type Moves struct {
	PerSecond float64 `ini:"per_second" above:"0" max:"100000"` // of all proxies together
}

// Verdicts says how targets are judged by what all proxies saw of them. All processes of a fleet need the same values.
type Verdicts struct {
	On        bool          `ini:"-"`                           // the section is there
	Fresh     time.Duration `ini:"fresh" min:"1" max:"60"`      // evidence of at most this age condemns
	Forget    time.Duration `ini:"forget" min:"2" max:"300"`    // until then a target that was condemned is tried by turns
	Witnesses int           `ini:"witnesses" min:"2" max:"100"` // proxies that must agree to condemn a target
	Part      float64       `ini:"part" above:"0" max:"1"`      // of a zone's targets, and of all, that may be condemned at once
}

// Soft has the times of soft limits. All processes of a fleet need the same.
type Soft struct {
	Stale  time.Duration `ini:"stale" min:"1" max:"60"`    // what a process reported longer ago is not relied on
	Hold   time.Duration `ini:"hold" min:"2" max:"600"`    // for so long a process that seems dead is counted, as it may only be cut off
	Expect int           `ini:"expect" min:"0" max:"4096"` // processes that there should be
}

// Retries is a budget for further attempts of all proxies together.
type Retries struct {
	On     bool          `ini:"-"`                          // the section is there
	Part   float64       `ini:"part" above:"0" max:"10"`    // of first attempts
	Within time.Duration `ini:"within" min:"1" max:"60"`    // in which both are counted
	Least  int           `ini:"least" min:"0" max:"100000"` // further attempts within that time, whatever the part
}

// Log is how the log is written.
type Log struct {
	Format string `ini:"format" one:"plain, json"`
}

// At is the address by which the others reach this process.
func (c *Config) At() netip.AddrPort {
	if c.Fleet.Advertise.IsValid() {
		return c.Fleet.Advertise.AddrPort
	}
	return c.Fleet.Listen.AddrPort
}

// Terms are the times of leases; all processes of a fleet must have the same.
func (c *Config) Terms() owner.Terms {
	return owner.Terms{Lease: c.Keepers.Lease, Margin: c.Keepers.Margin}
}

// Fixed returns what takes a new start, as one text: a reload compares it.
func (c *Config) Fixed() string {
	return fmt.Sprintln(c.Fleet.On, c.Fleet.Cluster, c.Fleet.Listen, c.Fleet.Advertise, c.Fleet.Zone, c.Fleet.Name, c.Keepers, c.Log, c.Discovery, c.Moves, c.Verdicts, c.Soft, c.Retries, c.limited())
}

// limited is what of the limits takes a new start: all but how much they hold.
func (c *Config) limited() []limit.Limit {
	list := slices.Clone(c.Limits)
	for i := range list {
		list[i].Max = 0
	}
	return list
}
