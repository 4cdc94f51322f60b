// Package house reads what the operators of an installation tell a delivery node beyond what the platform
// tells: a TOML file and the environment. Every key stands in one table, Keys. It does no I/O.
package config

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// Kind is what a key's value is.
type Kind uint8

const (
	Text     Kind = iota
	Enum          // one of a few words
	Int           // a whole number
	Float         // a number with decimals
	Duration      // a time, with its unit
	Size          // bytes, with their unit
	Address       // HOST:PORT
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
	Min, Max    string
	Allowed     []string
	Reloadable  bool // may change at SIGHUP; else it needs a restart
	Description string
}

// PartLevelPrefix begins the names of the keys that give one part's lines a level of their own.
const PartLevelPrefix = "log.parts."

var levels = []string{"error", "warning", "info", "debug"}

// Keys is the table of all keys, in the order of the reference.
var Keys = func() []Key {
	keys := []Key{
		{Name: "node.name", Kind: Text, Description: "The node's name, the same after a restart."},
		{Name: "node.listen", Kind: Address, Description: "Where clients connect."},
		{Name: "node.directory", Kind: Address, Reloadable: true,
			Description: "The partner directory, which takes the notices too."},
		{Name: "node.state", Kind: Text, Description: "The folder that outlasts the process."},
		{
			Name:        "node.seed",
			Kind:        Text,
			Description: "Up to 16 hex digits from which chance starts; new at each start.",
		},

		{Name: "limits.cores", Kind: Float, Default: "0", Min: "0", Max: "1024",
			Description: "Cores that the node may use; 0 for all."},
		{Name: "limits.memory", Kind: Size, Default: "0B", Min: "0B", Max: "1TiB",
			Description: "Memory over which the platform kills the node; 0B for none."},
		{Name: "limits.heap_part", Kind: Float, Default: "0.6", Min: "0.1", Max: "0.95", Reloadable: true,
			Description: "Part of limits.memory that the heap may fill: stacks, sockets and files need the rest."},
		{Name: "limits.descriptors", Kind: Int, Default: "0", Min: "0", Max: "1048576",
			Description: "File descriptors that the node may hold; 0 for 1024."},
		{Name: "limits.disk", Kind: Size, Default: "0B", Min: "0B", Max: "1TiB",
			Description: "Bytes that may stand in node.state; 0B for 256MB."},

		{Name: "clients.first", Kind: Duration, Default: "2.5s", Min: "100ms", Max: "1m",
			Description: "Time from a connection until its first request is whole."},
		{Name: "clients.whole", Kind: Duration, Default: "2s", Min: "100ms", Max: "1m",
			Description: "Time from the first byte of each later request until it is whole."},
		{Name: "clients.between", Kind: Duration, Default: "5s", Min: "100ms", Max: "1h",
			Description: "Longest time between two requests on a connection."},

		{Name: "directory.silence", Kind: Duration, Default: "2.5s", Min: "100ms", Max: "5m", Reloadable: true,
			Description: "A watch without a sign of life for so long is broken. The directory shows one every 2 s."},
		{Name: "notices.within", Kind: Duration, Default: "250ms", Min: "10ms", Max: "30s", Reloadable: true,
			Description: "Time that the platform has to answer a notice."},
		{Name: "notices.again", Kind: Duration, Default: "50ms", Min: "1ms", Max: "30s", Reloadable: true,
			Description: "Time until a notice that failed is told again."},

		{Name: "drain.door", Kind: Duration, Default: "600ms", Min: "0s", Max: "10m", Reloadable: true,
			Description: "From SIGTERM until connections between requests are closed."},
		{Name: "drain.choose", Kind: Duration, Default: "2s", Min: "0s", Max: "10m", Reloadable: true,
			Description: "From SIGTERM until nothing more is decided or taken on."},
		{Name: "drain.end", Kind: Duration, Default: "3.4s", Min: "0s", Max: "10m", Reloadable: true,
			Description: "From SIGTERM until the node exits, whatever is still out."},

		{Name: "log.format", Kind: Enum, Allowed: []string{"text", "json"}, Default: "text", Reloadable: true,
			Description: "How lines are written."},
		{Name: "log.level", Kind: Enum, Allowed: levels, Default: "info", Reloadable: true,
			Description: "Lines of less weight are not written."},
		{Name: "log.burst", Kind: Int, Default: "20", Min: "1", Max: "1000000", Reloadable: true,
			Description: "Lines of one message that are written in each log.window. The rest is counted and told."},
		{Name: "log.window", Kind: Duration, Default: "10s", Min: "100ms", Max: "1h", Reloadable: true,
			Description: "Time in which log.burst lines of one message are written."},
	}
	for _, part := range LogParts {
		keys = append(keys, Key{Name: PartLevelPrefix + part, Kind: Enum, Allowed: levels, Reloadable: true,
			Description: "Level of the lines of the part " + part + "; log.level where it is not told."})
	}
	return keys
}()

// LogParts are the parts of the node whose lines may have a level of their own.
var LogParts = []string{"node", "clients", "endpoints", "directory", "notices", "peers", "journal", "settings"}

func keyOf(name string) *Key {
	for i := range Keys {
		if Keys[i].Name == name {
			return &Keys[i]
		}
	}
	return nil
}

// EnvVar is the environment's name for a key.
func EnvVar(name string) string {
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

// WriteReference writes the table of all keys as Markdown.
func WriteReference(w io.Writer) error {
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
		case len(k.Allowed) > 0:
			bounds = strings.Join(k.Allowed, ", ")
		case k.Min != "":
			bounds = k.Min + " to " + k.Max
		}
		if value == "" {
			value = "none"
		}
		if k.Reloadable {
			when = "live"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, k.Kind, value, bounds, when, k.Description)
	}
	_, err := w.Write(b.Bytes())
	return err
}
