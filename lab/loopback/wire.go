package loopback

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
	"jaspersill/lab/partner"
)

// request is one call of one event or of several.
type request struct {
	ids  []string
	bulk bool
}

var errCall = errors.New("not a call")

// readCall reads a call as an endpoint does.
func readCall(in *bufio.Reader) (*request, error) {
	var r fasthttp.Request
	if err := r.ReadLimitBody(in, readMost+4096); err != nil {
		return nil, err
	}
	switch string(r.URI().Path()) {
	case "/inbox":
		id := string(r.Header.Peek("Req-Id"))
		if id == "" {
			return nil, errCall
		}
		return &request{ids: []string{id}}, nil
	case "/inbox/bulk":
		q := &request{bulk: true}
		body := r.Body()
		for len(body) > 0 {
			line, rest, ok := bytes.Cut(body, []byte("\r\n"))
			words := strings.Fields(string(line))
			if !ok || len(words) != 3 {
				return nil, errCall
			}
			size, err := strconv.Atoi(words[2])
			if err != nil || size < 0 || size+2 > len(rest) {
				return nil, errCall
			}
			q.ids = append(q.ids, words[0])
			body = rest[size+2:]
		}
		if len(q.ids) == 0 {
			return nil, errCall
		}
		return q, nil
	}
	return nil, errCall
}

// open tells whether the other side still holds the connection open, and has sent nothing.
func open(c net.Conn, in *bufio.Reader) bool {
	c.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := in.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func writeStatus(c net.Conn, status int, heads string) error {
	_, err := fmt.Fprintf(
		c,
		"HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n",
		status,
		fasthttp.StatusMessage(status),
		heads,
	)
	return err
}

// answer writes a call's answer; false ends the connection.
func answer(c net.Conn, r *request, f partner.Fate) bool {
	heads := ""
	if f.Limit > 0 {
		heads = fmt.Sprintf("Srv-Load: x0=%.3f,x1=%g\r\n", f.Left, f.Limit)
	}
	switch f.How {
	case delivery.Acked:
		if !r.bulk {
			return writeStatus(c, 200, heads) == nil
		}
		var body strings.Builder
		for _, id := range r.ids {
			body.WriteString(id + " done\r\n")
		}
		_, err := fmt.Fprintf(
			c,
			"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s",
			heads,
			body.Len(),
			body.String(),
		)
		return err == nil
	case delivery.Errored:
		return writeStatus(c, 500, heads) == nil
	case delivery.Refused:
		if f.Wait > 0 {
			return writeStatus(c, 429, heads+fmt.Sprintf("Retry-After: %.3f\r\n", float64(f.Wait)/1e9)) == nil
		}
		return writeStatus(c, 503, heads) == nil
	case delivery.Unreadable:
		io.WriteString(c, "HTTP/1.1 2\x00\x01 ?\r\nContent-Length: 90000000000\r\n\r\n\xff\xfe")
		time.Sleep(time.Second)
		return false
	}
	reset(c)
	return false
}
