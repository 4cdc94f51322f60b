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

// soakRunner is what the command is told.
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
	c := &cobra.Command{Use: "soak", Short: "Play real nodes under random faults and judge every request", Args: exactArgs(0),
		Long: "Play real nodes on loopback under random faults that overlap, among them failing system calls of the nodes, and hold " +
			"every request to the rules. A seed with a violation prints its timeline.",
		RunE: func(c *cobra.Command, _ []string) error { return s.runSeeds(c) }}
	c.Flags().StringVar(&s.options.Program, "node", siblingProgram("jaspersill"), "the delivery node's program")
	c.Flags().StringVar(&s.options.Folder, "keep", "", "a folder for configurations, state and logs; a temporary one if empty")
	c.Flags().IntVar(&s.options.Nodes, "nodes", 10, "processes of each run")
	c.Flags().DurationVar(&s.options.Length, "length", 6*time.Second, "for how long clients hand in requests")
	c.Flags().StringVar(&s.options.Only, "only", "", "one kind of fault alone: "+strings.Join(soak.FaultGroups(), ", "))
	c.Flags().BoolVar(&s.options.PathFaults, "paths", false, "disturb the bytes between all ends beside the other faults")
	c.Flags().Uint64Var(&s.firstSeed, "seed", 1, "the first seed")
	c.Flags().IntVar(&s.seeds, "seeds", 1, "how many seeds")
	c.Flags().IntVar(&s.parallel, "parallel", 1, "runs at once")
	c.Flags().BoolVar(&s.timeline, "timeline", false, "print what was done to the system in every run")
	c.Flags().IntVar(&s.maxShown, "show", 5, "violations of a seed that are printed with their timelines")
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
		mu     sync.Mutex
		broken []string
		runs   sync.WaitGroup
	)
	turns := make(chan struct{}, s.parallel)
	for _, seed := range runner.Seeds(s.firstSeed, s.seeds) {
		turns <- struct{}{}
		runs.Go(func() {
			defer func() { <-turns }()
			report, err := s.runSeed(c.Context(), seed, filepath.Join(folder, strconv.FormatUint(seed, 10)))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				broken = append(broken, fmt.Sprintf("seed %d: %v", seed, err))
				return
			}
			if len(report.Violations) > 0 {
				broken = append(broken, fmt.Sprintf("seed %d: %d violations", seed, len(report.Violations)))
			}
			s.print(c, report)
		})
	}
	runs.Wait()
	if len(broken) > 0 {
		return fmt.Errorf("%d of %d seeds broke a rule: %s", len(broken), s.seeds, strings.Join(broken, "; "))
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
	kinds := map[soak.Rule]int{}
	for i, v := range report.Violations {
		kinds[v.Rule]++
		if i < s.maxShown {
			fmt.Fprintln(out, "  VIOLATION", v)
		}
	}
	if len(kinds) > 0 {
		fmt.Fprintf(out, "  by rule: %v\n", kinds)
		fmt.Fprintf(out, "  again: jaspersill-lab soak --seed %d --nodes %d --length %v --only %q --paths=%v\n", report.Seed, s.options.Nodes,
			s.options.Length, s.options.Only, s.options.PathFaults)
	}
}
