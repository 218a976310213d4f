package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// table is a titled table of text cells.
type table struct {
	title  string
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// text writes the table in aligned columns; an empty table writes nothing.
func (t *table) text(w io.Writer) error {
	if len(t.rows) == 0 {
		return nil
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "\n%s\n", t.title)
	for _, row := range append([][]string{t.header}, t.rows...) {
		fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

// markdown returns the table as Markdown, "" if it is empty.
func (t *table) markdown() string {
	if len(t.rows) == 0 {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\n%s\n\n| %s |\n|%s\n", t.title, strings.Join(t.header, " | "), strings.Repeat("---|", len(t.header)))
	for _, row := range t.rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return b.String()
}

func (s *Summary) tables() []*table {
	return []*table{
		s.latencyTable(),
		ratioTable("p99 against the first variant, same policy", s.AgainstFirstVariant),
		ratioTable("p99 against the best baseline of the run", s.AgainstBestBaseline),
		s.trainerTable(), s.healthTable(),
	}
}

func (s *Summary) latencyTable() *table {
	t := &table{
		title:  "Latency from the intended arrival, ms; a failed request counts with the deadline",
		header: []string{"class", "variant", "policy", "asked", "failed", "p50", "p99", "p99.9", "max", "p99 of each repeat"},
	}
	for _, r := range s.Latencies {
		t.add(r.Class, r.Variant, r.Policy, itoa(r.Requests), failureText(r.Failed), formatNumber(r.P50), formatNumber(r.P99), formatNumber(r.P999), formatNumber(r.Max), formatNumbers(r.RepeatP99))
	}
	return t
}

func ratioTable(title string, ratios []Comparison) *table {
	t := &table{title: title, header: []string{"class", "variant", "policy", "p99 ms", "against", "its p99 ms", "ratio", "difference ms"}}
	for _, r := range ratios {
		t.add(r.Class, r.Variant, r.Policy, formatNumber(r.P99), r.Reference, formatNumber(r.ReferenceP99), fmt.Sprintf("%.2f", r.Ratio), formatNumber(r.P99-r.ReferenceP99))
	}
	return t
}

func (s *Summary) trainerTable() *table {
	t := &table{
		title: "Trainers",
		header: []string{
			"trainer", "variant", "policy", "idle part", "s a step", "of each repeat", "samples", "dropped", "duplicated",
			"mean staleness", "max staleness", "bound",
		},
	}
	for _, r := range s.Trainers {
		t.add(r.Trainer, r.Variant, r.Policy, fmt.Sprintf("%.3f", r.IdleFraction), fmt.Sprintf("%.2f", r.StepSeconds), formatNumbers(r.RepeatStepSeconds),
			itoa(r.Samples), itoa(r.Dropped), itoa(r.Duplicated), fmt.Sprintf("%.2f", r.MeanStaleness), itoa(r.MaxStaleness), fmt.Sprint(r.StalenessBound)+r.Failure)
	}
	return t
}

func (s *Summary) healthTable() *table {
	t := &table{
		title: "Phases: is the bench or the machine the bottleneck?",
		header: []string{
			"variant", "policy", "repeat", "generator lag p99 ms", "cores bench/daemons/engines", "hedged", "retried", "refused",
			"violations", "requests by engine", "load average", "notes",
		},
	}
	for _, h := range s.Health {
		cores := fmt.Sprintf("%.2f/%.2f/%.2f", h.CPU["bench"], h.CPU["daemons"], h.CPU["engines"])
		t.add(h.Variant, h.Policy, itoa(h.Repeat), formatNumber(h.GeneratorLagP99), cores, fmt.Sprint(h.Counters.Hedged), fmt.Sprint(h.Counters.Retried),
			fmt.Sprint(h.Counters.Refused), fmt.Sprint(h.Counters.Violations), spreadText(h.RequestsByEngine), h.LoadAverage, strings.Join(h.Notes, "; "))
	}
	return t
}

func spreadText(counts []int) string {
	if len(counts) == 0 {
		return ""
	}
	return fmt.Sprintf("%d to %d", slices.Min(counts), slices.Max(counts))
}

func failureText(reasons map[string]int) string {
	if len(reasons) == 0 {
		return "0"
	}
	var parts []string
	for reason, n := range reasons {
		parts = append(parts, fmt.Sprintf("%d %s", n, reason))
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}

func formatNumber(f float64) string {
	if f >= 100 {
		return fmt.Sprintf("%.0f", f)
	}
	return fmt.Sprintf("%.2f", f)
}

func formatNumbers(fs []float64) string {
	var parts []string
	for _, f := range fs {
		parts = append(parts, formatNumber(f))
	}
	return strings.Join(parts, ", ")
}

func (s *Summary) heading() string {
	var rates []string
	for _, r := range s.Variants {
		rates = append(rates, fmt.Sprintf("%s %.0f", r.Variant, r.Rate))
	}
	return fmt.Sprintf("%s, seed %d, %d repeats, %s, %s, load average before %s, capacity %.0f tokens/s, requests/s: %s",
		s.Experiment, s.Seed, s.Repeats, s.Started.UTC().Format(time.RFC3339), s.Machine, s.LoadBefore, s.Capacity, strings.Join(rates, ", "))
}

// write prints the tables to w and writes result.json, report.md and the plots
// to dir. Errors: those of the file system and the plotting library.
func (s *Summary) write(dir string, w io.Writer) error {
	fmt.Fprintln(w, s.heading())
	page := "# " + s.heading() + "\n"
	for _, t := range s.tables() {
		if err := t.text(w); err != nil {
			return err
		}
		page += t.markdown()
	}
	plots, err := s.drawPlots(dir)
	if err != nil {
		return err
	}
	for _, name := range plots {
		page += fmt.Sprintf("\n![%s](%s)\n", name, name)
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), data, 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(page), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	fmt.Fprintf(w, "\nreport, JSON and plots are in %s\n", dir)
	return nil
}
