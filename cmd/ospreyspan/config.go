package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"ospreyspan/internal/routes"
	"ospreyspan/internal/settings"
)

// config is the configuration that the platform gives the program: the JSON file that EDGE_CONFIG
// names, with the overrides from the environment.
type config struct {
	Name       string          `json:"name"`
	Listen     netip.AddrPort  `json:"listen"`
	Discovery  netip.AddrPort  `json:"discovery"`
	RandomSeed seed            `json:"seed"`
	Limits     limits          `json:"limits"`
	Known      routes.List     `json:"known"`
	Settings   json.RawMessage `json:"settings"`
	settings   *settings.Settings
}

// limits are the resources that the process may use.
type limits struct {
	MemoryMB int64 `json:"memory_mb"` // 0: not limited
	Sockets  int   `json:"sockets"`   // most open descriptors of any kind; 0: no limit is known
}

// memoryBytes returns the memory limit in bytes; 0: not limited.
func (l *limits) memoryBytes() int64 { return l.MemoryMB << 20 }

// seed is a 64-bit random seed, written in hexadecimal in the configuration.
type seed uint64

func (s *seed) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", text)
	}
	*s = seed(n)
	return nil
}

// loadConfig reads the configuration file that the environment names. Addresses and the name that
// are set in the environment take precedence over the file.
func loadConfig(env func(string) string) (*config, error) {
	return readConfig(env)
}

// reloadConfig reads the configuration file again while the program serves. It ignores
// EDGE_DISCOVERY, which holds the address of discovery at the start: the file has been replaced
// since, so its address takes precedence.
func reloadConfig(env func(string) string) (*config, error) {
	return readConfig(func(name string) string {
		if name == "EDGE_DISCOVERY" {
			return ""
		}
		return env(name)
	})
}

// readConfig reads and parses the file that EDGE_CONFIG names.
func readConfig(env func(string) string) (*config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := parseConfig(text, env)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// parseConfig decodes a configuration, applies the overrides from the environment and validates the
// result.
func parseConfig(text []byte, env func(string) string) (*config, error) {
	var cfg config
	if err := json.Unmarshal(text, &cfg); err != nil {
		return nil, locateFieldError(text, err)
	}
	if name := env("EDGE_NAME"); name != "" {
		cfg.Name = name
	}
	for _, address := range []struct {
		name, env string
		dest      *netip.AddrPort
	}{{"listen", "EDGE_LISTEN", &cfg.Listen}, {"discovery", "EDGE_DISCOVERY", &cfg.Discovery}} {
		if v := env(address.env); v != "" {
			addr, err := netip.ParseAddrPort(v)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", address.env, err)
			}
			*address.dest = addr
		}
		if !address.dest.IsValid() {
			return nil, fmt.Errorf("%s: missing", address.name)
		}
	}
	if cfg.Limits.Sockets < 0 || cfg.Limits.MemoryMB < 0 {
		return nil, errors.New("limits: memory_mb and sockets must not be below 0")
	}
	if err := cfg.Known.Check(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if len(cfg.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	var err error
	if cfg.settings, err = settings.Decode(cfg.Settings); err == nil {
		err = cfg.settings.Check()
	}
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &cfg, nil
}

// locateFieldError adds the name of the invalid field to a decoding error, if it can be found:
// errors from a type's own decoding method do not name the field.
func locateFieldError(text []byte, err error) error {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return err
	}
	for _, f := range []struct {
		name string
		dest any
	}{
		{"name", new(string)}, {"listen", new(netip.AddrPort)}, {"discovery", new(netip.AddrPort)}, {"seed", new(seed)},
		{"limits", new(limits)}, {"known", new(routes.List)},
	} {
		if raw, ok := fields[f.name]; ok {
			if e := json.Unmarshal(raw, f.dest); e != nil {
				return fmt.Errorf("%s: %w", f.name, e)
			}
		}
	}
	return err
}
