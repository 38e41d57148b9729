package settings

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// TestLargeSettings checks that Decode keeps lists of 1,024 processes, classes and tenants whole.
func TestLargeSettings(t *testing.T) {
	const n = 1024
	object := map[string]any{"Balancers": n, "Permissions": map[string]any{"DialTimeoutUs": 200000}}
	var classes, tenants []map[string]any
	var quotas []float64
	for i := range n {
		classes = append(classes, map[string]any{"Name": fmt.Sprint("c", i), "Repeat": "free", "HardLimitUs": 1000 * (i + 1)})
		tenants = append(tenants, map[string]any{"Name": fmt.Sprint("t", i)})
		quotas = append(quotas, float64(i+1))
	}
	object["Classes"], object["Orgs"], object["Domain"] = classes, tenants, map[string]any{"TenantQuotaConnections": quotas}
	text, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(text)
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		t.Fatal(err)
	}
	const last = n - 1
	if s.Config.Relays != n || len(s.Config.Classes) != n || len(s.Config.Tenants) != n || s.Classes["c1023"] != last ||
		s.MaxWaitByClass[last] != n*time.Millisecond || s.Config.Tenants[s.Tenants["t1023"]].ConnectionQuota != n {
		t.Errorf("decoded %d processes, %d classes, %d tenants, want %d of each with the values of the last one",
			s.Config.Relays, len(s.Config.Classes), len(s.Config.Tenants), n)
	}
}
