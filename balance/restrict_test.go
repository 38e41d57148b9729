package balance

import "testing"

// While it is restricted, a relay places new connections at the named backends alone, also behind news of the list; those that stand
// elsewhere stay. Lifted, all may be used again.
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
		elsewhere := request(1)
		s.b.Established(s.now, 1)
		named := "b7"
		if elsewhere == named {
			named = "b8"
		}
		s.b.Restrict([]string{named})
		for id := RequestID(2); id < 30; id++ {
			if id == 15 {
				s.b.DiscoveryUpdate(s.now, ListPatch, []Backend{{ID: "new", Zone: "here", Size: 1}})
			}
			if at := request(id); at != named {
				t.Fatalf("groups %v: request %d goes to %q, not to %s", groups, id, at, named)
			}
			s.finish(id, true, OK)
		}
		if s.b.ConnectionCount(elsewhere) != 1 || s.count(s.takeActions(), "move") != 0 {
			t.Errorf("groups %v: the connection at %s does not stay", groups, elsewhere)
		}
		s.b.Restrict(nil)
		used := make(map[string]bool)
		for id := RequestID(30); id < 80; id++ {
			used[request(id)] = true
		}
		if len(used) < 5 {
			t.Errorf("groups %v: lifted, %d backends are used", groups, len(used))
		}
	}
}

// Where no backend is left, a request is held and has its one refusal in time; it goes out if the restriction is lifted before.
func TestRestrictToNone(t *testing.T) {
	for _, lifted := range []bool{false, true} {
		s := startBalancer(t, testConfig(), 6, 8)
		s.b.Restrict([]string{})
		q := newRequest(1)
		from := s.now
		s.b.Request(s.now, q)
		if n := s.count(s.actions, "send") + s.count(s.actions, "refuse"); n != 0 {
			t.Fatalf("answered at once: %v", s.actions)
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
