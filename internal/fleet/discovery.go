package fleet

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"ospreyspan/internal/poll"
)

// Entry describes a relay in discovery's list.
type Entry struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Kind      string  `json:"class"`
	Block     int     `json:"block"`
	Health    string  `json:"health"` // Serving, Draining or Deleted
	Share     float64 `json:"share"`
	StartedMS int64   `json:"born_ms"` // Unix time of the relay's start; 0: long ago
}

// Values of Entry.Health.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// DiscoveryConfig holds the capacity of the discovery service.
type DiscoveryConfig struct {
	// CallWork is the time that one call takes; calls are answered one after the other. A call that
	// continues a watch within maxWatchGap of the watch's last answer takes none.
	CallWork  time.Duration
	EntryWork time.Duration // for each entry of an answer
	// QueueTimeout bounds the time that a call waits for its turn. A call that would wait longer is
	// answered with 503 at once and takes no time. 0: no bound.
	QueueTimeout time.Duration
	// ResetFraction is the fraction, 0 to 1, of the calls over QueueTimeout whose connection is
	// reset instead of answered with 503.
	ResetFraction float64
}

// maxWatchGap is the longest time between an answer of a watch and the call that continues the
// watch.
const maxWatchGap = 200 * time.Millisecond

// Registry is the list of relays that discovery serves. It outlives a Discovery that stops.
type Registry struct {
	seq      int64
	entries  map[string]*versioned
	OnChange func(e Entry) // called for each entry that is set; may be nil
}

type versioned struct {
	Entry
	seq int64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{entries: make(map[string]*versioned)} }

// Set adds an entry or replaces the one of the same host.
func (r *Registry) Set(e Entry) {
	r.seq++
	r.entries[e.Host] = &versioned{e, r.seq}
	if r.OnChange != nil {
		r.OnChange(e)
	}
}

// SetHealth changes the health of an entry. A host without an entry is ignored.
func (r *Registry) SetHealth(host, health string) {
	if v := r.entries[host]; v != nil {
		e := v.Entry
		e.Health = health
		r.Set(e)
	}
}

// Health returns the health of an entry; ok is false if there is none.
func (r *Registry) Health(host string) (health string, ok bool) {
	v := r.entries[host]
	if v == nil {
		return "", false
	}
	return v.Health, true
}

// entriesAfter returns the entries of an answer: those that changed after a sequence number, or all
// if that number is negative or higher than the registry's own.
func (r *Registry) entriesAfter(after int64) (entries []Entry, whole bool) {
	whole = after < 0 || after > r.seq
	var found []*versioned
	for _, v := range r.entries {
		if whole && v.Health != Deleted || !whole && v.seq > after {
			found = append(found, v)
		}
	}
	slices.SortFunc(found, func(a, b *versioned) int { return cmp.Compare(a.Host, b.Host) })
	entries = make([]Entry, 0, len(found))
	for _, v := range found {
		entries = append(entries, v.Entry)
	}
	return entries, whole
}

// Discovery is the HTTP/1.1 service that tells proxies of the relays: the whole list, or a watch on
// changes. One value is one run of its process.
type Discovery struct {
	config       DiscoveryConfig
	loop         *poll.Loop
	ledger       *Ledger
	registry     *Registry
	listener     *poll.Listener
	connections  []*discoveryConn
	busyUntil    time.Time // when all calls taken so far will have been answered
	refusedCalls int       // calls that would have waited longer than QueueTimeout
	resetCalls   int       // refused calls whose connection was reset
	hanging      bool
}

// NewDiscovery starts a discovery service at an address.
func NewDiscovery(loop *poll.Loop, at netip.AddrPort, c DiscoveryConfig, list *Registry, ledger *Ledger) (*Discovery, error) {
	d := &Discovery{config: c, loop: loop, registry: list, ledger: ledger}
	var err error
	d.listener, err = loop.Listen(at, func(s *poll.Socket, last bool) poll.Handler {
		conn := &discoveryConn{discovery: d, sock: s}
		conn.timer.Fire = conn.onTimer
		if last {
			s.Close()
			return conn
		}
		d.connections = append(d.connections, conn)
		return conn
	})
	return d, err
}

// Addr returns the address that the service listens on.
func (d *Discovery) Addr() netip.AddrPort { return d.listener.Addr() }

// NotifyWatches answers all open watches after a change of the registry. They do not queue again.
func (d *Discovery) NotifyWatches() {
	now := d.loop.Now()
	for _, conn := range slices.Clone(d.connections) {
		if conn.state == callWatching {
			d.addCallWork(now, conn, 0)
			conn.onTimer()
		}
	}
}

// addCallWork adds the work of a call and of the entries of its answer to the queue.
func (d *Discovery) addCallWork(now time.Time, conn *discoveryConn, call time.Duration) {
	entries, _ := d.registry.entriesAfter(conn.afterSeq)
	d.AddWork(now, call+time.Duration(len(entries))*d.config.EntryWork)
}

// AddWork adds work to the queue of calls.
func (d *Discovery) AddWork(now time.Time, work time.Duration) {
	if d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	d.busyUntil = d.busyUntil.Add(work)
}

// SetHanging makes the service send half of each answer and then nothing, or answer as usual again.
func (d *Discovery) SetHanging(on bool) { d.hanging = on }

// Hanging reports whether the service sends only half of each answer.
func (d *Discovery) Hanging() bool { return d.hanging }

// SilenceWatches stops all open watches without closing their connections: nothing more is sent on
// these. Other calls are answered as usual.
func (d *Discovery) SilenceWatches() {
	for _, conn := range d.connections {
		if conn.state == callWatching {
			conn.state = callSilent
			d.loop.Disarm(&conn.timer)
			d.ledger.notifyWatchSilenced(conn.sock.RemoteAddr().Addr())
		}
	}
}

// Stop closes the listener and resets all connections.
func (d *Discovery) Stop() {
	d.listener.Close()
	for _, conn := range slices.Clone(d.connections) {
		conn.sock.Reset()
		conn.remove()
	}
}

type callState uint8

const (
	callReading callState = iota
	callQueued            // it waits for its turn
	callWatching
	callSilent // its watch was silenced
	callClosed
)

// discoveryConn is a connection to discovery with its current call.
type discoveryConn struct {
	discovery     *Discovery
	sock          *poll.Socket
	state         callState
	input         []byte
	output        []byte
	afterSeq      int64
	watchUntil    time.Time // end of the watch; zero: not a watch
	overdue       bool      // it would wait longer than QueueTimeout
	answeredWatch bool      // the last answer belonged to a watch
	// Sequence number and time of the last answer.
	answeredSeq int64
	answeredAt  time.Time
	timer       poll.Timer
}

// maxRequest is the longest request that is read, in bytes.
const maxRequest = 8 << 10

func (conn *discoveryConn) Ready(e poll.Ready) {
	if e.Write && len(conn.output) > 0 {
		n, err := conn.sock.Write(conn.output)
		if err != nil {
			conn.close()
			return
		}
		conn.output = conn.output[n:]
		conn.sock.Want(true, len(conn.output) > 0)
	}
	if !e.Read {
		return
	}
	var buf [2048]byte
	n, err := conn.sock.Read(buf[:])
	if errors.Is(err, poll.ErrAgain) {
		return
	}
	if conn.input = append(conn.input, buf[:n]...); err != nil || len(conn.input) > maxRequest {
		conn.close()
		return
	}
	conn.readRequest()
}

// readRequest handles the next request if it has been received completely.
func (conn *discoveryConn) readRequest() {
	if conn.state != callReading {
		return
	}
	head, rest, ok := bytes.Cut(conn.input, []byte("\r\n\r\n"))
	if !ok {
		return
	}
	first, _, _ := bytes.Cut(head, []byte("\r\n"))
	conn.input = append([]byte(nil), rest...)
	parts := bytes.Split(first, []byte(" "))
	if len(parts) != 3 || string(parts[0]) != "GET" {
		conn.write("400 Bad Request", nil)
		return
	}
	u, err := url.Parse(string(parts[1]))
	if err != nil || u.Path != "/registry/instances" {
		conn.write("404 Not Found", nil)
		return
	}
	now := conn.discovery.loop.Now()
	conn.afterSeq, conn.watchUntil, conn.overdue = -1, time.Time{}, false
	if q := u.Query(); q.Has("index") {
		conn.afterSeq, _ = strconv.ParseInt(q.Get("index"), 10, 64)
		if ms, err := strconv.Atoi(q.Get("wait")); err == nil {
			conn.watchUntil = now.Add(time.Duration(min(max(ms, 0), 60000)) * time.Millisecond)
		}
	}
	conn.enqueue()
}

// enqueue schedules the call's answer after the calls before it, or refuses it if that takes too
// long.
func (conn *discoveryConn) enqueue() {
	d := conn.discovery
	now := d.loop.Now()
	conn.state = callQueued
	queue := max(d.busyUntil.Sub(now), 0)
	cost := d.config.CallWork
	if conn.continuesWatch(now) {
		cost, queue = 0, 0
	}
	if limit := d.config.QueueTimeout; limit > 0 && queue > limit {
		conn.overdue = true
		conn.onTimer()
		return
	}
	d.loop.Arm(&conn.timer, now.Add(queue+cost))
	d.addCallWork(now, conn, cost)
}

// continuesWatch reports whether the call continues the watch that the connection's last answer
// belonged to.
func (conn *discoveryConn) continuesWatch(now time.Time) bool {
	return conn.answeredWatch && conn.afterSeq == conn.answeredSeq && now.Sub(conn.answeredAt) <= maxWatchGap
}

// onTimer answers the call when its turn has come or its watch ends.
func (conn *discoveryConn) onTimer() {
	if conn.overdue {
		conn.refuseOverdue()
		return
	}
	// Nothing has changed since the call's sequence number: it becomes a watch.
	if conn.state == callQueued && conn.afterSeq >= 0 && conn.afterSeq == conn.discovery.registry.seq && conn.discovery.loop.Now().Before(conn.watchUntil) {
		conn.state = callWatching
		conn.discovery.loop.Arm(&conn.timer, conn.watchUntil)
		return
	}
	entries, whole := conn.discovery.registry.entriesAfter(conn.afterSeq)
	body, err := json.Marshal(struct {
		Seq   int64   `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts []Entry `json:"hosts"`
	}{conn.discovery.registry.seq, whole, entries})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	if conn.discovery.hanging {
		conn.output = fmt.Appendf(conn.output, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		conn.state = callQueued // no further request is read
		conn.flush()
		return
	}
	now, proxy := conn.discovery.loop.Now(), conn.sock.RemoteAddr().Addr()
	for _, e := range entries {
		conn.discovery.ledger.notifyTell(now, proxy, e)
	}
	conn.answeredWatch, conn.answeredSeq, conn.answeredAt = conn.afterSeq >= 0, conn.discovery.registry.seq, now
	conn.write("200 OK", body)
}

// refuseOverdue ends a call over QueueTimeout: with a reset for ResetFraction of these calls, with
// 503 for the others.
func (conn *discoveryConn) refuseOverdue() {
	d := conn.discovery
	d.refusedCalls++
	if float64(d.resetCalls+1) <= d.config.ResetFraction*float64(d.refusedCalls) {
		d.resetCalls++
		conn.sock.Reset()
		conn.remove()
		return
	}
	conn.write("503 Service Unavailable", nil)
}

func (conn *discoveryConn) write(status string, body []byte) {
	conn.output = fmt.Appendf(conn.output, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	conn.state = callReading
	if conn.flush() {
		conn.readRequest()
	}
}

func (conn *discoveryConn) flush() bool {
	n, err := conn.sock.Write(conn.output)
	if err != nil {
		conn.close()
		return false
	}
	conn.output = conn.output[n:]
	conn.sock.Want(true, len(conn.output) > 0)
	return true
}

func (conn *discoveryConn) close() {
	conn.sock.Close()
	conn.remove()
}

func (conn *discoveryConn) remove() {
	if conn.state == callClosed {
		return
	}
	conn.state = callClosed
	conn.discovery.loop.Disarm(&conn.timer)
	if i := slices.Index(conn.discovery.connections, conn); i >= 0 {
		conn.discovery.connections = slices.Delete(conn.discovery.connections, i, i+1)
	}
}
