package operator

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"ospreyspan/internal/duty"
	"ospreyspan/internal/inifile"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/shared/limit"
	"ospreyspan/internal/shared/verdict"
)

// Bounds on names and limits.
const (
	maxNameBytes      = 32 // applies to the names of clusters, zones and processes
	maxLimits         = 16
	maxLimitNameBytes = 24
)

// knownDuties lists the duties that [duties] take may name.
var knownDuties = []string{duty.Discovery, duty.Probes, duty.Moves}

// fleetSections lists the sections that have no effect without [fleet].
var fleetSections = []string{"keepers", "duties", "discovery", "moves", "verdicts", "soft", "retries"}

// addrPort is an IP address with a port, as in 127.0.0.1:7946.
type addrPort struct{ netip.AddrPort }

// UnmarshalText parses an address. It rejects port 0.
func (a *addrPort) UnmarshalText(text []byte) error {
	p, err := netip.ParseAddrPort(string(text))
	if err != nil || p.Port() == 0 {
		return fmt.Errorf("%q is not an address with its port, as in 127.0.0.1:7946", text)
	}
	a.AddrPort = p
	return nil
}

// Read reads and checks a file. The text of the error has one line per problem.
func Read(path string) (*Config, error) {
	f, err := inifile.Read(path)
	if err != nil {
		return nil, err
	}
	return decode(f)
}

// Parse parses and checks text as Read does a file. The name stands for the file in error messages.
func Parse(name string, text []byte) (*Config, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	return decode(f)
}

func decode(f *inifile.File) (*Config, error) {
	c := defaults()
	c.decodeSections(f)
	if !c.Fleet.Enabled {
		rejectSectionsWithoutFleet(f)
		return c, f.Err()
	}
	c.checkFleet(f)
	c.checkVerdicts(f)
	c.decodeKeepers(f)
	c.decodeLimits(f)
	c.checkDuties(f)
	return c, f.Err()
}

// defaults returns the configuration that an empty file stands for.
func defaults() *Config {
	terms, verdicts, soft := owner.DefaultTerms(), verdict.DefaultConfig(), limit.DefaultSoftConfig()
	return &Config{
		Keepers:    Keepers{Lease: terms.Lease, Margin: terms.Margin},
		Verdicts:   Verdicts{MaxEvidenceAge: verdicts.MaxEvidenceAge, ForgetAfter: verdicts.ForgetAfter, MinWitnesses: verdicts.MinWitnesses, MaxUnhealthyFraction: verdicts.MaxFraction},
		Retries:    Retries{Ratio: 0.2, Window: 10 * time.Second, MinRetries: 10},
		SoftLimits: SoftLimits{StaleAfter: soft.StaleAfter, HoldTime: soft.DeadHold},
		Log:        Log{Format: "plain"},
	}
}

// decodeSections decodes all sections except [limit NAME].
func (c *Config) decodeSections(f *inifile.File) {
	c.Fleet.Enabled, c.Verdicts.Enabled, c.Retries.Enabled = f.HasSection("fleet"), f.HasSection("verdicts"), f.HasSection("retries")
	f.Decode("soft", &c.SoftLimits)
	f.Decode("retries", &c.Retries)
	f.Decode("fleet", &c.Fleet)
	f.Decode("keepers", &c.Keepers)
	f.Decode("duties", &c.Duties)
	f.Decode("discovery", &c.Discovery)
	f.Decode("moves", &c.Moves)
	f.Decode("verdicts", &c.Verdicts)
	f.Decode("log", &c.Log)
}

// rejectSectionsWithoutFleet reports a problem for each section that needs [fleet].
func rejectSectionsWithoutFleet(f *inifile.File) {
	for _, section := range fleetSections {
		if f.HasSection(section) {
			f.AddProblem(section, "", "needs a section [fleet]")
		}
	}
	for _, name := range f.SectionNames("limit") {
		f.AddProblem("limit "+name, "", "needs a section [fleet]")
	}
}

// checkFleet checks the section [fleet] and decodes its seeds.
func (c *Config) checkFleet(f *inifile.File) {
	if c.Fleet.Cluster == "" {
		f.AddProblem("fleet", "cluster", "missing: a name that is unique to this fleet")
	}
	if !c.Fleet.Listen.IsValid() && !f.HasKey("fleet", "listen") {
		f.AddProblem("fleet", "listen", "missing: the UDP address on which this process listens")
	}
	if len(c.Fleet.Cluster) > maxNameBytes || len(c.Fleet.Zone) > maxNameBytes || len(c.Fleet.Name) > maxNameBytes {
		f.AddProblem("fleet", "", "cluster, zone and name may have at most %d bytes each", maxNameBytes)
	}
	for _, seed := range c.Fleet.Seeds {
		var a addrPort
		if err := a.UnmarshalText([]byte(seed)); err != nil {
			f.AddProblem("fleet", "seeds", "%v", err)
			continue
		}
		c.Seeds = append(c.Seeds, a.AddrPort)
	}
}

// checkVerdicts checks the section [verdicts].
func (c *Config) checkVerdicts(f *inifile.File) {
	if c.Verdicts.ForgetAfter <= c.Verdicts.MaxEvidenceAge {
		f.AddProblem("verdicts", "forget", "%v is not above fresh, %v", c.Verdicts.ForgetAfter, c.Verdicts.MaxEvidenceAge)
	}
}

// checkDuties checks the section [duties].
func (c *Config) checkDuties(f *inifile.File) {
	for _, d := range c.Duties.Take {
		if !slices.Contains(knownDuties, d) {
			f.AddProblem("duties", "take", "%q is none of %s", d, strings.Join(knownDuties, ", "))
		}
	}
	if slices.Contains(c.Duties.Take, duty.Moves) && c.Moves.PerSecond == 0 {
		f.AddProblem("duties", "take", "moves need a rate: set [moves] per_second")
	}
	if len(c.Duties.Take) > 0 && len(c.KeeperAddresses) == 0 {
		f.AddProblem("duties", "take", "duties need keepers: list them in [keepers] members")
	}
}

// decodeKeepers decodes the members of [keepers] and checks the section. There must be 3 keepers,
// which tolerate the loss of 1, or 5, which tolerate the loss of 2. An even number tolerates no
// more losses than the odd number below it.
func (c *Config) decodeKeepers(f *inifile.File) {
	if n := len(c.Keepers.Members); f.HasKey("keepers", "members") && n != 3 && n != 5 {
		f.AddProblem("keepers", "members", "got %d members, want 3, which tolerate the loss of 1, or 5, which tolerate the loss of 2", n)
	}
	for _, text := range c.Keepers.Members {
		c.addKeeper(f, text)
	}
	if c.KeeperID != 0 && c.Keepers.LogDir == "" {
		f.AddProblem("keepers", "dir", "missing: this process is keeper %d and needs a directory for its log", c.KeeperID)
	}
	if err := c.Terms().Check(); err != nil {
		f.AddProblem("keepers", "margin", "%v", err)
	}
}

// addKeeper decodes a member of [keepers], written as in 1@127.0.0.1:7946, and adds it to the
// keepers.
func (c *Config) addKeeper(f *inifile.File, text string) {
	keeper, ok := parseKeeper(text)
	if !ok {
		f.AddProblem("keepers", "members", "%q is not an ID and an address, as in 1@127.0.0.1:7946", text)
		return
	}
	conflicts := func(k mesh.KeeperAddress) bool { return k.ID == keeper.ID || k.Addr == keeper.Addr }
	if slices.ContainsFunc(c.KeeperAddresses, conflicts) {
		f.AddProblem("keepers", "members", "%q: another member has the same ID or address", text)
		return
	}
	c.KeeperAddresses = append(c.KeeperAddresses, keeper)
	if keeper.Addr == c.AdvertisedAddress() {
		c.KeeperID = keeper.ID
	}
}

// parseKeeper parses ID@ADDRESS. It reports false if the text is malformed or the ID is 0.
func parseKeeper(text string) (k mesh.KeeperAddress, ok bool) {
	number, address, found := strings.Cut(text, "@")
	id, err := strconv.ParseUint(number, 10, 32)
	if !found || err != nil || id == 0 {
		return k, false
	}
	var a addrPort
	if a.UnmarshalText([]byte(address)) != nil {
		return k, false
	}
	return mesh.KeeperAddress{ID: id, Addr: a.AddrPort}, true
}

// limitSection holds the keys of a section [limit NAME].
type limitSection struct {
	Kind           string        `ini:"kind" one:"soft, strict"`
	MaxConnections int           `ini:"most" min:"1" max:"1000000"`
	Window         time.Duration `ini:"within" max:"60"`
	Slices         int           `ini:"slices" min:"1" max:"64"`
	Tenant         string        `ini:"tenant"`
	Class          string        `ini:"class"`
}

// decodeLimits decodes and checks the sections [limit NAME].
func (c *Config) decodeLimits(f *inifile.File) {
	for _, name := range f.SectionNames("limit") {
		s := limitSection{Kind: "soft", Slices: 16}
		f.Decode("limit "+name, &s)
		l := limit.Limit{Name: name, Max: s.MaxConnections, Period: s.Window, SliceCount: s.Slices, Tenant: s.Tenant, Class: s.Class}
		if s.Kind == "strict" {
			l.Kind = limit.StrictKind
		}
		c.checkLimit(f, &l)
		c.Limits = append(c.Limits, l)
	}
}

// checkLimit reports the first problem of a section [limit NAME].
func (c *Config) checkLimit(f *inifile.File, l *limit.Limit) {
	section := "limit " + l.Name
	switch {
	case !f.HasKey(section, "most"):
		f.AddProblem(section, "", "most: missing, the number of connections that all proxies together may have")
	case len(l.Name) > maxLimitNameBytes || len(c.Limits) >= maxLimits:
		f.AddProblem(section, "", "at most %d limits are allowed, with names of at most %d bytes", maxLimits, maxLimitNameBytes)
	case l.Check() != nil:
		f.AddProblem(section, "most", "%v", l.Check())
	case l.Kind == limit.StrictKind && len(c.KeeperAddresses) == 0:
		f.AddProblem(section, "kind", "a strict limit needs keepers, which lease its slices: list them in [keepers] members")
	case l.Kind == limit.StrictKind && f.HasKey(section, "within"):
		f.AddProblem(section, "within", "a strict limit counts open connections and takes no time window")
	}
}
