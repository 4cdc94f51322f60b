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
				t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) { play(t, body) })
			}
		}
	}
}

func play(t *testing.T, body string) {
	p := &player{t: t, types: map[string]int{}, auto: map[string]due{},
		room: delivery.Limits{MaxConcurrentCalls: 8, MaxEvents: 100, MaxAttempts: 6, CanCancel: true, MaxRetryAfter: 2 * second},
		back: delivery.Recovery{ColdShare: 0.25, WarmupTime: 10 * second, OverloadFactor: 2, OverloadAfter: 2 * second},
	}
	body = "type alert idempotent slo 4s age 28s utility 1 late 0.5\ntype charge once slo 4s age 24s utility 4 late 0.5\n" +
		"type status idempotent slo 1s age 8s utility 3\n" + body
	for line := range strings.SplitSeq(body, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if p.line = strings.TrimSpace(line); p.line != "" {
			p.step(p.line)
		}
	}
}

// epoch is the clock at the start: it has no particular value.
const epoch = 1000 * second

// due is an outcome, given by the scenario or still to come.
type due struct {
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

// player is the world of one scenario: it feeds the module, takes its decisions and keeps the rules in sight.
type player struct {
	delivery.Executor // what no scenario speaks of
	t                 *testing.T
	line              string
	types             map[string]int
	decl              []delivery.StreamType
	kinds             []delivery.DestinationKind
	room              delivery.Limits
	back              delivery.Recovery
	dir               delivery.Directory
	fleet             delivery.Cluster
	pause             int64
	node              *Scheduler
	now               int64

	evts, eps, dests []string
	sends            []int
	ended            []bool
	outs             []*due // the send out, by event
	late             []int64
	ready            map[string]bool
	dues             []due
	auto             map[string]due
	news             []func(delivery.Handler)
	got              []decision
}

func (p *player) fail(format string, a ...any) {
	p.t.Helper()
	p.t.Fatalf("%q: %s", p.line, fmt.Sprintf(format, a...))
}

func (p *player) dur(s string) int64 {
	d, err := time.ParseDuration(s)
	if err != nil {
		p.fail("%v", err)
	}
	return int64(d)
}

// options reads the "name value" pairs behind a line's first words; what is absent is 0.
func (p *player) options(words []string, from int) (num func(string) float64, dur func(string) int64) {
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
	return num, func(name string) int64 { return p.dur(cmp.Or(o[name], "0s")) }
}

// index gives out a name's index, one that was forgotten first.
func index(names *[]string, name string) int32 {
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

func (p *player) step(line string) {
	w := strings.Fields(line)
	num, dur := p.options(w, cmp.Or(map[string]int{"start": 2}[w[0]], 3))
	switch w[0] {
	case "type": // type NAME SAFETY slo D age D utility N late N window D ordered 1 zone 1
		p.types[w[1]] = len(p.decl)
		p.decl = append(p.decl, delivery.StreamType{SLO: dur("slo"), MaxAge: dur("age"), Utility: num("utility"),
			LateUtility: num("late"), DedupWindow: dur("window"), Ordered: num("ordered") > 0, DedupPerZone: num("zone") > 0,
			Safety: delivery.Safety(slices.Index([]string{"idempotent", "deduplicated", "once"}, w[2]))})
	case "start": // start with slots N sends N nodes N pause D percall N routes 1 asked 1 pushed 1 firm 1
		p.room.MaxConcurrentCalls, p.room.MaxAttempts = cmp.Or(int(num("slots")), p.room.MaxConcurrentCalls), cmp.Or(int(num("sends")), p.room.MaxAttempts)
		p.fleet = delivery.Cluster{Nodes: int(num("nodes")), PeerMessages: true}
		p.pause = dur("pause")
		if num("firm") > 0 {
			p.back = delivery.Recovery{}
		}
		p.kinds = []delivery.DestinationKind{{MaxEventsPerCall: max(1, int(num("percall"))), LimitPerEndpoint: num("routes") > 0}}
		p.dir = delivery.Directory{RequiresWatch: num("asked") > 0, Automatic: num("pushed") > 0}
	case "at", "to":
		head, want, _ := strings.Cut(line[3:], "=>")
		when, news, _ := strings.Cut(head, ":")
		end := epoch + p.dur(strings.TrimSpace(when))
		for p.node != nil && (p.now+beat < end || w[0] == "to" && p.now < end) {
			p.now += beat
			p.round()
		}
		for item := range strings.SplitSeq(news, ";") {
			if f := strings.Fields(item); len(f) > 0 {
				p.now = end
				p.take(f)
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

func (p *player) round() {
	if p.node == nil {
		p.node = New(7, p.decl, p.kinds, p.room, p.back, p.dir, p.fleet, p.pause)
	}
	p.dues = slices.DeleteFunc(p.dues, func(d due) bool {
		if d.at <= p.now {
			p.finish(d)
		}
		return d.at <= p.now
	})
	p.node.Round(p.now, p, p)
	p.news = nil
	for e := range p.late {
		if !p.ended[e] && p.now > p.late[e] {
			p.fail("%s has no final answer at %v", p.evts[e], time.Duration(p.now))
		}
	}
}

func (p *player) finish(d due) {
	if p.outs[d.evt] == nil {
		p.fail("outcome for %s, which has no send out", p.evts[d.evt])
	}
	p.outs[d.evt] = nil
	p.ended[d.evt] = p.ended[d.evt] || d.how == delivery.Acked
	n, ended := p.sends[d.evt]-1, p.ended[d.evt]
	p.news = append(p.news, func(to delivery.Handler) {
		to.Outcome(d.evt, n, d.ep, d.how, d.wait, d.took, ended, 0, d.limit)
	})
}

func (p *player) take(f []string) {
	switch f[0] {
	case "event":
		num, dur := p.options(f, 4)
		e, typ, dest, key := index(&p.evts, f[1]), p.types[f[2]], index(&p.dests, f[3]), uint64(num("key"))
		left := cmp.Or(dur("left"), p.decl[typ].MaxAge)
		p.sends, p.ended, p.outs = append(p.sends, 0), append(p.ended, false), append(p.outs, nil)
		p.late = append(p.late, p.now+left)
		sends, ran := int(num("sends")), dur("ran")
		p.sends[e] = sends
		p.news = append(p.news, func(to delivery.Handler) {
			if to.Event(e, typ, 0, key, left, 0, dest); sends > 0 {
				to.Resumed(e, sends, ran > 0, ran, 0)
			}
		})
	case "withdrawn":
		e := index(&p.evts, f[1])
		p.ended[e] = true
		p.news = append(p.news, func(to delivery.Handler) { to.Withdrawn(e) })
	case "full": // full LEAST MOST: the come-back time told lies between
		p.news = append(p.news, func(delivery.Handler) {
			if back := p.node.RetryAfter(); back < p.dur(f[1]) || back > p.dur(f[2]) {
				p.fail("told to come back after %v", time.Duration(back))
			}
		})
	case "good":
		ep := index(&p.eps, f[1])
		p.news = append(p.news, func(to delivery.Handler) { to.PeerReportedHealthy(1, ep) })
	case "reply":
		how, ever := outcomes[f[2]]
		num, _ := p.options(f, 4)
		p.auto[f[1]] = due{how: how, took: p.dur(f[3]), never: !ever, limit: num("limit")}
	case "list":
		p.list(f[1], f[2:])
	default:
		how, ok := outcomes[f[0]]
		if !ok {
			p.fail("unknown news %q", f[0])
		}
		e := index(&p.evts, f[1])
		if p.outs[e] == nil {
			p.fail("%s has no send out", f[1])
		}
		num, dur := p.options(f, 2)
		d := *p.outs[e]
		d.how, d.took, d.wait, d.limit = how, p.now-d.at, dur("wait"), num("limit")
		p.finish(d)
	}
}

func (p *player) list(how string, entries []string) {
	if how == "failed" {
		p.news = append(p.news, func(to delivery.Handler) { to.ListFailed() })
		return
	}
	p.news = append(p.news, func(to delivery.Handler) { to.ListStarted(how == "full") })
	if p.ready == nil || how == "full" {
		p.ready = map[string]bool{}
	}
	for _, entry := range entries {
		part := append(strings.Split(entry, ":"), "ready", "0")
		zone, _ := strconv.Atoi(part[3])
		state := map[string]delivery.EndpointState{"ready": delivery.Ready, "draining": delivery.Draining, "gone": delivery.Gone}[part[2]]
		p.ready[part[0]] = state == delivery.Ready
		ep, dest := index(&p.eps, part[0]), index(&p.dests, part[1])
		p.news = append(p.news, func(to delivery.Handler) {
			to.EndpointListed(ep, dest, 0, zone, state, 0)
		})
	}
	p.news = append(p.news, func(to delivery.Handler) { to.ListEnded() })
}

func (p *player) expect(want string) {
	p.t.Helper()
	defer func() { p.got = nil }()
	if f := strings.Fields(want); len(f) == 3 && f[0] == "sends" {
		n := 0
		for _, d := range p.got {
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
		if i >= len(p.got) || p.got[i].text != text {
			p.fail("want %q as decision %d, got %v", text, i, p.got)
		}
		if lo, hi, _ := strings.Cut(span, ".."); timed && (p.got[i].at < epoch+p.dur(lo) || p.got[i].at > epoch+p.dur(hi)) {
			p.fail("%q came at %v", text, time.Duration(p.got[i].at-epoch))
		}
		i++
	}
	if i < len(p.got) {
		p.fail("more than was wanted: %v", p.got[i:])
	}
}

// Deliver implements port.Feed; the methods below implement port.Writer.
func (p *player) Deliver(to delivery.Handler) {
	for _, item := range p.news {
		item(to)
	}
}

func (p *player) note(text string) { p.got = append(p.got, decision{p.now, text}) }

func (p *player) Send(evt, ep int32, timeout int64) {
	name := p.eps[ep]
	if p.ended[evt] || p.outs[evt] != nil || !p.ready[name] || timeout <= 0 {
		p.fail("send of %s to %s with time-out %v is against the rules", p.evts[evt], name, time.Duration(timeout))
	}
	p.sends[evt]++
	p.outs[evt] = &due{at: p.now, evt: evt, ep: ep}
	if a, ok := p.auto[name]; ok {
		if a.evt, a.ep = evt, ep; a.never || timeout < a.took {
			a.how, a.took = delivery.TimedOut, timeout
		}
		a.at = p.now + a.took
		p.dues = append(p.dues, a)
	}
	p.note("send " + p.evts[evt] + " " + name)
}

func (p *player) end(evt int32, word string) {
	if p.ended[evt] {
		p.fail("%s is answered twice", p.evts[evt])
	}
	p.ended[evt] = true
	p.note(word + " " + p.evts[evt])
}

func (p *player) Cancel(evt int32, send int) {
	p.note("cancel " + p.evts[evt])
	for i := range p.dues {
		if p.dues[i].evt == evt {
			p.dues[i].at, p.dues[i].how, p.dues[i].took = p.now, delivery.Cancelled, p.now-p.outs[evt].at
		}
	}
}

func (p *player) CancelUnsent(evt int32, send int)  { p.note("recall " + p.evts[evt]) }
func (p *player) Decline(evt int32, comeBack int64) { p.end(evt, "decline") }
func (p *player) Discard(evt int32)                 { p.end(evt, "discard") }
func (p *player) Wake(int64)                        {}
func (p *player) Watch(bool)                        { p.note("watch") }
func (p *player) AnnounceHealthy(ep int32)          { p.note("good " + p.eps[ep]) }
func (p *player) Log(string, int32)                 {}
func (p *player) Forget(ep int32)                   { p.note("forget " + p.eps[ep]); p.eps[ep] = "" }
func (p *player) CloseIdle(ep int32)                { p.note("close " + p.eps[ep]) }
