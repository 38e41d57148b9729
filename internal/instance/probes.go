package instance

import (
	"net/netip"
	"slices"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/duty"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/peers"
	"ospreyspan/internal/poll"
)

// probes shares the probing of targets: each part of them has an owner that probes for all who ask it.
type probes struct {
	fleet       *fleet
	mayOwn      bool // this process may own parts
	owner       *duty.ProbeOwner[netip.AddrPort]
	client      *duty.ProbeClient
	settleTimer poll.Timer // until the members have not changed for settleAfter
}

func newProbes(f *fleet, take bool) *probes {
	p := &probes{fleet: f, mayOwn: take, owner: duty.NewProbeOwner[netip.AddrPort](), client: duty.NewProbeClient(f.session)}
	f.instance.engine.ShareProbes(p.requestProbe, p.onProbeDone)
	return p
}

// settleAfter is how long the members must not have changed: while hundreds join, each is first of the few that it knows, and
// all would claim all parts.
const settleAfter = 2 * time.Second

// onMembersChanged takes a change of who lives.
func (p *probes) onMembersChanged([]peers.Member) {
	if p.mayOwn {
		p.settleTimer.Fire = p.chooseParts
		p.fleet.loop.After(&p.settleTimer, settleAfter)
	}
}

// chooseParts chooses the parts to claim, by who lives.
func (p *probes) chooseParts() {
	list := p.fleet.node.Members()
	p.fleet.probeParts = duty.ProbePartsOf(p.fleet.node.Peers().Me().Session, list)
	p.fleet.claimDuties()
}

// requestProbe has the owner of a target's part report on it.
func (p *probes) requestProbe(targetID string) bool {
	part := duty.ProbePart(targetID)
	at, ok := p.fleet.node.Owner(part)
	if !ok {
		return false
	}
	text, err := (&duty.ProbeRequest{Target: targetID}).Encode()
	if err != nil {
		return false
	}
	seq, late := p.client.Begin(p.fleet.loop.Now(), targetID)
	p.fleet.node.AskOwner(at, mesh.Direct{Lease: part, Seq: seq, Data: text})
	t := &poll.Timer{}
	t.Fire = func() {
		if p.client.Expire(targetID, seq) {
			p.fleet.instance.engine.ProbeAlone(targetID)
		}
	}
	p.fleet.loop.Arm(t, late)
	return true
}

// handleDirect takes a question to this process, or an owner's answer.
func (p *probes) handleDirect(from netip.AddrPort, d *mesh.Direct) {
	now := p.fleet.loop.Now()
	if d.Answer {
		response, err := duty.DecodeProbeResponse(d.Data)
		if err != nil || duty.ProbePart(response.Target) != d.Lease {
			return
		}
		rep, fresh, known := p.client.HandleResponse(now, d.Seq, response)
		switch {
		case fresh:
			p.fleet.instance.engine.Reported(response.Target, rep)
		case known:
			p.fleet.instance.engine.ProbeAlone(response.Target)
		}
		return
	}
	request, err := duty.DecodeProbeRequest(d.Data)
	if _, holds := p.fleet.node.Holds(d.Lease); err != nil || !holds || duty.ProbePart(request.Target) != d.Lease || p.fleet.instance.engine.Table().Find(request.Target) == nil {
		return // the asker probes itself before long
	}
	answer, probe := p.owner.Request(now, request.Target, duty.Asker[netip.AddrPort]{To: from, Seq: d.Seq})
	if answer != nil {
		p.sendResponse(d.Lease, duty.Asker[netip.AddrPort]{To: from, Seq: d.Seq}, answer)
	}
	if probe {
		p.fleet.instance.engine.ProbeAlone(request.Target)
	}
}

func (p *probes) sendResponse(part string, to duty.Asker[netip.AddrPort], a *duty.ProbeResponse) {
	if text, err := a.Encode(); err == nil {
		p.fleet.node.AnswerAs(to.To, mesh.Direct{Lease: part, Seq: to.Seq, Data: text})
	}
}

// onProbeDone takes the end of an own probe.
func (p *probes) onProbeDone(target string, ok bool, rep balance.Report) {
	list, a := p.owner.Complete(p.fleet.loop.Now(), target, ok, rep)
	for _, to := range list {
		p.sendResponse(duty.ProbePart(target), to, a)
	}
}

// splitProbes tells whether the operators share probes: "probes" among the duties to take.
func splitProbes(duties []string) (base []string, probes bool) {
	base = slices.DeleteFunc(slices.Clone(duties), func(d string) bool { return d == duty.Probes })
	return base, len(base) < len(duties)
}
