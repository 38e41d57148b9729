package proxy

import (
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/poll"
)

// stallingKernel is a kernel on which the process stalls after reading the clock, while something
// else happens.
type stallingKernel struct {
	poll.Kernel
	clockReads  int // since the last wait; the first is the loop's own
	duringStall func()
}

func (k *stallingKernel) Wait(events []poll.Event, most time.Duration) (int, error) {
	k.clockReads = 0
	return k.Kernel.Wait(events, most)
}

func (k *stallingKernel) Now() time.Time {
	now := k.Kernel.Now()
	if k.clockReads++; k.clockReads > 1 && k.duringStall != nil {
		f := k.duringStall
		k.duringStall = nil
		f()
	}
	return now
}

// The process stalls between reading the clock and writing a request, and the client leaves
// meanwhile: nothing may be sent for it. An attempt that begins over 0.1 s after its client left
// counts as a lost request, and a process may stall for 0.15 s.
func TestClientLeavesWhileTheProcessIsStalled(t *testing.T) {
	for _, how := range []string{"close", "reset", "half-close"} {
		t.Run(how, func(t *testing.T) {
			k := &stallingKernel{}
			b := newSocketTestBedOnKernel(t, 1, func(under poll.Kernel) poll.Kernel {
				k.Kernel = under
				return k
			})
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			k.duringStall = func() {
				switch how {
				case "close":
					c.sock.Close()
				case "reset":
					c.sock.Reset()
				default:
					c.sock.CloseWrite()
				}
			}
			b.waitFor("the stall", func() bool { return k.duringStall == nil })
			for range 20 {
				b.settle()
			}
			for _, h := range b.targetConns {
				if strings.HasPrefix(string(h.received), "OPEN ") {
					t.Errorf("the target got %q", h.received)
				}
			}
			b.checkReleased(c)
		})
	}
}
