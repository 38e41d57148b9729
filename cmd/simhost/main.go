// Command simhost connects package balance to the simulator: it reads events from standard input
// and writes the resulting actions to standard output. It runs one Balancer for each simulated
// relay; the relays share no state.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"ospreyspan/balance"
	"ospreyspan/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run reads batches of events from in and writes one reply for each to out, until in ends.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	balancers := make(map[int]*balance.Balancer)
	var e wire.Event
	for {
		err := r.Next(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if e.Kind == wire.YourTurn {
			if err := w.Finish(); err != nil {
				return fmt.Errorf("write reply: %w", err)
			}
			continue
		}
		dispatch(balancers, w, &e)
	}
}

// dispatch passes one event to the balancer of its relay. A panic in the balancer is reported to
// the simulator as an internal error.
func dispatch(balancers map[int]*balance.Balancer, w *wire.Writer, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			w.InternalError(e.Relay, fmt.Sprint("panic: ", p))
		}
	}()
	switch e.Kind {
	case wire.Frame:
		return
	case wire.Retire:
		delete(balancers, e.Relay)
		return
	case wire.Configure:
		b, err := balance.New(e.Config, e.Seed, w.Host(e.Relay))
		if err != nil {
			w.InternalError(e.Relay, err.Error())
			return
		}
		balancers[e.Relay] = b
		b.Start(e.Now)
		return
	}
	b := balancers[e.Relay]
	if b == nil {
		return // the relay failed to start, which was reported as an internal error
	}
	switch e.Kind {
	case wire.Members:
		b.DiscoveryUpdate(e.Now, e.List, e.Backends)
	case wire.Ingress:
		b.Request(e.Now, e.Request)
	case wire.Timer:
		b.Timer(e.Now, e.Token)
	case wire.Streaming:
		b.Established(e.Now, e.Request.ID)
	case wire.Heartbeat:
		if e.MetricKnown {
			b.ConnectionMeasured(e.Now, e.Request.ID, e.Metric, e.MetricValue)
		}
	case wire.Finished:
		b.Finished(e.Now, e.Request.ID, e.Attempt, e.ClientSettled, e.Outcome, e.Report)
	case wire.ClientGone:
		b.ClientGone(e.Now, e.Request.ID)
	case wire.Handover:
		b.RestoreConnection(e.Now, e.Request, e.Backend)
	case wire.Checked:
		b.Probed(e.Now, e.Backend, e.Outcome, e.Report)
	}
}
