package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	minGoneShare     = 0.02
	maxGoneShare     = 0.6
	allGoneRuns      = 8 // in one of this many runs, all requests are ended by their endpoint
	maxCloseShare    = 0.6
	maxCloseDelay    = 20 * time.Millisecond
	maxHangShare     = 0.03
	minCallHang      = 300 * time.Millisecond
	maxCallHang      = 3 * time.Second
	repeatShare      = 0.05 // of the accepted requests, that come again under their id
	maxRepeatDelay   = 1500 * time.Millisecond
	maxEndsKills     = 2 // single ones of a node, beside a series
	crowdedRuns      = 3 // one of this many runs has nodes that idle connections crowd
	crowdedNodes     = 3 // one of this many nodes, then
	copiedRuns       = 2 // one of this many runs has responses that arrive twice
	statusLineGone   = "410 Gone"
	statusLineOK     = "200 OK"
	bulkPathSuffix   = "/bulk"
	outcomeGone      = "410"
	outcomeDelivered = "200"
)

// endings says how often endpoints end requests without executing them, close connections behind their responses, and hang.
type endings struct {
	goneShare  float64 // of the requests
	closeShare float64 // of the responses
	hangShare  float64 // of the calls
}

// addEndings lets endpoints end requests by 410, close connections behind responses, and hang. Nodes are killed and terminated, also in
// series, while clients go on to use their connections. In some runs responses come twice too, and nodes are crowded.
func (p *plan) addEndings(nodes int) {
	p.endings = &endings{goneShare: minGoneShare + (maxGoneShare-minGoneShare)*p.random.Float64(),
		closeShare: maxCloseShare * p.random.Float64(), hangShare: maxHangShare * p.random.Float64()}
	if p.random.IntN(allGoneRuns) == 0 {
		p.endings.goneShare = 1
	}
	p.remote, p.refusalRate = p.random.IntN(2) == 0, 0
	if p.random.IntN(copiedRuns) == 0 {
		p.remote = true
		p.hangs = &hangs{copyShare: minCopyShare + (maxCopyShare-minCopyShare)*p.random.Float64()}
	}
	crowdedRun := p.random.IntN(crowdedRuns) == 0
	for node := range nodes {
		p.crowded[node] = crowdedRun && node%crowdedNodes == 0
		p.addSeries(node)
		for range p.random.IntN(maxEndsKills + 1) {
			stop := (*process).kill
			if p.random.IntN(2) == 0 {
				stop = (*process).terminate
			}
			p.addStep(p.length/8+p.randomDuration(p.length*3/4), func(ctx context.Context, r *run) { r.restart(ctx, node, nil, stop) })
		}
	}
}

// drawGone draws which requests of a call are over: withdrawn, or out of time.
func (e *endpoint) drawGone(parts []part) []bool {
	gone := make([]bool, len(parts))
	if e.endings == nil {
		return gone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range gone {
		gone[i] = e.random.Float64() < e.endings.goneShare
	}
	return gone
}

// drawCallHang draws for how long the endpoint hangs under a call, 0 for not at all, and how it ends.
func (e *endpoint) drawCallHang() (length time.Duration, end hangEnd) {
	if e.endings == nil {
		return 0, ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64() >= e.endings.hangShare {
		return 0, ""
	}
	return minCallHang + time.Duration(e.random.Int64N(int64(maxCallHang-minCallHang))), e.drawHangEnd()
}

// closesBehindResponse draws whether the endpoint closes the connection behind a response, and waits until it does.
func (e *endpoint) closesBehindResponse() bool {
	if e.endings == nil {
		return false
	}
	e.mu.Lock()
	closes, delay := e.random.Float64() < e.endings.closeShare, time.Duration(0)
	if e.random.IntN(2) == 0 {
		delay = time.Duration(e.random.Int64N(int64(maxCloseDelay)))
	}
	e.mu.Unlock()
	if closes {
		time.Sleep(delay)
		e.history.count("connections closed behind a response")
	}
	return closes
}

// responseText returns the response to a call, of which some requests may be gone.
func (e *endpoint) responseText(c *incomingCall, gone []bool) string {
	status, lines := statusLineOK, ""
	switch {
	case c.isBulk():
		for i, p := range c.parts {
			word := "done"
			if gone[i] {
				word = "void"
			}
			lines += p.request.id + " " + word + "\r\n"
		}
	case gone[0]:
		status = statusLineGone
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, e.loadReport(), len(lines), lines)
}

// recordGone records that an endpoint has answered that a request is over.
func (h *history) recordGone(p part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := p.request
	r.attempts[p.attempt].outcome, r.attempts[p.attempt].goneAt = outcomeGone, h.now()
	r.updateEnds()
}

// Counts of what became of requests that an endpoint ended, and of notices that were not needed.
const (
	countGone              = "ended by 410"
	countGoneAfterKill     = "forwarded again after 410, which its node had no time to store"
	countGoneNoticed       = "ended by 410, notice too"
	countDeliveredNoticed  = "delivered, notice too"
	countRepeatedByClients = "repeated by the client"
)

// checkAfterGone checks an attempt of a request against its end by 410. Its node cannot know of it if it exited before it had time to
// store the end. It reports whether the attempt is settled by that.
func (h *history) checkAfterGone(r *request, a *attempt) (settled bool) {
	switch {
	case r.goneAt == 0 || a.at <= r.goneAt+processingGrace:
		return false
	case h.exitedBeforeRecording(r.node, &r.attempts[r.goneBy], r.goneAt, a.at):
		h.counts[countGoneAfterKill]++
	default:
		h.addViolationLocked(RuleAfterEnd, a.at, r, "forwarded after its endpoint had ended it by 410")
	}
	return true
}

// tallyEnds counts notices for requests that had ended otherwise.
func (h *history) tallyEnds(r *request) {
	switch {
	case r.noticedAt == 0:
	case r.deliveredAt > 0:
		h.counts[countDeliveredNoticed]++
	case r.goneAt > 0:
		h.counts[countGoneNoticed]++
	}
}

// repeatLater submits an accepted request again under its id, as a network that copies it would, on a connection of its own. It never
// takes effect a second time, whatever became of the first.
func (c *client) repeatLater(ctx context.Context, text string, delay time.Duration) {
	sleep(ctx, delay)
	again := client{history: c.history, node: c.node, address: c.address, proxy: c.proxy}
	if ctx.Err() != nil || again.connect() != nil {
		return
	}
	defer again.closeConn()
	if _, err := again.exchange(text); err == nil {
		c.history.count(countRepeatedByClients)
	}
}
