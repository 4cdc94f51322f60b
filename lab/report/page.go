package report

import (
	"bytes"
	_ "embed" // for page.html
	"fmt"
	"html/template"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"jaspersill/lab/checker"
	"jaspersill/lab/runner"
	"jaspersill/lab/scenario"
)

const (
	chartWidth  = 22 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
)

var faultColor = color.NRGBA{R: 200, G: 80, B: 40, A: 36}

// series is a named line of a chart.
type series struct {
	name   string
	points plotter.XYs
	dashed bool
}

// renderChart draws lines over the time of a run as SVG. The durations of the scenario's faults are shaded.
func renderChart(title, yLabel string, sc *scenario.Scenario, lines []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds of the run", yLabel
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	maxY, end := 0.0, 1.0
	for _, l := range lines {
		for _, xy := range l.points {
			maxY, end = math.Max(maxY, xy.Y), math.Max(end, xy.X)
		}
	}
	if maxY == 0 {
		maxY = 1
	}
	if sc != nil {
		for _, fault := range sc.Faults {
			from, to := float64(fault.Start)/1e9, float64(fault.Start+fault.Duration)/1e9
			if fault.Duration == 0 {
				to = from + end/300
			}
			area, err := plotter.NewPolygon(
				plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: maxY}, {X: from, Y: maxY}},
			)
			if err != nil {
				return "", err
			}
			area.Color, area.LineStyle.Width = faultColor, 0
			p.Add(area)
		}
	}
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(l.points)
		if err != nil {
			return "", err
		}
		curve.Color, curve.Width = plotutil.Color(i), vg.Points(1.2)
		if l.dashed {
			curve.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
		}
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, end, 0, maxY*1.15
	c := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:] // drops the XML declaration, because the SVG is embedded in HTML
	}
	return template.HTML(svg), nil
}

func secondSeries(seconds []runner.SecondStats, value func(*runner.SecondStats) float64) (xys plotter.XYs) {
	for i := range seconds {
		if v := value(&seconds[i]); !math.IsNaN(v) && !math.IsInf(v, 0) {
			xys = append(xys, plotter.XY{X: float64(seconds[i].Start), Y: v})
		}
	}
	return xys
}

// renderCharts draws the charts of the runs that have per-second statistics, and of the load results.
func (f *File) renderCharts() (charts []template.HTML, err error) {
	sc, err := scenario.Read(scenarioFile, []byte(f.Scenario), nil)
	if err != nil {
		return nil, err
	}
	add := func(title, yLabel string, lines []series) {
		if err == nil {
			var c template.HTML
			if c, err = renderChart(title, yLabel, sc, lines); err == nil {
				charts = append(charts, c)
			}
		}
	}
	var utility []series
	for _, s := range f.Variants {
		if len(s.Results) > 0 && len(s.Results[0].Seconds) > 0 {
			utility = append(utility, series{name: s.Name, points: secondSeries(s.Results[0].Seconds,
				func(x *runner.SecondStats) float64 { return x.Utility })})
		}
	}
	if len(utility) > 0 {
		add("Share of the utility requested in each second that was delivered", "share", utility)
	}
	for i, s := range f.Variants {
		if len(s.Results) == 0 || len(s.Results[0].Seconds) == 0 || (i > 0 && f.Kind == "sweep") || i > 2 {
			continue
		}
		seconds := s.Results[0].Seconds
		var latency []series
		for n, p := range runner.Percentiles[:3] {
			latency = append(latency, series{name: fmt.Sprintf("p%g", p), points: secondSeries(seconds,
				func(x *runner.SecondStats) float64 { return x.LatencyMs[n] })})
		}
		add(s.Name+": latency from the first request to the delivery", "ms", latency)
		var outcomes []series
		for n, name := range checker.OutcomeNames {
			l := series{
				name:   name,
				points: secondSeries(seconds, func(x *runner.SecondStats) float64 { return float64(x.Outcomes[n]) }),
			}
			if anyPositive(l.points) {
				outcomes = append(outcomes, l)
			}
		}
		add(s.Name+": attempts by outcome", "attempts per second", outcomes)
		var load []series
		for n, dk := range sc.DestinationKinds {
			load = append(load, series{name: dk.Name + " offered", points: secondSeries(seconds,
				func(x *runner.SecondStats) float64 { return float64(x.Offered[n]) })})
			if refused := (series{name: dk.Name + " refused", points: secondSeries(seconds,
				func(x *runner.SecondStats) float64 { return float64(x.Refused[n]) })}); anyPositive(refused.points) {
				load = append(load, refused)
			}
			if dk.Limit > 0 {
				limit := dk.Limit * float64(dk.Destinations)
				if dk.LimitPerEndpoint {
					limit *= float64(dk.Endpoints)
				}
				load = append(load, series{name: dk.Name + " limit", dashed: true, points: secondSeries(seconds,
					func(*runner.SecondStats) float64 { return limit })})
			}
		}
		add(s.Name+": calls to each destination kind, and its limit", "calls per second", load)
	}
	if len(f.Loads) > 0 {
		var lines []series
		for n, p := range runner.Percentiles {
			l := series{name: fmt.Sprintf("p%g", p)}
			for _, at := range f.Loads {
				l.points = append(l.points, plotter.XY{X: at.OfferedRate, Y: at.LatencyMs[n]})
			}
			lines = append(lines, l)
		}
		var c template.HTML
		if c, err = renderChart("Latency by offered events per second (x axis)", "ms", nil, lines); err == nil {
			charts = append(charts, c)
		}
	}
	return charts, err
}

func anyPositive(xys plotter.XYs) bool {
	for _, xy := range xys {
		if xy.Y > 0 {
			return true
		}
	}
	return false
}

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"f3":   func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"when": func(t time.Time) string { return t.Format("2006-01-02 15:04:05 UTC") },
	"mean": func(results []runner.Result, metric string) string {
		total := 0.0
		for i := range results {
			s := &results[i].Summary
			switch metric {
			case "whole":
				total += s.Overall
			case "worst window":
				total += s.WorstWindow
			case "type":
				total += s.WorstType
			case "waste":
				total += s.Waste
			case "p50":
				total += results[i].LatencyMs[0]
			case "p99":
				total += results[i].LatencyMs[2]
			case "acked":
				total += float64(s.Acked)
			case "declined":
				total += float64(s.Declined)
			case "discarded":
				total += float64(s.Discarded)
			}
		}
		return fmt.Sprintf("%.4g", total/float64(max(1, len(results))))
	},
}).Parse(pageHTML))

// renderPage renders the report as a self-contained HTML page.
func (f *File) renderPage() ([]byte, error) {
	charts, err := f.renderCharts()
	if err != nil {
		return nil, err
	}
	sc, err := scenario.Read(scenarioFile, []byte(f.Scenario), nil)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = pageTemplate.Execute(&b, map[string]any{"File": f, "Charts": charts, "Title": f.Kind + " " + sc.Name,
		"Hard": "Hard for: " + sc.Challenge})
	return b.Bytes(), err
}
