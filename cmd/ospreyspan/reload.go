package main

import (
	"bytes"
	"log"
	"time"

	"ospreyspan/internal/instance"
	"ospreyspan/internal/poll"
)

const (
	// reloadRetryInterval is how soon a file is read again that could not be read for a passing reason, and reloadPatience for how long: by
	// then discovery's news at the new address counts as told.
	reloadRetryInterval = 50 * time.Millisecond
	reloadRetryTimeout  = 4 * time.Second
)

// reloader takes a replaced configuration while the program serves. It belongs to the loop.
type reloader struct {
	loop          *poll.Loop
	env           func(string) string
	log           *log.Logger
	config        *config // in force
	retryTimer    poll.Timer
	retryDeadline time.Time
}

// reload reads the file that the environment names. A file that can't be used changes nothing at all; one that can't be read for
// want of a descriptor or the like is read again soon.
func (r *reloader) reload(proxy *instance.Instance) {
	r.retryDeadline = r.loop.Now().Add(reloadRetryTimeout)
	r.attempt(proxy)
}

func (r *reloader) attempt(proxy *instance.Instance) {
	r.loop.Disarm(&r.retryTimer)
	cfg, err := reloadConfig(r.env)
	switch {
	case err == nil:
		r.apply(cfg, proxy)
	case isTransient(err) && r.loop.Now().Before(r.retryDeadline):
		r.retryTimer.Fire = func() { r.attempt(proxy) }
		r.loop.After(&r.retryTimer, reloadRetryInterval)
	default:
		r.log.Printf("reload: the old configuration stays: %v", err)
	}
}

// apply takes what a replaced configuration may change while the program serves. Connections, whatever their state, go on.
func (r *reloader) apply(cfg *config, proxy *instance.Instance) {
	running := r.config
	for _, setting := range []struct {
		name      string
		unchanged bool
	}{
		{"name", cfg.Name == running.Name}, {"listen", cfg.Listen == running.Listen},
		{"settings", bytes.Equal(cfg.Settings, running.Settings)},
	} {
		if !setting.unchanged {
			r.log.Printf("reload: %s: has changed, which takes a new start", setting.name)
		}
	}
	// What a later reload is compared with is what runs, not what the file said in between.
	cfg.Name, cfg.Listen, cfg.Settings, cfg.settings = running.Name, running.Listen, running.Settings, running.settings
	r.config = cfg
	limitMemory(cfg)
	proxy.Reload(cfg.Discovery, cfg.Limits.Sockets)
	r.log.Printf("reload: discovery at %s", cfg.Discovery)
}
