// Package report writes and reads the results of the lab: result.json, CSV tables, and an HTML page with charts.
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

// Version is the format version of result.json; Read rejects any other.
const Version = 1

// VariantResult holds the results of one policy, build or value of a key.
type VariantResult struct {
	Name           string          `json:"name"`
	Results        []runner.Result `json:"results"`
	G              stat.Interval   `json:"g"`
	ViolationCount int             `json:"broken"`
	Position       float64         `json:"place"` // from the policy once (0) to informed (1); 0 unless both were run
}

// Difference is the paired difference in a metric between a variant and the first one.
type Difference struct {
	Name     string        `json:"name"`
	Metric   string        `json:"figure"`
	Interval stat.Interval `json:"by"`
}

// LoadResult holds the measurements of one run of the load generator.
type LoadResult struct {
	OfferedRate float64   `json:"offered"` // events per second, as planned
	SentRate    float64   `json:"sent"`
	Acked       int64     `json:"taken"`
	Declined    int64     `json:"declined"`
	Failed      int64     `json:"failed"`
	LatencyMs   []float64 `json:"latency_ms"` // by runner.Percentiles, measured from the due time
	SendLagMs   float64   `json:"lag_p99_ms"` // p99 of the delay that the load generator itself caused
}

// File is the content of result.json.
type File struct {
	Version     int             `json:"version"`
	Kind        string          `json:"kind"` // run, compare, sweep, hunt or load
	CreatedAt   time.Time       `json:"at"`
	Command     string          `json:"command"`
	Scenario    string          `json:"scenario"` // the scenario file's text
	Variants    []VariantResult `json:"sets,omitempty"`
	Differences []Difference    `json:"differences,omitempty"`
	Loads       []LoadResult    `json:"loads,omitempty"`
	Notes       []string        `json:"notes,omitempty"`
}

// NewFile returns a file without results for a scenario.
func NewFile(kind, command string, sc *scenario.Scenario) (*File, error) {
	text, err := sc.Write()
	return &File{
		Version:   Version,
		Kind:      kind,
		CreatedAt: time.Now().UTC(),
		Command:   command,
		Scenario:  string(text),
	}, err
}

// Add adds the results of a variant.
func (f *File) Add(name string, results []runner.Result) {
	violations, first := runner.CountViolations(results)
	f.Variants = append(f.Variants, VariantResult{Name: name, Results: results, ViolationCount: violations,
		G: stat.MeanInterval(runner.MetricValues(results, runner.G), 1)})
	if violations > 0 {
		f.Notes = append(f.Notes, fmt.Sprintf("%s: %d rule violations, the first: %s", name, violations, first))
	}
}

// findVariant returns the variant with the given name, or nil.
func (f *File) findVariant(name string) *VariantResult {
	for i := range f.Variants {
		if f.Variants[i].Name == name {
			return &f.Variants[i]
		}
	}
	return nil
}

// ComputePositions places the mean G of each variant on the scale from the policy "once", which makes a single attempt
// per event (0), to "informed", which sees the whole simulation (1). It does nothing unless both were run and informed
// has the higher mean.
func (f *File) ComputePositions() {
	lowest, highest := f.findVariant("once"), f.findVariant("informed")
	if lowest == nil || highest == nil || highest.G.Mean <= lowest.G.Mean {
		return
	}
	for i := range f.Variants {
		f.Variants[i].Position = (f.Variants[i].G.Mean - lowest.G.Mean) / (highest.G.Mean - lowest.G.Mean)
	}
}

// ComputeDifferences compares each variant with the first one by all metrics.
func (f *File) ComputeDifferences() {
	if len(f.Variants) < 2 {
		return
	}
	for _, s := range f.Variants[1:] {
		for _, metric := range metrics {
			f.Differences = append(f.Differences, Difference{s.Name, metric.name,
				runner.PairedDifference(f.Variants[0].Results, s.Results, metric.value)})
		}
	}
}

// metrics lists what variants are compared by.
var metrics = []struct {
	name  string
	value func(*runner.Result) float64
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

// Write writes all files of the result to a folder, which is created if necessary. It replaces the files of an
// earlier result.
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

// Read reads result.json from a folder.
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

// Regenerate rewrites the tables and the page in a folder from its result.json.
func Regenerate(folder string) error {
	f, err := Read(folder)
	if err != nil {
		return err
	}
	return f.Write(folder)
}

func csvTable(header []string, rows func(add func(...any))) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	w.Write(header)
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
	header := []string{
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
	return csvTable(header, func(add func(...any)) {
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
	header := []string{"set", "seed", "second", "utility", "held", "p50_ms", "p99_ms", "offered", "refused"}
	for _, o := range checker.OutcomeNames {
		header = append(header, o)
	}
	return csvTable(header, func(add func(...any)) {
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

// FindResults returns the folder itself if it contains a result, else those of its subfolders that do.
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
		return nil, errors.New(folder + ": no result found")
	}
	return folders, nil
}
