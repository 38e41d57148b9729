package routes

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// response is an HTTP/1.1 response with its whole body.
type response struct {
	status int
	keep   bool // the connection may carry another call
	body   []byte
}

const (
	maxHead = 16 << 10
	maxBody = 8 << 20
)

var (
	errMore     = errors.New("http: incomplete")
	errHead     = errors.New("http: malformed head")
	errChunk    = errors.New("http: malformed chunk")
	errTooLarge = errors.New("http: response too large")
)

// parseResponse reads one response from the start of data; ended tells that no more will come. errMore means
// that the response is not complete yet.
func parseResponse(data []byte, ended bool) (*response, error) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end > maxHead || end < 0 && len(data) > maxHead {
		return nil, errTooLarge
	}
	if end < 0 {
		return nil, errMore
	}
	head, body := data[:end], data[end+4:]
	status, fields, _ := bytes.Cut(head, []byte("\r\n"))
	proto, rest, _ := bytes.Cut(status, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	n, err := strconv.Atoi(string(code))
	if !bytes.HasPrefix(proto, []byte("HTTP/1.")) || err != nil || n < 100 || n > 999 {
		return nil, errHead
	}
	if n < 200 {
		return parseResponse(body, ended) // an interim response; the final one follows
	}
	r := &response{status: n, keep: string(proto) == "HTTP/1.1"}
	length, chunked := -1, false
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, value, ok := bytes.Cut(field, []byte(":"))
		if !ok {
			return nil, errHead
		}
		value = bytes.ToLower(bytes.TrimSpace(value))
		switch string(bytes.ToLower(name)) {
		case "content-length":
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 {
				return nil, errHead
			}
		case "transfer-encoding":
			chunked = bytes.HasSuffix(value, []byte("chunked"))
		case "connection":
			if bytes.Contains(value, []byte("close")) {
				r.keep = false
			} else if bytes.Contains(value, []byte("keep-alive")) {
				r.keep = true
			}
		}
	}
	if length > maxBody || len(body) > 2*maxBody {
		return nil, errTooLarge
	}
	switch {
	case chunked:
		r.body, err = unchunk(body)
	case n == 204 || n == 304:
	case length >= 0:
		if len(body) < length {
			err = errMore
		} else {
			r.body = body[:length]
		}
	case !ended:
		err = errMore
	default:
		r.body, r.keep = body, false
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

// unchunk joins the chunks of a body.
func unchunk(data []byte) ([]byte, error) {
	var body []byte
	for {
		head, rest, ok := bytes.Cut(data, []byte("\r\n"))
		if !ok {
			if len(data) > maxHead {
				return nil, errChunk
			}
			return nil, errMore
		}
		size, _, _ := bytes.Cut(head, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
		if err != nil {
			return nil, errChunk
		}
		if len(body)+int(n) > maxBody {
			return nil, errTooLarge
		}
		if n == 0 {
			// Trailer fields may follow, up to an empty line.
			if bytes.HasPrefix(rest, []byte("\r\n")) || bytes.Contains(rest, []byte("\r\n\r\n")) {
				return body, nil
			}
			return nil, errMore
		}
		if uint64(len(rest)) < n+2 {
			return nil, errMore
		}
		if string(rest[n:n+2]) != "\r\n" {
			return nil, errChunk
		}
		body = append(body, rest[:n]...)
		data = rest[n+2:]
	}
}

// appendCall appends the call of a watch, or without a version to go on from, a call for the whole list.
func appendCall(dst []byte, host string, seq int64, waitMS int64) []byte {
	if seq < 0 {
		return fmt.Appendf(dst, "GET /registry/instances HTTP/1.1\r\nHost: %s\r\n\r\n", host)
	}
	return fmt.Appendf(dst, "GET /registry/instances?index=%d&wait=%d HTTP/1.1\r\nHost: %s\r\n\r\n", seq, waitMS, host)
}
