package lab

import (
	"bytes"
	"cmp"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// plantedFault is a mistake that a maintainer could make: a change of the source of the proxy.
// ospreylab is built with the changed file as an overlay; no other build contains it.
type plantedFault struct {
	name, file string
	from, to   string // text that occurs once in the file, and its replacement
	// function is used instead of from: signature of a function in the package whose body
	// to replaces.
	function string
	days     string   // generator of the scenarios, as in fuzz --days; empty: any
	set      []string // section.key=value pairs, as in fuzz --set
	rules    []string // one of them must be reported as broken
	first    int      // first seed, a little below the one that finds the fault; 0: 1
}

var plantedFaults = []plantedFault{
	{
		name: "a hop that timed out stays open beside the next one", file: "internal/proxy/hop.go",
		from:  "			h.endWith(balance.TimedOut, noReport)\n",
		to:    "			h.session.hop = nil\n			h.session.exchange.Ended(balance.TimedOut, noReport)\n",
		rules: []string{"two-attempts", "given-back"},
	},
	{
		name: "a draining target passes for one that serves", file: "internal/proxy/translate.go",
		from:  "routes.Draining: balance.Draining",
		to:    "routes.Draining: balance.Ready",
		rules: []string{"drain-grace"}, first: 10,
	},
	{
		name: "a planned stop closes connections without MOVE", file: "internal/proxy/drain.go",
		from:  "		s.Move()\n",
		to:    "		s.endHop()\n		s.close()\n",
		rules: []string{"standing-lost"},
	},
	{
		name: "a refused client hears nothing", file: "internal/proxy/session.go",
		from:  "	s.endHop()\n	s.closeAfter(busy(after))\n",
		to:    "	s.endHop()\n	_ = after\n",
		rules: []string{"answer-in-time", "given-back", "one-final-answer", "counts"},
	},
	{
		name: "a client's id is not given back", file: "internal/proxy/engine.go",
		from:  "	delete(e.clientIDs, x.clientID)\n",
		to:    "",
		rules: []string{"given-back"},
	},
	{
		name: "the end of a client that waits is passed over", file: "internal/proxy/session.go",
		from:  "		s.markLeft()\n		if s.exchange.mayRefuse(0) {\n",
		to:    "		return\n		if s.exchange.mayRefuse(0) {\n",
		rules: []string{"sent-after-leaving"},
	},
	{
		name: "an error passes for a refusal", file: "internal/proxy/hop.go",
		from:  "		h.endWith(balance.Error, h.parseReport(rest))\n	}\n}\n",
		to:    "		h.endWith(balance.Rejected, h.parseReport(rest))\n	}\n}\n",
		rules: []string{"effect-twice", "repeat-invited"},
	},
	{
		// With these settings, windows end while connections are being established. Otherwise
		// hardly a request is sent twice, because lists are current.
		name: "the window is looked at when a hop begins, and not when it is written", file: "internal/proxy/effect.go",
		from: "	if !x.mayHop(now, x.target) {\n		return false\n	}\n	if x.adoption",
		to:   "	if x.adoption",
		set: []string{
			"allow.dial=900ms",
			"class readings.effect=guarded", "class readings.scope=all", "class readings.window=400ms", "class readings.share=0.6",
			"class status.effect=guarded", "class status.scope=all", "class status.window=400ms", "class status.share=0.4",
			"trouble late-setups.kind=late-connects", "trouble late-setups.at=1s", "trouble late-setups.for=40s",
			"trouble late-setups.size=0.5", "trouble late-setups.away=700ms",
		},
		rules: []string{"effect-twice"},
	},
	{
		name: "who waits at a planned stop is refused, whatever may have run", file: "internal/proxy/effect.go",
		from:  "	if refuse && x.mayRefuse(after) {",
		to:    "	if refuse {",
		rules: []string{"repeat-invited"}, first: 5,
	},
	{
		name: "nobody asks for lists that are pushed", file: "internal/proxy/engine.go",
		from:  "		e.watch.Start() // the module",
		to:    "		// the module",
		rules: []string{"drain-grace"}, first: 70,
	},
	{
		name: "a process asks four times as seldom after a call that failed", file: "internal/routes/watch.go",
		function: "func (w *Watch) pauseAfter(err error) time.Duration", to: "	return w.pacer.jitter(4 * w.pacer.initialMaxWait)\n",
		days: "throng", set: []string{"rules.cold_budget=false"}, rules: []string{"ask-again", "stale-list"},
	},
	{
		name: "a load line passes for an answer", file: "internal/proxy/standing.go",
		function: "func (h *hop) isSilent(now time.Time) bool",
		to:       "	return h.lastHeard.Before(h.pendingSince) && now.Sub(h.pendingSince) >= maxSilence\n",
		days:     "cut-output", rules: []string{"silent-kept"},
	},
	{
		name: "a standing connection is given up soon where the list lacks its target", file: "internal/proxy/adoption.go",
		from:  "	o.Wait = min(o.Wait, maxAdoptWait)\n",
		to:    "	if o.Wait = min(o.Wait, maxAdoptWait); e.table.Find(id) == nil {\n		o.Wait = min(o.Wait, 2*time.Second)\n	}\n",
		days:  "standing",
		rules: []string{"standing-not-up"},
	},
	{
		name: "a cold target passes for a warm one", file: "balance/slowstart.go",
		function: "func (b *Balancer) warmUpFraction(now time.Time, k *backend) float64", to: "	return 1\n",
		days: "throng", set: []string{"discovery.call=20ms", "rules.news_within=0s", "rules.ask_again=0s"},
		rules: []string{"cold-budget", "cold-relay-pushed-over"},
	},
}

// Fuzzing finds each planted fault within 200 seeds and reduces the scenario that finds it.
func TestPlantedFaultsAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("builds ospreylab for each fault")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range plantedFaults {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			path := p.path(t, root)
			source, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			faulty := p.plant(t, string(source))
			changed := filepath.Join(dir, "changed.go")
			overlay := filepath.Join(dir, "overlay.json")
			program := filepath.Join(dir, "ospreylab")
			text, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
			if err != nil {
				t.Fatal(err)
			}
			for name, data := range map[string][]byte{
				changed: []byte(faulty), overlay: text,
			} {
				if err := os.WriteFile(name, data, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			build := exec.Command("go", "build", "-overlay", overlay, "-o", program, "./cmd/ospreylab")
			build.Dir = root
			if out, err := build.CombinedOutput(); err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			var out bytes.Buffer
			args := []string{
				"fuzz", "--days", cmp.Or(p.days, "any"), "--first", strconv.Itoa(max(p.first, 1)), "--seeds", strconv.Itoa(201 - max(p.first, 1)),
				"--minutes", "3", "--shrink", "3s", "--out", dir,
			}
			for _, pair := range p.set {
				args = append(args, "--set", pair)
			}
			fuzz := exec.Command(program, args...)
			fuzz.Stdout, fuzz.Stderr = &out, &out
			err = fuzz.Run()
			if code := fuzz.ProcessState.ExitCode(); code != 3 {
				t.Fatalf("exit code %d, %v\n%s", code, err, out.String())
			}
			found := false
			for _, rule := range p.rules {
				found = found || strings.Contains(out.String(), " breaks "+rule+",")
			}
			if !found {
				t.Errorf("the broken rule is none of %v:\n%s", p.rules, out.String())
			}
			small, _ := filepath.Glob(filepath.Join(dir, "fuzz-*-small.ini"))
			if len(small) != 1 {
				t.Errorf("%d reduced scenarios were written, want 1", len(small))
			}
			first, _, _ := strings.Cut(out.String(), "\n")
			t.Log(first)
		})
	}
}

// path returns the file to change. A function is searched in the whole package, because it may have
// moved to another file.
func (p *plantedFault) path(t *testing.T, root string) string {
	t.Helper()
	path := filepath.Join(root, p.file)
	if p.function == "" {
		return path
	}
	files, err := filepath.Glob(filepath.Join(filepath.Dir(path), "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		source, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(source), "\n"+p.function+" {\n") {
			return f
		}
	}
	t.Fatalf("no function %s in the package of %s: update the planted fault", p.function, p.file)
	return ""
}

// plant returns the source with the fault in it.
func (p *plantedFault) plant(t *testing.T, source string) string {
	t.Helper()
	from, to := p.from, p.to
	if p.function != "" {
		_, body, _ := strings.Cut(source, p.function+" {\n")
		body, _, _ = strings.Cut(body, "\n}\n")
		from, to = p.function+" {\n"+body+"\n}\n", p.function+" {\n"+p.to+"}\n"
	}
	if n := strings.Count(source, from); n != 1 {
		t.Fatalf("%s contains the text to replace %d times, want 1: update the planted fault", p.file, n)
	}
	return strings.Replace(source, from, to, 1)
}
