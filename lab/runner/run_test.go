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
	sc, err := scenarios.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// fullLength reports whether tests run the full measurements that docs/lab.md quotes instead of short versions.
func fullLength() bool { return os.Getenv("JASPERSILL_LONG") != "" }

func TestTraceDependsOnlyOnSeeds(t *testing.T) {
	for _, name := range []string{"harvest", "ordered", "replaced", "seldom"} {
		sc := findScenario(t, name)
		sc.Length = scenario.Duration(30e9)
		before := runtime.GOMAXPROCS(1)
		one := TraceHash(sc, 7, 3, policy.NewScheduler)
		runtime.GOMAXPROCS(max(2, before))
		if two := TraceHash(sc, 7, 3, policy.NewScheduler); one != two {
			t.Errorf("%s: traces differ between 1 and more cores: %s and %s", name, one, two)
		}
		runtime.GOMAXPROCS(before)
		if other := TraceHash(sc, 7, 4, policy.NewScheduler); other == one {
			t.Errorf("%s: two noise seeds gave the same trace", name)
		}
	}
}

// Guards against a checker that overlooks a violation, reports the wrong rule or gives no evidence: each defect has to
// violate its own rule, and the scheduler without defects none.
func TestDefectivePoliciesViolateTheirRules(t *testing.T) {
	for _, c := range []struct {
		defect, scenario string
		rule             checker.Rule
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
		sc := findScenario(t, c.scenario)
		if c.defect == "forgetful" { // a deduplication window so short that repeats often come after it
			for i := range sc.Types {
				if sc.Types[i].DedupWindow > 0 {
					sc.Types[i].DedupWindow = 2e8
				}
			}
		}
		newScheduler, err := policy.Find("module+" + c.defect)
		if err != nil {
			t.Fatal(err)
		}
		detected := false
		for seed := range uint64(3) {
			for _, b := range Run(sc, seed, 0, newScheduler, false, nil).Summary.Violations {
				evidence := b.Event > 0 && b.At > 0 &&
					(len(b.Sends) > 0 || c.defect == "lossy" || c.defect == "deaf" ||
						c.defect == "undrained" || c.defect == "disorderly") ||
					b.Rule == checker.RuleColdStart
				if b.Rule != c.rule &&
					(c.defect != "restless" || b.Rule != checker.RuleSingleEffect) { // the extra attempt also runs
					t.Errorf("%s: %s", c.defect, b)
				} else if !evidence {
					t.Errorf("%s: violation without evidence: %s", c.defect, b)
				}
				detected = true
			}
			if r := Run(sc, seed, 0, policy.NewScheduler, false, nil); r.Summary.ViolationCount > 0 && c.defect != "forgetful" {
				t.Errorf("%s: violation by the module without defects: %s", c.scenario, r.Summary.Violations[0])
			}
		}
		if !detected {
			t.Errorf("%s on %s: no violation was detected", c.defect, c.scenario)
		}
	}
}

// Guards against a panic of the simulator by an index that is freed while a send of its event is in flight, and again with the
// outcome of that send.
func TestEventSentAfterItsEndKeepsItsIndex(t *testing.T) {
	newScheduler, err := policy.Find("module+restless")
	if err != nil {
		t.Fatal(err)
	}
	summary := Run(findScenario(t, "clumps"), 8, 14, newScheduler, false, nil).Summary
	if summary.ViolationCount == 0 {
		t.Error("the send after the end of its event was not detected")
	}
}

// Guards against false positives of the checker in runs without faults.
func TestNoViolationsWithoutFaults(t *testing.T) {
	sc := findScenario(t, "farm")
	n := 40
	if fullLength() {
		n = 200
	} else {
		sc.Length = scenario.Duration(20e9)
	}
	variants := []Variant{{Name: "module", Scenario: sc, NewScheduler: policy.NewScheduler}}
	results, err := RunAll(context.Background(), variants, Seeds(1, n), false, nil)
	if err != nil {
		t.Fatal(err)
	}
	if broken, first := CountViolations(results[0]); broken > 0 {
		t.Errorf("%d violations over %d seeds without faults: %s", broken, n, first)
	}
	for i := range results[0] {
		if s := &results[0][i].Summary; s.Arrivals == 0 || s.G < 0.99 || s.Effects != s.Acked {
			t.Errorf("seed %d: want nearly all utility and one effect per delivered event, got %+v", results[0][i].Seed, s)
		}
	}
}

// Compares a policy with itself: the requests and faults are the same and only the noise seeds differ, so the 95%
// interval of the difference has to contain 0 as often as its confidence level says.
func TestSelfComparisonIntervalCoverage(t *testing.T) {
	sc := findScenario(t, "refusals")
	comparisons, seeds := 40, 12
	lowest, highest := 0.85, 1.0
	if fullLength() {
		comparisons, seeds, lowest, highest = 400, 30, 0.92, 0.98
	}
	sc.Length = scenario.Duration(20e9)
	sc.LoadChanges[0].Start, sc.LoadChanges[0].Duration = scenario.Duration(5e9), scenario.Duration(8e9)
	containing := 0
	for c := range comparisons {
		variants := []Variant{
			{Scenario: sc, NewScheduler: policy.NewScheduler, NoiseSeed: uint64(2*c + 1)},
			{Scenario: sc, NewScheduler: policy.NewScheduler, NoiseSeed: uint64(2*c + 2)},
		}
		r, err := RunAll(context.Background(), variants, Seeds(uint64(1+c*seeds), seeds), false, nil)
		if err != nil {
			t.Fatal(err)
		}
		if PairedDifference(r[0], r[1], G).Contains(0) {
			containing++
		}
	}
	share := float64(containing) / float64(comparisons)
	t.Logf("the interval contained 0 in %d of %d comparisons of %d seeds", containing, comparisons, seeds)
	if share < lowest || share > highest {
		t.Errorf("the interval contained 0 in %.3f of the comparisons, want %.2f to %.2f", share, lowest, highest)
	}
}

func TestPairedDifferenceDetectsWorsePolicy(t *testing.T) {
	sc := findScenario(t, "silence")
	a, _ := NewVariant("module", sc, 0)
	b, _ := NewVariant("once", sc, 0)
	r, err := RunAll(context.Background(), []Variant{a, b}, Seeds(1, 8), false, nil)
	if err != nil {
		t.Fatal(err)
	}
	if d := PairedDifference(r[0], r[1], G); d.Most >= 0 {
		t.Errorf("policy with a single attempt per event is not significantly worse: %+v", d)
	}
}

// Checks the coverage of the bootstrap interval on distributions whose mean is known.
func TestBootstrapIntervalCoverage(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for name, draw := range map[string]func() float64{
		"uniform": random.Float64, "normal": random.NormFloat64,
		"skewed": func() float64 { return math.Sqrt(random.ExpFloat64()) },
	} {
		mean := map[string]float64{"uniform": 0.5, "normal": 0, "skewed": math.Sqrt(math.Pi) / 2}[name]
		containing, n := 0, 400
		for i := range n {
			values := make([]float64, 30)
			for k := range values {
				values[k] = draw()
			}
			if stat.MeanInterval(values, uint64(i)).Contains(mean) {
				containing++
			}
		}
		if share := float64(containing) / float64(n); share < 0.92 || share > 0.985 {
			t.Errorf("%s: the interval contained the mean in %.3f of %d", name, share, n)
		}
	}
}

// Guards against leaks in the simulation: the heap after the first minute must not grow with the run's length.
func TestMemoryDoesNotGrowWithRunLength(t *testing.T) {
	sc := findScenario(t, "harvest")
	minutes := 3
	if fullLength() {
		minutes = 10
	}
	sc.Length = scenario.Duration(minutes) * 60e9
	for i := range sc.Faults {
		sc.Faults[i].Duration, sc.Faults[i].Period = sc.Length, scenario.Duration(30e9)
	}
	sc.LoadChanges[0].Duration = sc.Length
	var heap []uint64
	sim := simulator.New(sc, 1, 0, policy.NewScheduler, nil)
	sim.OnSecond(func(sim *simulator.Simulation) {
		if (sim.Now()/1e9)%60 == 59 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			heap = append(heap, m.HeapAlloc)
		}
	})
	sim.Run()
	t.Logf("heap after each minute, kB: %d", heap)
	if first, last := heap[0], heap[len(heap)-1]; last > first+first/4+1<<20 {
		t.Errorf("heap grew from %d to %d bytes", first, last)
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
	for _, name := range scenarios.Names() { // a scenario that is written and read back gives the same run
		sc := findScenario(t, name)
		text, err := sc.Write()
		if err != nil {
			t.Fatal(err)
		}
		again, err := scenario.Read(name, text, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		sc.Length, again.Length = scenario.Duration(6e9), scenario.Duration(6e9)
		if TraceHash(sc, 1, 0, policy.NewScheduler) != TraceHash(again, 1, 0, policy.NewScheduler) {
			t.Errorf("%s: written and read back, it gives a different trace", name)
		}
	}
}

func BenchmarkSimulation(b *testing.B) {
	for _, size := range []struct {
		name             string
		nodes, endpoints int
	}{
		{"10-endpoints", 4, 10}, {"100-endpoints", 20, 100},
		{"200-endpoints", 50, 200}, {"1000-endpoints", 100, 1000},
	} {
		b.Run(size.name, func(b *testing.B) {
			sc := findScenario(b, "farm")
			sc.Fleet.Nodes, sc.Length = size.nodes, scenario.Duration(30e9)
			rate := 0.0
			for i := range sc.Types {
				sc.Types[i].Rate *= float64(size.endpoints) / 24
				rate += sc.Types[i].Rate
			}
			sc.DestinationKinds[0].Destinations = max(1, size.endpoints/6)
			sc.DestinationKinds[1].Destinations = size.endpoints - 3*sc.DestinationKinds[0].Destinations
			events := int64(0)
			for b.Loop() {
				events += Run(sc, 1, 0, policy.NewScheduler, false, nil).Summary.Arrivals
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// The replay of a recording must have the same trace, byte for byte, as the recorded run. A truncated recording must
// be reported as an error and must not panic.
func TestReplayReproducesRecordedRun(t *testing.T) {
	sc := findScenario(t, "clumps")
	sc.Length = scenario.Duration(20e9)
	var file bytes.Buffer
	if err := Record(sc, 5, 1, policy.NewScheduler, &file); err != nil {
		t.Fatal(err)
	}
	text := file.Bytes()
	h := sha256.New()
	r, recorded, err := Replay(bytes.NewReader(text), 5, 1, policy.NewScheduler, h)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := hex.EncodeToString(h.Sum(nil)), TraceHash(recorded, 5, 1, policy.NewScheduler); got != want {
		t.Errorf("trace %s, want %s; %d arrivals", got, want, r.Summary.Arrivals)
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
		t.Errorf("%d arrivals recorded, %d simulated: %v", n, r.Summary.Arrivals, in.Err)
	}
	for size := 0; size < len(text); size += len(text)/60 + 1 {
		in, err := workload.Open(bytes.NewReader(text[:size]))
		if err != nil {
			continue
		}
		for _, more := in.Next(); more; _, more = in.Next() {
		}
		if in.Err == nil {
			t.Errorf("recording truncated to %d of %d bytes was read without an error", size, len(text))
		}
		in.Close()
	}
}
