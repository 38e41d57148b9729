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

// watchGap is how soon the next call of a watch has to follow its last answer.
const watchGap = 200 * time.Millisecond

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
func (g *Registry) Set(e Entry) {
	g.seq++
	g.entries[e.Host] = &versioned{e, g.seq}
	if g.OnChange != nil {
		g.OnChange(e)
	}
}

// SetHealth changes the health of an entry.
func (g *Registry) SetHealth(host, health string) {
	if v := g.entries[host]; v != nil {
		e := v.Entry
		e.Health = health
		g.Set(e)
	}
}

// Health is the health of an entry; ok tells that there is one.
func (g *Registry) Health(host string) (health string, ok bool) {
	v := g.entries[host]
	if v == nil {
		return "", false
	}
	return v.Health, true
}

// list is an answer: the entries that are newer than a version, or all if that is below 0 or from another time.
func (g *Registry) list(after int64) (entries []Entry, whole bool) {
	whole = after < 0 || after > g.seq
	var found []*versioned
	for _, v := range g.entries {
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
	c        DiscoveryConfig
	loop     *poll.Loop
	ledger   *Ledger
	list     *Registry
	listener *poll.Listener
	calls    []*discoveryCall
	free     time.Time // when it has answered what it took so far
	refused  int       // calls that waited too long
	reset    int       // of these
	hang     bool
}

// NewDiscovery starts discovery at an address.
func NewDiscovery(loop *poll.Loop, at netip.AddrPort, c DiscoveryConfig, list *Registry, ledger *Ledger) (*Discovery, error) {
	d := &Discovery{c: c, loop: loop, list: list, ledger: ledger}
	var err error
	d.listener, err = loop.Listen(at, func(s *poll.Socket, last bool) poll.Handler {
		k := &discoveryCall{d: d, sock: s}
		k.timer.Fire = k.due
		if last {
			s.Close()
			return k
		}
		d.calls = append(d.calls, k)
		return k
	})
	return d, err
}

// Addr is where it listens.
func (d *Discovery) Addr() netip.AddrPort { return d.listener.Addr() }

// NotifyWatches tells that the list has changed: watches, which had their turns, end with an answer.
func (d *Discovery) NotifyWatches() {
	now := d.loop.Now()
	for _, k := range slices.Clone(d.calls) {
		if k.state == callWatching {
			d.work(now, k, 0)
			k.due()
		}
	}
}

// work books what a call takes.
func (d *Discovery) work(now time.Time, k *discoveryCall, call time.Duration) {
	entries, _ := d.list.list(k.after)
	d.AddWork(now, call+time.Duration(len(entries))*d.c.EntryWork)
}

// AddWork puts so much work into its queue.
func (d *Discovery) AddWork(now time.Time, work time.Duration) {
	if d.free.Before(now) {
		d.free = now
	}
	d.free = d.free.Add(work)
}

// SetHanging has it send half of each answer and then nothing, or go on as usual.
func (d *Discovery) SetHanging(on bool) { d.hang = on }

// Hanging tells whether it does the former.
func (d *Discovery) Hanging() bool { return d.hang }

// SilenceWatches has all watches that are open fall silent: their connections stay, and nothing comes on them any more. Other calls
// are answered.
func (d *Discovery) SilenceWatches() {
	for _, k := range d.calls {
		if k.state == callWatching {
			k.state = callSilent
			d.loop.Disarm(&k.timer)
			d.ledger.silenced(k.sock.RemoteAddr().Addr())
		}
	}
}

// Stop ends it: its connections are reset.
func (d *Discovery) Stop() {
	d.listener.Close()
	for _, k := range slices.Clone(d.calls) {
		k.sock.Reset()
		k.forget()
	}
}

type callState uint8

const (
	callReading callState = iota
	callQueued            // it waits for its turn
	callWatching
	callSilent // its watch fell silent
	callGone
)

// discoveryCall is a connection to discovery with the call that is on it.
type discoveryCall struct {
	d     *Discovery
	sock  *poll.Socket
	state callState
	in    []byte
	out   []byte
	after int64
	wait  time.Time // a watch ends then; zero: it is none
	full  bool      // it would wait too long for its turn
	// Of the last answer:
	watched  bool // it belonged to a watch
	told     int64
	answered time.Time
	timer    poll.Timer
}

// maxRequest is the longest request that is read.
const maxRequest = 8 << 10

func (k *discoveryCall) Ready(e poll.Ready) {
	if e.Write && len(k.out) > 0 {
		n, err := k.sock.Write(k.out)
		if err != nil {
			k.end()
			return
		}
		k.out = k.out[n:]
		k.sock.Want(true, len(k.out) > 0)
	}
	if !e.Read {
		return
	}
	var buf [2048]byte
	n, err := k.sock.Read(buf[:])
	if errors.Is(err, poll.ErrAgain) {
		return
	}
	if k.in = append(k.in, buf[:n]...); err != nil || len(k.in) > maxRequest {
		k.end()
		return
	}
	k.next()
}

// next takes the next request, if all of it is there.
func (k *discoveryCall) next() {
	if k.state != callReading {
		return
	}
	head, rest, ok := bytes.Cut(k.in, []byte("\r\n\r\n"))
	if !ok {
		return
	}
	first, _, _ := bytes.Cut(head, []byte("\r\n"))
	k.in = append([]byte(nil), rest...)
	parts := bytes.Split(first, []byte(" "))
	if len(parts) != 3 || string(parts[0]) != "GET" {
		k.write("400 Bad Request", nil)
		return
	}
	u, err := url.Parse(string(parts[1]))
	if err != nil || u.Path != "/registry/instances" {
		k.write("404 Not Found", nil)
		return
	}
	now := k.d.loop.Now()
	k.after, k.wait, k.full = -1, time.Time{}, false
	if q := u.Query(); q.Has("index") {
		k.after, _ = strconv.ParseInt(q.Get("index"), 10, 64)
		if ms, err := strconv.Atoi(q.Get("wait")); err == nil {
			k.wait = now.Add(time.Duration(min(max(ms, 0), 60000)) * time.Millisecond)
		}
	}
	k.turn()
}

// turn has the call wait for its turn.
func (k *discoveryCall) turn() {
	d := k.d
	now := d.loop.Now()
	k.state = callQueued
	queue := max(d.free.Sub(now), 0)
	cost := d.c.CallWork
	if k.goesOn(now) {
		cost, queue = 0, 0
	}
	if limit := d.c.QueueTimeout; limit > 0 && queue > limit {
		k.full = true
		k.due()
		return
	}
	d.loop.Arm(&k.timer, now.Add(queue+cost))
	d.work(now, k, cost)
}

// goesOn tells whether the call goes on with a watch that this connection's last answer belongs to.
func (k *discoveryCall) goesOn(now time.Time) bool {
	return k.watched && k.after == k.told && now.Sub(k.answered) <= watchGap
}

// due answers: the call's turn is over, or its watch is.
func (k *discoveryCall) due() {
	if k.full {
		k.refuse()
		return
	}
	if k.state == callQueued && k.after >= 0 && k.after == k.d.list.seq && k.d.loop.Now().Before(k.wait) { // nothing new yet
		k.state = callWatching
		k.d.loop.Arm(&k.timer, k.wait)
		return
	}
	entries, whole := k.d.list.list(k.after)
	body, err := json.Marshal(struct {
		Seq   int64   `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts []Entry `json:"hosts"`
	}{k.d.list.seq, whole, entries})
	if err != nil {
		panic(err) // it is made of strings and numbers
	}
	if k.d.hang {
		k.out = fmt.Appendf(k.out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		k.state = callQueued // and stays there
		k.flush()
		return
	}
	now, proxy := k.d.loop.Now(), k.sock.RemoteAddr().Addr()
	for _, e := range entries {
		k.d.ledger.tell(now, proxy, e)
	}
	k.watched, k.told, k.answered = k.after >= 0, k.d.list.seq, now
	k.write("200 OK", body)
}

// refuse ends a call that waited too long: with 503, or for a part of them with a reset.
func (k *discoveryCall) refuse() {
	d := k.d
	d.refused++
	if float64(d.reset+1) <= d.c.ResetFraction*float64(d.refused) {
		d.reset++
		k.sock.Reset()
		k.forget()
		return
	}
	k.write("503 Service Unavailable", nil)
}

func (k *discoveryCall) write(status string, body []byte) {
	k.out = fmt.Appendf(k.out, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	k.state = callReading
	if k.flush() {
		k.next()
	}
}

func (k *discoveryCall) flush() bool {
	n, err := k.sock.Write(k.out)
	if err != nil {
		k.end()
		return false
	}
	k.out = k.out[n:]
	k.sock.Want(true, len(k.out) > 0)
	return true
}

func (k *discoveryCall) end() {
	k.sock.Close()
	k.forget()
}

func (k *discoveryCall) forget() {
	if k.state == callGone {
		return
	}
	k.state = callGone
	k.d.loop.Disarm(&k.timer)
	if i := slices.Index(k.d.calls, k); i >= 0 {
		k.d.calls = slices.Delete(k.d.calls, i, i+1)
	}
}
