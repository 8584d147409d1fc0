package burn

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Format is an output format of reports.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
	FormatSVG  Format = "svg"
)

// Write writes r to w in format.
func (r *Report) Write(w io.Writer, format Format) (err error) {
	defer func() { err = errors.Wrapf(err, "write burn report as %s", format) }()
	switch format {
	case FormatText:
		return r.writeText(w)
	case FormatJSON:
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	case FormatSVG:
		return r.writeSVG(w)
	}
	return errors.New("unknown format")
}

func (r *Report) writeText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "service-level burn at %s over %d instances\n", r.At.UTC().Format(time.RFC3339), len(r.Instances))
	if len(r.Missing) > 0 {
		fmt.Fprintf(t, "no answer from: %v (their requests are not counted)\n", r.Missing)
	}
	fmt.Fprint(t, "objective\ttarget\tmodel\tworkspace")
	for _, window := range Windows {
		fmt.Fprintf(t, "\t%s", window.Name)
	}
	fmt.Fprintln(t, "\talarms")
	for i := range r.Rows {
		r.Rows[i].writeText(t)
	}
	for _, l := range r.Latencies {
		fmt.Fprintf(t, "%s\t%s\tp50 %s\tp95 %s\tp99 %s\n", l.Kind, l.Model,
			l.Histogram.Quantile(0.5), l.Histogram.Quantile(0.95), l.Histogram.Quantile(0.99))
	}
	return t.Flush()
}

func (r *Row) writeText(w io.Writer) {
	target := fmt.Sprintf("%g", r.Objective.Target)
	if r.Objective.Threshold > 0 {
		target += " in " + r.Objective.Threshold.String()
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s", r.Objective.Kind, target, r.Model, r.Workspace)
	for i := range r.Counts {
		fmt.Fprintf(w, "\t%.2f", r.Rate(i))
	}
	fmt.Fprintf(w, "\t%s\n", strings.Join(r.Alarms(), " "))
}

const (
	chartWidth        = 20 * vg.Centimeter
	chartMargin       = 3 * vg.Centimeter
	chartRowHeight    = 8 * vg.Millimeter
	chartBarWidth     = 5 * vg.Millimeter
	chartLabelSize    = 9
	chartLabelPadding = 12 * vg.Millimeter
	// chartMinAxisEnd is the minimum upper end of the burn rate axis. It keeps the
	// line at a burn rate of 1 inside the chart.
	chartMinAxisEnd = 1.2
)

// writeSVG draws a bar chart of the burn rate of each row over the one-hour window,
// with a line at 1, at which the budget lasts exactly its period.
func (r *Report) writeSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "Burn rate over 1h"
	p.X.Label.Text = "burn rate"
	p.X.Min = 0
	p.X.Max = chartMinAxisEnd
	if len(r.Rows) > 0 {
		if err := r.addBars(p); err != nil {
			return err
		}
	}
	p.X.Min = 0
	out, err := p.WriterTo(chartWidth, chartMargin+vg.Length(len(r.Rows))*chartRowHeight, "svg")
	if err != nil {
		return err
	}
	_, err = out.WriteTo(w)
	return err
}

func (r *Report) addBars(p *plot.Plot) error {
	values := make(plotter.Values, 0, len(r.Rows))
	labels := make([]string, 0, len(r.Rows))
	for i := range r.Rows {
		row := &r.Rows[i]
		values = append(values, row.Rate(windowIndex("1h")))
		labels = append(labels, fmt.Sprintf("%s %s %s", row.Objective.Kind, row.Model, row.Workspace))
	}
	bars, err := plotter.NewBarChart(values, chartBarWidth)
	if err != nil {
		return err
	}
	bars.Horizontal = true
	bars.Color = color.RGBA{R: 120, G: 150, B: 200, A: 255}
	last := float64(len(values)) - 0.5
	budgetLine, err := plotter.NewLine(plotter.XYs{{X: 1, Y: -0.5}, {X: 1, Y: last}})
	if err != nil {
		return err
	}
	budgetLine.Color = color.RGBA{R: 200, A: 255}
	p.Add(bars, budgetLine)
	p.NominalY(labels...)
	p.Y.Tick.Label.Font.Size = chartLabelSize
	// The labels need more space in viewers that lack the font and use a wider one.
	p.Y.Padding = chartLabelPadding
	return nil
}
