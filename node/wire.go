package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"jaspersill/delivery"
	"jaspersill/lifecycle"
)

const (
	headerID             = "Req-Id"
	headerKind           = "Req-Kind"
	headerOwner          = "Req-Owner"
	headerDeadline       = "Req-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerEnvelope       = "X-Envelope"
	headerRetryAfter     = "Retry-After"
	headerNoSlot         = "X-No-Slot"
	headerLoad           = "Srv-Load"

	statusAccepted = fasthttp.StatusAccepted
	statusDeclined = fasthttp.StatusServiceUnavailable

	statusLineOK        = "HTTP/1.1 200"
	statusLineGone      = "HTTP/1.1 410"
	statusLineInterim   = "HTTP/1.1 1" // start of an interim response, which another response follows
	maxInterimResponses = 16

	maxBodyBytes      = 64 << 10 // limit of an event's body in the protocol
	bulkEventOverhead = 16       // framing of an event in a bulk call: length, two spaces and two CRLFs, with some to spare
	maxResponseBytes  = 64 << 10 // far more than one line for each event of a bulk call needs

	// responseReadTimeout limits reading the rest of a response after its first byte, as endpoints write it in one piece.
	responseReadTimeout = 300 * time.Millisecond
)

// bulkSize returns an upper bound of the bytes that an event takes in the body of a bulk call.
func bulkSize(e *event) int {
	return len(e.id) + len(e.idempotencyKey) + len(e.body) + bulkEventOverhead
}

// writeCall writes the HTTP request of a call with one event, or of a bulk call with several. The id, idempotency key and
// body of each event are passed on unchanged. timeout, in ns, is sent as the deadline.
func writeCall(out *bytebufferpool.ByteBuffer, attempts []*attempt, timeout int64) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetUserAgent("jaspersill")
	req.Header.SetHost("endpoint")
	req.Header.Set(headerDeadline, strconv.FormatInt(timeout/1e6, 10))
	if len(attempts) == 1 {
		e := attempts[0].event
		req.SetRequestURI("/inbox")
		req.Header.Set(headerID, e.id)
		if e.idempotencyKey != "" {
			req.Header.Set(headerIdempotencyKey, e.idempotencyKey)
		}
		req.SetBodyRaw(e.body)
		_, err := req.WriteTo(out)
		return err
	}
	body := bytebufferpool.Get()
	defer bytebufferpool.Put(body)
	for _, a := range attempts {
		e, key := a.event, a.event.idempotencyKey
		if key == "" {
			key = "-"
		}
		body.B = append(append(append(append(body.B, e.id...), ' '), key...), ' ')
		body.B = append(strconv.AppendInt(body.B, int64(len(e.body)), 10), "\r\n"...)
		body.B = append(append(body.B, e.body...), "\r\n"...)
	}
	req.SetRequestURI("/inbox/bulk")
	req.SetBodyRaw(body.B)
	_, err := req.WriteTo(out)
	return err
}

// callResponse is the parsed response of an endpoint to a call.
type callResponse struct {
	results   []result // one for each attempt, or a single one for all
	identity  lifecycle.Response
	truncated bool        // only its start was received, which confirms that the call's single event is delivered
	close     closeReason // why the connection must close after it; empty if it can be reused
}

// endsAll reports whether the response was received completely and ends each event of its call.
func (r *callResponse) endsAll() bool {
	return !r.truncated && !slices.ContainsFunc(r.results, func(one result) bool { return !one.ends() })
}

// responseReader reads responses from an endpoint's connection.
type responseReader struct {
	conn net.Conn
	buf  *bufio.Reader
}

func newResponseReader(conn net.Conn) *responseReader {
	return &responseReader{conn, bufio.NewReaderSize(conn, responseBufferSize)}
}

// errUnreadableResponse means that a response was received that cannot be parsed. The events of its call may have been
// processed.
var errUnreadableResponse = errors.New("cannot parse the response")

// readResponse reads the response to a call. It returns a result for each attempt, or one for all where the outcome of the
// call is unknown: the response was corrupted, or the connection broke before it was complete.
func (r *responseReader) readResponse(attempts []*attempt) callResponse {
	if _, err := r.buf.Peek(1); err != nil {
		return callResponse{results: []result{{outcome: delivery.Reset}}, close: closeBroken}
	}
	// A response that never ends would otherwise hold its slot, and delay its result, for the whole attempt time-out.
	r.conn.SetReadDeadline(time.Now().Add(responseReadTimeout))
	defer r.conn.SetReadDeadline(time.Time{})
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	var err error
	for n := 0; err == nil && r.nextIs(statusLineInterim); n++ {
		if err = resp.Header.Read(r.buf); n >= maxInterimResponses {
			err = errUnreadableResponse
		}
	}
	delivered := err == nil && len(attempts) == 1 && r.statusLineIsOK()
	if err == nil {
		err = resp.ReadLimitBody(r.buf, maxResponseBytes)
	}
	switch {
	case err == nil:
	case delivered: // the status line alone confirms the delivery of a single event, even if the rest is lost
		return callResponse{results: []result{{outcome: delivery.Acked, final: true, retryAfter: r.retryAfter(resp)}},
			truncated: true, close: closeAnswer}
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET):
		return callResponse{results: []result{{outcome: delivery.Reset, retryAfter: r.retryAfter(resp)}}, close: closeAnswer}
	default:
		return callResponse{results: []result{{outcome: delivery.Unreadable, retryAfter: r.retryAfter(resp)}}, close: closeAnswer}
	}
	var common result
	common.freeShare, common.rateLimit = parseLoad(string(resp.Header.Peek(headerLoad)))
	common.retryAfter = parseRetryAfter(string(resp.Header.Peek(headerRetryAfter)))
	out := callResponse{results: make([]result, len(attempts))}
	out.identity.Digest = responseDigest(resp)
	if resp.ConnectionClose() {
		out.close = closeAnswer
	}
	if r.buf.Buffered() > 0 {
		out.close = closeSurplus
	}
	status := resp.StatusCode()
	if len(attempts) > 1 && status == fasthttp.StatusOK {
		if parseBulkResults(resp.Body(), attempts, common, out.results) {
			out.identity.NamesRequests = true
		} else {
			out.close = closeSurplus // the response belongs to another call, or is malformed
		}
		return out
	}
	common.outcome, common.final = classifyStatus(status, len(resp.Header.Peek(headerNoSlot)) > 0, len(attempts) > 1)
	out.identity.NotRun = !common.outcome.MayHaveRun()
	for i := range out.results {
		out.results[i] = common
	}
	return out
}

// digestSeed is shared by all digests, so that they can be compared within the process.
var digestSeed = maphash.MakeSeed()

// responseDigest hashes the parts of a response that carry meaning. Header fields that an intermediary might add to a
// duplicate are left out.
func responseDigest(resp *fasthttp.Response) uint64 {
	var hash maphash.Hash
	hash.SetSeed(digestSeed)
	fmt.Fprintf(&hash, "%d %v %d\n", resp.StatusCode(), resp.ConnectionClose(), len(resp.Body()))
	for _, name := range []string{headerRetryAfter, headerNoSlot, headerLoad} {
		hash.Write(resp.Header.Peek(name))
		hash.WriteByte('\n')
	}
	hash.Write(resp.Body())
	return hash.Sum64()
}

// retryAfter returns the Retry-After of a response that may be incomplete, in ns, or 0 if there is none. The endpoint
// expects its Retry-After to be respected even if the rest of the response is lost. A header that could not be parsed is
// still in the buffer, and is searched there.
func (r *responseReader) retryAfter(resp *fasthttp.Response) int64 {
	if wait := parseRetryAfter(string(resp.Header.Peek(headerRetryAfter))); wait > 0 {
		return wait
	}
	unread, _ := r.buf.Peek(r.buf.Buffered())
	for line := range bytes.Lines(unread) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte(headerRetryAfter)) && bytes.HasSuffix(value, []byte("\n")) {
			return parseRetryAfter(string(value))
		}
	}
	return 0
}

// nextIs reports whether the next input is text. It stops waiting for more input at the first difference.
func (r *responseReader) nextIs(text string) bool {
	for n := range len(text) {
		if b, err := r.buf.Peek(n + 1); err != nil || b[n] != text[n] {
			return false
		}
	}
	return true
}

// statusLineIsOK reports whether the next input is a complete status line with 200. A truncated status line does not
// confirm a delivery.
func (r *responseReader) statusLineIsOK() bool {
	if !r.nextIs(statusLineOK) {
		return false
	}
	for n := len(statusLineOK) + 1; ; n++ {
		b, err := r.buf.Peek(n)
		if err != nil || (n == len(statusLineOK)+1 && b[n-1] != ' ' && b[n-1] != '\r') {
			return false
		}
		if b[n-1] == '\n' {
			return true
		}
	}
}

// classifyStatus maps the HTTP status of a response to the outcome of the attempt, and tells whether the event is
// complete.
func classifyStatus(status int, noSlot, bulk bool) (outcome delivery.Outcome, final bool) {
	switch {
	case status == fasthttp.StatusOK:
		return delivery.Acked, true
	case status == fasthttp.StatusTooManyRequests:
		return delivery.Refused, false
	case status == fasthttp.StatusServiceUnavailable && noSlot:
		return delivery.Unsent, false
	case status == fasthttp.StatusServiceUnavailable:
		return delivery.Refused, false
	case status == fasthttp.StatusGatewayTimeout: // the event has no attempts left
		return delivery.Unsent, false
	case status == fasthttp.StatusGone:
		return delivery.Unsent, true
	case bulk && (status == fasthttp.StatusBadRequest || status == fasthttp.StatusRequestEntityTooLarge):
		return delivery.Unsent, false // none of the events was processed
	}
	return delivery.Errored, false // after an unknown status, the event may have been processed
}

// parseBulkResults parses the body of a bulk response, which has a line for each event, and reports whether it names all
// events of the call. If one is missing, the response was truncated or belongs to another call, so any of the events may
// have been processed.
func parseBulkResults(body []byte, attempts []*attempt, common result, results []result) (named bool) {
	matched := 0
	for i := range results {
		results[i] = common
		results[i].outcome = delivery.Unreadable
	}
	for line := range bytes.Lines(body) {
		id, word, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
		for i, a := range attempts {
			if a.event.id != id || !bytes.HasSuffix(line, []byte("\n")) {
				continue
			}
			matched++
			switch strings.TrimSpace(word) {
			case "done":
				results[i].outcome, results[i].final = delivery.Acked, true
			case "failed":
				results[i].outcome = delivery.Errored
			case "busy":
				results[i].outcome = delivery.Refused
			case "void":
				results[i].outcome, results[i].final = delivery.Unsent, true
			case "used_up":
				results[i].outcome = delivery.Unsent
			default:
				matched--
			}
		}
	}
	if matched == len(attempts) {
		return true
	}
	for i := range results {
		results[i] = common // a Retry-After is still respected
		results[i].outcome = delivery.Unreadable
	}
	return false
}

// parseRetryAfter converts a whole or decimal number of seconds to ns, rounded up so that a wait never ends early. It
// returns 0 for anything else.
func parseRetryAfter(text string) int64 {
	f, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(f > 0) || f > 1e6 {
		return 0
	}
	return int64(math.Ceil(f * 1e9))
}

// parseLoad parses a load report: x0 is the share of the limit that is left, x1 the limit in calls per second. A report
// with a malformed part is ignored as a whole, as its remaining parts could say that nothing is left or that there is no
// limit.
func parseLoad(text string) (freeShare, limit float64) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || !(f >= 0) || f > 1e9 {
			return 0, 0
		}
		switch name {
		case "x0":
			freeShare = f
		case "x1":
			limit = f
		}
	}
	return freeShare, limit
}
