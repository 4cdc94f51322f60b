package emulator

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"jaspersill/lab/loadgen"
	"jaspersill/lab/scenarios"
	"jaspersill/node"
	"jaspersill/scheduler"
	"jaspersill/settings"
)

// BenchmarkNodeUnderLoad runs a node in the test process, so that profiles show where it spends CPU time and memory:
// go test ./lab/emulator -run XXX -bench Node -cpuprofile cpu.out -memprofile mem.out, then pprof with a focus on
// jaspersill/node, jaspersill/scheduler and the server of fasthttp.
func BenchmarkNodeUnderLoad(b *testing.B) {
	sc, err := scenarios.Find("throughput")
	if err != nil {
		b.Fatal(err)
	}
	em, err := Open(sc, 1, 0, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer em.Close()
	em.AcceptUnknownEvents()
	text, err := json.Marshal(NodeSettings(sc, 0))
	if err != nil {
		b.Fatal(err)
	}
	settings, err := settings.ParseJSON(text)
	if err != nil {
		b.Fatal(err)
	}
	settings.Directory.RequiresWatch = true
	listen, err := freeAddress("tcp")
	if err != nil {
		b.Fatal(err)
	}
	module := scheduler.New(
		1,
		settings.StreamTypes,
		settings.DestinationKinds,
		settings.Limits,
		settings.Recovery,
		settings.Directory,
		settings.Cluster,
		0,
	)
	n, err := node.Open(node.Config{Listen: listen, Directory: em.DirectoryAddress(0), StateFolder: b.TempDir()},
		node.Limits{DiskMB: 64, Sockets: 4096}, node.ClientTimeouts{}, settings, module)
	if err != nil {
		b.Fatal(err)
	}
	n.SetDrainTimes(0, 0, 0)
	ctx, stop := context.WithCancel(context.Background())
	exited := make(chan error, 1)
	go func() { exited <- n.Run(ctx) }()
	time.Sleep(500 * time.Millisecond)
	var mix []loadgen.Request
	var weights []float64
	for i, t := range sc.Types {
		for dest := range sc.DestinationKinds[0].Destinations {
			mix = append(
				mix,
				loadgen.Request{Kind: t.Name, Owner: "all", Dest: dest, Timeout: time.Duration(t.MaxAge),
					HasIdempotencyKey: t.Safety == "deduplicated", Body: make([]byte, 300)},
			)
			weights = append(weights, float64(len(weights)+1+i))
		}
	}
	const rate = 3000
	b.ResetTimer()
	plan := &loadgen.Plan{
		Address:           listen,
		Rate:              rate,
		Duration:          time.Duration(float64(b.N) / rate * 1e9),
		Connections:       64,
		Mix:               mix,
		CumulativeWeights: weights,
		Seed:              7,
	}
	result, err := loadgen.Run(context.Background(), plan)
	b.StopTimer()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(result.Acked)/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(result.LatencyMs[2], "p99-ms")
	stop()
	<-exited
}
