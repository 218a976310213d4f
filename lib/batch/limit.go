package batch

import "math"

const (
	minRunSeconds   = 1 // the least duration of a run that slotsOf assumes
	microsPerSecond = 1e6
)

// setRequestLimit sets or removes the request limit of an upstream.
func (s *State) setRequestLimit(r *RequestLimitNamed) bool {
	u, ok := s.upstreams[r.Upstream]
	if !ok || u.RequestLimit == r.PerSecond {
		return false
	}
	u.RequestLimit = r.PerSecond
	s.placementDue = true
	return true
}

// slotsOf returns the number of items that may be placed on an upstream for another item
// to have room there: its slots and, if it has a request limit, at most as many runs as it
// starts in the time that the item runs. More would only wait, though another upstream may
// start them at once. Long items fill the slots of an upstream with few requests.
func (s *State) slotsOf(u *Upstream, i *itemState) int {
	if u.RequestLimit <= 0 {
		return u.Slots
	}
	runSeconds := max(minRunSeconds, s.expectedEvents(i)*float64(u.EventIntervalMicros)/microsPerSecond)
	return min(u.Slots, max(1, int(math.Ceil(u.RequestLimit*runSeconds))))
}

// expectedEvents returns the expected number of events of an item: the average of its
// model, in proportion to its expected output within its job.
func (s *State) expectedEvents(i *itemState) float64 {
	if i.job.meanOutput <= 0 {
		return s.eventsPerItem[i.job.job.Model]
	}
	return s.eventsPerItem[i.job.job.Model] * float64(i.remaining()) / i.job.meanOutput
}

// setMeanOutput sets the mean of the expected outputs of a job's items.
func (j *jobState) setMeanOutput() {
	sum := 0
	for _, i := range j.items {
		sum += i.remaining()
	}
	if len(j.items) > 0 {
		j.meanOutput = float64(sum) / float64(len(j.items))
	}
}

// recordItemLength adds the texts completed by an ended job to the average of its model.
func (s *State) recordItemLength(j *jobState) {
	events, texts := 0, 0
	for _, i := range j.items {
		if i.textDone {
			events += i.eventCount
			texts++
		}
	}
	if texts == 0 {
		return
	}
	mean, m := float64(events)/float64(texts), j.job.Model
	if old, ok := s.eventsPerItem[m]; ok {
		mean = old + newestWeight*(mean-old)
	}
	s.eventsPerItem[m] = mean
}
