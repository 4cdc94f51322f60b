package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"jaspersill/lab/policy"
	"jaspersill/lab/report"
	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/scenarios"
	"jaspersill/lab/search"
)

type flag = pflag.Flag

// runOptions holds the flags for the seeds and for the folder of the result.
type runOptions struct {
	seeds     int
	firstSeed uint64
	out       string
}

func (o *runOptions) addFlags(c *cobra.Command) {
	c.Flags().IntVar(&o.seeds, "seeds", 10, "number of seeds, with one run of each policy per seed")
	c.Flags().Uint64Var(&o.firstSeed, "first", 1, "first seed")
	c.Flags().
		StringVar(&o.out, "out", "", `folder for the result; "none" writes none (default a new one below results)`)
}

func (o *runOptions) validate() error {
	if o.seeds < 1 || o.seeds > 100000 {
		return usageError{fmt.Errorf("--seeds: want 1 to 100000, got %d", o.seeds)}
	}
	return nil
}

// parseVariant parses a variant given as POLICY or POLICY,KEY=VALUE,..., which overrides keys of the scenario.
func parseVariant(spec string, sc *scenario.Scenario, noiseSeed uint64) (runner.Variant, error) {
	parts := strings.Split(spec, ",")
	for _, change := range parts[1:] {
		key, value, ok := strings.Cut(change, "=")
		if !ok {
			return runner.Variant{}, usageError{fmt.Errorf("%s: want POLICY,KEY=VALUE, got %q", spec, change)}
		}
		var err error
		if sc, err = sc.WithKey(key, value); err != nil {
			return runner.Variant{}, err
		}
	}
	s, err := runner.NewVariant(parts[0], sc, noiseSeed)
	s.Name = spec
	return s, err
}

// splitPolicies splits comma-separated lists of policies. A KEY=VALUE part stays with the policy before it.
func splitPolicies(lists []string) (specs []string) {
	for _, list := range lists {
		for i, part := range strings.Split(list, ",") {
			if i > 0 && strings.Contains(part, "=") {
				specs[len(specs)-1] += "," + part
			} else {
				specs = append(specs, part)
			}
		}
	}
	return specs
}

// runVariants simulates the given variants and adds the results to f. A variant whose name contains a path separator is
// the path of another build of this program.
func runVariants(
	ctx context.Context,
	f *report.File,
	specs []string,
	sc *scenario.Scenario,
	options *runOptions,
	ownNoise bool,
) error {
	var variants []runner.Variant
	var positions []int
	results := make([][]runner.Result, len(specs))
	for i, spec := range specs {
		if strings.ContainsRune(spec, os.PathSeparator) {
			r, err := runOtherBuild(ctx, spec, f.Scenario, options, uint64(i))
			if err != nil {
				return err
			}
			results[i] = r
			continue
		}
		noiseSeed := uint64(0)
		if ownNoise {
			noiseSeed = uint64(i)
		}
		s, err := parseVariant(spec, sc, noiseSeed)
		if err != nil {
			return err
		}
		variants, positions = append(variants, s), append(positions, i)
	}
	simulated, err := runner.RunAll(ctx, variants, runner.Seeds(options.firstSeed, options.seeds), true, newProgress().update)
	if err != nil {
		return err
	}
	for i, r := range simulated {
		results[positions[i]] = r
	}
	for i, spec := range specs {
		f.Add(spec, results[i])
	}
	f.ComputePositions()
	return nil
}

// runOtherBuild simulates the scenario with another build of this program.
func runOtherBuild(ctx context.Context, path, text string, options *runOptions, noiseSeed uint64) ([]runner.Result, error) {
	file, err := os.CreateTemp("", "scenario-*.toml")
	if err != nil {
		return nil, err
	}
	defer os.Remove(file.Name())
	if _, err = file.WriteString(text); err == nil {
		err = file.Close()
	}
	if err != nil {
		return nil, err
	}
	c := exec.CommandContext(ctx, path, "run", file.Name(), "--seeds", strconv.Itoa(options.seeds), "--first",
		strconv.FormatUint(options.firstSeed, 10), "--luck", strconv.FormatUint(noiseSeed, 10), "--out", "none", "--json")
	c.Stderr = os.Stderr
	out, err := c.Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var f report.File
	if err := json.Unmarshal(out, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Version != report.Version || len(f.Variants) != 1 {
		return nil, fmt.Errorf(
			"%s: want 1 set of results of version %d, got %d of version %d",
			path,
			report.Version,
			len(f.Variants),
			f.Version,
		)
	}
	return f.Variants[0].Results, nil
}

// printResult prints the variants, differences and notes of a result.
func printResult(c *cobra.Command, f *report.File) error {
	t := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "SET\tG\t95%\tPLACE\tWORST 10 S\tWORST TYPE\tWASTE\tP99 MS\tBROKEN")
	for _, s := range f.Variants {
		mean := func(metric func(*runner.Result) float64) float64 {
			total := 0.0
			for i := range s.Results {
				total += metric(&s.Results[i])
			}
			return total / float64(max(1, len(s.Results)))
		}
		place := "-"
		if s.Position != 0 {
			place = fmt.Sprintf("%.2f", s.Position)
		}
		fmt.Fprintf(
			t,
			"%s\t%.3f\t%.3f to %.3f\t%s\t%.3f\t%.3f\t%.2f\t%.0f\t%d\n",
			s.Name,
			s.G.Mean,
			s.G.Least,
			s.G.Most,
			place,
			mean(func(r *runner.Result) float64 { return r.Summary.WorstWindow }),
			mean(func(r *runner.Result) float64 { return r.Summary.WorstType }),
			mean(func(r *runner.Result) float64 { return r.Summary.Waste }),
			mean(func(r *runner.Result) float64 { return r.LatencyMs[2] }),
			s.ViolationCount,
		)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, d := range f.Differences {
		if d.Metric == "G" {
			fmt.Fprintf(
				c.OutOrStdout(),
				"%s compared with %s: %+.4f in G (%+.4f to %+.4f, %d pairs)\n",
				d.Name,
				f.Variants[0].Name,
				d.Interval.Mean,
				d.Interval.Least,
				d.Interval.Most,
				d.Interval.N,
			)
		}
	}
	for _, note := range f.Notes {
		fmt.Fprintln(c.OutOrStdout(), note)
	}
	return nil
}

func runCommand() *cobra.Command {
	var options runOptions
	var policies []string
	var noiseSeed uint64
	var asJSON, sockets bool
	var socketRuns socketRunner
	var trace, record, replay string
	c := &cobra.Command{Use: "run SCENARIO", Args: exactArgs(1),
		Short: "Run a scenario with each seed, in virtual time or over loopback sockets, and report the results",
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenarios.Find(args[0])
			if err == nil {
				err = options.validate()
			}
			if err != nil {
				return err
			}
			f, err := report.NewFile("run", commandLine(c, args), sc)
			if err != nil {
				return err
			}
			policies = splitPolicies(policies)
			if sockets {
				if err := socketRuns.runSeeds(c.Context(), f, sc, &options); err != nil {
					return err
				}
				if err := printResult(c, f); err != nil {
					return err
				}
				return saveResult(c, f, options.out)
			}
			if record != "" || replay != "" {
				return recordOrReplay(c, sc, f, policies[0], &options, noiseSeed, record, replay)
			}
			if trace != "" {
				return writeTrace(trace, sc, policies[0], options.firstSeed, noiseSeed)
			}
			if noiseSeed > 0 { // a single variant with its own noise seed
				s, err := parseVariant(policies[0], sc, noiseSeed)
				if err != nil {
					return err
				}
				r, err := runner.RunAll(
					c.Context(),
					[]runner.Variant{s},
					runner.Seeds(options.firstSeed, options.seeds),
					true,
					newProgress().update,
				)
				if err != nil {
					return err
				}
				f.Add(s.Name, r[0])
			} else if err := runVariants(c.Context(), f, policies, sc, &options, false); err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(f)
			}
			if err := printResult(c, f); err != nil {
				return err
			}
			if err := saveResult(c, f, options.out); err != nil {
				return err
			}
			for _, s := range f.Variants {
				if strings.HasPrefix(s.Name, "module") && s.ViolationCount > 0 {
					return fmt.Errorf("%s: %d rule violations", s.Name, s.ViolationCount)
				}
			}
			return nil
		}}
	options.addFlags(c)
	c.Flags().
		StringArrayVar(&policies, "policy", []string{"module"}, "delivery policy: "+strings.Join(policy.Names, ", ")+
			"; several are separated by commas (with once and informed, the place of each between these two is shown); "+
			"KEY=VALUE overrides a key of the scenario for the policy before it")
	c.Flags().
		Uint64Var(&noiseSeed, "luck", 0, "seed of all randomness except for the destinations, requests and faults")
	c.Flags().BoolVar(&sockets, "sockets", false, "run real nodes in real time, over loopback sockets")
	socketRuns.addFlags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	c.Flags().
		StringVar(&record, "record", "", "write the arrivals of the first seed, with their results, to this file")
	c.Flags().
		StringVar(&replay, "replay", "", "replay the arrivals of this recording, on the scenario that it contains")
	c.Flags().StringVar(&trace, "trace", "", "only write the trace of the first seed to this file")
	return c
}

func writeTrace(name string, sc *scenario.Scenario, spec string, seed, noiseSeed uint64) error {
	s, err := parseVariant(spec, sc, noiseSeed)
	if err != nil {
		return err
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	runner.Run(s.Scenario, seed, noiseSeed, s.NewScheduler, false, file)
	return file.Close()
}

// recordOrReplay writes a recording of the first seed's run to the file record, or if that is empty replays the file
// replay.
func recordOrReplay(
	c *cobra.Command,
	sc *scenario.Scenario,
	f *report.File,
	spec string,
	options *runOptions,
	noiseSeed uint64,
	record, replay string,
) error {
	s, err := parseVariant(spec, sc, noiseSeed)
	if err != nil {
		return err
	}
	if record != "" {
		file, err := os.Create(record)
		if err != nil {
			return err
		}
		return errors.Join(runner.Record(s.Scenario, options.firstSeed, noiseSeed, s.NewScheduler, file), file.Close())
	}
	file, err := os.Open(replay)
	if err != nil {
		return err
	}
	defer file.Close()
	r, recorded, err := runner.Replay(file, options.firstSeed, noiseSeed, s.NewScheduler, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", replay, err)
	}
	text, err := recorded.Write()
	if err != nil {
		return err
	}
	f.Scenario = string(text)
	f.Add(s.Name, []runner.Result{r})
	if err := printResult(c, f); err != nil {
		return err
	}
	return saveResult(c, f, options.out)
}

func compareCommand() *cobra.Command {
	var options runOptions
	var name string
	c := &cobra.Command{Use: "compare A B", Args: exactArgs(2),
		Short: "Run two policies, settings or builds with the same seeds, and report the difference with its confidence interval",
		Long: "Run A and B with the same seeds, and report the difference with its 95% confidence interval.\n\n" +
			"Each is a policy (module), a policy with overridden keys of the scenario (module,fleet.slots=12),\n" +
			"or the path of another build of this program. Destinations, requests and faults are the same for\n" +
			"both; all other " +
			"randomness differs, so that comparing a policy with itself shows the variation by chance.",
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenarios.Find(name)
			if err == nil {
				err = options.validate()
			}
			if err != nil {
				return err
			}
			f, err := report.NewFile("compare", commandLine(c, args), sc)
			if err == nil {
				err = runVariants(c.Context(), f, args, sc, &options, true)
			}
			if err != nil {
				return err
			}
			f.ComputeDifferences()
			if err := printResult(c, f); err != nil {
				return err
			}
			return saveResult(c, f, options.out)
		}}
	options.addFlags(c)
	c.Flags().StringVar(&name, "scenario", "harvest", "scenario to run")
	return c
}

func sweepCommand() *cobra.Command {
	var options runOptions
	var name, policyName string
	c := &cobra.Command{Use: "sweep KEY=A,B,C", Args: exactArgs(1),
		Short: "Run a scenario with several values of one of its keys",
		RunE: func(c *cobra.Command, args []string) error {
			key, list, ok := strings.Cut(args[0], "=")
			if !ok || key == "" || list == "" {
				return usageError{fmt.Errorf("sweep: want KEY=A,B,C, got %q", args[0])}
			}
			sc, err := scenarios.Find(name)
			if err == nil {
				err = options.validate()
			}
			if err != nil {
				return err
			}
			f, err := report.NewFile("sweep", commandLine(c, args), sc)
			if err != nil {
				return err
			}
			var specs []string
			for value := range strings.SplitSeq(list, ",") {
				specs = append(specs, policyName+","+key+"="+value)
			}
			if err := runVariants(c.Context(), f, specs, sc, &options, false); err != nil {
				return err
			}
			f.ComputeDifferences()
			if err := printResult(c, f); err != nil {
				return err
			}
			return saveResult(c, f, options.out)
		}}
	options.addFlags(c)
	c.Flags().StringVar(&name, "scenario", "harvest", "scenario to run")
	c.Flags().StringVar(&policyName, "policy", "module", "delivery policy")
	return c
}

func huntCommand() *cobra.Command {
	var maxRuns int
	var limit time.Duration
	var seed uint64
	var policyName, out string
	var untilBroken, asFound bool
	c := &cobra.Command{Use: "hunt SCENARIO", Args: exactArgs(1),
		Short: "Search random mixes of faults for the lowest G and for rule violations; write what is found, minimized",
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenarios.Find(args[0])
			if err != nil {
				return err
			}
			if maxRuns < 1 || limit <= 0 {
				return usageError{errors.New("hunt: want --runs of at least 1 and a positive --time")}
			}
			newScheduler, err := policy.Find(policyName)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), limit)
			defer cancel()
			p, violating := newProgress(), 0
			worst, violation, simulated := search.Run(ctx, sc, seed, maxRuns, runtime.GOMAXPROCS(0), untilBroken, newScheduler,
				func(simulated int, _ float64, broken int) {
					violating = broken
					p.update(simulated, max(maxRuns, simulated))
				})
			w := c.OutOrStdout()
			if worst == nil {
				return errors.New("hunt: no run finished within the time limit")
			}
			fmt.Fprintf(
				w,
				"%d scenarios run, %d of them with a rule violation; the lowest G is %.3f\n",
				simulated,
				violating,
				worst.G,
			)
			shrinking, stop := context.WithTimeout(c.Context(), limit)
			defer stop()
			write := func(f *search.Finding, name string) error {
				minimized := *f
				if !asFound {
					minimized = search.Shrink(shrinking, *f, newScheduler)
				}
				minimized.Scenario.Name = name
				text, err := minimized.Scenario.Write()
				if err != nil {
					return err
				}
				if out != "none" {
					name += ".toml"
					if out != "" {
						if err := os.MkdirAll(out, 0o755); err != nil {
							return err
						}
						name = out + "/" + name
					}
					if err := os.WriteFile(name, text, 0o644); err != nil {
						return err
					}
					fmt.Fprintf(w, "written to %s; reproduce it with --first %d --seeds 1\n", name, minimized.Seed)
				}
				fmt.Fprintf(w, "%d faults, %v, %d nodes: %s\n", len(minimized.Scenario.Faults), minimized.Scenario.Length,
					minimized.Scenario.Fleet.Nodes, minimized.Scenario.Challenge)
				return nil
			}
			if violation == nil {
				fmt.Fprintln(w, "no rule violation found")
				return write(worst, "hunted-worst")
			}
			fmt.Fprintln(w, violation.Violation)
			if err := write(violation, "hunted-broken"); err != nil {
				return err
			}
			return errors.New("hunt: a rule was violated")
		}}
	c.Flags().IntVar(&maxRuns, "runs", 200, "maximum number of scenarios to run")
	c.Flags().
		DurationVar(&limit, "time", 10*time.Minute, "time limit of the search, and of the minimization after it")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random mixes")
	c.Flags().
		StringVar(&policyName, "policy", "module", "delivery policy; module+DEFECT shows that the search finds that defect")
	c.Flags().StringVar(&out, "out", "found", `folder for the scenarios found; "none" writes none`)
	c.Flags().BoolVar(&asFound, "as-found", false, "do not minimize the scenarios")
	c.Flags().BoolVar(&untilBroken, "until-broken", false, "stop at the first rule violation")
	return c
}
