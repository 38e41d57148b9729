// Package line implements the line protocol of the platform: it splits a byte stream into lines,
// and parses and formats them. It does no I/O and keeps no state between calls.
package line

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"
)

// MaxLength is the longest line that the protocol allows, in bytes, including the line end.
const MaxLength = 4096

// ErrTooLong means that a line is longer than MaxLength.
var ErrTooLong = errors.New("line: longer than 4096 bytes")

// ErrSyntax means that a line does not conform to the protocol.
var ErrSyntax = errors.New("line: invalid syntax")

// SplitComplete splits data after its last complete line. It returns ErrTooLong if any line,
// including the incomplete last one, is too long.
func SplitComplete(data []byte) (complete, rest []byte, err error) {
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

// Next splits the first line off data, which must consist of complete lines. The returned line
// includes its line end.
func Next(data []byte) (first, rest []byte) {
	i := bytes.IndexByte(data, '\n') + 1
	return data[:i], data[i:]
}

// TrimLineEnd returns a line without its LF or CR LF.
func TrimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// Open is the request in the first line of a client connection.
type Open struct {
	ID, Key       string
	Class         string
	Tenant        string        // tenant of the client; empty: none named
	AffinityGroup string        // connections of one group share work on a target; empty: none
	CurrentTarget string        // egress target that already holds the connection; empty: none
	MaxWait       time.Duration // how long the client waits at most, from when it sent the line
	Reconnect     bool          // the previous connection of the client was moved or broke
	MidFlow       bool          // always false: no key of the line says it
	beforeWait    string        // the line up to the value of d
	afterWait     string        // the line from the end of the value of d
}

// maxWait is longer than any client waits. A larger value is rejected as an error; a very large one
// would overflow time.Duration.
const maxWait = 24 * time.Hour

// parseWait parses the value of d, in milliseconds: decimal digits, optionally with a fraction.
// Signs, exponents and words such as NaN are rejected.
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

// ParseOpen parses the first line of a client, without its line end. It is strict: an egress target
// would answer an invalid line with an error, and the proxy would count that error against the
// target, which is not at fault.
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
			o.AffinityGroup = string(value)
		case "at":
			o.CurrentTarget = string(value)
		case "again":
			o.Reconnect = string(value) == "1"
		case "d":
			wait, ok := parseWait(value)
			if !ok || o.beforeWait != "" {
				return o, ErrSyntax
			}
			o.MaxWait = wait
			o.beforeWait, o.afterWait = s[:at+len("d=")], s[at+len(pair):]
		}
		at += len(pair) + 1
	}
	if o.Class == "" || o.beforeWait == "" {
		return o, ErrSyntax
	}
	return o, nil
}

// Append appends the line in the form in which a proxy forwards it: unchanged except for the value
// of d, which becomes the time that the proxy waits.
func (o *Open) Append(dst []byte, wait time.Duration) []byte {
	dst = append(dst, o.beforeWait...)
	dst = strconv.AppendInt(dst, max(wait.Milliseconds(), 1), 10)
	dst = append(dst, o.afterWait...)
	return append(dst, "\r\n"...)
}

// Word is the first word of a line that an egress target sends to a proxy.
type Word uint8

// The words that a proxy handles. Egress targets send these lines to a proxy, which forwards some
// of them to the client. Lines of the proxy's own that begin with ERR, BUSY, MOVE or PONG go to the
// client and are not meant here. Unknown stands for all other words.
const (
	Unknown Word = iota
	Up           // the target accepts the request: the connection is established
	Bye          // the target has served the request in full and ends the connection
	Move         // the target gives up the request or the connection, to be opened elsewhere
	Err          // the target answers a request or a probe with an error
	Busy         // the target refuses the request without having processed it
	Load         // the target states the load of an established connection
	Pong         // the target answers a probe, with a load report
)

// ParseWord splits a line, without its line end, into its first word and the rest.
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

// ParseReport calls put for each name=value pair of a load report whose value is a finite number.
// It ignores other pairs.
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

// ParseNumber parses a finite number. It returns false for anything else.
func ParseNumber(value []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
	return v, err == nil && !math.IsInf(v, 0) && !math.IsNaN(v)
}

// AppendBusy appends the BUSY answer that refuses a client. It includes after, the delay before the
// client may retry, if that is at least 1 ms.
func AppendBusy(dst []byte, after time.Duration) []byte {
	dst = append(dst, "BUSY"...)
	if ms := after.Milliseconds(); ms > 0 {
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, ms, 10)
	}
	return append(dst, "\r\n"...)
}
