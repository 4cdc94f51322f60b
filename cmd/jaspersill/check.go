package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"jaspersill/house"
	"jaspersill/node"
)

// check tells all that is wrong with each file, by its ending: .json is the platform's, .toml the
// installation's.
func check(c *cobra.Command, names []string) error {
	var bad error
	for _, name := range names {
		var err error
		switch {
		case strings.HasSuffix(name, ".json"):
			var t told
			if t, _, err = readPlatform(name); err == nil {
				var b *house.Book
				if b, err = house.Read("", nil, nil); err == nil {
					_, err = b.Told(name, t.byKey(""))
				}
			}
		case strings.HasSuffix(name, ".toml"):
			var text []byte
			if text, err = os.ReadFile(name); err == nil {
				_, err = house.Read(name, text, nil)
			}
		default:
			err = fmt.Errorf("%s: want a file that ends in .json or .toml", name)
		}
		if err == nil {
			fmt.Fprintln(c.OutOrStdout(), name+": good")
		}
		bad = errors.Join(bad, err)
	}
	return bad
}

func configCommand(file *string) *cobra.Command {
	return group(
		"config",
		"What is in force, and what may be told",
		&cobra.Command{Use: "show", Short: "Print every value in force, its type and who told it",
			Args: noneOf("argument"),
			RunE: func(c *cobra.Command, _ []string) error {
				b, err := readOwn(*file)
				if platform := os.Getenv(platformFile); err == nil && platform != "" {
					_, _, b, err = read(platform, *file)
				}
				if err != nil {
					return err
				}
				return b.Show(c.OutOrStdout())
			}},
		&cobra.Command{
			Use:   "reference",
			Short: "Print the table of all keys as Markdown",
			Args:  noneOf("argument"),
			RunE:  func(c *cobra.Command, _ []string) error { return house.Reference(c.OutOrStdout()) },
		},
	)
}

func journalCommand() *cobra.Command {
	return group(
		"journal",
		"Look into a node's folder; nothing is changed, and the node may run",
		&cobra.Command{Use: "ls DIR", Short: "List the events that are owed an end", Args: one("DIR"),
			RunE: func(c *cobra.Command, args []string) error {
				r, err := node.ReadJournal(args[0])
				if err != nil {
					return err
				}
				t := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
				fmt.Fprintln(t, "EVENT\tTYPE\tCUSTOMER\tDEST\tDEADLINE\tSENDS\tMAY HAVE RUN\tVERDICT\tBODY")
				for _, o := range r.Pending {
					fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%t\t%s\t%d B\n", o.ID, o.Kind, o.Owner, o.Dest,
						o.Deadline.UTC().Format(time.RFC3339Nano), o.Attempts, o.MayHaveRun, o.Verdict, o.BodyBytes)
				}
				return t.Flush()
			}},
		&cobra.Command{
			Use:   "verify DIR",
			Short: "Tell what is damaged; the exit code is 1 where something is",
			Args:  one("DIR"),
			RunE: func(c *cobra.Command, args []string) error {
				r, err := node.ReadJournal(args[0])
				if err != nil {
					return err
				}
				w := c.OutOrStdout()
				fmt.Fprintf(w, "%d bytes, %d records, %d events owed\n", r.SizeBytes, r.Records, len(r.Pending))
				if r.TruncatedBytes > 0 {
					fmt.Fprintf(
						w,
						"the last %d bytes are no whole record and are dropped\n",
						r.TruncatedBytes,
					)
				}
				if r.RecordsMissing {
					fmt.Fprintln(w, "records are missing: what stood before them counts as possibly run")
				}
				if len(r.Faults) > 0 {
					return errors.New(strings.Join(r.Faults, "\n"))
				}
				return nil
			},
		},
	)
}
