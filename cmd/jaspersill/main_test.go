package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

func TestBadStartsEndWithAMessage(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	whole := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(string(text), "127.0.0.1:0")
	for _, c := range []struct{ old, new, want string }{
		{whole, "", "RELAY_CONFIG: "},
		{whole, "[]", "RELAY_CONFIG: "},
		{`"listen": "127.0.0.1:0"`, `"listen": ""`, "listen"},
		{`"listen": "127.0.0.1:0"`, `"listen": "127.0.0.1:port"`, "listen"},
		{`"8c1f30d27a5be964"`, `"no seed"`, "seed: "},
		{`"me": 0`, `"me": -1`, "settings: me: "},
		{`"hosts": []`, `"hosts": 5`, "known: "},
		{`"peer_listen": "127.0.0.1:0"`, `"peer_listen": "nowhere"`, "nowhere"},
	} {
		name := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(name, []byte(strings.Replace(whole, c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("RELAY_CONFIG", name)
		t.Setenv("RELAY_STATE", t.TempDir())
		if err := run(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.new, err, c.want)
		}
	}
	t.Setenv("RELAY_CONFIG", "no such file")
	if err := run(); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no file: %v", err)
	}
}
