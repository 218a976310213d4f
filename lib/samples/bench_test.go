package samples_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
)

// BenchmarkPlan measures one call of Plan for a step of 4,096 samples, of which
// 1,024 are running.
func BenchmarkPlan(b *testing.B) {
	s := samples.NewStream()
	open := samples.StepOpened{Step: "s", Model: "m", Customer: "c"}
	for i := range 512 {
		prompt := []work.Message{{Role: "user", Content: "x"}}
		open.Groups = append(open.Groups, samples.GroupSpec{ID: samples.GroupID(fmt.Sprint(i)), Messages: prompt, N: 8, MaxTokens: 9})
	}
	s.Apply(1, samples.Record{ID: "a", Body: open})
	s.Apply(2, samples.Record{ID: "b", Body: samples.StepRunner{Step: "s", Daemon: "d"}})
	cfg := plannerConfig()
	cfg.MaxOutstanding = 1024
	r := samples.NewPlanner(cfg, "d")
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		r.Plan(s, allAlive, 1024, now)
	}
}
