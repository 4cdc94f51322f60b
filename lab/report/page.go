package report

import (
	"bytes"
	_ "embed" // the page
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
	"jaspersill/lab/run"
	"jaspersill/lab/scenario"
)

const (
	chartWide = 22 * vg.Centimeter
	chartHigh = 7 * vg.Centimeter
)

var shade = color.NRGBA{R: 200, G: 80, B: 40, A: 36}

// line is one line of a chart.
type line struct {
	name   string
	points plotter.XYs
	dashed bool
}

// chart draws lines over the seconds of a run, with the troubles as shaded spans, as SVG.
func chart(title, y string, day *scenario.Scenario, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds of the run", y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	top, end := 0.0, 1.0
	for _, l := range lines {
		for _, xy := range l.points {
			top, end = math.Max(top, xy.Y), math.Max(end, xy.X)
		}
	}
	if top == 0 {
		top = 1
	}
	if day != nil {
		for _, t := range day.Faults {
			from, to := float64(t.Start)/1e9, float64(t.Start+t.Duration)/1e9
			if t.Duration == 0 {
				to = from + end/300
			}
			box, err := plotter.NewPolygon(
				plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}},
			)
			if err != nil {
				return "", err
			}
			box.Color, box.LineStyle.Width = shade, 0
			p.Add(box)
		}
	}
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return "", err
		}
		drawn.Color, drawn.Width = plotutil.Color(i), vg.Points(1.2)
		if l.dashed {
			drawn.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
		}
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, end, 0, top*1.15
	c := vgsvg.New(chartWide, chartHigh)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:] // the page has its own head
	}
	return template.HTML(svg), nil
}

func points(seconds []run.Second, of func(*run.Second) float64) (xys plotter.XYs) {
	for i := range seconds {
		if v := of(&seconds[i]); !math.IsNaN(v) && !math.IsInf(v, 0) {
			xys = append(xys, plotter.XY{X: float64(seconds[i].At), Y: v})
		}
	}
	return xys
}

// charts draws what the sets' detailed runs show.
func (f *File) charts() (charts []template.HTML, err error) {
	day, err := scenario.Read(scenarioName, []byte(f.Scenario), nil)
	if err != nil {
		return nil, err
	}
	add := func(title, y string, lines []line) {
		if err == nil {
			var c template.HTML
			if c, err = chart(title, y, day, lines); err == nil {
				charts = append(charts, c)
			}
		}
	}
	var utility []line
	for _, s := range f.Sets {
		if len(s.Results) > 0 && len(s.Results[0].Seconds) > 0 {
			utility = append(utility, line{name: s.Name, points: points(s.Results[0].Seconds,
				func(x *run.Second) float64 { return x.Utility })})
		}
	}
	if len(utility) > 0 {
		add("Utility delivered of what each second asked for", "share", utility)
	}
	for i, s := range f.Sets {
		if len(s.Results) == 0 || len(s.Results[0].Seconds) == 0 || (i > 0 && f.Kind == "sweep") || i > 2 {
			continue
		}
		seconds := s.Results[0].Seconds
		var latency []line
		for n, p := range run.Percentiles[:3] {
			latency = append(latency, line{name: fmt.Sprintf("p%g", p), points: points(seconds,
				func(x *run.Second) float64 { return x.Latency[n] })})
		}
		add(s.Name+": time from the asking to the delivery", "ms", latency)
		var outcomes []line
		for n, name := range checker.OutcomeNames {
			l := line{
				name:   name,
				points: points(seconds, func(x *run.Second) float64 { return float64(x.Outcomes[n]) }),
			}
			if has(l.points) {
				outcomes = append(outcomes, l)
			}
		}
		add(s.Name+": sends by outcome", "a second", outcomes)
		var load []line
		for n, p := range day.DestinationKinds {
			load = append(load, line{name: p.Name + " offered", points: points(seconds,
				func(x *run.Second) float64 { return float64(x.Offered[n]) })})
			if refused := (line{name: p.Name + " refused", points: points(seconds,
				func(x *run.Second) float64 { return float64(x.Refused[n]) })}); has(refused.points) {
				load = append(load, refused)
			}
			if p.Limit > 0 {
				most := p.Limit * float64(p.Destinations)
				if p.LimitPerEndpoint {
					most *= float64(p.Endpoints)
				}
				load = append(load, line{name: p.Name + " limit", dashed: true, points: points(seconds,
					func(*run.Second) float64 { return most })})
			}
		}
		add(s.Name+": calls offered to each kind of partner, beside its limit", "calls a second", load)
	}
	if len(f.Loads) > 0 {
		var lines []line
		for n, p := range run.Percentiles {
			l := line{name: fmt.Sprintf("p%g", p)}
			for _, at := range f.Loads {
				l.points = append(l.points, plotter.XY{X: at.Offered, Y: at.Millis[n]})
			}
			lines = append(lines, l)
		}
		var c template.HTML
		if c, err = chart("Latency by offered events a second (on the x axis)", "ms", nil, lines); err == nil {
			charts = append(charts, c)
		}
	}
	return charts, err
}

func has(xys plotter.XYs) bool {
	for _, xy := range xys {
		if xy.Y > 0 {
			return true
		}
	}
	return false
}

//go:embed page.html
var pageHTML string

var pageText = template.Must(template.New("page").Funcs(template.FuncMap{
	"f3":   func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"when": func(t time.Time) string { return t.Format("2006-01-02 15:04:05 UTC") },
	"mean": func(results []run.Result, what string) string {
		total := 0.0
		for i := range results {
			s := &results[i].Sum
			switch what {
			case "whole":
				total += s.Overall
			case "spell":
				total += s.WorstWindow
			case "type":
				total += s.WorstType
			case "waste":
				total += s.Waste
			case "p50":
				total += results[i].Latency[0]
			case "p99":
				total += results[i].Latency[2]
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

// page is the report as one HTML page that needs nothing else.
func (f *File) page() ([]byte, error) {
	charts, err := f.charts()
	if err != nil {
		return nil, err
	}
	day, err := scenario.Read(scenarioName, []byte(f.Scenario), nil)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = pageText.Execute(&b, map[string]any{"File": f, "Charts": charts, "Title": f.Kind + " " + day.Name,
		"Hard": "Hard for: " + day.Challenge})
	return b.Bytes(), err
}
