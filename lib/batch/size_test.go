package batch

import (
	"math/rand/v2"
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// The sizes of a state's jobs are those of its image, and those of forgotten jobs are gone.
func TestJobBytesFollowTheJobs(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := New()
	all := func(JobID) bool { return true }
	none := func(api.RequestID) bool { return false }
	for n := range 2000 {
		s.Apply(Offset(n), anyRecord(rng, n))
		if n%100 == 0 {
			s.ForgetFinished(all, none)
		}
		want := 0
		for _, j := range s.jobs {
			want += j.job.Size()
		}
		assert.Equal(t, s.JobBytes(), want)
	}
	assert.Assert(t, s.JobBytes() > 0)
	restored, err := FromImage(s.Image())
	assert.NilError(t, err)
	assert.Equal(t, restored.JobBytes(), s.JobBytes())
}

func TestJobSizeCountsItsTexts(t *testing.T) {
	small := Job{Items: []Item{{ID: "i"}}}
	large := Job{Items: []Item{{ID: "i", Path: "/abc", Headers: []HeaderField{{Name: "A", Value: "bc"}}, Scorer: &Scorer{Host: "h"}}}}
	assert.Equal(t, large.Size(), small.Size()+4+fieldBytes+3+itemBytes+1)
}
