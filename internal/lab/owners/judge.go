package owners

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"ospreyspan/internal/owner"
)

// judge records what happens in a run and checks it without using any of the code under test.
type judge struct {
	fail        func(error)
	granted     map[string]uint64                // latest token granted, by duty
	holders     map[string]map[uint64]uint64     // session by duty and token
	taken       map[string]map[string]uint64     // latest token accepted, by receiver and duty
	ops         map[string][]porcupine.Operation // answered claims, by duty
	pending     map[[2]uint64]pendingClaim       // unanswered claims, by session and sequence
	grantedAt   map[string]time.Duration         // latest grant of a new token, by duty
	renewedAt   map[string]time.Duration         // latest grant or renewal, by duty
	clockJumped bool                             // a clock jumped by more than the lease margin
	Counts
}

// pendingClaim is a claim that was sent and when.
type pendingClaim struct {
	at  time.Duration
	ask *owner.LeaseRequest
}

// Counts holds what a run injected and observed.
type Counts struct {
	Seeds                                                                    int
	Stalls, StallsBeforeSend, Kills, LeaderKills, MassKills, Wipes, Torn     int
	Cuts, CutsOneWay, Thirds, Late, Repeated, Dropped, ClockJumps, SyncFails int
	NameConflicts                                                            int
	Claims, Grants, HandOvers, Announcements                                 int
	StaleSent, StaleRefused, StaleTaken, Overlaps                            int
	Snapshots, Refuted                                                       int
}

// Add adds the counts of another run.
func (c *Counts) Add(o Counts) {
	for _, p := range []struct{ to, from *int }{
		{&c.Seeds, &o.Seeds}, {&c.Stalls, &o.Stalls}, {&c.StallsBeforeSend, &o.StallsBeforeSend}, {&c.Kills, &o.Kills},
		{&c.LeaderKills, &o.LeaderKills}, {&c.MassKills, &o.MassKills}, {&c.Wipes, &o.Wipes}, {&c.Torn, &o.Torn},
		{&c.Cuts, &o.Cuts}, {&c.CutsOneWay, &o.CutsOneWay}, {&c.Thirds, &o.Thirds}, {&c.Late, &o.Late},
		{&c.Repeated, &o.Repeated}, {&c.Dropped, &o.Dropped}, {&c.ClockJumps, &o.ClockJumps}, {&c.SyncFails, &o.SyncFails},
		{&c.NameConflicts, &o.NameConflicts}, {&c.Claims, &o.Claims}, {&c.Grants, &o.Grants}, {&c.HandOvers, &o.HandOvers},
		{&c.Announcements, &o.Announcements}, {&c.StaleSent, &o.StaleSent}, {&c.StaleRefused, &o.StaleRefused},
		{&c.StaleTaken, &o.StaleTaken}, {&c.Overlaps, &o.Overlaps}, {&c.Snapshots, &o.Snapshots}, {&c.Refuted, &o.Refuted},
	} {
		*p.to += *p.from
	}
}

// String returns the closing line of the runs that are counted.
func (c Counts) String() string {
	return fmt.Sprintf("seeds %d; faults: stalls %d, before a send %d, kills %d, of leaders between syncs %d, mass kills %d, "+
		"cuts %d, one way %d, in thirds %d, datagrams late %d, repeated %d, dropped %d, disks wiped %d, torn %d, syncs failed %d, "+
		"clocks jumped %d, twins %d; claims %d, grants %d, hand-overs %d, words %d; stale effects sent %d, refused %d, "+
		"taken: %d; overlapping owners by token: %d",
		c.Seeds, c.Stalls, c.StallsBeforeSend, c.Kills, c.LeaderKills, c.MassKills, c.Cuts, c.CutsOneWay, c.Thirds, c.Late,
		c.Repeated, c.Dropped, c.Wipes, c.Torn, c.SyncFails, c.ClockJumps, c.NameConflicts, c.Claims, c.Grants, c.HandOvers, c.Announcements,
		c.StaleSent, c.StaleRefused, c.StaleTaken, c.Overlaps)
}

func newJudge(fail func(error)) *judge {
	return &judge{
		fail: fail, granted: make(map[string]uint64), holders: make(map[string]map[uint64]uint64),
		taken: make(map[string]map[string]uint64), ops: make(map[string][]porcupine.Operation), pending: make(map[[2]uint64]pendingClaim),
		grantedAt: make(map[string]time.Duration), renewedAt: make(map[string]time.Duration),
	}
}

// claimSent records a claim when it is sent.
func (j *judge) claimSent(now time.Duration, a *owner.LeaseRequest) {
	j.Claims++
	j.pending[[2]uint64{a.Session, a.Seq}] = pendingClaim{now, a}
}

// answerReceived records the answer to a claim.
func (j *judge) answerReceived(now time.Duration, r *owner.LeaseResponse) {
	q, ok := j.pending[[2]uint64{r.Session, r.Seq}]
	if !ok {
		j.fail(fmt.Errorf("session %x: received an answer to claim %d, which it never sent", r.Session, r.Seq))
		return
	}
	delete(j.pending, [2]uint64{r.Session, r.Seq})
	for i, t := range r.Leases {
		if t.Mine {
			if t.Token > j.granted[t.Lease] {
				j.grantedAt[t.Lease] = now
			}
			j.renewedAt[t.Lease] = now
			j.grant(t.Lease, t.Token, r.Session)
		}
		j.ops[t.Lease] = append(j.ops[t.Lease], porcupine.Operation{
			Input: claim{r.Session, q.ask.Claims[i].Drop}, Output: t, Call: int64(q.at), Return: int64(now) + 1,
		})
	}
}

// grant records that a session was granted a token, and checks that no other session was granted
// the same one.
func (j *judge) grant(duty string, token, session uint64) {
	if j.holders[duty] == nil {
		j.holders[duty] = make(map[uint64]uint64)
	}
	had := j.holders[duty][token]
	if had != 0 && had != session {
		j.Overlaps++
		j.fail(fmt.Errorf("duty %s: token %d was granted to two sessions, %x and %x", duty, token, had, session))
	}
	if had == 0 {
		j.Grants++
		if j.granted[duty] != 0 {
			j.HandOvers++
		}
	}
	j.holders[duty][token] = session
	j.granted[duty] = max(j.granted[duty], token)
}

// effectTaken records an effect that a receiver accepted, and checks that it is not older than one
// that the receiver accepted before, also before a restart.
func (j *judge) effectTaken(receiver, duty string, token uint64) {
	j.Announcements++
	if j.taken[receiver] == nil {
		j.taken[receiver] = make(map[string]uint64)
	}
	if latest := j.taken[receiver][duty]; token < latest {
		j.StaleTaken++
		j.fail(fmt.Errorf("duty %s: %s accepted an effect of token %d after one of token %d", duty, receiver, token, latest))
	}
	j.taken[receiver][duty] = token
}

// claim is an input of the model that claims are checked against for linearizability: a register
// for each duty whose token only grows and each of whose tokens belongs to one session. A grant may
// end at any time, so that only answers can contradict the model: by a token below one that was
// known before the claim was sent, or by granting a token of one session to another.
type claim struct {
	session uint64
	drop    bool
}

// register is the state of the linearizability model of one duty; a session of 0 is unknown.
type register struct{ token, session uint64 }

// step is the transition of the linearizability model: it reports whether the answer is allowed in
// state s and returns the state that follows.
func step(s register, in claim, out owner.LeaseStatus) (bool, register) {
	switch {
	case out.Token < s.token:
		return false, s
	case out.Token > s.token && out.Mine:
		return true, register{out.Token, in.session}
	case out.Token > s.token: // granted to another session, whose answer was lost or arrives later
		return true, register{out.Token, 0}
	case out.Mine && s.session != 0 && s.session != in.session:
		return false, s
	case out.Mine:
		return true, register{s.token, in.session}
	}
	return true, s
}

// checkLinearizable checks that all answered claims are linearizable. The check of a duty that
// takes longer than limit counts as passed.
func (j *judge) checkLinearizable(limit time.Duration) error {
	model := porcupine.Model{
		Init: func() any { return register{} },
		Step: func(s, in, out any) (bool, any) { return step(s.(register), in.(claim), out.(owner.LeaseStatus)) },
	}
	for _, duty := range duties {
		if porcupine.CheckOperationsTimeout(model, j.ops[duty], limit) == porcupine.Illegal {
			return fmt.Errorf("duty %s: %d claims are not linearizable", duty, len(j.ops[duty]))
		}
	}
	return nil
}
