package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"jaspersill/lab/runner"
	"jaspersill/lab/soak"
)

// soakRunner holds the flags of the soak command.
type soakRunner struct {
	options   soak.Options
	firstSeed uint64
	seeds     int
	parallel  int
	timeline  bool
	maxShown  int
}

func soakCommand() *cobra.Command {
	s := &soakRunner{}
	c := &cobra.Command{Use: "soak", Short: "Run real nodes under random faults and check every request", Args: exactArgs(0),
		Long: "Run real nodes on loopback under random, overlapping faults, including failing system calls of the nodes, and check " +
			"every request against the rules. The timeline of each seed with a violation is printed.",
		RunE: func(c *cobra.Command, _ []string) error { return s.runSeeds(c) }}
	c.Flags().StringVar(&s.options.Program, "node", siblingProgram("jaspersill"), "path of the delivery node's program")
	c.Flags().StringVar(&s.options.Folder, "keep", "", "folder to keep configurations, state and logs in; if empty, a temporary one is used")
	c.Flags().IntVar(&s.options.Nodes, "nodes", 10, "number of node processes in each run")
	c.Flags().DurationVar(&s.options.Length, "length", 6*time.Second, "how long clients submit requests")
	c.Flags().StringVar(&s.options.Only, "only", "", "use only one kind of fault: "+strings.Join(soak.FaultGroups(), ", "))
	c.Flags().BoolVar(&s.options.PathFaults, "paths", false, "also disturb the byte streams on all connections")
	c.Flags().BoolVar(&s.options.All, "all", false, "play all kinds of faults: paths, misbehaving clients, replaced endpoints and series of kills too")
	c.Flags().IntVar(&s.options.MemoryMB, "memory", 0, "memory limit of each node in MiB; 0 for 64")
	c.Flags().StringVar((*string)(&s.options.Clients), "clients", "", "with --only clients: how clients misbehave; if empty, drawn for each node")
	c.Flags().IntVar(&s.options.Connections, "connections", 0, "with --only clients: connections of the misbehaving clients of each node; 0 for a number that suits the pattern")
	c.Flags().Uint64Var(&s.firstSeed, "seed", 1, "first seed")
	c.Flags().IntVar(&s.seeds, "seeds", 1, "number of seeds")
	c.Flags().IntVar(&s.parallel, "parallel", 1, "number of runs at the same time")
	c.Flags().BoolVar(&s.timeline, "timeline", false, "print the timeline of every run")
	c.Flags().IntVar(&s.maxShown, "show", 5, "maximum number of violations to print for each seed")
	return c
}

func (s *soakRunner) runSeeds(c *cobra.Command) error {
	if s.options.Nodes < 1 || s.options.Nodes > 40 || s.parallel < 1 || s.parallel > 8 || s.seeds < 1 {
		return usageError{fmt.Errorf("want 1 to 40 --nodes, 1 to 8 --parallel and 1 or more --seeds, got %d, %d and %d",
			s.options.Nodes, s.parallel, s.seeds)}
	}
	folder := s.options.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "soak-"); err != nil {
			return err
		}
		defer os.RemoveAll(folder)
	}
	program, err := filepath.Abs(s.options.Program)
	if err != nil {
		return err
	}
	s.options.Program = program
	var (
		mu       sync.Mutex
		failures []string
		running  sync.WaitGroup
	)
	slots := make(chan struct{}, s.parallel)
	for _, seed := range runner.Seeds(s.firstSeed, s.seeds) {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			report, err := s.runSeed(c.Context(), seed, filepath.Join(folder, strconv.FormatUint(seed, 10)))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, fmt.Sprintf("seed %d: %v", seed, err))
				return
			}
			if len(report.Violations) > 0 {
				failures = append(failures, fmt.Sprintf("seed %d: %d violations", seed, len(report.Violations)))
			}
			s.print(c, report)
		})
	}
	running.Wait()
	if len(failures) > 0 {
		return fmt.Errorf("%d of %d seeds broke a rule: %s", len(failures), s.seeds, strings.Join(failures, "; "))
	}
	return nil
}

func (s *soakRunner) runSeed(ctx context.Context, seed uint64, folder string) (*soak.Report, error) {
	options := s.options
	options.Seed, options.Folder = seed, folder
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	return soak.Run(ctx, options)
}

func (s *soakRunner) print(c *cobra.Command, report *soak.Report) {
	out := c.OutOrStdout()
	fmt.Fprintln(out, report.Summary())
	if s.timeline || len(report.Violations) > 0 {
		for _, line := range report.Actions {
			fmt.Fprintln(out, "  ", line)
		}
	}
	byRule := map[soak.Rule]int{}
	for i, v := range report.Violations {
		byRule[v.Rule]++
		if i < s.maxShown {
			fmt.Fprintln(out, "  VIOLATION", v)
		}
	}
	if len(byRule) > 0 {
		fmt.Fprintf(out, "  by rule: %v\n", byRule)
		options := s.options
		options.Seed = report.Seed
		fmt.Fprintln(out, "  reproduce with:", options.Command())
	}
}
