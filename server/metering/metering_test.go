package metering

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/singleton"
	"dotterelmount.example/lib/usage"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// memoryTopic is a keyed topic in memory. refuses makes its calls fail.
type memoryTopic struct {
	values  map[string][]byte
	end     journal.Offset
	refuses bool
}

func newTopic() *memoryTopic { return &memoryTopic{values: make(map[string][]byte)} }

func (m *memoryTopic) Newest(context.Context) ([]journal.KeyedRecord, journal.Offset, error) {
	if m.refuses {
		return nil, 0, &journal.RefusedError{Op: "newest", Cause: context.Canceled}
	}
	var out []journal.KeyedRecord
	for _, k := range slices.Sorted(maps.Keys(m.values)) {
		out = append(out, journal.KeyedRecord{Key: k, Value: m.values[k]})
	}
	return out, m.end, nil
}

func (m *memoryTopic) AppendAt(ctx context.Context, end journal.Offset, records []journal.KeyedRecord) (journal.Offset, error) {
	if end != m.end {
		return 0, &journal.EndError{Expected: end}
	}
	return m.end + journal.Offset(len(records)), m.Put(ctx, records)
}

func (m *memoryTopic) Put(_ context.Context, records []journal.KeyedRecord) error {
	if m.refuses {
		return &journal.RefusedError{Op: "append", Cause: context.Canceled}
	}
	for _, r := range records {
		m.end++
		m.values[r.Key] = r.Value
		if r.Value == nil {
			delete(m.values, r.Key)
		}
	}
	return nil
}

// hands is a clock that tests move. All clocks of a host follow it.
type hands struct {
	mu  sync.Mutex
	now time.Time
}

var start = time.Unix(1_700_000_000, 0) // begins a window of 5 s

func (h *hands) time() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *hands) boot() time.Duration { return h.time().Sub(start) + time.Hour }

func (h *hands) advance(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = h.now.Add(d)
}

const window = 5 * time.Second

func newTestMeter(h *hands, writer string, topic journal.KeyedWriter) *Meter {
	cfg := MeterConfig{
		Writer: writer, Flushing: usage.Flushing{Window: window, Interval: time.Second, PerSecond: 100}, CallTimeout: time.Second, RetryInterval: 250 * time.Millisecond,
		Now: h.time, Boot: h.boot,
	}
	return &Meter{
		cfg: cfg, clock: NewClock(h.time, h.boot, window, zap.NewNop()), topic: topic, daemons: func() int { return 2 }, log: zap.NewNop(),
		counter: usage.NewCounter(cfg.Flushing),
	}
}

// Counts that the store refuses are stored later, once.
func TestCountsWaitForTheStore(t *testing.T) {
	h, topic := &hands{now: start}, newTopic()
	m := newTestMeter(h, "d1", topic)
	w := usage.WindowOf(start, window)
	topic.refuses = true
	for range 4 {
		m.Handle(t.Context(), began{"a", h.time()})
		h.advance(2 * time.Second)
		m.Tick(t.Context())
	}
	assert.Assert(t, !m.Idle())
	topic.refuses = false
	h.advance(250 * time.Millisecond)
	m.Tick(t.Context())
	assert.Assert(t, m.Idle())
	records, _, err := topic.Newest(t.Context())
	assert.NilError(t, err)
	counts, err := CountsOf(records)
	assert.NilError(t, err)
	assert.DeepEqual(t, counts, map[int64]usage.Counts{w: {"a": 3}, w + 1: {"a": 1}})
}

// holderTerms holds the duty under one fence.
type holderTerms struct{ fence uint64 }

func (h *holderTerms) Current(d singleton.Duty) (singleton.Term, bool) {
	return singleton.Term{Duty: d, Fence: h.fence}, h.fence != 0
}
func (h *holderTerms) Fenced(singleton.Term)      {}
func (h *holderTerms) Unreachable(singleton.Term) {}

// reports is a Platform that keeps what it receives.
type reports struct {
	got []usage.Report
	err error
}

func (r *reports) ReportUsage(_ context.Context, _ singleton.Term, u usage.Report) error {
	r.got = append(r.got, u)
	return r.err
}

func newTestReporter(h *hands, terms singleton.Terms, p Platform, counts journal.KeyedWriter, stored journal.Keyed) *Reporter {
	cfg := ReporterConfig{
		Reporting: usage.Reporting{
			Window: window, Settle: 2500 * time.Millisecond, Delay: 10 * time.Second, Grace: time.Second, GiveUp: 3 * time.Minute,
			RetryDelay: 100 * time.Millisecond, MaxRetryDelay: time.Second,
		},
		CallTimeout: time.Second,
	}
	return &Reporter{
		cfg: cfg, clock: NewClock(h.time, h.boot, window, zap.NewNop()), terms: terms, platform: p, counts: counts, reports: stored, log: zap.NewNop(),
		first: usage.WindowOf(h.time(), window),
	}
}

// Counts that are stored after their window was fixed are not reported, neither by the holder nor
// by the next one, which repeats what stands in the store. What is done is deleted.
func TestLateCountsAreNotReported(t *testing.T) {
	h, counts, stored := &hands{now: start}, newTopic(), newTopic()
	w := usage.WindowOf(start, window)
	platform := &reports{err: &singleton.CallError{Outcome: singleton.OutcomeUnknown, Cause: context.Canceled}}
	first := newTestReporter(h, &holderTerms{fence: 1}, platform, counts, stored)
	m := newTestMeter(h, "d1", counts)
	m.Handle(t.Context(), began{"a", h.time()})
	h.advance(window)
	m.Tick(t.Context())
	h.advance(2500 * time.Millisecond)
	first.Tick(t.Context())
	want := usage.Report{Window: w, Counts: usage.Counts{"a": 1}}
	assert.DeepEqual(t, platform.got, []usage.Report{want})

	late := newTestMeter(h, "d2", counts)
	late.Handle(t.Context(), began{"a", start})
	late.Tick(t.Context())
	platform.err = nil
	second := newTestReporter(h, &holderTerms{fence: 2}, platform, counts, stored)
	second.Tick(t.Context())
	assert.DeepEqual(t, platform.got, []usage.Report{want, want})

	before := lateRequests.Value()
	h.advance(window)
	second.Tick(t.Context())
	assert.Equal(t, lateRequests.Value(), before+1)
	assert.DeepEqual(t, platform.got, []usage.Report{want, want, {Window: w + 1, Counts: usage.Counts{}}})
	assert.Equal(t, len(counts.values), 0, "the counts of the first window are deleted")
	records, end, err := stored.Newest(t.Context())
	assert.NilError(t, err)
	s, err := ReportsOf(records, end)
	assert.NilError(t, err)
	assert.Equal(t, s.Done, w)
	assert.DeepEqual(t, s.Fixed, map[int64]usage.Counts{w + 1: {}})

	// A daemon that doesn't hold the duty does nothing.
	h.advance(window)
	newTestReporter(h, &holderTerms{}, platform, counts, stored).Tick(t.Context())
	assert.Equal(t, len(platform.got), 3)
}
