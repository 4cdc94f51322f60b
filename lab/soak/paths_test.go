package soak

import (
	"context"
	"testing"
	"time"
)

// play plays a run and reports every broken rule.
func play(t *testing.T, o Options) {
	t.Helper()
	o.Program, o.Folder = program, t.TempDir()
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report.Summary())
	if len(report.Violations) == 0 {
		return
	}
	for _, event := range report.Actions {
		t.Log(event)
	}
	for _, v := range report.Violations {
		t.Errorf("jaspersill-lab soak --seed %d --nodes %d --length %v --only %q --paths=%v: %v", o.Seed, o.Nodes, o.Length, o.Only,
			o.PathFaults, v)
	}
}

// Guards against an endpoint's answer that comes twice and is believed as the answer to the next call on its connection.
func TestAnAnswerThatComesTwiceEndsNoOtherRequest(t *testing.T) {
	for _, seed := range []uint64{2, 4, 8} { // after 1 to 15 ms, 0.2 to 0.6 s, and 30 to 60 ms
		play(t, Options{Seed: seed, Nodes: 4, Length: 6 * time.Second, Only: groupAnswers})
	}
}

// Guards against a notice that counts as told because the answer to the one before it came twice.
func TestANoticeThatNobodyReadIsToldAgain(t *testing.T) {
	play(t, Options{Seed: 1, Nodes: 4, Length: 6 * time.Second, Only: groupNotices})
}

// Guards against requests that are lost, ended twice or sent after their end while the bytes between all ends are repeated,
// held, split, merged, cut off, dripped, altered and reset.
func TestRulesAreKeptWhilePathsAreDisturbed(t *testing.T) {
	play(t, Options{Seed: 2, Nodes: 6, Length: 6 * time.Second, Only: groupPaths})
	play(t, Options{Seed: 9002, Nodes: 8, Length: 6 * time.Second, PathFaults: true})
}
