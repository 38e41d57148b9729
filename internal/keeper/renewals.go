package keeper

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// renewalTimer records when a grant was last renewed, by this keeper's clock.
type renewalTimer struct {
	token, renewals  uint64
	renewedAt        time.Time
	expiryProposedAt time.Time // when its expiry was last proposed; zero: never
}

// renewalTimers holds the renewalTimer of each lease by name. Only a leader uses it.
type renewalTimers map[string]renewalTimer

// restart gives each grant its whole duration again, since a new leader does not know when the
// grants were renewed under the previous one.
func (r renewalTimers) restart(now time.Time, leases []*Lease) {
	for _, l := range leases {
		r[l.Name] = renewalTimer{token: l.Token, renewals: l.Renewals, renewedAt: now}
	}
}

// update restarts the timer of a lease if the lease was granted or renewed since the last update.
func (r renewalTimers) update(now time.Time, l *Lease) {
	if l == nil {
		return
	}
	if timer := r[l.Name]; timer.token != l.Token || timer.renewals != l.Renewals {
		r[l.Name] = renewalTimer{token: l.Token, renewals: l.Renewals, renewedAt: now}
	}
}

// earlyGrantDivisor divides the time to the expiry of a grant under Flaws.EarlyGrant.
const earlyGrantDivisor = 4

// proposeExpiries proposes the expiry of grants that have not been renewed for the lease duration
// plus the margin. An expiry that has not been applied is proposed again after ElectionTimeout.
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
