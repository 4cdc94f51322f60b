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
	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
	"jaspersill/lab/stat"
)

// Version is the version of result.json; a file of another is refused.
const Version = 1

// VariantResult is what one policy, version or value gave.
type VariantResult struct {
	Name     string          `json:"name"`
	Results  []runner.Result `json:"results"`
	G        stat.Interval   `json:"g"`
	Broken   int             `json:"broken"`
	Position float64         `json:"place"` // between floor and top, where both were played; else 0
}

// Difference is what one set makes beside the first.
type Difference struct {
	Name     string        `json:"name"`
	Metric   string        `json:"figure"`
	Interval stat.Interval `json:"by"`
}

// LoadResult is what the load tool measured, beside or without runs.
type LoadResult struct {
	OfferedRate float64   `json:"offered"` // events a second, as intended
	SentRate    float64   `json:"sent"`
	Acked       int64     `json:"taken"`
	Declined    int64     `json:"declined"`
	Failed      int64     `json:"failed"`
	LatencyMs   []float64 `json:"latency_ms"` // by run.Percentiles, from the intended time
	SendLagMs   float64   `json:"lag_p99_ms"` // of the tool itself
}

// File is one folder's result.json.
type File struct {
	Version     int             `json:"version"`
	Kind        string          `json:"kind"` // run, compare, sweep, hunt or load
	CreatedAt   time.Time       `json:"at"`
	Command     string          `json:"command"`
	Scenario    string          `json:"scenario"` // its text
	Variants    []VariantResult `json:"sets,omitempty"`
	Differences []Difference    `json:"differences,omitempty"`
	Loads       []LoadResult    `json:"loads,omitempty"`
	Notes       []string        `json:"notes,omitempty"`
}

// NewFile begins a file for a scenario.
func NewFile(kind, command string, day *scenario.Scenario) (*File, error) {
	text, err := day.Write()
	return &File{
		Version:   Version,
		Kind:      kind,
		CreatedAt: time.Now().UTC(),
		Command:   command,
		Scenario:  string(text),
	}, err
}

// Add adds a set's results.
func (f *File) Add(name string, results []runner.Result) {
	broken, first := runner.CountViolations(results)
	f.Variants = append(f.Variants, VariantResult{Name: name, Results: results, Broken: broken,
		G: stat.MeanInterval(runner.MetricValues(results, runner.G), 1)})
	if broken > 0 {
		f.Notes = append(f.Notes, fmt.Sprintf("%s: %d broken rules; the first: %s", name, broken, first))
	}
}

// findVariant finds a findVariant by its name.
func (f *File) findVariant(name string) *VariantResult {
	for i := range f.Variants {
		if f.Variants[i].Name == name {
			return &f.Variants[i]
		}
	}
	return nil
}

// ComputePositions tells where each set stands between the floor, one try for each event, and the top, the policy that
// sees everything; where both were played.
func (f *File) ComputePositions() {
	floor, top := f.findVariant("once"), f.findVariant("informed")
	if floor == nil || top == nil || top.G.Mean <= floor.G.Mean {
		return
	}
	for i := range f.Variants {
		f.Variants[i].Position = (f.Variants[i].G.Mean - floor.G.Mean) / (top.G.Mean - floor.G.Mean)
	}
}

// ComputeDifferences notes the difference of each set to the first, in G and in what it is made of.
func (f *File) ComputeDifferences() {
	if len(f.Variants) < 2 {
		return
	}
	for _, s := range f.Variants[1:] {
		for _, figure := range metrics {
			f.Differences = append(f.Differences, Difference{s.Name, figure.name,
				runner.PairedDifference(f.Variants[0].Results, s.Results, figure.of)})
		}
	}
}

// metrics are what sets are compared by.
var metrics = []struct {
	name string
	of   func(*runner.Result) float64
}{
	{"G", runner.G},
	{"whole", func(r *runner.Result) float64 { return r.Summary.Overall }},
	{"worst 10 s", func(r *runner.Result) float64 { return r.Summary.WorstWindow }},
	{"worst type", func(r *runner.Result) float64 { return r.Summary.WorstType }},
	{"waste", func(r *runner.Result) float64 { return r.Summary.Waste }},
	{"p99, ms", func(r *runner.Result) float64 { return r.LatencyMs[2] }},
	{"broken rules", func(r *runner.Result) float64 { return float64(r.Summary.ViolationCount) }},
}

const (
	resultFile   = "result.json"
	reportFile   = "report.html"
	scenarioFile = "scenario.toml"
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
	page, err := f.renderPage()
	if err != nil {
		return err
	}
	for name, text := range map[string][]byte{resultFile: append(text, '\n'), scenarioFile: []byte(f.Scenario),
		"runs.csv": f.runsCSV(), "seconds.csv": f.secondsCSV(), "differences.csv": f.differencesCSV(), reportFile: page} {
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Read reads a folder's result.
func Read(folder string) (*File, error) {
	name := filepath.Join(folder, resultFile)
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

// Regenerate makes the tables and the page of a folder anew from its result.
func Regenerate(folder string) error {
	f, err := Read(folder)
	if err != nil {
		return err
	}
	return f.Write(folder)
}

func csvTable(head []string, rows func(add func(...any))) []byte {
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

func (f *File) runsCSV() []byte {
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
	return csvTable(head, func(add func(...any)) {
		for _, s := range f.Variants {
			for _, r := range s.Results {
				add(
					s.Name,
					r.Seed,
					r.Summary.G,
					r.Summary.Overall,
					r.Summary.WorstWindow,
					r.Summary.WorstType,
					r.Summary.Waste,
					r.Summary.Arrivals,
					r.Summary.Acked,
					r.Summary.Declined,
					r.Summary.Discarded,
					r.Summary.Sends,
					r.Summary.ViolationCount,
					r.Overloads,
					r.LatencyMs[0],
					r.LatencyMs[1],
					r.LatencyMs[2],
					r.LatencyMs[3],
				)
			}
		}
	})
}

func (f *File) secondsCSV() []byte {
	head := []string{"set", "seed", "second", "utility", "held", "p50_ms", "p99_ms", "offered", "refused"}
	for _, o := range checker.OutcomeNames {
		head = append(head, o)
	}
	return csvTable(head, func(add func(...any)) {
		for _, s := range f.Variants {
			for _, r := range s.Results {
				for _, at := range r.Seconds {
					row := []any{s.Name, r.Seed, at.Start, at.Utility, at.ActiveEvents, at.LatencyMs[0], at.LatencyMs[2],
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

func (f *File) differencesCSV() []byte {
	return csvTable([]string{"set", "figure", "by", "least", "most", "pairs"}, func(add func(...any)) {
		for _, d := range f.Differences {
			add(d.Name, d.Metric, d.Interval.Mean, d.Interval.Least, d.Interval.Most, d.Interval.N)
		}
	})
}

func sum(list []int64) (total int64) {
	for _, v := range list {
		total += v
	}
	return total
}

// FindResults tells the folders below one that hold a result.
func FindResults(folder string) (folders []string, err error) {
	if _, err := os.Stat(filepath.Join(folder, resultFile)); err == nil {
		return []string{folder}, nil
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if _, err := os.Stat(filepath.Join(folder, e.Name(), resultFile)); err == nil {
			folders = append(folders, filepath.Join(folder, e.Name()))
		}
	}
	if len(folders) == 0 {
		return nil, errors.New(folder + ": no result in it")
	}
	return folders, nil
}
