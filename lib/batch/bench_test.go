package batch

import (
	"fmt"
	"testing"

	"dotterelmount.example/api"
)

// fullState returns a state of the size that users' deployments have grown to: 44
// upstreams of 8 slots, 4 models, and 4 jobs with more items than slots.
func fullState() *State {
	const upstreams, models, groups, items = 44, 4, 19, 8
	s := New()
	s.Apply(1, &DaemonAlive{Daemon: "d", StartMillis: 1})
	versions := make(map[api.ModelName]api.WeightVersion)
	var names []api.ModelName
	for m := range models {
		names = append(names, api.ModelName(fmt.Sprint("m", m)))
		versions[names[m]] = 1
	}
	for u := range upstreams {
		s.Apply(Offset(2+u), &LeaseAcquired{Upstream: api.UpstreamID(fmt.Sprint("u", u)), Service: "s", Daemon: "d", Slots: 8, Models: names, Versions: versions})
	}
	for m := range models {
		j := Job{ID: JobID(fmt.Sprint("j", m)), Service: "s", Model: names[m], MaxAttempts: 3, MinVersion: 1}
		for g := range groups {
			for i := range items {
				j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprintf("%d-%d-%d", m, g, i)), Group: fmt.Sprint(g), OutputHint: 100 + 37*g%900 + i})
			}
		}
		s.Apply(Offset(100+m), &JobAccepted{Job: j})
	}
	return s
}

// BenchmarkApplyNoFreeSlot applies a record while all slots are taken and items
// are pending.
func BenchmarkApplyNoFreeSlot(b *testing.B) {
	s := fullState()
	b.ReportAllocs()
	at := Offset(1000)
	for b.Loop() {
		at++
		s.Apply(at, &EventIntervalMeasured{Upstream: "u1", Daemon: "d", Micros: int64(at)})
	}
}

// BenchmarkApplyNoEligibleItem applies a record while slots are free that no
// pending item can use.
func BenchmarkApplyNoEligibleItem(b *testing.B) {
	s := fullState()
	for _, i := range s.pending {
		i.job.job.MinVersion = 2
	}
	for _, i := range s.placed["u0"][:4] {
		s.unplace(i)
		i.state = ItemCompleted
	}
	b.ReportAllocs()
	at := Offset(1000)
	for b.Loop() {
		at++
		s.Apply(at, &EventIntervalMeasured{Upstream: "u1", Daemon: "d", Micros: int64(at)})
	}
}

// BenchmarkCompleteItem completes an item, whose slot goes to a pending one.
func BenchmarkCompleteItem(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s := fullState()
		i := s.placed["u0"][0]
		b.StartTimer()
		s.Apply(1000, &TextAdded{Job: i.job.job.ID, Item: i.item().ID, RunID: "r", EventCount: 1, Versions: []api.WeightVersion{1}, Done: true})
	}
}
