package balance

import (
	"math"
	"testing"
	"time"
)

// FuzzEvents passes arbitrary sequences of valid events to a Balancer and checks what its host can
// see: at most one final answer for each request, no attempt or answer after it, one attempt at a
// time, and nothing sent to a backend that is not ready.
func FuzzEvents(f *testing.F) {
	f.Add(uint64(1), []byte("abcdefghijklmnopqrstuvwxyz0123456789"))
	f.Add(uint64(2), []byte{0, 0, 0, 1, 9, 3, 9, 2, 200, 7, 7, 7, 4, 4, 5, 5, 6, 6, 8, 8})
	f.Add(uint64(3), []byte("\x01\x11\x21\x31\x41\x51\x61\x71\x02\x12\x22\x32\x43\x53\x63\x73"))
	f.Add(uint64(4), []byte{})
	f.Fuzz(func(t *testing.T, seed uint64, data []byte) {
		cfg := testConfig()
		cfg.GroupAffinity = seed%2 == 0
		cfg.Subscribe = seed%3 == 0
		cfg.DetachedTimeout = time.Duration(seed%5) * sec
		cfg.Classes = []Class{
			{SetupTarget: 500 * ms, Worth: 1},
			{SetupTarget: 300 * ms, Worth: 5, Idempotency: IdempotentByKey, DedupScope: DedupScopeCell, DedupWindow: sec},
			{SetupTarget: 300 * ms, Idempotency: NotIdempotent},
		}
		s := startBalancer(t, cfg, seed, int(seed%7))
		unanswered := map[RequestID]time.Time{} // deadlines of the requests that need an answer
		pending := map[RequestID]bool{}         // requests with an attempt or connection
		check := func() {
			for _, a := range s.takeActions() {
				switch a.kind {
				case "send":
					if _, ok := unanswered[a.id]; !ok || pending[a.id] {
						t.Fatalf("request %d was sent: needs an answer %v, attempt pending %v", a.id, ok, pending[a.id])
					}
					if s.sends[a.id] > cfg.MaxAttempts {
						t.Fatalf("got %d attempts, more than MaxAttempts", s.sends[a.id])
					}
					if k := s.b.byID[a.backend]; k == nil || k.State != Ready {
						t.Fatalf("sent to %s, which is not ready", a.backend)
					}
					pending[a.id] = true
				case "refuse", "fail":
					if _, ok := unanswered[a.id]; !ok || pending[a.id] {
						t.Fatalf("request %d was answered: needs an answer %v, attempt pending %v", a.id, ok, pending[a.id])
					}
					delete(unanswered, a.id)
				}
			}
		}
		end := func(id RequestID, settled bool, o Outcome) {
			if pending[id] {
				delete(pending, id)
				if settled {
					delete(unanswered, id)
				}
				s.finish(id, settled, o)
			}
		}
		next := RequestID(1)
		for i := 0; i+1 < len(data); i += 2 {
			s.now = s.now.Add(time.Duration(data[i]>>4) * 20 * ms)
			arg := data[i+1]
			id := RequestID(1)
			if next > 1 {
				id = RequestID(arg)%(next-1) + 1
			}
			switch data[i] & 15 {
			case 0, 1, 2:
				q := Request{
					ID: next, Class: int(arg%5) - 1, Tenant: int(arg%3) - 1, Group: string(rune('a' + arg%3)),
					Key: string(rune('a' + arg%7)), Timeout: time.Duration(arg) * 10 * ms, MidFlow: arg%4 == 0,
				}
				unanswered[next] = s.now.Add(q.Timeout)
				next++
				s.b.Request(s.now, q)
			case 3:
				list := readyBackends(9)[arg%9:]
				for j := range list {
					list[j].State = State((int(arg) + j) % 3)
					list[j].StartTime = s.now.Add(-time.Duration(j) * sec)
				}
				s.b.DiscoveryUpdate(s.now, ListKind(arg%4), list)
			case 4, 5:
				s.b.Probed(s.now, "b"+string(rune('0'+arg%10)), Outcome(arg%8), loadReport(float64(arg)/100-0.2))
			case 6:
				s.b.Probed(s.now, "b0", OK, loadReport(math.Inf(int(arg%3)-1)))
			case 7, 8:
				end(id, arg%2 == 0, Outcome(arg%8))
			case 9:
				s.b.Established(s.now, id)
			case 10:
				_, ok := unanswered[id]
				if ok {
					delete(unanswered, id)
					s.b.ClientGone(s.now, id)
				}
			case 11, 12:
				s.b.Timer(s.now, uint64(id)<<timerKindBits|timerRequest)
			case 13:
				s.b.Timer(s.now, timerProbe)
			case 14:
				s.b.Timer(s.now, timerWatch)
			case 15:
				s.b.ConnectionMeasured(s.now, id, Metric(arg%2), float64(arg))
			}
			check()
		}
	})
}
