// Package settings parses the settings that a delivery node receives at start-up. They are dotted keys with values,
// read either from the simulator's key=value lines or from nested JSON, which is flattened.
package settings

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

// Settings holds the settings of a delivery node. Durations are in nanoseconds.
type Settings struct {
	StreamTypes      []delivery.StreamType
	Customers        []delivery.Customer
	OverShareUtility float64 // from over_share_worth, 1 by default
	DestinationKinds []delivery.DestinationKind
	Limits           delivery.Limits
	Recovery         delivery.Recovery
	Directory        delivery.Directory
	Cluster          delivery.Cluster
	OrderPause       int64

	HasRates bool // the endpoint list contains rates

	// Positions of the free share and of the limit in a load report, -1 if it does not contain them.
	FreeShareIndex, LimitIndex int

	StreamTypeNames, CustomerNames, DestinationKindNames, ZoneNames []string
	UnknownKeys                                                     []string // keys that are not used
	MinRoundInterval                                                int64    // minimum time between scheduling rounds
	ConnIdleTimeout, ConnectTimeout                                 int64
}

// maxListLength bounds a list length given in the input, which would otherwise decide how much memory is allocated.
const maxListLength = 4096

type parser struct {
	values    map[string]string
	requested map[string]bool // keys looked up so far
	err       error
}

// get returns the value of a key and whether it is present.
func (p *parser) get(key string) (string, bool) {
	p.requested[key] = true
	v, ok := p.values[key]
	return v, ok
}

func (p *parser) rawValue(key string) string {
	v, _ := p.get(key)
	return v
}

// unrequested returns the keys that are present but were not looked up, sorted.
func (p *parser) unrequested() (keys []string) {
	for key := range p.values {
		if !p.requested[key] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (p *parser) addError(key, value, want string) {
	p.err = errors.Join(p.err, fmt.Errorf("settings: %s: want %s, got %q", key, want, value))
}

// required returns the value of a key that must be present and, if allowed is not empty, be one of allowed.
func (p *parser) required(key string, allowed ...string) string {
	v, ok := p.get(key)
	if !ok {
		p.addError(key, "", "a value")
		return ""
	}
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	if len(allowed) > 0 {
		p.addError(key, v, "one of "+strings.Join(allowed, " "))
	}
	return v
}

func (p *parser) number(key string, required bool) float64 {
	v, ok := p.get(key)
	if !ok && !required {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > 1e12 {
		p.addError(key, v, "a number from 0 to 1e12")
		return 0
	}
	return f
}

func (p *parser) count(key string, required bool) int {
	f := p.number(key, required)
	if f != math.Trunc(f) || f > 1e9 {
		p.addError(key, p.rawValue(key), "a whole number")
		return 0
	}
	return int(f)
}

// countAtLeast returns a required whole number with a lower bound, below which the node could not work at all.
func (p *parser) countAtLeast(minimum int, key string) int {
	n := p.count(key, true)
	if _, ok := p.get(key); ok && n < minimum && p.err == nil {
		p.addError(key, p.rawValue(key), fmt.Sprintf("%d or more", minimum))
	}
	return n
}

// duration converts a value in milliseconds to nanoseconds.
func (p *parser) duration(key string, required bool) int64 {
	return int64(math.Round(p.number(key, required) * 1e6))
}

func (p *parser) boolean(key string) bool {
	v, ok := p.get(key)
	if ok && v != "true" && v != "false" {
		p.addError(key, v, "true or false")
	}
	return v == "true"
}

func (p *parser) listLength(key string) int {
	n := p.count(key, false)
	if n > maxListLength {
		p.addError(key, p.rawValue(key), "at most 4096")
		return 0
	}
	return n
}

// ParseLines parses settings given as one key=value pair per line.
func ParseLines(text string) (Settings, error) {
	values := make(map[string]string)
	for line := range strings.SplitSeq(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "="); ok {
			values[key] = value
		}
	}
	return parse(values)
}

// ParseJSON parses settings given as a nested JSON object. It is flattened to the same keys: a list of objects
// becomes its length under .count and its items under .0, .1 and so on; a list of plain values is joined with commas.
func ParseJSON(data []byte) (Settings, error) {
	var nested map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&nested); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	values := make(map[string]string)
	flatten(values, "", nested)
	return parse(values)
}

// NormalizeName converts a name to the form it has in parsed settings, in which spaces and commas are underscores.
func NormalizeName(text string) string { return separators.Replace(text) }

var separators = strings.NewReplacer(" ", "_", ",", "_")

func flatten(values map[string]string, key string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for k, inner := range v {
			flatten(values, strings.TrimPrefix(key+"."+k, "."), inner)
		}
	case []any:
		var plain []string
		objects := 0
		for _, inner := range v {
			if m, ok := inner.(map[string]any); ok {
				flatten(values, key+"."+strconv.Itoa(objects), m)
				objects++
			} else {
				plain = append(plain, separators.Replace(fmt.Sprint(inner)))
			}
		}
		if objects > 0 {
			values[key+".count"] = strconv.Itoa(objects)
		} else {
			values[key] = strings.Join(plain, ",")
		}
	case nil:
	default:
		values[key] = separators.Replace(fmt.Sprint(v))
	}
}

func parse(values map[string]string) (Settings, error) {
	p := &parser{values: values, requested: make(map[string]bool)}
	var s Settings
	exponentialDecay := false
	if _, ok := p.get("family_info.late"); ok {
		exponentialDecay = p.required("family_info.late", "even", "by_half") == "by_half"
	}
	safeties := map[string]delivery.Safety{
		"repeatable": delivery.Idempotent, "by_key": delivery.Deduplicated, "once": delivery.NonIdempotent}
	typeCount := p.listLength("services.count")
	if typeCount == 0 && p.err == nil {
		p.addError("services.count", p.rawValue("services.count"), "1 or more")
	}
	for i := range typeCount {
		prefix := "services." + strconv.Itoa(i) + "."
		t := delivery.StreamType{
			Safety:           safeties[p.required(prefix+"semantics", "repeatable", "by_key", "once")],
			SLO:              p.duration(prefix+"aim_ms", true),
			SLOPerWork:       p.number(prefix+"aim_stretch", false),
			MaxAge:           p.duration(prefix+"deadline_ms", true),
			Utility:          p.number(prefix+"value", true),
			LateUtility:      p.number(prefix+"late_value", false),
			Ordered:          p.boolean(prefix + "sequential"),
			ExponentialDecay: exponentialDecay,
		}
		if t.MaxAge == 0 && p.err == nil {
			p.addError(prefix+"deadline_ms", p.rawValue(prefix+"deadline_ms"), "over 0")
		}
		if t.Safety == delivery.Deduplicated {
			t.DedupWindow = p.duration(prefix+"memory_span_ms", true)
			t.DedupPerZone = p.required(prefix+"group", "all", "zone", "cell") == "zone"
		}
		s.StreamTypes = append(s.StreamTypes, t)
		s.StreamTypeNames = append(s.StreamTypeNames, p.rawValue(prefix+"name"))
	}
	for i := range p.listLength("projects.count") {
		s.Customers = append(s.Customers,
			delivery.Customer{Rate: p.number("projects."+strconv.Itoa(i)+".quota_rps", true)})
		s.CustomerNames = append(s.CustomerNames, p.rawValue("projects."+strconv.Itoa(i)+".name"))
	}
	s.OverShareUtility = 1
	if _, ok := p.get("over_share_worth"); ok {
		s.OverShareUtility = p.number("over_share_worth", true)
	}
	eventsPerCall := splitList(p.rawValue("family_info.per_call"))
	ownLimits := splitList(p.rawValue("family_info.own_limits"))
	s.DestinationKindNames, s.ZoneNames = splitList(p.required("models")), splitList(p.rawValue("areas"))
	for i := range s.DestinationKindNames {
		kind := delivery.DestinationKind{MaxEventsPerCall: 1}
		if i < len(eventsPerCall) {
			n, err := strconv.Atoi(eventsPerCall[i])
			if err != nil || n < 1 {
				p.addError("family_info.per_call", eventsPerCall[i], "whole numbers from 1")
			}
			kind.MaxEventsPerCall = n
		}
		if i < len(ownLimits) {
			if ownLimits[i] != "true" && ownLimits[i] != "false" {
				p.addError("family_info.own_limits", ownLimits[i], "true or false")
			}
			kind.LimitPerEndpoint = ownLimits[i] == "true"
		}
		s.DestinationKinds = append(s.DestinationKinds, kind)
	}
	s.Limits = delivery.Limits{
		MaxConcurrentCalls: p.countAtLeast(1, "family_info.slots"),
		MaxEvents:          p.countAtLeast(1, "ceilings.max_open"),
		MaxAttempts:        p.countAtLeast(1, "ceilings.max_attempts"),
		CanCancel:          p.boolean("ceilings.cancel"),
	}
	if p.boolean("ceilings.retry_after") {
		s.Limits.MaxRetryAfter = p.duration("ceilings.max_retry_after_ms", false)
	}
	s.Recovery = delivery.Recovery{
		ColdShare:      p.number("rules.cold_share", true),
		WarmupTime:     p.duration("rules.ramp_time_ms", true),
		OverloadFactor: p.number("rules.fall_multiple", true),
		OverloadAfter:  p.duration("rules.tip_after_ms", true),
	}
	s.Directory = delivery.Directory{
		RequiresWatch: p.required("discovery", "automatic", "subscribe") == "subscribe",
		DrainGrace:    p.duration("rules.drain_grace_ms", true),
	}
	s.Cluster = delivery.Cluster{
		Self:         p.count("me", true),
		Nodes:        p.countAtLeast(1, "replicas_of_me"),
		PeerMessages: p.boolean("ceilings.peer_messages"),
		Probes:       p.boolean("ceilings.probes"),
	}
	s.HasRates = p.rawValue("weight_kind") == "nominal" || p.rawValue("weight_kind") == "rough"
	names := splitList(p.rawValue("feedback.names"))
	s.FreeShareIndex, s.LimitIndex = slices.Index(names, "x0"), slices.Index(names, "x1")
	s.OrderPause = p.duration("rules.order_pause_ms", false)
	s.MinRoundInterval, s.ConnIdleTimeout = p.duration("tick_ms", false), p.duration("ceilings.conn_idle_ms", false)
	s.ConnectTimeout = p.duration("ceilings.connect_timeout_ms", false)
	s.UnknownKeys = p.unrequested()
	return s, p.err
}

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
