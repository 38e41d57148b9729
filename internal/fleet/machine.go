package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Machine models the computing capacity of a relay: cores that start cold, may be slowed down or
// partly taken by another program, the load of the established connections, and the backlog of
// work. It has no clock and does no I/O: each call passes the time, which must not run backwards.
//
// Work is measured in seconds of a standard core, load in such seconds per second.
type Machine struct {
	cores       int
	speed       float64 // of one core; a standard core has 1
	messageWork float64 // work of an average message
	started     time.Time
	coldFrom    float64
	warmUp      time.Duration // time from the start to full capacity; 0: warm from the start

	slowdown       float64 // divisor of the capacity, at least 1
	neighbourShare float64 // fraction of the machine that another program takes
	load           float64
	backlog        float64
	updatedAt      time.Time

	overloadMultiple float64
	overloadTime     time.Duration
	overloadedSince  time.Time // start of the present cold overload; zero: none
}

// MachineConfig describes a Machine.
type MachineConfig struct {
	Cores        int
	Speed        float64
	MessageWork  float64       // work of an average message, in seconds of a standard core
	ColdFrom     float64       // fraction of its capacity that the machine has when it starts
	WarmUp       time.Duration // time from the start to full capacity; 0: warm from the start
	FallMultiple float64       // multiple of the present capacity that overloads it while cold
	FallWithin   time.Duration // it crashes when overloaded for this long while cold; 0: never
}

// NewMachine returns a machine that starts now.
func NewMachine(now time.Time, c MachineConfig) *Machine {
	return &Machine{
		cores: c.Cores, speed: c.Speed, messageWork: c.MessageWork, started: now, coldFrom: c.ColdFrom, warmUp: c.WarmUp,
		slowdown: 1, updatedAt: now, overloadMultiple: c.FallMultiple, overloadTime: c.FallWithin,
	}
}

// WarmFraction returns the fraction of its capacity, 0 to 1, that the machine has by its age.
func (m *Machine) WarmFraction(now time.Time) float64 {
	age := now.Sub(m.started)
	if age >= m.warmUp {
		return 1
	}
	return m.coldFrom + (1-m.coldFrom)*float64(age)/float64(m.warmUp)
}

// Capacity returns the present capacity, in standard cores.
func (m *Machine) Capacity(now time.Time) float64 {
	return float64(m.cores) * m.speed * m.WarmFraction(now) / m.slowdown * (1 - m.neighbourShare)
}

// advance updates the backlog to the present time. It uses the capacity in the middle of the step
// as the step's mean, since capacity changes slowly within a step.
func (m *Machine) advance(now time.Time) {
	elapsed := now.Sub(m.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	middle := m.updatedAt.Add(now.Sub(m.updatedAt) / 2)
	m.backlog = max(m.backlog+(m.load-m.Capacity(middle))*elapsed, 0)
	m.updatedAt = now
}

// AddLoad adds to the load of the connections; a connection that ends adds a negative load.
func (m *Machine) AddLoad(now time.Time, load float64) {
	m.advance(now)
	m.load = max(m.load+load, 0)
	if m.load < 1e-9 {
		m.load = 0 // rounding errors of floating-point sums must not count as load
	}
}

// AddWork adds work that is done once, such as setting up a connection or answering a probe.
func (m *Machine) AddWork(now time.Time, work float64) {
	m.advance(now)
	m.backlog += work
}

// SetSlowdown makes the machine slower than usual by the given factor; 1 is the usual speed.
func (m *Machine) SetSlowdown(now time.Time, factor float64) {
	m.advance(now)
	m.slowdown = max(factor, 1)
}

// SetNeighbourShare sets the fraction of the machine, 0 to 0.95, that another program takes.
func (m *Machine) SetNeighbourShare(now time.Time, share float64) {
	m.advance(now)
	m.neighbourShare = min(max(share, 0), 0.95)
}

// Utilization returns the load over the present capacity. It exceeds 1 while the machine is
// overloaded.
func (m *Machine) Utilization(now time.Time) float64 { return m.load / m.Capacity(now) }

// OfferedLoad returns the load of the connections, in standard cores.
func (m *Machine) OfferedLoad() float64 { return m.load }

// BacklogTime returns the time that the machine needs for its backlog.
func (m *Machine) BacklogTime(now time.Time) time.Duration {
	m.advance(now)
	return seconds(m.backlog / m.Capacity(now))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Delay draws the time until a message that arrives now is answered: the time for the backlog, the
// message's own work and the wait for a free core. The wait is exponential with a mean by
// Sakasegawa's approximation for a queue with several servers.
func (m *Machine) Delay(now time.Time, rng *rand.Rand) time.Duration {
	backlogTime := m.BacklogTime(now)
	messageTime := m.messageWork * m.slowdown / m.speed / m.WarmFraction(now)
	utilization := min(m.Utilization(now), 0.995)
	cores := float64(m.cores)
	wait := math.Pow(utilization, math.Sqrt(2*(cores+1))) / (cores * (1 - utilization)) * messageTime
	return backlogTime + seconds(messageTime*(0.5+rng.Float64())+wait*rng.ExpFloat64())
}

// ColdOverload reports whether the machine has been overloaded for so long while it was cold that
// it crashes. It must be called at least every 100 ms or so to apply the rule accurately.
func (m *Machine) ColdOverload(now time.Time) bool {
	m.advance(now)
	if m.overloadTime <= 0 || m.WarmFraction(now) >= 1 || m.load <= m.overloadMultiple*m.Capacity(now) {
		m.overloadedSince = time.Time{}
		return false
	}
	if m.overloadedSince.IsZero() {
		m.overloadedSince = now
	}
	return now.Sub(m.overloadedSince) >= m.overloadTime
}
