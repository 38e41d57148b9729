package keeper

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// renewalTimer is since when a grant has not been renewed, by this member's clock.
type renewalTimer struct {
	token, renewals  uint64
	renewedAt        time.Time
	expiryProposedAt time.Time // when its end was proposed last
}

// renewalTimers are those of all leases, by name. They serve a leader only.
type renewalTimers map[string]renewalTimer

// restart gives each grant its whole time once more: what was renewed under the leader before is not known here.
func (r renewalTimers) restart(now time.Time, leases []*Lease) {
	for _, l := range leases {
		r[l.Name] = renewalTimer{token: l.Token, renewals: l.Renewals, renewedAt: now}
	}
}

// note notes that a lease was granted or renewed now, if it was.
func (r renewalTimers) update(now time.Time, l *Lease) {
	if l == nil {
		return
	}
	if timer := r[l.Name]; timer.token != l.Token || timer.renewals != l.Renewals {
		r[l.Name] = renewalTimer{token: l.Token, renewals: l.Renewals, renewedAt: now}
	}
}

// earlyGrantDivisor is how many times too early the flaw EarlyGrant ends a grant.
const earlyGrantDivisor = 4

// proposeExpiries proposes the end of grants that nobody has renewed for the whole lease and the margin.
func (k *Core) proposeExpiries(now time.Time) {
	wait := k.cfg.Terms.KeeperTimeout()
	if k.cfg.Flaws.EarlyGrant {
		wait /= earlyGrantDivisor
	}
	for _, l := range k.state.Leases {
		timer := k.renewals[l.Name]
		if l.Session == 0 || now.Sub(timer.renewedAt) < wait || now.Sub(timer.expiryProposedAt) < k.cfg.ElectionTimeout {
			continue
		}
		data, err := cbor.Marshal(&Command{Expire: &Expire{Lease: l.Name, Token: l.Token, Renewals: l.Renewals}})
		if err == nil && k.raft.Propose(data) == nil {
			timer.expiryProposedAt = now
			k.renewals[l.Name] = timer
		}
	}
}
