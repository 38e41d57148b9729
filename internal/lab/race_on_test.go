//go:build race

package lab

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
