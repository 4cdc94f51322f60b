// Command jaspersill-lab plays delivery nodes against simulated partners, in virtual time and on loopback,
// and says what came of it.
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
	var wrong usageError
	if errors.As(err, &wrong) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{Use: "jaspersill-lab", Short: "Play delivery nodes against simulated partners",
		SilenceUsage: true, SilenceErrors: true, SuggestionsMinimumDistance: 2, Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			c.Help()
			return usageError{errors.New("a command is needed")}
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

// exactArgs wants so many arguments, and tells the nearest command where there are commands.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == n {
			return nil
		}
		text := fmt.Sprintf("%s: want %d arguments, got %d", c.CommandPath(), n, len(args))
		if len(args) > 0 && c.HasSubCommands() {
			text = fmt.Sprintf("%s: no such command: %q", c.CommandPath(), args[0])
			if near := c.SuggestionsFor(args[0]); len(near) > 0 {
				text += "; did you mean " + strings.Join(near, " or ") + "?"
			}
		}
		return usageError{errors.New(text)}
	}
}

// saveResult writes a result into a folder: the one named, or one of its own below results.
func saveResult(c *cobra.Command, f *report.File, folder string) error {
	if folder == "none" {
		return nil
	}
	if folder == "" {
		day, err := scenario.Read("scenario", []byte(f.Scenario), nil)
		if err != nil {
			return err
		}
		folder = filepath.Join(
			"results",
			fmt.Sprintf("%s-%s-%s", f.Kind, day.Name, f.CreatedAt.Format("20060102T150405")),
		)
	}
	if err := f.Write(folder); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "kept in %s\n", folder)
	return err
}

func commandLine(c *cobra.Command, args []string) string {
	text := []string{c.CommandPath()}
	text = append(text, args...)
	c.Flags().Visit(func(f *flag) { text = append(text, "--"+f.Name+"="+f.Value.String()) })
	return strings.Join(text, " ")
}

// progress tells on a terminal how much is done and how long the rest takes.
type progress struct {
	startedAt time.Time
	lastShown time.Time
	tty       bool
}

func newProgress() *progress {
	info, err := os.Stderr.Stat()
	return &progress{startedAt: time.Now(), tty: err == nil && info.Mode()&os.ModeCharDevice != 0}
}

func (p *progress) update(done, of int) {
	now := time.Now()
	if !p.tty || (done < of && now.Sub(p.lastShown) < 200*time.Millisecond) {
		return
	}
	p.lastShown = now
	left := time.Duration(float64(now.Sub(p.startedAt)) / float64(done) * float64(of-done)).Round(time.Second)
	fmt.Fprintf(os.Stderr, "\r%d of %d, %v left   ", done, of, left)
	if done == of {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
}

func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Args: exactArgs(1),
		Short: "Make the tables and the page of results anew; DIR holds one result or a folder of each",
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
		Short:                      "The lab's scenarios",
		SuggestionsMinimumDistance: 2,
		Args:                       exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			c.Help()
			return usageError{errors.New("scenario: a command is needed")}
		},
	}
	c.AddCommand(
		&cobra.Command{Use: "ls", Short: "List them, with what each is hard for", Args: exactArgs(0),
			RunE: func(c *cobra.Command, _ []string) error {
				for _, name := range scenarios.Names() {
					day, err := scenarios.Find(name)
					if err != nil {
						return err
					}
					fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", name, day.Challenge)
				}
				return nil
			}},
		&cobra.Command{Use: "show NAME", Short: "Print one in full", Args: exactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				day, err := scenarios.Find(args[0])
				if err != nil {
					return err
				}
				text, err := day.Write()
				c.OutOrStdout().Write(text)
				return err
			}},
		&cobra.Command{Use: "check FILE", Short: "Tell all that is wrong with a file", Args: exactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				_, err := scenarios.Find(args[0])
				return err
			}},
		&cobra.Command{Use: "reference", Short: "Print the kinds of troubles as Markdown", Args: exactArgs(0),
			RunE: func(c *cobra.Command, _ []string) error {
				_, err := fmt.Fprint(c.OutOrStdout(), scenario.Reference())
				return err
			}})
	return c
}
