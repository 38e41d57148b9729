package wire

import (
	"encoding/json"
	"fmt"
	"strings"

	"ospreyspan/balance"
)

// settings is the part of the start-up object that is understood; the rest is skipped.
type settings struct {
	Balancers int
	Zone      string
	Classes   []struct {
		Name, Repeat, DedupScope string
		TargetUs, WindowUs       float64
		Worth                    float64
	}
	Orgs []struct {
		Name string
	}
	Discovery string
	Domain    struct {
		Groups                 bool
		ReportX0               string
		ParkUs                 float64
		TenantQuotaConnections []float64
		MessageAimUs           []float64
	}
	Invariants struct {
		AnswerSlackUs, AskWithinUs, WarmWithinUs, FallUs float64
		ColdFrom, TipMultiple                            float64
	}
	Permissions struct {
		AttemptsCap                 int
		MaxRetryAfterUs             float64
		Cancel, Probing, RetryAfter bool
	}
	Prices struct{ CrossZone float64 }
	Report struct{ Fields []string }
}

// relay holds what the reader needs to translate one instance's events.
type relay struct {
	classes, tenants map[string]int
	fields           []field
}

// field is a position in balance.Report.
type field uint8

const (
	fieldSkip field = iota
	fieldLoad
	fieldCPU
	fieldActive
	fieldWaiting
	fieldLatency
	fieldRate
	fieldErrors
)

var fieldNames = map[string]field{
	"cpu": fieldCPU, "active": fieldActive, "waiting": fieldWaiting,
	"avg_ms": fieldLatency, "rps": fieldRate, "err_rps": fieldErrors,
}

var repeats = map[string]balance.Repeat{
	"free": balance.RepeatFree, "guarded": balance.RepeatKeyed, "single_shot": balance.RepeatNever,
}

var scopes = map[string]balance.Scope{
	"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
}

// parseSettings reads the start-up object. A class whose repeat word is unknown is taken for the
// strictest kind, an unknown scope for the narrowest.
func parseSettings(text []byte) (balance.Config, relay, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return balance.Config{}, relay{}, fmt.Errorf("options: %w", err)
	}
	cfg := balance.Config{
		Balancers: s.Balancers,
		Zone:      s.Zone,
		Rules: balance.Rules{
			AnswerSlack:  int64(s.Invariants.AnswerSlackUs),
			AskWithin:    int64(s.Invariants.AskWithinUs),
			ColdFrom:     s.Invariants.ColdFrom,
			WarmWithin:   int64(s.Invariants.WarmWithinUs),
			FallMultiple: s.Invariants.TipMultiple,
			FallWithin:   int64(s.Invariants.FallUs),
		},
		Prices:      balance.Prices{CrossZone: s.Prices.CrossZone},
		MaxAttempts: s.Permissions.AttemptsCap,
		MayProbe:    s.Permissions.Probing,
		MayCancel:   s.Permissions.Cancel,
		Subscribe:   s.Discovery == "subscribe",
		Groups:      s.Domain.Groups,
		Park:        int64(s.Domain.ParkUs),
	}
	if s.Permissions.RetryAfter {
		cfg.MaxAdvice = int64(s.Permissions.MaxRetryAfterUs)
	}
	r := relay{classes: make(map[string]int), tenants: make(map[string]int)}
	for i, c := range s.Classes {
		repeat, ok := repeats[c.Repeat]
		if !ok {
			repeat = balance.RepeatNever
		}
		scope, ok := scopes[c.DedupScope]
		if !ok {
			scope = balance.ScopeCell
		}
		class := balance.Class{
			Aim: int64(c.TargetUs), Worth: c.Worth,
			Repeat: repeat, Scope: scope, Window: int64(c.WindowUs),
		}
		if i < len(s.Domain.MessageAimUs) {
			class.MessageAim = int64(s.Domain.MessageAimUs[i])
		}
		cfg.Classes = append(cfg.Classes, class)
		r.classes[c.Name] = i
	}
	for i, t := range s.Orgs {
		var tenant balance.Tenant
		if i < len(s.Domain.TenantQuotaConnections) {
			tenant.Connections = s.Domain.TenantQuotaConnections[i]
		}
		cfg.Tenants = append(cfg.Tenants, tenant)
		r.tenants[t.Name] = i
	}
	for _, name := range s.Report.Fields {
		f := fieldNames[name]
		if name == "x0" && strings.HasPrefix(s.Domain.ReportX0, "load") {
			f = fieldLoad
		}
		r.fields = append(r.fields, f)
	}
	return cfg, r, nil
}
