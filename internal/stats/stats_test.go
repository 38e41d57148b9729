package stats

import (
	"testing"
	"time"
)

func TestListAges(t *testing.T) {
	var c Counters
	if c.ListAgeQuantile(0.5) > time.Second || c.ListAgeFraction(time.Second) != 0 {
		t.Error("ages of no hop at all")
	}
	for i := range 100 {
		c.CountListAge(time.Duration(i) * 100 * time.Millisecond) // evenly over 10 s
	}
	if c.ListAgeQuantile(0.5) != 5*time.Second || c.ListAgeQuantile(0.99) != 10*time.Second || c.ListAgeQuantile(0.1) != time.Second {
		t.Errorf("%v, %v, %v", c.ListAgeQuantile(0.1), c.ListAgeQuantile(0.5), c.ListAgeQuantile(0.99))
	}
	if got := c.ListAgeFraction(3 * time.Second); got != 0.3 {
		t.Errorf("%v under 3 s", got)
	}
	c.CountListAge(time.Hour)
	if c.ListAgeQuantile(1) != 40*time.Second || c.ListAgeMore != 1 {
		t.Errorf("an hour counts as %v", c.ListAgeQuantile(1))
	}
}
