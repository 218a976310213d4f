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
	by      string
	reply   *ring.Slot[result[AbandonResult]]
	expires time.Time
}

// abandonCall is a call of AbandonStep under way.
type abandonCall struct {
	abandonMessage
	record api.RecordID // empty until it is appended
	ended  bool
}

func (w *abandonCall) finish(a AbandonResult, err error) {
	w.ended = true
	w.reply.Put(result[AbandonResult]{value: a, err: err})
}

func (m abandonMessage) apply(c *core) {
	c.releaseCall()
	w := &abandonCall{abandonMessage: m}
	f, err := c.follow(m.trainer)
	if err != nil {
		w.finish(AbandonResult{}, err)
		return
	}
	f.abandons = append(f.abandons, w)
	c.advanceCalls(f)
}

// advanceAbandon appends the record once the end of the stream was seen; the
// fold's verdict, or the append's failure, answers the call.
func (c *core) advanceAbandon(f *trainerState, w *abandonCall, now time.Time) {
	if w.ended || w.record != "" {
		return
	}
	if now.After(w.expires) {
		w.finish(AbandonResult{}, api.Errorf(api.CodeDeadlineExceeded, "step %q was not abandoned in time", w.step))
		return
	}
	if !f.replica.Synced() {
		return
	}
	w.record = api.RecordID(c.newID())
	rec := samples.Record{ID: w.record, Body: samples.StepAbandoned{Step: w.step, Actor: w.by}}
	fail := func(err error) {
		if err != nil && !w.ended {
			w.finish(AbandonResult{}, err)
		}
	}
	fail(c.append(f, rec, fail))
}

// verdict answers the call with what the fold lost.
func (w *abandonCall) verdict(v *samples.Verdict) {
	if !w.ended {
		w.finish(AbandonResult{Offset: v.Offset, LostSamples: v.Lost}, v.Err)
	}
}
