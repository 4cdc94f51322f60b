package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"jaspersill/config"
	"jaspersill/node"
)

// checkFiles reports all errors in each file. The format follows from the file name: .json is the platform's
// configuration, .toml the operator's.
func checkFiles(c *cobra.Command, names []string) error {
	var failures error
	for _, name := range names {
		var err error
		switch {
		case strings.HasSuffix(name, ".json"):
			var p platformConfig
			if p, _, err = readPlatform(name); err == nil {
				var defaults *config.Config
				if defaults, err = config.Parse("", nil, nil); err == nil {
					_, err = defaults.WithPlatform(name, p.configValues(""))
				}
			}
		case strings.HasSuffix(name, ".toml"):
			var text []byte
			if text, err = os.ReadFile(name); err == nil {
				_, err = config.Parse(name, text, nil)
			}
		default:
			err = fmt.Errorf("%s: want a file that ends in .json or .toml", name)
		}
		if err == nil {
			fmt.Fprintln(c.OutOrStdout(), name+": valid")
		}
		failures = errors.Join(failures, err)
	}
	return failures
}

func configCommand(file *string) *cobra.Command {
	return commandGroup(
		"config",
		"Show the configuration and its keys",
		&cobra.Command{Use: "show", Short: "Print the effective value, type and source of every key",
			Args: noArgs("argument"),
			RunE: func(c *cobra.Command, _ []string) error {
				effective, err := readLocal(*file)
				if platform := os.Getenv(platformFileEnv); err == nil && platform != "" {
					_, _, effective, err = readConfig(platform, *file)
				}
				if err != nil {
					return err
				}
				return effective.WriteTable(c.OutOrStdout())
			}},
		&cobra.Command{
			Use:   "reference",
			Short: "Print the reference of all keys as Markdown",
			Args:  noArgs("argument"),
			RunE:  func(c *cobra.Command, _ []string) error { return config.WriteReference(c.OutOrStdout()) },
		},
	)
}

func journalCommand() *cobra.Command {
	return commandGroup(
		"journal",
		"Inspect a node's state folder, read-only; the node may be running",
		&cobra.Command{Use: "ls DIR", Short: "List the events without a final outcome", Args: exactlyOneArg("DIR"),
			RunE: func(c *cobra.Command, args []string) error {
				r, err := node.ReadJournal(args[0])
				if err != nil {
					return err
				}
				table := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
				fmt.Fprintln(table, "EVENT\tTYPE\tCUSTOMER\tDEST\tDEADLINE\tSENDS\tMAY HAVE RUN\tVERDICT\tBODY")
				for _, e := range r.Pending {
					fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%t\t%s\t%d B\n", e.ID, e.Kind, e.Owner, e.Dest,
						e.Deadline.UTC().Format(time.RFC3339Nano), e.Attempts, e.MayHaveRun, e.Resolution, e.BodyBytes)
				}
				return table.Flush()
			}},
		&cobra.Command{
			Use:   "verify DIR",
			Short: "Report damage to the journal; exits with 1 if there is any",
			Args:  exactlyOneArg("DIR"),
			RunE: func(c *cobra.Command, args []string) error {
				r, err := node.ReadJournal(args[0])
				if err != nil {
					return err
				}
				w := c.OutOrStdout()
				fmt.Fprintf(w, "%d bytes, %d records, %d pending events\n", r.SizeBytes, r.Records, len(r.Pending))
				if r.TornBytes > 0 {
					fmt.Fprintf(
						w,
						"the last %d bytes are an incomplete record and are ignored\n",
						r.TornBytes,
					)
				}
				if r.RecordsLost {
					fmt.Fprintln(w, "records are missing: events before them are treated as possibly processed")
				}
				if len(r.Faults) > 0 {
					return errors.New(strings.Join(r.Faults, "\n"))
				}
				return nil
			},
		},
	)
}
