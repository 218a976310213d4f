package metering

import (
	"context"
	"errors"
	"expvar"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/singleton"
	"dotterelmount.example/lib/usage"
	"go.uber.org/zap"
)

// Metering is the duty of reporting usage.
const Metering singleton.Duty = "metering"

var (
	windowsReported  = expvar.NewInt("usage_windows_reported")
	windowsGivenUp   = expvar.NewInt("usage_windows_given_up")
	lastReported     = expvar.NewInt("usage_last_window")         // number of the last window that was reported
	lastReportMillis = expvar.NewInt("usage_last_report_millis")  // time of its report after its end
	lateRequests     = expvar.NewInt("usage_late_requests")       // counted after their window was fixed
	reportFailures   = expvar.NewInt("usage_reports_failed")      // calls
	reporterFailures = expvar.NewInt("usage_store_calls_failed")  // of the holder
	pendingWindows   = expvar.NewInt("usage_windows_not_settled") // fixed, and not yet known to be reported
)

// Platform reports usage. Errors: *singleton.CallError.
type Platform interface {
	ReportUsage(ctx context.Context, t singleton.Term, u usage.Report) error
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Reporting      usage.Reporting
	Tick, IdleTick time.Duration // the latter while this daemon doesn't hold the duty
	CallTimeout    time.Duration // of a call to the store
}

// Reporter reports usage while this daemon holds the duty.
type Reporter struct {
	cfg      ReporterConfig
	clock    *Clock
	terms    singleton.Terms
	platform Platform
	counts   journal.KeyedWriter
	reports  journal.Keyed
	log      *zap.Logger
	duty     *duty.Duty[struct{}]
	first    int64 // window in which this process started

	term     singleton.Term
	decision *usage.Reporter // nil: this daemon doesn't hold the duty
	failing  bool            // the last call to the store failed
}

// StartReporter starts the duty.
func StartReporter(sys *duty.System, cfg ReporterConfig, clock *Clock, terms singleton.Terms, platform Platform, counts journal.KeyedWriter, reports journal.Keyed, log *zap.Logger) *Reporter {
	r := &Reporter{cfg: cfg, clock: clock, terms: terms, platform: platform, counts: counts, reports: reports, log: log}
	now, _ := clock.Time()
	r.first = usage.WindowOf(now, cfg.Reporting.Window)
	r.duty = duty.Start(sys, duty.Config{Name: "usage-reporter", RingSize: 1, Tick: cfg.Tick, IdleTick: cfg.IdleTick}, duty.Handler[struct{}](r))
	return r
}

// Handle implements duty.Handler.
func (r *Reporter) Handle(context.Context, struct{}) {}

// Idle implements duty.Idler.
func (r *Reporter) Idle() bool { return r.decision == nil }

// Tick does what is due under the present term.
func (r *Reporter) Tick(ctx context.Context) {
	const maxSteps = 8 // the next tick goes on
	for range maxSteps {
		t, ok := r.terms.Current(Metering)
		if !ok {
			r.decision = nil
			return
		}
		if r.decision == nil || t.Fence != r.term.Fence {
			r.decision = usage.NewReporter(r.cfg.Reporting, r.first)
		}
		r.term = t
		now, ok := r.clock.Time()
		if !ok || !r.step(ctx, now) {
			return
		}
	}
}

// step does one step, and reports whether the next may follow at once.
func (r *Reporter) step(ctx context.Context, now time.Time) bool {
	switch s := r.decision.Next(now); {
	case s.Read:
		return r.read(ctx, now)
	case s.Collect:
		return r.fix(ctx, now)
	case s.Send != nil:
		return r.send(ctx, *s.Send)
	default:
		return false
	}
}

func (r *Reporter) storeFailed(now time.Time, what string, err error) bool {
	if !r.failing {
		r.log.Warn(what, zap.Error(err))
	}
	r.failing = true
	reporterFailures.Add(1)
	r.decision.StoreFailed(now)
	return false
}

func (r *Reporter) read(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	records, end, err := r.reports.Newest(ctx)
	if err != nil {
		return r.storeFailed(now, "reading the usage reports failed", err)
	}
	stored, err := ReportsOf(records, end)
	if err != nil {
		return r.storeFailed(now, "usage reports are not readable", err)
	}
	if r.failing {
		r.log.Info("usage reports readable again")
	}
	r.failing = false
	r.decision.ReadDone(stored)
	return true
}

// fix fixes the windows that are due.
func (r *Reporter) fix(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	records, _, err := r.counts.Newest(ctx)
	if err != nil {
		return r.storeFailed(now, "reading the usage counts failed", err)
	}
	counts, err := CountsOf(records)
	if err != nil {
		r.log.Error("usage counts left out", zap.Error(err))
	}
	r.findLate(counts)
	u, ok := r.decision.Collected(now, counts)
	if !ok {
		return false
	}
	changes, err := recordsOf(u)
	if err != nil {
		return r.storeFailed(now, "usage can't be encoded", err)
	}
	end, err := r.reports.AppendAt(ctx, journal.Offset(u.At), changes)
	if err != nil {
		return r.storeFailed(now, "fixing usage windows failed", err)
	}
	r.decision.Updated(u, uint64(end))
	for w, c := range u.Fix {
		r.log.Info("usage window fixed", zap.Int64("window", w), zap.Int64("requests", c.Total()), zap.Int("customers", len(c)))
	}
	for _, w := range u.GivenUp {
		r.log.Error("usage window given up", zap.Int64("window", w))
		windowsGivenUp.Add(1)
	}
	pendingWindows.Set(int64(len(u.Fix)))
	r.clean(ctx, records)
	return true
}

// findLate reports requests that were stored after their window was fixed.
func (r *Reporter) findLate(counts map[int64]usage.Counts) {
	for w, c := range counts {
		fixed, ok := r.decision.Fixed(w)
		if late := c.Total() - fixed.Total(); ok && late > 0 {
			r.log.Warn("usage counts stored after their window was fixed", zap.Int64("window", w), zap.Int64("requests", late))
			lateRequests.Add(late)
		}
	}
}

// clean deletes the counts of windows that are done.
func (r *Reporter) clean(ctx context.Context, records []journal.KeyedRecord) {
	old := keysUpTo(records, r.decision.Done())
	if len(old) == 0 {
		return
	}
	if err := r.counts.Put(ctx, old); err != nil {
		r.log.Info("deleting old usage counts failed; they are deleted later", zap.Int("records", len(old)), zap.Error(err))
	}
}

// send reports a window.
func (r *Reporter) send(ctx context.Context, report usage.Report) bool {
	err := r.platform.ReportUsage(ctx, r.term, report)
	now, _ := r.clock.Time()
	after := now.Sub(usage.EndOf(report.Window, r.cfg.Reporting.Window))
	if err == nil {
		r.log.Info("usage reported", zap.Int64("window", report.Window), zap.Uint64("fence", r.term.Fence), zap.Int64("requests", report.Counts.Total()), zap.Duration("after_end", after))
		windowsReported.Add(1)
		lastReported.Set(report.Window)
		lastReportMillis.Set(after.Milliseconds())
		pendingWindows.Add(-1)
		r.decision.Sent(report.Window)
		return true
	}
	reportFailures.Add(1)
	r.log.Warn("usage report failed", zap.Int64("window", report.Window), zap.Uint64("fence", r.term.Fence), zap.Duration("after_end", after), zap.Error(err))
	var e *singleton.CallError
	if errors.As(err, &e) && e.Outcome == singleton.OutcomeRefused {
		r.decision.Sent(report.Window) // it would be refused again
		return true
	}
	r.decision.SendFailed(now)
	return false
}

// Stop stops the duty. Errors: ctx.Err().
func (r *Reporter) Stop(ctx context.Context) error { return r.duty.Stop(ctx) }
