package emulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"jaspersill/delivery"
	"jaspersill/lab/destination"
)

// callRequest is a call with one or more events.
type callRequest struct {
	ids  []string // of the events
	bulk bool
}

var errInvalidCall = errors.New("invalid call: unknown path or malformed request")

// readCall reads a call at an endpoint.
func readCall(in *bufio.Reader) (*callRequest, error) {
	var r fasthttp.Request
	if err := r.ReadLimitBody(in, maxBodySize+4096); err != nil {
		return nil, err
	}
	switch string(r.URI().Path()) {
	case "/inbox":
		id := string(r.Header.Peek("Req-Id"))
		if id == "" {
			return nil, errInvalidCall
		}
		return &callRequest{ids: []string{id}}, nil
	case "/inbox/bulk":
		call := &callRequest{bulk: true}
		body := r.Body()
		for len(body) > 0 {
			line, rest, ok := bytes.Cut(body, []byte("\r\n"))
			fields := strings.Fields(string(line))
			if !ok || len(fields) != 3 {
				return nil, errInvalidCall
			}
			size, err := strconv.Atoi(fields[2])
			if err != nil || size < 0 || size+2 > len(rest) {
				return nil, errInvalidCall
			}
			call.ids = append(call.ids, fields[0])
			body = rest[size+2:]
		}
		if len(call.ids) == 0 {
			return nil, errInvalidCall
		}
		return call, nil
	}
	return nil, errInvalidCall
}

// stillOpen reports whether the other side has neither closed the connection nor sent anything.
func stillOpen(c net.Conn, in *bufio.Reader) bool {
	c.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := in.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func writeStatus(c net.Conn, status int, headers string) error {
	_, err := fmt.Fprintf(
		c,
		"HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n",
		status,
		fasthttp.StatusMessage(status),
		headers,
	)
	return err
}

// writeAnswer writes the answer to a call. It returns false if the connection must be closed.
func writeAnswer(c net.Conn, r *callRequest, result destination.CallResult) bool {
	headers := ""
	if result.Limit > 0 {
		headers = fmt.Sprintf("Srv-Load: x0=%.3f,x1=%g\r\n", result.LimitLeft, result.Limit)
	}
	switch result.Outcome {
	case delivery.Acked:
		if !r.bulk {
			return writeStatus(c, 200, headers) == nil
		}
		var body strings.Builder
		for _, id := range r.ids {
			body.WriteString(id + " done\r\n")
		}
		_, err := fmt.Fprintf(
			c,
			"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s",
			headers,
			body.Len(),
			body.String(),
		)
		return err == nil
	case delivery.Errored:
		return writeStatus(c, 500, headers) == nil
	case delivery.Refused:
		if result.RetryAfter > 0 {
			return writeStatus(c, 429, headers+fmt.Sprintf("Retry-After: %.3f\r\n", float64(result.RetryAfter)/1e9)) == nil
		}
		return writeStatus(c, 503, headers) == nil
	case delivery.Unreadable:
		io.WriteString(c, "HTTP/1.1 2\x00\x01 ?\r\nContent-Length: 90000000000\r\n\r\n\xff\xfe")
		time.Sleep(time.Second)
		return false
	}
	resetConnection(c)
	return false
}
