package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of the list, in the form of the protocol page.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type change struct {
	seq  int64
	host Host
}

// Discovery answers the calls of the protocol page: the whole list, and watches.
type Discovery struct {
	record  *Record
	ln      net.Listener
	mu      sync.Mutex
	changed chan struct{} // closed with each change of the list or of the mode
	seq     int64
	current map[string]Host
	log     []change
	cut     bool // calls come in and nothing is answered until it ends
	silent  int  // calls up to this number, counted from 1, are never answered
	busy    bool // a call waits for a second in the queue and then gets 503
	calls   []*Call
}

// Call is one call that a proxy made.
type Call struct {
	At       time.Time
	Index    string
	Wait     time.Duration
	Answered time.Time // zero: no answer was written
	Status   int
}

// NewDiscovery starts a discovery at a free port.
func NewDiscovery(r *Record) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{record: r, ln: ln, seq: 40, changed: make(chan struct{}), current: make(map[string]Host)}
	mux := http.NewServeMux()
	mux.HandleFunc("/registry/instances", d.serve)
	go func() { _ = http.Serve(ln, mux) }()
	return d, nil
}

// Addr returns the address of discovery.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Set adds or changes an entry of the list; the health DELETED removes it. It returns the list's
// version.
func (d *Discovery) Set(h Host) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.log = append(d.log, change{d.seq, h})
	if h.Health == "DELETED" {
		delete(d.current, h.Host)
	} else {
		d.current[h.Host] = h
	}
	d.record.Printf("discovery: seq %d: %s is %s, born_ms %d", d.seq, h.Host, h.Health, h.BornMS)
	d.wake()
	return d.seq
}

// SilenceOpen makes the connections of all calls so far silent for good. Later calls are answered.
func (d *Discovery) SilenceOpen() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = len(d.calls)
	d.record.Printf("discovery: the open watches fall silent")
	d.wake()
}

// SetCut cuts discovery off from the proxies, or ends that. What is open goes on when it ends.
func (d *Discovery) SetCut(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = on
	d.record.Printf("discovery: cut off: %v", on)
	d.wake()
}

// SetBusy makes each call wait in the queue for a second and fail with 503, or ends that.
func (d *Discovery) SetBusy(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = on
	d.record.Printf("discovery: too many callers: %v", on)
}

// Calls returns the calls so far.
func (d *Discovery) Calls() []Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Call
	for _, c := range d.calls {
		list = append(list, *c)
	}
	return list
}

// List returns the whole list as JSON.
func (d *Discovery) List() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *Discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) whole() json.RawMessage {
	hosts := []Host{}
	for _, h := range d.current {
		hosts = append(hosts, h)
	}
	return encode(d.seq, true, hosts)
}

func encode(seq int64, whole bool, hosts []Host) json.RawMessage {
	text, err := json.Marshal(map[string]any{"seq": seq, "whole": whole, "hosts": hosts})
	if err != nil {
		panic(err)
	}
	return text
}

// since returns the entries that changed after a version, the last change of each.
func (d *Discovery) since(index int64) []Host {
	last := make(map[string]Host)
	var order []string
	for _, c := range d.log {
		if c.seq > index {
			if _, ok := last[c.host.Host]; !ok {
				order = append(order, c.host.Host)
			}
			last[c.host.Host] = c.host
		}
	}
	hosts := []Host{}
	for _, id := range order {
		hosts = append(hosts, last[id])
	}
	return hosts
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.FormValue("wait"))
	call := &Call{At: time.Now(), Index: r.FormValue("index"), Wait: time.Duration(min(ms, 60000)) * time.Millisecond}
	d.mu.Lock()
	d.calls = append(d.calls, call)
	n, busy := len(d.calls), d.busy
	d.mu.Unlock()
	d.record.Printf("discovery: call %d from %s: index=%s wait=%v", n, r.RemoteAddr, call.Index, call.Wait)
	if busy {
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			d.record.Printf("discovery: call %d given up by the proxy", n)
			return
		}
		d.record.Printf("discovery: call %d answered 503", n)
		d.mu.Lock()
		call.Answered, call.Status = time.Now(), http.StatusServiceUnavailable
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	index, err := strconv.ParseInt(call.Index, 10, 64)
	asksWhole := err != nil
	deadline := time.After(call.Wait)
	for over := false; ; {
		d.mu.Lock()
		hosts, body, cut, changed := d.since(index), json.RawMessage(nil), d.cut || n <= d.silent, d.changed
		if asksWhole || index > d.seq {
			body = d.whole()
		} else if len(hosts) > 0 || over {
			body = encode(d.seq, false, hosts)
		}
		if !cut && body != nil {
			call.Answered, call.Status = time.Now(), http.StatusOK
		}
		d.mu.Unlock()
		if body != nil && !cut {
			d.record.Printf("discovery: call %d answered: %s", n, body)
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, "%s", body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			d.record.Printf("discovery: call %d given up by the proxy", n)
			return
		}
	}
}
