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

// Error is one thing that is wrong with what was told.
type Error struct {
	File string
	Line int // 0 where there are no lines
	Key  string
	Want string
	Got  string
}

func (f Error) Error() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		at += ": " + f.Key
	}
	return fmt.Sprintf("%s: want %s, got %s", at, f.Want, f.Got)
}

// Errors is all that is wrong, in the order of the file.
type Errors []Error

func (f Errors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// value is what is in force for a key. number holds nanoseconds, bytes or the number itself.
type value struct {
	text   string
	number float64
	from   string // default, file:line, environment, platform
}

// Config holds what is in force for each key. It does not change once it was handed out.
type Config struct {
	values map[string]value
}

// Parse reads a file's text, checks it as a whole and lays the environment over it. The error is Faults, with
// everything that is wrong. An empty file name stands for no file.
func Parse(file string, text []byte, environ []string) (*Config, error) {
	b := &Config{values: make(map[string]value)}
	var faults Errors
	for _, k := range Keys {
		if k.Default != "" || k.Kind == Text || k.Kind == Address || k.Kind == Enum {
			v, _ := k.parse(k.Default)
			v.from = "default"
			b.values[k.Name] = v
		}
	}
	if file != "" {
		faults = b.readFile(file, text)
	}
	for _, k := range Keys {
		name := EnvVar(k.Name) + "="
		for _, pair := range environ {
			if got, ok := strings.CutPrefix(pair, name); ok {
				faults = b.set("environment", 0, k, got, "environment", faults)
			}
		}
	}
	if len(faults) == 0 {
		faults = b.agree(file)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return b, nil
}

// agree checks what must fit together.
func (b *Config) agree(file string) (faults Errors) {
	for _, pair := range [][2]string{{"drain.door", "drain.choose"}, {"drain.choose", "drain.end"}} {
		if b.Duration(pair[0]) > b.Duration(pair[1]) {
			faults = append(faults, Error{File: file, Key: pair[1],
				Want: fmt.Sprintf("no less than %s, which is %s", pair[0], b.Text(pair[0])),
				Got:  fmt.Sprintf("%s (%s)", b.Text(pair[1]), b.Source(pair[1]))})
		}
	}
	return faults
}

func (b *Config) readFile(file string, text []byte) (faults Errors) {
	var all map[string]any
	if err := toml.Unmarshal(text, &all); err != nil {
		f := Error{File: file, Want: "TOML", Got: err.Error()}
		var at *toml.DecodeError
		if errors.As(err, &at) {
			f.Line, _ = at.Position()
			f.Key = strings.Join(at.Key(), ".")
		}
		return Errors{f}
	}
	var p unstable.Parser
	p.Reset(text)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, _ = path(&p, nil, e)
			if e.Kind == unstable.ArrayTable {
				name, line := path(&p, nil, e)
				faults = append(
					faults,
					Error{file, line, strings.Join(name, "."), "a table", "a list of tables"},
				)
			}
		case unstable.KeyValue:
			faults = b.pair(&p, file, table, e, faults)
		}
	}
	return faults
}

// path is the whole name of an expression and its line.
func path(p *unstable.Parser, table []string, e *unstable.Node) (name []string, line int) {
	name = slices.Clone(table)
	for it := e.Key(); it.Next(); {
		n := it.Node()
		line = p.Shape(n.Raw).Start.Line
		name = append(name, string(n.Data))
	}
	return name, line
}

func (b *Config) pair(p *unstable.Parser, file string, table []string, e *unstable.Node, faults Errors) Errors {
	parts, line := path(p, table, e)
	v, name := e.Value(), strings.Join(parts, ".")
	if v.Kind == unstable.InlineTable {
		for it := v.Children(); it.Next(); {
			faults = b.pair(p, file, parts, it.Node(), faults)
		}
		return faults
	}
	k := keyOf(name)
	if k == nil {
		want := "a key of `jaspersill config reference`"
		if near := nearest(name); near != "" {
			want = near + ", or another key of `jaspersill config reference`"
		}
		return append(faults, Error{file, line, name, want, "no such key"})
	}
	got := string(v.Data)
	quoted := v.Kind == unstable.String
	if number := v.Kind == unstable.Integer || v.Kind == unstable.Float; (!quoted && !number) ||
		quoted == (k.Kind == Int || k.Kind == Float) {
		if quoted {
			got = strconv.Quote(got)
		}
		return append(faults, Error{file, line, name, k.Kind.form(), got})
	}
	return b.set(file, line, *k, got, file+":"+strconv.Itoa(line), faults)
}

func (b *Config) set(file string, line int, k Key, got, from string, faults Errors) Errors {
	v, want := k.parse(got)
	if want != "" {
		if k.Name == "node.seed" {
			got = "something else" // danger: who knows where chance starts knows where events go
		}
		return append(faults, Error{file, line, k.Name, want, strconv.Quote(got)})
	}
	v.from = from
	b.values[k.Name] = v
	return faults
}

// parse reads a value as it stands in the file; want tells what it should have been.
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
		v.number, err = number(k.Kind, strings.ReplaceAll(text, "_", ""))
	}
	if err != nil {
		return v, k.Kind.form()
	}
	if k.Min != "" {
		least, _ := number(k.Kind, k.Min)
		most, _ := number(k.Kind, k.Max)
		if v.number < least || v.number > most {
			return v, k.Min + " to " + k.Max
		}
	}
	return v, ""
}

var errUnit = errors.New("a unit is missing")

func number(kind Kind, text string) (float64, error) {
	switch kind {
	case Duration:
		d, err := time.ParseDuration(text)
		return float64(d), err
	case Size:
		if text == "" || text[len(text)-1] <= '9' {
			return 0, errUnit
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

// WithPlatform is the book with what the platform tells laid over it, by key, written as in the file. An empty text
// stands for nothing told.
func (b *Config) WithPlatform(by string, told map[string]string) (*Config, error) {
	over := &Config{values: make(map[string]value, len(b.values))}
	for name, v := range b.values {
		over.values[name] = v
	}
	var faults Errors
	for _, k := range Keys {
		if text := told[k.Name]; text != "" {
			faults = over.set(by, 0, k, text, "platform", faults)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return over, nil
}

// Duration is a time in force; it is for keys of that kind, as are the methods below for theirs.
func (b *Config) Duration(name string) time.Duration { return time.Duration(b.values[name].number) }

// Bytes is a size in force.
func (b *Config) Bytes(name string) int64 { return int64(b.values[name].number) }

// Int is a whole number in force.
func (b *Config) Int(name string) int { return int(b.values[name].number) }

// Float is a number in force.
func (b *Config) Float(name string) float64 { return b.values[name].number }

// Text is what is in force as it was written, of any kind.
func (b *Config) Text(name string) string { return b.values[name].text }

// Source tells who said what is in force: default, environment, platform, or a file and line.
func (b *Config) Source(name string) string { return b.values[name].from }

// Diff tells the keys in which two books differ, those that may change under way and those that may not.
func (b *Config) Diff(next *Config) (live, restart []string) {
	for _, k := range Keys {
		if k.Name == "node.seed" || b.values[k.Name].text == next.values[k.Name].text {
			continue // the platform tells a new seed each time; it is for the next start
		}
		if k.Reloadable {
			live = append(live, k.Name)
		} else {
			restart = append(restart, k.Name)
		}
	}
	return live, restart
}

// WriteTable writes what is in force, with who said so.
func (b *Config) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, k := range Keys {
		text := b.Text(k.Name)
		switch {
		case text == "":
			text = "-"
		case k.Name == "node.seed":
			text = "(told)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", k.Name, text, k.Kind, b.Source(k.Name))
	}
	return t.Flush()
}

// WithReloadable is the book with another's live keys: what is in force after those were applied.
func (b *Config) WithReloadable(next *Config) *Config {
	now := &Config{values: make(map[string]value, len(b.values))}
	for _, k := range Keys {
		from := b
		if k.Reloadable {
			from = next
		}
		if v, ok := from.values[k.Name]; ok {
			now.values[k.Name] = v
		}
	}
	return now
}
