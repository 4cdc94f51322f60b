package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommandExitCodesAndOutput(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		name = filepath.Join(folder, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	valid, invalid := write(
		"valid.toml",
		"[log]\nlevel = \"debug\"\n",
	), write(
		"invalid.toml",
		"[log]\nlevle = 1\n[drian]\nx = 1\n",
	)
	t.Setenv(platformFileEnv, "")
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{nil, exitUsage, "missing command"},
		{[]string{"--help"}, exitOK, "Exit codes"},
		{[]string{"srve"}, exitUsage, "did you mean serve?"},
		{[]string{"config", "sohw"}, exitUsage, "did you mean show?"},
		{[]string{"config"}, exitUsage, "missing command"},
		{[]string{"--flie", "x"}, exitUsage, "unknown flag"},
		{[]string{"check"}, exitUsage, "missing FILE"},
		{[]string{"check", valid}, exitOK, "/valid.toml: valid"},
		{[]string{"check", valid, invalid}, exitFailed, "invalid.toml:4: drian.x"},
		{[]string{"check", invalid}, exitFailed, "invalid.toml:2: log.levle: want log.level"},
		{[]string{"check", "../../example/config.json", "../../deploy/jaspersill.toml"},
			exitOK, "config.json: valid"},
		{[]string{"check", write("c.json", `{"settings":{"me":-1,"tick_ms":"x"}}`)},
			exitFailed, "settings: me: want"},
		{[]string{"check", "no such.toml"}, exitFailed, "no such.toml"},
		{[]string{"check", "../../go.mod"}, exitFailed, "ends in .json or .toml"},
		{[]string{"config", "show", "--file", valid}, exitOK, "/valid.toml:2"},
		{[]string{"config", "show", "--file", invalid}, exitFailed, "log.levle"},
		{[]string{"config", "reference"}, exitOK, "| `drain.end` |"},
		{[]string{"journal", "ls"}, exitUsage, "want one DIR"},
		{[]string{"journal", "ls", folder}, exitFailed, "file does not exist"},
		{[]string{"serve", "--file", "none.toml"}, exitFailed, "none.toml"},
		{[]string{"version"}, exitOK, "jaspersill"},
	} {
		var out bytes.Buffer
		if code := execute(c.args, &out, &out, nil); code != c.code ||
			!strings.Contains(out.String(), c.want) {
			t.Errorf("%v: exit code %d, want %d, and %q in:\n%s", c.args, code, c.code, c.want, &out)
		}
	}
}
