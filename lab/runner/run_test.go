package runner

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"strings"
	"testing"

	"jaspersill/lab/checker"
	"jaspersill/lab/policy"
	"jaspersill/lab/scenario"
	"jaspersill/lab/scenarios"
	"jaspersill/lab/simulator"
	"jaspersill/lab/stat"
	"jaspersill/lab/workload"
)

func findScenario(t testing.TB, name string) *scenario.Scenario {
	t.Helper()
	day, err := scenarios.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// fullLength tells whether the measurements that docs/lab.md states are made, rather than their short forms.
func fullLength() bool { return os.Getenv("JASPERSILL_LONG") != "" }

func TestTraceDependsOnlyOnSeeds(t *testing.T) {
	for _, name := range []string{"harvest", "ordered", "replaced", "seldom"} {
		day := findScenario(t, name)
		day.Length = scenario.Duration(30e9)
		before := runtime.GOMAXPROCS(1)
		one := TraceHash(day, 7, 3, policy.NewScheduler)
		runtime.GOMAXPROCS(max(2, before))
		if two := TraceHash(day, 7, 3, policy.NewScheduler); one != two {
			t.Errorf("%s: two traces of one seed: %s and %s", name, one, two)
		}
		runtime.GOMAXPROCS(before)
		if other := TraceHash(day, 7, 4, policy.NewScheduler); other == one {
			t.Errorf("%s: two lucks have one trace", name)
		}
	}
}

func TestDefectivePoliciesViolateTheirRules(t *testing.T) {
	for _, c := range []struct {
		weak, scenario string
		rule           checker.Rule
	}{
		{"lossy", "farm", checker.RuleSingleEnd},
		{"restless", "farm", checker.RuleSingleEnd},
		{"careless", "answers-lost", checker.RuleSingleEffect},
		{"forgetful", "answers-lost", checker.RuleSingleEffect},
		{"undrained", "replaced", checker.RuleDrain},
		{"blind", "cold-return", checker.RuleColdStart},
		{"disorderly", "ordered", checker.RuleKeyOrder},
		{"deaf", "refusals", checker.RuleRetryAfter},
	} {
		day := findScenario(t, c.scenario)
		if c.weak == "forgetful" { // a window so short that repeats past it come often
			for i := range day.Types {
				if day.Types[i].DedupWindow > 0 {
					day.Types[i].DedupWindow = 2e8
				}
			}
		}
		launch, err := policy.Find("module+" + c.weak)
		if err != nil {
			t.Fatal(err)
		}
		caught := false
		for seed := range uint64(3) {
			for _, b := range Run(day, seed, 0, launch, false, nil).Summary.Violations {
				evidence := b.Event > 0 && b.At > 0 &&
					(len(b.Sends) > 0 || c.weak == "lossy" || c.weak == "deaf" ||
						c.weak == "undrained" || c.weak == "disorderly") ||
					b.Rule == checker.RuleColdStart
				if b.Rule != c.rule &&
					(c.weak != "restless" || b.Rule != checker.RuleSingleEffect) { // the one too many runs, too
					t.Errorf("%s: %s", c.weak, b)
				} else if !evidence {
					t.Errorf("%s: no evidence: %s", c.weak, b)
				}
				caught = true
			}
			if r := Run(day, seed, 0, policy.NewScheduler, false, nil); r.Summary.ViolationCount > 0 && c.weak != "forgetful" {
				t.Errorf("%s: false alarm on the module as it is: %s", c.scenario, r.Summary.Violations[0])
			}
		}
		if !caught {
			t.Errorf("%s on %s: not caught", c.weak, c.scenario)
		}
	}
}

func TestNoViolationsWithoutFaults(t *testing.T) {
	day := findScenario(t, "farm")
	n := 40
	if fullLength() {
		n = 200
	} else {
		day.Length = scenario.Duration(20e9)
	}
	sets := []Variant{{Name: "module", Scenario: day, NewScheduler: policy.NewScheduler}}
	results, err := RunAll(context.Background(), sets, Seeds(1, n), false, nil)
	if err != nil {
		t.Fatal(err)
	}
	if broken, first := CountViolations(results[0]); broken > 0 {
		t.Errorf("%d alarms over %d calm seeds: %s", broken, n, first)
	}
	for i := range results[0] {
		if s := &results[0][i].Summary; s.Arrivals == 0 || s.G < 0.99 || s.Effects != s.Acked {
			t.Errorf("seed %d is not calm: %+v", results[0][i].Seed, s)
		}
	}
}

// A version beside itself: with the same requests and troubles, and chance drawn anew, the interval must hold
// 0 as often as it says.
func TestSelfComparisonIntervalCoverage(t *testing.T) {
	day := findScenario(t, "refusals")
	comparisons, seeds := 40, 12
	least, most := 0.85, 1.0
	if fullLength() {
		comparisons, seeds, least, most = 400, 30, 0.92, 0.98
	}
	day.Length = scenario.Duration(20e9)
	day.LoadChanges[0].Start, day.LoadChanges[0].Duration = scenario.Duration(5e9), scenario.Duration(8e9)
	holds := 0
	for c := range comparisons {
		sets := []Variant{
			{Scenario: day, NewScheduler: policy.NewScheduler, NoiseSeed: uint64(2*c + 1)},
			{Scenario: day, NewScheduler: policy.NewScheduler, NoiseSeed: uint64(2*c + 2)},
		}
		r, err := RunAll(context.Background(), sets, Seeds(uint64(1+c*seeds), seeds), false, nil)
		if err != nil {
			t.Fatal(err)
		}
		if PairedDifference(r[0], r[1], G).Contains(0) {
			holds++
		}
	}
	part := float64(holds) / float64(comparisons)
	t.Logf("the interval held 0 in %d of %d comparisons of %d seeds", holds, comparisons, seeds)
	if part < least || part > most {
		t.Errorf("the interval held 0 in %.3f of the comparisons, want %.2f to %.2f", part, least, most)
	}
}

func TestPairedDifferenceDetectsWorsePolicy(t *testing.T) {
	day := findScenario(t, "silence")
	a, _ := NewVariant("module", day, 0)
	b, _ := NewVariant("once", day, 0)
	r, err := RunAll(context.Background(), []Variant{a, b}, Seeds(1, 8), false, nil)
	if err != nil {
		t.Fatal(err)
	}
	if d := PairedDifference(r[0], r[1], G); d.Most >= 0 {
		t.Errorf("one try for each event is not seen to be worse: %+v", d)
	}
}

// The interval's own promise, on values whose mean is known.
func TestBootstrapIntervalCoverage(t *testing.T) {
	chance := rand.New(rand.NewPCG(5, 5))
	for name, draw := range map[string]func() float64{
		"even": chance.Float64, "normal": chance.NormFloat64,
		"skewed": func() float64 { return math.Sqrt(chance.ExpFloat64()) },
	} {
		mean := map[string]float64{"even": 0.5, "normal": 0, "skewed": math.Sqrt(math.Pi) / 2}[name]
		holds, n := 0, 400
		for i := range n {
			values := make([]float64, 30)
			for k := range values {
				values[k] = draw()
			}
			if stat.MeanInterval(values, uint64(i)).Contains(mean) {
				holds++
			}
		}
		if part := float64(holds) / float64(n); part < 0.92 || part > 0.985 {
			t.Errorf("%s: the interval held the mean in %.3f of %d", name, part, n)
		}
	}
}

// What a run holds after its first minute must not grow with its length.
func TestMemoryDoesNotGrowWithRunLength(t *testing.T) {
	day := findScenario(t, "harvest")
	minutes := 3
	if fullLength() {
		minutes = 10
	}
	day.Length = scenario.Duration(minutes) * 60e9
	for i := range day.Faults {
		day.Faults[i].Duration, day.Faults[i].Period = day.Length, scenario.Duration(30e9)
	}
	day.LoadChanges[0].Duration = day.Length
	var heap []uint64
	w := simulator.New(day, 1, 0, policy.NewScheduler, nil)
	w.OnSecond(func(w *simulator.Simulation) {
		if (w.Now()/1e9)%60 == 59 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			heap = append(heap, m.HeapAlloc)
		}
	})
	w.Run()
	t.Logf("heap after each minute, kB: %d", heap)
	if first, last := heap[0], heap[len(heap)-1]; last > first+first/4+1<<20 {
		t.Errorf("the heap grew from %d to %d bytes", first, last)
	}
}

func TestScenarioErrorsAndRoundTrip(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name = \"x\"\nlenght = \"3s\"", "x.toml:2: lenght: unknown key"},
		{"name = \"x\"\nlength = 3", "length: want 1s to"},
		{"name = \"x\"\nlength = \"3\"", `want a duration such as "250ms", got "3"`},
		{"like = \"nowhere\"", "nowhere"},
		{"like = \"farm\"\nname = \"\"", `x.toml: name: want a name`},
		{"like = \"farm\"\n[fleet]\nnodes = 900000000", "fleet.nodes: want 1 to 2000, got 900000000"},
		{"like = \"farm\"\n[[trouble]]\nkind = \"sloww\"\nat = \"1s\"", `trouble 1 (sloww): kind: want a kind`},
		{"like = \"farm\"\n[[trouble]]\nkind = \"slow\"\nat = \"1s\"", "destinations: want a count, or a destination"},
		{"like = \"farm\"\n[[trouble]]\nkind = \"kill\"\nat = \"1s\"\nnode = 9", "node: want 0 to 4, got 9"},
		{"like = \"farm\"\n[[load]]\nat = \"1s\"\ngreedy = \"nobody\"", "greedy: want the name of a customer"},
		{"like = \"farm\"\nversion = 2", "version: want 1, got 2"},
		{"[[type]]\nname = \"x\"\nsafety = \"safe\"", "partner: count: want 1"},
	} {
		name := t.TempDir() + "/x.toml"
		if err := os.WriteFile(name, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := scenarios.Find(name); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %q", c.text, err, c.want)
		}
	}
	for _, name := range scenarios.Names() { // what is written is read back, and plays the same
		day := findScenario(t, name)
		text, err := day.Write()
		if err != nil {
			t.Fatal(err)
		}
		again, err := scenario.Read(name, text, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		day.Length, again.Length = scenario.Duration(6e9), scenario.Duration(6e9)
		if TraceHash(day, 1, 0, policy.NewScheduler) != TraceHash(again, 1, 0, policy.NewScheduler) {
			t.Errorf("%s: written and read back it plays another run", name)
		}
	}
}

func BenchmarkWorld(b *testing.B) {
	for _, size := range []struct {
		name             string
		nodes, endpoints int
	}{
		{"10-endpoints", 4, 10}, {"100-endpoints", 20, 100},
		{"200-endpoints", 50, 200}, {"1000-endpoints", 100, 1000},
	} {
		b.Run(size.name, func(b *testing.B) {
			day := findScenario(b, "farm")
			day.Fleet.Nodes, day.Length = size.nodes, scenario.Duration(30e9)
			rate := 0.0
			for i := range day.Types {
				day.Types[i].Rate *= float64(size.endpoints) / 24
				rate += day.Types[i].Rate
			}
			day.DestinationKinds[0].Destinations = max(1, size.endpoints/6)
			day.DestinationKinds[1].Destinations = size.endpoints - 3*day.DestinationKinds[0].Destinations
			events := int64(0)
			for b.Loop() {
				events += Run(day, 1, 0, policy.NewScheduler, false, nil).Summary.Arrivals
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// What a recording plays again must be the run that it was made of, to the byte.
func TestReplayReproducesRecordedRun(t *testing.T) {
	day := findScenario(t, "clumps")
	day.Length = scenario.Duration(20e9)
	var file bytes.Buffer
	if err := Record(day, 5, 1, policy.NewScheduler, &file); err != nil {
		t.Fatal(err)
	}
	text := file.Bytes()
	h := sha256.New()
	r, recorded, err := Replay(bytes.NewReader(text), 5, 1, policy.NewScheduler, h)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := hex.EncodeToString(h.Sum(nil)), TraceHash(recorded, 5, 1, policy.NewScheduler); got != want {
		t.Errorf("trace %s, want %s; %d asked for", got, want, r.Summary.Arrivals)
	}
	in, err := workload.Open(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	n := int64(0)
	for _, more := in.Next(); more; _, more = in.Next() {
		n++
	}
	if in.Err != nil || n != r.Summary.Arrivals {
		t.Errorf("%d arrivals recorded, %d asked for: %v", n, r.Summary.Arrivals, in.Err)
	}
	for cut := 0; cut < len(text); cut += len(text)/60 + 1 { // it must say so, and not panic
		in, err := workload.Open(bytes.NewReader(text[:cut]))
		if err != nil {
			continue
		}
		for _, more := in.Next(); more; _, more = in.Next() {
		}
		if in.Err == nil {
			t.Errorf("cut off at %d of %d bytes it passes for whole", cut, len(text))
		}
		in.Close()
	}
}
