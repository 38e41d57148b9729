package hollow

import (
	"runtime"
	"time"
)

// window counts what the processes spend between two moments.
type window struct {
	cluster     *cluster
	begun       time.Duration
	before      []spent
	answers     uint64
	bytes       uint64
	allocations uint64
}

// spent is what one process has spent so far.
type spent struct {
	traffic
	processor time.Duration
}

func (p *process) spent() spent { return spent{p.traffic(), p.processor} }

// open begins a window.
func (k *cluster) open() *window {
	w := &window{cluster: k, begun: k.world.Elapsed(), answers: k.discovery.answers, bytes: k.discovery.bytes}
	for _, p := range k.processes {
		w.before = append(w.before, p.spent())
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	w.allocations = m.Mallocs
	return w
}

// Rates are what one process spends in a second.
type Rates struct {
	Messages      float64 // datagrams sent
	Bytes         float64 // sent, without the headers of UDP and IP
	BytesReceived float64
	Processor     float64 // microseconds of processor time
}

// rates returns what each process has spent in a second since the window began.
func (w *window) rates() []Rates {
	span := w.span()
	all := make([]Rates, 0, len(w.before))
	for i, p := range w.cluster.processes {
		now, before := p.spent(), w.before[i]
		t := now.minus(before.traffic)
		all = append(all, Rates{
			Messages: float64(t.sent) / span, Bytes: float64(t.bytesSent) / span, BytesReceived: float64(t.bytesReceived) / span,
			Processor: float64((now.processor - before.processor).Microseconds()) / span,
		})
	}
	return all
}

// span is how long the window has been open, in seconds.
func (w *window) span() float64 { return (w.cluster.world.Elapsed() - w.begun).Seconds() }

// discovery returns the answers and the bytes that discovery sent in a second.
func (w *window) discovery() (answers, bytes float64) {
	d := w.cluster.discovery
	return float64(d.answers-w.answers) / w.span(), float64(d.bytes-w.bytes) / w.span()
}

// allocated returns how many objects each process has allocated in a second, in the mean. The virtual network's own, about three
// for each datagram, are among them.
func (w *window) allocated() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Mallocs-w.allocations) / w.span() / float64(len(w.before))
}

// mean returns the mean of some processes' rates.
func mean(all []Rates) Rates {
	var sum Rates
	for _, r := range all {
		sum.Messages += r.Messages
		sum.Bytes += r.Bytes
		sum.BytesReceived += r.BytesReceived
		sum.Processor += r.Processor
	}
	n := float64(max(len(all), 1))
	return Rates{sum.Messages / n, sum.Bytes / n, sum.BytesReceived / n, sum.Processor / n}
}

// busiest returns the bytes a second of the process that sends most.
func busiest(all []Rates) float64 {
	most := 0.0
	for _, r := range all {
		most = max(most, r.Bytes)
	}
	return most
}
