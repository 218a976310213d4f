package main

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// row is what one daemon spends in a phase, as the mean of all.
type row struct {
	Phase           string  `json:"phase"`
	Daemons         int     `json:"daemons"`
	CPU             float64 `json:"cpu_percent"` // of a core
	CPUMax          float64 `json:"cpu_percent_max"`
	RSS             float64 `json:"rss_mb"`
	Heap            float64 `json:"heap_mb"`
	Stack           float64 `json:"stack_mb"`
	Threads         float64 `json:"threads"`
	PeerTraffic     float64 `json:"peer_bytes_s"` // both directions
	LogTraffic      float64 `json:"log_bytes_s"`
	HostListTraffic float64 `json:"host_list_bytes_s"`
	LogAppends      float64 `json:"log_appends_s"`
	LogReads        float64 `json:"log_reads_s"`
	AllocRate       float64 `json:"alloc_kb_s"`
	RequestRate     float64 `json:"requests_s,omitempty"`
	FailedRequests  int64   `json:"failed,omitempty"` // of all daemons, in the phase
	ChangeRate      float64 `json:"changes_s,omitempty"`
	LoadAverage     float64 `json:"load_average"`
}

// eventTimes are seconds until an event is known everywhere.
type eventTimes struct {
	Daemons        int       `json:"daemons"`
	ChangeSeconds  []float64 `json:"change_s"`
	WeightsSeconds []float64 `json:"weights_s"`
	DeathSeconds   float64   `json:"death_s"`
	LoadAverage    float64   `json:"load_average"`
}

// figureFit is a figure fitted over the numbers of daemons.
type figureFit struct {
	Figure         string  `json:"figure"`
	Phase          string  `json:"phase"`
	Linear         line    `json:"linear"`
	Log            line    `json:"log"` // over the logarithm to base 2
	LinearAtTarget float64 `json:"at_target_linear"`
	LogAtTarget    float64 `json:"at_target_log"`
	MaxMeasured    float64 `json:"at_most_seen"`
	MaxDaemons     int     `json:"most_daemons"`
}

// report is the result of a run.
type report struct {
	TargetDaemons int          `json:"target"`
	Rows          []row        `json:"rows"`
	Times         []eventTimes `json:"times"`
	Fits          []figureFit  `json:"slopes"`
}

const (
	megabyte = 1 << 20
	kilobyte = 1 << 10
	percent  = 100
)

func newRow(phase string, before, after []sample) row {
	r := row{Phase: phase, Daemons: len(after)}
	n := float64(len(after))
	for i := range after {
		a, b := after[i], before[i]
		t := a.at.Sub(b.at).Seconds()
		cpu := percent * (a.cpu - b.cpu).Seconds() / t
		r.CPU += cpu / n
		r.CPUMax = max(r.CPUMax, cpu)
		r.RSS += float64(a.rss) / megabyte / n
		r.Heap += float64(a.vars.Memory.HeapAlloc) / megabyte / n
		r.Stack += float64(a.vars.Memory.StackInuse) / megabyte / n
		r.Threads += float64(a.threads) / n
		r.PeerTraffic += float64(a.vars.Peer.total()-b.vars.Peer.total()) / t / n
		r.LogTraffic += float64(a.vars.Log.total()-b.vars.Log.total()) / t / n
		r.HostListTraffic += float64(a.vars.HostList.total()-b.vars.HostList.total()) / t / n
		r.LogAppends += float64(a.vars.Log.Appends-b.vars.Log.Appends) / t / n
		r.LogReads += float64(a.vars.Log.Reads-b.vars.Log.Reads) / t / n
		r.AllocRate += float64(a.vars.Memory.TotalAlloc-b.vars.Memory.TotalAlloc) / kilobyte / t / n
	}
	return r
}

func (r *report) add(x row) {
	r.Rows = append(r.Rows, x)
	fmt.Printf("%s %d daemons: cpu %.2f%% rss %.1f MB peer %.0f B/s log %.0f B/s hosts %.0f B/s requests %.1f/s failed %d load average %.1f\n",
		x.Phase, x.Daemons, x.CPU, x.RSS, x.PeerTraffic, x.LogTraffic, x.HostListTraffic, x.RequestRate, x.FailedRequests, x.LoadAverage)
}

// figure reads one value of a row.
type figure struct {
	name  string
	value func(row) float64
}

var figures = []figure{
	{"cpu %", func(r row) float64 { return r.CPU }},
	{"rss MB", func(r row) float64 { return r.RSS }},
	{"heap MB", func(r row) float64 { return r.Heap }},
	{"peer B/s", func(r row) float64 { return r.PeerTraffic }},
	{"log B/s", func(r row) float64 { return r.LogTraffic }},
	{"host list B/s", func(r row) float64 { return r.HostListTraffic }},
	{"log appends/s", func(r row) float64 { return r.LogAppends }},
}

// fitFigures fits each figure of the phases at rest, and the times.
func (r *report) fitFigures() {
	for _, phase := range []string{"rest", "changes"} {
		for _, f := range figures {
			var x, y []float64
			for _, row := range r.Rows {
				if row.Phase == phase {
					x, y = append(x, float64(row.Daemons)), append(y, f.value(row))
				}
			}
			r.fitOne(f.name, phase, x, y)
		}
	}
	var nodes, changes, weights, deaths []float64
	for _, t := range r.Times {
		nodes = append(nodes, float64(t.Daemons))
		changes = append(changes, slices.Max(t.ChangeSeconds))
		weights = append(weights, slices.Max(t.WeightsSeconds))
		deaths = append(deaths, t.DeathSeconds)
	}
	r.fitOne("change in force s (worst)", "short", nodes, changes)
	r.fitOne("weights on all s (worst)", "short", nodes, weights)
	r.fitOne("death known s", "short", nodes, deaths)
}

func (r *report) fitOne(name, phase string, x, y []float64) {
	if len(slices.Compact(slices.Sorted(slices.Values(x)))) < 2 {
		return
	}
	logs := make([]float64, len(x))
	for i, n := range x {
		logs[i] = math.Log2(n)
	}
	s := figureFit{Figure: name, Phase: phase, Linear: fitLine(x, y), Log: fitLine(logs, y)}
	s.LinearAtTarget = s.Linear.valueAt(float64(r.TargetDaemons))
	s.LogAtTarget = s.Log.valueAt(math.Log2(float64(r.TargetDaemons)))
	s.MaxMeasured = slices.Max(y)
	s.MaxDaemons = int(slices.Max(x))
	r.Fits = append(r.Fits, s)
}

// line is y = Start + Slope*x.
type line struct {
	Intercept float64 `json:"start"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"` // part of the variance that the line explains
}

func (l line) valueAt(x float64) float64 { return l.Intercept + l.Slope*x }

// fitLine fits by least squares; x holds two different values at least.
func fitLine(x, y []float64) line {
	n := float64(len(x))
	var mx, my float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	var xx, xy, yy float64
	for i := range x {
		xx += (x[i] - mx) * (x[i] - mx)
		xy += (x[i] - mx) * (y[i] - my)
		yy += (y[i] - my) * (y[i] - my)
	}
	l := line{Slope: xy / xx, R2: 1}
	l.Intercept = my - l.Slope*mx
	if yy > 0 {
		l.R2 = xy * xy / xx / yy
	}
	return l
}

func (r *report) print(to io.Writer) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := slices.Clone(r.Rows)
	slices.SortStableFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Daemons, b.Daemons))
	})
	fmt.Fprintln(w, "phase\tdaemons\tcpu %\tmost %\trss MB\theap MB\tstack MB\tthreads\tpeer B/s\tlog B/s\thosts B/s\tappends/s\treads/s\talloc KB/s\treq/s\tfailed\tload\t")
	for _, x := range rows {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%.1f\t%d\t%.1f\t\n",
			x.Phase, x.Daemons, x.CPU, x.CPUMax, x.RSS, x.Heap, x.Stack, x.Threads, x.PeerTraffic, x.LogTraffic, x.HostListTraffic,
			x.LogAppends, x.LogReads, x.AllocRate, x.RequestRate, x.FailedRequests, x.LoadAverage)
	}
	fmt.Fprintln(w, "\ndaemons\tchange in force s\tweights s\tdeath s\tload\t")
	for _, t := range r.Times {
		fmt.Fprintf(w, "%d\t%.3f\t%.3f\t%.1f\t%.1f\t\n", t.Daemons, t.ChangeSeconds, t.WeightsSeconds, t.DeathSeconds, t.LoadAverage)
	}
	fmt.Fprintf(w, "\nphase\tfigure\tstart\tslope\tr2\tlog start\tper doubling\tr2\tmost seen\tat %d linear\tat %d log\t\n", r.TargetDaemons, r.TargetDaemons)
	for _, s := range r.Fits {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.4f\t%.2f\t%.3f\t%.4f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", s.Phase, s.Figure,
			s.Linear.Intercept, s.Linear.Slope, s.Linear.R2, s.Log.Intercept, s.Log.Slope, s.Log.R2, s.MaxMeasured, s.LinearAtTarget, s.LogAtTarget)
	}
	r.printRequestCost(w)
	_ = w.Flush()
}

// printRequestCost prints the processor time that a request adds to the time at rest.
func (r *report) printRequestCost(w io.Writer) {
	fmt.Fprintln(w, "\nphase\tdaemons\tcpu µs per request\t")
	rest := make(map[int][]float64)
	for _, x := range r.Rows {
		if x.Phase == "rest" {
			rest[x.Daemons] = append(rest[x.Daemons], x.CPU)
		}
	}
	for _, x := range r.Rows {
		if x.RequestRate == 0 {
			continue
		}
		micros := (x.CPU - mean(rest[x.Daemons])) / percent * 1e6 / x.RequestRate
		fmt.Fprintf(w, "%s\t%d\t%.0f\t\n", x.Phase, x.Daemons, micros)
	}
}

func mean(v []float64) float64 {
	var sum float64
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(1, len(v)))
}
