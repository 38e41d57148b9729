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
	config            RelayConfig
	loop              *poll.Loop
	rng               *rand.Rand
	ledger            *Ledger
	machine           *Machine
	listener          *poll.Listener
	sessions          []*relaySession
	groupConnections  map[string]int // connections of each
	connectionCount   int
	errorFraction     float64
	draining          bool
	silent            bool // it reads nothing and says nothing
	crashed           bool
	setUpsSinceReport int       // since the last report
	lastSlowSetUp     time.Time // see Behind
	report            string
	scratch           []byte
	tickTimer         poll.Timer
	reportTimer       poll.Timer
	OnCrash           func() // called when it falls over
}

// overloadCheckInterval is how often a relay looks whether too much is piled up.
const overloadCheckInterval = 50 * time.Millisecond

// NewRelay starts a relay at an address.
func NewRelay(loop *poll.Loop, at netip.AddrPort, c RelayConfig, rng *rand.Rand, ledger *Ledger) (*Relay, error) {
	r := &Relay{
		config: c, loop: loop, rng: rng, ledger: ledger, machine: NewMachine(loop.Now(), c.Machine),
		groupConnections: make(map[string]int), scratch: make([]byte, 16<<10),
	}
	r.tickTimer.Fire = r.checkOverload
	r.reportTimer.Fire = r.publishReport
	var err error
	if r.listener, err = loop.Listen(at, r.accept); err != nil {
		return nil, err
	}
	r.report = r.formatReport()
	loop.After(&r.tickTimer, overloadCheckInterval)
	loop.After(&r.reportTimer, c.Reports.Period.Draw(rng))
	return r, nil
}

// Machine is what it computes with.
func (r *Relay) Machine() *Machine { return r.machine }

// LastSlowSetUp is when it last kept a client waiting for a third of the time within which the class wants to be set up: who has a first
// attempt in that time is right to call it slow. Zero: never.
func (r *Relay) LastSlowSetUp() time.Time { return r.lastSlowSetUp }

// ConnectionCount is how many connections it holds.
func (r *Relay) ConnectionCount() int { return r.connectionCount }

// Drain has it take nothing new.
func (r *Relay) Drain() { r.draining = true }

// SetErrorFraction has it answer a part of the requests with an error at once, 0 to 1, while all else about it looks well.
func (r *Relay) SetErrorFraction(part float64) { r.errorFraction = part }

// SetSilent has it read and say nothing any more, or go on. It plays a machine that vanished where none can be made to.
func (r *Relay) SetSilent(on bool) {
	r.silent = on
	for _, s := range r.sessions {
		s.updateInterest()
	}
}

// Stop ends it: its connections are reset.
func (r *Relay) Stop() {
	r.listener.Close()
	r.loop.Disarm(&r.tickTimer)
	r.loop.Disarm(&r.reportTimer)
	for len(r.sessions) > 0 {
		s := r.sessions[len(r.sessions)-1]
		s.sock.Reset()
		s.remove()
	}
}

func (r *Relay) checkOverload() {
	r.loop.After(&r.tickTimer, overloadCheckInterval)
	now := r.loop.Now()
	if r.machine.ColdOverload(now) && !r.crashed {
		r.crashed = true
		r.ledger.reportViolation("cold-relay-pushed-over", "relay %s: asked for %.2f cores at %.2f of its capacity of %.2f",
			r.config.ID, r.machine.OfferedLoad(), r.machine.WarmFraction(now), r.machine.Capacity(now))
		if r.OnCrash != nil {
			r.OnCrash()
			return
		}
	}
	if r.config.MaxBacklog > 0 && r.machine.BacklogTime(now) > r.config.MaxBacklog && !r.silent {
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
		worst.remove()
	}
}

// publishReport makes a report, which can be read a little later.
func (r *Relay) publishReport() {
	text := r.formatReport()
	r.setUpsSinceReport = 0
	t := &poll.Timer{Fire: func() { r.report = text }}
	r.loop.After(t, r.config.Reports.Delay.Draw(r.rng))
	r.loop.After(&r.reportTimer, r.config.Reports.Period.Draw(r.rng))
}

func (r *Relay) formatReport() string {
	load := r.machine.Utilization(r.loop.Now())
	noisy := func(v float64) float64 { return max(v*(1+r.config.Reports.Noise*r.rng.NormFloat64()), 0) }
	period := (r.config.Reports.Period.From + r.config.Reports.Period.To) / 2
	rate := 0.0
	if period > 0 {
		rate = float64(r.setUpsSinceReport) / period.Seconds()
	}
	return fmt.Sprintf("util=%.3f,x0=%.3f,qps=%.2f", noisy(min(load, 1)), noisy(load), noisy(rate))
}

func (r *Relay) accept(sock *poll.Socket, last bool) poll.Handler {
	s := &relaySession{relay: r, sock: sock, index: len(r.sessions)}
	s.timer.Fire = s.onTimer
	r.sessions = append(r.sessions, s)
	if last {
		sock.Close()
		s.remove()
		return s
	}
	if r.silent {
		sock.Want(false, false)
	}
	return s
}

// relaySession is one connection at a relay.
type relaySession struct {
	relay            *Relay
	sock             *poll.Socket
	index            int
	partialLine      []byte // a line that has not ended, and what waits to be written
	output           []byte
	open             line.Open
	class            int
	requested        bool // its first line is there
	up               bool
	closed           bool    // it was forgotten
	baseLoad         float64 // its own mean load
	load             float64
	nextLoadChange   time.Time   // of its load
	refuseAtDeadline bool        // it can't be set up in time: refused at the end of that
	answerTimes      []time.Time // when its lines are to be answered
	timer            poll.Timer
}

func (s *relaySession) updateInterest() { s.sock.Want(!s.relay.silent, len(s.output) > 0) }

func (s *relaySession) Ready(e poll.Ready) {
	if s.closed || s.relay.silent && !e.Hangup {
		return
	}
	if e.Write && len(s.output) > 0 {
		n, err := s.sock.Write(s.output)
		if err != nil {
			s.close()
			return
		}
		s.output = s.output[:copy(s.output, s.output[n:])]
		s.updateInterest()
	}
	if !e.Read {
		return
	}
	scratch := s.relay.scratch
	held := copy(scratch, s.partialLine)
	n, err := s.sock.Read(scratch[held:])
	switch {
	case errors.Is(err, poll.ErrAgain):
		return
	case errors.Is(err, io.EOF) && s.up:
		_ = s.write("BYE\r\n") // a far end that is gone hears nothing
		s.close()
		return
	case err != nil:
		s.close()
		return
	}
	whole, rest, err := line.SplitComplete(scratch[:held+n])
	if err != nil {
		s.close()
		return
	}
	s.partialLine = append(s.partialLine[:0], rest...)
	for len(whole) > 0 && !s.closed {
		var first []byte
		first, whole = line.Next(whole)
		s.handleLine(line.TrimLineEnd(first))
	}
}

func (s *relaySession) handleLine(text []byte) {
	r := s.relay
	now := r.loop.Now()
	switch {
	case s.up:
		s.answerTimes = append(s.answerTimes, now.Add(r.machine.Delay(now, r.rng)))
		s.armTimer()
	case s.requested:
		s.refuse("ERR\r\n")
	case string(text) == "PING" || string(text) == "STATS":
		r.machine.AddWork(now, r.config.Reports.ProbeWork.Draw(r.rng).Seconds())
		r.ledger.Counts.Probes++
		switch {
		case r.draining && r.config.DrainFailsProbes:
			s.refuse("ERR\r\n")
		case string(text) == "PING":
			_ = s.write("PONG\r\n")
		default:
			_ = s.write("PONG " + r.report + "\r\n")
		}
	default:
		s.handleOpen(text)
	}
}

// handleOpen takes the line that asks for a connection.
func (s *relaySession) handleOpen(text []byte) {
	r := s.relay
	now := r.loop.Now()
	o, err := line.ParseOpen(text)
	if err != nil {
		r.ledger.reportViolation("syntax", "relay %s got %q as a first line", r.config.ID, text)
		s.refuse("SYNTAX\r\n")
		return
	}
	s.requested, s.open, s.class = true, o, 0
	if r.config.SiteOf != nil {
		if from := r.config.SiteOf(s.sock.RemoteAddr().Addr()); from != "" && from != r.config.Site {
			r.ledger.Counts.Crossing++
		}
	}
	for i := range r.config.Classes {
		if r.config.Classes[i].Name == o.Class {
			s.class = i
		}
	}
	c := &r.config.Classes[s.class]
	work := c.SetUpWork.Draw(r.rng).Seconds()
	if r.machine.BacklogTime(now) > c.SetUpTarget/3 {
		r.lastSlowSetUp = now
	}
	until := now.Add(o.Wait)
	switch ready := now.Add(r.machine.BacklogTime(now) + seconds(work/r.machine.speed*r.machine.slowdown)); {
	case r.draining || r.config.MaxConnections > 0 && r.connectionCount >= r.config.MaxConnections:
		s.refuse("BUSY\r\n")
	case r.rng.Float64() < max(r.config.ErrorFraction, r.errorFraction):
		if r.errorFraction > 0 {
			r.ledger.Counts.FaultErrors++
		}
		s.refuse("ERR\r\n")
	case ready.After(until): // it is behind by more than the client waits
		s.refuseAtDeadline = true
		r.loop.Arm(&s.timer, until)
	default:
		r.machine.AddWork(now, work)
		r.setUpsSinceReport++
		r.loop.Arm(&s.timer, ready)
	}
}

// onTimer is called by the timer: the connection is set up or given up, a line's answer is onTimer, or the load changes.
func (s *relaySession) onTimer() {
	r := s.relay
	if s.closed || r.silent {
		return
	}
	now := r.loop.Now()
	switch {
	case s.refuseAtDeadline:
		s.refuse("BUSY\r\n")
	case !s.up:
		s.establish()
	default:
		if !s.nextLoadChange.After(now) {
			s.changeLoad()
		}
		for len(s.answerTimes) > 0 && !s.answerTimes[0].After(now) && !s.closed {
			s.answerTimes = s.answerTimes[1:]
			if s.write("seen\r\n") != nil {
				s.close()
			}
		}
		if len(s.answerTimes) == 0 {
			s.answerTimes = nil
		}
	}
	if !s.closed && s.up {
		s.armTimer()
	}
}

func (s *relaySession) armTimer() {
	at := s.nextLoadChange
	if len(s.answerTimes) > 0 && s.answerTimes[0].Before(at) {
		at = s.answerTimes[0]
	}
	s.relay.loop.Arm(&s.timer, at)
}

func (s *relaySession) establish() {
	r := s.relay
	now := r.loop.Now()
	c := &r.config.Classes[s.class]
	// A client's load is its own, wherever it goes: two runs with one seed compare the same loads.
	own := rand.New(rand.NewPCG(r.config.Seed, xxhash.Sum64String(s.open.Key)))
	s.baseLoad = r.config.TypicalLoad * c.LoadFactor * math.Exp(c.LoadSigma*own.NormFloat64()-c.LoadSigma*c.LoadSigma/2)
	if r.config.CostlyConnections != nil {
		if part, times := r.config.CostlyConnections(c.Name); part > 0 && own.Float64() < part {
			s.baseLoad *= times
		}
	}
	s.load = s.baseLoad
	r.machine.AddLoad(now, s.load)
	s.up = true
	r.connectionCount++
	if g := s.open.Group; g != "" {
		if r.groupConnections[g]++; r.groupConnections[g] == 1 {
			r.machine.AddLoad(now, r.config.GroupCost*r.config.TypicalLoad)
		}
	}
	s.nextLoadChange = now.Add(c.ChangeInterval.Draw(r.rng))
	if s.write("UP "+s.open.ID+"\r\n") != nil {
		s.close()
		return
	}
	s.reportLoad()
}

// changeLoad changes the connection's load.
func (s *relaySession) changeLoad() {
	r := s.relay
	now := r.loop.Now()
	c := &r.config.Classes[s.class]
	load := s.baseLoad * math.Exp(c.ChangeSigma*r.rng.NormFloat64()-c.ChangeSigma*c.ChangeSigma/2)
	r.machine.AddLoad(now, load-s.load)
	s.load = load
	s.nextLoadChange = now.Add(c.ChangeInterval.Draw(r.rng))
	s.reportLoad()
}

// reportLoad reports the connection's load, in microseconds of work a second.
func (s *relaySession) reportLoad() {
	if s.write(fmt.Sprintf("LOAD %.0f\r\n", s.load*1e6)) != nil {
		s.close()
	}
}

func (s *relaySession) refuse(text string) {
	_ = s.write(text)
	s.close()
}

func (s *relaySession) write(text string) error {
	if s.closed {
		return nil
	}
	if len(s.output) > 0 {
		s.output = append(s.output, text...)
		return nil
	}
	n, err := s.sock.Write([]byte(text))
	if err == nil && n < len(text) {
		s.output = append(s.output, text[n:]...)
		s.updateInterest()
	}
	return err
}

func (s *relaySession) close() {
	if !s.closed {
		s.sock.Close()
		s.remove()
	}
}

// remove gives back what the session holds of its relay.
func (s *relaySession) remove() {
	if s.closed {
		return
	}
	s.closed = true
	r := s.relay
	now := r.loop.Now()
	r.loop.Disarm(&s.timer)
	if s.up {
		r.connectionCount--
		r.machine.AddLoad(now, -s.load)
		if g := s.open.Group; g != "" {
			if r.groupConnections[g]--; r.groupConnections[g] == 0 {
				delete(r.groupConnections, g)
				r.machine.AddLoad(now, -r.config.GroupCost*r.config.TypicalLoad)
			}
		}
	}
	last := len(r.sessions) - 1
	r.sessions[s.index] = r.sessions[last]
	r.sessions[s.index].index = s.index
	r.sessions[last] = nil
	r.sessions = r.sessions[:last]
}
