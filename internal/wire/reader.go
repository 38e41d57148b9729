// Package wire speaks the simulator's wire: it reads batches of events, translates their words into those
// of package balance, and writes replies. It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/settings"
)

// Kind is the kind of an Event.
type Kind uint8

// The kinds of Kind.
const (
	Frame Kind = iota
	YourTurn
	Configure
	Members
	Ingress
	Mail
	Timer
	Streaming
	Retire
	Heartbeat
	Finished
	ClientGone
	Handover
	Checked
)

// Event is one message to the adapter. Which fields are set depends on its kind.
type Event struct {
	Kind        Kind
	Relay       int
	Now         time.Time
	Seed        uint64
	Config      balance.Config
	List        balance.ListKind
	Backends    []balance.Backend // shared by all events that point at one catalogue: read only
	Request     balance.Request
	Attempt     int
	Settled     bool
	Backend     string
	Outcome     balance.Outcome
	Report      balance.Report
	Metric      balance.Metric
	MetricKnown bool // the kind of note is known
	MetricValue float64
	Token       uint64
}

// messages gives each message its kind and its least number of values.
var messages = map[string]struct {
	kind   Kind
	values int
}{
	"FRAME": {Frame, 1}, "YOUR_TURN": {YourTurn, 0}, "CONFIGURE": {Configure, 3}, "MEMBERS": {Members, 4},
	"INGRESS": {Ingress, 9}, "MAIL": {Mail, 3}, "DEADLINE_HIT": {Timer, 2}, "STREAMING": {Streaming, 5},
	"RETIRE": {Retire, 1}, "HEARTBEAT": {Heartbeat, 6}, "FINISHED": {Finished, 8},
	"TIMED_OUT_CLIENT": {ClientGone, 2}, "HANDOVER": {Handover, 10}, "CHECKED": {Checked, 5},
}

var listKinds = map[string]balance.ListKind{
	"patch": balance.ListPatch, "whole": balance.ListWhole, "stale_copy": balance.ListStale,
	"broken": balance.ListBroken,
}

var outcomes = map[string]balance.Outcome{
	"pass": balance.OK, "fault": balance.Error, "no_room": balance.Rejected, "too_slow": balance.TimedOut,
	"no_route": balance.NoConnect, "cut": balance.Broken, "undone": balance.Cancelled,
	"stale_send": balance.NotSent,
}

var states = map[string]balance.State{
	"SERVING": balance.Ready, "DRAINING": balance.Draining, "DELETED": balance.Gone,
}

const catalogues = 16 // numbers that catalogues may have

// Reader reads events line by line.
type Reader struct {
	in      *bufio.Reader
	line    int
	long    []byte
	inBatch bool
	now     time.Time
	sheets  [catalogues][]balance.Backend
	filled  [catalogues]bool
	relays  map[int]*settings.Settings
	names   map[string]string // backend ids seen, so that each is kept once
	parts   [][]byte
	err     error // first bad value of the line in hand
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:     bufio.NewReaderSize(in, 1<<16),
		relays: make(map[int]*settings.Settings),
		names:  make(map[string]string),
	}
}

// Next reads the next event into e. It returns io.EOF at the end of input between two batches, and an
// error that names the line for anything that is not of the wire.
func (r *Reader) Next(e *Event) error {
	for {
		line, err := r.readLine()
		if err == io.EOF && !r.inBatch {
			return io.EOF
		}
		if err == io.EOF {
			return fmt.Errorf("line %d: input ends inside a batch", r.line)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", r.line, err)
		}
		if len(line) == 0 && !r.inBatch {
			continue
		}
		catalogue, err := r.parse(line, e)
		if err != nil {
			return fmt.Errorf("line %d: %w", r.line, err)
		}
		if !catalogue {
			return nil
		}
	}
}

// readLine returns the next line without its end. A line that the input ends in counts as a line.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.long = append(r.long, line...)
		}
		line = r.long
	}
	if len(line) > 0 {
		r.line++
		return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")), nil
	}
	return nil, err
}

// parse reads one line. It reports whether the line was a catalogue, which is no event.
func (r *Reader) parse(line []byte, e *Event) (catalogue bool, err error) {
	name, rest, _ := bytes.Cut(line, []byte(" "))
	if string(name) == "CATALOG" {
		if !r.inBatch {
			return false, errors.New("CATALOG outside a batch")
		}
		return true, r.catalogue(rest)
	}
	m, ok := messages[string(name)]
	if !ok {
		return false, fmt.Errorf("unknown message %q", name)
	}
	limit := -1
	if m.kind == Configure {
		limit = m.values // the settings run to the end of the line
	}
	r.split(rest, limit)
	if len(r.parts) < m.values {
		return false, fmt.Errorf("%s has %d values, not %d", name, len(r.parts), m.values)
	}
	if (m.kind == Frame) == r.inBatch {
		return false, fmt.Errorf("%s out of place", name)
	}
	r.err = nil
	*e = Event{Kind: m.kind}
	switch m.kind {
	case Frame:
		r.now = time.UnixMicro(r.integer(0))
		r.inBatch = true
	case YourTurn:
		r.inBatch = false
	default:
		e.Relay = int(r.integer(0))
		if r.err == nil {
			r.fill(e)
		}
	}
	e.Now = r.now
	if r.err != nil {
		return false, fmt.Errorf("%s: %w", name, r.err)
	}
	return false, nil
}

// fill reads the values of an event that belongs to an instance.
func (r *Reader) fill(e *Event) {
	if e.Kind == Configure {
		e.Seed = r.whole(1)
		set, err := settings.Decode(r.parts[2])
		if err != nil {
			r.fail(err)
			return
		}
		e.Config = set.Config
		r.relays[e.Relay] = set
		return
	}
	rel, ok := r.relays[e.Relay]
	if !ok {
		r.fail(fmt.Errorf("unknown instance %d", e.Relay))
		return
	}
	switch e.Kind {
	case Members:
		e.List = word(r, listKinds, 1)
		if e.List == balance.ListBroken || r.err != nil {
			return
		}
		n := r.whole(3)
		if n >= catalogues || !r.filled[n] {
			r.fail(fmt.Errorf("no catalogue %s", r.parts[3]))
			return
		}
		e.Backends = r.sheets[n]
	case Ingress, Handover:
		r.request(e, rel)
	case Timer:
		e.Token = r.whole(1)
	case Streaming:
		e.Request.ID = r.whole(1)
		e.Attempt = int(r.integer(2))
		e.Backend = r.backend(3)
	case Retire:
		delete(r.relays, e.Relay)
	case Heartbeat:
		e.Request.ID = r.whole(1)
		e.Attempt = int(r.integer(2))
		e.Backend = r.backend(3)
		sort := r.integer(4)
		e.MetricKnown = sort == 1 || sort == 2
		if sort == 2 {
			e.Metric = balance.MetricDelay
		}
		e.MetricValue = r.number(r.parts[5])
	case Finished:
		e.Request.ID = r.whole(1)
		e.Settled = r.optional(2) != 0
		e.Backend = r.backend(3)
		e.Outcome = word(r, outcomes, 4)
		e.Attempt = int(r.integer(5))
		e.Report = r.report(7, rel)
	case ClientGone:
		e.Request.ID = r.whole(1)
	case Checked:
		e.Backend = r.backend(1)
		e.Outcome = word(r, outcomes, 2)
		e.Report = r.report(4, rel)
	}
}

// Bits of a request's flags.
const (
	bitMidFlow = 8
	bitAgain   = 16
)

func (r *Reader) request(e *Event, rel *settings.Settings) {
	q := &e.Request
	q.ID = r.whole(1)
	q.Class, q.Tenant = -1, -1
	if i, ok := rel.Classes[string(r.parts[2])]; ok {
		q.Class = i
	}
	if i, ok := rel.Tenants[string(r.parts[3])]; ok {
		q.Tenant = i
	}
	if !absent(r.parts[4]) {
		q.Key = string(r.parts[4])
	}
	q.Timeout = time.Duration(r.optional(5)) * time.Microsecond
	if !absent(r.parts[7]) {
		q.Group = string(r.parts[7])
	}
	bits := r.optional(8)
	q.MidFlow, q.Reconnect = bits&bitMidFlow != 0, bits&bitAgain != 0
	if e.Kind == Handover {
		e.Backend = r.backend(9)
	}
}

// catalogue reads the head of a catalogue and its rows.
func (r *Reader) catalogue(rest []byte) error {
	r.err = nil
	r.split(rest, -1)
	if len(r.parts) < 2 {
		return fmt.Errorf("CATALOG has %d values, not 2", len(r.parts))
	}
	sheet, rows := r.whole(0), r.whole(1)
	if r.err != nil {
		return fmt.Errorf("CATALOG: %w", r.err)
	}
	if sheet >= catalogues {
		return fmt.Errorf("CATALOG: number %d is over %d", sheet, catalogues-1)
	}
	var list []balance.Backend
	for range rows {
		line, err := r.readLine()
		if err == io.EOF {
			return errors.New("input ends inside a catalogue")
		}
		if err != nil {
			return err
		}
		name, values, _ := bytes.Cut(line, []byte(" "))
		r.split(values, -1)
		if string(name) != "ROW" || len(r.parts) < 7 {
			return errors.New("CATALOG: not a ROW of 7 values")
		}
		b := balance.Backend{
			ID:    r.backend(0),
			Zone:  string(r.parts[1]),
			Cell:  int(r.optional(3)),
			State: word(r, states, 4),
			Size:  1,
		}
		if boot := r.optional(6); boot != 0 {
			b.StartTime = time.UnixMicro(boot)
		}
		if !absent(r.parts[5]) {
			b.Size = r.number(r.parts[5])
		}
		if r.err != nil {
			return fmt.Errorf("ROW: %w", r.err)
		}
		list = append(list, b)
	}
	r.sheets[sheet], r.filled[sheet] = list, true
	return nil
}
