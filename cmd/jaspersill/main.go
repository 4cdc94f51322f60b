// Command jaspersill runs a delivery node and provides tools for its operators. `serve` runs the node: it reads the
// platform's configuration from the file named by RELAY_CONFIG, and the operator's from a TOML file.
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
	exitOK = iota
	exitFailed
	exitUsage
)

// usageError is an error in the command line.
type usageError struct{ error }

func main() {
	// SIGHUP asks for a reload at any time. Catch it from the start: uncaught, it would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the process must survive when the reader of its log exits
	logWriter := logs.NewAsyncWriter(os.Stderr)
	logrus.SetOutput(logWriter)
	code := execute(os.Args[1:], os.Stdout, os.Stderr, reload)
	logWriter.Flush()
	os.Exit(code)
}

// execute runs one command and returns the exit code.
func execute(args []string, stdout, stderr io.Writer, reload <-chan os.Signal) int {
	formatter := logs.New()
	logrus.SetFormatter(formatter)
	root := newRootCommand(formatter, reload)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	var usageErr usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usageErr):
		fmt.Fprintln(stderr, "jaspersill:", err)
		return exitUsage
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		fmt.Fprintln(stderr, "jaspersill:", line)
	}
	return exitFailed
}

func newRootCommand(formatter *logs.Formatter, reload <-chan os.Signal) *cobra.Command {
	var file string
	root := &cobra.Command{
		Use:   "jaspersill",
		Short: "A delivery node that forwards events to third-party destinations",
		Long: "A delivery node that forwards events to third-party destinations.\n\n" +
			"Without a command it runs `serve` if RELAY_CONFIG is set.\n" +
			"Exit codes: 0 success, 1 failure, 2 usage error.",
		SilenceUsage: true, SilenceErrors: true,
		Args: noArgs("command"),
		RunE: func(c *cobra.Command, args []string) error {
			if os.Getenv(platformFileEnv) == "" {
				c.Help()
				return usageError{errors.New("missing command; to run `serve` without one, set RELAY_CONFIG")}
			}
			return serve(formatter, file, reload)
		},
	}
	root.SuggestionsMinimumDistance = 2
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.PersistentFlags().StringVar(&file, "file", os.Getenv(localFileEnv),
		"the operator's TOML file; "+localFileEnv+" sets the default")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run the delivery node until SIGTERM", Args: noArgs("argument"),
			RunE: func(*cobra.Command, []string) error { return serve(formatter, file, reload) }},
		&cobra.Command{Use: "check FILE...", Short: "Report all errors in configuration files of either format",
			Args: oneOrMoreArgs(
				"FILE",
			), RunE: func(c *cobra.Command, names []string) error { return checkFiles(c, names) }},
		configCommand(&file),
		journalCommand(),
		&cobra.Command{
			Use:   "version",
			Short: "Print the version and build information",
			Args:  noArgs("argument"),
			RunE: func(c *cobra.Command, _ []string) error {
				_, err := fmt.Fprintln(c.OutOrStdout(), version())
				return err
			},
		},
	)
	return root
}

// noArgs rejects all arguments, and suggests similar commands if there are any.
func noArgs(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		text := fmt.Sprintf("%s: no such %s: %q", c.CommandPath(), what, args[0])
		if similar := c.SuggestionsFor(args[0]); len(similar) > 0 {
			text += "; did you mean " + strings.Join(similar, " or ") + "?"
		}
		return usageError{errors.New(text)}
	}
}

func oneOrMoreArgs(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return usageError{fmt.Errorf("%s: missing %s", c.CommandPath(), what)}
		}
		return nil
	}
}

func exactlyOneArg(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Errorf("%s: want one %s, got %d", c.CommandPath(), what, len(args))}
		}
		return nil
	}
}

// commandGroup returns a command that only contains subcommands.
func commandGroup(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, SuggestionsMinimumDistance: 2, Args: noArgs("command"),
		RunE: func(c *cobra.Command, _ []string) error {
			c.Help()
			return usageError{fmt.Errorf("%s: missing command", c.CommandPath())}
		}}
	c.AddCommand(subcommands...)
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
