package balance

import "testing"

// A restricted relay places new connections on the allowed backends alone, also after an update of
// the list. Connections that are open on other backends stay. Without the restriction all backends
// are used again.
func TestRestrict(t *testing.T) {
	for _, groups := range []bool{false, true} {
		cfg := testConfig()
		cfg.GroupAffinity = groups
		s := startBalancer(t, cfg, 5, 20)
		request := func(id RequestID) string {
			s.now = s.now.Add(100 * ms)
			q := newRequest(id)
			q.Group = string(rune('a' + id%26))
			return s.place(q, idleLoad)
		}
		openOn := request(1)
		s.b.Established(s.now, 1)
		allowed := "b7"
		if openOn == allowed {
			allowed = "b8"
		}
		s.b.Restrict([]string{allowed})
		for id := RequestID(2); id < 30; id++ {
			if id == 15 {
				s.b.DiscoveryUpdate(s.now, ListPatch, []Backend{{ID: "new", Zone: "here", Size: 1}})
			}
			if at := request(id); at != allowed {
				t.Fatalf("groups %v: request %d was sent to %q, want %s", groups, id, at, allowed)
			}
			s.finish(id, true, OK)
		}
		if s.b.ConnectionCount(openOn) != 1 || s.count(s.takeActions(), "move") != 0 {
			t.Errorf("groups %v: the open connection on %s was moved or dropped", groups, openOn)
		}
		s.b.Restrict(nil)
		used := make(map[string]bool)
		for id := RequestID(30); id < 80; id++ {
			used[request(id)] = true
		}
		if len(used) < 5 {
			t.Errorf("groups %v: restriction lifted, %d backends used, want at least 5", groups, len(used))
		}
	}
}

// If the restriction leaves no backend, a request is held and refused once before its deadline. If
// the restriction is lifted before that, the request is sent.
func TestRestrictToNone(t *testing.T) {
	for _, lifted := range []bool{false, true} {
		s := startBalancer(t, testConfig(), 6, 8)
		s.b.Restrict([]string{})
		q := newRequest(1)
		from := s.now
		s.b.Request(s.now, q)
		if n := s.count(s.actions, "send") + s.count(s.actions, "refuse"); n != 0 {
			t.Fatalf("request answered at once, want it held: %v", s.actions)
		}
		if lifted {
			s.b.Restrict(nil)
		}
		all := s.runUntil(from.Add(q.Timeout), idleLoad, alwaysEndWith(OK))
		if sends, refusals := s.count(all, "send"), s.count(all, "refuse"); lifted && sends == 0 || !lifted && (sends != 0 || refusals != 1) {
			t.Errorf("lifted %v: %d sends, %d refusals", lifted, sends, refusals)
		}
	}
}
