package fleet

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ledger records what the parts of a fleet observe: service by class and second, answers, and
// violations of rules. It must be used by one goroutine only.
type Ledger struct {
	Classes []Class
	begin   time.Time
	end     time.Time    // nothing after this counts
	wanted  [][]float64  // wanted connection seconds, by class and second
	served  [][]float64  // well-served connection seconds, by class and second
	SetUp   []Histogram  // by class: from a client's OPEN line to its UP
	Message []Histogram  // by class: from a message to its answer
	Counts  ClientCounts // what the clients saw
	Moves   []int        // moved connections, by second
	// notServingSince holds when discovery told a proxy that a relay takes no new work. An entry is
	// deleted when the proxy is told that the relay serves.
	notServingSince map[notServingKey]time.Time
	// ListShared tells that proxies pass on what discovery told one of them: a relay that one proxy
	// knows to serve again counts as known to all.
	ListShared  bool
	OnViolation func(rule string, detail string) // called for each violation of a rule; not nil
	// OnTell is called when discovery is about to write an entry to a proxy. If it is nil, the
	// proxy is deemed to know the entry from that time on.
	OnTell func(proxy netip.Addr, e Entry)
	// OnWatchSilenced is called when an open watch of a proxy is silenced; may be nil.
	OnWatchSilenced func(proxy netip.Addr)
}

// ClientCounts counts what the clients saw.
type ClientCounts struct {
	Clients         int `json:"clients"`  // clients that arrived
	Completed       int `json:"done"`     // clients that had all the connected time they wanted
	Requests        int `json:"requests"` // OPEN lines that were sent
	Up              int `json:"up"`
	Refused         int `json:"refused"`
	Failed          int `json:"failed"`
	Unanswered      int `json:"unanswered"` // requests given up without an answer
	Lost            int `json:"lost"`       // requests whose connection ended without an answer
	ConnectFailures int `json:"unmade"`     // connections that failed before the OPEN line was sent
	Moved           int `json:"moved"`
	Cut             int `json:"cut"`      // established connections that ended without a MOVE
	Crossing        int `json:"crossing"` // requests from a proxy of another site
	Probes          int `json:"probes"`
	FaultErrors     int `json:"failing"`  // requests that failing relays answered with an error
	Standing        int `json:"standing"` // connections that stood before the day and came up again
	SilentLines     int `json:"silent"`   // connections on which a relay left a line unanswered; see CutOutput
}

// notServingKey identifies a relay and the proxy that discovery told of it.
type notServingKey struct {
	proxy netip.Addr
	relay string
}

// Histogram holds durations in microseconds with three significant digits.
type Histogram struct{ *hdrhistogram.Histogram }

func newHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (h Histogram) add(d time.Duration) {
	// RecordValue cannot fail: the value is within the histogram's range.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), time.Minute.Microseconds()))
}

// Quantile returns the duration that the given part of the values, 0 to 1, does not exceed.
func (h Histogram) Quantile(quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(100*quantile)) * time.Microsecond
}

// NewLedger returns a ledger for a run that begins at the given time and counts for the given
// length.
func NewLedger(begin time.Time, length time.Duration, classes []Class) *Ledger {
	l := &Ledger{Classes: classes, begin: begin, end: begin.Add(length), notServingSince: make(map[notServingKey]time.Time)}
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

// Begin returns the time from which on observations count.
func (l *Ledger) Begin() time.Time { return l.begin }

// End returns the time after which observations no longer count.
func (l *Ledger) End() time.Time { return l.end }

// addSeconds adds the time between from and until to the buckets of one second that it falls in.
func (l *Ledger) addSeconds(buckets []float64, from, until time.Time) {
	if from.Before(l.begin) {
		from = l.begin
	}
	if until.After(l.end) {
		until = l.end
	}
	for from.Before(until) {
		i := int(from.Sub(l.begin) / time.Second)
		next := l.begin.Add(time.Duration(i+1) * time.Second)
		if next.After(until) {
			next = until
		}
		buckets[i] += next.Sub(from).Seconds()
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

// RecordTold records that discovery has written to a proxy whether a relay takes new work.
func (l *Ledger) RecordTold(now time.Time, proxy netip.Addr, relay string, serving bool) {
	key := notServingKey{proxy, relay}
	if serving && l.ListShared {
		for k := range l.notServingSince { // removes all matches, so the order does not matter
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

// notifyTell calls OnTell if it is set, and RecordTold otherwise.
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

// NotServingSince returns since when a proxy knows that a relay takes no new work.
func (l *Ledger) NotServingSince(proxy netip.Addr, relay string) (time.Time, bool) {
	t, ok := l.notServingSince[notServingKey{proxy, relay}]
	return t, ok
}

// ForgetProxy drops the records of a proxy that has ended.
func (l *Ledger) ForgetProxy(proxy netip.Addr) {
	for k := range l.notServingSince { // removes all matches, so the order does not matter
		if k.proxy == proxy {
			delete(l.notServingSince, k)
		}
	}
}

// Service returns the worth of the served seconds over the worth of the wanted seconds, in the
// seconds [from, to). Class -1 stands for all classes. The result is NaN where nothing was wanted.
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

// Seconds returns the number of seconds of the run that count.
func (l *Ledger) Seconds() int { return len(l.wanted[0]) - 1 }

// worstWindowSeconds is the length of the window in WorstWindow.
const worstWindowSeconds = 10

// WorstWindow returns the lowest service of any window of 10 s and the second in which that window
// begins. A run shorter than 10 s is one window.
func (l *Ledger) WorstWindow() (service float64, from int) {
	service = math.Inf(1)
	for i := 0; i+min(worstWindowSeconds, l.Seconds()) <= l.Seconds(); i++ {
		if s := l.Service(-1, i, i+worstWindowSeconds); s < service {
			service, from = s, i
		}
	}
	return service, from
}

// Goal returns the weighted service of the whole run (35%), of the worst window (45%) and of the
// worst-served class (20%), less 3.2 percentage points for one move per client and 2.2 for one
// request per request that crosses sites.
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
