package balance_test

import (
	"fmt"
	"math"
	"time"

	"ospreyspan/balance"
)

// printer is a Host that prints its actions.
type printer struct{}

func (printer) Send(id balance.RequestID, backend string, timeout time.Duration) {
	fmt.Println("send", id, "to", backend, "for at most", timeout)
}
func (printer) Refuse(id balance.RequestID, advice time.Duration) { fmt.Println("refuse", id) }
func (printer) Fail(id balance.RequestID)                         { fmt.Println("fail", id) }
func (printer) Cancel(id balance.RequestID, attempt int)          { fmt.Println("cancel", id) }
func (printer) Move(id balance.RequestID)                         { fmt.Println("move", id) }
func (printer) Probe(backend string)                              { fmt.Println("probe", backend) }
func (printer) WatchDiscovery()                                   { fmt.Println("watch") }
func (printer) After(d time.Duration, token uint64)               {} // a real host sets a timer

// A relay passes each event, with its time, to its Balancer, and carries out the actions that the
// Balancer calls for through the Host.
func Example() {
	cfg := balance.Config{
		Relays:   1,
		Classes:  []balance.Class{{SetupTarget: 500 * time.Millisecond, Worth: 1}},
		MayProbe: true,
	}
	b, err := balance.New(cfg, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	at := func(us int64) time.Time { return time.UnixMicro(us) }
	b.Start(at(0))
	b.DiscoveryUpdate(at(0), balance.ListWhole, []balance.Backend{{ID: "east"}, {ID: "west"}})
	b.Request(at(10), balance.Request{ID: 1, Timeout: 3 * time.Second})

	none := balance.Report{Load: math.NaN(), CPU: math.NaN()}
	east, west := none, none
	east.Load, west.Load = 0.6, 0.3
	b.Probed(at(900), "east", balance.OK, east)
	b.Probed(at(950), "west", balance.OK, west)

	b.Established(at(9_000), 1)
	b.Finished(at(20_000_000), 1, 0, true, balance.OK, none)
	// Unordered output:
	// probe east
	// probe west
	// send 1 to west for at most 200ms
}
