package simwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"jaspersill/delivery"
	"jaspersill/settings"
)

var launchSettings = strings.ReplaceAll(`models=big,small discovery=subscribe ceilings.max_open=50 ceilings.max_attempts=4 `+
	`ceilings.retry_after=true ceilings.max_retry_after_ms=1500 family_info.slots=5 `+
	`family_info.per_call=3,1 family_info.own_limits=false,true feedback.names=tps,x1,x0 `+
	`weight_kind=nominal me=0 replicas_of_me=2 rules.cold_share=0.2 rules.ramp_time_ms=9000 `+
	`rules.fall_multiple=2 rules.tip_after_ms=2000 rules.drain_grace_ms=300 services.count=1 `+
	`services.0.semantics=by_key services.0.group=zone services.0.aim_ms=1000 `+
	`services.0.deadline_ms=9000 services.0.memory_span_ms=5000 services.0.value=2 `+
	`unknown.key=skipped`, " ", "\n")

// frame builds a batch; put appends a record with the given code and fields.
type frame struct {
	records, tail []byte
}

func (f *frame) put(code byte, fields ...any) *frame {
	r := append(make([]byte, 0, eventSize), code)
	for _, v := range fields {
		if text, ok := v.(string); ok {
			r = le.AppendUint32(r, uint32(len(f.tail)))
			r = le.AppendUint32(r, uint32(len(text)))
			f.tail = append(f.tail, text...)
			continue
		}
		r, _ = binary.Append(r, le, v)
	}
	f.records = append(f.records, append(r, make([]byte, eventSize-len(r))...)...)
	return f
}

func (f *frame) bytes(seq uint32, clock float64) []byte {
	b := le.AppendUint32(nil, seq)
	b = le.AppendUint32(b, uint32(len(f.records)+len(f.tail)))
	b = le.AppendUint32(b, uint32(len(f.records)/eventSize))
	b = le.AppendUint64(b, math.Float64bits(clock))
	return append(append(b, f.records...), f.tail...)
}

// catalog adds an endpoint list; all endpoints belong to destination 7.
func (f *frame) catalog(table uint16, eps ...uint32) *frame {
	at := uint32(len(f.tail))
	for _, ep := range eps {
		e := le.AppendUint32(nil, ep)
		e = append(e, 1, 0, 1, 7, 0, 2)
		e = le.AppendUint32(e, math.Float32bits(4.5))
		f.tail = append(f.tail, append(e, make([]byte, 8)...)...)
	}
	return f.put(eventCatalog, table, at, uint32(len(eps)))
}

// scriptedScheduler is a delivery.Scheduler that records its input and calls act in each round.
type scriptedScheduler struct {
	calls []string
	act   func(delivery.Executor)
}

func (s *scriptedScheduler) Round(now int64, feed delivery.Feed, out delivery.Executor) {
	s.record("round", now)
	feed.Deliver(s)
	s.act(out)
}

func (s *scriptedScheduler) record(a ...any) {
	s.calls = append(s.calls, strings.Trim(fmt.Sprintln(a...), "\n"))
}
func (s *scriptedScheduler) Event(e int32, typ, customer int, key uint64, remaining, work int64, dest int32) {
	s.record("event", e, typ, customer, key, remaining, work, dest)
}
func (s *scriptedScheduler) ProcessingStarted(e int32, send int) {
	s.record("processing started", e, send)
}
func (s *scriptedScheduler) Resumed(e int32, sends int, mayRun bool, ago int64, zone int) {
	s.record("resumed", e, sends, mayRun, ago, zone)
}
func (s *scriptedScheduler) Outcome(e int32, send int, ep int32, outcome delivery.Outcome, retryAfter, latency int64, ended bool, freeShare, limit float64) {
	s.record("outcome", e, send, ep, uint8(outcome), retryAfter, latency, ended, freeShare, limit)
}
func (s *scriptedScheduler) Withdrawn(e int32)             { s.record("withdrawn", e) }
func (s *scriptedScheduler) Unconfirmed(e int32, send int) { s.record("unconfirmed", e, send) }
func (s *scriptedScheduler) Confirmed(e int32, send int)   { s.record("confirmed", e, send) }
func (s *scriptedScheduler) Doubted(e int32, send int)     { s.record("doubted", e, send) }
func (s *scriptedScheduler) ListStarted(complete bool)     { s.record("list started", complete) }
func (s *scriptedScheduler) EndpointListed(ep, dest int32, kind, zone int, state delivery.EndpointState, rate float64) {
	s.record("listed", ep, dest, kind, zone, state, rate)
}
func (s *scriptedScheduler) ListEnded(fromNewestWatch bool) {
	s.record("list ended", fromNewestWatch)
}
func (s *scriptedScheduler) ListFailed() { s.record("list failed") }
func (s *scriptedScheduler) Probed(ep int32, outcome delivery.Outcome, latency int64, freeShare, limit float64) {
	s.record("probed", ep, outcome)
}
func (s *scriptedScheduler) PeerReportedHealthy(peer int, ep int32, sentAgo int64) {
	s.record("peer reported healthy", peer, ep, sentAgo)
}
func (s *scriptedScheduler) Woken()            { s.record("woken") }
func (s *scriptedScheduler) RetryAfter() int64 { return 0 }
func (s *scriptedScheduler) StopSending()      {}

func TestFramesRoundTrip(t *testing.T) {
	var in, out bytes.Buffer
	f := new(frame).put(eventTo, uint16(3)).put(eventLaunch, uint64(99), launchSettings).catalog(2, 70, 80).
		put(eventTopology, byte(topologyCached), uint64(1), uint16(2)).catalog(2, 90)
	f.put(eventTopology, byte(topologyChanges), uint64(2), uint16(2))
	f.put(eventKnock, uint64(501), uint16(0), uint16(1), uint64(6), 2500.5, 0.0, float32(7), byte(2))
	in.Write(f.bytes(1, 1000))
	f = new(frame).put(eventTo, uint16(3))
	f.put(eventFinished, uint64(501), uint32(250), uint16(429), 12.5, uint16(0), byte(0), uint32(80),
		byte(3), float32(1), float32(8), float32(0.5))
	f.put(eventMemo, uint16(1), string([]byte{4, 25, 0, 90, 0, 0, 0})).put(eventReminder, uint64(0)).put(eventAbandoned, uint64(777))
	in.Write(f.bytes(2, 1005.25))
	in.Write(new(frame).bytes(3, 1010))
	s := &scriptedScheduler{}
	rounds := 0
	s.act = func(w delivery.Executor) {
		if rounds++; rounds == 1 {
			w.Send(0, 1, 1500*1000, delivery.Terms{})
			w.Wake(5 * 1e6)
			w.Watch(true)
			w.AnnounceHealthy(2, 30*1e6)
		} else {
			w.Decline(0, 700*1e6)
			w.Log("two words", 1)
		}
	}
	var got settings.Settings
	if err := Serve(&in, &out, func(seed uint64, st settings.Settings) delivery.Scheduler { got = st; s.record("seed", seed); return s }); err != nil {
		t.Fatal(err)
	}
	want := []string{"seed 99", "round 1000000000", "list started true", "listed 0 0 1 1 2 4.5", "listed 1 0 1 1 2 4.5",
		"list ended false", "list started false", "listed 2 0 1 1 2 4.5", "list ended true", "event 0 0 1 6 2500500000 0 0",
		"round 1005250000", "outcome 0 0 1 2 250000000 12500000 false 0.5 8", "peer reported healthy 1 2 25000000", "woken"}
	if !slices.Equal(s.calls, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(s.calls, "\n"), strings.Join(want, "\n"))
	}
	wantType := delivery.StreamType{Safety: delivery.Deduplicated, DedupPerZone: true, DedupWindow: 5e9, SLO: 1e9, MaxAge: 9e9, Utility: 2}
	if got.StreamTypes[0] != wantType || got.DestinationKinds[0] != (delivery.DestinationKind{MaxEventsPerCall: 3}) ||
		got.DestinationKinds[1] != (delivery.DestinationKind{LimitPerEndpoint: true, MaxEventsPerCall: 1}) ||
		got.Limits.MaxRetryAfter != 1500*1e6 || !got.Directory.RequiresWatch || got.Cluster.Nodes != 2 {
		t.Errorf("parsed settings: %+v", got)
	}
	record := func(code byte, fields ...any) string {
		r := []byte{code}
		for _, v := range fields {
			r, _ = binary.Append(r, le, v)
		}
		return string(append(r, make([]byte, actionSize-len(r))...))
	}
	reply := func(seq, count, size uint32) string {
		return string(le.AppendUint32(le.AppendUint32(le.AppendUint32(nil, seq), count), size))
	}
	wantBytes := reply(1, 5, 5*actionSize+7) + record(actionOnBehalf, uint16(3)) +
		record(actionIssue, uint64(501), uint32(80), 1.5) + record(actionRemind, 5.0, uint64(0)) + record(actionKeepInformed, byte(1)) +
		record(actionMemoTo, uint16(allPeers), uint32(0), uint32(7)) + "\x04\x1e\x00\x5a\x00\x00\x00" +
		reply(2, 3, 3*actionSize+13) + record(actionOnBehalf, uint16(3)) + record(actionBounce, uint64(501), 700.0) +
		record(actionWriteLog, uint32(0), uint32(13)) + "two words: 80" + reply(3, 0, 0)
	if out.String() != wantBytes {
		t.Errorf("replies\n%x\nwant\n%x", out.String(), wantBytes)
	}
}

func TestInvalidInputIsReported(t *testing.T) {
	begin := func() *frame { return new(frame).put(eventTo, uint16(3)).put(eventLaunch, uint64(9), launchSettings) }
	withSetting := func(from, to string) []byte {
		return new(frame).put(eventTo, uint16(3)).put(eventLaunch, uint64(9), strings.Replace(launchSettings, from, to, 1)).bytes(1, 0)
	}
	complete := begin().bytes(1, 0)
	for _, c := range []struct {
		in   []byte
		want string
	}{
		{complete[:7], "batch header: input ends inside it"},
		{complete[:40], "input ends after 20 of"},
		{begin().put(99).bytes(1, 0), "record 2: unknown event code 99"},
		{new(frame).put(eventReminder, uint64(1)).bytes(1, 0), "event code 7 before any To"},
		{begin().put(eventTopology, byte(3), uint64(1), uint16(4)).bytes(1, 0), "Catalog 4 was never defined"},
		{begin().put(eventCatalog, uint16(16)).bytes(1, 0), "Catalog number 16"},
		{begin().put(eventCatalog, uint16(1), uint32(0), uint32(1<<31)).bytes(1, 0), "exceed the tail's"},
		{begin().put(eventMemo, uint16(1), uint32(1<<30), uint32(9)).bytes(1, 0), "Memo: offset 1073741824"},
		{begin().put(eventFinished, uint64(1), uint32(0), uint16(299), 1.0).bytes(1, 0), "code 299"},
		{begin().put(eventKnock, uint64(1), uint16(0), uint16(0), uint64(0), math.NaN()).bytes(1, 0), "left_ms NaN"},
		{begin().bytes(1, math.Inf(1)), "clock +Inf"},
		{withSetting("me=0", "me=x"), `settings: me: want a number from 0 to 1e12, got "x"`},
		{withSetting("rules.cold_share=0.2\n", ""), `settings: rules.cold_share: want a number`},
		{withSetting("by_key", "sometimes"), `services.0.semantics: want one of repeatable by_key once, got "sometimes"`},
		{withSetting("services.count=1", "services.count=900000000"), `settings: services.count: want at most 4096`},
	} {
		err := Serve(bytes.NewReader(c.in), &bytes.Buffer{}, func(uint64, settings.Settings) delivery.Scheduler {
			return &scriptedScheduler{act: func(delivery.Executor) {}}
		})
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want %q, got %v", c.want, err)
		}
	}
}

func TestPanicBecomesBailOut(t *testing.T) {
	var out bytes.Buffer
	s := &scriptedScheduler{act: func(w delivery.Executor) { w.Watch(true); panic("lost count") }}
	in := new(frame).put(eventTo, uint16(3)).put(eventLaunch, uint64(9), launchSettings).bytes(1, 0)
	if err := Serve(bytes.NewReader(in), &out, func(uint64, settings.Settings) delivery.Scheduler { return s }); err != nil {
		t.Fatal(err)
	}
	if b := out.Bytes(); len(b) < 60 || b[4] != 2 || b[12+actionSize] != actionBailOut || !bytes.HasSuffix(b, []byte("lost count")) {
		t.Errorf("reply %x, want a BailOut that ends in the panic's text", b)
	}
}

func FuzzServe(f *testing.F) {
	b := new(frame).put(eventTo, uint16(3)).put(eventLaunch, uint64(9), launchSettings).catalog(0, 5)
	b.put(eventTopology, byte(3), uint64(1), uint16(0)).put(eventKnock, uint64(1), uint16(0), uint16(0), uint64(0), 90.0)
	f.Add(b.bytes(1, 0))
	f.Fuzz(func(t *testing.T, in []byte) {
		s := &scriptedScheduler{act: func(delivery.Executor) {}}
		_ = Serve(bytes.NewReader(in), &bytes.Buffer{}, func(uint64, settings.Settings) delivery.Scheduler { return s })
	})
}
