package main

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// row is the resource usage per daemon in a phase, as the mean over all daemons.
type row struct {
	Phase           string  `json:"phase"`
	Daemons         int     `json:"daemons"`
	CPU             float64 `json:"cpu_percent"`     // of a core
	CPUMax          float64 `json:"cpu_percent_max"` // of the busiest daemon
	RSS             float64 `json:"rss_mb"`
	Heap            float64 `json:"heap_mb"`
	Stack           float64 `json:"stack_mb"`
	Threads         float64 `json:"threads"`
	PeerTraffic     float64 `json:"peer_bytes_s"` // sent and received
	LogTraffic      float64 `json:"log_bytes_s"`
	HostListTraffic float64 `json:"host_list_bytes_s"`
	LogAppends      float64 `json:"log_appends_s"`
	LogReads        float64 `json:"log_reads_s"`
	AllocRate       float64 `json:"alloc_kb_s"`
	RequestRate     float64 `json:"requests_s,omitempty"` // successful requests
	FailedRequests  int64   `json:"failed,omitempty"`     // sum over all daemons in the phase
	ChangeRate      float64 `json:"changes_s,omitempty"`
	LoadAverage     float64 `json:"load_average"` // of the machine
}

// eventTimes holds the times, in seconds, until events are known everywhere.
type eventTimes struct {
	Daemons        int       `json:"daemons"`
	ChangeSeconds  []float64 `json:"change_s"`
	WeightsSeconds []float64 `json:"weights_s"`
	DeathSeconds   float64   `json:"death_s"`
	LoadAverage    float64   `json:"load_average"`
}

// figureFit holds the fits of a figure over the number of daemons, and the values
// extrapolated to the target.
type figureFit struct {
	Figure         string  `json:"figure"`
	Phase          string  `json:"phase"`
	Linear         line    `json:"linear"`
	Log            line    `json:"log"` // over the base-2 logarithm
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

// newRow returns the means of a phase from the daemons' samples at its start and
// end.
func newRow(phase string, before, after []sample) row {
	r := row{Phase: phase, Daemons: len(after)}
	n := float64(len(after))
	for i := range after {
		a, b := after[i], before[i]
		seconds := a.takenAt.Sub(b.takenAt).Seconds()
		cpu := percent * (a.cpu - b.cpu).Seconds() / seconds
		r.CPU += cpu / n
		r.CPUMax = max(r.CPUMax, cpu)
		r.RSS += float64(a.rss) / megabyte / n
		r.Heap += float64(a.vars.Memory.HeapAlloc) / megabyte / n
		r.Stack += float64(a.vars.Memory.StackInuse) / megabyte / n
		r.Threads += float64(a.threads) / n
		r.PeerTraffic += float64(a.vars.Peer.total()-b.vars.Peer.total()) / seconds / n
		r.LogTraffic += float64(a.vars.Log.total()-b.vars.Log.total()) / seconds / n
		r.HostListTraffic += float64(a.vars.HostList.total()-b.vars.HostList.total()) / seconds / n
		r.LogAppends += float64(a.vars.Log.Appends-b.vars.Log.Appends) / seconds / n
		r.LogReads += float64(a.vars.Log.Reads-b.vars.Log.Reads) / seconds / n
		r.AllocRate += float64(a.vars.Memory.TotalAlloc-b.vars.Memory.TotalAlloc) / kilobyte / seconds / n
	}
	return r
}

// add adds a row and prints it.
func (r *report) add(x row) {
	r.Rows = append(r.Rows, x)
	fmt.Printf("%s %d daemons: cpu %.2f%% rss %.1f MB peer %.0f B/s log %.0f B/s hosts %.0f B/s requests %.1f/s failed %d load average %.1f\n",
		x.Phase, x.Daemons, x.CPU, x.RSS, x.PeerTraffic, x.LogTraffic, x.HostListTraffic, x.RequestRate, x.FailedRequests, x.LoadAverage)
}

// figure is a named value of a row.
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

// fitFigures fits each figure of the phases without load, and the event times.
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
	var daemonCounts, changes, weights, deaths []float64
	for _, t := range r.Times {
		daemonCounts = append(daemonCounts, float64(t.Daemons))
		changes = append(changes, slices.Max(t.ChangeSeconds))
		weights = append(weights, slices.Max(t.WeightsSeconds))
		deaths = append(deaths, t.DeathSeconds)
	}
	r.fitOne("change in force s (worst)", "short", daemonCounts, changes)
	r.fitOne("weights on all s (worst)", "short", daemonCounts, weights)
	r.fitOne("death known s", "short", daemonCounts, deaths)
}

// fitOne fits y over the numbers of daemons x, unless all of them are equal.
func (r *report) fitOne(name, phase string, x, y []float64) {
	if len(slices.Compact(slices.Sorted(slices.Values(x)))) < 2 {
		return
	}
	logs := make([]float64, len(x))
	for i, n := range x {
		logs[i] = math.Log2(n)
	}
	fit := figureFit{Figure: name, Phase: phase, Linear: fitLine(x, y), Log: fitLine(logs, y)}
	fit.LinearAtTarget = fit.Linear.valueAt(float64(r.TargetDaemons))
	fit.LogAtTarget = fit.Log.valueAt(math.Log2(float64(r.TargetDaemons)))
	fit.MaxMeasured = slices.Max(y)
	fit.MaxDaemons = int(slices.Max(x))
	r.Fits = append(r.Fits, fit)
}

// line is y = Intercept + Slope*x.
type line struct {
	Intercept float64 `json:"start"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"` // fraction of the variance explained by the line
}

func (l line) valueAt(x float64) float64 { return l.Intercept + l.Slope*x }

// fitLine fits a line by least squares. x must have at least two distinct values.
func fitLine(x, y []float64) line {
	n := float64(len(x))
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}
	var sumXX, sumXY, sumYY float64
	for i := range x {
		sumXX += (x[i] - meanX) * (x[i] - meanX)
		sumXY += (x[i] - meanX) * (y[i] - meanY)
		sumYY += (y[i] - meanY) * (y[i] - meanY)
	}
	l := line{Slope: sumXY / sumXX, R2: 1}
	l.Intercept = meanY - l.Slope*meanX
	if sumYY > 0 {
		l.R2 = sumXY * sumXY / sumXX / sumYY
	}
	return l
}

func (r *report) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
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
	for _, fit := range r.Fits {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.4f\t%.2f\t%.3f\t%.4f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", fit.Phase, fit.Figure,
			fit.Linear.Intercept, fit.Linear.Slope, fit.Linear.R2, fit.Log.Intercept, fit.Log.Slope, fit.Log.R2, fit.MaxMeasured, fit.LinearAtTarget, fit.LogAtTarget)
	}
	r.printRequestCost(w)
	_ = w.Flush()
}

// printRequestCost prints the CPU time that a request adds to the usage at rest.
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
