package rig

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// buildProgram builds the program under test.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ospreyspan")
	if out, err := exec.Command("go", "build", "-o", path, "../../cmd/ospreyspan").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return path
}

// Runs twelve real processes with five keepers, stops and kills owners and drops their inbound or
// outbound traffic. The links lose, delay and duplicate datagrams, and hold announcements of a
// former owner until a later one has made its own. Whatever the machine's speed, no receiver may
// accept a stale announcement.
func TestRealProcessesAcceptNoStaleAnnouncement(t *testing.T) {
	r, err := New(Options{Program: buildProgram(t), Dir: t.TempDir(), Processes: 12, Keepers: 5, Seed: 1, Lease: 800 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	err = r.InjectFaults(15 * time.Second)
	t.Log(r.Counts)
	if err != nil {
		t.Fatal(err)
	}
	if r.Counts.StaleSent == 0 {
		t.Error("no stale announcement was sent, so the run proves nothing")
	}
}

// A keeper that has lost its log serves as a proxy but not as a keeper. Initializing a keeper whose
// log exists fails.
func TestKeeperWithoutLog(t *testing.T) {
	bin, dir := buildProgram(t), t.TempDir()
	r, err := New(Options{Program: bin, Dir: dir, Processes: 3, Keepers: 3, Seed: 1, Lease: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.lossless = true
	if err := r.StartAll(); err != nil {
		t.Fatal(err)
	}
	if !r.waitUntil(time.Minute, r.agreed) {
		t.Fatal("three processes do not agree on an owner")
	}
	if out, err := r.procs[0].command("keepers", "init").CombinedOutput(); err == nil || !strings.Contains(string(out), "is there already") {
		t.Errorf("keepers init with an existing log: %v: %s", err, out)
	}
	p := r.procs[1]
	p.kill()
	if err := os.RemoveAll(filepath.Join(p.dir, "keeper-2")); err != nil {
		t.Fatal(err)
	}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	notKeeper := func() bool {
		return strings.Contains(strings.Join(p.logTail, "\n"), "this process is no keeper until")
	}
	if !r.waitUntil(time.Minute, notKeeper) || !r.waitUntil(time.Minute, r.agreed) {
		t.Errorf("keeper without a log: unexpected state; its output: %s", strings.Join(p.logTail, "\n"))
	}
}

// A keeper whose disk was lost is replaced by the documented procedure: its number is removed, all
// files get a new one, the processes are restarted one after the other, and the new number is
// added. After that another keeper may be lost.
func TestKeeperIsReplaced(t *testing.T) {
	r, err := New(Options{Program: buildProgram(t), Dir: t.TempDir(), Processes: 4, Keepers: 3, Seed: 1, Lease: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.lossless = true
	requireAgreement := func(what string) {
		t.Helper()
		if !r.waitUntil(time.Minute, r.agreed) {
			t.Fatalf("%s: processes do not agree on an owner: %v", what, r.failed)
		}
	}
	// changeKeepers asks the keepers in turn until the leader accepts the changeKeepers.
	changeKeepers := func(what string, id string) {
		t.Helper()
		output := ""
		accepted := r.waitUntil(time.Minute, func() bool {
			for _, p := range r.procs[:2] {
				out, err := p.command("keepers", what, id).CombinedOutput()
				if output = string(out); err == nil && strings.Contains(output, "taken") {
					return true
				}
			}
			return false
		})
		if !accepted {
			t.Fatalf("keepers %s %s: %s", what, id, output)
		}
	}
	voters := func(p *proc, want string) bool {
		out, _ := p.command("duties").CombinedOutput()
		return strings.Contains(string(out), "voters "+want)
	}
	if err := r.StartAll(); err != nil {
		t.Fatal(err)
	}
	requireAgreement("at the start")
	lost := r.procs[2]
	lost.kill()
	if err := os.RemoveAll(filepath.Join(lost.dir, "keeper-3")); err != nil {
		t.Fatal(err)
	}
	changeKeepers("remove", "3")
	r.replacedKeepers = map[int]int{2: 4}
	for _, p := range r.procs {
		if err := p.writeConfig(); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range []*proc{r.procs[0], r.procs[1], r.procs[3]} {
		p.kill()
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		r.waitUntil(time.Second, func() bool { return false })
	}
	if out, err := lost.command("keepers", "init").CombinedOutput(); err != nil {
		t.Fatalf("keepers init: %v: %s", err, out)
	}
	if err := lost.start(); err != nil {
		t.Fatal(err)
	}
	changeKeepers("add", "4")
	if !r.waitUntil(time.Minute, func() bool { return voters(lost, "[1 2 4]") }) {
		t.Fatal("the new keeper does not report the voters [1 2 4]")
	}
	r.procs[1].kill()
	// A process that starts now learns the token floors through the log of keepers 1 and 4.
	p := r.procs[3]
	p.kill()
	p.logTail = nil
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	if !r.waitUntil(time.Minute, func() bool { return strings.Contains(strings.Join(p.logTail, "\n"), "fence-open") }) {
		t.Error("the process got no floors from keepers 1 and 4 (no fence-open in its log)")
	}
}

// The rig detects violated invariants from the logs of receivers.
func TestInvariantViolationsAreDetected(t *testing.T) {
	newRig := func() *Rig {
		return &Rig{tokenHolders: make(map[uint64]string), acceptedTokens: make(map[string]uint64)}
	}
	r := newRig()
	p, q := &proc{rig: r, name: "p", incarnation: 1, ownedTokens: make(map[string]uint64)}, &proc{rig: r, name: "q", incarnation: 1, ownedTokens: make(map[string]uint64)}
	logAnnouncement := func(p *proc, token uint64) {
		r.handleLogEntry(p, &logEntry{Message: "fleet: word", Duty: duty, Token: token})
	}
	logAnnouncement(p, 4)
	p.incarnation++ // a restart does not excuse a stale token
	if logAnnouncement(p, 4); r.failed != nil {
		t.Fatal(r.failed)
	}
	if logAnnouncement(p, 3); r.failed == nil || r.Counts.StaleAccepted != 1 {
		t.Error("a stale announcement was not reported")
	}
	r = newRig()
	p.rig, q.rig = r, r
	r.handleLogEntry(p, &logEntry{Message: "fleet: own", Duty: duty, Token: 5})
	r.handleLogEntry(q, &logEntry{Message: "fleet: own", Duty: duty, Token: 5})
	if r.failed == nil || r.Counts.Overlaps != 1 {
		t.Error("two owners of one token were not reported")
	}
}
