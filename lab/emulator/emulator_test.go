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

// TestMain builds the delivery node for the tests.
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
	name := filepath.Join(t.TempDir(), "test.toml")
	if err := os.WriteFile(name, []byte("like = \"farm\"\nname = \"test\"\n"+text), 0o600); err != nil {
		t.Fatal(err)
	}
	sc, err := scenarios.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// runScenario runs a scenario with real nodes.
func runScenario(t *testing.T, sc *scenario.Scenario) checker.Summary {
	t.Helper()
	em, err := Open(sc, 3, 0, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	defer em.Close()
	nodes, err := ConfigureNodes(em, t.TempDir(), "", 0, 1)
	if err == nil {
		err = nodes.Start(context.Background(), nodeProgram)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer nodes.Stop()
	return em.Run(context.Background(), nodes, workload.NewGenerator(sc, 3), 3)
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

// Guards against rule violations of real nodes under faults: a killed and a draining node, lost and unreadable answers,
// and destinations that refuse connections, do not answer or are replaced.
func TestNodesKeepRulesUnderFaults(t *testing.T) {
	sc := loadScenario(t, shortScenario+`
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
	sum := runScenario(t, sc)
	for _, violation := range sum.Violations {
		t.Error(violation)
	}
	if allowed := 2 + sum.Acked/50; sum.RepeatedAcks > allowed {
		t.Errorf("%d of %d acked events were sent again, allowed are %d", sum.RepeatedAcks, sum.Acked, allowed)
	}
	if sum.Arrivals < 200 || sum.Overall < 0.5 || sum.Outcomes[0] == 0 || sum.Outcomes[5]+sum.Outcomes[8] == 0 {
		t.Errorf("the scenario did not run as expected: %+v", sum)
	}
}

// Guards against paying for what answers prove while nothing is wrong, although all of them look alike: by notices of delivered
// events, by sending them again, or by a connection for each call.
func TestAlikeAnswersCostNothingWithoutFaults(t *testing.T) {
	sc := loadScenario(t, shortScenario+`
[[partner]]
name = "plain"
destinations = 6
endpoints = 1
workers = 4
queue = 12
handshake = "20ms"
idle_for = "15s"
`)
	sum := runScenario(t, sc)
	for _, violation := range sum.Violations {
		t.Error(violation)
	}
	if sum.Acked < 200 || sum.FalseNotices > 0 || sum.RepeatedAcks > 0 || sum.Sends != sum.Acked {
		t.Errorf("%d events acked with %d sends, %d sent again after that, %d false notices", sum.Acked, sum.Sends, sum.RepeatedAcks,
			sum.FalseNotices)
	}
	if allowed := sum.Acked / 4; sum.Connections > allowed {
		t.Errorf("%d connections for %d events, allowed are %d", sum.Connections, sum.Acked, allowed)
	}
}

// Guards against a call that is answered 400, since one of its events is unknown, and yet counts as a send of the others: their next send
// would pass for a repeat.
func TestInvalidCallCountsForNoEvent(t *testing.T) {
	em, err := Open(loadScenario(t, shortScenario), 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer em.Close()
	known := &event{abandoned: true}
	em.mu.Lock()
	em.events["known"] = known
	em.mu.Unlock()
	call, _ := http.NewRequest("POST", "http://"+em.listeners[0].address+"/inbox/bulk", strings.NewReader("known - 1\r\nx\r\nforgotten - 1\r\nx\r\n"))
	resp, err := http.DefaultClient.Do(call)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	em.mu.Lock()
	defer em.mu.Unlock()
	if resp.StatusCode != http.StatusBadRequest || known.sendCount != 0 || known.refs != 0 {
		t.Errorf("status %d, %d sends and %d references of the known event", resp.StatusCode, known.sendCount, known.refs)
	}
}

// Guards against a checker that misses violations on sockets: a node that sends each event twice must be reported, as
// in the simulator.
func TestNodeThatSendsTwiceIsDetected(t *testing.T) {
	sc := loadScenario(t, strings.Replace(shortScenario, "7s", "1s", 1))
	sc.Fleet.Nodes = 1
	em, err := Open(sc, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer em.Close()
	node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var dest int32
		fmt.Sscanf(r.Header.Get("X-Envelope"), "dest=%d", &dest)
		for range 2 {
			call, _ := http.NewRequest("POST", "http://"+em.listeners[em.destinations.ByDest[dest][0]].address+"/inbox",
				strings.NewReader(string(body)))
			call.Header.Set("Req-Id", r.Header.Get("Req-Id"))
			if resp, err := http.DefaultClient.Do(call); err == nil {
				resp.Body.Close()
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
	nodes := &Nodes{emulator: em, processes: []*process{{name: "n0", address: address, serving: true}}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r, err := http.Get("http://" + address + "/up"); err == nil {
			r.Body.Close()
			break
		}
	}
	sum := em.Run(context.Background(), nodes, workload.NewGenerator(sc, 3), 3)
	violations := map[checker.Rule]int{}
	for _, violation := range sum.Violations {
		violations[violation.Rule]++
	}
	if violations[checker.RuleSingleEnd] == 0 || violations[checker.RuleSingleEffect] == 0 {
		t.Errorf("%d violations, by rule %v: %+v", sum.ViolationCount, violations, sum)
	}
}

// Guards against an unreported startup failure of a node, here caused by an invalid client address.
func TestNodeStartFailureIsReported(t *testing.T) {
	sc := loadScenario(t, shortScenario)
	em, err := Open(sc, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer em.Close()
	nodes, err := ConfigureNodes(em, t.TempDir(), "127.0.0.1:1x", 0, 1)
	if err == nil {
		err = nodes.Start(context.Background(), nodeProgram)
	}
	if err == nil || !strings.Contains(err.Error(), "n0 exited during startup") {
		t.Errorf("got %v", err)
	}
}
