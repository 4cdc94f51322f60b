package search

import (
	"context"
	"testing"

	"jaspersill/lab/policy"
	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/scenarios"
)

func TestSearchFindsAndShrinks(t *testing.T) {
	if testing.Short() {
		t.Skip("many days")
	}
	day, err := scenarios.Find("farm")
	if err != nil {
		t.Fatal(err)
	}
	day.Length = scenario.Duration(24e9)
	for _, weak := range []string{"deaf", "forgetful"} {
		launch, err := policy.Find("module+" + weak)
		if err != nil {
			t.Fatal(err)
		}
		_, broke, played := Run(context.Background(), day, 1, 200, 1, true, launch, nil)
		if broke == nil {
			t.Errorf("%s: nothing found in %d days", weak, played)
			continue
		}
		small := Shrink(context.Background(), *broke, launch)
		if len(small.Scenario.Faults) > 2 || small.ViolationCount == 0 {
			t.Errorf("%s: %d troubles left, %d broken rules", weak, len(small.Scenario.Faults), small.ViolationCount)
		}
		text, err := small.Scenario.Write()
		if err != nil {
			t.Fatal(err)
		}
		again, err := scenario.Read("found", text, nil)
		if err != nil {
			t.Fatal(err)
		}
		if r := runner.Run(again, small.Seed, 0, launch, false, nil); r.Summary.ViolationCount != small.ViolationCount {
			t.Errorf("%s: played again it shows %d broken rules, not %d", weak, r.Summary.ViolationCount, small.ViolationCount)
		}
	}
}
