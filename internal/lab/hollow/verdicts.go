package hollow

import (
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/peers"
)

// verdicts judges what the processes say of each other and of owners, by what is known to the run alone.
type verdicts struct {
	running         map[uint64]*process            // by session
	holders         map[string]map[uint64]*process // by duty and token
	falseDeaths     int                            // a process was taken for dead that ran and could be reached
	falseSuspicions int                            // likewise for suspect
	wrongOwners     int                            // two held a duty at once, or an effect of a former owner was taken
}

func newVerdicts() verdicts {
	return verdicts{running: make(map[uint64]*process), holders: make(map[string]map[uint64]*process)}
}

// see takes an event of a process's log.
func (v *verdicts) see(by *process, e mesh.Event) {
	switch e.Kind {
	case "own":
		v.own(by, e)
	case "lost":
		delete(v.holders[e.Lease], e.Token)
	case "word":
		if e.Token < by.taken[e.Lease] {
			v.wrongOwners++
		}
		by.taken[e.Lease] = e.Token
	case "member-dead", "member-suspect":
		v.judged(by, e.Member)
	}
}

func (v *verdicts) own(by *process, e mesh.Event) {
	if v.holders[e.Lease] == nil {
		v.holders[e.Lease] = make(map[uint64]*process)
	}
	for token, p := range v.holders[e.Lease] {
		if p != by && (token == e.Token || p.holds(e.Lease)) {
			v.wrongOwners++
		}
	}
	v.holders[e.Lease][e.Token] = by
}

func (v *verdicts) judged(by *process, m *peers.Member) {
	of := v.running[m.Session]
	if of == nil || !by.cluster.connected(by, of) {
		return
	}
	if m.State == peers.Dead {
		v.falseDeaths++
	} else {
		v.falseSuspicions++
	}
}

// ended takes the end of a life.
func (v *verdicts) ended(p *process) {
	delete(v.running, p.session)
	for _, tokens := range v.holders {
		for token, holder := range tokens {
			if holder == p {
				delete(tokens, token)
			}
		}
	}
}

// connected tells whether no cut lies between two processes.
func (k *cluster) connected(a, b *process) bool {
	x, y := zoneRegion[a.zone], zoneRegion[b.zone]
	return x == y || !k.cut[x] && !k.cut[y]
}
