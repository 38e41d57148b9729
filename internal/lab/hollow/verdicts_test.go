package hollow

import (
	"testing"
	"time"

	"ospreyspan/internal/mesh"
	"ospreyspan/internal/peers"
)

const anyDuty = "a duty that nobody claims"

// The judge finds two owners of one token, an effect of a former owner, and a verdict on a process that runs.
func TestJudgeFindsHarm(t *testing.T) {
	k, err := newCluster(Config{Seed: 1, Processes: 5, Keepers: 3, Servers: 10, Lease: usualLease, Joined: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := k.world.Run(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	v := &k.verdicts
	if v.wrongOwners+v.falseDeaths+v.falseSuspicions > 0 {
		t.Fatalf("a sound fleet: %d wrong owners, %d false deaths, %d false suspicions", v.wrongOwners, v.falseDeaths, v.falseSuspicions)
	}
	a, b := k.processes[3], k.processes[4]
	v.see(a, mesh.Event{Kind: "own", Lease: anyDuty, Token: 1000})
	v.see(b, mesh.Event{Kind: "own", Lease: anyDuty, Token: 1000})
	if v.wrongOwners != 1 {
		t.Errorf("one token for two: %d wrong owners, not 1", v.wrongOwners)
	}
	v.see(a, mesh.Event{Kind: "word", Lease: anyDuty, Token: 1000})
	v.see(a, mesh.Event{Kind: "word", Lease: anyDuty, Token: 999})
	if v.wrongOwners != 2 {
		t.Errorf("a former owner's word: %d wrong owners, not 2", v.wrongOwners)
	}
	dead := mesh.Event{Kind: "member-dead", Member: &peers.Member{Session: b.session, State: peers.Dead}}
	v.see(a, dead)
	heal := k.isolate(zoneRegion[b.zone])
	v.see(a, dead) // nobody could know better
	heal()
	b.kill()
	v.see(a, dead)
	if v.falseDeaths != 1 {
		t.Errorf("%d false deaths, not 1", v.falseDeaths)
	}
}
