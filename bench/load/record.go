package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/check"
)

// Range, in microseconds, and precision of the histograms.
const (
	lowestLatency     = 1
	highestLatency    = 10 * 60 * 1_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, significantDigits)
}

// ClassResult holds the results of one class in one phase. The latency of a
// failed request is at least the deadline, so that fast rejections don't lower
// the latency.
type ClassResult struct {
	Class    string
	Requests int
	Failed   map[string]int          // by failureReason
	Latency  *hdrhistogram.Histogram // in microseconds
}

// PhaseResult holds the measurements of one phase.
type PhaseResult struct {
	Policy           string
	Variant          string
	Repeat           int // from 1
	Classes          []*ClassResult
	GeneratorLag     *hdrhistogram.Histogram // in microseconds
	Trainers         []TrainerResult
	CPU              map[string]float64 // mean number of cores used, by group of processes
	Counters         counters
	RequestsByEngine []int
	LoadAverage      string   // of the machine, at the end of the phase
	Notes            []string // errors that didn't end the phase
}

// resultRecorder is the duty handler that records outcomes.
type resultRecorder struct {
	experiment *Experiment
	result     *PhaseResult
}

func newResultRecorder(p *phase) *resultRecorder {
	r := &PhaseResult{Policy: p.policy, Variant: p.variant.Name, Repeat: p.repeat, GeneratorLag: newHistogram()}
	for i := range p.experiment.Classes {
		r.Classes = append(r.Classes, &ClassResult{Class: p.experiment.Classes[i].Name, Failed: make(map[string]int), Latency: newHistogram()})
	}
	return &resultRecorder{experiment: p.experiment, result: r}
}

// Handle records an outcome unless it belongs to the warm-up.
func (r *resultRecorder) Handle(_ context.Context, o requestOutcome) {
	if !o.measured {
		return
	}
	c := r.result.Classes[o.class]
	c.Requests++
	latency := o.latency
	if o.err != nil {
		c.Failed[failureReason(o.err)]++
		latency = max(latency, r.experiment.Deadline)
	}
	recordDuration(c.Latency, latency)
	recordDuration(r.result.GeneratorLag, o.lag)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// Can't fail: the value is clamped to the histogram's range.
	_ = h.RecordValue(min(highestLatency, max(lowestLatency, d.Microseconds())))
}

// failureReason returns the key of an error in ClassResult.Failed.
func failureReason(err error) string {
	switch e := err.(type) { // package check doesn't wrap these errors
	case *check.ResponseError:
		if e.Status == 0 {
			return "no answer"
		}
		return fmt.Sprintf("status %d, %s", e.Status, e.Outcome)
	case *check.WrongResponseError:
		return e.Reason
	default:
		return string(api.CodeOf(err))
	}
}

// clockTicks is the number of clock ticks per second in /proc/PID/stat.
const clockTicks = 100

// cpuTimes holds the CPU time, in seconds, by group of processes.
type cpuTimes map[string]float64

func readCPUTimes(groups map[string][]int) cpuTimes {
	times := make(cpuTimes)
	for name, pids := range groups {
		for _, pid := range pids {
			times[name] += cpuSeconds(pid)
		}
	}
	return times
}

// since returns the mean number of cores used between two readings.
func (t cpuTimes) since(before cpuTimes, elapsed time.Duration) map[string]float64 {
	cores := make(map[string]float64, len(t))
	for name, seconds := range t {
		cores[name] = (seconds - before[name]) / elapsed.Seconds()
	}
	return cores
}

// cpuSeconds returns the user and system time of a process, zero if it can't be
// read.
func cpuSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ") // after the program's name
	const user, system = 11, 12                   // field indexes, counted from the process state
	fields := strings.Fields(rest)
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.ParseFloat(fields[user], 64)
	s, _ := strconv.ParseFloat(fields[system], 64)
	return (u + s) / clockTicks
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}

func machineDescription() string {
	return fmt.Sprintf("%d cores, %s, %s/%s", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
}

func itoa(n int) string { return strconv.Itoa(n) }
