// Package operator reads the operator's configuration file. It configures the features that are not
// part of the platform's configuration; each is off unless the file names it. The file is checked
// as a whole, and all problems are reported at once, each with its file, line and key.
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

// Config holds the contents of the file, with defaults for what the file leaves out.
type Config struct {
	Fleet      Fleet
	Keepers    Keepers
	Duties     Duties
	Discovery  Discovery
	Moves      Moves
	Verdicts   Verdicts
	Limits     []limit.Limit
	SoftLimits SoftLimits
	Retries    Retries
	Log        Log

	KeeperAddresses []mesh.KeeperAddress // decoded from Keepers.Members
	KeeperID        uint64               // ID of the keeper that this process runs; 0: none
	Seeds           []netip.AddrPort     // decoded from Fleet.Seeds
}

// Fleet configures how this proxy reaches the other proxies of the fleet and how they reach it.
type Fleet struct {
	Enabled bool     `ini:"-"`       // the file has this section
	Cluster string   `ini:"cluster"` // datagrams from other clusters are dropped
	Listen  addrPort `ini:"listen"`  // UDP address
	// Advertise is the UDP address at which the other proxies reach this process. It is needed only
	// if that address differs from Listen.
	Advertise addrPort `ini:"advertise"`
	Zone      string   `ini:"zone"`
	Seeds     []string `ini:"seeds"` // addresses of members to contact first
	Name      string   `ini:"name"`  // empty: the name of the proxy
}

// Keepers configures the processes that agree on the owners of leases.
type Keepers struct {
	Members []string      `ini:"members"`                  // ID@ADDRESS of each of 3 or 5 keepers
	LogDir  string        `ini:"dir"`                      // directory of the keeper's log
	Lease   time.Duration `ini:"lease" min:"0.2" max:"60"` // see owner.LeaseTerms
	Margin  time.Duration `ini:"margin"`                   // see owner.LeaseTerms
}

// Duties lists the leases that this process takes if they are free.
type Duties struct {
	Take []string `ini:"take"` // any of discovery, probes and moves
}

// Discovery configures how the owner of the lease "discovery" distributes the lists from discovery.
type Discovery struct {
	// SameAddresses reports whether a target has the same address for all proxies. If so, a proxy
	// may use the address given by the owner for a target that it has not received from discovery
	// itself.
	SameAddresses bool `ini:"same_addresses"`
}

// Moves configures the rate at which the owner of the lease "moves" lets connections move off
// draining servers.
type Moves struct {
	PerSecond float64 `ini:"per_second" above:"0" max:"100000"` // moves, over all proxies
}

// Verdicts configures how the health of targets is derived from what all proxies observe. All
// processes of a fleet need the same values.
type Verdicts struct {
	Enabled bool `ini:"-"` // the file has this section
	// MaxEvidenceAge is the age up to which evidence can mark a target unhealthy.
	MaxEvidenceAge time.Duration `ini:"fresh" min:"1" max:"60"`
	// ForgetAfter is the age above which evidence against a target is forgotten. While the evidence
	// is older than MaxEvidenceAge but not forgotten, the proxies take turns to try the target.
	// Must exceed MaxEvidenceAge.
	ForgetAfter time.Duration `ini:"forget" min:"2" max:"300"`
	// MinWitnesses is the number of proxies that must agree to mark a target unhealthy.
	MinWitnesses int `ini:"witnesses" min:"2" max:"100"`
	// MaxUnhealthyFraction is the fraction of a zone's targets, and of all targets, that may be
	// marked unhealthy at once.
	MaxUnhealthyFraction float64 `ini:"part" above:"0" max:"1"`
}

// SoftLimits configures the soft limits. All processes of a fleet need the same values.
type SoftLimits struct {
	// StaleAfter is the age above which a process's report of its usage is ignored. The process is
	// then assumed to use an even share of the limit, or what it last reported if that is more.
	StaleAfter time.Duration `ini:"stale" min:"1" max:"60"`
	// HoldTime is how long a process that seems dead still counts, since it may only be
	// unreachable.
	HoldTime time.Duration `ini:"hold" min:"2" max:"600"`
	// ExpectedProcesses is the number of processes that the fleet should have. Missing ones are
	// counted as present until HoldTime after the start.
	ExpectedProcesses int `ini:"expect" min:"0" max:"4096"`
}

// Retries configures the retry budget that all proxies share.
type Retries struct {
	Enabled    bool          `ini:"-"`                          // the file has this section
	Ratio      float64       `ini:"part" above:"0" max:"10"`    // retries allowed per first attempt
	Window     time.Duration `ini:"within" min:"1" max:"60"`    // for counting attempts and retries
	MinRetries int           `ini:"least" min:"0" max:"100000"` // per Window, on top of Ratio
}

// Log configures the format of the log.
type Log struct {
	Format string `ini:"format" one:"plain, json"`
}

// AdvertisedAddress returns the address at which the other proxies reach this process.
func (c *Config) AdvertisedAddress() netip.AddrPort {
	if c.Fleet.Advertise.IsValid() {
		return c.Fleet.Advertise.AddrPort
	}
	return c.Fleet.Listen.AddrPort
}

// Terms returns the durations that govern leases. They must be the same in all processes of a
// fleet.
func (c *Config) Terms() owner.LeaseTerms {
	return owner.LeaseTerms{Lease: c.Keepers.Lease, Margin: c.Keepers.Margin}
}

// RestartSettings returns the settings that take effect only after a restart, as one text. A reload
// compares the texts of the old and the new configuration.
func (c *Config) RestartSettings() string {
	return fmt.Sprintln(c.Fleet.Enabled, c.Fleet.Cluster, c.Fleet.Listen, c.Fleet.Advertise, c.Fleet.Zone, c.Fleet.Name, c.Keepers, c.Log, c.Discovery, c.Moves, c.Verdicts, c.SoftLimits, c.Retries, c.limitsWithoutMaximum())
}

// limitsWithoutMaximum returns the limits without their maximum, which is the only setting of a
// limit that a reload can change.
func (c *Config) limitsWithoutMaximum() []limit.Limit {
	list := slices.Clone(c.Limits)
	for i := range list {
		list[i].Max = 0
	}
	return list
}
