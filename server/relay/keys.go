package relay

import (
	"errors"
	"time"

	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/opaque"
	"go.uber.org/zap"
)

// checkKey returns an error if a job must not start an attempt, because its caller's key was
// taken away since the request arrived, or may have been. Requests without a key were
// checked elsewhere. Errors: those of Forward.
func (r *Relay) checkKey(j *job, now time.Time) error {
	q := j.request
	if q.Key.IsZero() {
		return nil
	}
	view := r.view()
	d := r.cfg.Keys.Decide(view.Customers, q.Key, q.Route.Public, now.Sub(view.ConfigAsOf))
	if d.Outcome == access.Open || d.Allowed() && d.Customer == q.Customer {
		return nil
	}
	r.log.Info("request ended for its key", zap.String("request", string(q.ID)), zap.Stringer("outcome", d.Outcome), zap.Stringer("key", q.Key),
		zap.String("customer", q.Customer), zap.Uint64("config", view.Table.Version()), zap.Time("config_as_of", view.ConfigAsOf))
	j.failureResponse = nil // of an upstream; the caller may not have it any more
	reason := d.Outcome.String()
	if d.Allowed() {
		reason = "the key has another customer now"
	}
	err := j.failure(reason, false, r.cfg.RetryAfter)
	var notRun *opaque.NotRunError
	if errors.As(err, &notRun) {
		notRun.KeyInvalid = d.Outcome == access.UnknownKey
	}
	return err
}
