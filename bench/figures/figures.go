// Package figures renders the reports of an experiment as plots, a table and one
// self-contained HTML page.
package figures

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"limehold/bench/report"
)

// Measure is one number by which policies are compared. Lower is better.
type Measure struct {
	Name  string
	Unit  string
	Value func(*report.Report) float64
}

// Measures lists the measures of an experiment. The three that matter most to users come first.
var Measures = []Measure{
	{"imbalance", "max over mean, keyed pool", func(r *report.Report) float64 { return keyedPool(r).MaxOverMean }},
	{"churn", "moves of shards that no loss forced", func(r *report.Report) float64 { return float64(r.Churn.Moves - r.Churn.MovesAfterFaults) }},
	{"unavailable", "key seconds", func(r *report.Report) float64 { return r.Unavailable.KeySeconds }},
	{"new-owner", "ms, longest", func(r *report.Report) float64 { return r.Unavailable.NewOwnerMsMax }},
	{"latency-p99", "ms", func(r *report.Report) float64 { return float64(r.Latency.P99) / 1000 }},
	{"refused", "requests", func(r *report.Report) float64 { return float64(r.NotRun) }},
	{"added-load", "percent", func(r *report.Report) float64 { return r.AddedLoadPercent }},
}

// keyedPool returns the imbalance of the pool of the keyed services, which is the
// first pool of each shape, or the overall imbalance if the report has neither pool.
func keyedPool(r *report.Report) report.Imbalance {
	for _, name := range []string{"proofs", "availability"} {
		if measured, ok := r.ImbalanceByPool[name]; ok {
			return measured
		}
	}
	return r.Imbalance
}

// Group holds the reports of one policy on one shape, one per seed.
type Group struct {
	Shape   string
	Policy  string
	Reports []*report.Report
}

// Mean returns the mean, minimum and maximum of a measure over the seeds.
func (g *Group) Mean(measure Measure) (mean, minimum, maximum float64) {
	for i, result := range g.Reports {
		value := measure.Value(result)
		mean += value
		if i == 0 || value < minimum {
			minimum = value
		}
		maximum = max(maximum, value)
	}
	return mean / float64(max(1, len(g.Reports))), minimum, maximum
}

// Write writes the plots, the HTML page and a table in Markdown into a folder.
func Write(folder, command string, groups []*Group) error {
	const mode = 0o755
	if err := os.MkdirAll(folder, mode); err != nil {
		return eris.Wrap(err, "create folder for figures")
	}
	page := &page{Command: command}
	for _, shape := range shapeNames(groups) {
		part := section{Shape: shape, Table: tableRows(groupsOf(groups, shape))}
		for _, measure := range Measures {
			name := fmt.Sprintf("%s-%s.svg", shape, measure.Name)
			svg, err := draw(measure, groupsOf(groups, shape))
			if err != nil {
				return err
			}
			if err := writeFile(filepath.Join(folder, name), svg); err != nil {
				return err
			}
			part.Plots = append(part.Plots, template.HTML(svgElement(svg)))
		}
		page.Sections = append(page.Sections, part)
	}
	var html bytes.Buffer
	if err := pageTemplate.Execute(&html, page); err != nil {
		return eris.Wrap(err, "write page")
	}
	if err := writeFile(filepath.Join(folder, "report.html"), html.Bytes()); err != nil {
		return err
	}
	return writeFile(filepath.Join(folder, "README.md"), []byte(markdown(page)))
}

func writeFile(path string, data []byte) error {
	const mode = 0o644
	return eris.Wrapf(os.WriteFile(path, data, mode), "write %s", path)
}

func shapeNames(groups []*Group) []string {
	var list []string
	for _, group := range groups {
		if len(list) == 0 || list[len(list)-1] != group.Shape {
			list = append(list, group.Shape)
		}
	}
	return list
}

func groupsOf(groups []*Group, shape string) []*Group {
	var list []*Group
	for _, group := range groups {
		if group.Shape == shape {
			list = append(list, group)
		}
	}
	return list
}

// draw renders a measure as an SVG bar chart with one bar for each policy.
func draw(measure Measure, groups []*Group) ([]byte, error) {
	drawing := plot.New()
	drawing.Title.Text = measure.Name + " (" + measure.Unit + ")"
	drawing.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, group := range groups {
		mean, _, _ := group.Mean(measure)
		values = append(values, mean)
		names = append(names, group.Policy)
	}
	const barWidth, width, height = 22, 14 * vg.Centimeter, 7 * vg.Centimeter
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return nil, eris.Wrapf(err, "draw %s", measure.Name)
	}
	drawing.Add(bars)
	drawing.NominalX(names...)
	writer, err := drawing.WriterTo(width, height, "svg")
	if err != nil {
		return nil, eris.Wrapf(err, "draw %s", measure.Name)
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return nil, eris.Wrapf(err, "draw %s", measure.Name)
	}
	return svg.Bytes(), nil
}

// svgElement returns the svg element without the XML prolog, for embedding in HTML.
func svgElement(svg []byte) string {
	return string(svg[max(0, bytes.Index(svg, []byte("<svg"))):])
}

// tableRow is the table row of one policy.
type tableRow struct {
	Policy string
	Cells  []string
	Broken int
}

func tableRows(groups []*Group) []tableRow {
	var lines []tableRow
	for _, group := range groups {
		row := tableRow{Policy: group.Policy}
		for _, measure := range Measures {
			mean, minimum, maximum := group.Mean(measure)
			row.Cells = append(row.Cells, fmt.Sprintf("%.2f (%.2f to %.2f)", mean, minimum, maximum))
		}
		for _, result := range group.Reports {
			row.Broken += len(result.Check())
		}
		lines = append(lines, row)
	}
	return lines
}

type section struct {
	Shape string
	Table []tableRow
	Plots []template.HTML
}

type page struct {
	Command  string
	Sections []section
}

func headings() []string {
	var list []string
	for _, measure := range Measures {
		list = append(list, measure.Name+", "+measure.Unit)
	}
	return list
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"headings": headings}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>limehold: experiments</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:4px 8px;text-align:left}.plots svg{margin:8px}</style></head><body>
<h1>limehold: experiments</h1><p>Made by <code>{{.Command}}</code>. Means over the seeds, with the least and the greatest value. Less is better.</p>
{{range .Sections}}<h2>{{.Shape}}</h2><table><tr><th>policy</th>{{range headings}}<th>{{.}}</th>{{end}}<th>broken promises</th></tr>
{{range .Table}}<tr><td>{{.Policy}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}<td>{{.Broken}}</td></tr>
{{end}}</table><div class="plots">{{range .Plots}}{{.}}{{end}}</div>{{end}}</body></html>
`))

func markdown(p *page) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# Experiments\n\nMade by `%s`. Means over the seeds, with the least and the greatest value. Less is\nbetter. The same with plots is in report.html.\n", p.Command)
	for _, part := range p.Sections {
		fmt.Fprintf(&text, "\n## %s\n\n| policy | %s | broken promises |\n|---%s|---|\n", part.Shape, strings.Join(headings(), " | "), strings.Repeat("|---", len(Measures)))
		for _, row := range part.Table {
			fmt.Fprintf(&text, "| %s | %s | %d |\n", row.Policy, strings.Join(row.Cells, " | "), row.Broken)
		}
	}
	return text.String()
}
