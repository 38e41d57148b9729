package keeper

import "fmt"

// quietLogger discards the messages of the Raft library, since Core itself reports what matters.
// Fatal and Panic still panic: the library calls them on a violated invariant, after which its
// state can't be trusted.
type quietLogger struct{}

func (quietLogger) Debug(...any)            {}
func (quietLogger) Debugf(string, ...any)   {}
func (quietLogger) Error(...any)            {}
func (quietLogger) Errorf(string, ...any)   {}
func (quietLogger) Info(...any)             {}
func (quietLogger) Infof(string, ...any)    {}
func (quietLogger) Warning(...any)          {}
func (quietLogger) Warningf(string, ...any) {}
func (quietLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quietLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quietLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (quietLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
