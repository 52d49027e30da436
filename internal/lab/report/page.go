package report

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"maps"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>passtray lab report</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>
</head><body><h1>passtray lab report</h1>
<pre>{{.Table}}</pre>
{{range .Plots}}<h2>{{.Title}}</h2><img alt="{{.Title}}" src="{{.Source}}">{{end}}
</body></html>
`))

type pagePlot struct {
	Title  string
	Source template.URL
}

// WriteHTML writes a page with the table and plots to a file.
func (r *Report) WriteHTML(path string) error {
	var table bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		return eris.Wrap(err, "write table of report")
	}
	content := struct {
		Table string
		Plots []pagePlot
	}{Table: table.String()}
	for _, build := range []func() (string, *plot.Plot, error){r.plotImbalance, r.plotLoads} {
		title, p, err := build()
		if err != nil {
			return eris.Wrap(err, "build plot")
		}
		source, err := dataURL(p)
		if err != nil {
			return err
		}
		content.Plots = append(content.Plots, pagePlot{Title: title, Source: source})
	}
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create report file")
	}
	defer func() { _ = file.Close() }()
	if err := page.Execute(file, content); err != nil {
		return eris.Wrap(err, "write report")
	}
	return eris.Wrap(file.Close(), "close report file")
}

func (r *Report) plotImbalance() (string, *plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "connections, max/mean of targets"
	p.Legend.Top = true
	for index, service := range slices.Sorted(maps.Keys(r.samples)) {
		points := plotter.XYs{}
		for _, s := range r.samples[service] {
			if s.connections.MaxToMean > 0 {
				points = append(points, plotter.XY{X: s.at.Seconds(), Y: s.connections.MaxToMean})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", nil, err
		}
		line.Color = plotutil.Color(index)
		p.Add(line)
		p.Legend.Add(service, line)
	}
	return "Connection imbalance over time", p, nil
}

func (r *Report) plotLoads() (string, *plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = "accepted connections"
	var values plotter.Values
	var names []string
	for _, service := range slices.Sorted(maps.Keys(r.lastLoads)) {
		for _, load := range r.lastLoads[service] {
			values = append(values, float64(load.Accepted))
			names = append(names, load.Target)
		}
	}
	if len(values) == 0 {
		return "Accepted connections by target", p, nil
	}
	bars, err := plotter.NewBarChart(values, vg.Points(8))
	if err != nil {
		return "", nil, err
	}
	p.Add(bars)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 1.2
	p.X.Tick.Label.XAlign = -1
	return "Accepted connections by target", p, nil
}

func dataURL(p *plot.Plot) (template.URL, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return "", eris.Wrap(err, "render plot")
	}
	var encoded bytes.Buffer
	if _, err := writer.WriteTo(&encoded); err != nil {
		return "", eris.Wrap(err, "encode plot")
	}
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(encoded.Bytes())), nil
}
