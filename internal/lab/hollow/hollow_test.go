package hollow

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"ospreyspan/internal/rig"
)

// compared is the scenario that hollow and real processes play: 24 processes with three keepers on one machine, 40 servers, two
// changes a second.
const (
	comparedProcesses = 24
	comparedServers   = 40
	comparedLease     = 2 * time.Second
	comparedSettle    = 12 * time.Second
	comparedWindow    = 8 * time.Second
	comparedChange    = 500 * time.Millisecond
	// comparedPart is how far the means of hollow and real processes may lie apart.
	comparedPart = 0.10
)

// Hollow processes send as many datagrams and bytes as real ones in the same scenario.
func TestHollowMatchesReal(t *testing.T) {
	if raceOn {
		t.Skip("it compares figures, and runs without the race detector")
	}
	t.Parallel() // it waits most of the time, and the others are over before its window begins
	program := filepath.Join(t.TempDir(), "ospreyspan")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/ospreyspan").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	r, err := rig.New(rig.Options{
		Program: program, Dir: t.TempDir(), Processes: comparedProcesses, Keepers: 3, Seed: 1, Lease: comparedLease, Verdicts: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	real, err := r.MeasureTraffic(comparedSettle, comparedWindow, comparedChange)
	if err != nil {
		t.Fatal(err)
	}
	datagrams, bytes := real.PerProcessRate()
	hollow := playCompared(t, 1)
	t.Logf("a process sends in a second: real %.1f datagrams of %.0f bytes in all, hollow %.1f of %.0f", datagrams, bytes, hollow.Messages, hollow.Bytes)
	for _, c := range []struct {
		what         string
		hollow, real float64
	}{{"datagrams", hollow.Messages, datagrams}, {"bytes", hollow.Bytes, bytes}} {
		if apart := c.hollow/c.real - 1; apart < -comparedPart || apart > comparedPart {
			t.Errorf("%s: hollow processes send %.1f a second, real ones %.1f: %+.0f %%", c.what, c.hollow, c.real, 100*apart)
		}
	}
}

func playCompared(t *testing.T, seed uint64) Rates {
	t.Helper()
	k, err := newCluster(Config{
		Seed: seed, Processes: comparedProcesses, Keepers: 3, Servers: comparedServers, Lease: comparedLease, Local: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	k.changeEvery(comparedChange)
	if err := k.world.Run(comparedSettle); err != nil {
		t.Fatal(err)
	}
	w := k.open()
	if err := k.world.Run(comparedWindow); err != nil {
		t.Fatal(err)
	}
	return mean(w.rates())
}
