package main

import (
	"bytes"
	"strings"
	"testing"
)

const validSettings = `{"Balancers":2,"Zone":"z","Classes":[{"Name":"c","Repeat":"free","TargetUs":500000,"Worth":1}],` +
	`"Permissions":{"AttemptsCap":3,"Probing":true},"Report":{"Fields":["x0"]},` +
	`"Domain":{"ReportX0":"load asked of the server over what it can do"}}`

func TestRun(t *testing.T) {
	in := "FRAME 5\nYOUR_TURN\n" +
		"FRAME 10\nCONFIGURE 0 1 " + validSettings + "\nCATALOG 0 1\nROW b0 z k 0 SERVING 1 -\n" +
		"MEMBERS 0 stale_copy 1 0\nYOUR_TURN\n" +
		"FRAME 20\nINGRESS 0 9 c 0 - 3000000 - - 0\nYOUR_TURN\n" +
		"FRAME 30\nCHECKED 0 b0 pass 10 0.25\nYOUR_TURN\n" +
		"FRAME 40\nRETIRE 0\nCONFIGURE 0 2 " + validSettings + "\nMEMBERS 0 stale_copy 1 0\nYOUR_TURN\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "FINISHED\n")
	if len(replies) != 6 {
		t.Fatalf("got %d replies, want 5: %q", len(replies)-1, out.String())
	}
	if replies[0] != "" {
		t.Errorf("got reply %q to an empty batch, want no action", replies[0])
	}
	if !strings.Contains(replies[2], "PROBE 0 b0\n") {
		t.Errorf("got reply %q to a request, want a probe of b0", replies[2])
	}
	if !strings.HasPrefix(replies[3], "SEND 0 9 b0 ") {
		t.Errorf("got reply %q to the result of the probe, want the request to be sent to b0", replies[3])
	}
}

func TestBadInputWritesNoPartialReply(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader("FRAME 10\nCONFIGURE 0 1 "+validSettings+"\nNONSENSE\nYOUR_TURN\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("got error %v, want one that names line 3", err)
	}
	if out.Len() != 0 {
		t.Errorf("wrote %q, want nothing", out.String())
	}
}

func TestInvalidSettings(t *testing.T) {
	var out bytes.Buffer
	in := "FRAME 10\nCONFIGURE 0 1 {\"Invariants\":{\"ColdFrom\":7}}\nYOUR_TURN\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), "INTERNAL_ERROR 0 ") {
		t.Errorf("wrote %q, want an internal error of relay 0", out.String())
	}
}
