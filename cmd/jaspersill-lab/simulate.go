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

// runOptions is how runOptions runs, and where the result goes.
type runOptions struct {
	seeds     int
	firstSeed uint64
	out       string
}

func (m *runOptions) addFlags(c *cobra.Command) {
	c.Flags().IntVar(&m.seeds, "seeds", 10, "runs of each, one a seed")
	c.Flags().Uint64Var(&m.firstSeed, "first", 1, "the first seed")
	c.Flags().
		StringVar(&m.out, "out", "", `the folder for the result; "none" keeps none (default one below results)`)
}

func (m *runOptions) validate() error {
	if m.seeds < 1 || m.seeds > 100000 {
		return usageError{fmt.Errorf("--seeds: want 1 to 100000, got %d", m.seeds)}
	}
	return nil
}

// parseVariant reads what to play: a policy, a policy with changed keys behind commas, or another build of this
// program.
func parseVariant(spec string, day *scenario.Scenario, luck uint64) (runner.Variant, error) {
	parts := strings.Split(spec, ",")
	for _, change := range parts[1:] {
		key, value, ok := strings.Cut(change, "=")
		if !ok {
			return runner.Variant{}, usageError{fmt.Errorf("%s: want POLICY,KEY=VALUE, got %q", spec, change)}
		}
		var err error
		if day, err = day.WithKey(key, value); err != nil {
			return runner.Variant{}, err
		}
	}
	s, err := runner.NewVariant(parts[0], day, luck)
	s.Name = spec
	return s, err
}

// splitPolicies splits lists of policies; what changes a key stays with the policy before it.
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

// runVariants plays sets and adds them to a file. A set whose name is a path is another build of this program.
func runVariants(
	ctx context.Context,
	f *report.File,
	specs []string,
	day *scenario.Scenario,
	m *runOptions,
	lucks bool,
) error {
	var sets []runner.Variant
	var at []int
	results := make([][]runner.Result, len(specs))
	for i, spec := range specs {
		if strings.ContainsRune(spec, os.PathSeparator) {
			r, err := runOtherBuild(ctx, spec, f.Scenario, m, uint64(i))
			if err != nil {
				return err
			}
			results[i] = r
			continue
		}
		luck := uint64(0)
		if lucks {
			luck = uint64(i)
		}
		s, err := parseVariant(spec, day, luck)
		if err != nil {
			return err
		}
		sets, at = append(sets, s), append(at, i)
	}
	played, err := runner.RunAll(ctx, sets, runner.Seeds(m.firstSeed, m.seeds), true, newProgress().update)
	if err != nil {
		return err
	}
	for i, r := range played {
		results[at[i]] = r
	}
	for i, spec := range specs {
		f.Add(spec, results[i])
	}
	f.ComputePositions()
	return nil
}

// runOtherBuild has another build of this program play the scenario.
func runOtherBuild(ctx context.Context, path, text string, m *runOptions, luck uint64) ([]runner.Result, error) {
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
	c := exec.CommandContext(ctx, path, "run", file.Name(), "--seeds", strconv.Itoa(m.seeds), "--first",
		strconv.FormatUint(m.firstSeed, 10), "--luck", strconv.FormatUint(luck, 10), "--out", "none", "--json")
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
			"%s: want one set of version %d, got %d of %d",
			path,
			report.Version,
			len(f.Variants),
			f.Version,
		)
	}
	return f.Variants[0].Results, nil
}

// printResult prints the sets of a file.
func printResult(c *cobra.Command, f *report.File) error {
	t := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "SET\tG\t95%\tPLACE\tWORST 10 S\tWORST TYPE\tWASTE\tP99 MS\tBROKEN")
	for _, s := range f.Variants {
		mean := func(of func(*runner.Result) float64) float64 {
			total := 0.0
			for i := range s.Results {
				total += of(&s.Results[i])
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
			s.Broken,
		)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, d := range f.Differences {
		if d.Metric == "G" {
			fmt.Fprintf(
				c.OutOrStdout(),
				"%s beside %s: %+.4f in G (%+.4f to %+.4f, %d pairs)\n",
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
	var m runOptions
	var policies []string
	var luck uint64
	var asJSON, sockets bool
	var real socketRunner
	var trace, record, replay string
	c := &cobra.Command{Use: "run SCENARIO", Args: exactArgs(1),
		Short: "Play a scenario, in virtual time or on loopback sockets, a run on each seed, and report it",
		RunE: func(c *cobra.Command, args []string) error {
			day, err := scenarios.Find(args[0])
			if err == nil {
				err = m.validate()
			}
			if err != nil {
				return err
			}
			f, err := report.NewFile("run", commandLine(c, args), day)
			if err != nil {
				return err
			}
			policies = splitPolicies(policies)
			if sockets {
				if err := real.runSeeds(c.Context(), f, day, &m); err != nil {
					return err
				}
				if err := printResult(c, f); err != nil {
					return err
				}
				return saveResult(c, f, m.out)
			}
			if record != "" || replay != "" {
				return recordOrReplay(c, day, f, policies[0], &m, luck, record, replay)
			}
			if trace != "" {
				return writeTrace(trace, day, policies[0], m.firstSeed, luck)
			}
			if luck > 0 { // one set, with chance of its own
				s, err := parseVariant(policies[0], day, luck)
				if err != nil {
					return err
				}
				r, err := runner.RunAll(
					c.Context(),
					[]runner.Variant{s},
					runner.Seeds(m.firstSeed, m.seeds),
					true,
					newProgress().update,
				)
				if err != nil {
					return err
				}
				f.Add(s.Name, r[0])
			} else if err := runVariants(c.Context(), f, policies, day, &m, false); err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(f)
			}
			if err := printResult(c, f); err != nil {
				return err
			}
			if err := saveResult(c, f, m.out); err != nil {
				return err
			}
			for _, s := range f.Variants {
				if strings.HasPrefix(s.Name, "module") && s.Broken > 0 {
					return fmt.Errorf("%s broke %d rules", s.Name, s.Broken)
				}
			}
			return nil
		}}
	m.addFlags(c)
	c.Flags().
		StringArrayVar(&policies, "policy", []string{"module"}, "what decides: "+strings.Join(policy.Names, ", ")+
			"; several behind commas give our place between floor and top, KEY=VALUE changes the one before")
	c.Flags().
		Uint64Var(&luck, "luck", 0, "draw chance anew, with the same destinations, requests and troubles")
	c.Flags().BoolVar(&sockets, "sockets", false, "play it in real time on loopback, with real nodes")
	real.addFlags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	c.Flags().
		StringVar(&record, "record", "", "write the first seed's arrivals, and what came of them, into this file")
	c.Flags().
		StringVar(&replay, "replay", "", "play the arrivals of this recording, on the day that it was made on")
	c.Flags().StringVar(&trace, "trace", "", "write the first seed's trace into this file, and nothing else")
	return c
}

func writeTrace(name string, day *scenario.Scenario, spec string, seed, luck uint64) error {
	s, err := parseVariant(spec, day, luck)
	if err != nil {
		return err
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	runner.Run(s.Scenario, seed, luck, s.NewScheduler, false, file)
	return file.Close()
}

// recordOrReplay writes a recordOrReplay of a run, or plays one.
func recordOrReplay(
	c *cobra.Command,
	day *scenario.Scenario,
	f *report.File,
	spec string,
	m *runOptions,
	luck uint64,
	record, replay string,
) error {
	s, err := parseVariant(spec, day, luck)
	if err != nil {
		return err
	}
	if record != "" {
		file, err := os.Create(record)
		if err != nil {
			return err
		}
		return errors.Join(runner.Record(s.Scenario, m.firstSeed, luck, s.NewScheduler, file), file.Close())
	}
	file, err := os.Open(replay)
	if err != nil {
		return err
	}
	defer file.Close()
	r, recorded, err := runner.Replay(file, m.firstSeed, luck, s.NewScheduler, nil)
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
	return saveResult(c, f, m.out)
}

func compareCommand() *cobra.Command {
	var m runOptions
	var name string
	c := &cobra.Command{Use: "compare A B", Args: exactArgs(2),
		Short: "Play two policies, settings or builds on the same seeds, and tell the difference with its interval",
		Long: "Play two sets on the same seeds, and tell the difference with its 95% interval.\n\n" +
			"A set is a policy (module), a policy with changed keys of the scenario (module,fleet.slots=12),\n" +
			"or the path of another build of this program. Destinations, requests and troubles are the same for\n" +
			"both; all other " +
			"chance is drawn anew, so that a set compared with itself shows how much is chance.",
		RunE: func(c *cobra.Command, args []string) error {
			day, err := scenarios.Find(name)
			if err == nil {
				err = m.validate()
			}
			if err != nil {
				return err
			}
			f, err := report.NewFile("compare", commandLine(c, args), day)
			if err == nil {
				err = runVariants(c.Context(), f, args, day, &m, true)
			}
			if err != nil {
				return err
			}
			f.ComputeDifferences()
			if err := printResult(c, f); err != nil {
				return err
			}
			return saveResult(c, f, m.out)
		}}
	m.addFlags(c)
	c.Flags().StringVar(&name, "scenario", "harvest", "the scenario to play")
	return c
}

func sweepCommand() *cobra.Command {
	var m runOptions
	var name, what string
	c := &cobra.Command{Use: "sweep KEY=A,B,C", Args: exactArgs(1),
		Short: "Play a scenario with one key of it at several values",
		RunE: func(c *cobra.Command, args []string) error {
			key, list, ok := strings.Cut(args[0], "=")
			if !ok || key == "" || list == "" {
				return usageError{fmt.Errorf("sweep: want KEY=A,B,C, got %q", args[0])}
			}
			day, err := scenarios.Find(name)
			if err == nil {
				err = m.validate()
			}
			if err != nil {
				return err
			}
			f, err := report.NewFile("sweep", commandLine(c, args), day)
			if err != nil {
				return err
			}
			var specs []string
			for value := range strings.SplitSeq(list, ",") {
				specs = append(specs, what+","+key+"="+value)
			}
			if err := runVariants(c.Context(), f, specs, day, &m, false); err != nil {
				return err
			}
			f.ComputeDifferences()
			if err := printResult(c, f); err != nil {
				return err
			}
			return saveResult(c, f, m.out)
		}}
	m.addFlags(c)
	c.Flags().StringVar(&name, "scenario", "harvest", "the scenario to play")
	c.Flags().StringVar(&what, "policy", "module", "what decides")
	return c
}

func huntCommand() *cobra.Command {
	var most int
	var limit time.Duration
	var seed uint64
	var what, out string
	var first, asFound bool
	c := &cobra.Command{Use: "hunt SCENARIO", Args: exactArgs(1),
		Short: "Play random mixes of troubles; keep the worst day and any that breaks a rule, made small",
		RunE: func(c *cobra.Command, args []string) error {
			day, err := scenarios.Find(args[0])
			if err != nil {
				return err
			}
			if most < 1 || limit <= 0 {
				return usageError{errors.New("hunt: --runs and --time want more than nothing")}
			}
			launch, err := policy.Find(what)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), limit)
			defer cancel()
			p, brokenDays := newProgress(), 0
			worst, broke, played := search.Run(ctx, day, seed, most, runtime.GOMAXPROCS(0), first, launch,
				func(played int, _ float64, broken int) {
					brokenDays = broken
					p.update(played, max(most, played))
				})
			w := c.OutOrStdout()
			if worst == nil {
				return errors.New("hunt: no day was played in time")
			}
			fmt.Fprintf(
				w,
				"%d days played, %d of them with a broken rule; the worst has G %.3f\n",
				played,
				brokenDays,
				worst.G,
			)
			shrinking, stop := context.WithTimeout(c.Context(), limit)
			defer stop()
			kept := func(f *search.Finding, name string) error {
				small := *f
				if !asFound {
					small = search.Shrink(shrinking, *f, launch)
				}
				small.Scenario.Name = name
				text, err := small.Scenario.Write()
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
					fmt.Fprintf(w, "kept in %s; it shows with --first %d --seeds 1\n", name, small.Seed)
				}
				fmt.Fprintf(w, "%d troubles, %v, %d nodes: %s\n", len(small.Scenario.Faults), small.Scenario.Length,
					small.Scenario.Fleet.Nodes, small.Scenario.Challenge)
				return nil
			}
			if broke == nil {
				fmt.Fprintln(w, "no rule was broken")
				return kept(worst, "hunted-worst")
			}
			fmt.Fprintln(w, broke.Violation)
			if err := kept(broke, "hunted-broken"); err != nil {
				return err
			}
			return errors.New("hunt: a rule is broken")
		}}
	c.Flags().IntVar(&most, "runs", 200, "days at most")
	c.Flags().
		DurationVar(&limit, "time", 10*time.Minute, "time at most, and as much again for making days small")
	c.Flags().Uint64Var(&seed, "seed", 1, "draws the mixes")
	c.Flags().
		StringVar(&what, "policy", "module", "what decides; module+WEAKNESS proves that the hunt finds it")
	c.Flags().StringVar(&out, "out", "found", `the folder for the days found; "none" keeps none`)
	c.Flags().BoolVar(&asFound, "as-found", false, "do not make the days small")
	c.Flags().BoolVar(&first, "until-broken", false, "stop at the first broken rule")
	return c
}
