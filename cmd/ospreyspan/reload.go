package main

import (
	"bytes"
	"log"
	"time"

	"ospreyspan/internal/instance"
	"ospreyspan/internal/poll"
)

const (
	// reloadRetryInterval is the time until a configuration file that could not be read because of
	// a transient error is read again.
	reloadRetryInterval = 50 * time.Millisecond
	// reloadRetryTimeout bounds the retries of one reload: so long after the signal, changes that
	// discovery announces at the new address count as known.
	reloadRetryTimeout = 4 * time.Second
)

// reloader applies a replaced configuration file while the program serves. Only the goroutine of
// the event loop may use it.
type reloader struct {
	loop          *poll.Loop
	env           func(string) string
	log           *log.Logger
	config        *config // the configuration in force
	retryTimer    poll.Timer
	retryDeadline time.Time
}

// reload reads the configuration file that the environment names and applies it. An invalid file
// changes nothing. A file that cannot be read because of a transient error, such as a lack of
// descriptors, is read again shortly.
func (r *reloader) reload(proxy *instance.Instance) {
	r.retryDeadline = r.loop.Now().Add(reloadRetryTimeout)
	r.attempt(proxy)
}

// attempt reads the configuration file once and, after a transient error before retryDeadline,
// schedules the next attempt.
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

// apply puts into force those parts of a replaced configuration that may change while the program
// serves: the address of discovery and the limits. Connections in every state continue.
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
			r.log.Printf("reload: %s: has changed; the change takes effect after a restart", setting.name)
		}
	}
	// A later reload is compared with the values that are in force, not with those of this file.
	cfg.Name, cfg.Listen, cfg.Settings, cfg.settings = running.Name, running.Listen, running.Settings, running.settings
	r.config = cfg
	limitMemory(cfg)
	proxy.Reload(cfg.Discovery, cfg.Limits.Sockets, cfg.Limits.memoryBytes())
	r.log.Printf("reload: discovery at %s", cfg.Discovery)
}
