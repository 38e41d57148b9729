package operator

import (
	"os"
	"strings"
	"testing"

	"ospreyspan/internal/duty"
)

const validFile = `
[fleet]
cluster = aebi
listen = 127.0.0.1:7946
seeds = 127.0.0.1:7946, 127.0.0.2:7946
[keepers]
members = 1@127.0.0.1:7946, 2@127.0.0.2:7946, 3@127.0.0.3:7946
dir = /tmp/x
[duties]
take = discovery
`

func TestParse(t *testing.T) {
	c, err := Parse("f.ini", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if !c.Fleet.Enabled || c.KeeperID != 1 || len(c.KeeperAddresses) != 3 || len(c.Seeds) != 2 || c.Duties.Take[0] != duty.Discovery {
		t.Errorf("got %+v", c)
	}
	if c, err = Parse("f.ini", nil); err != nil || c.Fleet.Enabled {
		t.Errorf("empty file: got %+v and error %v, want a disabled fleet and no error", c, err)
	}
}

// The example configuration in deploy/ must be valid.
func TestExampleFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/ospreyspan.ini")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := Parse("ospreyspan.ini", text); err != nil || !c.Fleet.Enabled {
		t.Errorf("got %+v and error %v, want an enabled fleet and no error", c, err)
	}
}

// Each problem names its file, line and key, and all problems are reported at once.
func TestProblems(t *testing.T) {
	for _, tt := range [][3]string{
		{"cluster = aebi", "", "f.ini:2: [fleet] cluster: missing"},
		{"listen = 127.0.0.1:7946", "listen = here", `f.ini:4: [fleet] listen: "here" is not an address`},
		{"127.0.0.1:7946, 127.0.0.2:7946\n", "127.0.0.1\n", `f.ini:5: [fleet] seeds: "127.0.0.1" is not an address`},
		{", 3@127.0.0.3:7946", "", "f.ini:7: [keepers] members: got 2 members, want 3"},
		{"2@127", "1@127", "[keepers] members: \"1@127.0.0.2:7946\": another member has the same ID or address"},
		{"dir = /tmp/x", "", "[keepers] dir: missing: this process is keeper 1"},
		{"dir = /tmp/x", "dir = /tmp/x\nlease = 2", "f.ini:9: [keepers] lease: 2: a time needs a unit"},
		{"dir = /tmp/x", "dir = /tmp/x\nmargin = 2s", "f.ini:9: [keepers] margin:"},
		{"take = discovery", "take = everything", `f.ini:10: [duties] take: "everything" is none of`},
		{"take = discovery", "take = moves", "f.ini:10: [duties] take: moves need a rate"},
		{"take = discovery", "take = discovery\n[verdicts]\nfresh = 4", "f.ini:12: [verdicts] fresh: 4: a time needs a unit"},
		{"take = discovery", "take = discovery\n[verdicts]\nforget = 3s", "f.ini:12: [verdicts] forget: 3s is not above fresh, 6s"},
		{"take = discovery", "take = discovery\n[verdicts]\nwitnesses = 1", "f.ini:12: [verdicts] witnesses: "},
		{"take = discovery", "take = discovery\n[limit a]\nkind = soft", "[limit a] most: missing"},
		{"take = discovery", "take = discovery\n[limit a]\nkind = strict\nmost = 4\nslices = 8", "f.ini:13: [limit a] most: most: 4 is below the number of slices, 8"},
		{"take = discovery", "take = discovery\n[limit a]\nmost = 4\nwithin = 5", "f.ini:13: [limit a] within: 5: a time needs a unit"},
		{"[fleet]", "[fleed]", "f.ini:2: [fleed] unknown section"},
		{"seeds", "sseds", "unknown key; perhaps seeds"},
		{"members = 1@127.0.0.1:7946, 2@127.0.0.2:7946, 3@127.0.0.3:7946", "", "duties need keepers"},
	} {
		text := strings.Replace(validFile, tt[0], tt[1], 1)
		if text == validFile {
			t.Fatalf("the test file does not contain %q", tt[0])
		}
		if _, err := Parse("f.ini", []byte(text)); err == nil || !strings.Contains(err.Error(), tt[2]) {
			t.Errorf("%q: got error %v, want one that contains %q", tt[1], err, tt[2])
		}
	}
	text := "[fleet]\ncluster = c\nlisten = 127.0.0.1:7946\n[limit a]\nkind = strict\nmost = 40\n"
	if _, err := Parse("f.ini", []byte(text)); err == nil || !strings.Contains(err.Error(), "f.ini:5: [limit a] kind: a strict limit needs keepers") {
		t.Errorf("strict limit without keepers: got error %v", err)
	}
	_, err := Parse("f.ini", []byte("[fleet]\nlisten = x\n[duties]\ntake = y\n"))
	if err == nil || strings.Count(err.Error(), "\n") < 3 {
		t.Errorf("got error %v, want at least 4 problems at once", err)
	}
}
