// Package wire implements the protocol between the simulator and its adapter. It reads batches of
// events, translates their words into the types of package balance, and writes replies. It makes no
// decisions.
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

// The values of Kind, one for each kind of event that the simulator sends. Timer stands for
// DEADLINE_HIT and ClientGone for TIMED_OUT_CLIENT.
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

// Event is one message from the simulator. Which fields are set depends on its kind.
type Event struct {
	Kind          Kind
	Relay         int // number of the instance that the event is for
	Now           time.Time
	Seed          uint64
	Config        balance.Config
	List          balance.ListKind
	Backends      []balance.Backend // shared by all events of the same catalogue: read-only
	Request       balance.Request
	Attempt       int
	ClientSettled bool // the client needs no further answer
	Backend       string
	Outcome       balance.Outcome
	Report        balance.Report
	Metric        balance.Metric
	MetricKnown   bool // Metric is valid; false: this package does not know the metric
	MetricValue   float64
	Token         uint64
}

// messages maps the name of each message to its kind and its minimum number of values.
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

const maxCatalogues = 16 // catalogue numbers are below this

// Reader reads events from a stream of lines.
type Reader struct {
	in           *bufio.Reader
	lineNumber   int
	longLine     []byte // buffer for a line longer than the buffer of in
	inBatch      bool
	now          time.Time
	catalogues   [maxCatalogues][]balance.Backend
	catalogueSet [maxCatalogues]bool
	instances    map[int]*settings.Settings // settings of each running instance
	backendIDs   map[string]string          // backend IDs read so far: equal IDs share one string
	values       [][]byte                   // values of the current line
	err          error                      // first invalid value of the current line
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:         bufio.NewReaderSize(in, 1<<16),
		instances:  make(map[int]*settings.Settings),
		backendIDs: make(map[string]string),
	}
}

// Next reads the next event into e. It returns io.EOF if the input ends between two batches, and an
// error with the line number if the input does not conform to the protocol.
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

// readLine returns the next line without its line end. A last line without a line end counts as a
// line.
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

// parse parses one line. It returns true if the line began a catalogue, which is not an event.
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
		limit = m.values // the last value, the settings object, extends to the end of the line
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

// parseValues parses the values of an event for an instance.
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
	set, ok := r.instances[e.Relay]
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
		r.parseRequest(e, set)
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
		metric := r.signed(4)
		e.MetricKnown = metric == 1 || metric == 2
		if metric == 2 {
			e.Metric = balance.MetricDelay
		}
		e.MetricValue = r.float(r.values[5])
	case Finished:
		e.Request.ID = r.unsigned(1)
		e.ClientSettled = r.optionalSigned(2) != 0
		e.Backend = r.backendID(3)
		e.Outcome = lookUp(r, outcomes, 4)
		e.Attempt = int(r.signed(5))
		e.Report = r.report(7, set)
	case ClientGone:
		e.Request.ID = r.unsigned(1)
	case Checked:
		e.Backend = r.backendID(1)
		e.Outcome = lookUp(r, outcomes, 2)
		e.Report = r.report(4, set)
	}
}

// Bits of the flags value of a request.
const (
	flagMidFlow   = 8
	flagReconnect = 16
)

func (r *Reader) parseRequest(e *Event, set *settings.Settings) {
	q := &e.Request
	q.ID = r.unsigned(1)
	q.Class, q.Tenant = -1, -1
	if i, ok := set.Classes[string(r.values[2])]; ok {
		q.Class = i
	}
	if i, ok := set.Tenants[string(r.values[3])]; ok {
		q.Tenant = i
	}
	if !absent(r.values[4]) {
		q.Key = string(r.values[4])
	}
	q.Timeout = time.Duration(r.optionalSigned(5)) * time.Microsecond
	if !absent(r.values[7]) {
		q.Group = string(r.values[7])
	}
	flags := r.optionalSigned(8)
	q.MidFlow, q.Reconnect = flags&flagMidFlow != 0, flags&flagReconnect != 0
	if e.Kind == Handover {
		e.Backend = r.backendID(9)
	}
}

// readCatalogue parses the first line of a catalogue and reads its rows.
func (r *Reader) readCatalogue(rest []byte) error {
	r.err = nil
	r.split(rest, -1)
	if len(r.values) < 2 {
		return fmt.Errorf("CATALOG has %d values, not 2", len(r.values))
	}
	number, rows := r.unsigned(0), r.unsigned(1)
	if r.err != nil {
		return fmt.Errorf("CATALOG: %w", r.err)
	}
	if number >= maxCatalogues {
		return fmt.Errorf("CATALOG: number %d is over %d", number, maxCatalogues-1)
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
		if start := r.optionalSigned(6); start != 0 {
			b.StartTime = time.UnixMicro(start)
		}
		if !absent(r.values[5]) {
			b.Size = r.float(r.values[5])
		}
		if r.err != nil {
			return fmt.Errorf("ROW: %w", r.err)
		}
		list = append(list, b)
	}
	r.catalogues[number], r.catalogueSet[number] = list, true
	return nil
}
