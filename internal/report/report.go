// Package report turns measurements into one self-contained HTML page.
package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"gentiancroft/internal/measure"
)

// Error is the class of failures to draw a report.
var Error = errs.Class("report")

// Size of one plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 14 // points
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

type section struct {
	measure.Report
	Drawn []drawn
}

type drawn struct {
	measure.Table
	Plots []template.HTML
}

// Write draws the reports as one page.
func Write(w io.Writer, reports []measure.Report) error {
	sections := make([]section, 0, len(reports))
	for _, r := range reports {
		s := section{Report: r}
		for _, t := range r.Tables {
			plots, err := plotTable(t)
			if err != nil {
				return Error.Wrap(err)
			}
			s.Drawn = append(s.Drawn, drawn{Table: t, Plots: plots})
		}
		sections = append(sections, s)
	}
	return Error.Wrap(page.Execute(w, sections))
}

// plotTable draws one bar chart a column.
func plotTable(t measure.Table) ([]template.HTML, error) {
	var plots []template.HTML
	for i, column := range t.Columns {
		svg, err := plotColumn(t, i, column)
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	return plots, nil
}

func plotColumn(t measure.Table, column int, title string) (template.HTML, error) {
	values := make(plotter.Values, 0, len(t.Rows))
	labels := make([]string, 0, len(t.Rows))
	for _, r := range t.Rows {
		if column < len(r.Values) {
			values = append(values, r.Values[column])
			labels = append(labels, r.Label)
		}
	}
	if len(values) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = title
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return "", err
	}
	bars.Horizontal = true
	p.Add(bars)
	p.NominalY(labels...)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return template.HTML(svgElement(out.Bytes())), nil //nolint:gosec // drawn here, from numbers and escaped labels
}

// svgElement drops what stands before the svg element, such as an XML header.
func svgElement(b []byte) []byte {
	if i := bytes.Index(b, []byte("<svg")); i > 0 {
		return b[i:]
	}
	return b
}
