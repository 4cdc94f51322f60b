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

// Span is a time, written as "250ms".
type Span int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf(`want a time as "250ms", got %q`, text)
	}
	*s = Span(d)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

func (s Span) String() string { return time.Duration(s).String() }

// Scenario is one day in the lab.
type Scenario struct {
	Version  int        `toml:"version"`
	Like     string     `toml:"like,omitempty"` // a scenario that says what this one does not
	Name     string     `toml:"name"`
	Hard     string     `toml:"hard"` // what it is hard for, in a line
	Length   Span       `toml:"length"`
	Fleet    Fleet      `toml:"fleet"`
	Rules    Rules      `toml:"rules"`
	Clients  Clients    `toml:"clients"`
	Types    []Type     `toml:"type"`
	Owners   []Customer `toml:"customer,omitempty"`
	Partners []Partner  `toml:"partner"`
	Loads    []Load     `toml:"load,omitempty"`
	Troubles []Trouble  `toml:"trouble,omitempty"`
}

// Fleet is the delivery nodes and what each may have at once.
type Fleet struct {
	Nodes     int     `toml:"nodes"`
	Slots     int     `toml:"slots"`  // calls out at once, each node
	Events    int     `toml:"events"` // held at once, each node
	Sends     int     `toml:"sends"`  // of an event at most
	Tick      Span    `toml:"tick"`
	ComeBack  Span    `toml:"come_back"` // longest time that clients heed; "0s" where it cannot be told
	Copies    bool    `toml:"copies"`    // an event may have two sends out
	Notes     bool    `toml:"notes"`
	NoteLoss  float64 `toml:"note_loss"` // share of notes that never come
	Delay     Span    `toml:"delay"`     // one way between any two machines
	Directory Span    `toml:"directory"` // time until the directory tells a change
	Restart   Span    `toml:"restart"`   // from a node's death until it serves again
}

// Rules are the figures of the rules that the partners ask for.
type Rules struct {
	ColdShare    float64 `toml:"cold_share"`
	WarmAfter    Span    `toml:"warm_after"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallAfter    Span    `toml:"fall_after"`
	FallenFor    Span    `toml:"fallen_for"` // a destination that was pushed over stays down so long
	Grace        Span    `toml:"grace"`
	AskWithin    Span    `toml:"ask_within"`
	OrderPause   Span    `toml:"order_pause"`
}

// Clients is how clients behave when they are turned away.
type Clients struct {
	Again   int     `toml:"again"`    // times an event is handed in again after a decline
	BackOff Span    `toml:"back_off"` // before that, where no time was told
	Spread  float64 `toml:"spread"`   // by which that time varies by chance, as a part of it
}

// Type is a stream type and how much of it comes.
type Type struct {
	Name    string  `toml:"name"`
	Safety  string  `toml:"safety"` // idempotent, deduplicated or non-idempotent
	Rate    float64 `toml:"rate"`   // events a second over the fleet
	Work    Span    `toml:"work"`   // median time that a partner of usual pace takes
	Sigma   float64 `toml:"sigma"`  // of the logarithm of that time
	SLO     Span    `toml:"slo"`
	MaxAge  Span    `toml:"max_age"`
	Window  Span    `toml:"window,omitempty"` // how long a destination knows a repeat
	Utility float64 `toml:"utility"`
	Late    float64 `toml:"late_utility,omitempty"` // share of the utility left at max age
	Keys    int     `toml:"keys,omitempty"`         // events of one of so many keys go singly; 0 for no order
}

// Customer shares the traffic.
type Customer struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Rate  float64 `toml:"rate"` // its agreed events a second
}

// Partner is a kind of destination, and how many there are.
type Partner struct {
	Name         string  `toml:"name"`
	Destinations int     `toml:"destinations"`
	Endpoints    int     `toml:"endpoints"` // of each
	Weight       float64 `toml:"weight"`    // of each in the traffic
	Workers      int     `toml:"workers"`   // calls that an endpoint works on at once
	Queue        int     `toml:"queue"`     // calls that wait there
	PaceLeast    float64 `toml:"pace_least"`
	PaceMost     float64 `toml:"pace_most"`
	Limit        float64 `toml:"limit,omitempty"` // calls a second over all nodes; 0 for none
	Span         Span    `toml:"span,omitempty"`  // the limit is a count in each span; "0s" for a plain rate
	Told         float64 `toml:"told,omitempty"`  // share of refusals that tell how long to wait
	RefusedCount bool    `toml:"refused_count,omitempty"`
	Reports      bool    `toml:"reports,omitempty"` // answers tell the limit and the share of it left
	ReportAge    Span    `toml:"report_age,omitempty"`
	Rated        bool    `toml:"rated,omitempty"` // the list tells the limit
	Connections  int     `toml:"connections"`     // that an endpoint holds; 0 for no limit
	Handshake    Span    `toml:"handshake"`
	IdleFor      Span    `toml:"idle_for"`
	PerCall      int     `toml:"per_call"`
	Routes       bool    `toml:"routes,omitempty"`
}

// Load changes the traffic for a time.
type Load struct {
	At     Span    `toml:"at"`
	For    Span    `toml:"for"`
	Times  float64 `toml:"times"`            // the usual rate
	Clump  int     `toml:"clump,omitempty"`  // so many events come at once instead, for one destination
	Every  Span    `toml:"every,omitempty"`  // the change swings on and off, half of this each
	Greedy string  `toml:"greedy,omitempty"` // all that comes in addition is this customer's
}

// Trouble is one thing that goes wrong. Which machines it meets is drawn by the seed, unless named.
type Trouble struct {
	Kind         string  `toml:"kind"`
	At           Span    `toml:"at"`
	For          Span    `toml:"for,omitempty"`
	Destinations int     `toml:"destinations,omitempty"` // how many are met
	Destination  int     `toml:"destination,omitempty"`  // this one, from 1
	Endpoints    int     `toml:"endpoints,omitempty"`    // of each; 0 for all
	Nodes        int     `toml:"nodes,omitempty"`        // how many are met
	Node         int     `toml:"node,omitempty"`         // this one, from 1
	Share        float64 `toml:"share,omitempty"`        // of calls
	Times        float64 `toml:"times,omitempty"`        // slower by
	Every        Span    `toml:"every,omitempty"`        // it comes and goes, half of this each
	Warm         bool    `toml:"warm,omitempty"`         // the destination comes back at full strength
}

// Kinds of troubles and what each says, in the order of the reference.
var Kinds = []struct{ Name, Meets, Meaning string }{
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

// kindOf finds a kind of trouble.
func kindOf(name string) (meets string, ok bool) {
	for _, k := range Kinds {
		if k.Name == name {
			return k.Meets, true
		}
	}
	return "", false
}

// usual is what a file need not say.
func usual() Scenario {
	return Scenario{Version: Version, Length: Span(time.Minute),
		Fleet: Fleet{Nodes: 4, Slots: 24, Events: 300, Sends: 6, Tick: Span(5 * time.Millisecond),
			ComeBack: Span(2 * time.Second), Copies: true, Notes: true, Delay: Span(500 * time.Microsecond),
			Directory: Span(2 * time.Second), Restart: Span(1200 * time.Millisecond)},
		Rules: Rules{ColdShare: 0.25, WarmAfter: Span(10 * time.Second), FallMultiple: 2,
			FallAfter: Span(
				2 * time.Second,
			), FallenFor: Span(20 * time.Second), Grace: Span(500 * time.Millisecond),
			AskWithin: Span(10 * time.Second), OrderPause: Span(2 * time.Second)},
		Clients: Clients{Again: 2, BackOff: Span(400 * time.Millisecond), Spread: 0.5}}
}

// Read reads a scenario's text and checks it as a whole. Errors name the file, the line or the place, what
// was wanted and what was found, and all of them are told. find has the text of the scenario that this one is
// like; lists that this one has replace the other's as a whole.
func Read(file string, text []byte, find func(name string) ([]byte, error)) (*Scenario, error) {
	return read(file, text, find, 0)
}

func read(file string, text []byte, find func(name string) ([]byte, error), depth int) (*Scenario, error) {
	s := usual()
	var head struct {
		Like string `toml:"like"`
	}
	if err := toml.Unmarshal(text, &head); err == nil && head.Like != "" {
		if depth >= mostLike || find == nil {
			return nil, fmt.Errorf("%s: like: want at most %d scenarios one like the other", file, mostLike)
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
		s.Types, s.Owners, s.Partners, s.Loads, s.Troubles = nil, nil, nil, nil, nil
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
	take(&s.Types, like.Types)
	take(&s.Owners, like.Owners)
	take(&s.Partners, like.Partners)
	take(&s.Loads, like.Loads)
	take(&s.Troubles, like.Troubles)
	s.Like = ""
	for i := range s.Partners {
		p := &s.Partners[i]
		p.Endpoints, p.PerCall, p.Destinations = max(
			p.Endpoints,
			1,
		), max(
			p.PerCall,
			1,
		), max(
			p.Destinations,
			1,
		)
		if p.PaceLeast == 0 && p.PaceMost == 0 {
			p.PaceLeast, p.PaceMost = 1, 1
		}
		if p.Weight == 0 {
			p.Weight = 1
		}
	}
	if len(s.Owners) == 0 {
		s.Owners = []Customer{{Name: "all", Share: 1, Rate: 1e6}}
	}
	if err := s.Check(); err != nil {
		var all error
		for line := range strings.SplitSeq(err.Error(), "\n") {
			all = errors.Join(all, fmt.Errorf("%s: %s", file, line))
		}
		return nil, all
	}
	return &s, nil
}

func take[T any](list *[]T, like []T) {
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
	c.Types, c.Owners, c.Partners = slices.Clone(s.Types), slices.Clone(s.Owners), slices.Clone(s.Partners)
	c.Loads, c.Troubles = slices.Clone(s.Loads), slices.Clone(s.Troubles)
	return &c
}

// Most that a scenario may ask for: memory stays bounded whatever a file claims.
const (
	mostNodes     = 2000
	mostEndpoints = 20000
	mostRate      = 1e6
	mostList      = 1000
	mostLength    = Span(24 * time.Hour)
	mostLike      = 4
)

type checker struct{ err error }

func (c *checker) want(good bool, place, want string, got any) {
	if !good {
		c.err = errors.Join(c.err, fmt.Errorf("%s: want %s, got %v", place, want, got))
	}
}

func (c *checker) count(place string, got, least, most int) {
	c.want(got >= least && got <= most, place, fmt.Sprintf("%d to %d", least, most), got)
}

func (c *checker) number(place string, got, least, most float64) {
	c.want(!math.IsNaN(got) && got >= least && got <= most, place, fmt.Sprintf("%g to %g", least, most), got)
}

func (c *checker) span(place string, got, least, most Span) {
	c.want(got >= least && got <= most, place, fmt.Sprintf("%v to %v", least, most), got)
}

// Check tells all that is wrong with a scenario.
func (s *Scenario) Check() error {
	var c checker
	ms, hour := Span(time.Millisecond), Span(time.Hour)
	c.want(s.Version == Version, "version", strconv.Itoa(Version), s.Version)
	c.want(s.Name != "", "name", "a name", `""`)
	c.span("length", s.Length, Span(time.Second), mostLength)
	f := s.Fleet
	c.count("fleet.nodes", f.Nodes, 1, mostNodes)
	c.count("fleet.slots", f.Slots, 1, 1e5)
	c.count("fleet.events", f.Events, 1, 1e6)
	c.count("fleet.sends", f.Sends, 1, 100)
	c.span("fleet.tick", f.Tick, Span(100*time.Microsecond), Span(time.Second))
	c.span("fleet.come_back", f.ComeBack, 0, hour)
	c.number("fleet.note_loss", f.NoteLoss, 0, 1)
	c.span("fleet.delay", f.Delay, 0, Span(time.Second))
	c.span("fleet.directory", f.Directory, 0, hour)
	c.span("fleet.restart", f.Restart, ms, hour)
	r := s.Rules
	c.number("rules.cold_share", r.ColdShare, 0.01, 1)
	c.span("rules.warm_after", r.WarmAfter, 0, hour)
	c.number("rules.fall_multiple", r.FallMultiple, 1, 100)
	c.span("rules.fall_after", r.FallAfter, 100*ms, hour)
	c.span("rules.grace", r.Grace, 0, hour)
	c.span("rules.ask_within", r.AskWithin, 0, hour)
	c.count("clients.again", s.Clients.Again, 0, 100)
	c.span("clients.back_off", s.Clients.BackOff, 10*ms, hour)
	c.number("clients.spread", s.Clients.Spread, 0, 1)
	c.count("type: how many", len(s.Types), 1, mostList)
	c.count("partner: how many", len(s.Partners), 1, mostList)
	c.count("trouble: how many", len(s.Troubles), 0, mostList)
	c.count("load: how many", len(s.Loads), 0, mostList)
	for i, t := range s.Types {
		at := fmt.Sprintf("type %d (%s): ", i+1, t.Name)
		_, known := safeties[t.Safety]
		c.want(known, at+"safety", "idempotent, deduplicated or non-idempotent", strconv.Quote(t.Safety))
		c.want(t.Name != "", at+"name", "a name", `""`)
		c.number(at+"rate", t.Rate, 0, mostRate)
		c.span(at+"work", t.Work, Span(100*time.Microsecond), hour)
		c.number(at+"sigma", t.Sigma, 0, 3)
		c.span(at+"slo", t.SLO, ms, t.MaxAge)
		c.span(at+"max_age", t.MaxAge, 100*ms, 24*hour)
		c.number(at+"utility", t.Utility, 0, 1e6)
		c.number(at+"late_utility", t.Late, 0, 1)
		c.count(at+"keys", t.Keys, 0, 1e6)
		c.want((t.Safety == "deduplicated") == (t.Window > 0), at+"window",
			"a time where repeats are dropped, and none elsewhere", t.Window)
	}
	shares := 0.0
	for i, o := range s.Owners {
		c.number(fmt.Sprintf("customer %d (%s): share", i+1, o.Name), o.Share, 0, 1)
		shares += o.Share
	}
	c.want(math.Abs(shares-1) < 0.01, "customer: shares in all", "1", shares)
	endpoints, dests := 0, 0
	for i, p := range s.Partners {
		at := fmt.Sprintf("partner %d (%s): ", i+1, p.Name)
		c.want(
			p.Name != "" && !strings.ContainsAny(p.Name, " ,"),
			at+"name",
			"a name without blanks",
			strconv.Quote(p.Name),
		)
		c.count(at+"destinations", p.Destinations, 1, mostEndpoints)
		c.count(at+"endpoints", p.Endpoints, 1, 64)
		c.count(at+"workers", p.Workers, 1, 1e4)
		c.count(at+"queue", p.Queue, 0, 1e5)
		c.number(at+"weight", p.Weight, 0, 1e6)
		c.number(at+"pace_least", p.PaceLeast, 0.01, 100)
		c.number(at+"pace_most", p.PaceMost, p.PaceLeast, 100)
		c.number(at+"limit", p.Limit, 0, 1e6)
		c.span(at+"span", p.Span, 0, hour)
		c.number(at+"told", p.Told, 0, 1)
		c.count(at+"connections", p.Connections, 0, 1e5)
		c.span(at+"handshake", p.Handshake, 0, Span(time.Minute))
		c.count(at+"per_call", p.PerCall, 1, 100)
		if p.Destinations <= mostEndpoints && p.Endpoints <= 64 {
			endpoints, dests = endpoints+p.Destinations*p.Endpoints, dests+p.Destinations
		}
	}
	c.count("partner: endpoints in all", endpoints, 1, mostEndpoints)
	for i, l := range s.Loads {
		at := fmt.Sprintf("load %d: ", i+1)
		c.number(at+"times", l.Times, 0, 1000)
		c.count(at+"clump", l.Clump, 0, 1e5)
		c.want(
			l.Greedy == "" ||
				slices.ContainsFunc(s.Owners, func(o Customer) bool { return o.Name == l.Greedy }),
			at+"greedy",
			"the name of a customer",
			strconv.Quote(l.Greedy),
		)
	}
	for i, t := range s.Troubles {
		at := fmt.Sprintf("trouble %d (%s): ", i+1, t.Kind)
		meets, ok := kindOf(t.Kind)
		c.want(ok, at+"kind", "a kind that `jaspersill-lab scenario reference` names", strconv.Quote(t.Kind))
		c.want(
			meets != "destinations" || t.Destinations+t.Destination > 0,
			at+"destinations",
			"how many, or which",
			0,
		)
		c.want(meets != "nodes" || t.Nodes+t.Node > 0, at+"nodes", "how many, or which", 0)
		c.count(at+"destination", t.Destination, 0, dests)
		c.count(at+"destinations", t.Destinations, 0, dests)
		c.count(at+"node", t.Node, 0, f.Nodes)
		c.count(at+"nodes", t.Nodes, 0, f.Nodes)
		c.number(at+"share", t.Share, 0, 1)
		c.number(at+"times", t.Times, 0, 1000)
		c.want(t.Every == 0 || t.Every >= 20*ms, at+"every", "at least 20ms", t.Every)
	}
	return c.err
}

var safeties = map[string]delivery.Safety{"idempotent": delivery.Idempotent, "deduplicated": delivery.Deduplicated,
	"non-idempotent": delivery.NonIdempotent}

// StreamTypes is what a node is told of the stream types.
func (s *Scenario) StreamTypes() (types []delivery.StreamType) {
	for _, t := range s.Types {
		types = append(types, delivery.StreamType{Safety: safeties[t.Safety], Ordered: t.Keys > 0,
			DedupWindow: int64(
				t.Window,
			), SLO: int64(t.SLO), MaxAge: int64(t.MaxAge), Utility: t.Utility, LateUtility: t.Late})
	}
	return types
}

// PartnerKinds is what a node is told of the kinds of destinations.
func (s *Scenario) PartnerKinds() (kinds []delivery.DestinationKind) {
	for _, p := range s.Partners {
		kinds = append(kinds, delivery.DestinationKind{LimitPerEndpoint: p.Routes, MaxEventsPerCall: p.PerCall})
	}
	return kinds
}

// Room is what a node may have at once.
func (s *Scenario) Room() delivery.Limits {
	return delivery.Limits{
		MaxConcurrentCalls: s.Fleet.Slots,
		MaxEvents:          s.Fleet.Events,
		MaxAttempts:        s.Fleet.Sends,
		CanCancel:          true,
		MaxRetryAfter:      int64(s.Fleet.ComeBack),
	}
}

// Recovery is how destinations come back.
func (s *Scenario) Recovery() delivery.Recovery {
	return delivery.Recovery{ColdShare: s.Rules.ColdShare, WarmupTime: int64(s.Rules.WarmAfter),
		OverloadFactor: s.Rules.FallMultiple, OverloadAfter: int64(s.Rules.FallAfter)}
}

// Worth is the part of an event's utility that is left at an age.
func (t *Type) Worth(age int64) float64 {
	slo, most := int64(t.SLO), int64(t.MaxAge)
	switch {
	case age > most:
		return 0
	case age <= slo:
		return 1
	}
	return 1 - (1-t.Late)*float64(age-slo)/float64(max(1, most-slo))
}

// Scale multiplies a scenario's fleet: nodes, destinations and traffic.
func (s *Scenario) Scale(by float64) *Scenario {
	c := s.Clone()
	times := func(n int) int { return max(1, int(math.Round(float64(n)*by))) }
	c.Fleet.Nodes = times(c.Fleet.Nodes)
	for i := range c.Partners {
		c.Partners[i].Destinations = times(c.Partners[i].Destinations)
	}
	for i := range c.Types {
		c.Types[i].Rate *= by
	}
	for i := range c.Troubles {
		t := &c.Troubles[i]
		t.Node, t.Destination = min(t.Node, c.Fleet.Nodes), 0
		if meets, _ := kindOf(t.Kind); meets == "destinations" {
			t.Destinations = times(max(1, t.Destinations))
		}
		if t.Nodes > 0 {
			t.Nodes = min(times(t.Nodes), c.Fleet.Nodes)
		}
	}
	return c
}
