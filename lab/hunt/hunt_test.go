package hunt

import (
	"context"
	"testing"

	"jaspersill/lab/policy"
	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/scenarios"
)

func TestTheHuntFindsAndShrinks(t *testing.T) {
	if testing.Short() {
		t.Skip("many days")
	}
	day, err := scenarios.Find("farm")
	if err != nil {
		t.Fatal(err)
	}
	day.Length = scenario.Span(24e9)
	for _, weak := range []string{"deaf", "forgetful"} {
		launch, err := policy.Find("module+" + weak)
		if err != nil {
			t.Fatal(err)
		}
		_, broke, played := Hunt(context.Background(), day, 1, 200, 1, true, launch, nil)
		if broke == nil {
			t.Errorf("%s: nothing found in %d days", weak, played)
			continue
		}
		small := Shrink(context.Background(), *broke, launch)
		if len(small.Day.Troubles) > 2 || small.Broken == 0 {
			t.Errorf("%s: %d troubles left, %d broken rules", weak, len(small.Day.Troubles), small.Broken)
		}
		text, err := small.Day.Write()
		if err != nil {
			t.Fatal(err)
		}
		again, err := scenario.Read("found", text, nil)
		if err != nil {
			t.Fatal(err)
		}
		if r := runner.Run(again, small.Seed, 0, launch, false, nil); r.Summary.Broken != small.Broken {
			t.Errorf("%s: played again it shows %d broken rules, not %d", weak, r.Summary.Broken, small.Broken)
		}
	}
}
