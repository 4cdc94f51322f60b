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

// TestScenarios plays testdata/*.txt. A scenario is a name ("== name"), facts read at start, then steps:
//
//	at TIME: NEWS; NEWS => DECISIONS     one round
//	to TIME => DECISIONS                 a round each 10 ms until then
//
// News: event E TYPE DEST [left D] [key N] [sends N] [ran D], the last two for one from before a restart |
// OUTCOME E [wait D] [took D] [limit N] | withdrawn E | good EP | full LEAST MOST | list full|delta|failed
// EP:DEST[:STATE[:ZONE]]... | reply EP OUTCOME D [limit N], which answers the sends to EP. Decisions, in
// order, all of them: send E EP | decline E | discard E | cancel E | watch | good EP, each with [@FROM..TO]
// for its time; or "sends EP FROM..TO" for how many go to EP and nothing said of the rest.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
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
	p := &harness{t: t, types: map[string]int{}, replies: map[string]pendingOutcome{},
		limits:   delivery.Limits{MaxConcurrentCalls: 8, MaxEvents: 100, MaxAttempts: 6, CanCancel: true, MaxRetryAfter: 2 * second},
		recovery: delivery.Recovery{ColdShare: 0.25, WarmupTime: 10 * second, OverloadFactor: 2, OverloadAfter: 2 * second},
	}
	body = "type alert idempotent slo 4s age 28s utility 1 late 0.5\ntype charge once slo 4s age 24s utility 4 late 0.5\n" +
		"type status idempotent slo 1s age 8s utility 3\n" + body
	for line := range strings.SplitSeq(body, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if p.line = strings.TrimSpace(line); p.line != "" {
			p.runLine(p.line)
		}
	}
}

// epoch is the clock at the start: it has no particular value.
const epoch = 1000 * second

// pendingOutcome is an outcome, given by the scenario or still to come.
type pendingOutcome struct {
	at, took, wait int64
	evt, ep        int32
	how            delivery.Outcome
	limit          float64
	never          bool
}

type decision struct {
	at   int64
	text string
}

// harness is the world of one scenario: it feeds the module, takes its decisions and keeps the rules in sight.
type harness struct {
	delivery.Executor // what no scenario speaks of
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
	inFlight                 []*pendingOutcome // the send out, by event
	finalAnswerBy            []int64
	ready                    map[string]bool
	pending                  []pendingOutcome
	replies                  map[string]pendingOutcome
	inputs                   []func(delivery.Handler)
	decisions                []decision
}

func (p *harness) fail(format string, a ...any) {
	p.t.Helper()
	p.t.Fatalf("%q: %s", p.line, fmt.Sprintf(format, a...))
}

func (p *harness) duration(s string) int64 {
	d, err := time.ParseDuration(s)
	if err != nil {
		p.fail("%v", err)
	}
	return int64(d)
}

// options reads the "name value" pairs behind a line's first words; what is absent is 0.
func (p *harness) options(words []string, from int) (num func(string) float64, dur func(string) int64) {
	o := map[string]string{}
	for i := from; i+1 < len(words); i += 2 {
		o[words[i]] = words[i+1]
	}
	num = func(name string) float64 {
		f, err := strconv.ParseFloat(cmp.Or(o[name], "0"), 64)
		if err != nil {
			p.fail("%v", err)
		}
		return f
	}
	return num, func(name string) int64 { return p.duration(cmp.Or(o[name], "0s")) }
}

// indexOf gives out a name's indexOf, one that was forgotten first.
func indexOf(names *[]string, name string) int32 {
	i := slices.Index(*names, name)
	if i < 0 {
		i = slices.Index(append(*names, ""), "")
		*names = append(*names, make([]string, max(0, i+1-len(*names)))...)
		(*names)[i] = name
	}
	return int32(i)
}

var outcomes = map[string]delivery.Outcome{"acked": delivery.Acked, "errored": delivery.Errored, "declined": delivery.Refused,
	"timedout": delivery.TimedOut, "spoilt": delivery.Unreadable, "nolink": delivery.ConnectFailed, "reset": delivery.Reset, "unsent": delivery.Unsent}

func (p *harness) runLine(line string) {
	w := strings.Fields(line)
	num, dur := p.options(w, cmp.Or(map[string]int{"start": 2}[w[0]], 3))
	switch w[0] {
	case "type": // type NAME SAFETY slo D age D utility N late N window D ordered 1 zone 1
		p.types[w[1]] = len(p.streamTypes)
		p.streamTypes = append(p.streamTypes, delivery.StreamType{SLO: dur("slo"), MaxAge: dur("age"), Utility: num("utility"),
			LateUtility: num("late"), DedupWindow: dur("window"), Ordered: num("ordered") > 0, DedupPerZone: num("zone") > 0,
			Safety: delivery.Safety(slices.Index([]string{"idempotent", "deduplicated", "once"}, w[2]))})
	case "start": // start with slots N sends N nodes N pause D percall N routes 1 asked 1 pushed 1 firm 1
		p.limits.MaxConcurrentCalls, p.limits.MaxAttempts = cmp.Or(int(num("slots")), p.limits.MaxConcurrentCalls), cmp.Or(int(num("sends")), p.limits.MaxAttempts)
		p.cluster = delivery.Cluster{Nodes: int(num("nodes")), PeerMessages: true}
		p.orderPause = dur("pause")
		if num("firm") > 0 {
			p.recovery = delivery.Recovery{}
		}
		p.kinds = []delivery.DestinationKind{{MaxEventsPerCall: max(1, int(num("percall"))), LimitPerEndpoint: num("routes") > 0}}
		p.dir = delivery.Directory{RequiresWatch: num("asked") > 0, Automatic: num("pushed") > 0}
	case "at", "to":
		head, want, _ := strings.Cut(line[3:], "=>")
		when, news, _ := strings.Cut(head, ":")
		end := epoch + p.duration(strings.TrimSpace(when))
		for p.scheduler != nil && (p.now+wakeInterval < end || w[0] == "to" && p.now < end) {
			p.now += wakeInterval
			p.round()
		}
		for item := range strings.SplitSeq(news, ";") {
			if f := strings.Fields(item); len(f) > 0 {
				p.now = end
				p.addInput(f)
			}
		}
		if p.now = end; w[0] == "at" {
			p.round()
		}
		p.expect(want)
	default:
		p.fail("unknown word %q", w[0])
	}
}

func (p *harness) round() {
	if p.scheduler == nil {
		p.scheduler = New(7, p.streamTypes, p.kinds, p.limits, p.recovery, p.dir, p.cluster, p.orderPause)
	}
	p.pending = slices.DeleteFunc(p.pending, func(d pendingOutcome) bool {
		if d.at <= p.now {
			p.deliverOutcome(d)
		}
		return d.at <= p.now
	})
	p.scheduler.Round(p.now, p, p)
	p.inputs = nil
	for e := range p.finalAnswerBy {
		if !p.ended[e] && p.now > p.finalAnswerBy[e] {
			p.fail("%s has no final answer at %v", p.events[e], time.Duration(p.now))
		}
	}
}

func (p *harness) deliverOutcome(d pendingOutcome) {
	if p.inFlight[d.evt] == nil {
		p.fail("outcome for %s, which has no send out", p.events[d.evt])
	}
	p.inFlight[d.evt] = nil
	p.ended[d.evt] = p.ended[d.evt] || d.how == delivery.Acked
	n, ended := p.sends[d.evt]-1, p.ended[d.evt]
	p.inputs = append(p.inputs, func(to delivery.Handler) {
		to.Outcome(d.evt, n, d.ep, d.how, d.wait, d.took, ended, 0, d.limit)
	})
}

func (p *harness) addInput(f []string) {
	switch f[0] {
	case "event":
		num, dur := p.options(f, 4)
		e, typ, dest, key := indexOf(&p.events, f[1]), p.types[f[2]], indexOf(&p.dests, f[3]), uint64(num("key"))
		left := cmp.Or(dur("left"), p.streamTypes[typ].MaxAge)
		p.sends, p.ended, p.inFlight = append(p.sends, 0), append(p.ended, false), append(p.inFlight, nil)
		p.finalAnswerBy = append(p.finalAnswerBy, p.now+left)
		sends, ran := int(num("sends")), dur("ran")
		p.sends[e] = sends
		p.inputs = append(p.inputs, func(to delivery.Handler) {
			if to.Event(e, typ, 0, key, left, 0, dest); sends > 0 {
				to.Resumed(e, sends, ran > 0, ran, 0)
			}
		})
	case "withdrawn":
		e := indexOf(&p.events, f[1])
		p.ended[e] = true
		p.inputs = append(p.inputs, func(to delivery.Handler) { to.Withdrawn(e) })
	case "full": // full LEAST MOST: the come-back time told lies between
		p.inputs = append(p.inputs, func(delivery.Handler) {
			if back := p.scheduler.RetryAfter(); back < p.duration(f[1]) || back > p.duration(f[2]) {
				p.fail("told to come back after %v", time.Duration(back))
			}
		})
	case "good":
		ep := indexOf(&p.endpoints, f[1])
		p.inputs = append(p.inputs, func(to delivery.Handler) { to.PeerReportedHealthy(1, ep) })
	case "reply":
		how, ever := outcomes[f[2]]
		num, _ := p.options(f, 4)
		p.replies[f[1]] = pendingOutcome{how: how, took: p.duration(f[3]), never: !ever, limit: num("limit")}
	case "list":
		p.addList(f[1], f[2:])
	default:
		how, ok := outcomes[f[0]]
		if !ok {
			p.fail("unknown news %q", f[0])
		}
		e := indexOf(&p.events, f[1])
		if p.inFlight[e] == nil {
			p.fail("%s has no send out", f[1])
		}
		num, dur := p.options(f, 2)
		d := *p.inFlight[e]
		d.how, d.took, d.wait, d.limit = how, p.now-d.at, dur("wait"), num("limit")
		p.deliverOutcome(d)
	}
}

func (p *harness) addList(how string, entries []string) {
	if how == "failed" {
		p.inputs = append(p.inputs, func(to delivery.Handler) { to.ListFailed() })
		return
	}
	p.inputs = append(p.inputs, func(to delivery.Handler) { to.ListStarted(how == "full") })
	if p.ready == nil || how == "full" {
		p.ready = map[string]bool{}
	}
	for _, entry := range entries {
		part := append(strings.Split(entry, ":"), "ready", "0")
		zone, _ := strconv.Atoi(part[3])
		state := map[string]delivery.EndpointState{"ready": delivery.Ready, "draining": delivery.Draining, "gone": delivery.Gone}[part[2]]
		p.ready[part[0]] = state == delivery.Ready
		ep, dest := indexOf(&p.endpoints, part[0]), indexOf(&p.dests, part[1])
		p.inputs = append(p.inputs, func(to delivery.Handler) {
			to.EndpointListed(ep, dest, 0, zone, state, 0)
		})
	}
	p.inputs = append(p.inputs, func(to delivery.Handler) { to.ListEnded() })
}

func (p *harness) expect(want string) {
	p.t.Helper()
	defer func() { p.decisions = nil }()
	if f := strings.Fields(want); len(f) == 3 && f[0] == "sends" {
		n := 0
		for _, d := range p.decisions {
			if w := strings.Fields(d.text); w[0] == "send" && w[2] == f[1] {
				n++
			}
		}
		var lo, hi int
		if _, err := fmt.Sscanf(f[2], "%d..%d", &lo, &hi); err != nil || n < lo || n > hi {
			p.fail("%d sends %v", n, err)
		}
		return
	}
	i := 0
	for item := range strings.SplitSeq(want, ";") {
		text, span, timed := strings.Cut(strings.TrimSpace(item), " @")
		if text == "" {
			continue
		}
		if i >= len(p.decisions) || p.decisions[i].text != text {
			p.fail("want %q as decision %d, got %v", text, i, p.decisions)
		}
		if lo, hi, _ := strings.Cut(span, ".."); timed && (p.decisions[i].at < epoch+p.duration(lo) || p.decisions[i].at > epoch+p.duration(hi)) {
			p.fail("%q came at %v", text, time.Duration(p.decisions[i].at-epoch))
		}
		i++
	}
	if i < len(p.decisions) {
		p.fail("more than was wanted: %v", p.decisions[i:])
	}
}

// Deliver implements port.Feed; the methods below implement port.Writer.
func (p *harness) Deliver(to delivery.Handler) {
	for _, item := range p.inputs {
		item(to)
	}
}

func (p *harness) record(text string) { p.decisions = append(p.decisions, decision{p.now, text}) }

func (p *harness) Send(evt, ep int32, timeout int64) {
	name := p.endpoints[ep]
	if p.ended[evt] || p.inFlight[evt] != nil || !p.ready[name] || timeout <= 0 {
		p.fail("send of %s to %s with time-out %v is against the rules", p.events[evt], name, time.Duration(timeout))
	}
	p.sends[evt]++
	p.inFlight[evt] = &pendingOutcome{at: p.now, evt: evt, ep: ep}
	if a, ok := p.replies[name]; ok {
		if a.evt, a.ep = evt, ep; a.never || timeout < a.took {
			a.how, a.took = delivery.TimedOut, timeout
		}
		a.at = p.now + a.took
		p.pending = append(p.pending, a)
	}
	p.record("send " + p.events[evt] + " " + name)
}

func (p *harness) endEvent(evt int32, word string) {
	if p.ended[evt] {
		p.fail("%s is answered twice", p.events[evt])
	}
	p.ended[evt] = true
	p.record(word + " " + p.events[evt])
}

func (p *harness) Cancel(evt int32, send int) {
	p.record("cancel " + p.events[evt])
	for i := range p.pending {
		if p.pending[i].evt == evt {
			p.pending[i].at, p.pending[i].how, p.pending[i].took = p.now, delivery.Cancelled, p.now-p.inFlight[evt].at
		}
	}
}

func (p *harness) CancelUnsent(evt int32, send int)  { p.record("recall " + p.events[evt]) }
func (p *harness) Decline(evt int32, comeBack int64) { p.endEvent(evt, "decline") }
func (p *harness) Discard(evt int32)                 { p.endEvent(evt, "discard") }
func (p *harness) Wake(int64)                        {}
func (p *harness) Watch(bool)                        { p.record("watch") }
func (p *harness) AnnounceHealthy(ep int32)          { p.record("good " + p.endpoints[ep]) }
func (p *harness) Log(string, int32)                 {}
func (p *harness) Forget(ep int32)                   { p.record("forget " + p.endpoints[ep]); p.endpoints[ep] = "" }
func (p *harness) CloseIdle(ep int32)                { p.record("close " + p.endpoints[ep]) }
