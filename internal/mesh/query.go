package mesh

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

const (
	queryAttempts    = 5    // datagrams sent per query
	maxViewFragments = 4096 // maximum number of fragments of a view
)

// errNoResponse is returned by a query of an operator that gets no response.
var errNoResponse = errors.New("no response; check the address, the cluster name, and that the operator's file there has a section [fleet]")

// query is a request sent by an operator's command. It has its own loop and socket.
type query struct {
	loop      *poll.Loop
	socket    *poll.UDPSocket
	cluster   string
	onMessage func(*envelope) (done bool) // done: the response is complete
	done      bool
}

func newQuery(cluster string, onMessage func(*envelope) bool) (*query, error) {
	loop, err := poll.New(func() {})
	if err != nil {
		return nil, err
	}
	q := &query{loop: loop, cluster: cluster, onMessage: onMessage}
	anyAddress := netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	if q.socket, err = loop.OpenUDP(anyAddress, q); err != nil {
		loop.Close()
		return nil, err
	}
	return q, nil
}

func (q *query) close() {
	q.socket.Close()
	q.loop.Close()
}

// Ready is called by the loop when the socket is readable, and handles the waiting datagrams.
func (q *query) Ready(poll.Ready) {
	var buffer [receiveBufferBytes]byte
	for {
		size, _, err := q.socket.Receive(buffer[:])
		if err != nil {
			return
		}
		if e, err := decode(buffer[:size], q.cluster); err == nil && q.onMessage(e) {
			q.done = true
		}
	}
}

// attempt sends a datagram once and waits for the response.
func (q *query) attempt(datagram []byte, to netip.AddrPort, wait time.Duration) error {
	if err := q.socket.Send(datagram, to); err != nil && !errors.Is(err, poll.ErrAgain) {
		return err
	}
	timedOut := false
	timer := poll.Timer{Fire: func() { timedOut = true }}
	q.loop.After(&timer, wait)
	defer q.loop.Disarm(&timer)
	for !timedOut && !q.done {
		if err := q.loop.Turn(true); err != nil {
			return err
		}
	}
	return nil
}

// runQuery sends a request up to five times, until onMessage reports that the response is complete.
// It returns an error that wraps errNoResponse if the response is not complete within wait.
func runQuery(cluster string, to netip.AddrPort, e *envelope, wait time.Duration, onMessage func(*envelope) bool) error {
	q, err := newQuery(cluster, onMessage)
	if err != nil {
		return err
	}
	defer q.close()
	e.Cluster = cluster
	datagram, err := encode(e)
	if err != nil {
		return err
	}
	for range queryAttempts {
		if err := q.attempt(datagram, to, wait/queryAttempts); err != nil {
			return err
		}
		if q.done {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", to, errNoResponse)
}

// viewCollector combines the fragments of one view.
type viewCollector struct {
	seq      uint64 // of the request
	view     View
	received map[int]bool // by fragment index
}

// handle processes a message and reports whether the view is complete.
func (c *viewCollector) handle(e *envelope) bool {
	f := e.View
	if f == nil || f.IsRequest || f.Seq != c.seq || f.Count < 1 || f.Count > maxViewFragments {
		return false
	}
	if !c.received[f.Index] {
		c.received[f.Index] = true
		c.add(f)
	}
	return len(c.received) == f.Count
}

// add appends a fragment that has not been received before.
func (c *viewCollector) add(f *viewFragment) {
	c.view.Members = append(c.view.Members, f.Members...)
	c.view.Leases = append(c.view.Leases, f.Leases...)
	c.view.Counters = append(c.view.Counters, f.Counters...)
	c.view.Shared = append(c.view.Shared, f.Shared...)
	if f.Keeper != nil {
		c.view.Keeper = f.Keeper
	}
}

// FetchView requests the view of the process at an address. It waits for the response for at most
// wait.
func FetchView(cluster string, at netip.AddrPort, wait time.Duration) (*View, error) {
	c := viewCollector{seq: uint64(time.Now().UnixNano()), received: make(map[int]bool)}
	request := &envelope{View: &viewFragment{IsRequest: true, Seq: c.seq}}
	if err := runQuery(cluster, at, request, wait, c.handle); err != nil {
		return nil, err
	}
	for i := range c.view.Members {
		m := &c.view.Members[i]
		_ = m.Addr.UnmarshalBinary(m.EncodedAddr) // an address that can't be decoded is left empty
	}
	return &c.view, nil
}

// ChangeVoters asks the keeper at an address, which must be the leader, to add or remove a voter.
// It returns the keeper's reply and waits for it for at most wait.
func ChangeVoters(cluster string, at netip.AddrPort, add bool, id uint64, wait time.Duration) (string, error) {
	result := ""
	request := &envelope{VoterChange: &voterChange{Add: add, ID: id}}
	err := runQuery(cluster, at, request, wait, func(e *envelope) bool {
		if e.VoterChange == nil || e.VoterChange.Result == "" || e.VoterChange.ID != id {
			return false
		}
		result = e.VoterChange.Result
		return true
	})
	return result, err
}
