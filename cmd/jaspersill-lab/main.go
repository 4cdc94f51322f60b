// Command jaspersill-lab tests delivery nodes against simulated endpoints, clients and faults, in virtual time or
// over loopback sockets, and reports the results.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"jaspersill/lab/report"
	"jaspersill/lab/scenario"
	"jaspersill/lab/scenarios"
	"jaspersill/lab/sysfault"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type usageError struct{ error }

func main() {
	sysfault.ExecUnderFilterIfRequested()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCommand()
	err := root.ExecuteContext(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "jaspersill-lab:", err)
	var usage usageError
	if errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{Use: "jaspersill-lab", Short: "Test delivery nodes against simulated endpoints and faults",
		SilenceUsage: true, SilenceErrors: true, SuggestionsMinimumDistance: 2, Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			c.Help()
			return usageError{errors.New("no command given")}
		}}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(
		runCommand(),
		compareCommand(),
		sweepCommand(),
		huntCommand(),
		reportCommand(),
		scenarioCommand(),
		emulateCommand(),
		loadCommand(),
		soakCommand(),
	)
	return root
}

// exactArgs requires exactly n arguments. For an unknown subcommand the error suggests similar ones.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == n {
			return nil
		}
		text := fmt.Sprintf("%s: want %d arguments, got %d", c.CommandPath(), n, len(args))
		if len(args) > 0 && c.HasSubCommands() {
			text = fmt.Sprintf("%s: unknown command: %q", c.CommandPath(), args[0])
			if similar := c.SuggestionsFor(args[0]); len(similar) > 0 {
				text += "; did you mean " + strings.Join(similar, " or ") + "?"
			}
		}
		return usageError{errors.New(text)}
	}
}

// saveResult writes a result to the given folder, or if that is empty to a new folder below results. It writes
// nothing if the folder is "none".
func saveResult(c *cobra.Command, f *report.File, folder string) error {
	if folder == "none" {
		return nil
	}
	if folder == "" {
		sc, err := scenario.Read("scenario", []byte(f.Scenario), nil)
		if err != nil {
			return err
		}
		folder = filepath.Join(
			"results",
			fmt.Sprintf("%s-%s-%s", f.Kind, sc.Name, f.CreatedAt.Format("20060102T150405")),
		)
	}
	if err := f.Write(folder); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "result written to %s\n", folder)
	return err
}

func commandLine(c *cobra.Command, args []string) string {
	text := []string{c.CommandPath()}
	text = append(text, args...)
	c.Flags().Visit(func(f *flag) { text = append(text, "--"+f.Name+"="+f.Value.String()) })
	return strings.Join(text, " ")
}

// progress shows the number of finished runs and the estimated time left, if stderr is a terminal.
type progress struct {
	startedAt time.Time
	lastShown time.Time
	tty       bool
}

func newProgress() *progress {
	info, err := os.Stderr.Stat()
	return &progress{startedAt: time.Now(), tty: err == nil && info.Mode()&os.ModeCharDevice != 0}
}

func (p *progress) update(done, total int) {
	now := time.Now()
	if !p.tty || (done < total && now.Sub(p.lastShown) < 200*time.Millisecond) {
		return
	}
	p.lastShown = now
	remaining := time.Duration(float64(now.Sub(p.startedAt)) / float64(done) * float64(total-done)).Round(time.Second)
	fmt.Fprintf(os.Stderr, "\r%d of %d, %v left   ", done, total, remaining)
	if done == total {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
}

func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Args: exactArgs(1),
		Short: "Regenerate the tables and pages of results; DIR contains a result or folders with one each",
		RunE: func(c *cobra.Command, args []string) error {
			folders, err := report.FindResults(args[0])
			for _, folder := range folders {
				if err := report.Regenerate(folder); err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), filepath.Join(folder, "report.html"))
			}
			return err
		}}
}

func scenarioCommand() *cobra.Command {
	c := &cobra.Command{
		Use:                        "scenario",
		Short:                      "List, print and check scenarios",
		SuggestionsMinimumDistance: 2,
		Args:                       exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			c.Help()
			return usageError{errors.New("scenario: no command given")}
		},
	}
	c.AddCommand(
		&cobra.Command{Use: "ls", Short: "List the built-in scenarios and what makes each of them hard", Args: exactArgs(0),
			RunE: func(c *cobra.Command, _ []string) error {
				for _, name := range scenarios.Names() {
					sc, err := scenarios.Find(name)
					if err != nil {
						return err
					}
					fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", name, sc.Challenge)
				}
				return nil
			}},
		&cobra.Command{Use: "show NAME", Short: "Print a scenario with all keys", Args: exactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				sc, err := scenarios.Find(args[0])
				if err != nil {
					return err
				}
				text, err := sc.Write()
				c.OutOrStdout().Write(text)
				return err
			}},
		&cobra.Command{Use: "check FILE", Short: "Report all errors in a scenario file", Args: exactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				_, err := scenarios.Find(args[0])
				return err
			}},
		&cobra.Command{Use: "reference", Short: "Print the kinds of faults as Markdown", Args: exactArgs(0),
			RunE: func(c *cobra.Command, _ []string) error {
				_, err := fmt.Fprint(c.OutOrStdout(), scenario.Reference())
				return err
			}})
	return c
}
