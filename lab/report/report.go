// Package report keeps what a run of the lab gave: result.json, tables as CSV, and one HTML page with its
// charts.
package report

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"jaspersill/lab/checker"
	"jaspersill/lab/run"
	"jaspersill/lab/scenario"
	"jaspersill/lab/stat"
)

// Version is the version of result.json; a file of another is refused.
const Version = 1

// Set is what one policy, version or value gave.
type Set struct {
	Name    string        `json:"name"`
	Results []run.Result  `json:"results"`
	G       stat.Interval `json:"g"`
	Broken  int           `json:"broken"`
	Place   float64       `json:"place"` // between floor and top, where both were played; else 0
}

// Difference is what one set makes beside the first.
type Difference struct {
	Name   string        `json:"name"`
	Figure string        `json:"figure"`
	By     stat.Interval `json:"by"`
}

// Load is what the load tool measured, beside or without runs.
type Load struct {
	Offered  float64   `json:"offered"` // events a second, as intended
	Sent     float64   `json:"sent"`
	Acked    int64     `json:"taken"`
	Declined int64     `json:"declined"`
	Failed   int64     `json:"failed"`
	Millis   []float64 `json:"latency_ms"` // by run.Percentiles, from the intended time
	LagMs    float64   `json:"lag_p99_ms"` // of the tool itself
}

// File is one folder's result.json.
type File struct {
	Version     int          `json:"version"`
	Kind        string       `json:"kind"` // run, compare, sweep, hunt or load
	At          time.Time    `json:"at"`
	Command     string       `json:"command"`
	Scenario    string       `json:"scenario"` // its text
	Sets        []Set        `json:"sets,omitempty"`
	Differences []Difference `json:"differences,omitempty"`
	Loads       []Load       `json:"loads,omitempty"`
	Notes       []string     `json:"notes,omitempty"`
}

// New begins a file for a scenario.
func New(kind, command string, day *scenario.Scenario) (*File, error) {
	text, err := day.Write()
	return &File{
		Version:  Version,
		Kind:     kind,
		At:       time.Now().UTC(),
		Command:  command,
		Scenario: string(text),
	}, err
}

// Add adds a set's results.
func (f *File) Add(name string, results []run.Result) {
	broken, first := run.Broken(results)
	f.Sets = append(f.Sets, Set{Name: name, Results: results, Broken: broken,
		G: stat.MeanInterval(run.Figure(results, run.G), 1)})
	if broken > 0 {
		f.Notes = append(f.Notes, fmt.Sprintf("%s: %d broken rules; the first: %s", name, broken, first))
	}
}

// set finds a set by its name.
func (f *File) set(name string) *Set {
	for i := range f.Sets {
		if f.Sets[i].Name == name {
			return &f.Sets[i]
		}
	}
	return nil
}

// Placed tells where each set stands between the floor, one try for each event, and the top, the policy that
// sees everything; where both were played.
func (f *File) Placed() {
	floor, top := f.set("once"), f.set("informed")
	if floor == nil || top == nil || top.G.Mean <= floor.G.Mean {
		return
	}
	for i := range f.Sets {
		f.Sets[i].Place = (f.Sets[i].G.Mean - floor.G.Mean) / (top.G.Mean - floor.G.Mean)
	}
}

// Differ notes the difference of each set to the first, in G and in what it is made of.
func (f *File) Differ() {
	if len(f.Sets) < 2 {
		return
	}
	for _, s := range f.Sets[1:] {
		for _, figure := range figures {
			f.Differences = append(f.Differences, Difference{s.Name, figure.name,
				run.Compare(f.Sets[0].Results, s.Results, figure.of)})
		}
	}
}

// figures are what sets are compared by.
var figures = []struct {
	name string
	of   func(*run.Result) float64
}{
	{"G", run.G},
	{"whole", func(r *run.Result) float64 { return r.Sum.Overall }},
	{"worst 10 s", func(r *run.Result) float64 { return r.Sum.WorstWindow }},
	{"worst type", func(r *run.Result) float64 { return r.Sum.WorstType }},
	{"waste", func(r *run.Result) float64 { return r.Sum.Waste }},
	{"p99, ms", func(r *run.Result) float64 { return r.Latency[2] }},
	{"broken rules", func(r *run.Result) float64 { return float64(r.Sum.ViolationCount) }},
}

const (
	resultName   = "result.json"
	reportName   = "report.html"
	scenarioName = "scenario.toml"
)

// Write writes a folder: it is made if need be, and files of a former result in it are replaced.
func (f *File) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	page, err := f.page()
	if err != nil {
		return err
	}
	for name, text := range map[string][]byte{resultName: append(text, '\n'), scenarioName: []byte(f.Scenario),
		"runs.csv": f.runs(), "seconds.csv": f.seconds(), "differences.csv": f.differences(), reportName: page} {
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Read reads a folder's result.
func Read(folder string) (*File, error) {
	name := filepath.Join(folder, resultName)
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var f File
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%s: version: want %d, got %d", name, Version, f.Version)
	}
	return &f, nil
}

// Rewrite makes the tables and the page of a folder anew from its result.
func Rewrite(folder string) error {
	f, err := Read(folder)
	if err != nil {
		return err
	}
	return f.Write(folder)
}

func table(head []string, rows func(add func(...any))) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	w.Write(head)
	rows(func(fields ...any) {
		line := make([]string, len(fields))
		for i, v := range fields {
			switch v := v.(type) {
			case float64:
				line[i] = strconv.FormatFloat(v, 'g', 6, 64)
			default:
				line[i] = fmt.Sprint(v)
			}
		}
		w.Write(line)
	})
	w.Flush()
	return b.Bytes()
}

func (f *File) runs() []byte {
	head := []string{
		"set",
		"seed",
		"g",
		"whole",
		"worst_10s",
		"worst_type",
		"waste",
		"asked",
		"acked",
		"declined",
		"discarded",
		"sends",
		"broken",
		"falls",
		"p50_ms",
		"p90_ms",
		"p99_ms",
		"p999_ms",
	}
	return table(head, func(add func(...any)) {
		for _, s := range f.Sets {
			for _, r := range s.Results {
				add(
					s.Name,
					r.Seed,
					r.Sum.G,
					r.Sum.Overall,
					r.Sum.WorstWindow,
					r.Sum.WorstType,
					r.Sum.Waste,
					r.Sum.Arrivals,
					r.Sum.Acked,
					r.Sum.Declined,
					r.Sum.Discarded,
					r.Sum.Sends,
					r.Sum.ViolationCount,
					r.Falls,
					r.Latency[0],
					r.Latency[1],
					r.Latency[2],
					r.Latency[3],
				)
			}
		}
	})
}

func (f *File) seconds() []byte {
	head := []string{"set", "seed", "second", "utility", "held", "p50_ms", "p99_ms", "offered", "refused"}
	for _, o := range checker.OutcomeNames {
		head = append(head, o)
	}
	return table(head, func(add func(...any)) {
		for _, s := range f.Sets {
			for _, r := range s.Results {
				for _, at := range r.Seconds {
					row := []any{s.Name, r.Seed, at.At, at.Utility, at.Held, at.Latency[0], at.Latency[2],
						sum(at.Offered), sum(at.Refused)}
					for _, n := range at.Outcomes {
						row = append(row, n)
					}
					add(row...)
				}
			}
		}
	})
}

func (f *File) differences() []byte {
	return table([]string{"set", "figure", "by", "least", "most", "pairs"}, func(add func(...any)) {
		for _, d := range f.Differences {
			add(d.Name, d.Figure, d.By.Mean, d.By.Least, d.By.Most, d.By.N)
		}
	})
}

func sum(list []int64) (total int64) {
	for _, v := range list {
		total += v
	}
	return total
}

// List tells the folders below one that hold a result.
func List(folder string) (folders []string, err error) {
	if _, err := os.Stat(filepath.Join(folder, resultName)); err == nil {
		return []string{folder}, nil
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if _, err := os.Stat(filepath.Join(folder, e.Name(), resultName)); err == nil {
			folders = append(folders, filepath.Join(folder, e.Name()))
		}
	}
	if len(folders) == 0 {
		return nil, errors.New(folder + ": no result in it")
	}
	return folders, nil
}
