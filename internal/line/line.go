// Package line is the platform's line protocol: it cuts a byte stream into lines and reads and writes their
// words. It does no I/O and keeps no state but the caller's.
package line

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"
)

// MaxLength is the longest line that the protocol allows, its end included.
const MaxLength = 4096

// ErrTooLong means that a line is longer than Max.
var ErrTooLong = errors.New("line: over 4096 bytes")

// ErrSyntax means that a line is not of the protocol.
var ErrSyntax = errors.New("line: not of the protocol")

// SplitComplete splits data after its last complete line. It fails if any line, also the one begun, is too long.
func SplitComplete(data []byte) (whole, rest []byte, err error) {
	for rest = data; ; {
		i := bytes.IndexByte(rest, '\n')
		if i+1 > MaxLength || i < 0 && len(rest) >= MaxLength {
			return nil, nil, ErrTooLong
		}
		if i < 0 {
			return data[:len(data)-len(rest)], rest, nil
		}
		rest = rest[i+1:]
	}
}

// Next cuts the first line off data that holds whole lines only. The line comes with its end.
func Next(data []byte) (first, rest []byte) {
	i := bytes.IndexByte(data, '\n') + 1
	return data[:i], data[i:]
}

// TrimLineEnd takes the end off a line.
func TrimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// Open is the first line of a client's connection.
type Open struct {
	ID, Key       string
	Class         string
	Tenant        string // whose client it is; empty: it names none
	Group         string
	CurrentTarget string        // an egress target that holds the connection already; empty: none
	Wait          time.Duration // how long the client waits, from when it sent the line
	Reconnect     bool          // its last connection was moved or broke
	MidFlow       bool
	beforeWait    string // the line up to the figure of d, and from there on
	afterWait     string
}

// maxWait is longer than any client waits: a figure above it is a fault, and one far above would overflow.
const maxWait = 24 * time.Hour

// parseWait reads the figure of d: plain digits, perhaps with a fraction. Signs, exponents and words such as
// NaN are no time that a client can wait.
func parseWait(value []byte) (time.Duration, bool) {
	for _, c := range value {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	ms, err := strconv.ParseFloat(string(value), 64)
	if err != nil || ms > float64(maxWait/time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// ParseOpen reads the first line of a client, without its end. It is strict: what an egress target could not
// read would be answered there with an error, for which the target is not to blame.
func ParseOpen(text []byte) (Open, error) {
	var o Open
	for _, c := range text {
		if c < ' ' || c > '~' {
			return o, ErrSyntax
		}
	}
	s := string(text)
	parts := bytes.Split(text, []byte(" "))
	if len(parts) != 4 || string(parts[0]) != "OPEN" || len(parts[1]) == 0 || len(parts[2]) == 0 {
		return o, ErrSyntax
	}
	o.ID, o.Key = string(parts[1]), string(parts[2])
	at := len(s) - len(parts[3])
	for pair := range bytes.SplitSeq(parts[3], []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || len(name) == 0 {
			return o, ErrSyntax
		}
		switch string(name) {
		case "c":
			if o.Class != "" {
				return o, ErrSyntax
			}
			o.Class = string(value)
		case "t":
			if o.Tenant != "" || len(value) == 0 {
				return o, ErrSyntax
			}
			o.Tenant = string(value)
		case "g":
			o.Group = string(value)
		case "at":
			o.CurrentTarget = string(value)
		case "again":
			o.Reconnect = string(value) == "1"
		case "d":
			wait, ok := parseWait(value)
			if !ok || o.beforeWait != "" {
				return o, ErrSyntax
			}
			o.Wait = wait
			o.beforeWait, o.afterWait = s[:at+len("d=")], s[at+len(pair):]
		}
		at += len(pair) + 1
	}
	if o.Class == "" || o.beforeWait == "" {
		return o, ErrSyntax
	}
	return o, nil
}

// Append appends the line as a proxy passes it on: unchanged but for the time that the proxy will wait.
func (o *Open) Append(dst []byte, wait time.Duration) []byte {
	dst = append(dst, o.beforeWait...)
	dst = strconv.AppendInt(dst, max(wait.Milliseconds(), 1), 10)
	dst = append(dst, o.afterWait...)
	return append(dst, "\r\n"...)
}

// Word is the first word of a line from an egress target.
type Word uint8

// The words that mean something to a proxy.
const (
	Unknown Word = iota
	Up
	Bye
	Move
	Err
	Busy
	Load
	Pong
)

// ParseWord splits a line, without its end, into its word and what follows.
func ParseWord(text []byte) (Word, []byte) {
	head, rest, _ := bytes.Cut(text, []byte(" "))
	switch string(head) {
	case "UP":
		return Up, rest
	case "BYE":
		return Bye, rest
	case "MOVE":
		return Move, rest
	case "ERR":
		return Err, rest
	case "BUSY":
		return Busy, rest
	case "LOAD":
		return Load, rest
	case "PONG":
		return Pong, rest
	}
	return Unknown, rest
}

// ParseReport calls put for each name=figure of a load report; what is no figure is passed over.
func ParseReport(report []byte, put func(name string, v float64)) {
	for len(report) > 0 {
		var pair []byte
		pair, report, _ = bytes.Cut(report, []byte(","))
		name, value, _ := bytes.Cut(pair, []byte("="))
		if v, ok := ParseNumber(value); ok {
			put(string(name), v)
		}
	}
}

// ParseNumber reads a finite number.
func ParseNumber(value []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
	return v, err == nil && !math.IsInf(v, 0) && !math.IsNaN(v)
}

// AppendBusy appends a refusal, with the time after which the client may come again if it is above 0.
func AppendBusy(dst []byte, after time.Duration) []byte {
	dst = append(dst, "BUSY"...)
	if ms := after.Milliseconds(); ms > 0 {
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, ms, 10)
	}
	return append(dst, "\r\n"...)
}
