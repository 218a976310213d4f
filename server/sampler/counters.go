package sampler

import (
	"expvar"

	"dotterelmount.example/lib/samples"
)

// Counters of this process. Those of samples count applied records, so every
// daemon that follows a trainer counts them.
var (
	samplesDue          = expvar.NewInt("samples_due")
	samplesReady        = expvar.NewInt("samples_ready")
	samplesHanded       = expvar.NewInt("samples_handed")
	samplesFinal        = expvar.NewInt("samples_final")
	samplesReturned     = expvar.NewInt("samples_returned")
	samplesDuplicate    = expvar.NewInt("samples_duplicate")
	samplesDroppedStale = expvar.NewInt("samples_dropped_stale")
	samplesLost         = expvar.NewInt("samples_lost")
	voidPulls           = expvar.NewInt("samples_void_pulls")

	jobsRetried         = expvar.NewInt("samples_jobs_again") // retried and hedged
	jobsRefused         = expvar.NewInt("samples_jobs_refused")
	stepsTakenOver      = expvar.NewInt("samples_steps_taken_over")
	readFailures        = expvar.NewInt("samples_read_failures")
	appendFailures      = expvar.NewInt("samples_append_failures")
	checkpointsProposed = expvar.NewInt("samples_checkpoints_proposed")
	streamGaps          = expvar.NewInt("samples_stream_gaps") // required records had expired
	undecodableRecords  = expvar.NewInt("samples_records_undecodable")
)

// addCounts adds the changes since the last call.
func addCounts(last *samples.Counts, now samples.Counts) {
	samplesDue.Add(int64(now.Due - last.Due))
	samplesReady.Add(int64(now.Ready - last.Ready))
	samplesHanded.Add(int64(now.Handed - last.Handed))
	samplesFinal.Add(int64(now.Final - last.Final))
	samplesReturned.Add(int64(now.Returned - last.Returned))
	samplesDuplicate.Add(int64(now.Duplicate - last.Duplicate))
	samplesDroppedStale.Add(int64(now.DroppedStale - last.DroppedStale))
	samplesLost.Add(int64(now.Lost - last.Lost))
	voidPulls.Add(int64(now.VoidPulls - last.VoidPulls))
	*last = now
}
