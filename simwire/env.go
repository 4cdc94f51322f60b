package simwire

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"jaspersill/port"
)

// Start is what an instance is told at its launch.
type Start struct {
	Types      []port.StreamType
	Customers  []port.Customer
	OverShare  float64
	Partners   []port.Partner
	Room       port.Room
	Recovery   port.Recovery
	Directory  port.Directory
	Fleet      port.Fleet
	OrderPause int64

	rated           bool
	leftAt, limitAt int
}

// maxListed bounds a count claimed by the env text.
const maxListed = 4096

type env struct {
	values map[string]string
	err    error
}

func (e *env) fail(name, value, want string) {
	if e.err == nil {
		e.err = fmt.Errorf("env: %s: want %s, got %q", name, want, value)
	}
}

func (e *env) text(name string, words ...string) string {
	v, ok := e.values[name]
	if !ok {
		e.fail(name, "", "a value")
		return ""
	}
	for _, w := range words {
		if v == w {
			return v
		}
	}
	if len(words) > 0 {
		e.fail(name, v, "one of "+strings.Join(words, " "))
	}
	return v
}

func (e *env) number(name string, needed bool) float64 {
	v, ok := e.values[name]
	if !ok && !needed {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > 1e12 {
		e.fail(name, v, "a number from 0 to 1e12")
		return 0
	}
	return f
}

func (e *env) count(name string, needed bool) int {
	f := e.number(name, needed)
	if f != math.Trunc(f) || f > 1e9 {
		e.fail(name, e.values[name], "a whole number")
		return 0
	}
	return int(f)
}

func (e *env) time(name string, needed bool) int64 { return nanos(e.number(name, needed)) }

func (e *env) flag(name string) bool {
	v, ok := e.values[name]
	if ok && v != "true" && v != "false" {
		e.fail(name, v, "true or false")
	}
	return v == "true"
}

func (e *env) listed(name string) int {
	n := e.count(name, false)
	if n > maxListed {
		e.fail(name, e.values[name], "at most 4096")
		return 0
	}
	return n
}

func readEnv(text string) (Start, error) {
	e := &env{values: make(map[string]string)}
	for line := range strings.SplitSeq(text, "\n") {
		if name, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "="); ok {
			e.values[name] = value
		}
	}
	var s Start
	halving := false
	if _, ok := e.values["family_info.late"]; ok {
		halving = e.text("family_info.late", "even", "by_half") == "by_half"
	}
	safeties := map[string]port.Safety{
		"repeatable": port.Idempotent, "by_key": port.Deduplicated, "once": port.NonIdempotent}
	types := e.listed("services.count")
	if types == 0 {
		e.fail("services.count", e.values["services.count"], "1 or more")
	}
	for i := range types {
		at := "services." + strconv.Itoa(i) + "."
		t := port.StreamType{
			Safety:      safeties[e.text(at+"semantics", "repeatable", "by_key", "once")],
			SLO:         e.time(at+"aim_ms", true),
			SLOPerWork:  e.number(at+"aim_stretch", false),
			MaxAge:      e.time(at+"deadline_ms", true),
			Utility:     e.number(at+"value", true),
			LateUtility: e.number(at+"late_value", false),
			Ordered:     e.flag(at + "sequential"),
			Halving:     halving,
		}
		if t.Safety == port.Deduplicated {
			t.Window = e.time(at+"memory_span_ms", true)
			t.ByZone = e.text(at+"group", "all", "zone", "cell") == "zone"
		}
		s.Types = append(s.Types, t)
	}
	for i := range e.listed("projects.count") {
		s.Customers = append(s.Customers,
			port.Customer{Rate: e.number("projects."+strconv.Itoa(i)+".quota_rps", true)})
	}
	s.OverShare = 1
	if _, ok := e.values["over_share_worth"]; ok {
		s.OverShare = e.number("over_share_worth", true)
	}
	perCall := split(e.values["family_info.per_call"])
	routes := split(e.values["family_info.own_limits"])
	for i := range split(e.text("models")) {
		p := port.Partner{PerCall: 1}
		if i < len(perCall) {
			n, err := strconv.Atoi(perCall[i])
			if err != nil || n < 1 {
				e.fail("family_info.per_call", perCall[i], "whole numbers from 1")
			}
			p.PerCall = n
		}
		if i < len(routes) {
			if routes[i] != "true" && routes[i] != "false" {
				e.fail("family_info.own_limits", routes[i], "true or false")
			}
			p.Routes = routes[i] == "true"
		}
		s.Partners = append(s.Partners, p)
	}
	s.Room = port.Room{
		Slots:   e.count("family_info.slots", true),
		Events:  e.count("ceilings.max_open", true),
		Sends:   e.count("ceilings.max_attempts", true),
		Copies:  e.flag("ceilings.may_duplicate"),
		Cancels: e.flag("ceilings.cancel"),
	}
	if e.flag("ceilings.retry_after") {
		s.Room.ComeBack = e.time("ceilings.max_retry_after_ms", false)
	}
	s.Recovery = port.Recovery{
		ColdShare:    e.number("rules.cold_share", true),
		WarmAfter:    e.time("rules.ramp_time_ms", true),
		FallMultiple: e.number("rules.fall_multiple", true),
		FallAfter:    e.time("rules.tip_after_ms", true),
	}
	s.Directory = port.Directory{
		Asked:     e.text("discovery", "automatic", "subscribe") == "subscribe",
		AskWithin: e.time("rules.ask_within_ms", false),
		Grace:     e.time("rules.drain_grace_ms", true),
	}
	s.Fleet = port.Fleet{
		Me:     e.count("me", true),
		Nodes:  max(1, e.count("replicas_of_me", true)),
		Notes:  e.flag("ceilings.peer_messages"),
		Probes: e.flag("ceilings.probes"),
	}
	s.rated = e.values["weight_kind"] == "nominal" || e.values["weight_kind"] == "rough"
	names := split(e.values["feedback.names"])
	s.leftAt, s.limitAt = slices.Index(names, "x0"), slices.Index(names, "x1")
	s.OrderPause = e.time("rules.order_pause_ms", false)
	return s, e.err
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
