package proxy

import (
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/poll"
)

// heldUp is a kernel on which the process is held up behind a look at the clock: something happens meanwhile.
type heldUp struct {
	poll.Kernel
	looks     int // at the clock since the last wait; the first one is the loop's own
	meanwhile func()
}

func (k *heldUp) Wait(events []poll.Event, most time.Duration) (int, error) {
	k.looks = 0
	return k.Kernel.Wait(events, most)
}

func (k *heldUp) Now() time.Time {
	now := k.Kernel.Now()
	if k.looks++; k.looks > 1 && k.meanwhile != nil {
		f := k.meanwhile
		k.meanwhile = nil
		f()
	}
	return now
}

// The process is held up between its look at the clock and the write of a request, and the client leaves meanwhile: nothing is sent
// for it. An attempt that begins over 0.1 s after its client left is a lost request, and a process may be held up for 0.15 s.
func TestClientLeavesWhileTheProcessIsHeldUp(t *testing.T) {
	for _, how := range []string{"close", "reset", "end of sending"} {
		t.Run(how, func(t *testing.T) {
			k := &heldUp{}
			b := newSocketTestBedOnKernel(t, 1, func(under poll.Kernel) poll.Kernel {
				k.Kernel = under
				return k
			})
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			k.meanwhile = func() {
				switch how {
				case "close":
					c.sock.Close()
				case "reset":
					c.sock.Reset()
				default:
					c.sock.CloseWrite()
				}
			}
			b.waitFor("the process is held up", func() bool { return k.meanwhile == nil })
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
