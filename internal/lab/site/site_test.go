package site

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const base = `name = "base"
[net]
zones = ["a", "b"]
cross_ms = [5.6, 10]
[allow]
cancel = true
[[tier]]
name = "fleet"
[tier.conn]
idle_s = 60
[[tier.kind]]
name = "big"
cores = 3
[[class]]
name = "readings"
share = [0.5, 1]
[[class]]
name = "status"
share = 1
[[fam.class]]
load = 1
[[fam.class]]
load = [0.2, 0.5]
`

func TestApply(t *testing.T) {
	made, err := Apply("d.toml", []byte(`name = "other"
net.zones = ["x"]
allow.cancel = false
[tier.fleet]
name = "pool"
[tier.fleet.conn]
idle_s = 8
[tier.fleet.kind.big]
name = "huge"
cores = [3, 4]
[class.status]
name = "alarm"
[fam.class.2]
load = 1.5
`), "base.toml", []byte(base))
	if err != nil {
		t.Fatal(err)
	}
	want := strings.NewReplacer(`"base"`, `"other"`, `["a", "b"]`, `["x"]`, "true", "false", `"fleet"`, `"pool"`, "60", "8",
		`"big"`, `"huge"`, "cores = 3", "cores = [3, 4]", `"status"`, `"alarm"`, "[0.2, 0.5]", "1.5").Replace(base)
	var got, expected map[string]any
	if err := errors.Join(toml.Unmarshal(made, &got), toml.Unmarshal([]byte(want), &expected)); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, expected) {
		t.Errorf("got\n%s", made)
	}
}

// All errors of a difference file are reported at once, each with file, line and key.
func TestMistakes(t *testing.T) {
	_, err := Apply("d.toml", []byte(`nmae = "x"
[net]
# a comment
zones = 3
[class.telemetry]
share = 1
[class]
status = 1
[allow.cancel]
deep = true
[tier.fleet]
kind = []
`), "base.toml", []byte(base))
	want := `d.toml:1: nmae: the site file has no such key
d.toml:4: net.zones: the site file has [a b] there
d.toml:6: class.telemetry.share: no element "telemetry" in the site file
d.toml:8: class.status: a list of tables: name the element, and a key of it
d.toml:10: allow.cancel.deep: the site file has no table "cancel"
d.toml:12: tier.fleet.kind: the site file has [map[cores:3 name:big]] there`
	if err == nil || err.Error() != want {
		t.Errorf("got\n%v", err)
	}
	if _, err := Apply("d.toml", []byte("a = 1\nb = = 2\n"), "base.toml", []byte(base)); err == nil || !strings.HasPrefix(err.Error(), "d.toml:2: ") {
		t.Errorf("got %v", err)
	}
}

// Without a site file or its companion files, Make reports what is missing and writes nothing.
func TestMakeReportsMissingFiles(t *testing.T) {
	dir := t.TempDir()
	put := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	difference, out := put("mine.toml", "name = \"mine\"\n"), filepath.Join(dir, "out")
	if _, err := Make(difference, filepath.Join(dir, "base.toml"), out); err == nil || !strings.Contains(err.Error(), "the site file is missing") {
		t.Errorf("got %v", err)
	}
	of := put("base.toml", base)
	put("real.json", "{}")
	_, err := Make(difference, of, out)
	if err == nil || !strings.Contains(err.Error(), "wire.json") || !strings.Contains(err.Error(), "unlock.txt") {
		t.Errorf("got %v", err)
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("a folder was written although input files are missing")
	}
	put("wire.json", "{}")
	put("unlock.txt", "")
	path, err := Make(difference, of, out)
	if err != nil || path != filepath.Join(out, "mine.toml") {
		t.Fatal(path, err)
	}
	if all, _ := filepath.Glob(filepath.Join(out, "*")); len(all) != 4 {
		t.Errorf("wrote %v, want 4 files", all)
	}
}

// The difference files in deploy/sites apply to a site file that has the keys that they use, and
// each sets a name of its own.
func TestDifferenceFilesInDeploy(t *testing.T) {
	of := filepath.Join("testdata", "site.toml")
	test, err := os.ReadFile(of)
	if err != nil {
		t.Fatal(err)
	}
	all, err := filepath.Glob("../../../deploy/sites/*.toml")
	if err != nil || len(all) < 2 {
		t.Fatal(all, err)
	}
	names := map[any]bool{"test": true}
	for _, path := range all {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		made, err := Apply(path, text, of, test)
		if err != nil {
			t.Fatal(err)
		}
		var tree map[string]any
		if err := toml.Unmarshal(made, &tree); err != nil || names[tree["name"]] {
			t.Errorf("%s: name %v, %v", path, tree["name"], err)
		}
		names[tree["name"]] = true
	}
}
