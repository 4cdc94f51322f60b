package soak

import (
	"context"
	"testing"
	"time"

	"jaspersill/lab/hostile"
)

// leastMemoryMB is the smallest memory limit that the platform gives a node, in MiB.
const leastMemoryMB = 32

// Guards against clients whose unfinished requests, unread responses or unread bytes take more memory than the node has.
func TestMemoryStaysWithinLimitBesideHostileClients(t *testing.T) {
	for _, o := range []Options{
		{Clients: hostile.SlowHeads},
		{Clients: hostile.StalledBodies},
		{Clients: hostile.ManyFields},
		{Clients: hostile.StalledChunks},
		{Clients: hostile.UnreadResponses},
		{Clients: hostile.HugeBodies},
		{Clients: hostile.LargeBodies, Connections: 20},
	} {
		t.Run(string(o.Clients), func(t *testing.T) {
			o.Seed, o.Nodes, o.Length, o.Only, o.MemoryMB = 7, 1, 3*time.Second, groupClients, leastMemoryMB
			runSoak(t, o)
		})
	}
}

// Guards against clients that send at full speed, on one connection or on many, and keep the others from being served.
func TestUsualClientsAreServedBesideFloods(t *testing.T) {
	for _, o := range []Options{
		{Clients: hostile.InvalidRequests},
		{Clients: hostile.HugeBodies},
		{Clients: hostile.InvalidRequests, Connections: 200},
		{Clients: hostile.ReadyChecks, Connections: 100},
		{Clients: hostile.NewNames, Connections: 100},
		{Clients: hostile.NewIDs},
		{Clients: hostile.UnreadResponses},
	} {
		t.Run(string(o.Clients), func(t *testing.T) {
			o.Seed, o.Nodes, o.Length, o.Only, o.MemoryMB = 7, 1, 3*time.Second, groupClients, leastMemoryMB
			runSoak(t, o)
		})
	}
}

// Guards against requests that are read from a connection after its client has left, and are forwarded nevertheless.
func TestRequestsOfDepartedClientsAreNotForwarded(t *testing.T) {
	for _, seed := range []uint64{7, 8} {
		runSoak(t, Options{Seed: seed, Nodes: 2, Length: 5 * time.Second, Only: groupClients, Clients: Leaving, MemoryMB: leastMemoryMB})
	}
}

// Guards against freezes of one node that follow each other at once, and together last longer than a client waits: its requests are then
// late whatever the node does.
func TestFreezesOfOneNodeLeaveTimeToAnswer(t *testing.T) {
	for seed := range uint64(1000) {
		p := newPlan(Options{Seed: seed, Nodes: 1, Length: 5 * time.Second, Only: groupClients, Clients: Leaving})
		end := -responseTimeout
		for _, f := range p.drawFreezes() {
			if f.at < end+responseTimeout {
				t.Fatalf("seed %d: a freeze at %v follows one that ends at %v", seed, f.at, end)
			}
			if end = f.at + f.length; end > p.length+time.Millisecond {
				t.Fatalf("seed %d: a freeze ends at %v, after the run of %v", seed, end, p.length)
			}
		}
	}
}

// Guards against a new process that comes up at an endpoint's address and is sent the requests of the one before.
func TestReplacedEndpointGetsNoRequestsOfItsPredecessor(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		runSoak(t, Options{Seed: seed, Nodes: 3, Length: 6 * time.Second, Only: groupReplacements})
	}
}

// Guards against a node that holds more memory than its limit, or ends, beside clients that stall, send many fields or read nothing. Whether
// usual clients are served meanwhile depends on the machine too, and is left to the tests above.
func TestNodeOutlastsHostileClients(t *testing.T) {
	for _, pattern := range []hostile.Pattern{hostile.StalledBodies, hostile.ManyFields, hostile.UnreadResponses, hostile.HugeBodies} {
		t.Run(string(pattern), func(t *testing.T) {
			o := Options{Clients: pattern, Seed: 7, Nodes: 1, Length: 3 * time.Second, Only: groupClients, MemoryMB: leastMemoryMB,
				Program: program, Folder: t.TempDir()}
			report, err := Run(context.Background(), o)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range report.Violations {
				if v.Rule == RuleMemory || v.Rule == RuleCrash || v.Rule == RuleInternal {
					t.Errorf("%s: %v", o.Command(), v)
				}
			}
		})
	}
}
