package main

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"strings"

	"github.com/rs/zerolog"

	"ospreyspan/internal/instance"
	"ospreyspan/internal/keeper"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/operator"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/shared/limit"
	"ospreyspan/internal/shared/verdict"
)

// sharing is what the operator's file switches on. A nil one is off.
type sharing struct {
	path string
	conf *operator.Config
	log  zerolog.Logger
	file *keeper.File
}

func loadSharing(path string, out io.Writer) (*sharing, error) {
	conf, err := operator.Read(path)
	if err != nil {
		return nil, err
	}
	s := &sharing{path: path, conf: conf}
	if conf.Log.Format == "json" {
		s.log = zerolog.New(out).With().Timestamp().Logger()
	} else {
		s.log = zerolog.New(zerolog.ConsoleWriter{Out: out, NoColor: true, PartsOrder: []string{zerolog.MessageFieldName}})
	}
	return s, nil
}

// writer is where the lines of the proxy's log go: with JSON each becomes an event.
func (s *sharing) writer(out io.Writer) io.Writer {
	if s == nil || s.conf.Log.Format != "json" {
		return out
	}
	return lines{s.log}
}

type lines struct{ log zerolog.Logger }

func (l lines) Write(p []byte) (int, error) {
	l.log.Info().Msg(strings.TrimRight(string(p), "\n"))
	return len(p), nil
}

// fleet returns what the proxy needs to take part, nil if it does not.
func (s *sharing) fleet(c *config, loop *poll.Loop, logger *log.Logger) (*instance.Fleet, error) {
	if s == nil || !s.conf.Fleet.On {
		return nil, nil
	}
	session, err := drawSession()
	if err != nil {
		return nil, err
	}
	name := s.conf.Fleet.Name
	if name == "" {
		name = c.Name
	}
	if len(name) > 32 {
		return nil, fmt.Errorf("%s: [fleet] name: %q has more than 32 bytes", s.path, name)
	}
	m := mesh.Config{
		Cluster: s.conf.Fleet.Cluster, Name: name, Zone: s.conf.Fleet.Zone, Listen: s.conf.Fleet.Listen.AddrPort,
		Advertise: s.conf.Fleet.Advertise.AddrPort,
		Session:   session, Seeds: s.conf.Seeds, Keepers: s.conf.Members, Terms: s.conf.Terms(), Duties: s.conf.Duties.Take,
		Seed: uint64(c.Seed) ^ session, Tell: s.tell,
	}
	if s.conf.Self != 0 {
		if err := s.keep(&m, loop, logger); err != nil {
			return nil, err
		}
	}
	f := &instance.Fleet{Mesh: m, SameAddresses: s.conf.Discovery.SameAddresses, MovesPerSecond: s.conf.Moves.PerSecond}
	if o := s.conf.Verdicts; o.On {
		v := instance.DefaultVerdicts()
		v.Judge = verdict.Config{MaxAge: o.Fresh, ForgetAfter: o.Forget, MinWitnesses: o.Witnesses, MaxFraction: o.Part}
		v.Evidence.Retention = o.Forget + v.Evidence.WindowLength
		v.OnChange = s.judged
		f.Verdicts = &v
	}
	if o := s.conf.Retries; o.On {
		f.Retries = &limit.RetryBudget{Fraction: o.Part, Period: o.Within, Min: o.Least}
	}
	if len(s.conf.Limits) > 0 {
		o := s.conf.Soft
		f.Limits = &instance.Limits{Soft: limit.SoftConfig{StaleAfter: o.Stale, DeadHold: o.Hold, ExpectedMembers: o.Expect}, List: s.conf.Limits, OnChange: s.limited}
		for _, l := range s.conf.Limits {
			if err := named(c, l); err != nil {
				return nil, fmt.Errorf("%s: [limit %s] %w", s.path, l.Name, err)
			}
		}
	}
	return f, nil
}

// named tells whether the platform's settings know whom a limit is for.
func named(c *config, l limit.Limit) error {
	if _, ok := c.settings.Tenants[l.Tenant]; !ok && l.Tenant != "" {
		return fmt.Errorf("tenant: the settings name no %q", l.Tenant)
	}
	if _, ok := c.settings.Classes[l.Class]; !ok && l.Class != "" {
		return fmt.Errorf("class: the settings name no %q", l.Class)
	}
	return nil
}

// limited logs that a limit begins or ends to refuse.
func (s *sharing) limited(c instance.LimitChange) {
	what := "fleet: limit takes again"
	if c.Refusing {
		what = "fleet: limit refuses"
	}
	s.log.Info().Str("limit", c.Limit.Name).Stringer("kind", c.Limit.Kind).Int("most", c.Limit.Max).Int("use", c.InUse).Int("room", c.Available).Msg(what)
}

func drawSession() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("session: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil
}

// keep makes this process a keeper. Without a log it is none: one that had a log and lost it must not vote as if it had
// promised nothing.
func (s *sharing) keep(m *mesh.Config, loop *poll.Loop, logger *log.Logger) error {
	file, restored, err := keeper.OpenFile(s.conf.Keepers.Dir, loop.Post)
	if errors.Is(err, keeper.ErrEmpty) {
		logger.Printf("%v: this process is no keeper until `ospreyspan keepers init` has made one, for a new fleet only", err)
		return nil
	}
	if err != nil {
		return err
	}
	s.file = file
	k := keeper.DefaultConfig()
	k.ID, k.Terms, k.Seed = s.conf.Self, s.conf.Terms(), m.Seed
	for _, at := range s.conf.Members {
		k.Voters = append(k.Voters, at.ID)
	}
	m.Keeper, m.Log, m.Disk = &k, restored, file
	return nil
}

func (s *sharing) close() {
	if s != nil && s.file != nil {
		s.file.Close()
	}
}

// tell logs a change.
func (s *sharing) tell(e mesh.Event) {
	l := s.log.Info()
	if e.Err != nil {
		l = s.log.Error().Err(e.Err)
	}
	if e.Lease != "" {
		l = l.Str("duty", e.Lease).Uint64("token", e.Token)
	}
	if e.Version != 0 {
		l = l.Uint64("version", e.Version)
	}
	if e.Member != nil {
		l = l.Str("member", e.Member.Name).Stringer("at", e.Member.Addr).Str("session", fmt.Sprintf("%x", e.Member.Session))
	}
	l.Msg("fleet: " + e.What)
}

// judged logs a verdict that changed, with what it rests on.
func (s *sharing) judged(c instance.VerdictChange) {
	s.log.Info().Str("target", c.Target).Stringer("verdict", c.Verdict).Stringer("was", c.Previous).Dur("age_ms", c.Age).
		Int("witnesses", c.Witnesses).Int("against", c.Opposing).Msg("fleet: verdict")
}

// reload takes what the operator's file may change while the program serves; one that is wrong changes nothing.
func (s *sharing) reload(i *instance.Instance, logger *log.Logger) {
	if s == nil {
		return
	}
	conf, err := operator.Read(s.path)
	if err != nil {
		logger.Printf("reload: the old operator's file stays:\n%v", err)
		return
	}
	if conf.Fixed() != s.conf.Fixed() {
		logger.Printf("reload: %s: all but seeds, duties and how much limits hold takes a new start", s.path)
	}
	s.conf.Seeds, s.conf.Duties = conf.Seeds, conf.Duties
	if n := i.Node(); n != nil {
		n.SetSeeds(conf.Seeds)
		i.SetDuties(conf.Duties.Take)
		i.SetLimits(conf.Limits)
	}
	logger.Printf("reload: %s: %d seeds, duties: %s", s.path, len(conf.Seeds), strings.Join(conf.Duties.Take, ", "))
}

// print writes the conversation's counters.
func (s *sharing) print(i *instance.Instance, out io.Writer) {
	if s == nil || i.Node() == nil {
		return
	}
	fmt.Fprint(out, "fleet:")
	for _, f := range i.Node().Figures() {
		fmt.Fprintf(out, " %s=%d", f.Name, f.Value)
	}
	fmt.Fprintln(out)
}
