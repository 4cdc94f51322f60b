package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"jaspersill/lab/checker"
	"jaspersill/lab/scenario"
	"jaspersill/lab/scenarios"
	"jaspersill/lab/workload"
)

var nodeProgram string

// TestMain builds the delivery node that the days are played with.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "lab-")
	if err == nil {
		nodeProgram = filepath.Join(folder, "jaspersill")
		var out []byte
		build := exec.Command("go", "build", "-o", nodeProgram, "jaspersill/cmd/jaspersill")
		if out, err = build.CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

func loadScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	name := filepath.Join(t.TempDir(), "day.toml")
	if err := os.WriteFile(name, []byte("like = \"farm\"\nname = \"day\"\n"+text), 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := scenarios.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// runScenario plays a day with real nodes.
func runScenario(t *testing.T, d *scenario.Scenario) checker.Summary {
	t.Helper()
	s, err := Open(d, 3, 0, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	n, err := ConfigureNodes(s, t.TempDir(), "", 0, 1)
	if err == nil {
		err = n.Start(context.Background(), nodeProgram)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	return s.Run(context.Background(), n, workload.NewGenerator(d, 3), 3)
}

const shortScenario = `
length = "7s"
[fleet]
nodes = 2
directory = "500ms"
restart = "300ms"
[[type]]
name = "status"
safety = "idempotent"
rate = 40
work = "30ms"
slo = "1s"
max_age = "3s"
utility = 1
[[type]]
name = "charge"
safety = "non-idempotent"
rate = 20
work = "30ms"
slo = "1s"
max_age = "3s"
utility = 2
late_utility = 0.5
`

func TestNodesKeepRulesUnderFaults(t *testing.T) {
	d := loadScenario(t, shortScenario+`
[[trouble]]
kind = "kill"
at = "1500ms"
node = 1
[[trouble]]
kind = "drain"
at = "3500ms"
node = 2
[[trouble]]
kind = "lose"
at = "500ms"
for = "6s"
destinations = 6
share = 0.1
[[trouble]]
kind = "refuse"
at = "1s"
for = "1s"
destinations = 2
[[trouble]]
kind = "silent"
at = "3s"
for = "1s"
destinations = 1
[[trouble]]
kind = "replace"
at = "2s"
destinations = 3
[[trouble]]
kind = "spoil"
at = "1s"
for = "5s"
destinations = 4
share = 0.1
`)
	sum := runScenario(t, d)
	for _, b := range sum.Violations {
		t.Error(b)
	}
	if sum.Arrivals < 200 || sum.Overall < 0.5 || sum.Outcomes[0] == 0 || sum.Outcomes[5]+sum.Outcomes[8] == 0 {
		t.Errorf("the day was not played: %+v", sum)
	}
}

// A node that sends all it gets twice must be caught, on sockets as in virtual time.
func TestNodeThatSendsTwiceIsDetected(t *testing.T) {
	d := loadScenario(t, strings.Replace(shortScenario, "7s", "1s", 1))
	d.Fleet.Nodes = 1
	s, err := Open(d, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var dest int32
		fmt.Sscanf(r.Header.Get("X-Envelope"), "dest=%d", &dest)
		for range 2 {
			out, _ := http.NewRequest("POST", "http://"+s.listeners[s.destinations.ByDest[dest][0]].address+"/inbox",
				strings.NewReader(string(body)))
			out.Header.Set("Req-Id", r.Header.Get("Req-Id"))
			if answer, err := http.DefaultClient.Do(out); err == nil {
				answer.Body.Close()
			}
		}
		w.WriteHeader(http.StatusAccepted)
	})}
	address, err := freeAddress("tcp")
	if err != nil {
		t.Fatal(err)
	}
	node.Addr = address
	go node.ListenAndServe()
	defer node.Close()
	n := &Nodes{emulator: s, processes: []*process{{name: "n0", address: address, serving: true}}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r, err := http.Get("http://" + address + "/up"); err == nil {
			r.Body.Close()
			break
		}
	}
	sum := s.Run(context.Background(), n, workload.NewGenerator(d, 3), 3)
	rules := map[checker.Rule]int{}
	for _, b := range sum.Violations {
		rules[b.Rule]++
	}
	if rules[checker.RuleSingleEnd] == 0 || rules[checker.RuleSingleEffect] == 0 {
		t.Errorf("%d broken, of rules %v: %+v", sum.ViolationCount, rules, sum)
	}
}

func TestNodeStartFailureIsReported(t *testing.T) {
	d := loadScenario(t, shortScenario)
	s, err := Open(d, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	n, err := ConfigureNodes(s, t.TempDir(), "127.0.0.1:1x", 0, 1)
	if err == nil {
		err = n.Start(context.Background(), nodeProgram)
	}
	if err == nil || !strings.Contains(err.Error(), "n0 ended at its start") {
		t.Errorf("got %v", err)
	}
}
