package tanagerburn

import (
	"bytes"
	"html/template"
	"io"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// maxPlottedRows is the largest number of lines in the plot.
	maxPlottedRows = 12
)

var reportTemplate = template.Must(template.New("report").
	Funcs(template.FuncMap{"formatDuration": formatDuration}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #bbb; padding: 0.3em 0.7em; text-align: right; }
th { background: #eee; }
.page { background: #f6b8b8; }
.ticket { background: #f6e3b8; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>As of {{.Report.At.Format "2006-01-02 15:04:05 MST"}}. A burn rate of 1 uses up the
error budget exactly in the objective's 30 days.</p>
<table>
<tr><th>Branch</th><th>Class</th><th>Good</th><th>Bad</th><th>Objective</th>
<th>Burn 1 h</th><th>Burn 6 h</th><th>Burn 24 h</th><th>Wait p50</th><th>Wait p99</th><th>Wait p99.9</th><th>Alert</th></tr>
{{range .Report.Rows}}<tr class="{{.Alert}}"><td>{{.Key.Branch}}</td><td>{{.Key.Class}}</td><td>{{.Good}}</td><td>{{.Bad}}</td>
<td>{{.Objective}}</td>{{range .BurnRates}}<td>{{printf "%.2f" .}}</td>{{end}}<td>{{formatDuration .P50}}</td><td>{{formatDuration .P99}}</td><td>{{formatDuration .P999}}</td><td>{{.Alert}}</td></tr>
{{end}}</table>
<h2>Burn rate by minute, last hour</h2>
{{.Plot}}
</body>
</html>
`))

// WriteHTML writes the report as a self-contained HTML page. It returns an error of
// type RenderFailed if it cannot be rendered or written.
func (r Report) WriteHTML(w io.Writer) error {
	svg, err := r.renderPlot()
	if err != nil {
		return err
	}
	err = reportTemplate.Execute(w, struct {
		Report Report
		Plot   template.HTML
	}{
		Report: r,
		Plot:   svg,
	})
	if err != nil {
		return RenderFailed.Wrap(err, "HTML report")
	}
	return nil
}

// renderPlot returns an SVG image of the burn rates of the last hour.
func (r Report) renderPlot() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "minutes before the report"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Min = -float64(plottedMinutes)
	p.X.Max = 1
	p.X.Tick.Marker = plot.ConstantTicks(minuteTicks())
	p.Legend.Top = true
	p.Legend.Left = true
	for i, row := range r.Rows[:min(len(r.Rows), maxPlottedRows)] {
		line, err := plotter.NewLine(plotPoints(row.minuteRates))
		if err != nil {
			return "", RenderFailed.Wrap(err, "plot line of branch %s", row.Key.Branch)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(row.Key.Branch+" "+row.Key.Class, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", RenderFailed.Wrap(err, "plot")
	}
	// An HTML page must not contain the XML declaration before the <svg> element.
	start := max(bytes.Index(out.Bytes(), []byte("<svg")), 0)
	return template.HTML(out.Bytes()[start:]), nil
}

// minuteTicks returns axis ticks at every tenth minute.
func minuteTicks() []plot.Tick {
	var ticks []plot.Tick
	for m := plottedMinutes; m >= 0; m -= 10 {
		ticks = append(ticks, plot.Tick{
			Value: -float64(m),
			Label: strconv.Itoa(m),
		})
	}
	return ticks
}

// plotPoints returns a point per minute; the last one is at zero.
func plotPoints(rates []float64) plotter.XYs {
	xy := make(plotter.XYs, len(rates))
	for i, rate := range rates {
		xy[i].X = float64(i - len(rates) + 1)
		xy[i].Y = rate
	}
	return xy
}
