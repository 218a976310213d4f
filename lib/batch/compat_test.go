package batch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"dotterelmount.example/api"
	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// levelZeroRecord draws a record that builds of every level read.
func levelZeroRecord(rng *rand.Rand, n int) Record {
	job, item := JobID(fmt.Sprint("j", rng.IntN(4))), ItemID(fmt.Sprint("i", rng.IntN(6)))
	upstream, daemon := api.UpstreamID(fmt.Sprint("u", rng.IntN(5))), api.DaemonID(fmt.Sprint("d", rng.IntN(3)))
	versions := map[api.ModelName]api.WeightVersion{"m": api.WeightVersion(rng.IntN(4)), "n": api.WeightVersion(rng.IntN(4))}
	software := fmt.Sprint("v", rng.IntN(2))
	switch rng.IntN(16) {
	case 0, 1:
		j := Job{
			ID: job, Service: fmt.Sprint("s", rng.IntN(2)), Model: api.ModelName([]string{"m", "n"}[rng.IntN(2)]), MinVersion: api.WeightVersion(rng.IntN(3)),
			MaxAttempts: 2, SingleVersion: rng.IntN(2) == 0,
		}
		for i := range rng.IntN(6) + 1 {
			j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprint("i", i)), Group: fmt.Sprint(i / 2), OutputHint: rng.IntN(4)})
		}
		return &JobAccepted{Job: j}
	case 2:
		return &JobEnded{ID: job}
	case 3, 4, 5:
		from := rng.IntN(3)
		return &TextAdded{
			Job: job, Item: item, RunID: fmt.Sprint("r", rng.IntN(2)), RunStart: from, FirstEvent: from, EventCount: 1 + rng.IntN(2),
			Versions: []api.WeightVersion{api.WeightVersion(1 + rng.IntN(2))}, Software: software, Done: rng.IntN(3) == 0,
		}
	case 6:
		return &ItemFailed{Job: job, Item: item, Status: 500}
	case 7:
		return &ItemMoved{Job: job, Item: item, FromUpstream: upstream}
	case 8:
		return &DaemonAlive{Daemon: daemon, StartMillis: int64(rng.IntN(3))}
	case 9:
		return &DaemonLeft{Daemon: daemon}
	case 10:
		return &UpstreamRemoved{Upstream: upstream, Daemon: daemon}
	case 11:
		return &ItemExpired{Job: job, Item: item}
	case 12, 13:
		return &UpstreamChanged{Upstream: upstream, Daemon: daemon, Condition: Condition(rng.IntN(5)), Software: software, Versions: versions}
	default:
		return &LeaseAcquired{
			Upstream: upstream, Service: fmt.Sprint("s", rng.IntN(2)), Daemon: daemon, PreviousLease: Offset(rng.IntN(2) * rng.IntN(n+1)), Slots: 2,
			Models: []api.ModelName{"m", "n"}, Software: software, Versions: versions,
		}
	}
}

// digest returns a hash of all that daemons decide from a state.
func (s *State) digest() uint64 {
	var b strings.Builder
	for _, u := range s.Upstreams() {
		fmt.Fprintln(&b, u.ID, u.Service, u.Holder, u.PreviousHolder, u.LeaseOffset, u.Slots, u.Condition, u.Software, u.Versions, u.AssignedModel)
	}
	for _, d := range []api.DaemonID{"d0", "d1", "d2"} {
		var runs []Run
		for _, r := range s.Runs(d) {
			runs = append(runs, r)
		}
		slices.SortFunc(runs, func(a, b Run) int { return cmp.Or(cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Item.ID, b.Item.ID)) })
		for _, r := range runs {
			fmt.Fprintln(&b, d, r.Job.ID, r.Item.ID, r.Upstream, r.LeaseOffset, r.EventCount, r.Versions, r.Software)
		}
	}
	for _, j := range s.JobReports() {
		results, err := s.Results(j.ID, 0, 1<<20)
		fmt.Fprintln(&b, j.ID, j.Completed, j.Errored, j.Open, j.Ended, results.Results, err)
	}
	return xxhash.Sum64String(b.String())
}

// Guards against replicas of two builds that differ while hosts are upgraded one after the
// other: testdata/folds.txt has the digests that commit b6ee0f2 computes.
func TestFoldIsThatOfTheBuildBefore(t *testing.T) {
	const journals, records = 300, 400
	var got strings.Builder
	for seed := range uint64(journals) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s, sum := New(), uint64(0)
		for n := range records {
			s.Apply(Offset(n+1), levelZeroRecord(rng, n))
			sum = sum*31 + s.digest()
		}
		fmt.Fprintf(&got, "%d %016x\n", seed, sum)
	}
	want, err := os.ReadFile("testdata/folds.txt")
	assert.NilError(t, err)
	assert.Equal(t, got.String(), string(want))
}
