package owners

import (
	"fmt"
	"slices"
	"time"

	"ospreyspan/internal/owner"
	"ospreyspan/internal/vnet"
)

// Scale is what a fleet of a given size costs and how quickly it detects failures, measured without
// faults other than the kills that are timed.
type Scale struct {
	Members            int
	Lease              time.Duration
	DatagramsPerSecond float64         // sent by each member while nothing changes
	BytesPerSecond     float64         // sent by each member while nothing changes
	DetectionTimes     []time.Duration // from a kill until the last of the other members knew of it
	OwnerGaps          []time.Duration // from the kill of an owner until there was a new one
}

// Quantile returns the value below which the given fraction, 0 to 1, of the times lies.
func Quantile(times []time.Duration, part float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(times))
	return s[min(int(part*float64(len(s))), len(s)-1)]
}

// MeasureScale runs a fleet of n members with three keepers. One after the other it kills as many
// members as deaths says and as many owners of a duty as kills says, and returns what it measured.
func MeasureScale(seed uint64, n int, lease time.Duration, deaths, kills int) (*Scale, error) {
	r := &run{o: Options{Members: n, Keepers: 3, NoFaults: true}, lostDisks: make(map[int]bool)}
	r.terms = owner.LeaseTerms{Lease: lease, Margin: lease / 20}
	r.world = vnet.New(seed, func(from, to *vnet.Host) vnet.Link {
		return vnet.Link{Delay: time.Millisecond, Jitter: 4 * time.Millisecond}
	})
	r.faultRNG, r.sessionRNG = r.world.Rand("faults"), r.world.Rand("sessions")
	r.judge = newJudge(r.world.Fail)
	r.noAnnouncements = true
	if err := r.addMembers(); err != nil {
		return nil, err
	}
	s := &Scale{Members: n, Lease: lease}
	if err := r.world.Run(60 * time.Second); err != nil { // until the news of the start has spread
		return nil, err
	}
	datagrams, bytes := r.sentTotals()
	const observation = 10 * time.Second
	if err := r.world.Run(observation); err != nil {
		return nil, err
	}
	d, b := r.sentTotals()
	s.DatagramsPerSecond, s.BytesPerSecond = float64(d-datagrams)/observation.Seconds()/float64(n), float64(b-bytes)/observation.Seconds()/float64(n)
	for range deaths {
		if err := r.measureDetection(s); err != nil {
			return nil, err
		}
	}
	for range kills {
		if err := r.measureOwnerGap(s); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (r *run) sentTotals() (datagrams, bytes uint64) {
	for _, m := range r.members {
		if m.node != nil {
			datagrams += m.node.Counters.Sent
			bytes += m.node.Counters.BytesSent
		}
	}
	return datagrams, bytes
}

// measureDetection kills a member that is neither a keeper nor an owner, and waits until all others
// know of it.
func (r *run) measureDetection(s *Scale) error {
	var x *member
	for x == nil || x.keeper || !x.host.Running() || r.ownsAny(x) {
		x = r.randomMember()
	}
	session := x.node.Peers().Self().Session
	x.kill()
	begin := r.world.Elapsed()
	for r.world.Elapsed()-begin < 5*time.Minute {
		if err := r.world.Run(50 * time.Millisecond); err != nil {
			return err
		}
		known := true
		for _, m := range r.members {
			if m.node != nil && m.node.Peers().IsLive(session) {
				known = false
				break
			}
		}
		if known {
			s.DetectionTimes = append(s.DetectionTimes, r.world.Elapsed()-begin)
			x.start()
			return r.world.Run(5 * time.Second)
		}
	}
	return fmt.Errorf("%d members: a killed member is still listed as live after 5 min", s.Members)
}

func (r *run) ownsAny(m *member) bool {
	for _, d := range duties {
		if _, ok := m.node.HoldsAt(m.host.ClockNow(), d); ok {
			return true
		}
	}
	return false
}

// measureOwnerGap kills the owner of the first duty and waits until there is a new one.
func (r *run) measureOwnerGap(s *Scale) error {
	owner := func() *member {
		for _, m := range r.members {
			if m.node != nil && m.host.Running() {
				if _, ok := m.node.HoldsAt(m.host.ClockNow(), duties[0]); ok {
					return m
				}
			}
		}
		return nil
	}
	x := owner()
	for i := 0; x == nil && i < 1000; i++ {
		if err := r.world.Run(20 * time.Millisecond); err != nil {
			return err
		}
		x = owner()
	}
	if x == nil {
		return fmt.Errorf("%d members: no owner of %s", s.Members, duties[0])
	}
	// Waits until a random time of its lease, so that the kill does not always follow a renewal.
	if err := r.world.Run(time.Duration(r.faultRNG.Int64N(int64(s.Lease)))); err != nil {
		return err
	}
	x.kill()
	begin := r.world.Elapsed()
	for owner() == nil {
		if r.world.Elapsed()-begin > 5*time.Minute {
			return fmt.Errorf("%d members: no new owner after 5 min", s.Members)
		}
		if err := r.world.Run(10 * time.Millisecond); err != nil {
			return err
		}
	}
	s.OwnerGaps = append(s.OwnerGaps, r.world.Elapsed()-begin)
	x.start()
	return r.world.Run(s.Lease * 2)
}
