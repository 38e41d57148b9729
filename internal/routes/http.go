package routes

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// response is an HTTP/1.1 response with its complete body.
type response struct {
	status    int
	keepAlive bool // the connection may carry another request
	body      []byte
}

const (
	maxHeadBytes = 16 << 10
	maxBodyBytes = 8 << 20
)

var (
	errIncomplete     = errors.New("http: incomplete")
	errMalformedHead  = errors.New("http: malformed head")
	errMalformedChunk = errors.New("http: malformed chunk")
	errTooLarge       = errors.New("http: response too large")
)

// parseResponse parses one response from the start of data. eof means that no more data will
// arrive. The error is errIncomplete if the response is not complete yet.
func parseResponse(data []byte, eof bool) (*response, error) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end > maxHeadBytes || end < 0 && len(data) > maxHeadBytes {
		return nil, errTooLarge
	}
	if end < 0 {
		return nil, errIncomplete
	}
	head, body := data[:end], data[end+4:]
	status, fields, _ := bytes.Cut(head, []byte("\r\n"))
	proto, rest, _ := bytes.Cut(status, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	n, err := strconv.Atoi(string(code))
	if !bytes.HasPrefix(proto, []byte("HTTP/1.")) || err != nil || n < 100 || n > 999 {
		return nil, errMalformedHead
	}
	if n < 200 {
		return parseResponse(body, eof) // interim response; the final one follows
	}
	resp := &response{status: n, keepAlive: string(proto) == "HTTP/1.1"}
	length, chunked := -1, false
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, value, ok := bytes.Cut(field, []byte(":"))
		if !ok {
			return nil, errMalformedHead
		}
		value = bytes.ToLower(bytes.TrimSpace(value))
		switch string(bytes.ToLower(name)) {
		case "content-length":
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 {
				return nil, errMalformedHead
			}
		case "transfer-encoding":
			chunked = bytes.HasSuffix(value, []byte("chunked"))
		case "connection":
			if bytes.Contains(value, []byte("close")) {
				resp.keepAlive = false
			} else if bytes.Contains(value, []byte("keep-alive")) {
				resp.keepAlive = true
			}
		}
	}
	if length > maxBodyBytes || len(body) > 2*maxBodyBytes {
		return nil, errTooLarge
	}
	switch {
	case chunked:
		resp.body, err = decodeChunked(body)
	case n == 204 || n == 304:
	case length >= 0:
		if len(body) < length {
			err = errIncomplete
		} else {
			resp.body = body[:length]
		}
	case !eof:
		err = errIncomplete
	default:
		resp.body, resp.keepAlive = body, false
	}
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// decodeChunked decodes a body in chunked transfer encoding. The error is errIncomplete if its end
// has not arrived yet.
func decodeChunked(data []byte) ([]byte, error) {
	var body []byte
	for {
		head, rest, ok := bytes.Cut(data, []byte("\r\n"))
		if !ok {
			if len(data) > maxHeadBytes {
				return nil, errMalformedChunk
			}
			return nil, errIncomplete
		}
		size, _, _ := bytes.Cut(head, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
		if err != nil {
			return nil, errMalformedChunk
		}
		if len(body)+int(n) > maxBodyBytes {
			return nil, errTooLarge
		}
		if n == 0 {
			// Trailer fields may follow, up to an empty line.
			if bytes.HasPrefix(rest, []byte("\r\n")) || bytes.Contains(rest, []byte("\r\n\r\n")) {
				return body, nil
			}
			return nil, errIncomplete
		}
		if uint64(len(rest)) < n+2 {
			return nil, errIncomplete
		}
		if string(rest[n:n+2]) != "\r\n" {
			return nil, errMalformedChunk
		}
		body = append(body, rest[:n]...)
		data = rest[n+2:]
	}
}

// appendRequest appends a request for the changes after the version seq, which discovery may hold
// for waitMS milliseconds, or for the whole list if seq is negative.
func appendRequest(dst []byte, host string, seq int64, waitMS int64) []byte {
	if seq < 0 {
		return fmt.Appendf(dst, "GET /registry/instances HTTP/1.1\r\nHost: %s\r\n\r\n", host)
	}
	return fmt.Appendf(dst, "GET /registry/instances?index=%d&wait=%d HTTP/1.1\r\nHost: %s\r\n\r\n", seq, waitMS, host)
}
