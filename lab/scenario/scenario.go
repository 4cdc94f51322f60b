// Package scenario reads the lab's scenarios: TOML files that describe a fleet of nodes, its destinations, the
// traffic from clients, and the faults that occur during a run. It does no I/O.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"jaspersill/delivery"
)

// Version is the version of the file format. A file may state its version and is rejected if it differs.
const Version = 1

// Duration is a non-negative time span in ns, written as in "250ms".
type Duration int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf(`want a duration such as "250ms", got %q`, text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

func (s Duration) String() string { return time.Duration(s).String() }

// Scenario describes a run of the lab.
type Scenario struct {
	Version          int               `toml:"version"`
	Base             string            `toml:"like,omitempty"` // name of the scenario from which missing keys are taken
	Name             string            `toml:"name"`
	Challenge        string            `toml:"hard"` // what the scenario makes difficult, in one line
	Length           Duration          `toml:"length"`
	Fleet            Fleet             `toml:"fleet"`
	Rules            Rules             `toml:"rules"`
	Clients          Clients           `toml:"clients"`
	Types            []StreamType      `toml:"type"`
	Customers        []Customer        `toml:"customer,omitempty"`
	DestinationKinds []DestinationKind `toml:"partner"`
	LoadChanges      []LoadChange      `toml:"load,omitempty"`
	Faults           []Fault           `toml:"trouble,omitempty"`
}

// Fleet describes the delivery nodes, their limits and their environment.
type Fleet struct {
	Nodes              int      `toml:"nodes"`
	MaxConcurrentCalls int      `toml:"slots"`  // per node
	MaxEvents          int      `toml:"events"` // unfinished events per node
	MaxAttempts        int      `toml:"sends"`  // sends per event
	Tick               Duration `toml:"tick"`
	MaxRetryAfter      Duration `toml:"come_back"` // longest that clients honour; "0s" if none can be sent
	AllowDuplicates    bool     `toml:"copies"`    // an event may have two sends in flight
	PeerMessages       bool     `toml:"notes"`
	PeerMessageLoss    float64  `toml:"note_loss"` // share of peer messages that are lost
	NetworkDelay       Duration `toml:"delay"`     // one way, between any two machines
	DirectoryDelay     Duration `toml:"directory"` // time until the directory publishes a change
	RestartTime        Duration `toml:"restart"`   // from a node's exit until it serves again
}

// Rules are the parameters of the delivery rules: how destinations recover and are overloaded, and how nodes drain
// and keep order.
type Rules struct {
	ColdShare      float64  `toml:"cold_share"`    // share of its capacity that a destination has right after an outage
	WarmupTime     Duration `toml:"warm_after"`    // time until it is back at full capacity
	OverloadFactor float64  `toml:"fall_multiple"` // multiple of its capacity that overloads a cold destination
	OverloadAfter  Duration `toml:"fall_after"`    // time window for which the calls are counted
	OverloadOutage Duration `toml:"fallen_for"`    // how long an overloaded destination stays down
	DrainGrace     Duration `toml:"grace"`
	AskWithin      Duration `toml:"ask_within"`
	KeyPause       Duration `toml:"order_pause"` // pause of an ordering key after an uncertain outcome
}

// Clients describes how clients retry events that were declined.
type Clients struct {
	MaxRetries  int      `toml:"again"`    // submissions of an event after the first
	RetryDelay  Duration `toml:"back_off"` // delay before a retry if the node told none
	RetryJitter float64  `toml:"spread"`   // random addition to the delay, as a share of it
}

// StreamType is a stream type and its traffic.
type StreamType struct {
	Name        string   `toml:"name"`
	Safety      string   `toml:"safety"` // idempotent, deduplicated or non-idempotent
	Rate        float64  `toml:"rate"`   // events per second over the whole fleet
	Work        Duration `toml:"work"`   // median work time at a destination with work factor 1
	Sigma       float64  `toml:"sigma"`  // standard deviation of the logarithm of the work time
	SLO         Duration `toml:"slo"`
	MaxAge      Duration `toml:"max_age"`
	DedupWindow Duration `toml:"window,omitempty"` // how long a destination recognises a repeated event
	Utility     float64  `toml:"utility"`
	LateUtility float64  `toml:"late_utility,omitempty"` // share of the utility left at max age
	Keys        int      `toml:"keys,omitempty"`         // number of ordering keys; 0 if events are not ordered
}

// Customer is a customer and its share of the traffic.
type Customer struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	AgreedRate float64 `toml:"rate"` // events per second agreed with the customer
}

// DestinationKind is a kind of destination and the number of its destinations.
type DestinationKind struct {
	Name             string   `toml:"name"`
	Destinations     int      `toml:"destinations"`
	Endpoints        int      `toml:"endpoints"`  // of each destination
	Weight           float64  `toml:"weight"`     // of each destination's share in the traffic
	Workers          int      `toml:"workers"`    // calls that an endpoint processes concurrently
	Queue            int      `toml:"queue"`      // calls that may wait at an endpoint
	MinWorkFactor    float64  `toml:"pace_least"` // a destination's work times are multiplied by its work factor
	MaxWorkFactor    float64  `toml:"pace_most"`
	Limit            float64  `toml:"limit,omitempty"`         // calls per second from all nodes; 0 for none
	LimitWindow      Duration `toml:"span,omitempty"`          // the limit is a count per window; "0s" for a plain rate
	RetryAfterShare  float64  `toml:"told,omitempty"`          // share of refusals with a Retry-After time
	CountRefused     bool     `toml:"refused_count,omitempty"` // refused calls count against the limit
	ReportsLimit     bool     `toml:"reports,omitempty"`       // answers tell the limit and the remaining share of it
	ReportInterval   Duration `toml:"report_age,omitempty"`    // the reported share is computed anew after this time
	LimitListed      bool     `toml:"rated,omitempty"`         // the directory's list tells the limit
	MaxConnections   int      `toml:"connections"`             // open connections per endpoint; 0 for no limit
	Handshake        Duration `toml:"handshake"`
	IdleTimeout      Duration `toml:"idle_for"` // endpoints close connections that have been idle for this long
	MaxEventsPerCall int      `toml:"per_call"`
	LimitPerEndpoint bool     `toml:"routes,omitempty"` // each endpoint has a limit and outages of its own
}

// LoadChange changes the traffic for a period of time.
type LoadChange struct {
	Start          Duration `toml:"at"`
	Duration       Duration `toml:"for"`
	Factor         float64  `toml:"times"`            // multiplies the usual rate
	Burst          int      `toml:"clump,omitempty"`  // events at once for one destination, instead of the factor
	Period         Duration `toml:"every,omitempty"`  // on and off for half a period each; time between bursts
	GreedyCustomer string   `toml:"greedy,omitempty"` // customer to which all additional events belong
}

// Fault is a fault that occurs during the run. The affected machines are drawn from the seed unless they are given.
type Fault struct {
	Kind         string   `toml:"kind"`
	Start        Duration `toml:"at"`
	Duration     Duration `toml:"for,omitempty"`
	Destinations int      `toml:"destinations,omitempty"` // number of affected destinations
	Destination  int      `toml:"destination,omitempty"`  // or one destination, counted from 1
	Endpoints    int      `toml:"endpoints,omitempty"`    // affected endpoints of each destination; 0 for all
	Nodes        int      `toml:"nodes,omitempty"`        // number of affected nodes
	Node         int      `toml:"node,omitempty"`         // or one node, counted from 1
	Share        float64  `toml:"share,omitempty"`        // of the calls, answers or messages
	Factor       float64  `toml:"times,omitempty"`        // by which work or answers are slower
	Period       Duration `toml:"every,omitempty"`        // the fault is on and off for half a period each
	ReturnsWarm  bool     `toml:"warm,omitempty"`         // the destination returns at full capacity
}

// FaultKinds are the kinds of faults with what each affects, in the order of the reference.
var FaultKinds = []struct{ Name, Target, Description string }{
	{"refuse", "destinations", "connections are refused"},
	{"silent", "destinations", "nothing is received: open connections stay silent, and new ones are never established"},
	{"hang", "destinations", "calls are received but neither run nor answered"},
	{"shut", "destinations", "all calls are refused, with a Retry-After time until the end of the fault"},
	{"fail", "destinations", "a share of the calls ends with an error, half of those after taking effect"},
	{"slow", "destinations", "work times are multiplied by `times`"},
	{"lose", "destinations", "a share of the answers is lost in a connection reset, after the call took effect"},
	{"spoil", "destinations", "a share of the answers is unreadable"},
	{"late", "destinations", "a share of the answers takes `times` as long"},
	{"replace", "destinations", "endpoints drain and are replaced by new ones"},
	{"kill", "nodes", "the process is killed and restarts"},
	{"drain", "nodes", "the process is asked to stop, drains, exits and restarts"},
	{"freeze", "nodes", "the process is suspended"},
	{"directory-down", "fleet", "watches end, and the directory does not answer"},
	{"directory-still", "fleet", "the directory publishes no changes"},
	{"notes-lost", "fleet", "a share of the peer messages is lost"},
}

// faultTarget returns what a kind of fault affects, and whether the kind exists.
func faultTarget(name string) (target string, ok bool) {
	for _, k := range FaultKinds {
		if k.Name == name {
			return k.Target, true
		}
	}
	return "", false
}

// defaults returns the values of keys that a file may leave out.
func defaults() Scenario {
	return Scenario{
		Version: Version,
		Length:  Duration(time.Minute),
		Fleet: Fleet{
			Nodes:              4,
			MaxConcurrentCalls: 24,
			MaxEvents:          300,
			MaxAttempts:        6,
			Tick:               Duration(5 * time.Millisecond),
			MaxRetryAfter:      Duration(2 * time.Second),
			AllowDuplicates:    true,
			PeerMessages:       true,
			NetworkDelay:       Duration(500 * time.Microsecond),
			DirectoryDelay:     Duration(2 * time.Second),
			RestartTime:        Duration(1200 * time.Millisecond),
		},
		Rules: Rules{
			ColdShare:      0.25,
			WarmupTime:     Duration(10 * time.Second),
			OverloadFactor: 2,
			OverloadAfter:  Duration(2 * time.Second),
			OverloadOutage: Duration(20 * time.Second),
			DrainGrace:     Duration(500 * time.Millisecond),
			AskWithin:      Duration(10 * time.Second),
			KeyPause:       Duration(2 * time.Second),
		},
		Clients: Clients{MaxRetries: 2, RetryDelay: Duration(400 * time.Millisecond), RetryJitter: 0.5},
	}
}

// Read parses and validates a scenario's text. Errors name the file, the line or the key, the expected and the actual
// value; all problems are reported together. find returns the text of a base scenario by its name. A list in this
// scenario replaces the base's list as a whole.
func Read(file string, text []byte, find func(name string) ([]byte, error)) (*Scenario, error) {
	return read(file, text, find, 0)
}

func read(file string, text []byte, find func(name string) ([]byte, error), depth int) (*Scenario, error) {
	s := defaults()
	var head struct {
		Like string `toml:"like"`
	}
	if err := toml.Unmarshal(text, &head); err == nil && head.Like != "" {
		if depth >= maxBaseDepth || find == nil {
			return nil, fmt.Errorf("%s: like: want a chain of at most %d base scenarios", file, maxBaseDepth)
		}
		baseText, err := find(head.Like)
		if err != nil {
			return nil, fmt.Errorf("%s: like: %w", file, err)
		}
		base, err := read(head.Like, baseText, find, depth+1)
		if err != nil {
			return nil, err
		}
		s = *base
		s.Types, s.Customers, s.DestinationKinds, s.LoadChanges, s.Faults = nil, nil, nil, nil, nil
		return decode(file, text, s, base)
	}
	return decode(file, text, s, &Scenario{})
}

// decode applies a text to the given defaults, and takes lists that it does not have from the base scenario.
func decode(file string, text []byte, s Scenario, base *Scenario) (*Scenario, error) {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		var at *toml.DecodeError
		switch {
		case errors.As(err, &unknown):
			var all error
			for _, e := range unknown.Errors {
				line, _ := e.Position()
				all = errors.Join(
					all,
					fmt.Errorf("%s:%d: %s: unknown key", file, line, strings.Join(e.Key(), ".")),
				)
			}
			return nil, all
		case errors.As(err, &at):
			line, _ := at.Position()
			return nil, fmt.Errorf("%s:%d: %s: %w", file, line, strings.Join(at.Key(), "."), err)
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	inherit(&s.Types, base.Types)
	inherit(&s.Customers, base.Customers)
	inherit(&s.DestinationKinds, base.DestinationKinds)
	inherit(&s.LoadChanges, base.LoadChanges)
	inherit(&s.Faults, base.Faults)
	s.Base = ""
	for i := range s.DestinationKinds {
		dk := &s.DestinationKinds[i]
		dk.Endpoints, dk.MaxEventsPerCall, dk.Destinations = max(
			dk.Endpoints,
			1,
		), max(
			dk.MaxEventsPerCall,
			1,
		), max(
			dk.Destinations,
			1,
		)
		if dk.MinWorkFactor == 0 && dk.MaxWorkFactor == 0 {
			dk.MinWorkFactor, dk.MaxWorkFactor = 1, 1
		}
		if dk.Weight == 0 {
			dk.Weight = 1
		}
	}
	if len(s.Customers) == 0 {
		s.Customers = []Customer{{Name: "all", Share: 1, AgreedRate: 1e6}}
	}
	if err := s.Validate(); err != nil {
		var all error
		for line := range strings.SplitSeq(err.Error(), "\n") {
			all = errors.Join(all, fmt.Errorf("%s: %s", file, line))
		}
		return nil, all
	}
	return &s, nil
}

func inherit[T any](list *[]T, base []T) {
	if *list == nil {
		*list = slices.Clone(base)
	}
}

// Write encodes a scenario in the form that Read reads.
func (s *Scenario) Write() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	err := e.Encode(s)
	return b.Bytes(), err
}

// Clone returns a copy of the scenario with copies of its lists.
func (s *Scenario) Clone() *Scenario {
	c := *s
	c.Types, c.Customers = slices.Clone(s.Types), slices.Clone(s.Customers)
	c.DestinationKinds, c.LoadChanges, c.Faults =
		slices.Clone(s.DestinationKinds), slices.Clone(s.LoadChanges), slices.Clone(s.Faults)
	return &c
}

// Limits on a scenario, so that memory stays bounded whatever a file contains.
const (
	maxNodes     = 2000
	maxEndpoints = 20000
	maxRate      = 1e6
	maxListItems = 1000
	maxLength    = Duration(24 * time.Hour)
	maxBaseDepth = 4
)

type validator struct{ err error }

func (c *validator) require(ok bool, place, want string, got any) {
	if !ok {
		c.err = errors.Join(c.err, fmt.Errorf("%s: want %s, got %v", place, want, got))
	}
}

func (c *validator) intRange(place string, got, lo, hi int) {
	c.require(got >= lo && got <= hi, place, fmt.Sprintf("%d to %d", lo, hi), got)
}

func (c *validator) floatRange(place string, got, lo, hi float64) {
	c.require(!math.IsNaN(got) && got >= lo && got <= hi, place, fmt.Sprintf("%g to %g", lo, hi), got)
}

func (c *validator) durationRange(place string, got, lo, hi Duration) {
	c.require(got >= lo && got <= hi, place, fmt.Sprintf("%v to %v", lo, hi), got)
}

// Validate reports all problems of a scenario.
func (s *Scenario) Validate() error {
	var c validator
	ms, hour := Duration(time.Millisecond), Duration(time.Hour)
	c.require(s.Version == Version, "version", strconv.Itoa(Version), s.Version)
	c.require(s.Name != "", "name", "a name", `""`)
	c.durationRange("length", s.Length, Duration(time.Second), maxLength)
	f := s.Fleet
	c.intRange("fleet.nodes", f.Nodes, 1, maxNodes)
	c.intRange("fleet.slots", f.MaxConcurrentCalls, 1, 1e5)
	c.intRange("fleet.events", f.MaxEvents, 1, 1e6)
	c.intRange("fleet.sends", f.MaxAttempts, 1, 100)
	c.durationRange("fleet.tick", f.Tick, Duration(100*time.Microsecond), Duration(time.Second))
	c.durationRange("fleet.come_back", f.MaxRetryAfter, 0, hour)
	c.floatRange("fleet.note_loss", f.PeerMessageLoss, 0, 1)
	c.durationRange("fleet.delay", f.NetworkDelay, 0, Duration(time.Second))
	c.durationRange("fleet.directory", f.DirectoryDelay, 0, hour)
	c.durationRange("fleet.restart", f.RestartTime, ms, hour)
	r := s.Rules
	c.floatRange("rules.cold_share", r.ColdShare, 0.01, 1)
	c.durationRange("rules.warm_after", r.WarmupTime, 0, hour)
	c.floatRange("rules.fall_multiple", r.OverloadFactor, 1, 100)
	c.durationRange("rules.fall_after", r.OverloadAfter, 100*ms, hour)
	c.durationRange("rules.grace", r.DrainGrace, 0, hour)
	c.durationRange("rules.ask_within", r.AskWithin, 0, hour)
	c.intRange("clients.again", s.Clients.MaxRetries, 0, 100)
	c.durationRange("clients.back_off", s.Clients.RetryDelay, 10*ms, hour)
	c.floatRange("clients.spread", s.Clients.RetryJitter, 0, 1)
	c.intRange("type: count", len(s.Types), 1, maxListItems)
	c.intRange("partner: count", len(s.DestinationKinds), 1, maxListItems)
	c.intRange("trouble: count", len(s.Faults), 0, maxListItems)
	c.intRange("load: count", len(s.LoadChanges), 0, maxListItems)
	for i, t := range s.Types {
		at := fmt.Sprintf("type %d (%s): ", i+1, t.Name)
		_, known := safetyByName[t.Safety]
		c.require(known, at+"safety", "idempotent, deduplicated or non-idempotent", strconv.Quote(t.Safety))
		c.require(t.Name != "", at+"name", "a name", `""`)
		c.floatRange(at+"rate", t.Rate, 0, maxRate)
		c.durationRange(at+"work", t.Work, Duration(100*time.Microsecond), hour)
		c.floatRange(at+"sigma", t.Sigma, 0, 3)
		c.durationRange(at+"slo", t.SLO, ms, t.MaxAge)
		c.durationRange(at+"max_age", t.MaxAge, 100*ms, 24*hour)
		c.floatRange(at+"utility", t.Utility, 0, 1e6)
		c.floatRange(at+"late_utility", t.LateUtility, 0, 1)
		c.intRange(at+"keys", t.Keys, 0, 1e6)
		c.require((t.Safety == "deduplicated") == (t.DedupWindow > 0), at+"window",
			"a duration for deduplicated types, and none for others", t.DedupWindow)
	}
	shares := 0.0
	for i, customer := range s.Customers {
		c.floatRange(fmt.Sprintf("customer %d (%s): share", i+1, customer.Name), customer.Share, 0, 1)
		shares += customer.Share
	}
	c.require(math.Abs(shares-1) < 0.01, "customer: sum of shares", "1", shares)
	endpoints, dests := 0, 0
	for i, dk := range s.DestinationKinds {
		at := fmt.Sprintf("partner %d (%s): ", i+1, dk.Name)
		c.require(
			dk.Name != "" && !strings.ContainsAny(dk.Name, " ,"),
			at+"name",
			"a name without spaces or commas",
			strconv.Quote(dk.Name),
		)
		c.intRange(at+"destinations", dk.Destinations, 1, maxEndpoints)
		c.intRange(at+"endpoints", dk.Endpoints, 1, 64)
		c.intRange(at+"workers", dk.Workers, 1, 1e4)
		c.intRange(at+"queue", dk.Queue, 0, 1e5)
		c.floatRange(at+"weight", dk.Weight, 0, 1e6)
		c.floatRange(at+"pace_least", dk.MinWorkFactor, 0.01, 100)
		c.floatRange(at+"pace_most", dk.MaxWorkFactor, dk.MinWorkFactor, 100)
		c.floatRange(at+"limit", dk.Limit, 0, 1e6)
		c.durationRange(at+"span", dk.LimitWindow, 0, hour)
		c.floatRange(at+"told", dk.RetryAfterShare, 0, 1)
		c.intRange(at+"connections", dk.MaxConnections, 0, 1e5)
		c.durationRange(at+"handshake", dk.Handshake, 0, Duration(time.Minute))
		c.intRange(at+"per_call", dk.MaxEventsPerCall, 1, 100)
		if dk.Destinations <= maxEndpoints && dk.Endpoints <= 64 {
			endpoints, dests = endpoints+dk.Destinations*dk.Endpoints, dests+dk.Destinations
		}
	}
	c.intRange("partner: total endpoints", endpoints, 1, maxEndpoints)
	for i, change := range s.LoadChanges {
		at := fmt.Sprintf("load %d: ", i+1)
		c.floatRange(at+"times", change.Factor, 0, 1000)
		c.intRange(at+"clump", change.Burst, 0, 1e5)
		c.require(
			change.GreedyCustomer == "" ||
				slices.ContainsFunc(s.Customers, func(customer Customer) bool { return customer.Name == change.GreedyCustomer }),
			at+"greedy",
			"the name of a customer",
			strconv.Quote(change.GreedyCustomer),
		)
	}
	for i, fault := range s.Faults {
		at := fmt.Sprintf("trouble %d (%s): ", i+1, fault.Kind)
		target, ok := faultTarget(fault.Kind)
		c.require(ok, at+"kind", "a kind listed by `jaspersill-lab scenario reference`", strconv.Quote(fault.Kind))
		c.require(
			target != "destinations" || fault.Destinations+fault.Destination > 0,
			at+"destinations",
			"a count, or a destination",
			0,
		)
		c.require(target != "nodes" || fault.Nodes+fault.Node > 0, at+"nodes", "a count, or a node", 0)
		c.intRange(at+"destination", fault.Destination, 0, dests)
		c.intRange(at+"destinations", fault.Destinations, 0, dests)
		c.intRange(at+"node", fault.Node, 0, f.Nodes)
		c.intRange(at+"nodes", fault.Nodes, 0, f.Nodes)
		c.floatRange(at+"share", fault.Share, 0, 1)
		c.floatRange(at+"times", fault.Factor, 0, 1000)
		c.require(fault.Period == 0 || fault.Period >= 20*ms, at+"every", "at least 20ms", fault.Period)
	}
	return c.err
}

var safetyByName = map[string]delivery.Safety{
	"idempotent":     delivery.Idempotent,
	"deduplicated":   delivery.Deduplicated,
	"non-idempotent": delivery.NonIdempotent,
}

// DeliveryTypes returns the stream types as they are configured in a node.
func (s *Scenario) DeliveryTypes() (types []delivery.StreamType) {
	for _, t := range s.Types {
		types = append(types, delivery.StreamType{
			Safety:      safetyByName[t.Safety],
			Ordered:     t.Keys > 0,
			DedupWindow: int64(t.DedupWindow),
			SLO:         int64(t.SLO),
			MaxAge:      int64(t.MaxAge),
			Utility:     t.Utility,
			LateUtility: t.LateUtility,
		})
	}
	return types
}

// DeliveryDestinationKinds returns the kinds of destinations as they are configured in a node.
func (s *Scenario) DeliveryDestinationKinds() (kinds []delivery.DestinationKind) {
	for _, dk := range s.DestinationKinds {
		kinds = append(kinds, delivery.DestinationKind{
			LimitPerEndpoint: dk.LimitPerEndpoint, MaxEventsPerCall: dk.MaxEventsPerCall,
		})
	}
	return kinds
}

// DeliveryLimits returns a node's limits.
func (s *Scenario) DeliveryLimits() delivery.Limits {
	return delivery.Limits{
		MaxConcurrentCalls: s.Fleet.MaxConcurrentCalls,
		MaxEvents:          s.Fleet.MaxEvents,
		MaxAttempts:        s.Fleet.MaxAttempts,
		CanCancel:          true,
		MaxRetryAfter:      int64(s.Fleet.MaxRetryAfter),
	}
}

// DeliveryRecovery returns how destinations recover from outages.
func (s *Scenario) DeliveryRecovery() delivery.Recovery {
	return delivery.Recovery{ColdShare: s.Rules.ColdShare, WarmupTime: int64(s.Rules.WarmupTime),
		OverloadFactor: s.Rules.OverloadFactor, OverloadAfter: int64(s.Rules.OverloadAfter)}
}

// UtilityShare returns the share of an event's utility that is left at an age.
func (t *StreamType) UtilityShare(age int64) float64 {
	slo, maxAge := int64(t.SLO), int64(t.MaxAge)
	switch {
	case age > maxAge:
		return 0
	case age <= slo:
		return 1
	}
	return 1 - (1-t.LateUtility)*float64(age-slo)/float64(max(1, maxAge-slo))
}

// Scale returns the scenario with its nodes, destinations and traffic multiplied by a factor.
func (s *Scenario) Scale(factor float64) *Scenario {
	c := s.Clone()
	scale := func(n int) int { return max(1, int(math.Round(float64(n)*factor))) }
	c.Fleet.Nodes = scale(c.Fleet.Nodes)
	for i := range c.DestinationKinds {
		c.DestinationKinds[i].Destinations = scale(c.DestinationKinds[i].Destinations)
	}
	for i := range c.Types {
		c.Types[i].Rate *= factor
	}
	for i := range c.Faults {
		fault := &c.Faults[i]
		fault.Node, fault.Destination = min(fault.Node, c.Fleet.Nodes), 0
		if target, _ := faultTarget(fault.Kind); target == "destinations" {
			fault.Destinations = scale(max(1, fault.Destinations))
		}
		if fault.Nodes > 0 {
			fault.Nodes = min(scale(fault.Nodes), c.Fleet.Nodes)
		}
	}
	return c
}
