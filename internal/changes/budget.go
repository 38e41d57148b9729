package changes

import "time"

// Class is what bytes are spent on.
type Class uint8

// The classCount.
const (
	ClassChange   Class = iota // pushes, pulls and their answers
	ClassRepair                // changes that were missed
	ClassSnapshot              // the state itself
	classCount
)

// classShares are the classes' parts of the rate while all of them want to spend. What one leaves is the others'.
var classShares = [classCount]float64{ClassChange: 0.5, ClassRepair: 0.3, ClassSnapshot: 0.2}

// Budget bounds the bytes that a process sends and receives for changes: a token bucket for each class. A full bucket's share flows to the
// others.
type Budget struct {
	rate       float64 // bytes a second
	burst      float64 // bytes, of all classes together
	tokens     [classCount]float64
	lastRefill time.Time
}

// NewBudget returns a full budget of rate bytes a second that may be spent up to burst bytes at once.
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
	// What runs excess goes to the classes that have room.
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

// CanSpendAny tells whether a class may spend now.
func (b *Budget) CanSpendAny(now time.Time, class Class) bool { return b.CanSpend(now, class, 1) }

// CanSpend tells whether a class may spend so many bytes now; more than it can save up count as all of that.
func (b *Budget) CanSpend(now time.Time, class Class, bytes int) bool {
	b.refill(now)
	return b.tokens[class] >= min(float64(bytes), classShares[class]*b.burst)
}

// Spend takes bytes from a class. What could not be asked for beforehand, like a datagram that came, may leave it in debt, which later
// bytes have to wait for.
func (b *Budget) Spend(now time.Time, class Class, bytes int) {
	b.refill(now)
	b.tokens[class] -= float64(bytes)
}

// Exhausted tells whether a class owes as much as it could have saved: then not even small answers are due.
func (b *Budget) Exhausted(now time.Time, class Class) bool {
	b.refill(now)
	return b.tokens[class] < -classShares[class]*b.burst
}

// WaitTime is how long a class has to wait at the most until it may spend.
func (b *Budget) WaitTime(now time.Time, class Class) time.Duration {
	if b.CanSpendAny(now, class) {
		return 0
	}
	return time.Duration(-b.tokens[class]/(b.rate*classShares[class])*float64(time.Second)) + time.Millisecond
}
