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
		t.Errorf("a table that is also a list: %v", err)
	}
	text = strings.Replace(text, "[[drain]]", "", 1)
	_, err := Parse("a.toml", []byte(text), []string{"JASPERSILL_LOG_FORMAT=xml"})
	var faults Errors
	if !errors.As(err, &faults) {
		t.Fatalf("got %v", err)
	}
	want := []string{
		"a.toml:2: drain.dor: want drain.door, or another key",
		`a.toml:3: drain.choose: want a time with its unit in quotes, as "250ms", got 2`,
		`a.toml:4: drain.end: want a time with its unit in quotes, as "250ms", got "soon"`,
		`a.toml:6: log.level: want one of error, warning, info, debug, got "loud"`,
		`a.toml:7: log.burst: want a whole number, got "20"`,
		`a.toml:8: log.window: want 100ms to 1h, got "10ms"`,
		`a.toml:10: limits.memory: want a size with its unit`,
		`a.toml:11: limits.cores: want a number, got "nan"`,
		`a.toml:12: limits.disk.most: want limits.disk, or another key`,
		`a.toml:14: node.seed: want up to 16 hex digits, got "something else"`,
		`a.toml:15: node.listen: want "HOST:PORT", got "127.0.0.1"`,
		`environment: log.format: want one of text, json, got "xml"`,
	}
	if len(faults) != len(want) {
		t.Errorf("%d faults, want %d:\n%v", len(faults), len(want), err)
	}
	for i := range min(len(want), len(faults)) {
		if !strings.HasPrefix(faults[i].Error(), want[i]) {
			t.Errorf("got  %s\nwant %s", faults[i], want[i])
		}
	}
	if strings.Contains(err.Error(), "geheim") {
		t.Error("a secret is told")
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
		t.Errorf("a drain that ends before it begins: %v", err)
	}
}

func TestSourcePrecedence(t *testing.T) {
	text := []byte("[limits]\nmemory = \"64MiB\"\ndescriptors = 300\n[drain]\nend = \"9s\"\n[log.parts]\n")
	if _, err := Parse("a.toml", text, nil); err != nil { // an empty table of levels is none
		t.Error(err)
	}
	b, err := Parse("a.toml", text, []string{"JASPERSILL_DRAIN_END=8s", "JASPERSILL_LOG_PARTS_CLIENTS=debug"})
	if err != nil {
		t.Fatal(err)
	}
	over, err := b.WithPlatform("c.json", map[string]string{"limits.memory": "1000B"})
	if err != nil {
		t.Fatal(err)
	}
	if over.Bytes("limits.memory") != 1000 || over.Source("limits.memory") != "platform" ||
		b.Bytes("limits.memory") != 64<<20 || b.Source("limits.memory") != "a.toml:2" ||
		over.Duration("drain.end") != 8*time.Second || over.Source("drain.end") != "environment" ||
		over.Int("limits.descriptors") != 300 || over.Source("drain.door") != "default" ||
		over.Text("log.parts.clients") != "debug" {
		var all bytes.Buffer
		over.WriteTable(&all)
		t.Errorf("in force:\n%s", &all)
	}
	next, _ := Parse("a.toml", []byte("[drain]\nend = \"7s\"\n[limits]\nmemory = \"64MiB\"\n"), nil)
	live, restart := b.Diff(next)
	if strings.Join(live, " ") != "drain.end log.parts.clients" ||
		strings.Join(restart, " ") != "limits.descriptors" {
		t.Errorf("live %v, restart %v", live, restart)
	}
	if now := b.WithReloadable(next); now.Duration("drain.end") != 7*time.Second || now.Int("limits.descriptors") != 300 {
		t.Error("what needs a restart was put in force, or what does not was not")
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
		t.Error("docs/configuration.md: want what `jaspersill config reference` prints")
	}
	for _, k := range Keys { // a default outside of its bounds would be in force all the same
		if _, wrong := k.parse(k.Default); wrong != "" {
			t.Errorf("%s: default %q: want %s", k.Name, k.Default, wrong)
		}
	}
}
