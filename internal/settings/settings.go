// Package settings reads the settings object that an instance is given at its start. The simulator sends it in
// its first message and a real proxy finds it in its configuration: both programs decode it here.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"ospreyspan/balance"
)

// object is the part of the start-up object that is understood; the rest is skipped.
type object struct {
	Balancers int
	Zone      string
	Classes   []struct {
		Name, Repeat, DedupScope string
		TargetUs, WindowUs       float64
		HardLimitUs              float64
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
		TellsDelay, TellsLoad  bool
	}
	Invariants struct {
		AnswerSlackUs, AskWithinUs, WarmWithinUs, FallUs, DrainGraceUs float64
		ColdFrom, TipMultiple                                          float64
	}
	Permissions struct {
		AttemptsCap                 int
		MaxRetryAfterUs             float64
		DialTimeoutUs, ConnIdleUs   float64
		Cancel, Probing, RetryAfter bool
	}
	Prices struct{ CrossZone float64 }
	Report struct{ Fields []string }
}

// Settings is what the programs need of the object.
type Settings struct {
	Config       balance.Config
	Classes      map[string]int // indices in Config.Classes by name
	Tenants      map[string]int // likewise in Config.Tenants
	ReportFields []string       // names of a load report's values, in the order of the simulator's wire
	// What only a proxy on sockets needs.
	MaxWaits      []time.Duration // by class: how long its clients wait at the most
	DialTimeout   time.Duration   // a connection that is not up by then counts as failed
	DrainGrace    time.Duration   // new work may go to a server that stops for so long after this was told
	ConnIdle      time.Duration   // idle connections are closed after this; 0: never
	MessageTarget time.Duration   // shortest of the classes' aims for a message; 0: not told
	ReportsDelay  bool            // the module is told of messages that take long
	ReportsLoad   bool            // and of a connection's load
	x0IsLoad      bool            // the report's x0 is load over capacity
}

// ClearReport makes every value of a report absent.
func ClearReport(rep *balance.Report) {
	nan := math.NaN()
	*rep = balance.Report{Load: nan, CPU: nan, Active: nan, Waiting: nan, Latency: nan, Rate: nan, Errors: nan}
}

// SetReportValue sets one value of a report by its name; a name that is unknown is passed over.
func (s *Settings) SetReportValue(rep *balance.Report, name string, v float64) {
	switch name {
	case "x0":
		if s.x0IsLoad {
			rep.Load = v
		}
	case "cpu", "util":
		rep.CPU = v
	case "active", "inflight":
		rep.Active = v
	case "waiting", "queue":
		rep.Waiting = v
	case "avg_ms", "latency_ms":
		rep.Latency = v
	case "rps", "qps":
		rep.Rate = v
	case "err_rps", "eps":
		rep.Errors = v
	}
}

var idempotencies = map[string]balance.Idempotency{
	"free": balance.Idempotent, "guarded": balance.IdempotentByKey, "single_shot": balance.NotIdempotent,
}

var dedupScopes = map[string]balance.DedupScope{
	"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
}

// Decode reads the object. A class whose repeat word is unknown is taken for the
// strictest kind, an unknown scope for the narrowest.
func Decode(text []byte) (*Settings, error) {
	var s object
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	cfg := balance.Config{
		Relays: s.Balancers,
		Zone:   s.Zone,
		Rules: balance.Rules{
			AnswerSlack:     microseconds(s.Invariants.AnswerSlackUs),
			MaxDiscoveryGap: microseconds(s.Invariants.AskWithinUs),
			InitialCapacity: s.Invariants.ColdFrom,
			WarmUpTime:      microseconds(s.Invariants.WarmWithinUs),
			OverloadFactor:  s.Invariants.TipMultiple,
			OverloadWindow:  microseconds(s.Invariants.FallUs),
		},
		Prices:          balance.Prices{CrossZone: s.Prices.CrossZone},
		MaxAttempts:     s.Permissions.AttemptsCap,
		MayProbe:        s.Permissions.Probing,
		MayCancel:       s.Permissions.Cancel,
		Subscribe:       s.Discovery == "subscribe",
		GroupAffinity:   s.Domain.Groups,
		DetachedTimeout: microseconds(s.Domain.ParkUs),
	}
	if s.Permissions.RetryAfter {
		cfg.MaxRetryAfter = microseconds(s.Permissions.MaxRetryAfterUs)
	}
	r := &Settings{
		Classes: make(map[string]int), Tenants: make(map[string]int), ReportFields: s.Report.Fields,
		DialTimeout: microseconds(s.Permissions.DialTimeoutUs), ConnIdle: microseconds(s.Permissions.ConnIdleUs), DrainGrace: microseconds(s.Invariants.DrainGraceUs),
		ReportsDelay: s.Domain.TellsDelay, ReportsLoad: s.Domain.TellsLoad,
		x0IsLoad: strings.HasPrefix(s.Domain.ReportX0, "load"),
	}
	for i, c := range s.Classes {
		repeat, ok := idempotencies[c.Repeat]
		if !ok {
			repeat = balance.NotIdempotent
		}
		scope, ok := dedupScopes[c.DedupScope]
		if !ok {
			scope = balance.ScopeCell
		}
		class := balance.Class{
			SetupTarget: microseconds(c.TargetUs), Worth: c.Worth,
			Idempotency: repeat, DedupScope: scope, DedupWindow: microseconds(c.WindowUs),
		}
		r.MaxWaits = append(r.MaxWaits, microseconds(c.HardLimitUs))
		if i < len(s.Domain.MessageAimUs) {
			if aim := microseconds(s.Domain.MessageAimUs[i]); aim > 0 && (r.MessageTarget == 0 || aim < r.MessageTarget) {
				r.MessageTarget = aim
			}
			class.MessageTarget = microseconds(s.Domain.MessageAimUs[i])
		}
		cfg.Classes = append(cfg.Classes, class)
		r.Classes[c.Name] = i
	}
	for i, t := range s.Orgs {
		var tenant balance.Tenant
		if i < len(s.Domain.TenantQuotaConnections) {
			tenant.ConnectionQuota = s.Domain.TenantQuotaConnections[i]
		}
		cfg.Tenants = append(cfg.Tenants, tenant)
		r.Tenants[t.Name] = i
	}
	r.Config = cfg
	return r, nil
}

// microseconds converts the object's microseconds.
func microseconds(us float64) time.Duration { return time.Duration(us) * time.Microsecond }

// Check tells what a proxy on sockets lacks in the settings, by the field's name. The simulator may leave out
// any field; a proxy that started without these could serve nobody.
func (s *Settings) Check() error {
	switch {
	case len(s.Classes) == 0:
		//lint:ignore ST1005 it begins with the field's name
		return errors.New("Classes: none is given")
	case s.DialTimeout <= 0:
		return errors.New("Permissions.DialTimeoutUs: not above 0")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		if s.MaxWaits[s.Classes[name]] <= 0 {
			//lint:ignore ST1005 it begins with the field's name
			return fmt.Errorf("Classes: HardLimitUs of %q: not above 0", name)
		}
	}
	return nil
}
