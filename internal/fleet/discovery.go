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

// Entry is a relay as discovery names it.
type Entry struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Kind      string  `json:"class"`
	Block     int     `json:"block"`
	Health    string  `json:"health"` // SERVING, DRAINING or DELETED
	Share     float64 `json:"share"`
	StartedMS int64   `json:"born_ms"` // Unix time; 0: long ago
}

// The words for Entry.Health.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// DiscoveryConfig is what discovery can do.
type DiscoveryConfig struct {
	// CallWork is what one call takes; calls are answered in turn. One that goes on with a watch within watchGap of its last answer
	// takes none.
	CallWork  time.Duration
	EntryWork time.Duration // for each entry of an answer
	// QueueTimeout is how long a call may wait for its turn. One that would wait longer is answered 503 at once, for nothing. 0: any
	// call waits.
	QueueTimeout time.Duration
	// ResetFraction is the part of these calls whose connection is reset in place of the 503, 0 to 1.
	ResetFraction float64
}

// maxWatchGap is how soon the next call of a watch has to follow its last answer.
const maxWatchGap = 200 * time.Millisecond

// Registry is the list that discovery tells of. It outlives a discovery that goes down.
type Registry struct {
	seq      int64
	entries  map[string]*versioned
	OnChange func(e Entry) // called for each entry that is set; nil: for none
}

type versioned struct {
	Entry
	seq int64
}

// NewRegistry returns an empty list.
func NewRegistry() *Registry { return &Registry{entries: make(map[string]*versioned)} }

// Set changes an entry, or adds it.
func (r *Registry) Set(e Entry) {
	r.seq++
	r.entries[e.Host] = &versioned{e, r.seq}
	if r.OnChange != nil {
		r.OnChange(e)
	}
}

// SetHealth changes the health of an entry.
func (r *Registry) SetHealth(host, health string) {
	if v := r.entries[host]; v != nil {
		e := v.Entry
		e.Health = health
		r.Set(e)
	}
}

// Health is the health of an entry; ok tells that there is one.
func (r *Registry) Health(host string) (health string, ok bool) {
	v := r.entries[host]
	if v == nil {
		return "", false
	}
	return v.Health, true
}

// entriesAfter is an answer: the entries that are newer than a version, or all if that is below 0 or from another time.
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

// Discovery is the service that tells proxies of the relays: the whole list or a watch on changes, over HTTP/1.1. One
// value is one life of its process.
type Discovery struct {
	config       DiscoveryConfig
	loop         *poll.Loop
	ledger       *Ledger
	registry     *Registry
	listener     *poll.Listener
	connections  []*discoveryConn
	busyUntil    time.Time // when it has answered what it took so far
	refusedCalls int       // calls that waited too long
	resetCalls   int       // of these
	hanging      bool
}

// NewDiscovery starts discovery at an address.
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

// Addr is where it listens.
func (d *Discovery) Addr() netip.AddrPort { return d.listener.Addr() }

// NotifyWatches tells that the list has changed: watches, which had their turns, end with an answer.
func (d *Discovery) NotifyWatches() {
	now := d.loop.Now()
	for _, conn := range slices.Clone(d.connections) {
		if conn.state == callWatching {
			d.addCallWork(now, conn, 0)
			conn.onTimer()
		}
	}
}

// addCallWork books what a call takes.
func (d *Discovery) addCallWork(now time.Time, conn *discoveryConn, call time.Duration) {
	entries, _ := d.registry.entriesAfter(conn.afterSeq)
	d.AddWork(now, call+time.Duration(len(entries))*d.config.EntryWork)
}

// AddWork puts so much work into its queue.
func (d *Discovery) AddWork(now time.Time, work time.Duration) {
	if d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	d.busyUntil = d.busyUntil.Add(work)
}

// SetHanging has it send half of each answer and then nothing, or go on as usual.
func (d *Discovery) SetHanging(on bool) { d.hanging = on }

// Hanging tells whether it does the former.
func (d *Discovery) Hanging() bool { return d.hanging }

// SilenceWatches has all watches that are open fall silent: their connections stay, and nothing comes on them any more. Other calls
// are answered.
func (d *Discovery) SilenceWatches() {
	for _, conn := range d.connections {
		if conn.state == callWatching {
			conn.state = callSilent
			d.loop.Disarm(&conn.timer)
			d.ledger.notifyWatchSilenced(conn.sock.RemoteAddr().Addr())
		}
	}
}

// Stop ends it: its connections are reset.
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
	callSilent // its watch fell silent
	callClosed
)

// discoveryConn is a connection to discovery with the call that is on it.
type discoveryConn struct {
	discovery  *Discovery
	sock       *poll.Socket
	state      callState
	input      []byte
	output     []byte
	afterSeq   int64
	watchUntil time.Time // a watch ends then; zero: it is none
	overdue    bool      // it would wait too long for its turn
	// Of the last answer:
	answeredWatch bool // it belonged to a watch
	answeredSeq   int64
	answeredAt    time.Time
	timer         poll.Timer
}

// maxRequest is the longest request that is read.
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

// readRequest takes the readRequest request, if all of it is there.
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

// enqueue has the call wait for its enqueue.
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

// continuesWatch tells whether the call goes on with a watch that this connection's last answer belongs to.
func (conn *discoveryConn) continuesWatch(now time.Time) bool {
	return conn.answeredWatch && conn.afterSeq == conn.answeredSeq && now.Sub(conn.answeredAt) <= maxWatchGap
}

// onTimer answers: the call's turn is over, or its watch is.
func (conn *discoveryConn) onTimer() {
	if conn.overdue {
		conn.refuseOverdue()
		return
	}
	if conn.state == callQueued && conn.afterSeq >= 0 && conn.afterSeq == conn.discovery.registry.seq && conn.discovery.loop.Now().Before(conn.watchUntil) { // nothing new yet
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
		panic(err) // it is made of strings and numbers
	}
	if conn.discovery.hanging {
		conn.output = fmt.Appendf(conn.output, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		conn.state = callQueued // and stays there
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

// refuseOverdue ends a call that waited too long: with 503, or for a part of them with a reset.
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
