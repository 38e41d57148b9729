package fleet

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ledger is what the parts of a fleet saw: service by class and second, answers, and what broke a rule. It belongs to
// one goroutine.
type Ledger struct {
	Classes         []Class
	begin           time.Time
	countUntil      time.Time    // nothing after this counts
	wanted          [][]float64  // by class and second: connection seconds that were wanted
	served          [][]float64  // those that were well served
	SetUp           []Histogram  // by class: from a client's line to its UP
	Message         []Histogram  // by class: from a line to its answer
	Counts          ClientCounts // what clients saw
	Moves           []int        // by second
	notServingSince map[notServingKey]time.Time
	// ListShared says that proxies pass on what discovery told one of them: a relay that is known to serve again is so to all.
	ListShared  bool
	OnViolation func(rule string, detail string) // called for what breaks a rule
	// OnTell is called when discovery is about to write an entry to a proxy; nil: it counts as told then.
	OnTell func(proxy netip.Addr, e Entry)
	// OnWatchSilenced is called when a proxy's open watch falls silent; nil: nobody wants to know.
	OnWatchSilenced func(proxy netip.Addr)
}

// ClientCounts counts what clients saw.
type ClientCounts struct {
	Clients         int `json:"clients"`  // that came
	Completed       int `json:"done"`     // that had their connection for as long as they wanted it
	Requests        int `json:"requests"` // first lines
	Up              int `json:"up"`
	Refused         int `json:"refused"`
	Failed          int `json:"failed"`
	Unanswered      int `json:"unanswered"` // requests given up without an answer
	Lost            int `json:"lost"`       // requests whose connection ended without an answer
	ConnectFailures int `json:"unmade"`     // connections to a proxy that never came up, or broke before the line was out
	Moved           int `json:"moved"`
	Cut             int `json:"cut"` // standing connections that ended without a word
	Crossing        int `json:"crossing"`
	Probes          int `json:"probes"`
	FaultErrors     int `json:"failing"` // requests that relays in trouble answered with an error
}

// notServingKey names what discovery notServingKey to whom.
type notServingKey struct {
	proxy netip.Addr
	relay string
}

// Histogram is of times, in microseconds, with three significant digits.
type Histogram struct{ *hdrhistogram.Histogram }

func newHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (h Histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), time.Minute.Microseconds())) // in its range by that
}

// Quantile is the time that a part of them keep, 0 to 1.
func (h Histogram) Quantile(part float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(100*part)) * time.Microsecond
}

// NewLedger returns a ledger for a run that begins now and counts for as long.
func NewLedger(begin time.Time, length time.Duration, classes []Class) *Ledger {
	l := &Ledger{Classes: classes, begin: begin, countUntil: begin.Add(length), notServingSince: make(map[notServingKey]time.Time)}
	n := int(length/time.Second) + 1
	for range classes {
		l.wanted = append(l.wanted, make([]float64, n))
		l.served = append(l.served, make([]float64, n))
		l.SetUp = append(l.SetUp, newHistogram())
		l.Message = append(l.Message, newHistogram())
	}
	l.Moves = make([]int, n)
	l.OnViolation = func(string, string) {}
	return l
}

// Begin and End bound what counts.
func (l *Ledger) Begin() time.Time { return l.begin }

// End is when nothing counts any more.
func (l *Ledger) End() time.Time { return l.countUntil }

// addSeconds adds the seconds between two times to the buckets that they fall in.
func (l *Ledger) addSeconds(to []float64, from, until time.Time) {
	if from.Before(l.begin) {
		from = l.begin
	}
	if until.After(l.countUntil) {
		until = l.countUntil
	}
	for from.Before(until) {
		i := int(from.Sub(l.begin) / time.Second)
		next := l.begin.Add(time.Duration(i+1) * time.Second)
		if next.After(until) {
			next = until
		}
		to[i] += next.Sub(from).Seconds()
		from = next
	}
}

func (l *Ledger) addWanted(class int, from, until time.Time) {
	l.addSeconds(l.wanted[class], from, until)
}
func (l *Ledger) addServed(class int, from, until time.Time) {
	l.addSeconds(l.served[class], from, until)
}

func (l *Ledger) addMove(now time.Time) {
	l.Counts.Moved++
	if i := int(now.Sub(l.begin) / time.Second); i >= 0 && i < len(l.Moves) {
		l.Moves[i]++
	}
}

// RecordTold takes down that discovery has written to a proxy whether a relay takes new work.
func (l *Ledger) RecordTold(now time.Time, proxy netip.Addr, relay string, serving bool) {
	key := notServingKey{proxy, relay}
	if serving && l.ListShared {
		for k := range l.notServingSince { // all that match go, in whatever order
			if k.relay == relay {
				delete(l.notServingSince, k)
			}
		}
	}
	if serving {
		delete(l.notServingSince, key)
	} else if _, known := l.notServingSince[key]; !known {
		l.notServingSince[key] = now
	}
}

// notifyTell is Told, or Telling where somebody knows better when it is.
func (l *Ledger) notifyTell(now time.Time, proxy netip.Addr, e Entry) {
	if l.OnTell != nil {
		l.OnTell(proxy, e)
	} else {
		l.RecordTold(now, proxy, e.Host, e.Health == Serving)
	}
}

func (l *Ledger) notifyWatchSilenced(proxy netip.Addr) {
	if l.OnWatchSilenced != nil {
		l.OnWatchSilenced(proxy)
	}
}

// NotServingSince tells since when a proxy knows that a relay takes no new work.
func (l *Ledger) NotServingSince(proxy netip.Addr, relay string) (time.Time, bool) {
	t, ok := l.notServingSince[notServingKey{proxy, relay}]
	return t, ok
}

// ForgetProxy drops what was told to a proxy that has ended.
func (l *Ledger) ForgetProxy(proxy netip.Addr) {
	for k := range l.notServingSince { // all that match go, in whatever order
		if k.proxy == proxy {
			delete(l.notServingSince, k)
		}
	}
}

// Service is the worth of the well-served seconds over that of all that were wanted, of the seconds [from, to). Class -1
// stands for all classes. It is NaN where nothing was wanted.
func (l *Ledger) Service(class, from, to int) float64 {
	asked, served := 0.0, 0.0
	for c := range l.Classes {
		if class >= 0 && c != class {
			continue
		}
		for i := max(from, 0); i < min(to, len(l.wanted[c])); i++ {
			asked += l.Classes[c].Worth * l.wanted[c][i]
			served += l.Classes[c].Worth * l.served[c][i]
		}
	}
	if asked == 0 {
		return math.NaN()
	}
	return served / asked
}

// Seconds is how many seconds the run counts.
func (l *Ledger) Seconds() int { return len(l.wanted[0]) - 1 }

// worstWindowSeconds is the window of which the worst one counts.
const worstWindowSeconds = 10

// WorstWindow is the service in the worst window of 10 s, and the second in which that begins. A shorter run is one window.
func (l *Ledger) WorstWindow() (service float64, from int) {
	service = math.Inf(1)
	for i := 0; i+min(worstWindowSeconds, l.Seconds()) <= l.Seconds(); i++ {
		if s := l.Service(-1, i, i+worstWindowSeconds); s < service {
			service, from = s, i
		}
	}
	return service, from
}

// Goal mixes the whole run (35 parts in 100), the worst window (45) and the worst-served class (20), less 3.2 points for
// each client being moved once and 2.2 for each request crossing sites once.
func (l *Ledger) Goal() float64 {
	worst, _ := l.WorstWindow()
	class := math.Inf(1)
	for c := range l.Classes {
		if s := l.Service(c, 0, l.Seconds()); s < class {
			class = s
		}
	}
	g := 0.35*l.Service(-1, 0, l.Seconds()) + 0.45*worst + 0.20*class
	if l.Counts.Clients > 0 {
		g -= 0.032 * float64(l.Counts.Moved) / float64(l.Counts.Clients)
	}
	if l.Counts.Requests > 0 {
		g -= 0.022 * float64(l.Counts.Crossing) / float64(l.Counts.Requests)
	}
	return g
}

func (l *Ledger) reportViolation(rule, format string, args ...any) {
	l.OnViolation(rule, fmt.Sprintf(format, args...))
}
