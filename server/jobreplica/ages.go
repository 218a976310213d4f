package jobreplica

import (
	"maps"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
)

// ages knows since when things that other daemons dated exist, by this process's steady
// clock: clocks of hosts differ, and jump.
type ages[K comparable] map[K]time.Time

// add notes that something exists. If its record was read as it was appended, it exists
// since now. In a history its age is unknown; it is then the one by the date, in Unix
// milliseconds, if that is not in the future.
func (a ages[K]) add(key K, dateMillis int64, fromHistory bool, now time.Time) {
	a[key] = now
	if fromHistory {
		a[key] = now.Add(-time.Duration(max(0, now.UnixMilli()-dateMillis)) * time.Millisecond)
	}
}

// of returns the age of something; zero if it isn't known.
func (a ages[K]) of(key K, now time.Time) time.Duration {
	since, ok := a[key]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// noteAge notes the job or stream that an applied record adds.
func (j *JobReplica) noteAge(r batch.Record) {
	fromHistory, now := j.lastFullRead.IsZero(), j.cfg.Now()
	switch r := r.(type) {
	case *batch.JobAccepted:
		j.jobAges.add(r.Job.ID, r.Job.SubmittedMillis, fromHistory, now)
	case *batch.StreamBegan:
		j.streamAges.add(r.Request, r.AtMillis, fromHistory, now)
	}
}

// loadAges notes the jobs and streams of a state read from a checkpoint. Those that this
// process knew keep their ages.
func (j *JobReplica) loadAges(img *batch.Image, now time.Time) {
	for n := range img.Jobs {
		job := img.Jobs[n].Job
		if _, ok := j.jobAges[job.ID]; !ok {
			j.jobAges.add(job.ID, job.SubmittedMillis, true, now)
		}
	}
	for _, s := range img.Streams {
		if _, ok := j.streamAges[s.Request]; !ok {
			j.streamAges.add(s.Request, s.AtMillis, true, now)
		}
	}
}

// forgetFinished forgets what is older than JobRetention.
func (j *JobReplica) forgetFinished() {
	now := j.cfg.Now()
	oldStream := func(id api.RequestID) bool { return j.streamAges.of(id, now) >= j.cfg.JobRetention }
	j.state.ForgetFinished(func(id batch.JobID) bool { return j.jobAges.of(id, now) >= j.cfg.JobRetention }, oldStream)
	j.jobBytes.Store(int64(j.state.JobBytes()))
	if j.partial {
		return // a checkpoint may have the jobs
	}
	maps.DeleteFunc(j.jobAges, func(id batch.JobID, _ time.Time) bool { return j.state.CheckJob(id) != nil })
	maps.DeleteFunc(j.streamAges, func(id api.RequestID, _ time.Time) bool { return oldStream(id) })
}
