package wire

import (
	"io"
	"strconv"
	"strings"
	"time"

	"ospreyspan/balance"
)

// Writer collects the actions of one reply and writes the reply in one call.
type Writer struct {
	out io.Writer
	buf []byte
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Finish ends the reply and writes it.
func (w *Writer) Finish() error {
	w.buf = append(w.buf, "FINISHED\n"...)
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}

// begin starts a message of an instance. The methods number, microseconds and text add its values,
// and end ends its line.
func (w *Writer) begin(name string, relay int) {
	w.buf = append(w.buf, name...)
	w.number(int64(relay))
}

func (w *Writer) number(n int64) {
	w.buf = append(w.buf, ' ')
	w.buf = strconv.AppendInt(w.buf, n, 10)
}

// microseconds adds a duration in microseconds, the unit of the protocol.
func (w *Writer) microseconds(d time.Duration) { w.number(d.Microseconds()) }

func (w *Writer) text(s string) {
	w.buf = append(w.buf, ' ')
	w.buf = append(w.buf, s...)
}

func (w *Writer) end() { w.buf = append(w.buf, '\n') }

// newlineReplacer replaces line ends in free text, which must stay on one line of the protocol.
var newlineReplacer = strings.NewReplacer("\n", " ", "\r", " ")

// InternalError reports to the simulator that the decision code failed.
func (w *Writer) InternalError(relay int, what string) {
	w.begin("INTERNAL_ERROR", relay)
	w.text(newlineReplacer.Replace(what))
	w.end()
}

// Host returns the balance.Host that writes the actions of one instance.
func (w *Writer) Host(relay int) balance.Host { return host{w, relay} }

type host struct {
	w     *Writer
	relay int
}

func (h host) Send(id balance.RequestID, backend string, timeout time.Duration) {
	h.w.begin("SEND", h.relay)
	h.w.number(int64(id))
	h.w.text(backend)
	h.w.microseconds(timeout)
	h.w.end()
}

func (h host) Refuse(id balance.RequestID, retryAfter time.Duration) {
	h.w.begin("SAY_NO", h.relay)
	h.w.number(int64(id))
	h.w.microseconds(retryAfter)
	h.w.end()
}

func (h host) Fail(id balance.RequestID) { h.writeAction("SURRENDER", id) }

func (h host) Move(id balance.RequestID) { h.writeAction("MIGRATE", id) }

func (h host) writeAction(name string, id balance.RequestID) {
	h.w.begin(name, h.relay)
	h.w.number(int64(id))
	h.w.end()
}

func (h host) Cancel(id balance.RequestID, attempt int) {
	h.w.begin("ABORT_ATTEMPT", h.relay)
	h.w.number(int64(id))
	h.w.number(int64(attempt))
	h.w.end()
}

func (h host) Probe(backend string) {
	h.w.begin("PROBE", h.relay)
	h.w.text(backend)
	h.w.end()
}

func (h host) WatchDiscovery() {
	h.w.begin("TAIL", h.relay)
	h.w.number(1)
	h.w.end()
}

func (h host) After(d time.Duration, token uint64) {
	h.w.begin("NOTIFY_ME", h.relay)
	h.w.microseconds(d)
	h.w.number(int64(token))
	h.w.end()
}
