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

const childEnv = "JASPERSILL_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// receive waits for a value with a timeout well above the time needed on a slow machine.
func receive[T any](t *testing.T, what string, from <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(20 * time.Second):
		t.Fatalf("timeout: %s", what)
	}
	return got
}

func TestReloadMovesDirectoryWatch(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	configText := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(string(text), "127.0.0.1:0")
	name := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery, extra string) {
		t.Helper()
		text := strings.Replace(
			configText,
			`"discovery": "127.0.0.1:0"`,
			`"discovery": "`+discovery+`"`,
			1,
		) + extra
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	watched := make(chan string, 100)
	startDirectory := func() string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintln(w, `{"seq":7,"whole":true,"hosts":[]}`)
			w.(http.Flusher).Flush()
			watched <- r.Host + r.URL.String()
			<-r.Context().Done()
		}))
		t.Cleanup(s.Close)
		t.Cleanup(s.CloseClientConnections)
		return s.Listener.Addr().String()
	}
	first, second := startDirectory(), startDirectory()
	write(first, "")
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childEnv+"=1", "RELAY_CONFIG="+name, "RELAY_STATE="+t.TempDir())
	c.Stderr = io.Discard
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- c.Wait() }()
	defer c.Process.Kill()
	receive(t, "a watch at the first directory", watched)
	write(second, "}") // invalid JSON: nothing changes, and the process keeps running
	c.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	write(second, "")
	c.Process.Signal(syscall.SIGHUP)
	if got := receive(t, "a watch at the second directory", watched); !strings.HasSuffix(got, "?watch=1&from=7") {
		t.Errorf("request to the second directory: %q, want it to end in ?watch=1&from=7", got)
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := receive(t, "exit of the process", exited); err != nil {
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
	c.Env = append(os.Environ(), childEnv+"=1", "RELAY_CONFIG="+name, "RELAY_STATE="+t.TempDir())
	c.Stderr = io.Discard
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	file, err := os.OpenFile(name, os.O_WRONLY, 0) // returns once the process has opened it for reading
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		c.Process.Signal(syscall.SIGTERM)
	}
	file.Write(regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAll(text, []byte("127.0.0.1:0")))
	file.Close()
	exited := make(chan error, 1)
	go func() { exited <- c.Wait() }()
	if err := receive(t, "exit of the process", exited); err != nil {
		t.Errorf("the process did not exit cleanly: %v", err)
	}
}

func TestInvalidPlatformConfigIsReported(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	configText := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(string(text), "127.0.0.1:0")
	for _, c := range []struct{ old, new, want string }{
		{configText, "", "RELAY_CONFIG: "},
		{configText, "[]", "RELAY_CONFIG: "},
		{`"listen": "127.0.0.1:0"`, `"listen": ""`, "listen"},
		{`"listen": "127.0.0.1:0"`, `"listen": "127.0.0.1:port"`, "listen"},
		{`"8c1f30d27a5be964"`, `"no seed"`, "seed: "},
		{`"me": 0`, `"me": -1`, "settings: me: "},
		{`"hosts": []`, `"hosts": 5`, "known: "},
		{`"peer_listen": "127.0.0.1:0"`, `"peer_listen": "nowhere"`, "nowhere"},
	} {
		name := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(name, []byte(strings.Replace(configText, c.old, c.new, 1)), 0o600); err != nil {
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

// Guards against a start-up or reload that fails because a file is unreadable for a moment.
func TestTransientReadFailureIsRetried(t *testing.T) {
	failures := 3
	readFile = func(name string) ([]byte, error) {
		if failures--; failures >= 0 {
			return nil, &os.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
		}
		return []byte("{}"), nil
	}
	defer func() { readFile = os.ReadFile }()
	if _, _, err := readPlatform("x"); errors.Is(err, syscall.ENOSPC) {
		t.Error(err)
	}
}

// Guards against a process that exits with SIGPIPE because the reader of its log has exited.
func TestProcessSurvivesClosedLogPipe(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "config.json")
	configText := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAll(text, []byte("127.0.0.1:0"))
	if err := os.WriteFile(name, configText, 0o600); err != nil {
		t.Fatal(err)
	}
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childEnv+"=1", "RELAY_CONFIG="+name, "RELAY_STATE="+t.TempDir())
	c.Stderr = logWriter
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	logWriter.Close()
	bufio.NewReader(logReader).ReadString('\n') // the process has started logging
	logReader.Close()
	exited := make(chan error, 1)
	go func() { exited <- c.Wait() }()
	for range 5 {
		time.Sleep(50 * time.Millisecond)
		c.Process.Signal(syscall.SIGHUP) // each one logs a line
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := receive(t, "exit of the process", exited); err != nil {
		t.Errorf("the process did not exit cleanly: %v", err)
	}
}
