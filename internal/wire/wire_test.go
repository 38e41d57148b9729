package wire

import (
	"bytes"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"ospreyspan/balance"
)

const settingsObject = `{"Balancers":4,"Zone":"z","Classes":[{"Name":"c0","Repeat":"free"},` +
	`{"Name":"c1","Repeat":"guarded","DedupScope":"cell","TargetUs":300000.0,"WindowUs":5e6,"Worth":3.0}],` +
	`"Orgs":[{"Name":"t0","QuotaPerS":2.5}],"OverShareWorth":0.1,"Discovery":"subscribe","Weights":"live",` +
	`"Domain":{"Groups":true,"ReportX0":"load asked of the server over what it can do","ParkUs":4000000,` +
	`"TenantQuotaConnections":[39.0]},"Unheard":{"of":[1]},` +
	`"Invariants":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdFrom":0.12,"DrainGraceUs":500000,` +
	`"FallUs":1500000,"TipMultiple":3.0,"WarmWithinUs":22000000},` +
	`"Permissions":{"AttemptsCap":5,"Cancel":true,"MaxRetryAfterUs":1500000,"Probing":true,` +
	`"RetryAfter":true,"SecondCopies":false},"Prices":{"CrossZone":0.08,"Moves":0.03,"Probe":0.002},` +
	`"Report":{"Fields":["x0","active","x9","err_rps"],"How":"pull"}}`

// batchStart is the start of a batch with one instance, number 3.
const batchStart = "FRAME 100\nCONFIGURE 3 77 " + settingsObject + "\n"

// readAll reads all events of text, up to the first error.
func readAll(text string) ([]Event, error) {
	r := NewReader(strings.NewReader(text))
	var all []Event
	for {
		var e Event
		err := r.Next(&e)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, e)
	}
}

func TestSettings(t *testing.T) {
	all, err := readAll(batchStart + "YOUR_TURN\n")
	if err != nil {
		t.Fatal(err)
	}
	e := all[1]
	if e.Kind != Configure || e.Relay != 3 || e.Seed != 77 || !e.Now.Equal(time.UnixMicro(100)) {
		t.Fatalf("got %+v", e)
	}
	c := e.Config
	if c.Relays != 4 || c.Zone != "z" || !c.Subscribe || !c.GroupAffinity || c.MaxAttempts != 5 ||
		!c.MayProbe || !c.MayCancel || c.MaxRetryAfter != 1500*time.Millisecond || c.DetachedTimeout != 4*time.Second {
		t.Errorf("config: got %+v", c)
	}
	if want := (balance.Rules{
		AnswerSlack: 8 * time.Millisecond, MaxDiscoveryGap: 10 * time.Second, InitialCapacity: 0.12, WarmUpTime: 22 * time.Second, OverloadFactor: 3,
		OverloadWindow: 1500 * time.Millisecond,
	}); c.Rules != want {
		t.Errorf("rules: got %+v, want %+v", c.Rules, want)
	}
	if want := (balance.Class{
		SetupTarget: 300 * time.Millisecond, Worth: 3, Idempotency: balance.IdempotentByKey, DedupScope: balance.DedupScopeCell, DedupWindow: 5 * time.Second,
	}); c.Classes[1] != want {
		t.Errorf("class: got %+v, want %+v", c.Classes[1], want)
	}
	if want := (balance.Tenant{ConnectionQuota: 39}); c.Tenants[0] != want {
		t.Errorf("tenant: got %+v, want %+v", c.Tenants[0], want)
	}
}

func TestEvents(t *testing.T) {
	tests := []struct {
		line string
		ok   func(e Event) bool
	}{
		{"INGRESS 3 2322303265968580 c1 t0 91f0 240000 12000 2b8e 24", func(e Event) bool {
			return e.Kind == Ingress && e.Request == balance.Request{
				ID: 2322303265968580, Class: 1, Tenant: 0, Key: "91f0", Group: "2b8e", Timeout: 240 * time.Millisecond,
				MidFlow: true, Reconnect: true,
			}
		}},
		{"INGRESS 3 1 other 0 - 5 - - 0", func(e Event) bool {
			return e.Request == balance.Request{ID: 1, Class: -1, Tenant: -1, Timeout: 5 * time.Microsecond}
		}},
		{"HANDOVER 3 9 c0 - - 5 - - - b1", func(e Event) bool {
			return e.Kind == Handover && e.Request.ID == 9 && e.Backend == "b1"
		}},
		{"DEADLINE_HIT 3 9223372036854775807", func(e Event) bool {
			return e.Kind == Timer && e.Token == math.MaxInt64
		}},
		{"STREAMING 3 9 0 b1 1500", func(e Event) bool {
			return e.Kind == Streaming && e.Request.ID == 9 && e.Backend == "b1"
		}},
		{"HEARTBEAT 3 9 0 b1 1 12.5", func(e Event) bool {
			return e.Kind == Heartbeat && e.MetricKnown && e.Metric == balance.MetricLoad && e.MetricValue == 12.5
		}},
		{"HEARTBEAT 3 9 0 b1 2 80", func(e Event) bool { return e.MetricKnown && e.Metric == balance.MetricDelay }},
		{"HEARTBEAT 3 9 0 b1 7 80", func(e Event) bool { return !e.MetricKnown }},
		{"FINISHED 3 9 1 b1 pass 0 18500 -", func(e Event) bool {
			return e.Kind == Finished && e.ClientSettled && e.Outcome == balance.OK && e.Attempt == 0 &&
				math.IsNaN(e.Report.Load)
		}},
		{"FINISHED 3 9 0 b1 too_slow 2 18500 0.5,7,1,0.25", func(e Event) bool {
			return !e.ClientSettled && e.Outcome == balance.TimedOut && e.Attempt == 2 && e.Report.Load == 0.5 &&
				e.Report.Active == 7 && e.Report.Errors == 0.25 && math.IsNaN(e.Report.CPU)
		}},
		{"TIMED_OUT_CLIENT 3 9", func(e Event) bool { return e.Kind == ClientGone && e.Request.ID == 9 }},
		{"CHECKED 3 b1 no_route 100 -", func(e Event) bool {
			return e.Kind == Checked && e.Backend == "b1" && e.Outcome == balance.NoConnect
		}},
		{"CHECKED 3 b1 pass 100 -,7,-,-", func(e Event) bool {
			return math.IsNaN(e.Report.Load) && e.Report.Active == 7
		}},
		{"CHECKED 3 b1 pass 100 NaN,1", func(e Event) bool {
			return math.IsNaN(e.Report.Load) && e.Report.Active == 1 && math.IsNaN(e.Report.Errors)
		}},
		{"MAIL 3 4 68692037", func(e Event) bool { return e.Kind == Mail }},
		{"RETIRE 3", func(e Event) bool { return e.Kind == Retire }},
		{"MEMBERS 3 broken 5 -", func(e Event) bool {
			return e.Kind == Members && e.List == balance.ListBroken && e.Backends == nil
		}},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			all, err := readAll(batchStart + tt.line + "\nYOUR_TURN\n")
			if err != nil {
				t.Fatal(err)
			}
			if len(all) != 4 || !tt.ok(all[2]) {
				t.Errorf("parsed as %+v", all[2:])
			}
		})
	}
}

func TestCatalogueNumberReuse(t *testing.T) {
	all, err := readAll(batchStart +
		"CATALOG 0 2\nROW b0 z k 4 SERVING 1.5 6100000\nROW b1 z k - DRAINING 1 -\nMEMBERS 3 whole 1 0\n" +
		"CATALOG 0 1\nROW b2 y k 1 DELETED 1 0\nMEMBERS 3 patch 2 0\nYOUR_TURN\n")
	if err != nil {
		t.Fatal(err)
	}
	first, second := all[2].Backends, all[3].Backends
	want := balance.Backend{ID: "b0", Zone: "z", Cell: 4, State: balance.Ready, Size: 1.5, StartTime: time.UnixMicro(6100000)}
	if len(first) != 2 || first[0] != want || first[1].State != balance.Draining || !first[1].StartTime.IsZero() {
		t.Errorf("first list: got %+v", first)
	}
	if len(second) != 1 || second[0].ID != "b2" || second[0].State != balance.Gone {
		t.Errorf("second list: got %+v", second)
	}
}

func TestRestartInOneBatch(t *testing.T) {
	all, err := readAll(batchStart + "RETIRE 3\nCONFIGURE 3 78 {}\nINGRESS 3 1 c0 0 - 5 - - 0\nYOUR_TURN\n")
	if err != nil {
		t.Fatal(err)
	}
	if all[3].Seed != 78 || all[4].Request.Class != -1 {
		t.Errorf("parsed as %+v", all[3:])
	}
}

func TestBadInput(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown message", batchStart + "NONSENSE 3\n", `line 3: unknown message "NONSENSE"`},
		{"too few values", batchStart + "STREAMING 3 9 0 b1\n", "line 3: STREAMING has 4 values, not 5"},
		{"bad number", batchStart + "DEADLINE_HIT 3 x7\n", "line 3: DEADLINE_HIT"},
		{"number too large", batchStart + "DEADLINE_HIT 3 99999999999999999999\n", "line 3: DEADLINE_HIT"},
		{"bad fraction", batchStart + "CHECKED 3 b1 pass 1 0.x,1\n", "line 3: CHECKED"},
		{"unknown instance", batchStart + "DEADLINE_HIT 4 1\n", "line 3: DEADLINE_HIT: unknown instance 4"},
		{"retired instance", batchStart + "RETIRE 3\nDEADLINE_HIT 3 1\n", "line 4: DEADLINE_HIT: unknown instance 3"},
		{"missing catalogue", batchStart + "MEMBERS 3 whole 1 5\n", "line 3: MEMBERS: no catalogue 5"},
		{"catalogue over 15", batchStart + "CATALOG 16 0\n", "line 3: CATALOG"},
		{"unknown list kind", batchStart + "MEMBERS 3 sideways 1 0\n", "line 3: MEMBERS"},
		{"unknown outcome", batchStart + "CHECKED 3 b1 maybe 1 -\n", `line 3: CHECKED: unknown word "maybe"`},
		{"short catalogue", batchStart + "CATALOG 0 2\nROW b0 z k 0 SERVING 1 -\nYOUR_TURN\n", "line 5: CATALOG: not a ROW"},
		{"settings not JSON", "FRAME 1\nCONFIGURE 3 7 {nope\n", "line 2: CONFIGURE: settings object"},
		{"event outside a batch", "RETIRE 3\n", "line 1: RETIRE out of place"},
		{"batch in a batch", batchStart + "FRAME 5\n", "line 3: FRAME out of place"},
		{"ends inside a batch", batchStart, "line 2: input ends inside a batch"},
		{"ends inside a catalogue", batchStart + "CATALOG 0 2\nROW b0 z k 0 SERVING 1 -\n", "input ends inside"},
		{"empty line in a batch", batchStart + "\n", "line 3: unknown message"},
		{"empty backend", batchStart + "CHECKED 3  pass 1 -\n", "line 3: CHECKED: the backend is missing"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := readAll(tt.text)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

func TestLongLines(t *testing.T) {
	long := strings.Replace(settingsObject, `"Unheard":{"of":[1]}`, `"Unheard":"`+strings.Repeat("x", 1<<18)+`"`, 1)
	all, err := readAll("FRAME 1\nCONFIGURE 3 77 " + long + "\nYOUR_TURN\nFRAME 2\nYOUR_TURN\n")
	if err != nil || len(all) != 5 || all[1].Config.Relays != 4 {
		t.Errorf("read %d events, want 5; error %v", len(all), err)
	}
}

func TestActions(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	h := w.Host(3)
	h.Send(2322303265968580, "backend_abuevth", 80*time.Millisecond)
	h.Refuse(5, 100*time.Microsecond)
	h.Fail(6)
	h.Move(7)
	h.Cancel(8, 2)
	h.Probe("b1")
	h.WatchDiscovery()
	h.After(500*time.Millisecond, 77)
	w.InternalError(4, "panic: x\ny")
	if out.Len() != 0 {
		t.Error("part of the reply was written before Finish")
	}
	if err := w.Finish(); err != nil {
		t.Fatal(err)
	}
	want := "SEND 3 2322303265968580 backend_abuevth 80000\nSAY_NO 3 5 100\nSURRENDER 3 6\nMIGRATE 3 7\n" +
		"ABORT_ATTEMPT 3 8 2\nPROBE 3 b1\nTAIL 3 1\nNOTIFY_ME 3 500000 77\n" +
		"INTERNAL_ERROR 4 panic: x y\nFINISHED\n"
	if out.String() != want {
		t.Errorf("wrote %q", out.String())
	}
}

// FuzzReader checks that no input makes the Reader panic, that errors name their line, and that
// accepted input consists of complete batches.
func FuzzReader(f *testing.F) {
	f.Add(batchStart + "INGRESS 3 1 c0 0 - 5 - - 0\nYOUR_TURN\n")
	f.Add(batchStart + "CATALOG 0 1\nROW b0 z k 4 SERVING 1.5 6100000\nMEMBERS 3 whole 1 0\nYOUR_TURN\n")
	f.Add(batchStart + "FINISHED 3 9 0 b1 too_slow 2 18500 0.5,7,1,0.25\n")
	f.Add("FRAME -1\nYOUR_TURN\n\n")
	f.Add("CATALOG 0 99999999999\n")
	f.Fuzz(func(t *testing.T, text string) {
		all, err := readAll(text)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "line ") {
				t.Errorf("error without line number: %v", err)
			}
			return
		}
		if n := len(all); n > 0 && (all[0].Kind != Frame || all[n-1].Kind != YourTurn) {
			t.Errorf("accepted an incomplete batch: %+v", all)
		}
	})
}
