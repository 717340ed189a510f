package load

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"image/color"
	"io"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// Line is one line of a plot.
type Line struct {
	Name   string
	Color  color.Color
	Values []float64 // one per second or per step
}

var (
	blue  = color.RGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0xff}
	red   = color.RGBA{R: 0xc0, G: 0x30, B: 0x30, A: 0xff}
	green = color.RGBA{R: 0x2a, G: 0x8a, B: 0x3a, A: 0xff}
)

// PlotPNG draws the lines into one chart, encoded as PNG.
func PlotPNG(title, x, y string, lines ...Line) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for _, l := range lines {
		points := make(plotter.XYs, len(l.Values))
		for i, v := range l.Values {
			points[i] = plotter.XY{X: float64(i), Y: v}
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrapf(err, "plot %s", l.Name)
		}
		curve.Color = l.Color
		p.Add(curve)
		p.Legend.Add(l.Name, curve)
	}
	p.Legend.Top = true
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, errors.Wrap(err, "draw plot")
	}
	var png bytes.Buffer
	if _, err := writer.WriteTo(&png); err != nil {
		return nil, errors.Wrap(err, "encode plot")
	}
	return png.Bytes(), nil
}

// plots returns the charts of a run as data URLs.
func (r *Result) plots() ([]template.URL, error) {
	perSecond := func(f func(SecondStats) float64) []float64 {
		values := make([]float64, 0, len(r.Seconds))
		for _, s := range r.Seconds[:max(len(r.Seconds)-1, 1)] {
			values = append(values, f(s))
		}
		return values
	}
	requests, err := PlotPNG("requests by second of their start", "second", "requests",
		Line{"started", blue, perSecond(func(s SecondStats) float64 { return float64(s.Started) })},
		Line{"answered", green, perSecond(func(s SecondStats) float64 { return float64(s.Answered) })},
		Line{"refused", red, perSecond(func(s SecondStats) float64 { return float64(s.Refused) })})
	if err != nil {
		return nil, err
	}
	first, err := PlotPNG("first event, 99th percentile", "second", "ms",
		Line{"p99", blue, perSecond(func(s SecondStats) float64 { return s.FirstP99 })})
	if err != nil {
		return nil, err
	}
	return []template.URL{dataURL(requests), dataURL(first)}, nil
}

func dataURL(png []byte) template.URL {
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png))
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>masticscale load report</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; } td, th { padding: .2rem .8rem; text-align: right; border-bottom: 1px solid #ccc; }
td:first-child, th:first-child { text-align: left; } img { max-width: 100%; }
</style></head><body>
<h1>Load report</h1>
<p>{{len .Result.Plan.Hosts}} hosts, {{.Result.Plan.Seconds}} s, seed {{.Result.Plan.Seed}}. Latency counts from the planned start of each request.</p>
<h2>Teams</h2>
<table><tr><th>team</th><th>offered</th><th>answered</th><th>refused</th><th>failed</th><th>truncated</th><th>misordered</th><th>cut</th><th>first p50 ms</th><th>first p99 ms</th><th>gap p95 ms</th><th>total p99 ms</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Offered}}</td><td>{{.Ended "answered"}}</td><td>{{.Ended "refused"}}</td><td>{{.Ended "failed"}}</td><td>{{.Ended "truncated"}}</td><td>{{.Ended "misordered"}}</td><td>{{.Ended "cut"}}</td><td>{{printf "%.1f" .First.P50}}</td><td>{{printf "%.1f" .First.P99}}</td><td>{{printf "%.1f" .Gap.P95}}</td><td>{{printf "%.1f" .Total.P99}}</td></tr>
{{end}}</table>
{{with .Result.Batch}}<h2>Batch underneath</h2>
<p>{{.Completed}} of {{.Items}} items completed, {{.Failed}} failed, {{.During}} while online load ran; state {{.Status}} after {{printf "%.1f" .Seconds}} s. {{.Error}}</p>{{end}}
<h2>Over time</h2>
{{range .Plots}}<p><img src="{{.}}" alt="plot"></p>{{end}}
</body></html>
`))

type reportData struct {
	Result *Result
	Rows   []TeamResult
	Plots  []template.URL
}

// WriteReport writes the result as a self-contained HTML page with embedded charts.
func (r *Result) WriteReport(w io.Writer) error {
	plots, err := r.plots()
	if err != nil {
		return err
	}
	rows := append(append([]TeamResult{}, r.Teams...), r.All)
	if err := reportPage.Execute(w, reportData{r, rows, plots}); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}
