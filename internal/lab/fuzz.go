package lab

import (
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"time"

	"ospreyspan/internal/inifile"
	"ospreyspan/internal/vnet"
)

// Text returns the scenario in the file format that Read reads, without the values that equal the
// defaults.
func (s *Scenario) Text() string {
	var b strings.Builder
	d := defaults()
	inifile.Encode(&b, "run", s.Run, d.Run)
	inifile.Encode(&b, "proxies", s.Proxies, d.Proxies)
	inifile.Encode(&b, "relays", s.Relays, d.Relays)
	inifile.Encode(&b, "network", s.Network, d.Network)
	inifile.Encode(&b, "traffic", s.Traffic, d.Traffic)
	inifile.Encode(&b, "discovery", s.Discovery, d.Discovery)
	inifile.Encode(&b, "front", s.Front, d.Front)
	inifile.Encode(&b, "rules", s.Rules, d.Rules)
	inifile.Encode(&b, "allow", s.Permissions, d.Permissions)
	inifile.Encode(&b, "standing", s.Standing, d.Standing)
	kinds, classes := s.Kinds, s.Classes
	if reflect.DeepEqual(kinds, defaultKinds()) {
		kinds = nil
	}
	if reflect.DeepEqual(classes, defaultClasses()) {
		classes = nil
	}
	for _, k := range kinds {
		inifile.Encode(&b, "kind "+k.Name, kindSection{k.Share, k.Cores, k.Speed, k.ColdFrom, k.WarmUp, k.ErrorFraction}, nil)
	}
	for _, c := range classes {
		inifile.Encode(&b, "class "+c.Name, c, nil)
	}
	for _, w := range s.Waves {
		inifile.Encode(&b, "wave "+w.Name, w, nil)
	}
	for _, t := range s.Faults {
		inifile.Encode(&b, "trouble "+t.Name, t, Fault{})
	}
	return b.String()
}

// Parse reads a scenario from the text of a file with the given name. The values of set replace
// those of the file, as with Read.
func Parse(name string, text string, set ...string) (*Scenario, error) {
	f, err := inifile.Parse(name, []byte(text))
	if err != nil {
		return nil, err
	}
	for _, s := range set {
		if err := f.Set(s); err != nil {
			return nil, err
		}
	}
	return decode(strings.TrimSuffix(name, ".ini"), f)
}

// ScenarioGenerator generates a scenario from a seed.
type ScenarioGenerator func(seed uint64) *Scenario

// FuzzConfig says which scenarios Fuzz plays.
type FuzzConfig struct {
	Generate  ScenarioGenerator
	Overrides []string // section.key=value pairs that replace generated values
}

// scenario generates the scenario of a seed. It is parsed from its own text, so that a saved file
// reproduces it exactly.
func (d *FuzzConfig) scenario(seed uint64) (*Scenario, error) {
	return Parse(fmt.Sprintf("fuzz-%d.ini", seed), d.Generate(seed).Text(), d.Overrides...)
}

// ScenarioGenerators returns the generators by the names that the flag --days accepts.
func ScenarioGenerators() map[string]ScenarioGenerator {
	return map[string]ScenarioGenerator{"any": RandomScenario, "throng": RandomThrong, "cut-output": RandomCutOutput, "standing": RandomStanding}
}

// Finding is a broken rule that Fuzz found.
type Finding struct {
	Seed      uint64
	Rule      string
	Err       error
	Scenario  *Scenario // as generated
	Minimized *Scenario // after Shrink; breaks the same rule with the same seed
	Tried     int       // scenarios played by Shrink
}

// brokenRule returns the name of the rule that an error of Play reports as broken, or an empty
// string if it reports none.
func brokenRule(err error) string {
	var v *Violation
	var f *vnet.Failure
	switch {
	case errors.As(err, &v):
		return v.Rule
	case errors.As(err, &f):
		return "failure"
	}
	return ""
}

// playRecovering plays a day like Play. It reports a panic as a broken rule named panic.
func playRecovering(s *Scenario, seed uint64) (err error) {
	defer func() {
		if p := recover(); p != nil {
			buf := make([]byte, 4096)
			err = &vnet.Failure{Seed: seed, Err: &Violation{"panic", fmt.Sprintf("%v\n%s", p, buf[:runtime.Stack(buf, false)])}}
		}
	}()
	_, err = Play(s, seed, Options{})
	return err
}

// Fuzz plays generated scenarios with seeds from first on, until one breaks a rule, n have been
// played or the time until has passed. It returns the finding with the lowest seed among those that
// were started, and the number of days played. done, if not nil, is called after each day, one call
// at a time.
func Fuzz(config FuzzConfig, first uint64, n int, until time.Time, done func(seed uint64)) (*Finding, int, error) {
	var (
		mu     sync.Mutex
		next   = first
		played int
		found  *Finding
		failed error
		wait   sync.WaitGroup
	)
	for range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				mu.Lock()
				if found != nil || failed != nil || next >= first+uint64(n) || time.Now().After(until) {
					mu.Unlock()
					return
				}
				seed := next
				next++
				mu.Unlock()
				s, err := config.scenario(seed)
				if err == nil {
					err = playRecovering(s, seed)
				}
				mu.Lock()
				played++
				if r := brokenRule(err); r != "" && (found == nil || seed < found.Seed) {
					found = &Finding{Seed: seed, Rule: r, Err: err, Scenario: s}
				} else if err != nil && r == "" {
					failed = err
				}
				if done != nil {
					done(seed)
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	return found, played, failed
}
