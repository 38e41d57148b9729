package fleet

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
)

// RelayConfig is what a relay is made of.
type RelayConfig struct {
	ID                string
	Site              string
	Kind              string
	Machine           MachineConfig
	Classes           []Class
	Reports           ReportConfig
	TypicalLoad       float64                                  // load of a usual connection, in standard cores
	GroupCost         float64                                  // usual loads that it pays for each group
	MaxConnections    int                                      // connections that it holds; 0: without limit
	MaxBacklog        time.Duration                            // work that may pile up before it drops connections; 0: without end
	ErrorFraction     float64                                  // part of the connections that it answers with an error
	DrainFailsProbes  bool                                     // it answers probes with an error while it drains
	Seed              uint64                                   // of the clients' loads
	SiteOf            func(proxy netip.Addr) string            // empty: unknown
	CostlyConnections func(class string) (part, times float64) // costly connections at present; nil: none
}

// Relay is one egress target: it takes connections, answers their lines as late as its machine is busy, and tells of
// its load when asked. One value is one life of its process.
type Relay struct {
	c        RelayConfig
	loop     *poll.Loop
	rng      *rand.Rand
	ledger   *Ledger
	machine  *Machine
	listener *poll.Listener
	sessions []*relaySession
	groups   map[string]int // connections of each
	standing int
	failing  float64
	draining bool
	silent   bool // it reads nothing and says nothing
	fell     bool
	setups   int       // since the last report
	behind   time.Time // see Behind
	report   string
	scratch  []byte
	tick     poll.Timer
	reporter poll.Timer
	OnCrash  func() // called when it falls over
}

// relayTick is how often a relay looks whether too much is piled up.
const relayTick = 50 * time.Millisecond

// NewRelay starts a relay at an address.
func NewRelay(loop *poll.Loop, at netip.AddrPort, c RelayConfig, rng *rand.Rand, ledger *Ledger) (*Relay, error) {
	r := &Relay{
		c: c, loop: loop, rng: rng, ledger: ledger, machine: NewMachine(loop.Now(), c.Machine),
		groups: make(map[string]int), scratch: make([]byte, 16<<10),
	}
	r.tick.Fire = r.look
	r.reporter.Fire = r.measure
	var err error
	if r.listener, err = loop.Listen(at, r.accept); err != nil {
		return nil, err
	}
	r.report = r.figures()
	loop.After(&r.tick, relayTick)
	loop.After(&r.reporter, c.Reports.Period.Draw(rng))
	return r, nil
}

// Machine is what it computes with.
func (r *Relay) Machine() *Machine { return r.machine }

// LastSlowSetUp is when it last kept a client waiting for a third of the time within which the class wants to be set up: who has a first
// attempt in that time is right to call it slow. Zero: never.
func (r *Relay) LastSlowSetUp() time.Time { return r.behind }

// ConnectionCount is how many connections it holds.
func (r *Relay) ConnectionCount() int { return r.standing }

// Drain has it take nothing new.
func (r *Relay) Drain() { r.draining = true }

// SetErrorFraction has it answer a part of the requests with an error at once, 0 to 1, while all else about it looks well.
func (r *Relay) SetErrorFraction(part float64) { r.failing = part }

// SetSilent has it read and say nothing any more, or go on. It plays a machine that vanished where none can be made to.
func (r *Relay) SetSilent(on bool) {
	r.silent = on
	for _, s := range r.sessions {
		s.want()
	}
}

// Stop ends it: its connections are reset.
func (r *Relay) Stop() {
	r.listener.Close()
	r.loop.Disarm(&r.tick)
	r.loop.Disarm(&r.reporter)
	for len(r.sessions) > 0 {
		s := r.sessions[len(r.sessions)-1]
		s.sock.Reset()
		s.forget()
	}
}

func (r *Relay) look() {
	r.loop.After(&r.tick, relayTick)
	now := r.loop.Now()
	if r.machine.ColdOverload(now) && !r.fell {
		r.fell = true
		r.ledger.broken("cold-relay-pushed-over", "relay %s: asked for %.2f cores at %.2f of its capacity of %.2f",
			r.c.ID, r.machine.OfferedLoad(), r.machine.WarmFraction(now), r.machine.Capacity(now))
		if r.OnCrash != nil {
			r.OnCrash()
			return
		}
	}
	if r.c.MaxBacklog > 0 && r.machine.BacklogTime(now) > r.c.MaxBacklog && !r.silent {
		r.dropHeaviest()
	}
}

// dropHeaviest cuts off the connection that costs most: too much is piled up.
func (r *Relay) dropHeaviest() {
	var worst *relaySession
	for _, s := range r.sessions {
		if s.up && (worst == nil || s.load > worst.load) {
			worst = s
		}
	}
	if worst != nil {
		worst.sock.Reset()
		worst.forget()
	}
}

// measure makes a report, which can be read a little later.
func (r *Relay) measure() {
	text := r.figures()
	r.setups = 0
	t := &poll.Timer{Fire: func() { r.report = text }}
	r.loop.After(t, r.c.Reports.Delay.Draw(r.rng))
	r.loop.After(&r.reporter, r.c.Reports.Period.Draw(r.rng))
}

func (r *Relay) figures() string {
	load := r.machine.Utilization(r.loop.Now())
	noisy := func(v float64) float64 { return max(v*(1+r.c.Reports.Noise*r.rng.NormFloat64()), 0) }
	period := (r.c.Reports.Period.From + r.c.Reports.Period.To) / 2
	rate := 0.0
	if period > 0 {
		rate = float64(r.setups) / period.Seconds()
	}
	return fmt.Sprintf("util=%.3f,x0=%.3f,qps=%.2f", noisy(min(load, 1)), noisy(load), noisy(rate))
}

func (r *Relay) accept(sock *poll.Socket, last bool) poll.Handler {
	s := &relaySession{r: r, sock: sock, pos: len(r.sessions)}
	s.timer.Fire = s.due
	r.sessions = append(r.sessions, s)
	if last {
		sock.Close()
		s.forget()
		return s
	}
	if r.silent {
		sock.Want(false, false)
	}
	return s
}

// relaySession is one connection at a relay.
type relaySession struct {
	r      *Relay
	sock   *poll.Socket
	pos    int
	rest   []byte // a line that has not ended, and what waits to be written
	out    []byte
	open   line.Open
	class  int
	asked  bool // its first line is there
	up     bool
	gone   bool    // it was forgotten
	base   float64 // its own mean load
	load   float64
	change time.Time   // of its load
	late   bool        // it can't be set up in time: refused at the end of that
	answer []time.Time // when its lines are to be answered
	timer  poll.Timer
}

func (s *relaySession) want() { s.sock.Want(!s.r.silent, len(s.out) > 0) }

func (s *relaySession) Ready(e poll.Ready) {
	if s.gone || s.r.silent && !e.Hangup {
		return
	}
	if e.Write && len(s.out) > 0 {
		n, err := s.sock.Write(s.out)
		if err != nil {
			s.end()
			return
		}
		s.out = s.out[:copy(s.out, s.out[n:])]
		s.want()
	}
	if !e.Read {
		return
	}
	scratch := s.r.scratch
	held := copy(scratch, s.rest)
	n, err := s.sock.Read(scratch[held:])
	switch {
	case errors.Is(err, poll.ErrAgain):
		return
	case errors.Is(err, io.EOF) && s.up:
		_ = s.say("BYE\r\n") // a far end that is gone hears nothing
		s.end()
		return
	case err != nil:
		s.end()
		return
	}
	whole, rest, err := line.SplitComplete(scratch[:held+n])
	if err != nil {
		s.end()
		return
	}
	s.rest = append(s.rest[:0], rest...)
	for len(whole) > 0 && !s.gone {
		var first []byte
		first, whole = line.Next(whole)
		s.line(line.TrimLineEnd(first))
	}
}

func (s *relaySession) line(text []byte) {
	r := s.r
	now := r.loop.Now()
	switch {
	case s.up:
		s.answer = append(s.answer, now.Add(r.machine.Delay(now, r.rng)))
		s.arm()
	case s.asked:
		s.refuse("ERR\r\n")
	case string(text) == "PING" || string(text) == "STATS":
		r.machine.AddWork(now, r.c.Reports.ProbeWork.Draw(r.rng).Seconds())
		r.ledger.Counts.Probes++
		switch {
		case r.draining && r.c.DrainFailsProbes:
			s.refuse("ERR\r\n")
		case string(text) == "PING":
			_ = s.say("PONG\r\n")
		default:
			_ = s.say("PONG " + r.report + "\r\n")
		}
	default:
		s.first(text)
	}
}

// first takes the line that asks for a connection.
func (s *relaySession) first(text []byte) {
	r := s.r
	now := r.loop.Now()
	o, err := line.ParseOpen(text)
	if err != nil {
		r.ledger.broken("syntax", "relay %s got %q as a first line", r.c.ID, text)
		s.refuse("SYNTAX\r\n")
		return
	}
	s.asked, s.open, s.class = true, o, 0
	if r.c.SiteOf != nil {
		if from := r.c.SiteOf(s.sock.RemoteAddr().Addr()); from != "" && from != r.c.Site {
			r.ledger.Counts.Crossing++
		}
	}
	for i := range r.c.Classes {
		if r.c.Classes[i].Name == o.Class {
			s.class = i
		}
	}
	c := &r.c.Classes[s.class]
	work := c.SetUpWork.Draw(r.rng).Seconds()
	if r.machine.BacklogTime(now) > c.SetUpTarget/3 {
		r.behind = now
	}
	until := now.Add(o.Wait)
	switch ready := now.Add(r.machine.BacklogTime(now) + seconds(work/r.machine.speed*r.machine.slow)); {
	case r.draining || r.c.MaxConnections > 0 && r.standing >= r.c.MaxConnections:
		s.refuse("BUSY\r\n")
	case r.rng.Float64() < max(r.c.ErrorFraction, r.failing):
		if r.failing > 0 {
			r.ledger.Counts.FaultErrors++
		}
		s.refuse("ERR\r\n")
	case ready.After(until): // it is behind by more than the client waits
		s.late = true
		r.loop.Arm(&s.timer, until)
	default:
		r.machine.AddWork(now, work)
		r.setups++
		r.loop.Arm(&s.timer, ready)
	}
}

// due is called by the timer: the connection is set up or given up, a line's answer is due, or the load changes.
func (s *relaySession) due() {
	r := s.r
	if s.gone || r.silent {
		return
	}
	now := r.loop.Now()
	switch {
	case s.late:
		s.refuse("BUSY\r\n")
	case !s.up:
		s.stand()
	default:
		if !s.change.After(now) {
			s.vary()
		}
		for len(s.answer) > 0 && !s.answer[0].After(now) && !s.gone {
			s.answer = s.answer[1:]
			if s.say("seen\r\n") != nil {
				s.end()
			}
		}
		if len(s.answer) == 0 {
			s.answer = nil
		}
	}
	if !s.gone && s.up {
		s.arm()
	}
}

func (s *relaySession) arm() {
	at := s.change
	if len(s.answer) > 0 && s.answer[0].Before(at) {
		at = s.answer[0]
	}
	s.r.loop.Arm(&s.timer, at)
}

func (s *relaySession) stand() {
	r := s.r
	now := r.loop.Now()
	c := &r.c.Classes[s.class]
	// A client's load is its own, wherever it goes: two runs with one seed compare the same loads.
	own := rand.New(rand.NewPCG(r.c.Seed, xxhash.Sum64String(s.open.Key)))
	s.base = r.c.TypicalLoad * c.LoadFactor * math.Exp(c.LoadSigma*own.NormFloat64()-c.LoadSigma*c.LoadSigma/2)
	if r.c.CostlyConnections != nil {
		if part, times := r.c.CostlyConnections(c.Name); part > 0 && own.Float64() < part {
			s.base *= times
		}
	}
	s.load = s.base
	r.machine.AddLoad(now, s.load)
	s.up = true
	r.standing++
	if g := s.open.Group; g != "" {
		if r.groups[g]++; r.groups[g] == 1 {
			r.machine.AddLoad(now, r.c.GroupCost*r.c.TypicalLoad)
		}
	}
	s.change = now.Add(c.ChangeInterval.Draw(r.rng))
	if s.say("UP "+s.open.ID+"\r\n") != nil {
		s.end()
		return
	}
	s.tell()
}

// vary changes the connection's load.
func (s *relaySession) vary() {
	r := s.r
	now := r.loop.Now()
	c := &r.c.Classes[s.class]
	load := s.base * math.Exp(c.ChangeSigma*r.rng.NormFloat64()-c.ChangeSigma*c.ChangeSigma/2)
	r.machine.AddLoad(now, load-s.load)
	s.load = load
	s.change = now.Add(c.ChangeInterval.Draw(r.rng))
	s.tell()
}

// tell reports the connection's load, in microseconds of work a second.
func (s *relaySession) tell() {
	if s.say(fmt.Sprintf("LOAD %.0f\r\n", s.load*1e6)) != nil {
		s.end()
	}
}

func (s *relaySession) refuse(text string) {
	_ = s.say(text)
	s.end()
}

func (s *relaySession) say(text string) error {
	if s.gone {
		return nil
	}
	if len(s.out) > 0 {
		s.out = append(s.out, text...)
		return nil
	}
	n, err := s.sock.Write([]byte(text))
	if err == nil && n < len(text) {
		s.out = append(s.out, text[n:]...)
		s.want()
	}
	return err
}

func (s *relaySession) end() {
	if !s.gone {
		s.sock.Close()
		s.forget()
	}
}

// forget gives back what the session holds of its relay.
func (s *relaySession) forget() {
	if s.gone {
		return
	}
	s.gone = true
	r := s.r
	now := r.loop.Now()
	r.loop.Disarm(&s.timer)
	if s.up {
		r.standing--
		r.machine.AddLoad(now, -s.load)
		if g := s.open.Group; g != "" {
			if r.groups[g]--; r.groups[g] == 0 {
				delete(r.groups, g)
				r.machine.AddLoad(now, -r.c.GroupCost*r.c.TypicalLoad)
			}
		}
	}
	last := len(r.sessions) - 1
	r.sessions[s.pos] = r.sessions[last]
	r.sessions[s.pos].pos = s.pos
	r.sessions[last] = nil
	r.sessions = r.sessions[:last]
}
