package proxy

import "testing"

// Memory is limited and there are many lines: forwarding a line must not allocate.
func TestNoAllocationPerLine(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	client, target := b.establish("a")
	s := b.session()
	h := s.hop
	text := []byte("reading 7.25\r\n")
	step := func() {
		_, _ = target.sock.Write(text)
		h.read()
		_, _ = client.sock.Write(text)
		s.read()
	}
	step() // the first line of the client arms a timer
	if n := testing.AllocsPerRun(100, step); n > 0 {
		t.Errorf("%v allocations for a line each way", n)
	}
	b.waitFor("all lines", func() bool { return len(client.received) == 102*len(text) && len(target.received) == 102*len(text) })
	b.checkReleased(client)
}
