package changes

import "time"

// Class is a category of traffic that has its own share of the Budget.
type Class uint8

// The traffic classes of a Budget.
const (
	ClassChange   Class = iota // pushes, pulls and their responses
	ClassRepair                // retransmission of missed changes
	ClassSnapshot              // transfer of the state itself
	classCount
)

// classShares are the fractions of the rate that the classes get while all of them have traffic to
// send. Bytes that one class leaves unused go to the others.
var classShares = [classCount]float64{ClassChange: 0.5, ClassRepair: 0.3, ClassSnapshot: 0.2}

// Budget limits the bytes that a process sends and receives for change replication. It holds one
// token bucket for each class. Tokens that a full bucket cannot hold go to the other buckets.
type Budget struct {
	rate       float64 // bytes per second
	burst      float64 // bytes, total of all classes
	tokens     [classCount]float64
	lastRefill time.Time
}

// NewBudget returns a full budget of rate bytes per second that allows bursts of up to burst bytes.
func NewBudget(now time.Time, rate, burst float64) *Budget {
	b := &Budget{rate: rate, burst: burst, lastRefill: now}
	for class := range classCount {
		b.tokens[class] = classShares[class] * burst
	}
	return b
}

func (b *Budget) refill(now time.Time) {
	earned := now.Sub(b.lastRefill).Seconds() * b.rate
	if earned <= 0 {
		return
	}
	b.lastRefill = now
	for class := range classCount {
		b.tokens[class] += earned * classShares[class]
	}
	// Tokens above a class's capacity go to the classes that are below theirs.
	excess := 0.0
	for class := range classCount {
		if capacity := classShares[class] * b.burst; b.tokens[class] > capacity {
			excess += b.tokens[class] - capacity
			b.tokens[class] = capacity
		}
	}
	for class := range classCount {
		room := min(excess, classShares[class]*b.burst-b.tokens[class])
		b.tokens[class] += room
		excess -= room
	}
}

// CanSpendAny reports whether the balance of a class allows it to spend now, be it only 1 byte.
// Messages are sent whole, and their size may take the balance below 0.
func (b *Budget) CanSpendAny(now time.Time, class Class) bool { return b.CanSpend(now, class, 1) }

// CanSpend reports whether a class may spend the given number of bytes now. A number above the
// capacity of the class's bucket needs a full bucket only.
func (b *Budget) CanSpend(now time.Time, class Class, bytes int) bool {
	b.refill(now)
	return b.tokens[class] >= min(float64(bytes), classShares[class]*b.burst)
}

// Spend takes bytes from a class's bucket. Bytes that could not be checked beforehand, such as
// those of a received datagram, may make the balance negative; later traffic then waits until it is
// repaid.
func (b *Budget) Spend(now time.Time, class Class, bytes int) {
	b.refill(now)
	b.tokens[class] -= float64(bytes)
}

// Exhausted reports whether a class's debt exceeds the capacity of its bucket. Not even small
// responses are sent then.
func (b *Budget) Exhausted(now time.Time, class Class) bool {
	b.refill(now)
	return b.tokens[class] < -classShares[class]*b.burst
}

// WaitTime returns an upper bound on the time until a class may spend bytes again.
func (b *Budget) WaitTime(now time.Time, class Class) time.Duration {
	if b.CanSpendAny(now, class) {
		return 0
	}
	return time.Duration(-b.tokens[class]/(b.rate*classShares[class])*float64(time.Second)) + time.Millisecond
}
