package loopback

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"jaspersill/lab/load"
	"jaspersill/lab/scenarios"
	"jaspersill/node"
	"jaspersill/scheduler"
	"jaspersill/start"
)

// BenchmarkNodeUnderLoad has a node in this process, so that its profiles show where its time and its memory
// go: go test ./lab/loopback -run XXX -bench Node -cpuprofile cpu.out -memprofile mem.out, then pprof with a
// focus on jaspersill/node, choice and fasthttp's server.
func BenchmarkNodeUnderLoad(b *testing.B) {
	day, err := scenarios.Find("throughput")
	if err != nil {
		b.Fatal(err)
	}
	s, err := Open(day, 1, 0, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	s.Anyone()
	text, err := json.Marshal(Told(day, 0))
	if err != nil {
		b.Fatal(err)
	}
	told, err := start.JSON(text)
	if err != nil {
		b.Fatal(err)
	}
	told.Directory.RequiresWatch = true
	listen, err := free("tcp")
	if err != nil {
		b.Fatal(err)
	}
	module := scheduler.New(
		1,
		told.Types,
		told.Partners,
		told.Room,
		told.Recovery,
		told.Directory,
		told.Fleet,
		0,
	)
	n, err := node.Open(node.Config{Listen: listen, Directory: s.Directory(0), StateFolder: b.TempDir()},
		node.Limits{DiskMB: 64, Sockets: 4096}, node.ClientTimeouts{}, told, module)
	if err != nil {
		b.Fatal(err)
	}
	n.SetDrainTimes(0, 0, 0)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	time.Sleep(500 * time.Millisecond)
	var mix []load.Request
	var weights []float64
	for i, t := range day.Types {
		for dest := range day.Partners[0].Destinations {
			mix = append(
				mix,
				load.Request{Kind: t.Name, Owner: "all", Dest: dest, Left: time.Duration(t.MaxAge),
					Marked: t.Safety == "deduplicated", Body: make([]byte, 300)},
			)
			weights = append(weights, float64(len(weights)+1+i))
		}
	}
	const rate = 3000
	b.ResetTimer()
	plan := &load.Plan{
		Address: listen,
		Rate:    rate,
		For:     time.Duration(float64(b.N) / rate * 1e9),
		Conns:   64,
		Mix:     mix,
		Weights: weights,
		Seed:    7,
	}
	l, err := load.Run(context.Background(), plan)
	b.StopTimer()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(l.Acked)/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(l.Millis[2], "p99-ms")
	stop()
	<-ended
}
