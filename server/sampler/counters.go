package sampler

import (
	"expvar"

	"dotterelmount.example/lib/samples"
)

// Counters of this process. Those of samples count records as they are folded
// here, so every daemon that follows a trainer counts them.
var (
	due          = expvar.NewInt("samples_due")
	ready        = expvar.NewInt("samples_ready")
	handed       = expvar.NewInt("samples_handed")
	final        = expvar.NewInt("samples_final")
	returned     = expvar.NewInt("samples_returned")
	duplicate    = expvar.NewInt("samples_duplicate")
	droppedStale = expvar.NewInt("samples_dropped_stale")
	lost         = expvar.NewInt("samples_lost")
	voidPulls    = expvar.NewInt("samples_void_pulls")

	retries        = expvar.NewInt("samples_jobs_again") // retries and hedges
	refused        = expvar.NewInt("samples_jobs_refused")
	takeOvers      = expvar.NewInt("samples_steps_taken_over")
	readFailures   = expvar.NewInt("samples_read_failures")
	appendFailures = expvar.NewInt("samples_append_failures")
	checkpoints    = expvar.NewInt("samples_checkpoints_proposed")
	gaps           = expvar.NewInt("samples_stream_gaps") // needed records had expired
	undecodable    = expvar.NewInt("samples_records_undecodable")
)

// addCounts adds what changed since the last call.
func addCounts(last *samples.Counts, now samples.Counts) {
	due.Add(int64(now.Due - last.Due))
	ready.Add(int64(now.Ready - last.Ready))
	handed.Add(int64(now.Handed - last.Handed))
	final.Add(int64(now.Final - last.Final))
	returned.Add(int64(now.Returned - last.Returned))
	duplicate.Add(int64(now.Duplicate - last.Duplicate))
	droppedStale.Add(int64(now.DroppedStale - last.DroppedStale))
	lost.Add(int64(now.Lost - last.Lost))
	voidPulls.Add(int64(now.VoidPulls - last.VoidPulls))
	*last = now
}
