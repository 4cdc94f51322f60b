package node

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against headers that are parsed before they are complete, or whose many short fields take far more than their bytes.
func TestHeaderIsSummarizedOnceComplete(t *testing.T) {
	const line = "POST /api HTTP/1.1\r\n"
	for name, c := range map[string]struct {
		input   string
		summary headerSummary
		err     error
	}{
		"a length":                  {line + "Host: x\r\ncontent-length: 12\r\n\r\n", headerSummary{contentLength: 12}, nil},
		"chunks":                    {line + "Transfer-Encoding: chunked\r\n\r\n", headerSummary{chunked: true}, nil},
		"no field":                  {line + "\r\n", headerSummary{}, nil},
		"blank lines before":        {"\r\n\r\n" + line + "Content-Length: 1\r\n\r\n", headerSummary{contentLength: 1}, nil},
		"a length in the body":      {line + "Host: x\r\n\r\nContent-Length: 9\r\n\r\n", headerSummary{}, nil},
		"as many fields as allowed": {line + strings.Repeat("a:\r\n", maxHeaderFields) + "\r\n", headerSummary{}, nil},
		"too many fields":           {line + strings.Repeat("a:\r\n", maxHeaderFields+1) + "\r\n", headerSummary{}, errTooManyFields},
		"too long":                  {line + strings.Repeat("a:\r\n", maxHeaderBytes), headerSummary{}, errHeaderTooLong},
		"no request line":           {"nonsense\r\nHost: x", headerSummary{}, errNoRequestLine},
		"the end within":            {line + "Host: x\r\n", headerSummary{}, io.ErrUnexpectedEOF},
		"the end before":            {"", headerSummary{}, io.EOF},
	} {
		for _, wrap := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
			in := bufio.NewReaderSize(wrap(strings.NewReader(c.input)), maxHeaderBytes)
			summary, err := awaitHeader(in)
			if summary != c.summary || !errors.Is(err, c.err) {
				t.Errorf("%s: got %+v and %v, want %+v and %v", name, summary, err, c.summary, c.err)
			}
		}
	}
}
