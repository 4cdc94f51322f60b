// Command jaspersill is a delivery node, with what its operators need around it. `serve` runs the node: it
// reads what the platform tells from the file that RELAY_CONFIG names, and what the installation tells from a
// TOML file.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"jaspersill/logs"
)

// Exit codes.
const (
	exitGood = iota
	exitFailed
	exitUsage
)

// usageError is a wrong use of the command line.
type usageError struct{ error }

func main() {
	// Danger: uncaught, the signal that says that the file was replaced ends the process, at whatever moment.
	replaced := make(chan os.Signal, 1)
	signal.Notify(replaced, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a collector of log lines that goes away must not take the process along
	lines := logs.NewAsyncWriter(os.Stderr)
	logrus.SetOutput(lines)
	code := execute(os.Args[1:], os.Stdout, os.Stderr, replaced)
	lines.Flush()
	os.Exit(code)
}

// execute runs one command and returns the process's exit code.
func execute(args []string, out, problems io.Writer, replaced <-chan os.Signal) int {
	gate := logs.New()
	logrus.SetFormatter(gate)
	root := commands(gate, replaced)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(problems)
	err := root.Execute()
	var wrong usageError
	switch {
	case err == nil:
		return exitGood
	case errors.As(err, &wrong):
		fmt.Fprintln(problems, "jaspersill:", err)
		return exitUsage
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		fmt.Fprintln(problems, "jaspersill:", line)
	}
	return exitFailed
}

func commands(gate *logs.Formatter, replaced <-chan os.Signal) *cobra.Command {
	var file string
	root := &cobra.Command{
		Use:   "jaspersill",
		Short: "A delivery node that hands events on to destinations nobody here controls",
		Long: "A delivery node that hands events on to destinations nobody here controls.\n\n" +
			"Without a command it serves where RELAY_CONFIG is set, as `serve` does.\n" +
			"Exit codes: 0 good, 1 failed, 2 wrong usage.",
		SilenceUsage: true, SilenceErrors: true,
		Args: noneOf("command"),
		RunE: func(c *cobra.Command, args []string) error {
			if os.Getenv(platformFile) == "" {
				c.Help()
				return usageError{errors.New("a command is needed, or RELAY_CONFIG to serve")}
			}
			return serve(gate, file, replaced)
		},
	}
	root.SuggestionsMinimumDistance = 2
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.PersistentFlags().StringVar(&file, "file", os.Getenv(ownFile),
		"the installation's own TOML file; "+ownFile+" names it too")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run the delivery node until SIGTERM", Args: noneOf("argument"),
			RunE: func(*cobra.Command, []string) error { return serve(gate, file, replaced) }},
		&cobra.Command{Use: "check FILE...", Short: "Tell all that is wrong with files of either format",
			Args: some(
				"FILE",
			), RunE: func(c *cobra.Command, names []string) error { return check(c, names) }},
		configCommand(&file),
		journalCommand(),
		&cobra.Command{
			Use:   "version",
			Short: "Print what this program was built from",
			Args:  noneOf("argument"),
			RunE: func(c *cobra.Command, _ []string) error {
				_, err := fmt.Fprintln(c.OutOrStdout(), version())
				return err
			},
		},
	)
	return root
}

// noneOf refuses all arguments, and tells the nearest command where there are commands.
func noneOf(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		text := fmt.Sprintf("%s: no such %s: %q", c.CommandPath(), what, args[0])
		if near := c.SuggestionsFor(args[0]); len(near) > 0 {
			text += "; did you mean " + strings.Join(near, " or ") + "?"
		}
		return usageError{errors.New(text)}
	}
}

// some wants one argument or more; one wants exactly one.
func some(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return usageError{fmt.Errorf("%s: %s is missing", c.CommandPath(), what)}
		}
		return nil
	}
}

func one(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Errorf("%s: want one %s, got %d", c.CommandPath(), what, len(args))}
		}
		return nil
	}
}

// group is a command that only holds others.
func group(use, short string, inner ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, SuggestionsMinimumDistance: 2, Args: noneOf("command"),
		RunE: func(c *cobra.Command, _ []string) error {
			c.Help()
			return usageError{fmt.Errorf("%s: a command is needed", c.CommandPath())}
		}}
	c.AddCommand(inner...)
	return c
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "jaspersill (no build information)"
	}
	text := "jaspersill " + info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision", "vcs.time":
			text += " " + s.Value
		case "vcs.modified":
			if s.Value == "true" {
				text += " modified"
			}
		}
	}
	return text
}
