package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"jaspersill/logs"
)

const child = "JASPERSILL_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(child) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// wait gives what must happen far longer than it takes anywhere.
func wait[T any](t *testing.T, what string, from <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(20 * time.Second):
		t.Fatalf("never: %s", what)
	}
	return got
}

func TestReloadMovesDirectoryWatch(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	whole := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(string(text), "127.0.0.1:0")
	name := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery, extra string) {
		t.Helper()
		text := strings.Replace(
			whole,
			`"discovery": "127.0.0.1:0"`,
			`"discovery": "`+discovery+`"`,
			1,
		) + extra
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	asked := make(chan string, 100)
	open := func() string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintln(w, `{"seq":7,"whole":true,"hosts":[]}`)
			w.(http.Flusher).Flush()
			asked <- r.Host + r.URL.String()
			<-r.Context().Done()
		}))
		t.Cleanup(s.Close)
		t.Cleanup(s.CloseClientConnections)
		return s.Listener.Addr().String()
	}
	first, second := open(), open()
	write(first, "")
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), child+"=1", "RELAY_CONFIG="+name, "RELAY_STATE="+t.TempDir())
	c.Stderr = io.Discard
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	defer c.Process.Kill()
	wait(t, "it watches the first", asked)
	write(second, "}") // no JSON: nothing changes, and the process lives
	c.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	write(second, "")
	c.Process.Signal(syscall.SIGHUP)
	if got := wait(t, "it watches the second", asked); !strings.HasSuffix(got, "?watch=1&from=7") {
		t.Errorf("asked the second for %q", got)
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := wait(t, "it ends", ended); err != nil {
		t.Error(err)
	}
}

func TestSigtermDuringStartupExitsCleanly(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(name, 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), child+"=1", "RELAY_CONFIG="+name, "RELAY_STATE="+t.TempDir())
	c.Stderr = io.Discard
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	file, err := os.OpenFile(name, os.O_WRONLY, 0) // returns once it is being read
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		c.Process.Signal(syscall.SIGTERM)
	}
	file.Write(regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAll(text, []byte("127.0.0.1:0")))
	file.Close()
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	if err := wait(t, "it ends", ended); err != nil {
		t.Errorf("it did not end in order: %v", err)
	}
}

func TestInvalidPlatformConfigIsReported(t *testing.T) {
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
		if err := serve(logs.New(), "", nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.new, err, c.want)
		}
	}
	t.Setenv("RELAY_CONFIG", "no such file")
	if err := serve(logs.New(), "", nil); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no file: %v", err)
	}
}

// Guards against a start, or a reload, that ends because a file cannot be read for a moment.
func TestTransientReadFailureIsRetried(t *testing.T) {
	fails := 3
	readFile = func(name string) ([]byte, error) {
		if fails--; fails >= 0 {
			return nil, &os.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
		}
		return []byte("{}"), nil
	}
	defer func() { readFile = os.ReadFile }()
	if _, _, err := readPlatform("x"); errors.Is(err, syscall.ENOSPC) {
		t.Error(err)
	}
}

// Guards against a process that ends because whoever reads its log lines has gone away.
func TestProcessSurvivesClosedLogPipe(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "config.json")
	whole := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAll(text, []byte("127.0.0.1:0"))
	if err := os.WriteFile(name, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	lines, end, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), child+"=1", "RELAY_CONFIG="+name, "RELAY_STATE="+t.TempDir())
	c.Stderr = end
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	end.Close()
	bufio.NewReader(lines).ReadString('\n') // it has begun to write them
	lines.Close()
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	for range 5 {
		time.Sleep(50 * time.Millisecond)
		c.Process.Signal(syscall.SIGHUP) // each is worth a line
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := wait(t, "it ends", ended); err != nil {
		t.Errorf("it did not end in order: %v", err)
	}
}
