package scheduler

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"jaspersill/delivery"
)

// TestScenarios runs testdata/*.txt. A scenario consists of a title ("== title"), declarations, and steps:
//
//	at TIME: INPUTS => DECISIONS     one round
//	to TIME => DECISIONS             a round every 10 ms until then
//
// INPUTS, separated by semicolons:
//
//	event E TYPE DEST [left D] [key N] [sends N] [ran D]   sends and ran: for an event accepted before a restart
//	OUTCOME E [wait D] [took D] [limit N]                  the end of the event's current send
//	unconfirmed E                                          the outcome of the event's current send, which follows, may be another send's
//	confirmed E, doubted E                                 what became of the first unconfirmed outcome of the event
//	withdrawn E
//	released E                                             the index of an ended event is free: the next event gets it
//	peer_healthy EP [sent D]                               a peer reports that the endpoint answered a call sent this long ago
//	stop                                                   the node drains: nothing more is sent or ended
//	retry_after MIN MAX                                    the retry-after time without capacity is in this range
//	list full|delta|replaced|failed EP:DEST[:STATE[:ZONE]]...
//	                                                       replaced: changes told by a watch that is not the newest; before
//	                                                       the first watch, a list is the one known at the start
//	reply EP OUTCOME D [limit N]                           answers all further sends to the endpoint
//
// OUTCOME is one of the names in the variable outcomes; in a reply, never stands for no answer.
//
// DECISIONS must be complete and in order: send E EP | decline E | discard E | cancel E | cancel_unsent E | watch |
// announce EP | close_idle EP | forget EP, each with [@FROM..TO] for its time. Alternatively "sends EP FROM..TO" gives
// only the number of sends to an endpoint.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenario files: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for part := range strings.SplitSeq("\n"+string(text), "\n== ") {
			if name, body, ok := strings.Cut(part, "\n"); ok && name != "" {
				t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) { runScenario(t, body) })
			}
		}
	}
}

func runScenario(t *testing.T, body string) {
	h := &harness{t: t, types: map[string]int{}, replies: map[string]pendingOutcome{},
		limits:   delivery.Limits{MaxConcurrentCalls: 8, MaxEvents: 100, MaxAttempts: 6, CanCancel: true, MaxRetryAfter: 2 * second},
		recovery: delivery.Recovery{ColdShare: 0.25, WarmupTime: 10 * second, OverloadFactor: 2, OverloadAfter: 2 * second},
	}
	body = "type alert idempotent slo 4s age 28s utility 1 late 0.5\ntype charge non-idempotent slo 4s age 24s utility 4 late 0.5\n" +
		"type status idempotent slo 1s age 8s utility 3\n" + body
	for line := range strings.SplitSeq(body, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if h.line = strings.TrimSpace(line); h.line != "" {
			h.runLine(h.line)
		}
	}
}

// epoch is the time at which scenarios start; any value would do.
const epoch = 1000 * second

// pendingOutcome is the outcome of a send, set by the scenario or still to come.
type pendingOutcome struct {
	at, took, wait int64
	evt, ep        int32
	outcome        delivery.Outcome
	limit          float64
	never          bool
}

type decision struct {
	at   int64
	text string
}

// harness runs one scenario: it feeds the scheduler, records its decisions and checks that they obey the rules.
type harness struct {
	delivery.Executor // methods that no scenario uses
	t                 *testing.T
	line              string
	types             map[string]int
	streamTypes       []delivery.StreamType
	kinds             []delivery.DestinationKind
	limits            delivery.Limits
	recovery          delivery.Recovery
	dir               delivery.Directory
	cluster           delivery.Cluster
	orderPause        int64
	scheduler         *Scheduler
	now               int64

	events, endpoints, dests []string
	sends                    []int
	ended                    []bool
	inFlight                 []*pendingOutcome // current send of each event
	finalAnswerBy            []int64
	ready                    map[string]bool
	watched                  bool // a watch has been asked for
	stopped                  bool // nothing more is sent or ended
	pending                  []pendingOutcome
	unconfirmed              int // number of the send whose outcome is unconfirmed
	replies                  map[string]pendingOutcome
	inputs                   []func(delivery.Handler)
	decisions                []decision
}

func (h *harness) fail(format string, a ...any) {
	h.t.Helper()
	h.t.Fatalf("%q: %s", h.line, fmt.Sprintf(format, a...))
}

func (h *harness) duration(s string) int64 {
	d, err := time.ParseDuration(s)
	if err != nil {
		h.fail("%v", err)
	}
	return int64(d)
}

// options parses the "name value" pairs after the first words of a line. Absent options are 0.
func (h *harness) options(words []string, from int) (num func(string) float64, dur func(string) int64) {
	o := map[string]string{}
	for i := from; i+1 < len(words); i += 2 {
		o[words[i]] = words[i+1]
	}
	num = func(name string) float64 {
		f, err := strconv.ParseFloat(cmp.Or(o[name], "0"), 64)
		if err != nil {
			h.fail("%v", err)
		}
		return f
	}
	return num, func(name string) int64 { return h.duration(cmp.Or(o[name], "0s")) }
}

// indexOf returns the index of a name, assigning one if it has none; forgotten indices are reused first.
func indexOf(names *[]string, name string) int32 {
	i := slices.Index(*names, name)
	if i < 0 {
		i = slices.Index(append(*names, ""), "")
		*names = append(*names, make([]string, max(0, i+1-len(*names)))...)
		(*names)[i] = name
	}
	return int32(i)
}

var outcomes = map[string]delivery.Outcome{"acked": delivery.Acked, "errored": delivery.Errored, "refused": delivery.Refused,
	"timed_out": delivery.TimedOut, "unreadable": delivery.Unreadable, "connect_failed": delivery.ConnectFailed, "reset": delivery.Reset, "unsent": delivery.Unsent}

func (h *harness) runLine(line string) {
	w := strings.Fields(line)
	num, dur := h.options(w, cmp.Or(map[string]int{"start": 2}[w[0]], 3))
	switch w[0] {
	case "type": // type NAME SAFETY slo D age D utility N late N window D ordered 1 zone 1
		h.types[w[1]] = len(h.streamTypes)
		h.streamTypes = append(h.streamTypes, delivery.StreamType{SLO: dur("slo"), MaxAge: dur("age"), Utility: num("utility"),
			LateUtility: num("late"), DedupWindow: dur("window"), Ordered: num("ordered") > 0, DedupPerZone: num("zone") > 0,
			Safety: delivery.Safety(slices.Index([]string{"idempotent", "deduplicated", "non-idempotent"}, w[2]))})
	case "start": // start with slots N max_attempts N nodes N order_pause D max_events N endpoint_limits 1 requires_watch 1 automatic 1 no_overload 1
		h.limits.MaxConcurrentCalls, h.limits.MaxAttempts = cmp.Or(int(num("slots")), h.limits.MaxConcurrentCalls),
			cmp.Or(int(num("max_attempts")), h.limits.MaxAttempts)
		h.cluster = delivery.Cluster{Nodes: int(num("nodes")), PeerMessages: true}
		h.orderPause = dur("order_pause")
		if num("no_overload") > 0 {
			h.recovery = delivery.Recovery{}
		}
		h.kinds = []delivery.DestinationKind{{MaxEventsPerCall: max(1, int(num("max_events"))), LimitPerEndpoint: num("endpoint_limits") > 0}}
		h.dir = delivery.Directory{RequiresWatch: num("requires_watch") > 0, Automatic: num("automatic") > 0}
	case "at", "to":
		head, want, _ := strings.Cut(line[3:], "=>")
		when, inputs, _ := strings.Cut(head, ":")
		end := epoch + h.duration(strings.TrimSpace(when))
		for h.scheduler != nil && (h.now+wakeInterval < end || w[0] == "to" && h.now < end) {
			h.now += wakeInterval
			h.round()
		}
		for item := range strings.SplitSeq(inputs, ";") {
			if f := strings.Fields(item); len(f) > 0 {
				h.now = end
				h.addInput(f)
			}
		}
		if h.now = end; w[0] == "at" {
			h.round()
		}
		h.expect(want)
	default:
		h.fail("unknown keyword %q", w[0])
	}
}

func (h *harness) round() {
	if h.scheduler == nil {
		h.scheduler = New(7, h.streamTypes, h.kinds, h.limits, h.recovery, h.dir, h.cluster, h.orderPause)
	}
	h.pending = slices.DeleteFunc(h.pending, func(d pendingOutcome) bool {
		if d.at <= h.now {
			h.deliverOutcome(d)
		}
		return d.at <= h.now
	})
	h.scheduler.Round(h.now, h, h)
	h.inputs = nil
	for e := range h.finalAnswerBy {
		if !h.ended[e] && !h.stopped && h.now > h.finalAnswerBy[e] {
			h.fail("%s has no final answer by %v", h.events[e], time.Duration(h.now))
		}
	}
}

func (h *harness) deliverOutcome(d pendingOutcome) {
	if h.inFlight[d.evt] == nil {
		h.fail("outcome for %s, which has no send in flight", h.events[d.evt])
	}
	h.inFlight[d.evt] = nil
	h.ended[d.evt] = h.ended[d.evt] || d.outcome == delivery.Acked
	n, ended := h.sends[d.evt]-1, h.ended[d.evt]
	h.inputs = append(h.inputs, func(to delivery.Handler) {
		to.Outcome(d.evt, n, d.ep, d.outcome, d.wait, d.took, ended, 0, d.limit)
	})
}

func (h *harness) addInput(f []string) {
	switch f[0] {
	case "event":
		num, dur := h.options(f, 4)
		e, typ, dest, key := indexOf(&h.events, f[1]), h.types[f[2]], indexOf(&h.dests, f[3]), uint64(num("key"))
		left := cmp.Or(dur("left"), h.streamTypes[typ].MaxAge)
		sends, ran := int(num("sends")), dur("ran")
		h.sends, h.ended, h.inFlight = setAt(h.sends, e, sends), setAt(h.ended, e, false), setAt(h.inFlight, e, nil)
		h.finalAnswerBy = setAt(h.finalAnswerBy, e, h.now+left)
		h.inputs = append(h.inputs, func(to delivery.Handler) {
			if to.Event(e, typ, 0, key, left, 0, dest); sends > 0 {
				to.Resumed(e, sends, ran > 0, ran, 0)
			}
		})
	case "unconfirmed":
		e := indexOf(&h.events, f[1])
		h.unconfirmed = h.sends[e] - 1
		h.inputs = append(h.inputs, func(to delivery.Handler) { to.Unconfirmed(e, h.unconfirmed) })
	case "confirmed":
		e := indexOf(&h.events, f[1])
		h.inputs = append(h.inputs, func(to delivery.Handler) { to.Confirmed(e, h.unconfirmed) })
	case "doubted":
		e := indexOf(&h.events, f[1])
		h.inputs = append(h.inputs, func(to delivery.Handler) { to.Doubted(e, h.unconfirmed) })
	case "withdrawn":
		e := indexOf(&h.events, f[1])
		h.ended[e] = true
		h.inputs = append(h.inputs, func(to delivery.Handler) { to.Withdrawn(e) })
	case "released":
		e := indexOf(&h.events, f[1])
		if !h.ended[e] || h.inFlight[e] != nil {
			h.fail("%s has not ended, or has a send in flight", f[1])
		}
		h.events[e] = ""
	case "stop":
		h.stopped = true
		h.inputs = append(h.inputs, func(delivery.Handler) { h.scheduler.StopSending() })
	case "retry_after": // retry_after MIN MAX
		h.inputs = append(h.inputs, func(delivery.Handler) {
			if after := h.scheduler.RetryAfter(); after < h.duration(f[1]) || after > h.duration(f[2]) {
				h.fail("retry-after time is %v", time.Duration(after))
			}
		})
	case "peer_healthy":
		ep := indexOf(&h.endpoints, f[1])
		_, dur := h.options(f, 2)
		sentAgo := dur("sent")
		h.inputs = append(h.inputs, func(to delivery.Handler) { to.PeerReportedHealthy(1, ep, sentAgo) })
	case "reply":
		outcome, known := outcomes[f[2]]
		num, _ := h.options(f, 4)
		h.replies[f[1]] = pendingOutcome{outcome: outcome, took: h.duration(f[3]), never: !known, limit: num("limit")}
	case "list":
		h.addList(f[1], f[2:])
	default:
		outcome, ok := outcomes[f[0]]
		if !ok {
			h.fail("unknown input %q", f[0])
		}
		e := indexOf(&h.events, f[1])
		if h.inFlight[e] == nil {
			h.fail("%s has no send in flight", f[1])
		}
		num, dur := h.options(f, 2)
		d := *h.inFlight[e]
		d.outcome, d.took, d.wait, d.limit = outcome, h.now-d.at, dur("wait"), num("limit")
		h.deliverOutcome(d)
	}
}

func (h *harness) addList(kind string, entries []string) {
	if kind == "failed" {
		h.inputs = append(h.inputs, func(to delivery.Handler) { to.ListFailed() })
		return
	}
	h.inputs = append(h.inputs, func(to delivery.Handler) { to.ListStarted(kind == "full") })
	if h.ready == nil || kind == "full" {
		h.ready = map[string]bool{}
	}
	for _, entry := range entries {
		part := append(strings.Split(entry, ":"), "ready", "0")
		zone, _ := strconv.Atoi(part[3])
		state := map[string]delivery.EndpointState{"ready": delivery.Ready, "draining": delivery.Draining, "gone": delivery.Gone}[part[2]]
		h.ready[part[0]] = state == delivery.Ready
		ep, dest := indexOf(&h.endpoints, part[0]), indexOf(&h.dests, part[1])
		h.inputs = append(h.inputs, func(to delivery.Handler) {
			to.EndpointListed(ep, dest, 0, zone, state, 0)
		})
	}
	h.inputs = append(h.inputs, func(to delivery.Handler) { to.ListEnded(h.watched && kind != "replaced") })
}

func (h *harness) expect(want string) {
	h.t.Helper()
	defer func() { h.decisions = nil }()
	if f := strings.Fields(want); len(f) == 3 && f[0] == "sends" {
		n := 0
		for _, d := range h.decisions {
			if w := strings.Fields(d.text); w[0] == "send" && w[2] == f[1] {
				n++
			}
		}
		var lo, hi int
		if _, err := fmt.Sscanf(f[2], "%d..%d", &lo, &hi); err != nil || n < lo || n > hi {
			h.fail("got %d sends; error: %v", n, err)
		}
		return
	}
	i := 0
	for item := range strings.SplitSeq(want, ";") {
		text, span, timed := strings.Cut(strings.TrimSpace(item), " @")
		if text == "" {
			continue
		}
		if i >= len(h.decisions) || h.decisions[i].text != text {
			h.fail("want %q as decision %d, got %v", text, i, h.decisions)
		}
		if lo, hi, _ := strings.Cut(span, ".."); timed && (h.decisions[i].at < epoch+h.duration(lo) || h.decisions[i].at > epoch+h.duration(hi)) {
			h.fail("got %q at %v", text, time.Duration(h.decisions[i].at-epoch))
		}
		i++
	}
	if i < len(h.decisions) {
		h.fail("unexpected further decisions: %v", h.decisions[i:])
	}
}

// Deliver implements delivery.Feed; the methods below implement delivery.Executor.
func (h *harness) Deliver(to delivery.Handler) {
	for _, item := range h.inputs {
		item(to)
	}
}

func (h *harness) record(text string) { h.decisions = append(h.decisions, decision{h.now, text}) }

func (h *harness) Send(evt, ep int32, timeout int64, _ delivery.Terms) {
	name := h.endpoints[ep]
	if h.ended[evt] || h.inFlight[evt] != nil || !h.ready[name] || timeout <= 0 || h.stopped {
		h.fail("send of %s to %s with timeout %v breaks the rules", h.events[evt], name, time.Duration(timeout))
	}
	h.sends[evt]++
	h.inFlight[evt] = &pendingOutcome{at: h.now, evt: evt, ep: ep}
	if a, ok := h.replies[name]; ok {
		if a.evt, a.ep = evt, ep; a.never || timeout < a.took {
			a.outcome, a.took = delivery.TimedOut, timeout
		}
		a.at = h.now + a.took
		h.pending = append(h.pending, a)
	}
	h.record("send " + h.events[evt] + " " + name)
}

func (h *harness) endEvent(evt int32, word string) {
	if h.ended[evt] || h.stopped {
		h.fail("%s got two final answers, or one after the stop", h.events[evt])
	}
	h.ended[evt] = true
	h.record(word + " " + h.events[evt])
}

func (h *harness) Cancel(evt int32, send int) {
	h.record("cancel " + h.events[evt])
	for i := range h.pending {
		if h.pending[i].evt == evt {
			h.pending[i].at, h.pending[i].outcome, h.pending[i].took = h.now, delivery.Cancelled, h.now-h.inFlight[evt].at
		}
	}
}

func (h *harness) CancelUnsent(evt int32, send int)    { h.record("cancel_unsent " + h.events[evt]) }
func (h *harness) Decline(evt int32, retryAfter int64) { h.endEvent(evt, "decline") }
func (h *harness) Discard(evt int32)                   { h.endEvent(evt, "discard") }
func (h *harness) Wake(int64)                          {}
func (h *harness) Watch(bool)                          { h.watched = true; h.record("watch") }
func (h *harness) AnnounceHealthy(ep int32, _ int64)   { h.record("announce " + h.endpoints[ep]) }
func (h *harness) Log(string, int32)                   {}
func (h *harness) Forget(ep int32)                     { h.record("forget " + h.endpoints[ep]); h.endpoints[ep] = "" }
func (h *harness) CloseIdle(ep int32)                  { h.record("close_idle " + h.endpoints[ep]) }
