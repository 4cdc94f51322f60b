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
	statusLineInterim   = "HTTP/1.1 1" // more comes
	maxInterimResponses = 16

	maxBodyBytes      = 64 << 10 // bytes of an event's body: the protocol's
	bulkEventOverhead = 16       // bytes around an event in a bulk call: length, two spaces, two CRLFs, some to spare
	maxResponseBytes  = 64 << 10 // bytes of an answer's body: a line for each event of a call fits many times

	// responseReadTimeout is how long the rest of an answer may take once it has begun: it is written in one piece.
	responseReadTimeout = 300 * time.Millisecond
)

// bulkSize is what an event takes of the body of a call of several.
func bulkSize(e *event) int {
	return len(e.id) + len(e.idempotencyKey) + len(e.body) + bulkEventOverhead
}

// writeCall writes a call of one event, or of several. Id, mark and body go on as they came.
func writeCall(out *bytebufferpool.ByteBuffer, sends []*attempt, wait int64) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetUserAgent("jaspersill")
	req.Header.SetHost("endpoint")
	req.Header.Set(headerDeadline, strconv.FormatInt(wait/1e6, 10))
	if len(sends) == 1 {
		e := sends[0].event
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
	for _, s := range sends {
		e, mark := s.event, s.event.idempotencyKey
		if mark == "" {
			mark = "-"
		}
		body.B = append(append(append(append(body.B, e.id...), ' '), mark...), ' ')
		body.B = append(strconv.AppendInt(body.B, int64(len(e.body)), 10), "\r\n"...)
		body.B = append(append(body.B, e.body...), "\r\n"...)
	}
	req.SetRequestURI("/inbox/bulk")
	req.SetBodyRaw(body.B)
	_, err := req.WriteTo(out)
	return err
}

// callResponse is an endpoint's answer, taken apart.
type callResponse struct {
	results   []result // of each send
	identity  lifecycle.Answer
	truncated bool        // only its beginning came, which says that its one event is delivered
	close     closeReason // why the connection ends with it, empty if it does not
}

type responseReader struct {
	conn net.Conn
	buf  *bufio.Reader
}

func newResponseReader(conn net.Conn) *responseReader {
	return &responseReader{conn, bufio.NewReaderSize(conn, responseBufferSize)}
}

// errUnreadableResponse: an answer came that cannot be read. What was sent has run, for all that is known.
var errUnreadableResponse = errors.New("an answer cannot be read")

// readResponse reads the answer to a call: what it says of each send, or one result for all. Where it is not known
// how the call fared, an answer was spoilt, or the connection broke before it was whole.
func (r *responseReader) readResponse(sends []*attempt) callResponse {
	if _, err := r.buf.Peek(1); err != nil {
		return callResponse{results: []result{{outcome: delivery.Reset}}, close: closeBroken}
	}
	// Danger: an answer that never ends would hold its slot, and what it says, for all the send's time.
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
	delivered := err == nil && len(sends) == 1 && r.statusLineIsOK()
	if err == nil {
		err = resp.ReadLimitBody(r.buf, maxResponseBytes)
	}
	switch {
	case err == nil:
	case delivered: // its first line has delivered a single event, whatever becomes of the rest
		return callResponse{results: []result{{outcome: delivery.Acked, final: true, retryAfter: r.retryAfter(resp)}}, truncated: true, close: closeAnswer}
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET):
		return callResponse{results: []result{{outcome: delivery.Reset, retryAfter: r.retryAfter(resp)}}, close: closeAnswer}
	default:
		return callResponse{results: []result{{outcome: delivery.Unreadable, retryAfter: r.retryAfter(resp)}}, close: closeAnswer}
	}
	var all result
	all.rateFree, all.rateLimit = parseLoad(string(resp.Header.Peek(headerLoad)))
	all.retryAfter = parseRetryAfter(string(resp.Header.Peek(headerRetryAfter)))
	out := callResponse{results: make([]result, len(sends))}
	out.identity.Digest = responseDigest(resp)
	if resp.ConnectionClose() {
		out.close = closeAnswer
	}
	if r.buf.Buffered() > 0 {
		out.close = closeSurplus
	}
	status := resp.StatusCode()
	if len(sends) > 1 && status == fasthttp.StatusOK {
		if parseBulkResults(resp.Body(), sends, all, out.results) {
			out.identity.NamesRequests = true
		} else {
			out.close = closeSurplus // it is another call's, or none
		}
		return out
	}
	all.outcome, all.final = classifyStatus(status, len(resp.Header.Peek(headerNoSlot)) > 0, len(sends) > 1)
	out.identity.NotRun = !all.outcome.MayHaveRun()
	for i := range out.results {
		out.results[i] = all
	}
	return out
}

// digestSeed is the same for all answers of a process.
var digestSeed = maphash.MakeSeed()

// responseDigest stands for all that an answer means. Fields that a path might add to a copy have no part in it.
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

// retryAfter finds the wait that an answer tells. Danger: of an answer that cannot be read to its end, the
// wait that stands in it binds all the same, and its sender holds us to it. A head that was not taken in is
// still unread.
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

// nextIs tells whether what comes next is text, waiting only for as long as it may be.
func (r *responseReader) nextIs(text string) bool {
	for n := range len(text) {
		if b, err := r.buf.Peek(n + 1); err != nil || b[n] != text[n] {
			return false
		}
	}
	return true
}

// statusLineIsOK tells whether a first line comes that says 200. Danger: cut off within it, nothing is delivered yet.
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

// classifyStatus maps an answer's status to how the send ended and whether its event is over.
func classifyStatus(status int, noSlot, bulk bool) (how delivery.Outcome, over bool) {
	switch {
	case status == fasthttp.StatusOK:
		return delivery.Acked, true
	case status == fasthttp.StatusTooManyRequests:
		return delivery.Refused, false
	case status == fasthttp.StatusServiceUnavailable && noSlot:
		return delivery.Unsent, false
	case status == fasthttp.StatusServiceUnavailable:
		return delivery.Refused, false
	case status == fasthttp.StatusGatewayTimeout: // all its sends are used up
		return delivery.Unsent, false
	case status == fasthttp.StatusGone:
		return delivery.Unsent, true
	case bulk && (status == fasthttp.StatusBadRequest || status == fasthttp.StatusRequestEntityTooLarge):
		return delivery.Unsent, false // none has run
	}
	return delivery.Errored, false // danger: what is not known may have run
}

// parseBulkResults reads the line of each event. An answer that leaves one out is not whole: it was cut short, or is another
// call's, and what was sent may have run, all of it. It tells whether the answer names all events of the call.
func parseBulkResults(body []byte, sends []*attempt, all result, results []result) (named bool) {
	count := 0
	for i := range results {
		results[i] = all
		results[i].outcome = delivery.Unreadable
	}
	for line := range bytes.Lines(body) {
		id, word, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
		for i, s := range sends {
			if s.event.id != id || !bytes.HasSuffix(line, []byte("\n")) {
				continue
			}
			count++
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
				count--
			}
		}
	}
	if count == len(sends) {
		return true
	}
	for i := range results {
		results[i] = all // a wait that it told binds all the same
		results[i].outcome = delivery.Unreadable
	}
	return false
}

// parseRetryAfter reads seconds, whole or decimal, as nanoseconds, rounded up: a wait must not end early.
func parseRetryAfter(text string) int64 {
	f, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(f > 0) || f > 1e6 {
		return 0
	}
	return int64(math.Ceil(f * 1e9))
}

// parseLoad reads a load report: the share of the limit that is left, and the limit in calls a second. Danger:
// read in part, a spoilt one would say that nothing is left, or that there is no limit. It is no news.
func parseLoad(text string) (left, limit float64) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || !(f >= 0) || f > 1e9 {
			return 0, 0
		}
		switch name {
		case "x0":
			left = f
		case "x1":
			limit = f
		}
	}
	return left, limit
}
