package lab

import "testing"

// Relays stop answering on some connections after any byte of their output, behind LOAD lines and
// in the middle of a line. Such connections are ended or moved in time, and the clients are served.
//
// This failed with "silent-kept" at every seed: a connection on which the last line before the
// silence was a LOAD was kept for good.
func TestCutOutput(t *testing.T) {
	skipIfSlow(t)
	playGenerated(t, RandomCutOutput, 12, nil, func(t *testing.T, _ *Scenario, r *Result) {
		if r.Clients.SilentLines < 3 || r.Service < 0.5 {
			t.Errorf("%d connections fell silent, service %.2f; want at least 3 and 0.5", r.Clients.SilentLines, r.Service)
		}
	})
}
