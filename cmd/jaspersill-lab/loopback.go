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

// socketRunner is how days are played on loopback.
type socketRunner struct {
	program   string
	parallel  int
	logFolder string
}

func (r *socketRunner) addFlags(c *cobra.Command) {
	c.Flags().
		StringVar(&r.program, "node", siblingProgram("jaspersill"), "the delivery node's program, with --sockets")
	c.Flags().
		IntVar(&r.parallel, "parallel", 1, "days at once, with --sockets; each keeps a good part of a core busy")
	c.Flags().StringVar(&r.logFolder, "logs", "", "a folder for the nodes' logs, with --sockets")
}

// siblingProgram is a program in the folder of this one.
func siblingProgram(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// runSeeds plays a day on each seed and adds the results to a file.
func (r *socketRunner) runSeeds(ctx context.Context, f *report.File, day *scenario.Scenario, m *runOptions) error {
	for _, t := range day.Types {
		if t.Keys > 0 {
			return fmt.Errorf(
				"%s: the protocol on sockets has no word for the order of keys (type %s)",
				day.Name,
				t.Name,
			)
		}
	}
	if r.parallel < 1 || r.parallel > 64 {
		return usageError{fmt.Errorf("--parallel: want 1 to 64, got %d", r.parallel)}
	}
	seeds := runner.Seeds(m.firstSeed, m.seeds)
	results := make([]runner.Result, len(seeds))
	errs := make([]error, len(seeds))
	turns := make(chan struct{}, r.parallel)
	p := newProgress()
	var mu sync.Mutex
	done := 0
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			turns <- struct{}{}
			defer func() { <-turns }()
			if ctx.Err() == nil {
				results[i], errs[i] = r.runSeed(ctx, day, seed)
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

// runSeed plays runSeed day.
func (r *socketRunner) runSeed(ctx context.Context, day *scenario.Scenario, seed uint64) (runner.Result, error) {
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
	s, err := emulator.Open(day, seed, 0, nil)
	if err != nil {
		return result, err
	}
	defer s.Close()
	nodes, err := emulator.ConfigureNodes(s, folder, "", 0, 1)
	if err == nil {
		err = nodes.Start(ctx, r.program)
	}
	if err != nil {
		return result, err
	}
	times := hdrhistogram.New(1e5, 1e12, 3)
	s.OnDelivery(func(_ int, took int64) { times.RecordValue(max(1e5, took)) })
	result.Summary = s.Run(ctx, nodes, workload.NewGenerator(day, seed), seed)
	nodes.Stop()
	for i, q := range runner.Percentiles {
		result.LatencyMs[i] = float64(times.ValueAtQuantile(q)) / 1e6
	}
	return result, ctx.Err()
}

func emulateCommand() *cobra.Command {
	var folder, listen string
	var quiet bool
	var seed uint64
	c := &cobra.Command{Use: "emulate SCENARIO", Args: exactArgs(1),
		Short: "Play partners, directory and platform on loopback until stopped, for nodes started by hand",
		RunE: func(c *cobra.Command, args []string) error {
			day, err := scenarios.Find(args[0])
			if err != nil {
				return err
			}
			w := c.OutOrStdout()
			var mu sync.Mutex
			tell := func(format string, args ...any) {
				mu.Lock()
				defer mu.Unlock()
				if !quiet {
					fmt.Fprintf(w, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
				}
			}
			s, err := emulator.Open(day, seed, 0, tell)
			if err != nil {
				return err
			}
			defer s.Close()
			s.AcceptUnknownEvents()
			nodes, err := emulator.ConfigureNodes(s, folder, listen, 0, 1)
			if err != nil {
				return err
			}
			for i := range day.Fleet.Nodes {
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
			s.Start(c.Context(), nil)
			<-c.Context().Done()
			return nil
		}}
	c.Flags().StringVar(&folder, "folder", "state", "for the nodes' configurations and state")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8443", "where the first node is told to listen")
	c.Flags().BoolVar(&quiet, "quiet", false, "print no line for each call")
	c.Flags().Uint64Var(&seed, "seed", 1, "draws the destinations and whom troubles meet")
	return c
}

func loadCommand() *cobra.Command {
	var plan loadgen.Plan
	var name, out, program, record, replay string
	var knee, own bool
	var p99 time.Duration
	var cores float64
	c := &cobra.Command{Use: "load [ADDRESS]",
		Short: "Offer events to a node on loopback in an open loop, and tell the latencies from the intended times",
		Long: "Offer events to a node on loopback in an open loop, and tell the latencies from the intended\n" +
			"times.\n\n" +
			"With an address the node there is loaded, as one beside `emulate`. Without one a node of --cores\n" +
			"cores is started, " +
			"cores, with the scenario's partners beside it, and ended again.",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) > 1 {
				return usageError{fmt.Errorf("load: want at most one ADDRESS, got %d", len(args))}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			day, err := scenarios.Find(name)
			if err != nil {
				return err
			}
			if replay != "" {
				if day, err = loadRecording(&plan, replay); err != nil {
					return err
				}
			} else {
				plan.Mix, plan.CumulativeWeights = requestMix(day)
			}
			var heard *resultRecorder
			if record != "" {
				if knee {
					return usageError{errors.New("load: --record goes with one step, not with --knee")}
				}
				heard = &resultRecorder{day: day, plan: &plan}
				plan.OnResult = heard.record
			}
			if own = len(args) == 0; own {
				s, err := emulator.Open(day, 1, 0, nil)
				if err != nil {
					return err
				}
				defer s.Close()
				s.AcceptUnknownEvents()
				folder, err := os.MkdirTemp("", "lab-")
				if err != nil {
					return err
				}
				defer os.RemoveAll(folder)
				nodes, err := emulator.ConfigureNodes(s, folder, "", 0, cores)
				if err == nil {
					err = nodes.Start(c.Context(), program)
				}
				if err != nil {
					return err
				}
				defer nodes.Stop()
				time.Sleep(300 * time.Millisecond) // its list is there
				plan.Address = nodes.Address(0)
				defer func() {
					fmt.Fprintf(c.OutOrStdout(), "the node: %s\n", memoryUsage(nodes.PID(0)))
				}()
			} else {
				plan.Address = args[0]
			}
			f, err := report.NewFile("load", commandLine(c, args), day)
			if err != nil {
				return err
			}
			if knee {
				var best float64
				best, f.Loads, err = loadgen.FindKnee(c.Context(), plan, p99, nil)
				f.Notes = append(f.Notes, fmt.Sprintf("borne with p99 under %v: %.0f events/s", p99, best))
			} else {
				var l report.LoadResult
				l, err = loadgen.Run(c.Context(), &plan)
				f.Loads = append(f.Loads, l)
			}
			w := c.OutOrStdout()
			for _, l := range f.Loads {
				fmt.Fprintf(
					w,
					"offered %.0f/s, sent %.0f/s: %d taken on, %d declined, %d failed; ms p50 %.2f p90 %.2f p99 %.2f "+
						"p99.9 %.2f; own lag p99 %.3f ms\n",
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
			if heard != nil {
				if err := heard.write(record); err != nil {
					return err
				}
			}
			return saveResult(c, f, out)
		}}
	c.Flags().StringVar(&record, "record", "", "write what was offered, and what came of it, into this file")
	c.Flags().StringVar(&replay, "replay", "", "offer the arrivals of this recording, rather than a rate")
	c.Flags().
		StringVar(&name, "scenario", "throughput", "its stream types and destinations are what is offered")
	c.Flags().Float64Var(&plan.Rate, "rate", 1000, "events a second")
	c.Flags().Float64Var(&plan.EndRate, "to", 0, "grow the rate evenly up to this one")
	c.Flags().DurationVar(&plan.Duration, "for", 5*time.Second, "how long, or each step of --knee")
	c.Flags().IntVar(&plan.Connections, "connections", 64, "each carries one request at a time")
	c.Flags().Uint64Var(&plan.Seed, "seed", uint64(time.Now().UnixNano()), "draws ids and the mix")
	c.Flags().BoolVar(&knee, "knee", false, "search the highest rate that is borne, from --rate on")
	c.Flags().DurationVar(&p99, "p99", 50*time.Millisecond, "the bound that --knee keeps")
	c.Flags().Float64Var(&cores, "cores", 1, "of the node that is started")
	c.Flags().StringVar(&program, "node", siblingProgram("jaspersill"), "the delivery node's program")
	c.Flags().StringVar(&out, "out", "", `the folder for the result; "none" keeps none`)
	return c
}

// requestMix is what a scenario's clients hand in.
func requestMix(day *scenario.Scenario) (list []loadgen.Request, weights []float64) {
	sum := 0.0
	for _, t := range day.Types {
		dest := 0
		for _, p := range day.DestinationKinds {
			for range p.Destinations {
				list = append(list, loadgen.Request{Kind: t.Name, Owner: day.Customers[0].Name, Dest: dest,
					Timeout: time.Duration(
						t.MaxAge,
					), HasIdempotencyKey: t.Safety == "deduplicated", Body: make([]byte, 300)})
				sum += t.Rate * p.Weight
				weights = append(weights, sum)
				dest++
			}
		}
	}
	for i := range list {
		for k := range list[i].Body {
			list[i].Body[k] = byte('a' + (i+k)%26)
		}
	}
	return list, weights
}

// memoryUsage tells what a process takes, where the system says so.
func memoryUsage(pid int) string {
	if runtime.GOOS != "linux" {
		return "no figures on this system"
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
	return fmt.Sprintf("RSS%s, at most%s", collapseSpaces(rss), collapseSpaces(peak))
}

func splitLines(text string) []string { return strings.Split(text, "\n") }

func collapseSpaces(text string) string { return " " + strings.Join(strings.Fields(text), " ") }
