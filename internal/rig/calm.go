package rig

import "time"

// Traffic is what the processes say to each other while nothing fails.
type Traffic struct {
	Processes int
	Window    time.Duration // in which it was counted
	Datagrams int
	Bytes     int // without the headers of UDP and IP
}

// PerProcessRate returns the datagrams and bytes that one process sends in a second, in the mean.
func (t Traffic) PerProcessRate() (datagrams, bytes float64) {
	each := t.Window.Seconds() * float64(t.Processes)
	return float64(t.Datagrams) / each, float64(t.Bytes) / each
}

// MeasureTraffic starts all processes, has the list of targets change at a steady pace, and counts what they say to each other in a window
// that begins some time after the start.
func (r *Rig) MeasureTraffic(settle, window, change time.Duration) (Traffic, error) {
	r.lossless = true
	if err := r.StartAll(); err != nil {
		return Traffic{}, err
	}
	r.changeList(change)
	never := func() bool { return false }
	r.waitUntil(settle, never)
	datagrams, bytes := r.Counts.Datagrams, r.Counts.Bytes
	begin := time.Now()
	r.waitUntil(window, never)
	return Traffic{
		Processes: len(r.procs), Window: time.Since(begin), Datagrams: r.Counts.Datagrams - datagrams, Bytes: r.Counts.Bytes - bytes,
	}, r.failed
}
