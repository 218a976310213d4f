package retry_test

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/retry"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

var codes = []api.Code{
	api.CodeUpstreamFailed, api.CodeUpstreamSilent, api.CodeTruncated, api.CodeNoUpstream, api.CodeShed,
	api.CodeNotReady, api.CodeCancelled, api.CodeInvalid, api.CodeDeadlineExceeded, api.CodeQuarantined,
}

func TestOutcomeMatchesWhatWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := retry.Failure{
			Code:       rapid.SampledFrom(codes).Draw(t, "code"),
			Sent:       rapid.Bool().Draw(t, "sent"),
			Responded:  rapid.Bool().Draw(t, "responded"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Deadline:   t0.Add(time.Duration(rapid.IntRange(-2, 2).Draw(t, "left")) * time.Second),
			Attempts:   rapid.IntRange(1, 10).Draw(t, "attempts"),
		}
		d := retry.Decide(f, t0)
		if d.Retry {
			assert.Assert(t, f.Repeatable || !f.Sent, "retry of a non-repeatable request that was sent")
			assert.Assert(t, f.Deadline.After(t0) && f.Attempts < retry.MaxAttempts)
			return
		}
		assert.Equal(t, d.Outcome == api.OutcomeNotRun, !f.Sent)
		assert.Equal(t, d.Outcome == api.OutcomeUnknown, f.Sent && !f.Responded)
		assert.Equal(t, d.Outcome == api.OutcomeFailed, f.Sent && f.Responded)
	})
}

func TestUnsentNonRepeatableRequestIsRetried(t *testing.T) {
	f := retry.Failure{Code: api.CodeUpstreamFailed, Deadline: t0.Add(time.Second), Attempts: 1}
	assert.Assert(t, retry.Decide(f, t0).Retry)
}

func TestBudgetBoundsRetriesInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewBudget(0.1, 0.5)
		now := t0
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				requests = append(requests, now)
			} else if b.Allow(now) {
				retries = append(retries, now)
			}
		}
		// The window covers between nine and ten seconds.
		for _, end := range retries {
			r := within(retries, end, 9*time.Second)
			q := within(requests, end, 10*time.Second)
			assert.Assert(t, float64(r) <= 0.1*float64(q)+0.5*10, "%d retries for %d requests", r, q)
		}
	})
}

func within(times []time.Time, end time.Time, length time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < length {
			n++
		}
	}
	return n
}

func TestBudgetRecovers(t *testing.T) {
	b := retry.NewBudget(0, 0.1)
	assert.Assert(t, b.Allow(t0))
	assert.Assert(t, !b.Allow(t0))
	assert.Assert(t, b.Allow(t0.Add(11*time.Second)))
}
