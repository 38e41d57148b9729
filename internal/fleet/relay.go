package fleet

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
)

// RelayConfig describes a relay.
type RelayConfig struct {
	ID               string
	Site             string
	Kind             string
	Machine          MachineConfig
	Classes          []Class
	Reports          ReportConfig
	TypicalLoad      float64                       // of a connection, in standard cores
	GroupCost        float64                       // of each group present, in typical loads
	MaxConnections   int                           // 0: no limit
	MaxBacklog       time.Duration                 // connections are dropped above it; 0: no limit
	ErrorFraction    float64                       // requests that are answered with an error
	DrainFailsProbes bool                          // draining answers probes with an error
	Seed             uint64                        // of the connections' own loads
	SiteOf           func(proxy netip.Addr) string // "" if unknown; nil: none is known
	// CostlyConnections returns the fraction of a class's connections that are costly at present,
	// and the multiple of their usual load that these have. nil: none are.
	CostlyConnections func(class string) (fraction, factor float64)
}

// Relay emulates one server: it accepts connections, answers their messages after a delay that
// depends on its machine's load, and reports its load when probed. One value is one run of its
// process.
type Relay struct {
	config            RelayConfig
	loop              *poll.Loop
	rng               *rand.Rand
	ledger            *Ledger
	machine           *Machine
	listener          *poll.Listener
	sessions          []*relaySession
	groupConnections  map[string]int // number of connections of each group
	connectionCount   int
	errorFraction     float64
	draining          bool
	silent            bool // it neither reads nor writes
	crashed           bool
	setUpsSinceReport int       // connections whose set-up began since the last report
	lastSlowSetUp     time.Time // see LastSlowSetUp
	report            string
	scratch           []byte
	overloadTimer     poll.Timer
	reportTimer       poll.Timer
	OnCrash           func() // called when the relay crashes; may be nil
}

// overloadCheckInterval is the time between two checks for overload and for a backlog above the
// limit.
const overloadCheckInterval = 50 * time.Millisecond

// NewRelay starts a relay at an address.
func NewRelay(loop *poll.Loop, at netip.AddrPort, c RelayConfig, rng *rand.Rand, ledger *Ledger) (*Relay, error) {
	r := &Relay{
		config: c, loop: loop, rng: rng, ledger: ledger, machine: NewMachine(loop.Now(), c.Machine),
		groupConnections: make(map[string]int), scratch: make([]byte, 16<<10),
	}
	r.overloadTimer.Fire = r.checkOverload
	r.reportTimer.Fire = r.publishReport
	var err error
	if r.listener, err = loop.Listen(at, r.accept); err != nil {
		return nil, err
	}
	r.report = r.formatReport()
	loop.After(&r.overloadTimer, overloadCheckInterval)
	loop.After(&r.reportTimer, c.Reports.Period.Draw(rng))
	return r, nil
}

// Machine returns the model of the relay's machine.
func (r *Relay) Machine() *Machine { return r.machine }

// LastSlowSetUp returns the time of the last request that arrived while the backlog took longer
// than a third of the class's SetUpTarget, or zero if there was none. A proxy that allows a first
// attempt that third is right to judge the relay slow.
func (r *Relay) LastSlowSetUp() time.Time { return r.lastSlowSetUp }

// ConnectionCount returns the number of established connections.
func (r *Relay) ConnectionCount() int { return r.connectionCount }

// Drain makes the relay answer new requests with BUSY.
func (r *Relay) Drain() { r.draining = true }

// SetErrorFraction sets the fraction of the requests, 0 to 1, that the relay answers with an error
// at once. Nothing else about the relay shows that it fails.
func (r *Relay) SetErrorFraction(fraction float64) { r.errorFraction = fraction }

// MaxSilentConnection is the time within which a proxy must end or move a connection on which a
// running relay returns nothing.
const MaxSilentConnection = 7*time.Second + 50*time.Millisecond

const (
	messageAnswer = "seen\r\n" // to a client's line
	// maxOutputBeforeCut is above the length of a few lines, so that a cut falls anywhere in them.
	maxOutputBeforeCut = 48 // bytes
)

// SetSilent makes the relay stop reading and writing, or resume. It stands for a machine that
// vanished, where the network cannot emulate that.
func (r *Relay) SetSilent(on bool) {
	r.silent = on
	for _, s := range r.sessions {
		s.updateInterest()
	}
}

// CutOutput makes the relay stop answering on a fraction of its established connections, 0 to 1,
// after any byte of what it writes there next. It goes on to read, and to serve other connections.
func (r *Relay) CutOutput(fraction float64) {
	for _, s := range r.sessions {
		if s.established && !s.outputLimited && r.rng.Float64() < fraction {
			s.outputLimited, s.outputLeft = true, r.rng.IntN(maxOutputBeforeCut)
		}
	}
}

// Stop closes the listener and resets all connections.
func (r *Relay) Stop() {
	r.listener.Close()
	r.loop.Disarm(&r.overloadTimer)
	r.loop.Disarm(&r.reportTimer)
	for len(r.sessions) > 0 {
		s := r.sessions[len(r.sessions)-1]
		s.sock.Reset()
		s.remove()
	}
}

func (r *Relay) checkOverload() {
	r.loop.After(&r.overloadTimer, overloadCheckInterval)
	now := r.loop.Now()
	if r.machine.ColdOverload(now) && !r.crashed {
		r.crashed = true
		r.ledger.reportViolation("cold-relay-pushed-over", "cold relay %s overloaded: load of %.2f cores at a warm fraction of %.2f and a capacity of %.2f cores",
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

// dropHeaviest resets the established connection with the highest load.
func (r *Relay) dropHeaviest() {
	var heaviest *relaySession
	for _, s := range r.sessions {
		if s.established && (heaviest == nil || s.load > heaviest.load) {
			heaviest = s
		}
	}
	if heaviest != nil {
		heaviest.sock.Reset()
		heaviest.remove()
	}
}

// publishReport takes a report, which can be read after the report delay.
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
	partialLine      []byte // received start of a line that is not complete
	output           []byte // waits to be written
	request          line.Open
	class            int
	requested        bool // its OPEN line was received
	established      bool
	closed           bool    // it was removed from the relay
	baseLoad         float64 // mean load of this connection
	load             float64
	nextLoadChange   time.Time   // time of the load's next change
	refuseAtDeadline bool        // it cannot be set up by the client's deadline and gets BUSY then
	answerTimes      []time.Time // when its pending messages are to be answered, in order
	outputLimited    bool        // only outputLeft more bytes are written, see CutOutput
	outputLeft       int
	silentSince      time.Time // when it first failed to answer a line; zero: it has answered all
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
	case errors.Is(err, io.EOF) && s.established:
		_ = s.write("BYE\r\n") // the connection is closed whether the client gets BYE or not
		s.close()
		return
	case err != nil:
		s.close()
		return
	}
	lines, rest, err := line.SplitComplete(scratch[:held+n])
	if err != nil {
		s.close()
		return
	}
	s.partialLine = append(s.partialLine[:0], rest...)
	for len(lines) > 0 && !s.closed {
		var first []byte
		first, lines = line.Next(lines)
		s.handleLine(line.TrimLineEnd(first))
	}
}

func (s *relaySession) handleLine(text []byte) {
	r := s.relay
	now := r.loop.Now()
	switch {
	case s.established:
		if s.outputLimited && r.rng.IntN(2) == 0 {
			s.changeLoad() // the connection's load changes with the client's work
		}
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

// handleOpen handles the line that asks for a connection.
func (s *relaySession) handleOpen(text []byte) {
	r := s.relay
	now := r.loop.Now()
	request, err := line.ParseOpen(text)
	if err != nil {
		r.ledger.reportViolation("syntax", "relay %s received %q, want a valid OPEN line", r.config.ID, text)
		s.refuse("SYNTAX\r\n")
		return
	}
	s.requested, s.request, s.class = true, request, 0
	if request.CurrentTarget == r.config.ID { // the relay holds it already
		s.class = max(slices.IndexFunc(r.config.Classes, func(c Class) bool { return c.Name == request.Class }), 0)
		s.establish()
		s.armTimer()
		return
	}
	if r.config.SiteOf != nil {
		if proxySite := r.config.SiteOf(s.sock.RemoteAddr().Addr()); proxySite != "" && proxySite != r.config.Site {
			r.ledger.Counts.Crossing++
		}
	}
	for i := range r.config.Classes {
		if r.config.Classes[i].Name == request.Class {
			s.class = i
		}
	}
	c := &r.config.Classes[s.class]
	work := c.SetUpWork.Draw(r.rng).Seconds()
	if r.machine.BacklogTime(now) > c.SetUpTarget/3 {
		r.lastSlowSetUp = now
	}
	deadline := now.Add(request.MaxWait)
	switch ready := now.Add(r.machine.BacklogTime(now) + seconds(work/r.machine.speed*r.machine.slowdown)); {
	case r.draining || r.config.MaxConnections > 0 && r.connectionCount >= r.config.MaxConnections:
		s.refuse("BUSY\r\n")
	case r.rng.Float64() < max(r.config.ErrorFraction, r.errorFraction):
		if r.errorFraction > 0 {
			r.ledger.Counts.FaultErrors++
		}
		s.refuse("ERR\r\n")
	case ready.After(deadline): // the backlog takes longer than the client waits
		s.refuseAtDeadline = true
		r.loop.Arm(&s.timer, deadline)
	default:
		r.machine.AddWork(now, work)
		r.setUpsSinceReport++
		r.loop.Arm(&s.timer, ready)
	}
}

// onTimer sets the connection up or refuses it, or, once it is established, sends the answers that
// are due and changes its load.
func (s *relaySession) onTimer() {
	r := s.relay
	if s.closed || r.silent {
		return
	}
	now := r.loop.Now()
	switch {
	case s.refuseAtDeadline:
		s.refuse("BUSY\r\n")
	case !s.established:
		s.establish()
	default:
		if !s.nextLoadChange.After(now) {
			s.changeLoad()
		}
		for len(s.answerTimes) > 0 && !s.answerTimes[0].After(now) && !s.closed {
			s.answerTimes = s.answerTimes[1:]
			if s.outputLimited && s.outputLeft < len(messageAnswer) && s.silentSince.IsZero() {
				s.fallSilent()
			}
			if s.write(messageAnswer) != nil {
				s.close()
			}
		}
		if len(s.answerTimes) == 0 {
			s.answerTimes = nil
		}
	}
	if !s.closed && s.established {
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
	// A client's load depends only on the seed and its key, not on the relay: two runs with the
	// same seed compare the same loads.
	clientRand := rand.New(rand.NewPCG(r.config.Seed, xxhash.Sum64String(s.request.Key)))
	s.baseLoad = r.config.TypicalLoad * c.LoadFactor * math.Exp(c.LoadSigma*clientRand.NormFloat64()-c.LoadSigma*c.LoadSigma/2)
	if r.config.CostlyConnections != nil {
		if fraction, factor := r.config.CostlyConnections(c.Name); fraction > 0 && clientRand.Float64() < fraction {
			s.baseLoad *= factor
		}
	}
	s.load = s.baseLoad
	r.machine.AddLoad(now, s.load)
	s.established = true
	r.connectionCount++
	if g := s.request.AffinityGroup; g != "" {
		if r.groupConnections[g]++; r.groupConnections[g] == 1 {
			r.machine.AddLoad(now, r.config.GroupCost*r.config.TypicalLoad)
		}
	}
	s.nextLoadChange = now.Add(c.ChangeInterval.Draw(r.rng))
	if s.write("UP "+s.request.ID+"\r\n") != nil {
		s.close()
		return
	}
	s.reportLoad()
}

// changeLoad draws the connection's load anew and reports it.
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

// reportLoad reports the connection's load, in microseconds of work per second.
func (s *relaySession) reportLoad() {
	if s.write(fmt.Sprintf("LOAD %.0f\r\n", s.load*1e6)) != nil {
		s.close()
	}
}

func (s *relaySession) refuse(text string) {
	_ = s.write(text)
	s.close()
}

// fallSilent records that a line is not answered for want of outputLeft, and checks that the proxy
// ends or moves the connection in time.
func (s *relaySession) fallSilent() {
	r := s.relay
	s.silentSince = r.loop.Now()
	r.ledger.Counts.SilentLines++
	r.loop.After(&poll.Timer{Fire: func() {
		if !s.closed && !r.silent {
			r.ledger.reportViolation("silent-kept", "%s returned nothing for request %s for %v, and its connection still stands", r.config.ID, s.request.ID, MaxSilentConnection)
		}
	}}, MaxSilentConnection)
}

func (s *relaySession) write(text string) error {
	if s.closed {
		return nil
	}
	if s.outputLimited {
		text = text[:min(len(text), s.outputLeft)]
		s.outputLeft -= len(text)
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

// remove takes the session off the relay's list and releases its load.
func (s *relaySession) remove() {
	if s.closed {
		return
	}
	s.closed = true
	r := s.relay
	now := r.loop.Now()
	r.loop.Disarm(&s.timer)
	if s.established {
		r.connectionCount--
		r.machine.AddLoad(now, -s.load)
		if g := s.request.AffinityGroup; g != "" {
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
