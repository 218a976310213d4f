// Package latency exports request counts and latency histograms by request kind
// through expvar.
package latency

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxDuration       = 60 * time.Second // longer requests are recorded with this duration
	significantDigits = 2                // significant decimal digits of a recorded duration
)

// Recorder records requests. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	byKind map[string]*hdrhistogram.Histogram // microseconds
	counts *expvar.Map
}

// New returns a recorder that publishes the variables "request_millis" and
// "requests". It can be called once per process.
func New() *Recorder {
	r := &Recorder{byKind: make(map[string]*hdrhistogram.Histogram), counts: expvar.NewMap("requests")}
	expvar.Publish("request_millis", expvar.Func(r.summary))
	return r
}

// ObserveRequest records a request of a kind that ended with an HTTP status.
func (r *Recorder) ObserveRequest(kind string, status int, took time.Duration) {
	r.counts.Add(kind+"."+strconv.Itoa(status), 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.byKind[kind]
	if !ok {
		h = hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
		r.byKind[kind] = h
	}
	// The value is within the histogram's bounds, so this cannot fail.
	_ = h.RecordValue(min(maxDuration, max(time.Microsecond, took)).Microseconds())
}

// quantiles are the latency quantiles of a kind, in milliseconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (r *Recorder) summary() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]quantiles, len(r.byKind))
	for kind, h := range r.byKind {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out[kind] = quantiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: at(100)}
	}
	return out
}
