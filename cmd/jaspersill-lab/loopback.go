package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"jaspersill/lab/emulator"
	"jaspersill/lab/loadgen"
	"jaspersill/lab/report"
	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/scenarios"
	"jaspersill/lab/workload"
)

// socketRunner holds the flags for runs with real nodes over loopback sockets.
type socketRunner struct {
	program   string
	parallel  int
	logFolder string
}

func (r *socketRunner) addFlags(c *cobra.Command) {
	c.Flags().
		StringVar(&r.program, "node", siblingProgram("jaspersill"), "path of the delivery node's program, with --sockets")
	c.Flags().
		IntVar(&r.parallel, "parallel", 1, "number of runs at the same time, with --sockets; each uses a large part of a core")
	c.Flags().StringVar(&r.logFolder, "logs", "", "folder to keep the nodes' configurations, state and logs in, with --sockets")
}

// siblingProgram returns the path of a program in the folder of this one.
func siblingProgram(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// runSeeds runs a scenario with each seed and adds the results to f.
func (r *socketRunner) runSeeds(ctx context.Context, f *report.File, sc *scenario.Scenario, options *runOptions) error {
	for _, t := range sc.Types {
		if t.Keys > 0 {
			return fmt.Errorf(
				"%s: stream type %s has ordering keys, which the wire protocol does not support",
				sc.Name,
				t.Name,
			)
		}
	}
	if r.parallel < 1 || r.parallel > 64 {
		return usageError{fmt.Errorf("--parallel: want 1 to 64, got %d", r.parallel)}
	}
	seeds := runner.Seeds(options.firstSeed, options.seeds)
	results := make([]runner.Result, len(seeds))
	errs := make([]error, len(seeds))
	slots := make(chan struct{}, r.parallel)
	p := newProgress()
	var mu sync.Mutex
	done := 0
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() == nil {
				results[i], errs[i] = r.runSeed(ctx, sc, seed)
			}
			mu.Lock()
			defer mu.Unlock()
			done++
			p.update(done, len(seeds))
		}()
	}
	wg.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return err
	}
	f.Add("sockets", results)
	return nil
}

// runSeed runs a scenario with one seed.
func (r *socketRunner) runSeed(ctx context.Context, sc *scenario.Scenario, seed uint64) (runner.Result, error) {
	result := runner.Result{Seed: seed, LatencyMs: make([]float64, len(runner.Percentiles))}
	folder := r.logFolder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "lab-"); err != nil {
			return result, err
		}
		defer os.RemoveAll(folder)
	} else {
		folder = filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return result, err
		}
	}
	em, err := emulator.Open(sc, seed, 0, nil)
	if err != nil {
		return result, err
	}
	defer em.Close()
	nodes, err := emulator.ConfigureNodes(em, folder, "", 0, 1)
	if err == nil {
		err = nodes.Start(ctx, r.program)
	}
	if err != nil {
		return result, err
	}
	latencies := hdrhistogram.New(1e5, 1e12, 3)
	em.OnDelivery(func(_ int, latency int64) { latencies.RecordValue(max(1e5, latency)) })
	result.Summary = em.Run(ctx, nodes, workload.NewGenerator(sc, seed), seed)
	nodes.Stop()
	for i, q := range runner.Percentiles {
		result.LatencyMs[i] = float64(latencies.ValueAtQuantile(q)) / 1e6
	}
	return result, ctx.Err()
}

func emulateCommand() *cobra.Command {
	var folder, listen string
	var quiet bool
	var seed uint64
	c := &cobra.Command{Use: "emulate SCENARIO", Args: exactArgs(1),
		Short: "Emulate endpoints, directory and platform on loopback until stopped, for nodes started by hand",
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenarios.Find(args[0])
			if err != nil {
				return err
			}
			w := c.OutOrStdout()
			var mu sync.Mutex
			printLine := func(format string, args ...any) {
				mu.Lock()
				defer mu.Unlock()
				if !quiet {
					fmt.Fprintf(w, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
				}
			}
			em, err := emulator.Open(sc, seed, 0, printLine)
			if err != nil {
				return err
			}
			defer em.Close()
			em.AcceptUnknownEvents()
			nodes, err := emulator.ConfigureNodes(em, folder, listen, 0, 1)
			if err != nil {
				return err
			}
			for i := range sc.Fleet.Nodes {
				config, state := nodes.Files(i)
				fmt.Fprintf(
					w,
					"node %d: RELAY_CONFIG=%s RELAY_STATE=%s bin/jaspersill serve   # listens on %s\n",
					i,
					config,
					state,
					nodes.Address(i),
				)
			}
			em.Start(c.Context(), nil)
			<-c.Context().Done()
			return nil
		}}
	c.Flags().StringVar(&folder, "folder", "state", "folder for the nodes' configurations and state")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8443", "address that the first node is configured to listen on")
	c.Flags().BoolVar(&quiet, "quiet", false, "do not print a line for each call")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the destinations and of what is affected by faults")
	return c
}

func loadCommand() *cobra.Command {
	var plan loadgen.Plan
	var name, out, program, record, replay string
	var knee, started bool
	var p99 time.Duration
	var cores float64
	c := &cobra.Command{Use: "load [ADDRESS]",
		Short: "Send events to a node on loopback in an open loop, and report the latencies from the due times",
		Long: "Send events to a node on loopback in an open loop, and report the latencies from the due\n" +
			"times.\n\n" +
			"With an address, the events go to the node there, for example one started for `emulate`. Without one,\n" +
			"a node with --cores " +
			"cores is started, with the scenario's endpoints, and stopped again.",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) > 1 {
				return usageError{fmt.Errorf("load: want at most one ADDRESS, got %d", len(args))}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenarios.Find(name)
			if err != nil {
				return err
			}
			if replay != "" {
				if sc, err = loadRecording(&plan, replay); err != nil {
					return err
				}
			} else {
				plan.Mix, plan.CumulativeWeights = requestMix(sc)
			}
			var recorder *resultRecorder
			if record != "" {
				if knee {
					return usageError{errors.New("load: --record cannot be combined with --knee")}
				}
				recorder = &resultRecorder{scenario: sc, plan: &plan}
				plan.OnResult = recorder.record
			}
			if started = len(args) == 0; started {
				em, err := emulator.Open(sc, 1, 0, nil)
				if err != nil {
					return err
				}
				defer em.Close()
				em.AcceptUnknownEvents()
				folder, err := os.MkdirTemp("", "lab-")
				if err != nil {
					return err
				}
				defer os.RemoveAll(folder)
				nodes, err := emulator.ConfigureNodes(em, folder, "", 0, cores)
				if err == nil {
					err = nodes.Start(c.Context(), program)
				}
				if err != nil {
					return err
				}
				defer nodes.Stop()
				time.Sleep(300 * time.Millisecond) // lets the node receive its list of endpoints
				plan.Address = nodes.Address(0)
				defer func() {
					fmt.Fprintf(c.OutOrStdout(), "node memory: %s\n", memoryUsage(nodes.PID(0)))
				}()
			} else {
				plan.Address = args[0]
			}
			f, err := report.NewFile("load", commandLine(c, args), sc)
			if err != nil {
				return err
			}
			if knee {
				var best float64
				best, f.Loads, err = loadgen.FindKnee(c.Context(), plan, p99, nil)
				f.Notes = append(f.Notes, fmt.Sprintf("highest rate sustained with p99 of at most %v: %.0f events/s", p99, best))
			} else {
				var l report.LoadResult
				l, err = loadgen.Run(c.Context(), &plan)
				f.Loads = append(f.Loads, l)
			}
			w := c.OutOrStdout()
			for _, l := range f.Loads {
				fmt.Fprintf(
					w,
					"offered %.0f/s, sent %.0f/s: %d accepted, %d declined, %d failed; ms p50 %.2f p90 %.2f p99 %.2f "+
						"p99.9 %.2f; generator lag p99 %.3f ms\n",
					l.OfferedRate,
					l.SentRate,
					l.Acked,
					l.Declined,
					l.Failed,
					l.LatencyMs[0],
					l.LatencyMs[1],
					l.LatencyMs[2],
					l.LatencyMs[3],
					l.SendLagMs,
				)
			}
			for _, note := range f.Notes {
				fmt.Fprintln(w, note)
			}
			if err != nil {
				return err
			}
			if recorder != nil {
				if err := recorder.write(record); err != nil {
					return err
				}
			}
			return saveResult(c, f, out)
		}}
	c.Flags().StringVar(&record, "record", "", "write the submitted events, with their results, to this file")
	c.Flags().StringVar(&replay, "replay", "", "send the arrivals of this recording, at the recorded times, instead of at a rate")
	c.Flags().
		StringVar(&name, "scenario", "throughput", "scenario that gives the stream types and destinations of the events")
	c.Flags().Float64Var(&plan.Rate, "rate", 1000, "events per second")
	c.Flags().Float64Var(&plan.EndRate, "to", 0, "final rate of a linear ramp; 0 for a constant rate")
	c.Flags().DurationVar(&plan.Duration, "for", 5*time.Second, "duration of the run, or of each step of --knee")
	c.Flags().IntVar(&plan.Connections, "connections", 64, "number of connections; each carries one request at a time")
	c.Flags().Uint64Var(&plan.Seed, "seed", uint64(time.Now().UnixNano()), "seed of the request ids and of the choice among the mix")
	c.Flags().BoolVar(&knee, "knee", false, "search for the highest sustained rate, starting at --rate")
	c.Flags().DurationVar(&p99, "p99", 50*time.Millisecond, "highest p99 latency that --knee accepts")
	c.Flags().Float64Var(&cores, "cores", 1, "number of cores of the node that is started")
	c.Flags().StringVar(&program, "node", siblingProgram("jaspersill"), "path of the delivery node's program")
	c.Flags().StringVar(&out, "out", "", `folder for the result; "none" writes none (default a new one below results)`)
	return c
}

// requestMix returns the requests of a scenario's clients, one per stream type and destination, and the running totals
// of their weights.
func requestMix(sc *scenario.Scenario) (requests []loadgen.Request, weights []float64) {
	total := 0.0
	for _, t := range sc.Types {
		dest := 0
		for _, dk := range sc.DestinationKinds {
			for range dk.Destinations {
				requests = append(requests, loadgen.Request{Kind: t.Name, Owner: sc.Customers[0].Name, Dest: dest,
					Timeout: time.Duration(
						t.MaxAge,
					), HasIdempotencyKey: t.Safety == "deduplicated", Body: make([]byte, 300)})
				total += t.Rate * dk.Weight
				weights = append(weights, total)
				dest++
			}
		}
	}
	for i := range requests {
		for k := range requests[i].Body {
			requests[i].Body[k] = byte('a' + (i+k)%26)
		}
	}
	return requests, weights
}

// memoryUsage describes the current and peak memory of a process. It is only available on Linux.
func memoryUsage(pid int) string {
	if runtime.GOOS != "linux" {
		return "not available on this system"
	}
	var rss, peak string
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range splitLines(string(text)) {
		if len(line) > 6 && line[:6] == "VmRSS:" {
			rss = line[6:]
		}
		if len(line) > 6 && line[:6] == "VmHWM:" {
			peak = line[6:]
		}
	}
	return fmt.Sprintf("RSS%s, peak%s", collapseSpaces(rss), collapseSpaces(peak))
}

func splitLines(text string) []string { return strings.Split(text, "\n") }

func collapseSpaces(text string) string { return " " + strings.Join(strings.Fields(text), " ") }
