// Package scenario reads the lab's scenarios: TOML files that say how large a fleet is, what its partners are
// like, what clients bring, and which troubles come when. It does no I/O.
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

// Version is the version of the format; a file may name it and is refused where it differs.
const Version = 1

// Duration is a time, written as "250ms".
type Duration int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf(`want a time as "250ms", got %q`, text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

func (s Duration) String() string { return time.Duration(s).String() }

// Scenario is one day in the lab.
type Scenario struct {
	Version          int               `toml:"version"`
	Base             string            `toml:"like,omitempty"` // a scenario that says what this one does not
	Name             string            `toml:"name"`
	Challenge        string            `toml:"hard"` // what it is hard for, in a line
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

// Fleet is the delivery nodes and what each may have at once.
type Fleet struct {
	Nodes              int      `toml:"nodes"`
	MaxConcurrentCalls int      `toml:"slots"`  // calls out at once, each node
	MaxEvents          int      `toml:"events"` // held at once, each node
	MaxAttempts        int      `toml:"sends"`  // of an event at most
	Tick               Duration `toml:"tick"`
	MaxRetryAfter      Duration `toml:"come_back"` // longest time that clients heed; "0s" where it cannot be told
	AllowDuplicates    bool     `toml:"copies"`    // an event may have two sends out
	PeerMessages       bool     `toml:"notes"`
	PeerMessageLoss    float64  `toml:"note_loss"` // share of notes that never come
	NetworkDelay       Duration `toml:"delay"`     // one way between any two machines
	DirectoryDelay     Duration `toml:"directory"` // time until the directory tells a change
	RestartTime        Duration `toml:"restart"`   // from a node's death until it serves again
}

// Rules are the figures of the rules that the partners ask for.
type Rules struct {
	ColdShare      float64  `toml:"cold_share"`
	WarmupTime     Duration `toml:"warm_after"`
	OverloadFactor float64  `toml:"fall_multiple"`
	OverloadAfter  Duration `toml:"fall_after"`
	OverloadOutage Duration `toml:"fallen_for"` // a destination that was pushed over stays down so long
	DrainGrace     Duration `toml:"grace"`
	AskWithin      Duration `toml:"ask_within"`
	KeyPause       Duration `toml:"order_pause"`
}

// Clients is how clients behave when they are turned away.
type Clients struct {
	MaxRetries  int      `toml:"again"`    // times an event is handed in again after a decline
	RetryDelay  Duration `toml:"back_off"` // before that, where no time was told
	RetryJitter float64  `toml:"spread"`   // by which that time varies by chance, as a part of it
}

// StreamType is a stream type and how much of it comes.
type StreamType struct {
	Name        string   `toml:"name"`
	Safety      string   `toml:"safety"` // idempotent, deduplicated or non-idempotent
	Rate        float64  `toml:"rate"`   // events a second over the fleet
	Work        Duration `toml:"work"`   // median time that a partner of usual pace takes
	Sigma       float64  `toml:"sigma"`  // of the logarithm of that time
	SLO         Duration `toml:"slo"`
	MaxAge      Duration `toml:"max_age"`
	DedupWindow Duration `toml:"window,omitempty"` // how long a destination knows a repeat
	Utility     float64  `toml:"utility"`
	LateUtility float64  `toml:"late_utility,omitempty"` // share of the utility left at max age
	Keys        int      `toml:"keys,omitempty"`         // events of one of so many keys go singly; 0 for no order
}

// Customer shares the traffic.
type Customer struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	AgreedRate float64 `toml:"rate"` // its agreed events a second
}

// DestinationKind is a kind of destination, and how many there are.
type DestinationKind struct {
	Name             string   `toml:"name"`
	Destinations     int      `toml:"destinations"`
	Endpoints        int      `toml:"endpoints"` // of each
	Weight           float64  `toml:"weight"`    // of each in the traffic
	Workers          int      `toml:"workers"`   // calls that an endpoint works on at once
	Queue            int      `toml:"queue"`     // calls that wait there
	MinWorkFactor    float64  `toml:"pace_least"`
	MaxWorkFactor    float64  `toml:"pace_most"`
	Limit            float64  `toml:"limit,omitempty"` // calls a second over all nodes; 0 for none
	LimitWindow      Duration `toml:"span,omitempty"`  // the limit is a count in each span; "0s" for a plain rate
	RetryAfterShare  float64  `toml:"told,omitempty"`  // share of refusals that tell how long to wait
	CountRefused     bool     `toml:"refused_count,omitempty"`
	ReportsLimit     bool     `toml:"reports,omitempty"` // answers tell the limit and the share of it left
	ReportInterval   Duration `toml:"report_age,omitempty"`
	LimitListed      bool     `toml:"rated,omitempty"` // the list tells the limit
	MaxConnections   int      `toml:"connections"`     // that an endpoint holds; 0 for no limit
	Handshake        Duration `toml:"handshake"`
	IdleTimeout      Duration `toml:"idle_for"`
	MaxEventsPerCall int      `toml:"per_call"`
	LimitPerEndpoint bool     `toml:"routes,omitempty"`
}

// LoadChange changes the traffic for a time.
type LoadChange struct {
	Start          Duration `toml:"at"`
	Duration       Duration `toml:"for"`
	Factor         float64  `toml:"times"`            // the usual rate
	Burst          int      `toml:"clump,omitempty"`  // so many events come at once instead, for one destination
	Period         Duration `toml:"every,omitempty"`  // the change swings on and off, half of this each
	GreedyCustomer string   `toml:"greedy,omitempty"` // all that comes in addition is this customer's
}

// Fault is one thing that goes wrong. Which machines it meets is drawn by the seed, unless named.
type Fault struct {
	Kind         string   `toml:"kind"`
	Start        Duration `toml:"at"`
	Duration     Duration `toml:"for,omitempty"`
	Destinations int      `toml:"destinations,omitempty"` // how many are met
	Destination  int      `toml:"destination,omitempty"`  // this one, from 1
	Endpoints    int      `toml:"endpoints,omitempty"`    // of each; 0 for all
	Nodes        int      `toml:"nodes,omitempty"`        // how many are met
	Node         int      `toml:"node,omitempty"`         // this one, from 1
	Share        float64  `toml:"share,omitempty"`        // of calls
	Factor       float64  `toml:"times,omitempty"`        // slower by
	Period       Duration `toml:"every,omitempty"`        // it comes and goes, half of this each
	ReturnsWarm  bool     `toml:"warm,omitempty"`         // the destination comes back at full strength
}

// FaultKinds of troubles and what each says, in the order of the reference.
var FaultKinds = []struct{ Name, Meets, Meaning string }{
	{"refuse", "destinations", "connections are refused"},
	{"silent", "destinations", "no sign: connections stay open and silent, new ones never come up"},
	{"hang", "destinations", "calls are taken and never answered, nor run"},
	{"shut", "destinations", "all is turned away; it is told when it opens"},
	{"fail", "destinations", "a share of the calls ends with an error, half of them after taking effect"},
	{"slow", "destinations", "work takes times as long"},
	{"lose", "destinations", "a share of the answers is lost with its connection, after taking effect"},
	{"spoil", "destinations", "a share of the answers cannot be read"},
	{"late", "destinations", "a share of the answers comes times as late"},
	{"replace", "destinations", "endpoints drain and new ones take their place"},
	{"kill", "nodes", "the process is gone at once, and starts again"},
	{"drain", "nodes", "the process is asked to stop, stops, and starts again"},
	{"freeze", "nodes", "the process stands still"},
	{"directory-down", "fleet", "watches end, and the directory answers nobody"},
	{"directory-still", "fleet", "the directory tells no change"},
	{"notes-lost", "fleet", "a share of the notes is lost"},
}

// faultTarget finds a kind of trouble.
func faultTarget(name string) (meets string, ok bool) {
	for _, k := range FaultKinds {
		if k.Name == name {
			return k.Meets, true
		}
	}
	return "", false
}

// defaults is what a file need not say.
func defaults() Scenario {
	return Scenario{Version: Version, Length: Duration(time.Minute),
		Fleet: Fleet{Nodes: 4, MaxConcurrentCalls: 24, MaxEvents: 300, MaxAttempts: 6, Tick: Duration(5 * time.Millisecond),
			MaxRetryAfter: Duration(2 * time.Second), AllowDuplicates: true, PeerMessages: true, NetworkDelay: Duration(500 * time.Microsecond),
			DirectoryDelay: Duration(2 * time.Second), RestartTime: Duration(1200 * time.Millisecond)},
		Rules: Rules{ColdShare: 0.25, WarmupTime: Duration(10 * time.Second), OverloadFactor: 2,
			OverloadAfter: Duration(
				2 * time.Second,
			), OverloadOutage: Duration(20 * time.Second), DrainGrace: Duration(500 * time.Millisecond),
			AskWithin: Duration(10 * time.Second), KeyPause: Duration(2 * time.Second)},
		Clients: Clients{MaxRetries: 2, RetryDelay: Duration(400 * time.Millisecond), RetryJitter: 0.5}}
}

// Read reads a scenario's text and checks it as a whole. Errors name the file, the line or the place, what
// was wanted and what was found, and all of them are told. find has the text of the scenario that this one is
// like; lists that this one has replace the other's as a whole.
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
			return nil, fmt.Errorf("%s: like: want at most %d scenarios one like the other", file, maxBaseDepth)
		}
		base, err := find(head.Like)
		if err != nil {
			return nil, fmt.Errorf("%s: like: %w", file, err)
		}
		like, err := read(head.Like, base, find, depth+1)
		if err != nil {
			return nil, err
		}
		s = *like
		s.Types, s.Customers, s.DestinationKinds, s.LoadChanges, s.Faults = nil, nil, nil, nil, nil
		return decode(file, text, s, like)
	}
	return decode(file, text, s, &Scenario{})
}

// decode lays a text over what is usual, and takes the lists that it lacks from the scenario that it is like.
func decode(file string, text []byte, s Scenario, like *Scenario) (*Scenario, error) {
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
					fmt.Errorf("%s:%d: %s: no such key", file, line, strings.Join(e.Key(), ".")),
				)
			}
			return nil, all
		case errors.As(err, &at):
			line, _ := at.Position()
			return nil, fmt.Errorf("%s:%d: %s: %w", file, line, strings.Join(at.Key(), "."), err)
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	inherit(&s.Types, like.Types)
	inherit(&s.Customers, like.Customers)
	inherit(&s.DestinationKinds, like.DestinationKinds)
	inherit(&s.LoadChanges, like.LoadChanges)
	inherit(&s.Faults, like.Faults)
	s.Base = ""
	for i := range s.DestinationKinds {
		p := &s.DestinationKinds[i]
		p.Endpoints, p.MaxEventsPerCall, p.Destinations = max(
			p.Endpoints,
			1,
		), max(
			p.MaxEventsPerCall,
			1,
		), max(
			p.Destinations,
			1,
		)
		if p.MinWorkFactor == 0 && p.MaxWorkFactor == 0 {
			p.MinWorkFactor, p.MaxWorkFactor = 1, 1
		}
		if p.Weight == 0 {
			p.Weight = 1
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

func inherit[T any](list *[]T, like []T) {
	if *list == nil {
		*list = slices.Clone(like)
	}
}

// Write writes a scenario that Read reads back.
func (s *Scenario) Write() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	err := e.Encode(s)
	return b.Bytes(), err
}

// Clone copies a scenario with its lists.
func (s *Scenario) Clone() *Scenario {
	c := *s
	c.Types, c.Customers, c.DestinationKinds = slices.Clone(s.Types), slices.Clone(s.Customers), slices.Clone(s.DestinationKinds)
	c.LoadChanges, c.Faults = slices.Clone(s.LoadChanges), slices.Clone(s.Faults)
	return &c
}

// Most that a scenario may ask for: memory stays bounded whatever a file claims.
const (
	maxNodes     = 2000
	maxEndpoints = 20000
	maxRate      = 1e6
	maxListItems = 1000
	maxLength    = Duration(24 * time.Hour)
	maxBaseDepth = 4
)

type validator struct{ err error }

func (c *validator) require(good bool, place, want string, got any) {
	if !good {
		c.err = errors.Join(c.err, fmt.Errorf("%s: want %s, got %v", place, want, got))
	}
}

func (c *validator) intRange(place string, got, least, most int) {
	c.require(got >= least && got <= most, place, fmt.Sprintf("%d to %d", least, most), got)
}

func (c *validator) floatRange(place string, got, least, most float64) {
	c.require(!math.IsNaN(got) && got >= least && got <= most, place, fmt.Sprintf("%g to %g", least, most), got)
}

func (c *validator) durationRange(place string, got, least, most Duration) {
	c.require(got >= least && got <= most, place, fmt.Sprintf("%v to %v", least, most), got)
}

// Validate tells all that is wrong with a scenario.
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
	c.intRange("type: how many", len(s.Types), 1, maxListItems)
	c.intRange("partner: how many", len(s.DestinationKinds), 1, maxListItems)
	c.intRange("trouble: how many", len(s.Faults), 0, maxListItems)
	c.intRange("load: how many", len(s.LoadChanges), 0, maxListItems)
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
			"a time where repeats are dropped, and none elsewhere", t.DedupWindow)
	}
	shares := 0.0
	for i, o := range s.Customers {
		c.floatRange(fmt.Sprintf("customer %d (%s): share", i+1, o.Name), o.Share, 0, 1)
		shares += o.Share
	}
	c.require(math.Abs(shares-1) < 0.01, "customer: shares in all", "1", shares)
	endpoints, dests := 0, 0
	for i, p := range s.DestinationKinds {
		at := fmt.Sprintf("partner %d (%s): ", i+1, p.Name)
		c.require(
			p.Name != "" && !strings.ContainsAny(p.Name, " ,"),
			at+"name",
			"a name without blanks",
			strconv.Quote(p.Name),
		)
		c.intRange(at+"destinations", p.Destinations, 1, maxEndpoints)
		c.intRange(at+"endpoints", p.Endpoints, 1, 64)
		c.intRange(at+"workers", p.Workers, 1, 1e4)
		c.intRange(at+"queue", p.Queue, 0, 1e5)
		c.floatRange(at+"weight", p.Weight, 0, 1e6)
		c.floatRange(at+"pace_least", p.MinWorkFactor, 0.01, 100)
		c.floatRange(at+"pace_most", p.MaxWorkFactor, p.MinWorkFactor, 100)
		c.floatRange(at+"limit", p.Limit, 0, 1e6)
		c.durationRange(at+"span", p.LimitWindow, 0, hour)
		c.floatRange(at+"told", p.RetryAfterShare, 0, 1)
		c.intRange(at+"connections", p.MaxConnections, 0, 1e5)
		c.durationRange(at+"handshake", p.Handshake, 0, Duration(time.Minute))
		c.intRange(at+"per_call", p.MaxEventsPerCall, 1, 100)
		if p.Destinations <= maxEndpoints && p.Endpoints <= 64 {
			endpoints, dests = endpoints+p.Destinations*p.Endpoints, dests+p.Destinations
		}
	}
	c.intRange("partner: endpoints in all", endpoints, 1, maxEndpoints)
	for i, l := range s.LoadChanges {
		at := fmt.Sprintf("load %d: ", i+1)
		c.floatRange(at+"times", l.Factor, 0, 1000)
		c.intRange(at+"clump", l.Burst, 0, 1e5)
		c.require(
			l.GreedyCustomer == "" ||
				slices.ContainsFunc(s.Customers, func(o Customer) bool { return o.Name == l.GreedyCustomer }),
			at+"greedy",
			"the name of a customer",
			strconv.Quote(l.GreedyCustomer),
		)
	}
	for i, t := range s.Faults {
		at := fmt.Sprintf("trouble %d (%s): ", i+1, t.Kind)
		meets, ok := faultTarget(t.Kind)
		c.require(ok, at+"kind", "a kind that `jaspersill-lab scenario reference` names", strconv.Quote(t.Kind))
		c.require(
			meets != "destinations" || t.Destinations+t.Destination > 0,
			at+"destinations",
			"how many, or which",
			0,
		)
		c.require(meets != "nodes" || t.Nodes+t.Node > 0, at+"nodes", "how many, or which", 0)
		c.intRange(at+"destination", t.Destination, 0, dests)
		c.intRange(at+"destinations", t.Destinations, 0, dests)
		c.intRange(at+"node", t.Node, 0, f.Nodes)
		c.intRange(at+"nodes", t.Nodes, 0, f.Nodes)
		c.floatRange(at+"share", t.Share, 0, 1)
		c.floatRange(at+"times", t.Factor, 0, 1000)
		c.require(t.Period == 0 || t.Period >= 20*ms, at+"every", "at least 20ms", t.Period)
	}
	return c.err
}

var safetyByName = map[string]delivery.Safety{"idempotent": delivery.Idempotent, "deduplicated": delivery.Deduplicated,
	"non-idempotent": delivery.NonIdempotent}

// DeliveryTypes is what a node is told of the stream types.
func (s *Scenario) DeliveryTypes() (types []delivery.StreamType) {
	for _, t := range s.Types {
		types = append(types, delivery.StreamType{Safety: safetyByName[t.Safety], Ordered: t.Keys > 0,
			DedupWindow: int64(
				t.DedupWindow,
			), SLO: int64(t.SLO), MaxAge: int64(t.MaxAge), Utility: t.Utility, LateUtility: t.LateUtility})
	}
	return types
}

// DeliveryDestinationKinds is what a node is told of the kinds of destinations.
func (s *Scenario) DeliveryDestinationKinds() (kinds []delivery.DestinationKind) {
	for _, p := range s.DestinationKinds {
		kinds = append(kinds, delivery.DestinationKind{LimitPerEndpoint: p.LimitPerEndpoint, MaxEventsPerCall: p.MaxEventsPerCall})
	}
	return kinds
}

// DeliveryLimits is what a node may have at once.
func (s *Scenario) DeliveryLimits() delivery.Limits {
	return delivery.Limits{
		MaxConcurrentCalls: s.Fleet.MaxConcurrentCalls,
		MaxEvents:          s.Fleet.MaxEvents,
		MaxAttempts:        s.Fleet.MaxAttempts,
		CanCancel:          true,
		MaxRetryAfter:      int64(s.Fleet.MaxRetryAfter),
	}
}

// DeliveryRecovery is how destinations come back.
func (s *Scenario) DeliveryRecovery() delivery.Recovery {
	return delivery.Recovery{ColdShare: s.Rules.ColdShare, WarmupTime: int64(s.Rules.WarmupTime),
		OverloadFactor: s.Rules.OverloadFactor, OverloadAfter: int64(s.Rules.OverloadAfter)}
}

// UtilityShare is the part of an event's utility that is left at an age.
func (t *StreamType) UtilityShare(age int64) float64 {
	slo, most := int64(t.SLO), int64(t.MaxAge)
	switch {
	case age > most:
		return 0
	case age <= slo:
		return 1
	}
	return 1 - (1-t.LateUtility)*float64(age-slo)/float64(max(1, most-slo))
}

// Scale multiplies a scenario's fleet: nodes, destinations and traffic.
func (s *Scenario) Scale(by float64) *Scenario {
	c := s.Clone()
	times := func(n int) int { return max(1, int(math.Round(float64(n)*by))) }
	c.Fleet.Nodes = times(c.Fleet.Nodes)
	for i := range c.DestinationKinds {
		c.DestinationKinds[i].Destinations = times(c.DestinationKinds[i].Destinations)
	}
	for i := range c.Types {
		c.Types[i].Rate *= by
	}
	for i := range c.Faults {
		t := &c.Faults[i]
		t.Node, t.Destination = min(t.Node, c.Fleet.Nodes), 0
		if meets, _ := faultTarget(t.Kind); meets == "destinations" {
			t.Destinations = times(max(1, t.Destinations))
		}
		if t.Nodes > 0 {
			t.Nodes = min(times(t.Nodes), c.Fleet.Nodes)
		}
	}
	return c
}
