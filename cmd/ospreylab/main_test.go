package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const quickDay = "[run]\nlength = 4s\nwarm_up = 2s\nabout = quick\n"

// runCommand runs a command line and returns its exit code and what it printed.
func runCommand(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRunIsReproducible(t *testing.T) {
	path := writeFile(t, "quick.ini", quickDay)
	var folders [2]string
	for i := range folders {
		folders[i] = filepath.Join(t.TempDir(), "out")
		code, out, errs := runCommand(t, "run", path, "--seed", "3", "--out", folders[i])
		if code != 0 || !strings.Contains(out, "# quick, seed 3") || !strings.Contains(errs, "played") {
			t.Fatalf("exit code %d\n%s\n%s", code, out, errs)
		}
	}
	names := []string{"results.json", "table.md", "table.csv", "service.svg", "load.svg", "connections.svg", "moves.svg"}
	for _, name := range names {
		a, err := os.ReadFile(filepath.Join(folders[0], name))
		b, err2 := os.ReadFile(filepath.Join(folders[1], name))
		if err != nil || err2 != nil || len(a) == 0 || !bytes.Equal(a, b) {
			t.Errorf("%s: %v, %v; %d and %d bytes", name, err, err2, len(a), len(b))
		}
	}
}

// An invalid command line or scenario gives exit code 2 and a message, and nothing is written.
func TestUsageErrors(t *testing.T) {
	validScenario, invalidScenario := writeFile(t, "quick.ini", quickDay), writeFile(t, "bad.ini", "[run]\nlength = 55\nlenght = 1s\n")
	missingDir := filepath.Join(t.TempDir(), "none")
	for _, tt := range []struct {
		args []string
		want string
	}{
		{[]string{"capacity", "--seeds", "0", "--out", missingDir}, "--seeds 0: not from 1 to 20"},
		{[]string{"capacity", "--samples", validScenario, "--out", missingDir}, "--samples and --command go together"},
		{[]string{"capacity", "--samples", validScenario, "--command", "c", "--out", missingDir}, "quick.ini: invalid character"},
		{[]string{"capacity", "--slopes", validScenario, "--out", missingDir}, "quick.ini: invalid character"},
		{[]string{"run", invalidScenario, "--out", missingDir}, "bad.ini:2: [run] length: 55: a time needs a unit"},
		{[]string{"run", invalidScenario}, "bad.ini:3: [run] lenght: unknown key; perhaps length"},
		{[]string{"run", validScenario, "--set", "run.length=x", "--out", missingDir}, `"x" is not a time`},
		{[]string{"run", validScenario, "--set", "nonsense"}, `"nonsense" is not section.key=value`},
		{[]string{"run", filepath.Join(missingDir, "x.ini")}, "no such file"},
		{[]string{"run"}, "takes 1 to 1 files, got 0"},
		{[]string{"run", validScenario, "--sede", "1"}, "unknown flag: --sede"},
		{[]string{"compare", validScenario}, "two scenarios, or one and --set, or one and --build"},
		{[]string{"compare", validScenario, validScenario, "--seeds", "1"}, "not from 2 to 10000"},
		{[]string{"check", validScenario, invalidScenario}, "bad.ini:2:"},
		{[]string{"fuzz", "--seeds", "0"}, "not above 0"},
		{[]string{"fuzz", "--days", "calm"}, "--days calm: none of any, cut-output, standing and throng"},
		{[]string{"list", "--dir", missingDir}, "no such file"},
		{[]string{"check", validScenario, "--log-level", "loud"}, "none of debug, info, warn, error"},
		{[]string{"run", validScenario, "--real", "--program", missingDir}, "no such file"},
		{[]string{"run", writeFile(t, "cut.ini", quickDay+"[trouble x]\nkind = partition\nfor = 1s\nsites = chur\n"), "--real", "--program", validScenario},
			"partition can't be played on real sockets"},
	} {
		code, _, errs := runCommand(t, tt.args...)
		if code != exitUsage || !strings.Contains(errs, tt.want) {
			t.Errorf("%v: exit code %d\n%s\nwant %s", tt.args, code, errs, tt.want)
		}
	}
	if _, err := os.Stat(missingDir); err == nil {
		t.Error("something was written")
	}
}

// A broken rule gives exit code 3, and the message has the seed, the time and the last events. The
// rule must break here: the proxies are told that a relay starts at full capacity (cold_from = 1),
// but it starts at a hundredth.
func TestBrokenRule(t *testing.T) {
	path := writeFile(t, "broken.ini", quickDay+"[rules]\nfall_multiple = 1\nfall_within = 100ms\ncold_from = 1\n"+
		"[relays]\ncount = 1\ndrain_notice = 0s\nreturn_notice = 0s\n[traffic]\nrate = 60\n[kind a]\ncores = 1\ncold_from = 0.01\ncold = 600s\n"+
		"[trouble x]\nkind = drain\nat = 0s\nfor = 100ms\naway = 0s\n[class readings]\nshare = 1..1\nwork = 0s\n")
	code, _, errs := runCommand(t, "run", path, "--seed", "5", "--set", "run.length=20s")
	if code != exitBroken || !strings.Contains(errs, "broken: seed 5, ") || !strings.Contains(errs, "cold-relay-pushed-over") {
		t.Errorf("exit code %d\n%.400s", code, errs)
	}
}

func TestCompareAndList(t *testing.T) {
	path := writeFile(t, "quick.ini", quickDay)
	out := filepath.Join(t.TempDir(), "cmp")
	code, text, errs := runCommand(t, "compare", path, "--set", "proxies.answer_margin=50ms", "--seeds", "2", "--out", out)
	if code != 0 || !strings.Contains(text, "quick against quick with proxies.answer_margin=50ms") {
		t.Errorf("exit code %d\n%s\n%s", code, text, errs)
	}
	for _, name := range []string{"results.json", "table.md", "table.csv", "forest.svg"} {
		if s, err := os.Stat(filepath.Join(out, name)); err != nil || s.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	code, text, _ = runCommand(t, "list", "--dir", "../../lab")
	if code != 0 || !strings.Contains(text, "monday.ini") || !strings.Contains(text, "startup wave") {
		t.Errorf("exit code %d\n%s", code, text)
	}
}
