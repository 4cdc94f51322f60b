// Package house reads what the operators of an installation tell a delivery node beyond what the platform
// tells: a TOML file and the environment. Every key stands in one table, Keys. It does no I/O.
package house

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// Kind is what a key's value is.
type Kind uint8

const (
	Text    Kind = iota
	Word         // one of a few words
	Count        // a whole number
	Share        // a number with decimals
	Span         // a time, with its unit
	Size         // bytes, with their unit
	Address      // HOST:PORT
)

func (k Kind) String() string {
	return [...]string{"text", "word", "whole number", "number", "time", "size", "address"}[k]
}

// form tells how a value of a kind is written in the file.
func (k Kind) form() string {
	return [...]string{`a text in quotes`, `a word in quotes`, `a whole number`, `a number`,
		`a time with its unit in quotes, as "250ms"`, `a size with its unit in quotes, as "64KiB"`,
		`"HOST:PORT"`}[k]
}

// Key is one thing that may be told. Bounds and default are written as in the file; an empty default is for
// what nobody need tell.
type Key struct {
	Name        string
	Kind        Kind
	Default     string
	Least, Most string
	Words       []string
	Live        bool // may change at SIGHUP; else it needs a restart
	Meaning     string
}

// PartLevel begins the names of the keys that give one part's lines a level of their own.
const PartLevel = "log.parts."

var levels = []string{"error", "warning", "info", "debug"}

// Keys is the table of all keys, in the order of the reference.
var Keys = func() []Key {
	keys := []Key{
		{Name: "node.name", Kind: Text, Meaning: "The node's name, the same after a restart."},
		{Name: "node.listen", Kind: Address, Meaning: "Where clients connect."},
		{Name: "node.directory", Kind: Address, Live: true,
			Meaning: "The partner directory, which takes the notices too."},
		{Name: "node.state", Kind: Text, Meaning: "The folder that outlasts the process."},
		{
			Name:    "node.seed",
			Kind:    Text,
			Meaning: "Up to 16 hex digits from which chance starts; new at each start.",
		},

		{Name: "limits.cores", Kind: Share, Default: "0", Least: "0", Most: "1024",
			Meaning: "Cores that the node may use; 0 for all."},
		{Name: "limits.memory", Kind: Size, Default: "0B", Least: "0B", Most: "1TiB",
			Meaning: "Memory over which the platform kills the node; 0B for none."},
		{Name: "limits.heap_part", Kind: Share, Default: "0.6", Least: "0.1", Most: "0.95", Live: true,
			Meaning: "Part of limits.memory that the heap may fill: stacks, sockets and files need the rest."},
		{Name: "limits.descriptors", Kind: Count, Default: "0", Least: "0", Most: "1048576",
			Meaning: "File descriptors that the node may hold; 0 for 1024."},
		{Name: "limits.disk", Kind: Size, Default: "0B", Least: "0B", Most: "1TiB",
			Meaning: "Bytes that may stand in node.state; 0B for 256MB."},

		{Name: "clients.first", Kind: Span, Default: "2.5s", Least: "100ms", Most: "1m",
			Meaning: "Time from a connection until its first request is whole."},
		{Name: "clients.whole", Kind: Span, Default: "2s", Least: "100ms", Most: "1m",
			Meaning: "Time from the first byte of each later request until it is whole."},
		{Name: "clients.between", Kind: Span, Default: "5s", Least: "100ms", Most: "1h",
			Meaning: "Longest time between two requests on a connection."},

		{Name: "directory.silence", Kind: Span, Default: "2.5s", Least: "100ms", Most: "5m", Live: true,
			Meaning: "A watch without a sign of life for so long is broken. The directory shows one every 2 s."},
		{Name: "notices.within", Kind: Span, Default: "250ms", Least: "10ms", Most: "30s", Live: true,
			Meaning: "Time that the platform has to answer a notice."},
		{Name: "notices.again", Kind: Span, Default: "50ms", Least: "1ms", Most: "30s", Live: true,
			Meaning: "Time until a notice that failed is told again."},

		{Name: "drain.door", Kind: Span, Default: "600ms", Least: "0s", Most: "10m", Live: true,
			Meaning: "From SIGTERM until connections between requests are closed."},
		{Name: "drain.choose", Kind: Span, Default: "2s", Least: "0s", Most: "10m", Live: true,
			Meaning: "From SIGTERM until nothing more is decided or taken on."},
		{Name: "drain.end", Kind: Span, Default: "3.4s", Least: "0s", Most: "10m", Live: true,
			Meaning: "From SIGTERM until the node exits, whatever is still out."},

		{Name: "log.format", Kind: Word, Words: []string{"text", "json"}, Default: "text", Live: true,
			Meaning: "How lines are written."},
		{Name: "log.level", Kind: Word, Words: levels, Default: "info", Live: true,
			Meaning: "Lines of less weight are not written."},
		{Name: "log.burst", Kind: Count, Default: "20", Least: "1", Most: "1000000", Live: true,
			Meaning: "Lines of one message that are written in each log.window. The rest is counted and told."},
		{Name: "log.window", Kind: Span, Default: "10s", Least: "100ms", Most: "1h", Live: true,
			Meaning: "Time in which log.burst lines of one message are written."},
	}
	for _, part := range Parts {
		keys = append(keys, Key{Name: PartLevel + part, Kind: Word, Words: levels, Live: true,
			Meaning: "Level of the lines of the part " + part + "; log.level where it is not told."})
	}
	return keys
}()

// Parts are the parts of the node whose lines may have a level of their own.
var Parts = []string{"node", "clients", "endpoints", "directory", "notices", "peers", "journal", "settings"}

func keyOf(name string) *Key {
	for i := range Keys {
		if Keys[i].Name == name {
			return &Keys[i]
		}
	}
	return nil
}

// Variable is the environment's name for a key.
func Variable(name string) string {
	return "JASPERSILL_" + strings.ToUpper(strings.ReplaceAll(name, ".", "_"))
}

// nearest tells the key that a wrong name comes closest to, or nothing where none is near.
func nearest(name string) string {
	best, least := "", len(name)/2+1
	for _, k := range Keys {
		if d := distance(name, k.Name); d < least {
			best, least = k.Name, d
		}
	}
	return best
}

// distance is the fewest letters to change, add or leave out that make one text of the other.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		before := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := before
			if a[i] != b[j] {
				change++
			}
			before, row[j+1] = row[j+1], min(change, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// Reference writes the table of all keys as Markdown.
func Reference(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString(strings.ReplaceAll(`# Configuration

This page is what ~jaspersill config reference~ prints.

The platform tells a node its addresses, limits and settings in the JSON file that RELAY_CONFIG names.
All else stands in a TOML file that ~--file~ or JASPERSILL_FILE names, as ~deploy/jaspersill.toml~.
Where several speak, the platform's file wins over the environment, the environment over the TOML file,
and that over the default. ~jaspersill check~ tells all that is wrong with a file, and ~jaspersill
config show~ what is in force and who said so.

At SIGHUP both files are read again. A bad file changes nothing. Of a good one the keys marked live are
put in force at once, all of them or none; the log names those that need a restart. The environment's
name for a key is JASPERSILL_ with the key in capitals, each dot an underscore: ~JASPERSILL_DRAIN_END~.
`, "~", "`"))
	table := ""
	for _, k := range Keys {
		if head, _, _ := strings.Cut(k.Name, "."); head != table {
			table = head
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | type | default | bounds | changes | meaning |\n"+
				"| --- | --- | --- | --- | --- | --- |\n", table)
		}
		bounds, value, when := "", k.Default, "at a restart"
		switch {
		case len(k.Words) > 0:
			bounds = strings.Join(k.Words, ", ")
		case k.Least != "":
			bounds = k.Least + " to " + k.Most
		}
		if value == "" {
			value = "none"
		}
		if k.Live {
			when = "live"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, k.Kind, value, bounds, when, k.Meaning)
	}
	_, err := w.Write(b.Bytes())
	return err
}
