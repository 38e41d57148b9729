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

// config is what the program is told at its start.
type config struct {
	Name      string          `json:"name"`
	Listen    netip.AddrPort  `json:"listen"`
	Discovery netip.AddrPort  `json:"discovery"`
	Seed      seed            `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     routes.List     `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	settings  *settings.Settings
}

type limits struct {
	MemoryMB int64 `json:"memory_mb"`
	Sockets  int   `json:"sockets"`
}

// seed is written in hexadecimal.
type seed uint64

func (s *seed) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", text)
	}
	*s = seed(n)
	return nil
}

// loadConfig reads the configuration that the environment names. What the environment itself says of the
// addresses goes first.
func loadConfig(env func(string) string) (*config, error) {
	return readConfig(env)
}

// reloadConfig reads the file again for a program that serves. EDGE_DISCOVERY tells where discovery was at the
// start: the file is what has been replaced, so its address wins now.
func reloadConfig(env func(string) string) (*config, error) {
	return readConfig(func(name string) string {
		if name == "EDGE_DISCOVERY" {
			return ""
		}
		return env(name)
	})
}

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
		return nil, errors.New("limits: a figure below 0")
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

// locateFieldError finds the locateFieldError at fault: a type's own decoding fails without naming it.
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
