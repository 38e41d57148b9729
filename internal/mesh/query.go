package mesh

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"ospreyspan/internal/poll"
)

const (
	queryAttempts     = 5    // sendings of a query
	mostViewFragments = 4096 // of a view
)

// errNoAnswer is why an operator's query fails.
var errNoAnswer = errors.New("no answer; is it the right address and cluster, and is [fleet] in the operator's file there?")

// query is a request of an operator's, on a loop and a socket of its own.
type query struct {
	loop    *poll.Loop
	socket  *poll.Packets
	cluster string
	take    func(*envelope) (done bool) // is called with each message; true once it has the whole response
	done    bool
}

func newQuery(cluster string, take func(*envelope) bool) (*query, error) {
	loop, err := poll.New(func() {})
	if err != nil {
		return nil, err
	}
	q := &query{loop: loop, cluster: cluster, take: take}
	anyAddress := netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	if q.socket, err = loop.OpenPackets(anyAddress, q); err != nil {
		loop.Close()
		return nil, err
	}
	return q, nil
}

func (q *query) close() {
	q.socket.Close()
	q.loop.Close()
}

// Ready is called by the loop: it takes the datagrams that wait.
func (q *query) Ready(poll.Ready) {
	var buffer [receiveBuffer]byte
	for {
		size, _, err := q.socket.Receive(buffer[:])
		if err != nil {
			return
		}
		if e, err := decode(buffer[:size], q.cluster); err == nil && q.take(e) {
			q.done = true
		}
	}
}

// attempt sends a datagram once and waits for the response.
func (q *query) attempt(datagram []byte, to netip.AddrPort, wait time.Duration) error {
	if err := q.socket.Send(datagram, to); err != nil && !errors.Is(err, poll.ErrAgain) {
		return err
	}
	over := false
	timer := poll.Timer{Fire: func() { over = true }}
	q.loop.After(&timer, wait)
	defer q.loop.Disarm(&timer)
	for !over && !q.done {
		if err := q.loop.Turn(true); err != nil {
			return err
		}
	}
	return nil
}

// ask sends a request up to five times, until take says that it has the whole response. It returns errNoAnswer if wait is over
// before.
func ask(cluster string, to netip.AddrPort, e *envelope, wait time.Duration, take func(*envelope) bool) error {
	q, err := newQuery(cluster, take)
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
	return fmt.Errorf("%s: %w", to, errNoAnswer)
}

// viewCollector puts the fragments of one view together.
type viewCollector struct {
	seq      uint64 // of the request
	view     View
	received map[int]bool // by index
}

// take takes a message and tells whether the view is whole.
func (c *viewCollector) take(e *envelope) bool {
	f := e.View
	if f == nil || f.Ask || f.Seq != c.seq || f.Count < 1 || f.Count > mostViewFragments {
		return false
	}
	if !c.received[f.Index] {
		c.received[f.Index] = true
		c.add(f)
	}
	return len(c.received) == f.Count
}

// add adds a fragment that was not received before.
func (c *viewCollector) add(f *viewFragment) {
	c.view.Members = append(c.view.Members, f.Members...)
	c.view.Leases = append(c.view.Leases, f.Leases...)
	c.view.Counts = append(c.view.Counts, f.Counts...)
	c.view.Shared = append(c.view.Shared, f.Shared...)
	if f.Keeper != nil {
		c.view.Keeper = f.Keeper
	}
}

// Ask requests the view of a running process; it waits for as long as wait.
func Ask(cluster string, of netip.AddrPort, wait time.Duration) (*View, error) {
	c := viewCollector{seq: uint64(time.Now().UnixNano()), received: make(map[int]bool)}
	request := &envelope{View: &viewFragment{Ask: true, Seq: c.seq}}
	if err := ask(cluster, of, request, wait, c.take); err != nil {
		return nil, err
	}
	for i := range c.view.Members {
		m := &c.view.Members[i]
		_ = m.Addr.UnmarshalBinary(m.EncodedAddr) // one that can't be read is shown without an address
	}
	return &c.view, nil
}

// ChangeVoters asks the keeper at an address, which must lead, to add or remove a voter, and returns its answer. It waits for as
// long as wait.
func ChangeVoters(cluster string, at netip.AddrPort, add bool, id uint64, wait time.Duration) (string, error) {
	answer := ""
	request := &envelope{Change: &voterChange{Add: add, ID: id}}
	err := ask(cluster, at, request, wait, func(e *envelope) bool {
		if e.Change == nil || e.Change.Answer == "" || e.Change.ID != id {
			return false
		}
		answer = e.Change.Answer
		return true
	})
	return answer, err
}
