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
	reply   *ring.Slot[result[Abandonment]]
	expires time.Time
}

// abandonWait is a call of AbandonStep under way.
type abandonWait struct {
	abandonMessage
	record api.RecordID // empty until it is appended
	ended  bool
}

func (w *abandonWait) finish(a Abandonment, err error) {
	w.ended = true
	w.reply.Put(result[Abandonment]{value: a, err: err})
}

func (m abandonMessage) apply(c *core) {
	c.release()
	w := &abandonWait{abandonMessage: m}
	f, err := c.follow(m.trainer)
	if err != nil {
		w.finish(Abandonment{}, err)
		return
	}
	f.abandons = append(f.abandons, w)
	c.advance(f)
}

// advanceAbandon appends the record once the end of the stream was seen; the
// fold's verdict, or the append's failure, answers the call.
func (c *core) advanceAbandon(f *follow, w *abandonWait, now time.Time) {
	if w.ended || w.record != "" {
		return
	}
	if now.After(w.expires) {
		w.finish(Abandonment{}, api.Errorf(api.CodeDeadlineExceeded, "step %q was not abandoned in time", w.step))
		return
	}
	if !f.replica.Synced() {
		return
	}
	w.record = api.RecordID(c.newID())
	rec := samples.Record{ID: w.record, Body: samples.StepAbandoned{Step: w.step, By: w.by}}
	fail := func(err error) {
		if err != nil && !w.ended {
			w.finish(Abandonment{}, err)
		}
	}
	fail(c.append(f, rec, fail))
}

// verdict answers the call with what the fold lost.
func (w *abandonWait) verdict(v *samples.Verdict) {
	if !w.ended {
		w.finish(Abandonment{Offset: v.Offset, Lost: v.Lost}, v.Err)
	}
}
