package rig

import "time"

// Traffic is what the processes send to each other while no fault is injected.
type Traffic struct {
	Processes int
	Window    time.Duration // time over which the traffic was counted
	Datagrams int
	Bytes     int // without UDP and IP headers
}

// PerProcessRate returns the mean number of datagrams and bytes that one process sends per second.
func (t Traffic) PerProcessRate() (datagrams, bytes float64) {
	processSeconds := t.Window.Seconds() * float64(t.Processes)
	return float64(t.Datagrams) / processSeconds, float64(t.Bytes) / processSeconds
}

// MeasureTraffic starts all processes, changes the target list at a steady rate, and counts the
// traffic between the processes over a window that begins settle after the start. No fault is
// injected.
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
