// Package pressure puts one real process of the program under the load of clients, servers and
// neighbours that behave badly, while ordinary clients use it. It judges by what these clients and
// the servers receive and by the memory of the process: each ordinary client gets its answer in
// time, the memory stays below the limit, no request runs twice whose class forbids it, and none is
// sent on for a client that has left.
package pressure

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Options configures a run.
type Options struct {
	Program string        // path of the program
	For     time.Duration // how long the picture lasts
	Seed    uint64        // of the picture's random draws
}

// Report holds what a run has shown.
type Report struct {
	Picture      string
	PeakMB       int           // largest resident memory of the process
	LimitMB      int           // that the process may not exceed
	Crashed      bool          // the process ended by itself
	Answered     int           // ordinary requests that were answered
	Refused      int           // of these, those refused or failed
	Late         int           // ordinary requests answered too late, or not at all
	Slowest      time.Duration // longest time until an ordinary client had its answer
	Load         int           // what the picture sent: requests, lines or datagrams
	RanAgain     int           // requests that ran again though their class forbids it
	SentForGone  int           // requests that reached a server after their client had left
	Descriptions []string      // details for the reader
}

// Shown reports whether the picture shows: a rule was broken.
func (r *Report) Shown() bool {
	return r.Crashed || r.PeakMB >= r.LimitMB || r.Late > 0 || r.RanAgain > 0 || r.SentForGone > 0
}

// String returns the report as one line.
func (r *Report) String() string {
	verdict := "not shown"
	if r.Shown() {
		verdict = "SHOWN"
	}
	line := fmt.Sprintf("%-22s %-9s load %d; others: answered %d, refused %d, late or never %d, slowest %v; peak %d of %d MB; ran again %d; sent on for clients that left %d",
		r.Picture, verdict, r.Load, r.Answered, r.Refused, r.Late, r.Slowest.Round(time.Millisecond), r.PeakMB, r.LimitMB, r.RanAgain, r.SentForGone)
	if r.Crashed {
		line += "; THE PROCESS ENDED"
	}
	return strings.Join(append([]string{line}, r.Descriptions...), "; ")
}

// picture is one kind of bad behaviour.
type picture struct {
	name, about string
	play        func(s *stage) // returns when the time of the stage is over
	keepers     bool           // three processes, which are keepers, in place of one
}

func pictures() []picture { return slices.Concat(clientPictures, peerPictures, datagramPictures) }

// Names returns the names of all pictures, with what they do.
func Names() (names, abouts []string) {
	for _, p := range pictures() {
		names, abouts = append(names, p.name), append(abouts, p.about)
	}
	return names, abouts
}

// Run plays the picture with the given name against a process of its own.
func Run(name string, o Options) (*Report, error) {
	i := slices.IndexFunc(pictures(), func(p picture) bool { return p.name == name })
	if i < 0 {
		return nil, fmt.Errorf("no picture %q", name)
	}
	p := pictures()[i]
	s, err := newStage(o, p.keepers)
	if err != nil {
		return nil, err
	}
	defer s.close()
	return s.run(p), nil
}
