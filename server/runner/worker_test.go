package runner

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/generation"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// scriptedEngine generates an event with each of the versions, in order.
type scriptedEngine struct {
	generation.Client
	versions []api.WeightVersion
	next     int
}

func (e *scriptedEngine) Start(context.Context, *directory.Upstream, *batch.Run, []byte) (generation.Stream, error) {
	return e, nil
}

func (e *scriptedEngine) Next() (generation.Event, error) {
	if e.next == len(e.versions) {
		return generation.Event{}, io.EOF
	}
	e.next++
	return generation.Event{Number: e.next, Data: "x", Version: e.versions[e.next-1]}, nil
}

func (e *scriptedEngine) Close() {}

// runSingleVersion runs an item of a single-version job whose text is flushed after each
// event. It returns the records of the text and the outcome.
func runSingleVersion(t *testing.T, droppable bool, versions ...api.WeightVersion) ([]*batch.TextAdded, *result) {
	t.Helper()
	var stored []*batch.TextAdded
	w := &worker{
		cfg: Config{FirstEventTimeout: time.Minute, EventTimeout: time.Minute, Now: time.Now}, log: zap.NewNop(),
		deps: Deps{
			Engine: &scriptedEngine{versions: versions}, View: directory.NewView, UpstreamsCurrent: func() bool { return true },
			Prompt:   func(context.Context, batch.ChunkRef) ([]byte, error) { return nil, nil },
			PostText: func(r *batch.TextAdded, _ string) error { stored = append(stored, r); return nil },
			StoreText: func(_ context.Context, r *batch.TextAdded, _ string) (batch.Offset, error) {
				stored = append(stored, r)
				return 1, nil
			},
			TextDroppable: func() bool { return droppable },
		},
	}
	r := &run{Run: batch.Run{Job: &batch.Job{SingleVersion: true, MinVersion: 1}, Item: &batch.Item{ID: "i"}, Upstream: "u"}, upstream: &directory.Upstream{ID: "u"}, ctx: t.Context(), startedAt: time.Now()}
	w.work(t.Context(), r)
	return stored, &r.result
}

// Guards against texts of two weight versions in a single-version job: the version may change
// at the first event after the text was flushed.
func TestRunOfOneVersionEndsWhenTheVersionChanges(t *testing.T) {
	stored, res := runSingleVersion(t, true, 1, 1, 2, 2)
	var changed *VersionChangedError
	assert.Assert(t, errors.As(res.err, &changed), "%v", res.err)
	for _, r := range stored {
		assert.DeepEqual(t, r.Versions, []api.WeightVersion{1})
		assert.Assert(t, !r.Done)
	}
	_, res = runSingleVersion(t, true, 2, 2, 2)
	assert.NilError(t, res.err)
}

// Guards against upstreams that get no items for a while because runs of single-version jobs
// met a newly loaded version there.
func TestVersionChangeIsNoFailureOfTheUpstream(t *testing.T) {
	_, res := runSingleVersion(t, true, 1, 2)
	assert.DeepEqual(t, res.outcome(&run{Run: batch.Run{Upstream: "u"}}), generation.RunOutcome{Upstream: "u"})
}

// Guards against items that are stranded while daemons of an older build, which can't drop
// their texts, are live.
func TestPartOfTextIsStoredOnlyIfItCanBeDropped(t *testing.T) {
	stored, _ := runSingleVersion(t, false, 1, 1, 2)
	assert.Equal(t, len(stored), 0)
	stored, res := runSingleVersion(t, false, 1, 1)
	assert.NilError(t, res.err)
	assert.Equal(t, len(stored), 1)
	assert.Assert(t, stored[0].Done && stored[0].EventCount == 2)
}
