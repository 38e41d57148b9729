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

// probes shares the probing of targets. The targets are divided into parts, and the owner of a part
// probes its targets on behalf of the processes that request it.
type probes struct {
	fleet       *fleet
	mayOwn      bool // this process claims parts; false: it only asks their owners
	owner       *duty.ProbeOwner[netip.AddrPort]
	client      *duty.ProbeClient
	settleTimer poll.Timer // fires when the members have not changed for settleAfter
}

func newProbes(f *fleet, mayOwn bool) *probes {
	p := &probes{fleet: f, mayOwn: mayOwn, owner: duty.NewProbeOwner[netip.AddrPort](), client: duty.NewProbeClient(f.session)}
	f.instance.engine.ShareProbes(p.requestProbe, p.onProbeDone)
	return p
}

// settleAfter is how long the membership must stay unchanged before parts are chosen. While
// hundreds of processes join, each one is the first of the few members that it knows, and all would
// claim all parts.
const settleAfter = 2 * time.Second

// onMembersChanged handles a change of the live members.
func (p *probes) onMembersChanged([]peers.Member) {
	if p.mayOwn {
		p.settleTimer.Fire = p.chooseParts
		p.fleet.loop.After(&p.settleTimer, settleAfter)
	}
}

// chooseParts chooses the parts to claim from the live members.
func (p *probes) chooseParts() {
	list := p.fleet.node.Members()
	p.fleet.probeParts = duty.ProbePartsOf(p.fleet.node.Peers().Self().Session, list)
	p.fleet.claimDuties()
}

// requestProbe requests a report on a target from the owner of its part. It returns false if there
// is no owner to ask.
func (p *probes) requestProbe(targetID string) bool {
	part := duty.ProbePart(targetID)
	at, ok := p.fleet.node.OwnerAddr(part)
	if !ok {
		return false
	}
	text, err := (&duty.ProbeRequest{Target: targetID}).Encode()
	if err != nil {
		return false
	}
	seq, late := p.client.BeginRequest(p.fleet.loop.Now(), targetID)
	p.fleet.node.SendOwnerRequest(at, mesh.OwnerMessage{Lease: part, Seq: seq, Data: text})
	t := &poll.Timer{}
	t.Fire = func() {
		if p.client.Expire(targetID, seq) {
			p.fleet.instance.engine.ProbeDirectly(targetID)
		}
	}
	p.fleet.loop.Arm(t, late)
	return true
}

// handleDirect handles a request to this process as an owner, or an owner's response.
func (p *probes) handleDirect(from netip.AddrPort, d *mesh.OwnerMessage) {
	now := p.fleet.loop.Now()
	if d.IsResponse {
		response, err := duty.DecodeProbeResponse(d.Data)
		if err != nil || duty.ProbePart(response.Target) != d.Lease {
			return
		}
		rep, fresh, known := p.client.HandleResponse(now, d.Seq, response)
		switch {
		case fresh:
			p.fleet.instance.engine.PeerReported(response.Target, rep)
		case known:
			p.fleet.instance.engine.ProbeDirectly(response.Target)
		}
		return
	}
	request, err := duty.DecodeProbeRequest(d.Data)
	if _, holds := p.fleet.node.Holds(d.Lease); err != nil || !holds || duty.ProbePart(request.Target) != d.Lease || p.fleet.instance.engine.Table().Find(request.Target) == nil {
		return // the requester times out and probes the target itself
	}
	answer, probe := p.owner.Request(now, request.Target, duty.Requester[netip.AddrPort]{To: from, Seq: d.Seq})
	if answer != nil {
		p.sendResponse(d.Lease, duty.Requester[netip.AddrPort]{To: from, Seq: d.Seq}, answer)
	}
	if probe {
		p.fleet.instance.engine.ProbeDirectly(request.Target)
	}
}

func (p *probes) sendResponse(part string, to duty.Requester[netip.AddrPort], a *duty.ProbeResponse) {
	if text, err := a.Encode(); err == nil {
		p.fleet.node.SendOwnerResponse(to.To, mesh.OwnerMessage{Lease: part, Seq: to.Seq, Data: text})
	}
}

// onProbeDone handles the end of a probe that this process made.
func (p *probes) onProbeDone(target string, ok bool, rep balance.Report) {
	list, a := p.owner.Complete(p.fleet.loop.Now(), target, ok, rep)
	for _, to := range list {
		p.sendResponse(duty.ProbePart(target), to, a)
	}
}

// splitProbes reports whether probes are shared, that is whether the duties contain "probes", and
// returns the other duties.
func splitProbes(duties []string) (base []string, probes bool) {
	base = slices.DeleteFunc(slices.Clone(duties), func(d string) bool { return d == duty.Probes })
	return base, len(base) < len(duties)
}
