package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// inputBatches returns the input of a short run of two relays, with two classes, two tenants, two
// kinds of backend and two zones.
func inputBatches() string {
	const config = `{"Balancers":2,"Zone":"zone-a","Dcs":["zone-a","zone-b"],"Kinds":["kind-a","kind-b"],` +
		`"Classes":[{"Name":"class-a","Repeat":"free","TargetUs":500000,"Worth":5},` +
		`{"Name":"class-b","Repeat":"guarded","DedupScope":"zone","TargetUs":300000,"WindowUs":900000,"Worth":1}],` +
		`"Orgs":[{"Name":"tenant-a"},{"Name":"tenant-b"}],"Prices":{"CrossZone":0.05},` +
		`"Permissions":{"AttemptsCap":3,"Cancel":true,"Probing":true},"Report":{"Fields":["x0"]},` +
		`"Invariants":{"ColdFrom":0.2,"WarmWithinUs":20000000,"TipMultiple":3,"FallUs":2000000},` +
		`"Domain":{"Groups":true,"TenantQuotaConnections":[4,40],"ReportX0":"load asked of the server over what it can do"}}`
	var b strings.Builder
	b.WriteString("FRAME 1000000\n")
	for i := range 2 {
		fmt.Fprintf(&b, "CONFIGURE %d %d %s\n", i, 40+i, config)
	}
	b.WriteString("CATALOG 0 8\n")
	for i := range 8 {
		c := "ab"[i%2 : i%2+1]
		fmt.Fprintf(&b, "ROW b%d zone-%s kind-%s %d SERVING 1 %d\n", i, c, c, i/2, i/7*900000)
	}
	b.WriteString("MEMBERS 0 stale_copy 1 0\nMEMBERS 1 stale_copy 1 0\nYOUR_TURN\n")
	for n := 1; n <= 120; n++ {
		now := 1000000 + n*150000
		c, relay := "ab"[n/3%2:n/3%2+1], n%2
		fmt.Fprintf(&b, "FRAME %d\nDEADLINE_HIT %d 0\n", now, relay)
		fmt.Fprintf(&b, "INGRESS %d %d class-%s tenant-%s - 900000 - %d 0\nYOUR_TURN\nFRAME %d\n", relay, n, c, c, n%5, now+2000)
		for i := range 8 {
			fmt.Fprintf(&b, "CHECKED %d b%d pass 900 0.%d\n", relay, i, (i*n)%9)
		}
		if n > 8 && n%4 == 0 {
			end := []string{"fault", "too_slow", "no_room", "cut"}[n/4%4]
			fmt.Fprintf(&b, "FINISHED %d %d 0 b%d %s 0 9000 -\n", relay, n-8, n%8, end)
		}
		b.WriteString("YOUR_TURN\n")
	}
	return b.String()
}

// Decisions must not depend on names: the same input with other names must give the same actions.
func TestNamesDoNotMatter(t *testing.T) {
	replies := func(in string) string {
		var out bytes.Buffer
		if err := run(strings.NewReader(in), &out); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	names := strings.NewReplacer(
		"class-a", "urgent", "class-b", "bulk", "tenant-a", "zz", "tenant-b", "aa", "kind-a", "m1", "kind-b", "k9",
		"zone-a", "west", "zone-b", "east",
	)
	want := replies(inputBatches())
	if got := replies(names.Replace(inputBatches())); got != want {
		t.Error("renaming classes, tenants, kinds and zones changed the actions")
	}
	for _, action := range []string{"SEND 0", "SEND 1", "PROBE", "SAY_NO"} {
		if !strings.Contains(want, action) {
			t.Errorf("the run has no %s: the comparison covers too little", action)
		}
	}
}
