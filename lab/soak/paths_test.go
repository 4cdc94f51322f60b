package soak

import (
	"context"
	"testing"
	"time"
)

// runSoak executes a run and fails the test with every violation.
func runSoak(t *testing.T, o Options) {
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
	for _, action := range report.Actions {
		t.Log(action)
	}
	for _, v := range report.Violations {
		t.Errorf("%s: %v", o.Command(), v)
	}
}

// Guards against an endpoint's response that arrives twice and is taken as the response to the next call on its
// connection.
func TestRepeatedResponseCompletesNoOtherRequest(t *testing.T) {
	for _, seed := range []uint64{2, 4, 8} { // repeated after 1 to 15 ms, 0.2 to 0.6 s and 30 to 60 ms
		runSoak(t, Options{Seed: seed, Nodes: 4, Length: 6 * time.Second, Only: groupAnswers})
	}
}

// Guards against an endpoint that hangs being taken for a connection in sync, also while a node drains.
func TestHangAfterRepeatedResponseLosesNoRequest(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		runSoak(t, Options{Seed: seed, Nodes: 4, Length: 6 * time.Second, Only: groupHangs})
	}
}

// Guards against an unread notice that counts as delivered because the response to the notice before it arrived twice.
func TestUnreadNoticeIsSentAgain(t *testing.T) {
	runSoak(t, Options{Seed: 1, Nodes: 4, Length: 6 * time.Second, Only: groupNotices})
}

// Guards against requests that are lost, completed twice or sent after their final answer while data on all network
// connections is repeated, held, split, merged, truncated, dripped or altered, and connections are reset.
func TestRulesAreKeptWhilePathsAreDisturbed(t *testing.T) {
	runSoak(t, Options{Seed: 2, Nodes: 6, Length: 6 * time.Second, Only: groupPaths})
	runSoak(t, Options{Seed: 9002, Nodes: 8, Length: 6 * time.Second, PathFaults: true})
}
