package routes

import "time"

// mostBirths bounds the starts that are remembered of servers which have left the table.
const mostBirths = 8192

// Births sets the starts of servers, which discovery tells in Unix time, against the loop's clock.
type Births struct {
	wall func() time.Time
	told map[string]birth
}

// birth is a start that was told of a server.
type birth struct {
	unixMS int64
	at     time.Time
}

// NewBirths returns a Births for a process whose loop and wall clocks show these times at its start.
func NewBirths(wall func() time.Time) *Births {
	return &Births{wall: wall, told: make(map[string]birth)}
}

// Mark sets Boot of a list's targets, which came now.
func (b *Births) Mark(l *List, now, _ time.Time) {
	for _, h := range l.Hosts {
		h.Boot = b.boot(h, now)
	}
}

func (b *Births) boot(t *Target, now time.Time) time.Time {
	if t.BornMS <= 0 {
		delete(b.told, t.ID)
		return time.Time{} // long ago
	}
	at := now.Add(time.UnixMilli(t.BornMS).Sub(b.wall()))
	if len(b.told) >= mostBirths {
		clear(b.told)
	}
	b.told[t.ID] = birth{t.BornMS, at}
	return at
}
