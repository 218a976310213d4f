package main

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot and its bars.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter
	// curveSteps is the number of intervals between the points of a curve. Each
	// unit of the x axis is one more nine of the percentile, up to maxNines.
	curveSteps = 60
	maxNines   = 3.0
)

// drawPlots plots the latency of each class and variant and the trainers' idle
// time. It returns the names of the files. Errors: those of the plotting library.
func (s *Summary) drawPlots(dir string) ([]string, error) {
	var names []string
	for _, group := range s.rowGroups() {
		name := fmt.Sprintf("latency-%s-%s.png", group[0].Class, group[0].Variant)
		if err := plotLatency(filepath.Join(dir, name), group); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	if len(s.Trainers) == 0 {
		return names, nil
	}
	const idle = "trainer-idle.png"
	return append(names, idle), s.plotIdle(filepath.Join(dir, idle))
}

// rowGroups groups the rows by class and variant.
func (s *Summary) rowGroups() [][]*LatencyRow {
	var groups [][]*LatencyRow
	for _, r := range s.Latencies {
		i := slices.IndexFunc(groups, func(g []*LatencyRow) bool { return g[0].Class == r.Class && g[0].Variant == r.Variant })
		if i < 0 {
			groups = append(groups, []*LatencyRow{r})
			continue
		}
		groups[i] = append(groups[i], r)
	}
	return groups
}

func plotLatency(file string, rows []*LatencyRow) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s requests, variant %s", rows[0].Class, rows[0].Variant)
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "latency from the intended arrival, ms"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 1, Label: "90"}, {Value: 2, Label: "99"}, {Value: 3, Label: "99.9"}}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, r := range rows {
		lines = append(lines, r.Policy, latencyCurve(r))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return savePlot(p, file)
}

// latencyCurve returns the quantiles of a row's latency by number of nines.
func latencyCurve(r *LatencyRow) plotter.XYs {
	points := make(plotter.XYs, curveSteps+1)
	for i := range points {
		nines := maxNines * float64(i) / curveSteps
		quantile := 100 * (1 - math.Pow(10, -nines))
		points[i].X = nines
		points[i].Y = milliseconds(r.latency.ValueAtQuantile(quantile))
	}
	return points
}

func (s *Summary) plotIdle(file string) error {
	p := plot.New()
	p.Title.Text = "trainers' idle time"
	p.Y.Label.Text = "part of the time spent waiting for samples"
	p.Y.Min, p.Y.Max = 0, 1
	var values plotter.Values
	var labels []string
	for _, t := range s.Trainers {
		values = append(values, t.IdleFraction)
		labels = append(labels, t.Trainer+"\n"+t.Variant+"\n"+t.Policy)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	p.Add(bars)
	p.NominalX(labels...)
	return savePlot(p, file)
}

func savePlot(p *plot.Plot, file string) error {
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}
