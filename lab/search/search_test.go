package search

import (
	"context"
	"testing"

	"jaspersill/lab/policy"
	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/scenarios"
)

// Guards against a search that misses a defect of the scheduler, and against a shrunk scenario that has needless faults
// or does not reproduce its violations after it is written and read back.
func TestSearchFindsAndShrinks(t *testing.T) {
	if testing.Short() {
		t.Skip("runs many scenarios")
	}
	scn, err := scenarios.Find("farm")
	if err != nil {
		t.Fatal(err)
	}
	scn.Length = scenario.Duration(24e9)
	for _, defect := range []string{"deaf", "forgetful"} {
		factory, err := policy.Find("module+" + defect)
		if err != nil {
			t.Fatal(err)
		}
		_, finding, runs := Run(context.Background(), scn, 1, 200, 1, true, factory, nil)
		if finding == nil {
			t.Errorf("%s: no violation found in %d runs", defect, runs)
			continue
		}
		shrunk := Shrink(context.Background(), *finding, factory)
		if len(shrunk.Scenario.Faults) > 2 || shrunk.ViolationCount == 0 {
			t.Errorf("%s: after shrinking: %d faults, %d violations; want at most 2 faults and a violation",
				defect, len(shrunk.Scenario.Faults), shrunk.ViolationCount)
		}
		text, err := shrunk.Scenario.Write()
		if err != nil {
			t.Fatal(err)
		}
		again, err := scenario.Read("found", text, nil)
		if err != nil {
			t.Fatal(err)
		}
		if r := runner.Run(again, shrunk.Seed, 0, factory, false, nil); r.Summary.ViolationCount != shrunk.ViolationCount {
			t.Errorf("%s: the written scenario shows %d violations when run again, want %d",
				defect, r.Summary.ViolationCount, shrunk.ViolationCount)
		}
	}
}
