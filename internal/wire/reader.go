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

const maxCatalogues = 16 // numbers that catalogues may have

// Reader reads events line by line.
type Reader struct {
	in           *bufio.Reader
	lineNumber   int
	longLine     []byte
	inBatch      bool
	now          time.Time
	catalogues   [maxCatalogues][]balance.Backend
	catalogueSet [maxCatalogues]bool
	instances    map[int]*settings.Settings
	backendIDs   map[string]string // backend ids seen, so that each is kept once
	values       [][]byte
	err          error // first bad value of the line in hand
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:         bufio.NewReaderSize(in, 1<<16),
		instances:  make(map[int]*settings.Settings),
		backendIDs: make(map[string]string),
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
			return fmt.Errorf("line %d: input ends inside a batch", r.lineNumber)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
		}
		if len(line) == 0 && !r.inBatch {
			continue
		}
		catalogue, err := r.parse(line, e)
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
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
		r.longLine = append(r.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.longLine = append(r.longLine, line...)
		}
		line = r.longLine
	}
	if len(line) > 0 {
		r.lineNumber++
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
		return true, r.readCatalogue(rest)
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
	if len(r.values) < m.values {
		return false, fmt.Errorf("%s has %d values, not %d", name, len(r.values), m.values)
	}
	if (m.kind == Frame) == r.inBatch {
		return false, fmt.Errorf("%s out of place", name)
	}
	r.err = nil
	*e = Event{Kind: m.kind}
	switch m.kind {
	case Frame:
		r.now = time.UnixMicro(r.signed(0))
		r.inBatch = true
	case YourTurn:
		r.inBatch = false
	default:
		e.Relay = int(r.signed(0))
		if r.err == nil {
			r.parseValues(e)
		}
	}
	e.Now = r.now
	if r.err != nil {
		return false, fmt.Errorf("%s: %w", name, r.err)
	}
	return false, nil
}

// parseValues reads the values of an event that belongs to an instance.
func (r *Reader) parseValues(e *Event) {
	if e.Kind == Configure {
		e.Seed = r.unsigned(1)
		set, err := settings.Decode(r.values[2])
		if err != nil {
			r.fail(err)
			return
		}
		e.Config = set.Config
		r.instances[e.Relay] = set
		return
	}
	rel, ok := r.instances[e.Relay]
	if !ok {
		r.fail(fmt.Errorf("unknown instance %d", e.Relay))
		return
	}
	switch e.Kind {
	case Members:
		e.List = lookUp(r, listKinds, 1)
		if e.List == balance.ListBroken || r.err != nil {
			return
		}
		n := r.unsigned(3)
		if n >= maxCatalogues || !r.catalogueSet[n] {
			r.fail(fmt.Errorf("no catalogue %s", r.values[3]))
			return
		}
		e.Backends = r.catalogues[n]
	case Ingress, Handover:
		r.parseRequest(e, rel)
	case Timer:
		e.Token = r.unsigned(1)
	case Streaming:
		e.Request.ID = r.unsigned(1)
		e.Attempt = int(r.signed(2))
		e.Backend = r.backendID(3)
	case Retire:
		delete(r.instances, e.Relay)
	case Heartbeat:
		e.Request.ID = r.unsigned(1)
		e.Attempt = int(r.signed(2))
		e.Backend = r.backendID(3)
		sort := r.signed(4)
		e.MetricKnown = sort == 1 || sort == 2
		if sort == 2 {
			e.Metric = balance.MetricDelay
		}
		e.MetricValue = r.float(r.values[5])
	case Finished:
		e.Request.ID = r.unsigned(1)
		e.Settled = r.optionalSigned(2) != 0
		e.Backend = r.backendID(3)
		e.Outcome = lookUp(r, outcomes, 4)
		e.Attempt = int(r.signed(5))
		e.Report = r.report(7, rel)
	case ClientGone:
		e.Request.ID = r.unsigned(1)
	case Checked:
		e.Backend = r.backendID(1)
		e.Outcome = lookUp(r, outcomes, 2)
		e.Report = r.report(4, rel)
	}
}

// Bits of a request's flags.
const (
	flagMidFlow   = 8
	flagReconnect = 16
)

func (r *Reader) parseRequest(e *Event, rel *settings.Settings) {
	q := &e.Request
	q.ID = r.unsigned(1)
	q.Class, q.Tenant = -1, -1
	if i, ok := rel.Classes[string(r.values[2])]; ok {
		q.Class = i
	}
	if i, ok := rel.Tenants[string(r.values[3])]; ok {
		q.Tenant = i
	}
	if !absent(r.values[4]) {
		q.Key = string(r.values[4])
	}
	q.Timeout = time.Duration(r.optionalSigned(5)) * time.Microsecond
	if !absent(r.values[7]) {
		q.Group = string(r.values[7])
	}
	bits := r.optionalSigned(8)
	q.MidFlow, q.Reconnect = bits&flagMidFlow != 0, bits&flagReconnect != 0
	if e.Kind == Handover {
		e.Backend = r.backendID(9)
	}
}

// readCatalogue reads the head of a readCatalogue and its rows.
func (r *Reader) readCatalogue(rest []byte) error {
	r.err = nil
	r.split(rest, -1)
	if len(r.values) < 2 {
		return fmt.Errorf("CATALOG has %d values, not 2", len(r.values))
	}
	sheet, rows := r.unsigned(0), r.unsigned(1)
	if r.err != nil {
		return fmt.Errorf("CATALOG: %w", r.err)
	}
	if sheet >= maxCatalogues {
		return fmt.Errorf("CATALOG: number %d is over %d", sheet, maxCatalogues-1)
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
		if string(name) != "ROW" || len(r.values) < 7 {
			return errors.New("CATALOG: not a ROW of 7 values")
		}
		b := balance.Backend{
			ID:    r.backendID(0),
			Zone:  string(r.values[1]),
			Cell:  int(r.optionalSigned(3)),
			State: lookUp(r, states, 4),
			Size:  1,
		}
		if boot := r.optionalSigned(6); boot != 0 {
			b.StartTime = time.UnixMicro(boot)
		}
		if !absent(r.values[5]) {
			b.Size = r.float(r.values[5])
		}
		if r.err != nil {
			return fmt.Errorf("ROW: %w", r.err)
		}
		list = append(list, b)
	}
	r.catalogues[sheet], r.catalogueSet[sheet] = list, true
	return nil
}
