package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	maxHeaderBytes  = 4096 // a longer request header is answered with 431
	maxHeaderFields = 64   // as is one with more fields: each takes many times its bytes once it is parsed
)

var (
	errHeaderTooLong  = errors.New("the head is too long")
	errTooManyFields  = errors.New("the head has too many fields")
	errNoRequestLine  = errors.New("the request line cannot be read")
	headerEnd         = []byte("\r\n\r\n")
	endOfLine         = []byte("\r\n")
	httpVersionPrefix = []byte(" HTTP/1.")
)

// headerSummary is what a request header says before it is parsed.
type headerSummary struct {
	contentLength int64 // 0 if there is none, or none that can be read
	chunked       bool
}

// awaitHeader waits until a complete request header is in the buffer, without consuming it. Nothing is parsed before that, so
// that a header that arrives slowly takes no more than its own bytes.
func awaitHeader(in *bufio.Reader) (headerSummary, error) {
	for wanted := 1; ; wanted = in.Buffered() + 1 {
		if _, err := in.Peek(wanted); err != nil {
			return headerSummary{}, headerReadError(err, in.Buffered())
		}
		unread, _ := in.Peek(in.Buffered())
		header, complete, err := cutHeader(unread)
		switch {
		case err != nil:
			return headerSummary{}, err
		case complete:
			return summarize(header)
		}
	}
}

// headerReadError returns why a header is incomplete, of which some bytes were read.
func headerReadError(err error, size int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errHeaderTooLong
	case errors.Is(err, io.EOF) && size > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}

// cutHeader returns the header at the start of the input, without blank lines before it, and whether it is complete. It fails
// as soon as a complete first line is no request line.
func cutHeader(input []byte) (header []byte, complete bool, err error) {
	input = bytes.TrimLeft(input, "\r\n")
	requestLine, fields, found := bytes.Cut(input, []byte("\n"))
	if !found {
		return nil, false, nil
	}
	if !bytes.Contains(requestLine, httpVersionPrefix) {
		return nil, false, errNoRequestLine
	}
	if bytes.HasPrefix(fields, endOfLine) {
		return input[:len(requestLine)+1], true, nil
	}
	end := bytes.Index(input, headerEnd)
	if end < 0 {
		return nil, false, nil
	}
	return input[:end], true, nil
}

// summarize counts the fields of a complete header and reads the length of its body.
func summarize(header []byte) (headerSummary, error) {
	if bytes.Count(header, []byte("\n")) > maxHeaderFields {
		return headerSummary{}, errTooManyFields
	}
	var summary headerSummary
	for line := range bytes.Lines(header) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63); err == nil {
				summary.contentLength = int64(length)
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			summary.chunked = true
		}
	}
	return summary, nil
}
