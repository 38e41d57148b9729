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

// operatorFeatures holds the features that the operator file turns on, such as taking part in a
// fleet. A nil *operatorFeatures has all of them turned off.
type operatorFeatures struct {
	path      string
	config    *operator.Config
	log       zerolog.Logger
	keeperLog *keeper.File
}

// loadOperatorFeatures reads the operator file at path and sets up the log of fleet events, which
// is written to out.
func loadOperatorFeatures(path string, out io.Writer) (*operatorFeatures, error) {
	config, err := operator.Read(path)
	if err != nil {
		return nil, err
	}
	features := &operatorFeatures{path: path, config: config}
	if config.Log.Format == "json" {
		features.log = zerolog.New(out).With().Timestamp().Logger()
	} else {
		features.log = zerolog.New(zerolog.ConsoleWriter{Out: out, NoColor: true, PartsOrder: []string{zerolog.MessageFieldName}})
	}
	return features, nil
}

// logWriter returns the writer for the lines of the proxy's own log. If the operator file asks for
// a log in JSON, each line becomes an event of that log.
func (f *operatorFeatures) logWriter(out io.Writer) io.Writer {
	if f == nil || f.config.Log.Format != "json" {
		return out
	}
	return eventWriter{f.log}
}

// eventWriter writes each log line as an event of a structured log.
type eventWriter struct{ log zerolog.Logger }

func (w eventWriter) Write(p []byte) (int, error) {
	w.log.Info().Msg(strings.TrimRight(string(p), "\n"))
	return len(p), nil
}

// fleetConfig returns the configuration for taking part in a fleet, or nil if this process does not
// take part in one. It opens the keeper's log if this process is a keeper.
func (f *operatorFeatures) fleetConfig(cfg *config, loop *poll.Loop, logger *log.Logger) (*instance.FleetConfig, error) {
	if f == nil || !f.config.Fleet.Enabled {
		return nil, nil
	}
	session, err := randomSessionID()
	if err != nil {
		return nil, err
	}
	name := f.config.Fleet.Name
	if name == "" {
		name = cfg.Name
	}
	if len(name) > 32 {
		return nil, fmt.Errorf("%s: [fleet] name: %q is longer than 32 bytes", f.path, name)
	}
	meshConfig := mesh.Config{
		Cluster: f.config.Fleet.Cluster, Name: name, Zone: f.config.Fleet.Zone, Listen: f.config.Fleet.Listen.AddrPort,
		Advertise: f.config.Fleet.Advertise.AddrPort,
		Session:   session, Seeds: f.config.Seeds, Keepers: f.config.KeeperAddresses, Terms: f.config.Terms(), Duties: f.config.Duties.Take,
		Seed: uint64(cfg.RandomSeed) ^ session, OnEvent: f.logEvent,
	}
	if f.config.KeeperID != 0 {
		if err := f.openKeeper(&meshConfig, loop, logger); err != nil {
			return nil, err
		}
	}
	fleet := &instance.FleetConfig{Mesh: meshConfig, SameAddresses: f.config.Discovery.SameAddresses, MovesPerSecond: f.config.Moves.PerSecond}
	if o := f.config.Verdicts; o.Enabled {
		verdicts := instance.DefaultVerdictConfig()
		verdicts.Judge = verdict.Config{MaxEvidenceAge: o.MaxEvidenceAge, ForgetAfter: o.ForgetAfter, MinWitnesses: o.MinWitnesses, MaxFraction: o.MaxUnhealthyFraction}
		verdicts.Evidence.Retention = o.ForgetAfter + verdicts.Evidence.WindowLength
		verdicts.OnChange = f.logVerdictChange
		fleet.Verdicts = &verdicts
	}
	if o := f.config.Retries; o.Enabled {
		fleet.Retries = &limit.RetryBudget{Fraction: o.Ratio, Period: o.Window, Min: o.MinRetries}
	}
	if len(f.config.Limits) > 0 {
		o := f.config.SoftLimits
		fleet.Limits = &instance.LimitsConfig{Soft: limit.SoftConfig{StaleAfter: o.StaleAfter, DeadHold: o.HoldTime, ExpectedMembers: o.ExpectedProcesses}, List: f.config.Limits, OnChange: f.logLimitChange}
		for _, l := range f.config.Limits {
			if err := checkLimitNames(cfg, l); err != nil {
				return nil, fmt.Errorf("%s: [limit %s] %w", f.path, l.Name, err)
			}
		}
	}
	return fleet, nil
}

// checkLimitNames checks that the platform's settings have the tenant and the class that a limit is
// for.
func checkLimitNames(cfg *config, l limit.Limit) error {
	if _, ok := cfg.settings.Tenants[l.Tenant]; !ok && l.Tenant != "" {
		return fmt.Errorf("tenant: %q is not in the settings", l.Tenant)
	}
	if _, ok := cfg.settings.Classes[l.Class]; !ok && l.Class != "" {
		return fmt.Errorf("class: %q is not in the settings", l.Class)
	}
	return nil
}

// logLimitChange logs that a limit has started or stopped refusing clients.
func (f *operatorFeatures) logLimitChange(change instance.LimitChange) {
	message := "fleet: limit takes again"
	if change.Refusing {
		message = "fleet: limit refuses"
	}
	f.log.Info().Str("limit", change.Limit.Name).Stringer("kind", change.Limit.Kind).Int("most", change.Limit.Max).Int("use", change.InUse).Int("room", change.Available).Msg(message)
}

// randomSessionID returns a random ID that is never 0.
func randomSessionID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("session: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil
}

// openKeeper opens the keeper's log and makes this process a keeper. Without a log the process does
// not become a keeper: a keeper that has lost its log must not vote as if it had never voted.
func (f *operatorFeatures) openKeeper(meshConfig *mesh.Config, loop *poll.Loop, logger *log.Logger) error {
	file, restored, err := keeper.OpenFile(f.config.Keepers.LogDir, loop.Post)
	if errors.Is(err, keeper.ErrEmpty) {
		logger.Printf("%v: this process is no keeper until `ospreyspan keepers init` has made one, for a new fleet only", err)
		return nil
	}
	if err != nil {
		return err
	}
	f.keeperLog = file
	keeperConfig := keeper.DefaultConfig()
	keeperConfig.ID, keeperConfig.Terms, keeperConfig.Seed = f.config.KeeperID, f.config.Terms(), meshConfig.Seed
	for _, member := range f.config.KeeperAddresses {
		keeperConfig.Voters = append(keeperConfig.Voters, member.ID)
	}
	meshConfig.Keeper, meshConfig.RestoredLog, meshConfig.Disk = &keeperConfig, restored, file
	return nil
}

// close closes the keeper's log, if there is one.
func (f *operatorFeatures) close() {
	if f != nil && f.keeperLog != nil {
		f.keeperLog.Close()
	}
}

// logEvent logs a change in the fleet: of a member, of the owner of a duty, or of the keeper.
func (f *operatorFeatures) logEvent(event mesh.Event) {
	entry := f.log.Info()
	if event.Err != nil {
		entry = f.log.Error().Err(event.Err)
	}
	if event.Lease != "" {
		entry = entry.Str("duty", event.Lease).Uint64("token", event.Token)
	}
	if event.Version != 0 {
		entry = entry.Uint64("version", event.Version)
	}
	if event.Member != nil {
		entry = entry.Str("member", event.Member.Name).Stringer("at", event.Member.Addr).Str("session", fmt.Sprintf("%x", event.Member.Session))
	}
	entry.Msg("fleet: " + event.Kind)
}

// logVerdictChange logs a changed verdict on a target, with the evidence behind it.
func (f *operatorFeatures) logVerdictChange(change instance.VerdictChange) {
	f.log.Info().Str("target", change.Target).Stringer("verdict", change.Verdict).Stringer("was", change.Previous).Dur("age_ms", change.Age).
		Int("witnesses", change.Witnesses).Int("against", change.Opposing).Msg("fleet: verdict")
}

// reload reads the operator file again and applies what may change while the program serves: seeds,
// duties and the value of each limit. An invalid file changes nothing.
func (f *operatorFeatures) reload(proxy *instance.Instance, logger *log.Logger) {
	if f == nil {
		return
	}
	config, err := operator.Read(f.path)
	if err != nil {
		logger.Printf("reload: the old operator file stays in force:\n%v", err)
		return
	}
	if config.RestartSettings() != f.config.RestartSettings() {
		logger.Printf("reload: %s: changes to anything but seeds, duties and the values of limits take effect after a restart", f.path)
	}
	f.config.Seeds, f.config.Duties = config.Seeds, config.Duties
	if n := proxy.Node(); n != nil {
		n.SetSeeds(config.Seeds)
		proxy.SetDuties(config.Duties.Take)
		proxy.SetLimits(config.Limits)
	}
	logger.Printf("reload: %s: %d seeds, duties: %s", f.path, len(config.Seeds), strings.Join(config.Duties.Take, ", "))
}

// printCounters writes the counters of the messages between the processes of the fleet.
func (f *operatorFeatures) printCounters(proxy *instance.Instance, out io.Writer) {
	if f == nil || proxy.Node() == nil {
		return
	}
	fmt.Fprint(out, "fleet:")
	for _, figure := range proxy.Node().CounterValues() {
		fmt.Fprintf(out, " %s=%d", figure.Name, figure.Value)
	}
	fmt.Fprintln(out)
}
