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
	file := func(name, text string) string {
		name = filepath.Join(folder, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	good, bad := file(
		"good.toml",
		"[log]\nlevel = \"debug\"\n",
	), file(
		"bad.toml",
		"[log]\nlevle = 1\n[drian]\nx = 1\n",
	)
	t.Setenv(platformFile, "")
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{nil, exitUsage, "a command is needed"},
		{[]string{"--help"}, exitGood, "Exit codes"},
		{[]string{"srve"}, exitUsage, "did you mean serve?"},
		{[]string{"config", "sohw"}, exitUsage, "did you mean show?"},
		{[]string{"config"}, exitUsage, "a command is needed"},
		{[]string{"--flie", "x"}, exitUsage, "unknown flag"},
		{[]string{"check"}, exitUsage, "FILE is missing"},
		{[]string{"check", good}, exitGood, "good.toml: good"},
		{[]string{"check", good, bad}, exitFailed, "bad.toml:4: drian.x"},
		{[]string{"check", bad}, exitFailed, "bad.toml:2: log.levle: want log.level"},
		{[]string{"check", "../../example/config.json", "../../deploy/jaspersill.toml"},
			exitGood, "config.json: good"},
		{[]string{"check", file("c.json", `{"settings":{"me":-1,"tick_ms":"x"}}`)},
			exitFailed, "settings: me: want"},
		{[]string{"check", "no such.toml"}, exitFailed, "no such.toml"},
		{[]string{"check", "../../go.mod"}, exitFailed, "ends in .json or .toml"},
		{[]string{"config", "show", "--file", good}, exitGood, "good.toml:2"},
		{[]string{"config", "show", "--file", bad}, exitFailed, "log.levle"},
		{[]string{"config", "reference"}, exitGood, "| `drain.end` |"},
		{[]string{"journal", "ls"}, exitUsage, "want one DIR"},
		{[]string{"journal", "ls", folder}, exitFailed, "file does not exist"},
		{[]string{"serve", "--file", "none.toml"}, exitFailed, "none.toml"},
		{[]string{"version"}, exitGood, "jaspersill"},
	} {
		var out bytes.Buffer
		if code := execute(c.args, &out, &out, nil); code != c.code ||
			!strings.Contains(out.String(), c.want) {
			t.Errorf("%v: exit code %d, want %d, and %q in:\n%s", c.args, code, c.code, c.want, &out)
		}
	}
}
