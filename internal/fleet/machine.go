package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Machine is what a relay computes with: cores that are cold after a start, slow for a while or taken by a neighbour,
// the load of the connections that it holds and the work that has piled up. It has no clock and does no I/O; each call
// tells the time, which must not run back.
//
// Work is counted in seconds of a standard core, load in such seconds a second.
type Machine struct {
	cores       int
	speed       float64 // of a core, where 1 is a standard one
	messageWork float64 // work of an average message
	started     time.Time
	coldFrom    float64
	warmUp      time.Duration // 0: it is warm

	slowdown       float64 // times slower than usual, 1 and above
	neighbourShare float64 // share of the machine that another program takes
	load           float64
	backlog        float64
	updatedAt      time.Time

	overloadMultiple float64
	overloadTime     time.Duration
	overloadedSince  time.Time // since when it is asked for too much while it is cold; zero: it is not
}

// MachineConfig is what a Machine is made of.
type MachineConfig struct {
	Cores        int
	Speed        float64
	MessageWork  float64       // work of an average message, in seconds of a standard core
	ColdFrom     float64       // part of its capacity with which it starts
	WarmUp       time.Duration // time after which it has all of it; 0: it is warm from the start
	FallMultiple float64       // work above this many times the present capacity, while it is cold...
	FallWithin   time.Duration // ...for this long makes it fall over; 0: it never does
}

// NewMachine returns a machine that starts now.
func NewMachine(now time.Time, c MachineConfig) *Machine {
	return &Machine{
		cores: c.Cores, speed: c.Speed, messageWork: c.MessageWork, started: now, coldFrom: c.ColdFrom, warmUp: c.WarmUp,
		slowdown: 1, updatedAt: now, overloadMultiple: c.FallMultiple, overloadTime: c.FallWithin,
	}
}

// WarmFraction is the part of its capacity that the machine has by its age, 0 to 1.
func (m *Machine) WarmFraction(now time.Time) float64 {
	age := now.Sub(m.started)
	if age >= m.warmUp {
		return 1
	}
	return m.coldFrom + (1-m.coldFrom)*float64(age)/float64(m.warmUp)
}

// Capacity is the work that it can do in a second, now.
func (m *Machine) Capacity(now time.Time) float64 {
	return float64(m.cores) * m.speed * m.WarmFraction(now) / m.slowdown * (1 - m.neighbourShare)
}

// advance lets the backlog grow or shrink up to now. Capacity changes slowly within a step: its mean is near that in
// the middle.
func (m *Machine) advance(now time.Time) {
	d := now.Sub(m.updatedAt).Seconds()
	if d <= 0 {
		return
	}
	mid := m.updatedAt.Add(now.Sub(m.updatedAt) / 2)
	m.backlog = max(m.backlog+(m.load-m.Capacity(mid))*d, 0)
	m.updatedAt = now
}

// AddLoad changes the load that connections ask for; below 0 for one that ends.
func (m *Machine) AddLoad(now time.Time, load float64) {
	m.advance(now)
	m.load = max(m.load+load, 0)
	if m.load < 1e-9 {
		m.load = 0 // what floating-point sums leave over must not pass for load
	}
}

// AddWork adds work that is done once: setting a connection up, answering a probe.
func (m *Machine) AddWork(now time.Time, work float64) {
	m.advance(now)
	m.backlog += work
}

// SetSlowdown makes it so many times slower than usual; 1 is as usual.
func (m *Machine) SetSlowdown(now time.Time, times float64) {
	m.advance(now)
	m.slowdown = max(times, 1)
}

// SetNeighbourShare has another program take a share of it, 0 to 0.95.
func (m *Machine) SetNeighbourShare(now time.Time, share float64) {
	m.advance(now)
	m.neighbourShare = min(max(share, 0), 0.95)
}

// Utilization is the load asked over what it can do.
func (m *Machine) Utilization(now time.Time) float64 { return m.load / m.Capacity(now) }

// OfferedLoad is the load asked, in standard cores.
func (m *Machine) OfferedLoad() float64 { return m.load }

// BacklogTime is how long the work that has piled up takes.
func (m *Machine) BacklogTime(now time.Time) time.Duration {
	m.advance(now)
	return seconds(m.backlog / m.Capacity(now))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Delay draws how long a message that comes now takes: its own work, the wait for a core that is free (Sakasegawa's
// approximation for a queue with several servers, drawn from an exponential) and all that has piled up.
func (m *Machine) Delay(now time.Time, rng *rand.Rand) time.Duration {
	behind := m.BacklogTime(now)
	each := m.messageWork * m.slowdown / m.speed / m.WarmFraction(now)
	busy := min(m.Utilization(now), 0.995)
	c := float64(m.cores)
	wait := math.Pow(busy, math.Sqrt(2*(c+1))) / (c * (1 - busy)) * each
	return behind + seconds(each*(0.5+rng.Float64())+wait*rng.ExpFloat64())
}

// ColdOverload tells whether it has been asked for so much while it was cold that it falls over. It must be called at least
// every 100 ms or so to be near the rule.
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
