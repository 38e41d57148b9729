package stats

import (
	"strings"
	"testing"
	"time"
)

func TestListAge(t *testing.T) {
	var c Counters
	if c.ListAgeQuantile(0.5) > time.Second || c.ListAgeFraction(time.Second) != 0 {
		t.Error("without hops: median age over 1 s, or fraction under 1 s not 0")
	}
	for i := range 100 {
		c.CountListAge(time.Duration(i) * 100 * time.Millisecond) // evenly distributed over 10 s
	}
	if c.ListAgeQuantile(0.5) != 5*time.Second || c.ListAgeQuantile(0.99) != 10*time.Second || c.ListAgeQuantile(0.1) != time.Second {
		t.Errorf("quantiles 0.1, 0.5, 0.99: got %v, %v, %v, want 1s, 5s, 10s", c.ListAgeQuantile(0.1), c.ListAgeQuantile(0.5), c.ListAgeQuantile(0.99))
	}
	if got := c.ListAgeFraction(3 * time.Second); got != 0.3 {
		t.Errorf("fraction under 3 s: got %v, want 0.3", got)
	}
	c.CountListAge(time.Hour)
	if c.ListAgeQuantile(1) != 40*time.Second || c.ListAgeMore != 1 {
		t.Errorf("age of 1 h: quantile 1 is %v, want 40s; ListAgeMore is %d, want 1", c.ListAgeQuantile(1), c.ListAgeMore)
	}
}

// The line on hops to cold targets tells new clients, reconnecting clients and further hops apart;
// together they are all such hops.
func TestColdHopsArePrintedByKind(t *testing.T) {
	c := Counters{HopsCold: 9, HopsColdReconnect: 3, HopsColdFurther: 2}
	var text strings.Builder
	c.Print(&text)
	if want := "hops to cold targets: new=4 reconnect=3 further=2\n"; !strings.HasSuffix(text.String(), want) {
		t.Errorf("got %q, want %q at the end", text.String(), want)
	}
}
