package config

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

func TestAllErrorsReportedAtOnce(t *testing.T) {
	text := `[drain]
dor = "1s"
choose = 2
end = "soon"
[log]
level = "loud"
burst = "20"
window = "10ms"
[limits]
memory = "64"
cores = nan
disk = { most = "3MB" }
[node]
seed = "geheim"
listen = "127.0.0.1"
[[drain]]
`
	if _, err := Parse("a.toml", []byte(text), nil); err == nil ||
		!strings.Contains(err.Error(), "a.toml:16") {
		t.Errorf("[drain] is a table and an array of tables: got %v, want an error at a.toml:16", err)
	}
	text = strings.Replace(text, "[[drain]]", "", 1)
	_, err := Parse("a.toml", []byte(text), []string{"JASPERSILL_LOG_FORMAT=xml"})
	var errs Errors
	if !errors.As(err, &errs) {
		t.Fatalf("got %v, want Errors", err)
	}
	want := []string{
		"a.toml:2: drain.dor: want drain.door, or another key",
		`a.toml:3: drain.choose: want a quoted duration with a unit, such as "250ms", got 2`,
		`a.toml:4: drain.end: want a quoted duration with a unit, such as "250ms", got "soon"`,
		`a.toml:6: log.level: want one of error, warning, info, debug, got "loud"`,
		`a.toml:7: log.burst: want an integer, got "20"`,
		`a.toml:8: log.window: want 100ms to 1h, got "10ms"`,
		`a.toml:10: limits.memory: want a quoted size with a unit`,
		`a.toml:11: limits.cores: want a number, got "nan"`,
		`a.toml:12: limits.disk.most: want limits.disk, or another key`,
		`a.toml:14: node.seed: want up to 16 hex digits, got "(hidden)"`,
		`a.toml:15: node.listen: want "HOST:PORT", got "127.0.0.1"`,
		`environment: log.format: want one of text, json, got "xml"`,
	}
	if len(errs) != len(want) {
		t.Errorf("%d errors, want %d:\n%v", len(errs), len(want), err)
	}
	for i := range min(len(want), len(errs)) {
		if !strings.HasPrefix(errs[i].Error(), want[i]) {
			t.Errorf("got  %s\nwant %s", errs[i], want[i])
		}
	}
	if strings.Contains(err.Error(), "geheim") {
		t.Error("the error reveals the seed")
	}
}

func TestSyntaxErrorHasLineNumber(t *testing.T) {
	for _, text := range []string{
		"[log]\nlevel = \"info", "[log]\nlevel = \"info\"\nlevel = \"info\"", "\n[log",
	} {
		if _, err := Parse("a.toml", []byte(text), nil); err == nil ||
			!strings.HasPrefix(err.Error(), "a.toml:") {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := Parse("a.toml", []byte("[drain]\nchoose = \"5s\""), nil); err == nil ||
		!strings.Contains(err.Error(), "no less than drain.choose") {
		t.Errorf("drain.end less than drain.choose: got %v", err)
	}
}

func TestSourcePrecedence(t *testing.T) {
	text := []byte("[limits]\nmemory = \"64MiB\"\ndescriptors = 300\n[drain]\nend = \"9s\"\n[log.parts]\n")
	if _, err := Parse("a.toml", text, nil); err != nil { // the empty [log.parts] is valid
		t.Error(err)
	}
	c, err := Parse("a.toml", text, []string{"JASPERSILL_DRAIN_END=8s", "JASPERSILL_LOG_PARTS_CLIENTS=debug"})
	if err != nil {
		t.Fatal(err)
	}
	result, err := c.WithPlatform("c.json", map[string]string{"limits.memory": "1000B"})
	if err != nil {
		t.Fatal(err)
	}
	if result.Bytes("limits.memory") != 1000 || result.Source("limits.memory") != "platform" ||
		c.Bytes("limits.memory") != 64<<20 || c.Source("limits.memory") != "a.toml:2" ||
		result.Duration("drain.end") != 8*time.Second || result.Source("drain.end") != "environment" ||
		result.Int("limits.descriptors") != 300 || result.Source("drain.door") != "default" ||
		result.Text("log.parts.clients") != "debug" {
		var table bytes.Buffer
		result.WriteTable(&table)
		t.Errorf("effective values:\n%s", &table)
	}
	next, _ := Parse("a.toml", []byte("[drain]\nend = \"7s\"\n[limits]\nmemory = \"64MiB\"\n"), nil)
	live, restart := c.Diff(next)
	if strings.Join(live, " ") != "drain.end log.parts.clients" ||
		strings.Join(restart, " ") != "limits.descriptors" {
		t.Errorf("live %v, restart %v", live, restart)
	}
	if reloaded := c.WithReloadable(next); reloaded.Duration("drain.end") != 7*time.Second ||
		reloaded.Int("limits.descriptors") != 300 {
		t.Error("after a reload drain.end is not the new value, or limits.descriptors is not the old one")
	}
}

func TestReferencePageMatchesKeys(t *testing.T) {
	page, err := os.ReadFile("../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	WriteReference(&want)
	if !bytes.Equal(page, want.Bytes()) {
		t.Error("docs/configuration.md: want the output of `jaspersill config reference`")
	}
	for _, k := range Keys { // Parse does not report a default that is out of bounds
		if _, want := k.parse(k.Default); want != "" {
			t.Errorf("%s: default %q: want %s", k.Name, k.Default, want)
		}
	}
}
