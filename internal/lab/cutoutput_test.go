package lab

import (
	"fmt"
	"testing"
)

// Relays stop answering on some connections after any byte of their output, behind LOAD lines and
// in the middle of a line. Such connections are ended or moved in time, and the clients are served.
//
// This failed with "silent-kept" at every seed: a connection on which the last line before the
// silence was a LOAD was kept for good.
func TestCutOutput(t *testing.T) {
	skipIfSlow(t)
	config := FuzzConfig{Generate: RandomCutOutput}
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			generated, err := config.scenario(seed)
			if err != nil {
				t.Fatal(err)
			}
			if r := play(t, generated, seed); r.Clients.SilentLines < 3 || r.Service < 0.5 {
				t.Errorf("%d connections fell silent, service %.2f; want at least 3 and 0.5", r.Clients.SilentLines, r.Service)
			}
		})
	}
}
