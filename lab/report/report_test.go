package report

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/scenarios"
)

// Guards against results that are lost when they are written and read back, unescaped input in the page, and damaged or
// outdated result files that are accepted.
func TestWriteReadAndReject(t *testing.T) {
	sc, err := scenarios.Find("silence")
	if err != nil {
		t.Fatal(err)
	}
	sc.Length = scenario.Duration(20e9)
	var variants []runner.Variant
	for _, name := range []string{"once", "module", "informed", "module+deaf"} {
		s, err := runner.NewVariant(name, sc, 0)
		if err != nil {
			t.Fatal(err)
		}
		variants = append(variants, s)
	}
	results, err := runner.RunAll(context.Background(), variants, runner.Seeds(1, 2), true, nil)
	if err != nil {
		t.Fatal(err)
	}
	f, err := NewFile("compare", "a command <script>", sc)
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range variants {
		f.Add(s.Name, results[i])
	}
	f.Variants[0].ViolationCount, f.Notes = 1, append(f.Notes, "once: 1 broken rules; the first: <b>")
	f.ComputePositions()
	f.ComputeDifferences()
	folder := filepath.Join(t.TempDir(), "result")
	if err := f.Write(folder); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(folder, reportFile))
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(page, []byte("<script>")) || bytes.Contains(page, []byte("the first: <b>")) {
		t.Error("the page contains unescaped input")
	}
	if n := bytes.Count(page, []byte("<svg")); n < 8 || !bytes.Contains(page, []byte(`class="bad"`)) {
		t.Errorf("want at least 8 charts and a marked violation, got %d charts", n)
	}
	again, err := Read(folder)
	if err != nil || len(again.Variants) != 4 || again.Variants[2].Position != 1 ||
		len(again.Differences) != 3*len(metrics) {
		t.Fatalf("read back as %+v, %v", again, err)
	}
	if err := Regenerate(folder); err != nil {
		t.Fatal(err)
	}
	if list, err := FindResults(filepath.Dir(folder)); err != nil || len(list) != 1 {
		t.Errorf("%v, %v", list, err)
	}
	name := filepath.Join(folder, resultFile)
	text, _ := os.ReadFile(name)
	for _, c := range []struct{ old, new, want string }{
		{`"version": 1`, `"version": 2`, "version: want 1, got 2"},
		{"{", "[", resultFile},
	} {
		if err := os.WriteFile(name, bytes.Replace(text, []byte(c.old), []byte(c.new), 1), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(folder); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := FindResults(t.TempDir()); err == nil {
		t.Error("FindResults accepted a folder without a result")
	}
}
