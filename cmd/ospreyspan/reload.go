package main

import (
	"bytes"
	"log"
	"time"

	"ospreyspan/internal/instance"
	"ospreyspan/internal/poll"
)

const (
	// reloadRetry is how soon a file is read again that could not be read for a passing reason, and reloadPatience for how long: by
	// then discovery's news at the new address counts as told.
	reloadRetry    = 50 * time.Millisecond
	reloadPatience = 4 * time.Second
)

// reloader takes a replaced configuration while the program serves. It belongs to the loop.
type reloader struct {
	loop   *poll.Loop
	env    func(string) string
	log    *log.Logger
	config *config // in force
	retry  poll.Timer
	until  time.Time
}

// reload reads the file that the environment names. A file that can't be used changes nothing at all; one that can't be read for
// want of a descriptor or the like is read again soon.
func (r *reloader) reload(i *instance.Instance) {
	r.until = r.loop.Now().Add(reloadPatience)
	r.try(i)
}

func (r *reloader) try(i *instance.Instance) {
	r.loop.Disarm(&r.retry)
	c, err := reloadConfig(r.env)
	switch {
	case err == nil:
		r.take(c, i)
	case passes(err) && r.loop.Now().Before(r.until):
		r.retry.Fire = func() { r.try(i) }
		r.loop.After(&r.retry, reloadRetry)
	default:
		r.log.Printf("reload: the old configuration stays: %v", err)
	}
}

// take takes what a replaced configuration may change while the program serves. Connections, whatever their state, go on.
func (r *reloader) take(c *config, i *instance.Instance) {
	old := r.config
	for _, kept := range []struct {
		what string
		same bool
	}{
		{"name", c.Name == old.Name}, {"listen", c.Listen == old.Listen},
		{"settings", bytes.Equal(c.Settings, old.Settings)},
	} {
		if !kept.same {
			r.log.Printf("reload: %s: has changed, which takes a new start", kept.what)
		}
	}
	// What a later reload is compared with is what runs, not what the file said in between.
	c.Name, c.Listen, c.Settings, c.settings = old.Name, old.Listen, old.Settings, old.settings
	r.config = c
	limitMemory(c)
	i.Reload(c.Discovery, c.Limits.Sockets)
	r.log.Printf("reload: discovery at %s", c.Discovery)
}
