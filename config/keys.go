// Package config parses the operator's configuration of a delivery node, a TOML file and the environment, which
// complements the configuration from the platform. All keys are defined in one table, Keys. The package does not
// read files itself.
package config

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// Kind is the type of a key's value.
type Kind uint8

const (
	Text Kind = iota
	Enum
	Int
	Float
	Duration // with a unit
	Size     // bytes, with a unit
	Address  // HOST:PORT
)

func (k Kind) String() string {
	return [...]string{"string", "enum", "integer", "float", "duration", "size", "address"}[k]
}

// syntax describes how a value of this kind is written in the file.
func (k Kind) syntax() string {
	return [...]string{`a quoted string`, `a quoted string`, `an integer`, `a number`,
		`a quoted duration with a unit, such as "250ms"`, `a quoted size with a unit, such as "64KiB"`,
		`"HOST:PORT"`}[k]
}

// Key defines a configuration key. Bounds and default are written as in the file; optional keys have an empty
// default.
type Key struct {
	Name        string
	Kind        Kind
	Default     string
	Min, Max    string
	Allowed     []string
	Reloadable  bool // takes effect on SIGHUP; otherwise a restart is needed
	Description string
}

// PartLevelPrefix is the prefix of the keys that set the log level of one part of the node.
const PartLevelPrefix = "log.parts."

var logLevels = []string{"error", "warning", "info", "debug"}

// Keys lists all keys, in the order of the reference.
var Keys = func() []Key {
	keys := []Key{
		{Name: "node.name", Kind: Text, Description: "Name of the node, unchanged by a restart."},
		{Name: "node.listen", Kind: Address, Description: "Address on which the node accepts clients."},
		{Name: "node.directory", Kind: Address, Reloadable: true,
			Description: "Address of the directory, which also receives the outcome notices."},
		{Name: "node.state", Kind: Text, Description: "Folder for the persistent state."},
		{
			Name:        "node.seed",
			Kind:        Text,
			Description: "Seed of the random number generator, up to 16 hex digits; new at each start.",
		},

		{Name: "limits.cores", Kind: Float, Default: "0", Min: "0", Max: "1024",
			Description: "CPU cores that the node may use; 0 for all."},
		{Name: "limits.memory", Kind: Size, Default: "0B", Min: "0B", Max: "1TiB",
			Description: "Memory limit above which the platform kills the node; 0B for no limit."},
		{Name: "limits.heap_part", Kind: Float, Default: "0.6", Min: "0.1", Max: "0.95", Reloadable: true,
			Description: "Largest share of limits.memory for the Go runtime; code, sockets and files need the rest."},
		{Name: "limits.descriptors", Kind: Int, Default: "0", Min: "0", Max: "1048576",
			Description: "Maximum number of open file descriptors; 0 for 1024."},
		{Name: "limits.disk", Kind: Size, Default: "0B", Min: "0B", Max: "1TiB",
			Description: "Maximum size of node.state; 0B for 256MB."},

		{Name: "clients.first", Kind: Duration, Default: "2.5s", Min: "100ms", Max: "1m",
			Description: "Timeout from accepting a connection until its first request is complete."},
		{Name: "clients.whole", Kind: Duration, Default: "2s", Min: "100ms", Max: "1m",
			Description: "Timeout from the first byte of each later request until it is complete."},
		{Name: "clients.between", Kind: Duration, Default: "5s", Min: "100ms", Max: "1h",
			Description: "Idle timeout between two requests on a connection."},

		{Name: "directory.silence", Kind: Duration, Default: "2.5s", Min: "100ms", Max: "5m", Reloadable: true,
			Description: "Time without data after which a watch counts as broken. The directory sends something every 2 s."},
		{Name: "notices.within", Kind: Duration, Default: "250ms", Min: "10ms", Max: "30s", Reloadable: true,
			Description: "Timeout for the platform's response to a notice."},
		{Name: "notices.again", Kind: Duration, Default: "50ms", Min: "1ms", Max: "30s", Reloadable: true,
			Description: "Delay before a failed notice is retried."},

		{Name: "drain.door", Kind: Duration, Default: "600ms", Min: "0s", Max: "10m", Reloadable: true,
			Description: "Time from SIGTERM until idle client connections are closed."},
		{Name: "drain.choose", Kind: Duration, Default: "2s", Min: "0s", Max: "10m", Reloadable: true,
			Description: "Time from SIGTERM until scheduling stops and no more events are accepted."},
		{Name: "drain.end", Kind: Duration, Default: "3.4s", Min: "0s", Max: "10m", Reloadable: true,
			Description: "Time from SIGTERM until the node exits, even if calls are still in progress."},

		{Name: "log.format", Kind: Enum, Allowed: []string{"text", "json"}, Default: "text", Reloadable: true,
			Description: "Format of log lines."},
		{Name: "log.level", Kind: Enum, Allowed: logLevels, Default: "info", Reloadable: true,
			Description: "Least severe level that is logged."},
		{Name: "log.burst", Kind: Int, Default: "20", Min: "1", Max: "1000000", Reloadable: true,
			Description: "Maximum lines per message and log.window. Further lines are counted, and the count is logged."},
		{Name: "log.window", Kind: Duration, Default: "10s", Min: "100ms", Max: "1h", Reloadable: true,
			Description: "Window to which log.burst applies."},
	}
	for _, part := range LogParts {
		keys = append(keys, Key{Name: PartLevelPrefix + part, Kind: Enum, Allowed: logLevels, Reloadable: true,
			Description: "Log level of the part " + part + "; log.level if not set."})
	}
	return keys
}()

// LogParts lists the parts of the node that can have their own log level.
var LogParts = []string{"node", "clients", "endpoints", "directory", "notices", "peers", "journal", "settings"}

func findKey(name string) *Key {
	for i := range Keys {
		if Keys[i].Name == name {
			return &Keys[i]
		}
	}
	return nil
}

// EnvVar returns the name of the environment variable for a key.
func EnvVar(name string) string {
	return "JASPERSILL_" + strings.ToUpper(strings.ReplaceAll(name, ".", "_"))
}

// closestKey returns the key most similar to an unknown name, or "" if none is similar.
func closestKey(name string) string {
	best, bestDistance := "", len(name)/2+1
	for _, k := range Keys {
		if d := editDistance(name, k.Name); d < bestDistance {
			best, bestDistance = k.Name, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal, row[j+1] = row[j+1], min(substitution, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// WriteReference writes the reference page of all keys as Markdown.
func WriteReference(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString(strings.ReplaceAll(`# Configuration

This page is generated by ~jaspersill config reference~.

The platform supplies a node's addresses, limits and settings in the JSON file named by RELAY_CONFIG.
Everything else is set in a TOML file named by ~--file~ or JASPERSILL_FILE; ~deploy/jaspersill.toml~ is
an example. If a key is set in several places, the platform's file takes precedence over the environment,
the environment over the TOML file, and the TOML file over the default. ~jaspersill check~ reports all
errors in a file, and ~jaspersill config show~ prints the effective values and their sources.

On SIGHUP both files are read again. If either is invalid, nothing changes. Otherwise all changes to keys
marked live take effect at once; the log names the changed keys that need a restart. The environment
variable for a key is JASPERSILL_ followed by the key in capitals with underscores for dots, for example
~JASPERSILL_DRAIN_END~.
`, "~", "`"))
	table := ""
	for _, k := range Keys {
		if name, _, _ := strings.Cut(k.Name, "."); name != table {
			table = name
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | type | default | bounds | takes effect | description |\n"+
				"| --- | --- | --- | --- | --- | --- |\n", table)
		}
		bounds, value, takesEffect := "", k.Default, "at a restart"
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
			takesEffect = "live"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, k.Kind, value, bounds, takesEffect, k.Description)
	}
	_, err := w.Write(b.Bytes())
	return err
}
