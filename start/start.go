// Package start reads what a delivery node is told at its start, as dotted names with their values: from the
// bench's text, or from nested JSON made flat.
package start

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"jaspersill/delivery"
)

// Start is what a delivery node is told at its start.
type Start struct {
	Types      []delivery.StreamType
	Customers  []delivery.Customer
	OverShare  float64
	Partners   []delivery.DestinationKind
	Room       delivery.Limits
	Recovery   delivery.Recovery
	Directory  delivery.Directory
	Fleet      delivery.Cluster
	OrderPause int64

	Rated           bool // the list tells rates
	LeftAt, LimitAt int  // where a load report holds the share left and the limit, -1 for nowhere

	TypeNames, CustomerNames, PartnerNames, ZoneNames []string
	Unknown                                           []string // settings that nothing reads
	Tick                                              int64    // least time between rounds
	IdleFor, ConnectWithin                            int64    // connections: longest idle; to come up
}

// maxListed bounds a count claimed by the env text.
const maxListed = 4096

type reader struct {
	values map[string]string
	known  map[string]bool // names that were asked for
	err    error
}

// get returns what a name was told, and whether it was.
func (e *reader) get(name string) (string, bool) {
	e.known[name] = true
	v, ok := e.values[name]
	return v, ok
}

func (e *reader) word(name string) string {
	v, _ := e.get(name)
	return v
}

// unknown lists the names that were told and that nothing asked for, in order.
func (e *reader) unknown() (names []string) {
	for name := range e.values {
		if !e.known[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (e *reader) fail(name, value, want string) {
	e.err = errors.Join(e.err, fmt.Errorf("settings: %s: want %s, got %q", name, want, value))
}

func (e *reader) text(name string, words ...string) string {
	v, ok := e.get(name)
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

func (e *reader) number(name string, needed bool) float64 {
	v, ok := e.get(name)
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

func (e *reader) count(name string, needed bool) int {
	f := e.number(name, needed)
	if f != math.Trunc(f) || f > 1e9 {
		e.fail(name, e.word(name), "a whole number")
		return 0
	}
	return int(f)
}

// atLeast is a whole number under which nothing could be done.
func (e *reader) atLeast(least int, name string) int {
	n := e.count(name, true)
	if _, told := e.get(name); told && n < least && e.err == nil {
		e.fail(name, e.word(name), fmt.Sprintf("%d or more", least))
	}
	return n
}

func (e *reader) time(name string, needed bool) int64 {
	return int64(math.Round(e.number(name, needed) * 1e6))
}

func (e *reader) flag(name string) bool {
	v, ok := e.get(name)
	if ok && v != "true" && v != "false" {
		e.fail(name, v, "true or false")
	}
	return v == "true"
}

func (e *reader) listed(name string) int {
	n := e.count(name, false)
	if n > maxListed {
		e.fail(name, e.word(name), "at most 4096")
		return 0
	}
	return n
}

// Lines reads one name=value pair a line.
func Lines(text string) (Start, error) {
	values := make(map[string]string)
	for line := range strings.SplitSeq(text, "\n") {
		if name, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "="); ok {
			values[name] = value
		}
	}
	return read(values)
}

// JSON reads the same names from a nested object: a list of objects has its length under .count and its items
// under .0, .1 and so on; a list of plain values is joined with commas.
func JSON(data []byte) (Start, error) {
	var nested map[string]any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&nested); err != nil {
		return Start{}, fmt.Errorf("settings: %w", err)
	}
	values := make(map[string]string)
	flatten(values, "", nested)
	return read(values)
}

// Name is how a name looks among the values read at start.
func Name(text string) string { return spaced.Replace(text) }

var spaced = strings.NewReplacer(" ", "_", ",", "_")

func flatten(values map[string]string, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for k, inner := range v {
			flatten(values, strings.TrimPrefix(name+"."+k, "."), inner)
		}
	case []any:
		var plain []string
		objects := 0
		for _, inner := range v {
			if m, ok := inner.(map[string]any); ok {
				flatten(values, name+"."+strconv.Itoa(objects), m)
				objects++
			} else {
				plain = append(plain, spaced.Replace(fmt.Sprint(inner)))
			}
		}
		if objects > 0 {
			values[name+".count"] = strconv.Itoa(objects)
		} else {
			values[name] = strings.Join(plain, ",")
		}
	case nil:
	default:
		values[name] = spaced.Replace(fmt.Sprint(v))
	}
}

func read(values map[string]string) (Start, error) {
	e := &reader{values: values, known: make(map[string]bool)}
	var s Start
	halving := false
	if _, ok := e.get("family_info.late"); ok {
		halving = e.text("family_info.late", "even", "by_half") == "by_half"
	}
	safeties := map[string]delivery.Safety{
		"repeatable": delivery.Idempotent, "by_key": delivery.Deduplicated, "once": delivery.NonIdempotent}
	types := e.listed("services.count")
	if types == 0 && e.err == nil {
		e.fail("services.count", e.word("services.count"), "1 or more")
	}
	for i := range types {
		at := "services." + strconv.Itoa(i) + "."
		t := delivery.StreamType{
			Safety:           safeties[e.text(at+"semantics", "repeatable", "by_key", "once")],
			SLO:              e.time(at+"aim_ms", true),
			SLOPerWork:       e.number(at+"aim_stretch", false),
			MaxAge:           e.time(at+"deadline_ms", true),
			Utility:          e.number(at+"value", true),
			LateUtility:      e.number(at+"late_value", false),
			Ordered:          e.flag(at + "sequential"),
			ExponentialDecay: halving,
		}
		if t.MaxAge == 0 && e.err == nil {
			e.fail(at+"deadline_ms", e.word(at+"deadline_ms"), "over 0")
		}
		if t.Safety == delivery.Deduplicated {
			t.DedupWindow = e.time(at+"memory_span_ms", true)
			t.DedupPerZone = e.text(at+"group", "all", "zone", "cell") == "zone"
		}
		s.Types = append(s.Types, t)
		s.TypeNames = append(s.TypeNames, e.word(at+"name"))
	}
	for i := range e.listed("projects.count") {
		s.Customers = append(s.Customers,
			delivery.Customer{Rate: e.number("projects."+strconv.Itoa(i)+".quota_rps", true)})
		s.CustomerNames = append(s.CustomerNames, e.word("projects."+strconv.Itoa(i)+".name"))
	}
	s.OverShare = 1
	if _, ok := e.get("over_share_worth"); ok {
		s.OverShare = e.number("over_share_worth", true)
	}
	perCall := split(e.word("family_info.per_call"))
	routes := split(e.word("family_info.own_limits"))
	s.PartnerNames, s.ZoneNames = split(e.text("models")), split(e.word("areas"))
	for i := range s.PartnerNames {
		p := delivery.DestinationKind{MaxEventsPerCall: 1}
		if i < len(perCall) {
			n, err := strconv.Atoi(perCall[i])
			if err != nil || n < 1 {
				e.fail("family_info.per_call", perCall[i], "whole numbers from 1")
			}
			p.MaxEventsPerCall = n
		}
		if i < len(routes) {
			if routes[i] != "true" && routes[i] != "false" {
				e.fail("family_info.own_limits", routes[i], "true or false")
			}
			p.LimitPerEndpoint = routes[i] == "true"
		}
		s.Partners = append(s.Partners, p)
	}
	s.Room = delivery.Limits{
		MaxConcurrentCalls: e.atLeast(1, "family_info.slots"),
		MaxEvents:          e.atLeast(1, "ceilings.max_open"),
		MaxAttempts:        e.atLeast(1, "ceilings.max_attempts"),
		CanCancel:          e.flag("ceilings.cancel"),
	}
	if e.flag("ceilings.retry_after") {
		s.Room.MaxRetryAfter = e.time("ceilings.max_retry_after_ms", false)
	}
	s.Recovery = delivery.Recovery{
		ColdShare:      e.number("rules.cold_share", true),
		WarmupTime:     e.time("rules.ramp_time_ms", true),
		OverloadFactor: e.number("rules.fall_multiple", true),
		OverloadAfter:  e.time("rules.tip_after_ms", true),
	}
	s.Directory = delivery.Directory{
		RequiresWatch: e.text("discovery", "automatic", "subscribe") == "subscribe",
		DrainGrace:    e.time("rules.drain_grace_ms", true),
	}
	s.Fleet = delivery.Cluster{
		Self:         e.count("me", true),
		Nodes:        e.atLeast(1, "replicas_of_me"),
		PeerMessages: e.flag("ceilings.peer_messages"),
		Probes:       e.flag("ceilings.probes"),
	}
	s.Rated = e.word("weight_kind") == "nominal" || e.word("weight_kind") == "rough"
	names := split(e.word("feedback.names"))
	s.LeftAt, s.LimitAt = slices.Index(names, "x0"), slices.Index(names, "x1")
	s.OrderPause = e.time("rules.order_pause_ms", false)
	s.Tick, s.IdleFor = e.time("tick_ms", false), e.time("ceilings.conn_idle_ms", false)
	s.ConnectWithin = e.time("ceilings.connect_timeout_ms", false)
	s.Unknown = e.unknown()
	return s, e.err
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
