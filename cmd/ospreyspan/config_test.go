package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// exampleConfig returns the text of the example configuration.
func exampleConfig(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "example", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// emptyEnv is an environment without any variables.
func emptyEnv(string) string { return "" }

func TestConfig(t *testing.T) {
	c, err := parseConfig([]byte(exampleConfig(t)), func(name string) string {
		return map[string]string{"EDGE_LISTEN": "127.0.0.9:1", "EDGE_NAME": "n7"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n7" || c.Listen.String() != "127.0.0.9:1" || c.Discovery.String() != "127.0.0.1:18500" ||
		c.RandomSeed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 1024 || len(c.settings.Classes) != 2 ||
		!c.settings.Config.Subscribe {
		t.Errorf("parsed as %+v", c)
	}
}

// TestBadConfig checks that an invalid configuration is rejected with an error that names the
// field.
func TestBadConfig(t *testing.T) {
	for _, tt := range [][3]string{
		{`"listen": "127.0.0.1:18440"`, `"listen": "nowhere"`, "listen"},
		{`"listen": "127.0.0.1:18440",`, ``, "listen: missing"},
		{`"discovery": "127.0.0.1:18500"`, `"discovery": 5`, "discovery"},
		{`"8c1f30d27a5be964"`, `"green"`, "seed"},
		{`"sockets": 1024`, `"sockets": "many"`, "sockets"},
		{`"sockets": 1024`, `"sockets": -1`, "limits"},
		{`"hosts": []`, `"hosts": [{"dial": "127.0.0.1:1"}]`, "known: hosts[0].host"},
		{`"hosts": []`, `"hosts": [{"host": "a", "dial": "x"}]`, "known"},
		{`"Balancers": 1`, `"Balancers": "one"`, "Balancers"},
		{`"Balancers": 1`, `"Balancers": 1, "Invariants": {"ColdFrom": [1]}`, "ColdFrom"},
		{`"DialTimeoutUs": 200000`, `"DialTimeoutUs": 0`, "DialTimeoutUs"},
		{`"HardLimitUs": 1800000`, `"HardLimitUs": 0`, "HardLimitUs"},
		{`"settings": {`, `"other": {`, "settings: missing"},
		{`{`, ``, ""},
	} {
		text := strings.Replace(exampleConfig(t), tt[0], tt[1], 1)
		if text == exampleConfig(t) {
			t.Fatalf("%q is not in the example configuration", tt[0])
		}
		if _, err := parseConfig([]byte(text), emptyEnv); err == nil || !strings.Contains(err.Error(), tt[2]) {
			t.Errorf("%q: error %v", tt[1], err)
		}
	}
	for path, want := range map[string]string{"": "EDGE_CONFIG: not set", "/nonexistent/config": "EDGE_CONFIG: "} {
		if _, err := loadConfig(func(string) string { return path }); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v", path, err)
		}
	}
}

// TestReloadConfig checks that EDGE_DISCOVERY takes precedence over the file at the start but not
// on a reload, and that reloading a truncated or invalid file is an error.
func TestReloadConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{
			"EDGE_CONFIG": path, "EDGE_DISCOVERY": "127.0.0.7:7", "EDGE_LISTEN": "127.0.0.9:1", "EDGE_NAME": "n7",
		}[name]
	}
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(exampleConfig(t))
	c, err := loadConfig(env)
	if err != nil || c.Discovery.String() != "127.0.0.7:7" {
		t.Fatalf("at the start: %+v, %v", c, err)
	}
	c, err = reloadConfig(env)
	if err != nil || c.Discovery.String() != "127.0.0.1:18500" || c.Listen.String() != "127.0.0.9:1" || c.Name != "n7" {
		t.Fatalf("on a reload: %+v, %v", c, err)
	}
	for _, bad := range []string{"", exampleConfig(t)[:200], strings.Replace(exampleConfig(t), "127.0.0.1:18500", "nowhere", 1)} {
		write(bad)
		if _, err := reloadConfig(env); err == nil {
			t.Errorf("invalid configuration accepted: %q", bad)
		}
	}
}
