package owners

import (
	"fmt"
	"slices"
	"time"

	"ospreyspan/internal/owner"
	"ospreyspan/internal/vnet"
)

// Scale is what a fleet of some size costs and how fast it learns, without other faults than the kills that are measured.
type Scale struct {
	Members   int
	Lease     time.Duration
	Datagrams float64         // sent a second by each, in calm
	Bytes     float64         // likewise
	Deaths    []time.Duration // from a kill until the last of the others knew
	Gaps      []time.Duration // from an owner's kill until there was another one
}

// At returns the value below which a part of the times lies, 0 to 1.
func At(times []time.Duration, part float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(times))
	return s[min(int(part*float64(len(s))), len(s)-1)]
}

// Measure plays a fleet of n members with three keepers, kills deaths of them and owners of a duty so often, one after the
// other, and tells what that took.
func Measure(seed uint64, n int, lease time.Duration, deaths, kills int) (*Scale, error) {
	r := &run{o: Options{Members: n, Keepers: 3, NoFaults: true}, lost: make(map[int]bool)}
	r.terms = owner.LeaseTerms{Lease: lease, Margin: lease / 20}
	r.world = vnet.New(seed, func(from, to *vnet.Host) vnet.Link {
		return vnet.Link{Delay: time.Millisecond, Jitter: 4 * time.Millisecond}
	})
	r.rng, r.ids = r.world.Rand("faults"), r.world.Rand("sessions")
	r.judge = newJudge(r.world.Fail)
	r.quietWords = true
	if err := r.build(); err != nil {
		return nil, err
	}
	s := &Scale{Members: n, Lease: lease}
	if err := r.world.Run(60 * time.Second); err != nil { // until the news of the start has been told
		return nil, err
	}
	datagrams, bytes := r.sent()
	const calm = 10 * time.Second
	if err := r.world.Run(calm); err != nil {
		return nil, err
	}
	d, b := r.sent()
	s.Datagrams, s.Bytes = float64(d-datagrams)/calm.Seconds()/float64(n), float64(b-bytes)/calm.Seconds()/float64(n)
	for range deaths {
		if err := r.death(s); err != nil {
			return nil, err
		}
	}
	for range kills {
		if err := r.gap(s); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (r *run) sent() (datagrams, bytes uint64) {
	for _, m := range r.members {
		if m.node != nil {
			datagrams += m.node.Counters.Sent
			bytes += m.node.Counters.BytesSent
		}
	}
	return datagrams, bytes
}

// death kills a member that is no keeper and owns nothing, and waits until all others know.
func (r *run) death(s *Scale) error {
	var x *member
	for x == nil || x.keeper || !x.host.Running() || r.ownsAny(x) {
		x = r.any()
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
			s.Deaths = append(s.Deaths, r.world.Elapsed()-begin)
			x.start()
			return r.world.Run(5 * time.Second)
		}
	}
	return fmt.Errorf("%d members: a death is not known to all after 5 min", s.Members)
}

func (r *run) ownsAny(m *member) bool {
	for _, d := range duties {
		if _, ok := m.node.HoldsAt(m.host.ClockNow(), d); ok {
			return true
		}
	}
	return false
}

// gap kills the owner of the first duty and waits until there is another one.
func (r *run) gap(s *Scale) error {
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
		return fmt.Errorf("%d members: nobody owns %s", s.Members, duties[0])
	}
	// At a drawn time of its lease, not just after a renewal.
	if err := r.world.Run(time.Duration(r.rng.Int64N(int64(s.Lease)))); err != nil {
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
	s.Gaps = append(s.Gaps, r.world.Elapsed()-begin)
	x.start()
	return r.world.Run(s.Lease * 2)
}
