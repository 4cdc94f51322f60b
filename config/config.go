package config

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/units"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error describes one invalid value or key.
type Error struct {
	File string // or another source, such as "environment"
	Line int    // 0 if the source has no lines
	Key  string
	Want string
	Got  string
}

func (e Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		location += ": " + e.Key
	}
	return fmt.Sprintf("%s: want %s, got %s", location, e.Want, e.Got)
}

// Errors lists every error found, in file order.
type Errors []Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// value is the effective value of a key. number is in nanoseconds for durations and in bytes for sizes.
type value struct {
	text   string
	number float64
	source string // default, file:line, environment, platform
}

// Config holds the effective value of each key. It is immutable once returned.
type Config struct {
	values map[string]value
}

// Parse parses the text of a TOML file, applies overrides from the environment and validates the result. On failure
// it returns Errors with every error found. An empty file name means that there is no file.
func Parse(file string, text []byte, environ []string) (*Config, error) {
	c := &Config{values: make(map[string]value)}
	var errs Errors
	for _, k := range Keys {
		if k.Default != "" || k.Kind == Text || k.Kind == Address || k.Kind == Enum {
			v, _ := k.parse(k.Default)
			v.source = "default"
			c.values[k.Name] = v
		}
	}
	if file != "" {
		errs = c.parseFile(file, text)
	}
	for _, k := range Keys {
		name := EnvVar(k.Name) + "="
		for _, variable := range environ {
			if got, ok := strings.CutPrefix(variable, name); ok {
				errs = c.set("environment", 0, k, got, "environment", errs)
			}
		}
	}
	if len(errs) == 0 {
		errs = c.checkConsistency(file)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return c, nil
}

// checkConsistency validates the keys that depend on each other.
func (c *Config) checkConsistency(file string) (errs Errors) {
	for _, pair := range [][2]string{{"drain.door", "drain.choose"}, {"drain.choose", "drain.end"}} {
		if c.Duration(pair[0]) > c.Duration(pair[1]) {
			errs = append(errs, Error{File: file, Key: pair[1],
				Want: fmt.Sprintf("no less than %s, which is %s", pair[0], c.Text(pair[0])),
				Got:  fmt.Sprintf("%s (%s)", c.Text(pair[1]), c.Source(pair[1]))})
		}
	}
	return errs
}

func (c *Config) parseFile(file string, text []byte) (errs Errors) {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		e := Error{File: file, Want: "TOML", Got: err.Error()}
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			e.Line, _ = decodeErr.Position()
			e.Key = strings.Join(decodeErr.Key(), ".")
		}
		return Errors{e}
	}
	var p unstable.Parser
	p.Reset(text)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, _ = keyPath(&p, nil, e)
			if e.Kind == unstable.ArrayTable {
				name, line := keyPath(&p, nil, e)
				errs = append(
					errs,
					Error{file, line, strings.Join(name, "."), "a table", "an array of tables"},
				)
			}
		case unstable.KeyValue:
			errs = c.parsePair(&p, file, table, e, errs)
		}
	}
	return errs
}

// keyPath returns the full name of an expression's key and its line.
func keyPath(p *unstable.Parser, table []string, e *unstable.Node) (name []string, line int) {
	name = slices.Clone(table)
	for it := e.Key(); it.Next(); {
		n := it.Node()
		line = p.Shape(n.Raw).Start.Line
		name = append(name, string(n.Data))
	}
	return name, line
}

func (c *Config) parsePair(p *unstable.Parser, file string, table []string, e *unstable.Node, errs Errors) Errors {
	parts, line := keyPath(p, table, e)
	v, name := e.Value(), strings.Join(parts, ".")
	if v.Kind == unstable.InlineTable {
		for it := v.Children(); it.Next(); {
			errs = c.parsePair(p, file, parts, it.Node(), errs)
		}
		return errs
	}
	k := findKey(name)
	if k == nil {
		want := "a key of `jaspersill config reference`"
		if similar := closestKey(name); similar != "" {
			want = similar + ", or another key of `jaspersill config reference`"
		}
		return append(errs, Error{file, line, name, want, "an unknown key"})
	}
	got := string(v.Data)
	quoted := v.Kind == unstable.String
	if number := v.Kind == unstable.Integer || v.Kind == unstable.Float; (!quoted && !number) ||
		quoted == (k.Kind == Int || k.Kind == Float) {
		if quoted {
			got = strconv.Quote(got)
		}
		return append(errs, Error{file, line, name, k.Kind.syntax(), got})
	}
	return c.set(file, line, *k, got, file+":"+strconv.Itoa(line), errs)
}

func (c *Config) set(file string, line int, k Key, got, source string, errs Errors) Errors {
	v, want := k.parse(got)
	if want != "" {
		if k.Name == "node.seed" {
			got = "(hidden)" // with the seed, the choice of endpoints could be predicted
		}
		return append(errs, Error{file, line, k.Name, want, strconv.Quote(got)})
	}
	v.source = source
	c.values[k.Name] = v
	return errs
}

// parse parses a value as written in the file. If it is invalid, want describes a valid one.
func (k Key) parse(text string) (v value, want string) {
	v.text = text
	if text == "" && k.Default == "" {
		return v, ""
	}
	var err error
	switch k.Kind {
	case Enum:
		if !slices.Contains(k.Allowed, text) {
			return v, "one of " + strings.Join(k.Allowed, ", ")
		}
	case Address:
		var port string
		if _, port, err = net.SplitHostPort(text); err == nil {
			_, err = strconv.ParseUint(port, 10, 16)
		}
	case Text:
		if k.Name == "node.seed" {
			_, err = strconv.ParseUint(text, 16, 64)
			if err != nil {
				return v, "up to 16 hex digits"
			}
		}
	default:
		v.number, err = parseNumber(k.Kind, strings.ReplaceAll(text, "_", ""))
	}
	if err != nil {
		return v, k.Kind.syntax()
	}
	if k.Min != "" {
		lower, _ := parseNumber(k.Kind, k.Min)
		upper, _ := parseNumber(k.Kind, k.Max)
		if v.number < lower || v.number > upper {
			return v, k.Min + " to " + k.Max
		}
	}
	return v, ""
}

var errMissingUnit = errors.New("missing unit")

func parseNumber(kind Kind, text string) (float64, error) {
	switch kind {
	case Duration:
		d, err := time.ParseDuration(text)
		return float64(d), err
	case Size:
		if text == "" || text[len(text)-1] <= '9' {
			return 0, errMissingUnit
		}
		n, err := units.ParseStrictBytes(text)
		return float64(n), err
	case Int:
		n, err := strconv.ParseInt(text, 0, 64)
		return float64(n), err
	}
	f, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(f) || math.IsInf(f, 0)) {
		err = strconv.ErrRange
	}
	return f, err
}

// WithPlatform returns a copy of the configuration with the platform's values applied. They are given by key and
// written as in the file; empty ones are ignored. file is named in errors.
func (c *Config) WithPlatform(file string, overrides map[string]string) (*Config, error) {
	result := &Config{values: make(map[string]value, len(c.values))}
	for name, v := range c.values {
		result.values[name] = v
	}
	var errs Errors
	for _, k := range Keys {
		if text := overrides[k.Name]; text != "" {
			errs = result.set(file, 0, k, text, "platform", errs)
		}
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return result, nil
}

// Duration returns the value of a key of kind Duration.
func (c *Config) Duration(name string) time.Duration { return time.Duration(c.values[name].number) }

// Bytes returns the value of a key of kind Size.
func (c *Config) Bytes(name string) int64 { return int64(c.values[name].number) }

// Int returns the value of a key of kind Int.
func (c *Config) Int(name string) int { return int(c.values[name].number) }

// Float returns the value of a key of kind Float.
func (c *Config) Float(name string) float64 { return c.values[name].number }

// Text returns the value of a key of any kind, as written.
func (c *Config) Text(name string) string { return c.values[name].text }

// Source returns where the value of a key comes from: default, environment, platform, or a file and line.
func (c *Config) Source(name string) string { return c.values[name].source }

// Diff returns the keys whose values differ in next, split into those that can change at run time and those that
// need a restart.
func (c *Config) Diff(next *Config) (live, restart []string) {
	for _, k := range Keys {
		if k.Name == "node.seed" || c.values[k.Name].text == next.values[k.Name].text {
			continue // the platform supplies a new seed each time; it is only used at start-up
		}
		if k.Reloadable {
			live = append(live, k.Name)
		} else {
			restart = append(restart, k.Name)
		}
	}
	return live, restart
}

// WriteTable writes the effective value of each key with its type and source. The seed is not shown.
func (c *Config) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, k := range Keys {
		text := c.Text(k.Name)
		switch {
		case text == "":
			text = "-"
		case k.Name == "node.seed":
			text = "(hidden)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", k.Name, text, k.Kind, c.Source(k.Name))
	}
	return table.Flush()
}

// WithReloadable returns a copy with the reloadable keys of next: the effective configuration after a reload.
func (c *Config) WithReloadable(next *Config) *Config {
	result := &Config{values: make(map[string]value, len(c.values))}
	for _, k := range Keys {
		source := c
		if k.Reloadable {
			source = next
		}
		if v, ok := source.values[k.Name]; ok {
			result.values[k.Name] = v
		}
	}
	return result
}
