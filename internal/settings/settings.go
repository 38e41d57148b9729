// Package settings decodes the settings object that a proxy instance gets at its start. The
// simulator sends the object in its first message to an instance; a proxy that serves sockets reads
// it from its configuration.
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

// object lists the fields of the settings object that Decode uses. Other fields are ignored. The Go
// field names are the JSON names; suffix Us means microseconds.
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

// Settings is the decoded settings object.
type Settings struct {
	Config  balance.Config
	Classes map[string]int // index in Config.Classes by class name
	Tenants map[string]int // index in Config.Tenants by tenant name
	// ReportFields are the names of the values of a load report, in the order in which the
	// simulator sends them.
	ReportFields []string
	// Only a proxy that serves sockets uses the fields from MaxWaitByClass to WantsLoadMetric.
	MaxWaitByClass       []time.Duration // by class index: longest wait of a client
	DialTimeout          time.Duration   // a connection that is not established by then has failed
	DrainGrace           time.Duration   // for new work to a server after its drain was announced
	ConnIdleTimeout      time.Duration   // until an idle connection for probes is closed; 0: never
	MessageLatencyTarget time.Duration   // lowest of all classes; 0: no class has a target
	WantsDelayMetric     bool            // the module is told the delay of slow messages
	WantsLoadMetric      bool            // the module is told the load of connections
	x0IsLoad             bool            // value x0 of a report is the load divided by the capacity
}

// ClearReport sets every value of a report to NaN, which means absent.
func ClearReport(rep *balance.Report) {
	nan := math.NaN()
	*rep = balance.Report{Load: nan, CPU: nan, Active: nan, Waiting: nan, Latency: nan, Rate: nan, Errors: nan}
}

// SetReportValue sets the value of a report that has the given name. It ignores an unknown name.
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
	"all": balance.DedupScopeAll, "zone": balance.DedupScopeZone, "cell": balance.DedupScopeCell,
}

// Decode decodes the JSON settings object. A class with an unknown Repeat value is treated as
// NotIdempotent, the strictest kind; an unknown DedupScope is treated as DedupScopeCell, the
// narrowest scope.
func Decode(text []byte) (*Settings, error) {
	var s object
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("settings object: %w", err)
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
		DialTimeout: microseconds(s.Permissions.DialTimeoutUs), ConnIdleTimeout: microseconds(s.Permissions.ConnIdleUs), DrainGrace: microseconds(s.Invariants.DrainGraceUs),
		WantsDelayMetric: s.Domain.TellsDelay, WantsLoadMetric: s.Domain.TellsLoad,
		x0IsLoad: strings.HasPrefix(s.Domain.ReportX0, "load"),
	}
	for i, c := range s.Classes {
		repeat, ok := idempotencies[c.Repeat]
		if !ok {
			repeat = balance.NotIdempotent
		}
		scope, ok := dedupScopes[c.DedupScope]
		if !ok {
			scope = balance.DedupScopeCell
		}
		class := balance.Class{
			SetupTarget: microseconds(c.TargetUs), Worth: c.Worth,
			Idempotency: repeat, DedupScope: scope, DedupWindow: microseconds(c.WindowUs),
		}
		r.MaxWaitByClass = append(r.MaxWaitByClass, microseconds(c.HardLimitUs))
		if i < len(s.Domain.MessageAimUs) {
			if target := microseconds(s.Domain.MessageAimUs[i]); target > 0 && (r.MessageLatencyTarget == 0 || target < r.MessageLatencyTarget) {
				r.MessageLatencyTarget = target
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

// microseconds converts a time in microseconds, the unit of the settings object.
func microseconds(us float64) time.Duration { return time.Duration(us) * time.Microsecond }

// Check returns an error that names the first setting without which a proxy on sockets cannot serve
// clients. The simulator may leave out any setting, so Decode does not check this.
func (s *Settings) Check() error {
	switch {
	case len(s.Classes) == 0:
		//lint:ignore ST1005 the message starts with the field name
		return errors.New("Classes: list is empty, need at least one class")
	case s.DialTimeout <= 0:
		return errors.New("Permissions.DialTimeoutUs: missing or not above 0")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		if s.MaxWaitByClass[s.Classes[name]] <= 0 {
			//lint:ignore ST1005 the message starts with the field name
			return fmt.Errorf("Classes: HardLimitUs of class %q: missing or not above 0", name)
		}
	}
	return nil
}
