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
	mostNameBytes      = 32 // of a cluster, a zone or a process
	mostLimits         = 16
	mostLimitNameBytes = 24
)

// duties are those that this program knows.
var duties = []string{duty.Discovery, duty.Probes, duty.Moves}

// needFleet are the sections that mean nothing without [fleet].
var needFleet = []string{"keepers", "duties", "discovery", "moves", "verdicts", "soft", "retries"}

// addrPort is an address with its port, as in 127.0.0.1:7946.
type addrPort struct{ netip.AddrPort }

// UnmarshalText reads an address; port 0 is an error.
func (a *addrPort) UnmarshalText(text []byte) error {
	p, err := netip.ParseAddrPort(string(text))
	if err != nil || p.Port() == 0 {
		return fmt.Errorf("%q is not an address with its port, as in 127.0.0.1:7946", text)
	}
	a.AddrPort = p
	return nil
}

// Read reads and checks a file. The error has a line for each mistake.
func Read(path string) (*Config, error) {
	f, err := inifile.Read(path)
	if err != nil {
		return nil, err
	}
	return decode(f)
}

// Parse is Read for a text; name stands for the file in errors.
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
	if !c.Fleet.On {
		complainWithoutFleet(f)
		return c, f.Err()
	}
	c.checkFleet(f)
	c.checkVerdicts(f)
	c.decodeKeepers(f)
	c.decodeLimits(f)
	c.checkDuties(f)
	return c, f.Err()
}

// defaults returns what an empty file says.
func defaults() *Config {
	terms, verdicts, soft := owner.DefaultTerms(), verdict.DefaultConfig(), limit.DefaultSoftConfig()
	return &Config{
		Keepers:  Keepers{Lease: terms.Lease, Margin: terms.Margin},
		Verdicts: Verdicts{Fresh: verdicts.MaxAge, Forget: verdicts.ForgetAfter, Witnesses: verdicts.MinWitnesses, Part: verdicts.MaxFraction},
		Retries:  Retries{Part: 0.2, Within: 10 * time.Second, Least: 10},
		Soft:     Soft{Stale: soft.StaleAfter, Hold: soft.DeadHold},
		Log:      Log{Format: "plain"},
	}
}

// decodeSections reads all sections but those of the limits.
func (c *Config) decodeSections(f *inifile.File) {
	c.Fleet.On, c.Verdicts.On, c.Retries.On = f.Has("fleet"), f.Has("verdicts"), f.Has("retries")
	f.Decode("soft", &c.Soft)
	f.Decode("retries", &c.Retries)
	f.Decode("fleet", &c.Fleet)
	f.Decode("keepers", &c.Keepers)
	f.Decode("duties", &c.Duties)
	f.Decode("discovery", &c.Discovery)
	f.Decode("moves", &c.Moves)
	f.Decode("verdicts", &c.Verdicts)
	f.Decode("log", &c.Log)
}

func complainWithoutFleet(f *inifile.File) {
	for _, section := range needFleet {
		if f.Has(section) {
			f.Complain(section, "", "needs a section [fleet]")
		}
	}
	for _, name := range f.Kind("limit") {
		f.Complain("limit "+name, "", "needs a section [fleet]")
	}
}

// checkFleet checks the section [fleet] and decodes its seeds.
func (c *Config) checkFleet(f *inifile.File) {
	if c.Fleet.Cluster == "" {
		f.Complain("fleet", "cluster", "missing: a name that only this fleet has")
	}
	if !c.Fleet.Listen.IsValid() && !f.HasKey("fleet", "listen") {
		f.Complain("fleet", "listen", "missing: the UDP address of this process")
	}
	if len(c.Fleet.Cluster) > mostNameBytes || len(c.Fleet.Zone) > mostNameBytes || len(c.Fleet.Name) > mostNameBytes {
		f.Complain("fleet", "", "cluster, zone and name take at most %d bytes each", mostNameBytes)
	}
	for _, seed := range c.Fleet.Seeds {
		var a addrPort
		if err := a.UnmarshalText([]byte(seed)); err != nil {
			f.Complain("fleet", "seeds", "%v", err)
			continue
		}
		c.Seeds = append(c.Seeds, a.AddrPort)
	}
}

func (c *Config) checkVerdicts(f *inifile.File) {
	if c.Verdicts.Forget <= c.Verdicts.Fresh {
		f.Complain("verdicts", "forget", "%v is not above fresh, %v", c.Verdicts.Forget, c.Verdicts.Fresh)
	}
}

func (c *Config) checkDuties(f *inifile.File) {
	for _, d := range c.Duties.Take {
		if !slices.Contains(duties, d) {
			f.Complain("duties", "take", "%q is none of %s", d, strings.Join(duties, ", "))
		}
	}
	if slices.Contains(c.Duties.Take, duty.Moves) && c.Moves.PerSecond == 0 {
		f.Complain("duties", "take", "moves need a pace: [moves] per_second")
	}
	if len(c.Duties.Take) > 0 && len(c.Members) == 0 {
		f.Complain("duties", "take", "duties need keepers: name them in [keepers] members")
	}
}

// decodeKeepers decodes the members of [keepers] and checks the section.
func (c *Config) decodeKeepers(f *inifile.File) {
	if n := len(c.Keepers.Members); f.HasKey("keepers", "members") && n != 3 && n != 5 {
		f.Complain("keepers", "members", "%d of them; three survive the loss of one, five that of two, other numbers no more than that", n)
	}
	for _, text := range c.Keepers.Members {
		c.addKeeper(f, text)
	}
	if c.Self != 0 && c.Keepers.Dir == "" {
		f.Complain("keepers", "dir", "missing: this process is keeper %d and needs a folder for its log", c.Self)
	}
	if err := c.Terms().Check(); err != nil {
		f.Complain("keepers", "margin", "%v", err)
	}
}

// addKeeper decodes a member of [keepers], as in 1@127.0.0.1:7946.
func (c *Config) addKeeper(f *inifile.File, text string) {
	keeper, ok := parseKeeper(text)
	if !ok {
		f.Complain("keepers", "members", "%q is not a number and an address, as in 1@127.0.0.1:7946", text)
		return
	}
	twice := func(k mesh.KeeperAddress) bool { return k.ID == keeper.ID || k.Addr == keeper.Addr }
	if slices.ContainsFunc(c.Members, twice) {
		f.Complain("keepers", "members", "%q: its number or its address stands there twice", text)
		return
	}
	c.Members = append(c.Members, keeper)
	if keeper.Addr == c.At() {
		c.Self = keeper.ID
	}
}

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

// limitSection is a section [limit NAME].
type limitSection struct {
	Kind   string        `ini:"kind" one:"soft, strict"`
	Most   int           `ini:"most" min:"1" max:"1000000"`
	Within time.Duration `ini:"within" max:"60"`
	Slices int           `ini:"slices" min:"1" max:"64"`
	Tenant string        `ini:"tenant"`
	Class  string        `ini:"class"`
}

// decodeLimits reads the sections [limit NAME].
func (c *Config) decodeLimits(f *inifile.File) {
	for _, name := range f.Kind("limit") {
		s := limitSection{Kind: "soft", Slices: 16}
		f.Decode("limit "+name, &s)
		l := limit.Limit{Name: name, Max: s.Most, Period: s.Within, Slices: s.Slices, Tenant: s.Tenant, Class: s.Class}
		if s.Kind == "strict" {
			l.Kind = limit.StrictKind
		}
		c.checkLimit(f, &l)
		c.Limits = append(c.Limits, l)
	}
}

// checkLimit tells the first mistake of a section [limit NAME].
func (c *Config) checkLimit(f *inifile.File, l *limit.Limit) {
	section := "limit " + l.Name
	switch {
	case !f.HasKey(section, "most"):
		f.Complain(section, "", "most: missing, the connections that all proxies together may have")
	case len(l.Name) > mostLimitNameBytes || len(c.Limits) >= mostLimits:
		f.Complain(section, "", "at most %d limits, with names of at most %d bytes", mostLimits, mostLimitNameBytes)
	case l.Check() != nil:
		f.Complain(section, "most", "%v", l.Check())
	case l.Kind == limit.StrictKind && len(c.Members) == 0:
		f.Complain(section, "kind", "strict, without keepers: they lease its slices; name them in [keepers] members")
	case l.Kind == limit.StrictKind && f.HasKey(section, "within"):
		f.Complain(section, "within", "a strict limit is one of standing connections")
	}
}
