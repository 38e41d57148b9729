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
	f      *fleet
	take   bool // this process may own parts
	owner  *duty.ProbeOwner[netip.AddrPort]
	client *duty.ProbeClient
	timer  poll.Timer // until the members have not changed for settleAfter
}

func newProbes(f *fleet, take bool) *probes {
	p := &probes{f: f, take: take, owner: duty.NewProbeOwner[netip.AddrPort](), client: duty.NewProbeClient(f.session)}
	f.i.engine.ShareProbes(p.ask, p.probed)
	return p
}

// settleAfter is how long the members must not have changed: while hundreds join, each is first of the few that it knows, and
// all would claim all parts.
const settleAfter = 2 * time.Second

// members takes a change of who lives.
func (p *probes) members([]peers.Member) {
	if p.take {
		p.timer.Fire = p.choose
		p.f.loop.After(&p.timer, settleAfter)
	}
}

// choose chooses the parts to claim, by who lives.
func (p *probes) choose() {
	list := p.f.node.Members()
	p.f.parts = duty.ProbePartsOf(p.f.node.Peers().Me().Session, list)
	p.f.claim()
}

// ask has the owner of a target's part report on it.
func (p *probes) ask(target string) bool {
	part := duty.ProbePart(target)
	at, ok := p.f.node.Owner(part)
	if !ok {
		return false
	}
	text, err := (&duty.ProbeRequest{Target: target}).Encode()
	if err != nil {
		return false
	}
	seq, late := p.client.Begin(p.f.loop.Now(), target)
	p.f.node.AskOwner(at, mesh.Direct{Lease: part, Seq: seq, Data: text})
	t := &poll.Timer{}
	t.Fire = func() {
		if p.client.Expire(target, seq) {
			p.f.i.engine.ProbeDirectly(target)
		}
	}
	p.f.loop.Arm(t, late)
	return true
}

// direct takes a question to this process, or an owner's answer.
func (p *probes) direct(from netip.AddrPort, d *mesh.Direct) {
	now := p.f.loop.Now()
	if d.Answer {
		a, err := duty.DecodeProbeResponse(d.Data)
		if err != nil || duty.ProbePart(a.Target) != d.Lease {
			return
		}
		rep, fresh, known := p.client.HandleResponse(now, d.Seq, a)
		switch {
		case fresh:
			p.f.i.engine.PeerReported(a.Target, rep)
		case known:
			p.f.i.engine.ProbeDirectly(a.Target)
		}
		return
	}
	q, err := duty.DecodeProbeRequest(d.Data)
	if _, holds := p.f.node.Holds(d.Lease); err != nil || !holds || duty.ProbePart(q.Target) != d.Lease || p.f.i.engine.Table().Find(q.Target) == nil {
		return // the asker probes itself before long
	}
	answer, probe := p.owner.Request(now, q.Target, duty.Asker[netip.AddrPort]{To: from, Seq: d.Seq})
	if answer != nil {
		p.answer(d.Lease, duty.Asker[netip.AddrPort]{To: from, Seq: d.Seq}, answer)
	}
	if probe {
		p.f.i.engine.ProbeDirectly(q.Target)
	}
}

func (p *probes) answer(part string, to duty.Asker[netip.AddrPort], a *duty.ProbeResponse) {
	if text, err := a.Encode(); err == nil {
		p.f.node.AnswerAs(to.To, mesh.Direct{Lease: part, Seq: to.Seq, Data: text})
	}
}

// probed takes the end of an own probe.
func (p *probes) probed(target string, ok bool, rep balance.Report) {
	list, a := p.owner.Complete(p.f.loop.Now(), target, ok, rep)
	for _, to := range list {
		p.answer(duty.ProbePart(target), to, a)
	}
}

// shares tells whether the operators share probes: "probes" among the duties to take.
func shares(duties []string) (base []string, probes bool) {
	base = slices.DeleteFunc(slices.Clone(duties), func(d string) bool { return d == duty.Probes })
	return base, len(base) < len(duties)
}
