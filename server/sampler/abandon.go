package sampler

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/samples"
)

type abandonMessage struct {
	trainer api.TrainerID
	step    samples.StepID
	actor   string
	reply   *ring.Slot[result[AbandonResult]]
	expires time.Time
}

// abandonCall is a pending call of AbandonStep.
type abandonCall struct {
	abandonMessage
	recordID api.RecordID // empty until it is appended
	ended    bool
}

func (a *abandonCall) finish(res AbandonResult, err error) {
	a.ended = true
	a.reply.Put(result[AbandonResult]{value: res, err: err})
}

func (m abandonMessage) apply(c *core) {
	c.releaseCall()
	ac := &abandonCall{abandonMessage: m}
	ts, err := c.follow(m.trainer)
	if err != nil {
		ac.finish(AbandonResult{}, err)
		return
	}
	ts.abandonCalls = append(ts.abandonCalls, ac)
	c.advanceCalls(ts)
}

// advanceAbandon appends the record once the replica is synced. The record's
// verdict or a failed append completes the call.
func (c *core) advanceAbandon(ts *trainerState, ac *abandonCall, now time.Time) {
	if ac.ended || ac.recordID != "" {
		return
	}
	if now.After(ac.expires) {
		ac.finish(AbandonResult{}, api.Errorf(api.CodeDeadlineExceeded, "step %q was not abandoned in time", ac.step))
		return
	}
	if !ts.replica.Synced() {
		return
	}
	ac.recordID = api.RecordID(c.newID())
	rec := samples.Record{ID: ac.recordID, Body: samples.StepAbandoned{Step: ac.step, Actor: ac.actor}}
	fail := func(err error) {
		if err != nil && !ac.ended {
			ac.finish(AbandonResult{}, err)
		}
	}
	fail(c.appendSampleRecord(ts, rec, fail))
}

// handleVerdict ends the call with the samples that were lost when the record was
// applied.
func (a *abandonCall) handleVerdict(v *samples.Verdict) {
	if !a.ended {
		a.finish(AbandonResult{Offset: v.Offset, LostSamples: v.Lost}, v.Err)
	}
}
