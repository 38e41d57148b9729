package stand2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
	seq    int64
}

// Discovery is the stand-in of the platform's list of servers.
type Discovery struct {
	r       *Record
	mu      sync.Mutex
	seq     int64
	hosts   []*Host
	changed chan struct{}
	down    bool // calls end with 503
	// OnWatch is told of each call that may wait, before it waits; nil: nobody is.
	OnWatch func(at time.Time, wait time.Duration)
}

// NewDiscovery returns a discovery that lists servers.
func NewDiscovery(r *Record, servers ...*Server) *Discovery {
	d := &Discovery{r: r, seq: 40, changed: make(chan struct{})}
	for _, s := range servers {
		d.Put(HostOf(s))
	}
	return d
}

// HostOf returns the entry of a server that was started long ago.
func HostOf(s *Server) Host {
	return Host{Host: s.ID, Dial: s.Addr, Site: "winterthur", Class: "r3-fast", Health: "SERVING", Share: 1}
}

// Put sets an entry and tells the watches.
func (d *Discovery) Put(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	h.seq = d.seq
	found := false
	for i := range d.hosts {
		if d.hosts[i].Host == h.Host {
			d.hosts[i], found = &h, true
		}
	}
	if !found {
		d.hosts = append(d.hosts, &h)
	}
	d.r.Logf("discovery: version %d: %s is %s at %s", d.seq, h.Host, h.Health, h.Dial)
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetDown makes all calls fail with 503, or ends that. Watches end when it begins.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.r.Logf("discovery: down: %v", down)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Known returns the list in the form of the configuration.
func (d *Discovery) Known() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"seq": d.seq, "whole": true, "hosts": d.since(-1)}
}

// Listen serves at a free port of a loopback address and returns the address.
func (d *Discovery) Listen(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/registry/instances", d.serve)
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

// since returns the entries that changed after a version; all listed ones for -1.
func (d *Discovery) since(version int64) []*Host {
	list := []*Host{}
	for _, h := range d.hosts {
		if h.seq > version && (version >= 0 || h.Health != "DELETED") {
			list = append(list, h)
		}
	}
	return list
}

func (d *Discovery) serve(rw http.ResponseWriter, q *http.Request) {
	known, wait := int64(-1), time.Duration(0)
	if v := q.FormValue("index"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		ms, err2 := strconv.Atoi(q.FormValue("wait"))
		if err != nil || err2 != nil || ms > 60000 {
			http.Error(rw, "bad call", http.StatusBadRequest)
			return
		}
		known, wait = n, time.Duration(ms)*time.Millisecond
	}
	d.r.Logf("discovery: %s is asked by %s: %s", q.Host, q.RemoteAddr, q.URL)
	if d.OnWatch != nil && wait > 0 {
		d.OnWatch(time.Now(), wait)
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	d.mu.Lock()
	if known > d.seq {
		known = -1 // a version that this discovery never gave: the whole list
	}
	for known >= 0 && known >= d.seq && !d.down {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
			d.mu.Lock()
			continue
		case <-end.C:
		case <-q.Context().Done():
			return
		}
		d.mu.Lock()
		break
	}
	if d.down {
		d.mu.Unlock()
		http.Error(rw, "down", http.StatusServiceUnavailable)
		return
	}
	seq := d.seq
	text, err := json.Marshal(map[string]any{"seq": seq, "whole": known < 0, "hosts": d.since(known)})
	d.mu.Unlock()
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(rw, "%s\n", text)
	d.r.Logf("discovery: %s answers %s with version %d", q.Host, q.RemoteAddr, seq)
}

// Replace starts discovery anew with the same entries: its versions begin again.
func (d *Discovery) Replace() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq = 0
	for _, h := range d.hosts {
		d.seq++
		h.seq = d.seq
	}
	d.r.Logf("discovery: started anew, version %d", d.seq)
	close(d.changed)
	d.changed = make(chan struct{})
}
