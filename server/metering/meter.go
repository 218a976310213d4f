// Package metering counts the requests of customers on each daemon, stores the counts, and
// reports the sums to the platform while this daemon holds the duty. One duty counts and stores,
// another fixes and reports windows.
package metering

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/usage"
	"go.uber.org/zap"
)

// Topics of the store, without the prefix of keyed ones.
const (
	CountsTopic  = "usage-counts"
	ReportsTopic = "usage-reports"
)

var (
	requestsCounted = expvar.NewInt("usage_requests")
	requestsDropped = expvar.NewInt("usage_requests_dropped")
	countAppends    = expvar.NewInt("usage_count_appends")
)

// MeterConfig configures a Meter.
type MeterConfig struct {
	// Writer names this process in keys. It must be unique.
	Writer         string
	Flushing       usage.Flushing
	RingSize       int
	Tick, IdleTick time.Duration // the latter while nothing is to be stored
	CallTimeout    time.Duration // of a call to the store
	RetryInterval  time.Duration // after one that failed
	Now            func() time.Time
	Boot           func() time.Duration // clock that also counts suspension
}

// Meter counts the requests that this daemon's upstreams began to run.
type Meter struct {
	cfg     MeterConfig
	clock   *Clock
	topic   journal.KeyedWriter
	daemons func() int
	log     *zap.Logger
	duty    *duty.Duty[any]

	counter *usage.Counter
	number  uint64                // of the last record
	unsaved []journal.KeyedRecord // not known to be stored
	retryAt time.Duration
	failing bool
}

// Messages of a Meter.
type (
	// began is a request that an upstream began to run.
	began struct {
		customer string
		at       time.Time // true time
	}
	flush struct{ done *ring.Slot[struct{}] }
)

// StartMeter starts the duty. daemons returns the number of live daemons.
func StartMeter(sys *duty.System, cfg MeterConfig, clock *Clock, topic journal.KeyedWriter, daemons func() int, log *zap.Logger) *Meter {
	m := &Meter{cfg: cfg, clock: clock, topic: topic, daemons: daemons, log: log, counter: usage.NewCounter(cfg.Flushing)}
	m.duty = duty.Start(sys, duty.Config{Name: "usage-meter", RingSize: cfg.RingSize, Tick: cfg.Tick, IdleTick: cfg.IdleTick}, duty.Handler[any](m))
	return m
}

// Began counts a request of a customer that an upstream began to run at a time of MeterConfig.Now.
// It never blocks.
func (m *Meter) Began(customer string, at time.Time) {
	t, ok := m.clock.Time()
	if customer == "" || !ok {
		return
	}
	if err := m.duty.Post(began{customer, t.Add(-m.cfg.Now().Sub(at))}); err != nil {
		requestsDropped.Add(1)
		m.log.Warn("request not counted", zap.Error(err))
	}
}

// Handle implements duty.Handler.
func (m *Meter) Handle(ctx context.Context, message any) {
	switch message := message.(type) {
	case began:
		m.counter.Add(message.customer, message.at)
		requestsCounted.Add(1)
	case flush:
		m.take(m.cfg.Boot())
		if len(m.unsaved) > 0 {
			m.save(ctx)
		}
		message.done.Put(struct{}{})
	}
}

// Tick stores the counts if that is due.
func (m *Meter) Tick(ctx context.Context) {
	now := m.cfg.Boot()
	t, _ := m.clock.Time()
	m.counter.SetDaemons(m.daemons())
	if m.counter.Due(now, t) {
		m.take(now)
	}
	if len(m.unsaved) > 0 && now >= m.retryAt {
		m.save(ctx)
	}
}

// Idle implements duty.Idler.
func (m *Meter) Idle() bool { return m.counter.Empty() && len(m.unsaved) == 0 }

// Flush stores what is counted, because the daemon stops. It returns when that is stored or fails.
func (m *Meter) Flush(ctx context.Context) {
	done := ring.NewSlot[struct{}]()
	if err := m.duty.Post(flush{done}); err != nil {
		m.log.Warn("usage counts not stored at the stop", zap.Error(err))
		return
	}
	_, _ = done.Wait(ctx) // the process ends anyway
}

// take moves the counts into records. Their keys are new, so that they add up, also if a call
// is repeated or executed late.
func (m *Meter) take(now time.Duration) {
	for window, counts := range m.counter.Take(now) {
		value, err := json.Marshal(counts)
		if err != nil {
			m.log.Error("usage counts not stored", zap.Int64("window", window), zap.Error(err))
			continue
		}
		m.number++
		m.unsaved = append(m.unsaved, journal.KeyedRecord{Key: countsKey(window, m.cfg.Writer, m.number), Value: value})
	}
}

// maxUnsaved bounds the records that wait for the store: an hour of windows of 5 s.
const maxUnsaved = 720

func (m *Meter) save(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	countAppends.Add(1)
	if err := m.topic.Put(ctx, m.unsaved); err != nil {
		if !m.failing {
			m.log.Warn("storing usage counts failed; they are stored later", zap.Int("records", len(m.unsaved)), zap.Error(err))
		}
		m.failing, m.retryAt = true, m.cfg.Boot()+m.cfg.RetryInterval
		if over := len(m.unsaved) - maxUnsaved; over > 0 {
			m.log.Error("usage counts lost", zap.Int("records", over))
			m.unsaved = slices.Delete(m.unsaved, 0, over)
		}
		return
	}
	m.failing, m.unsaved = false, nil
}

// Stop stops the duty. Errors: ctx.Err().
func (m *Meter) Stop(ctx context.Context) error { return m.duty.Stop(ctx) }

// countsKey returns the key of a record with counts: window, process and number.
func countsKey(window int64, writer string, number uint64) string {
	return fmt.Sprintf("%d/%s/%d", window, writer, number)
}

// CountsOf returns the sums by window of records with counts. Records that are not readable
// are left out, with the first error. Errors: *api.Error.
func CountsOf(records []journal.KeyedRecord) (map[int64]usage.Counts, error) {
	var first error
	out := make(map[int64]usage.Counts)
	for _, r := range records {
		window, ok := windowOfKey(r.Key)
		var c usage.Counts
		if err := json.Unmarshal(r.Value, &c); err != nil || !ok {
			if first == nil {
				first = api.Errorf(api.CodeInvalid, "usage counts %q: %v", r.Key, err)
			}
			continue
		}
		if out[window] == nil {
			out[window] = make(usage.Counts)
		}
		out[window].Add(c)
	}
	return out, first
}

func windowOfKey(key string) (int64, bool) {
	text, _, _ := strings.Cut(key, "/")
	window, err := strconv.ParseInt(text, 10, 64)
	return window, err == nil && window > 0
}

// keysUpTo returns the keys of the records of windows up to one.
func keysUpTo(records []journal.KeyedRecord, window int64) []journal.KeyedRecord {
	var out []journal.KeyedRecord
	for _, r := range records {
		if w, ok := windowOfKey(r.Key); ok && w <= window {
			out = append(out, journal.KeyedRecord{Key: r.Key})
		}
	}
	return out
}

// doneKey is the key of the window up to which all are reported or given up. The other keys of
// the topic are the numbers of windows.
const doneKey = "done"

// ReportsOf returns what the records of ReportsTopic say. Errors: *api.Error for a record that is
// not readable.
func ReportsOf(records []journal.KeyedRecord, end journal.Offset) (usage.Stored, error) {
	s := usage.Stored{End: uint64(end), Fixed: make(map[int64]usage.Counts)}
	for _, r := range records {
		if r.Key == doneKey {
			done, err := strconv.ParseInt(string(r.Value), 10, 64)
			if err != nil {
				return s, api.Errorf(api.CodeInvalid, "usage reports: %w", err)
			}
			s.Done = done
			continue
		}
		window, ok := windowOfKey(r.Key)
		var c usage.Counts
		if err := json.Unmarshal(r.Value, &c); err != nil || !ok {
			return s, api.Errorf(api.CodeInvalid, "usage report %q: %v", r.Key, err)
		}
		s.Fixed[window] = c
	}
	return s, nil
}

// recordsOf returns the records of an update.
func recordsOf(u usage.Update) ([]journal.KeyedRecord, error) {
	out := []journal.KeyedRecord{{Key: doneKey, Value: strconv.AppendInt(nil, u.Done, 10)}}
	for _, w := range slices.Sorted(maps.Keys(u.Fix)) {
		value, err := json.Marshal(u.Fix[w])
		if err != nil {
			return nil, err
		}
		out = append(out, journal.KeyedRecord{Key: strconv.FormatInt(w, 10), Value: value})
	}
	for _, w := range u.Remove {
		out = append(out, journal.KeyedRecord{Key: strconv.FormatInt(w, 10)})
	}
	return out, nil
}
