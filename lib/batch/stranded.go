package batch

// isStranded reports whether only the weight version of its text keeps an item from running:
// upstreams that can run its job have room, but none of them has that version.
func (s *State) isStranded(i *itemState) bool {
	if !i.job.job.SingleVersion || i.eventCount == 0 || i.textDone || i.upstream != "" || i.state != ItemOpen || i.job.ended {
		return false
	}
	free, _ := s.freeUpstreams()
	room := false
	for _, u := range s.candidates(free, i.job) {
		if s.hasRoomFor(u, i) {
			return false
		}
		room = room || len(s.placed[u.ID]) < s.slotsOf(u, i)
	}
	return room
}

// dropStranded drops the text of a stranded item, which is then placed where there is room.
func (s *State) dropStranded(r *TextDropped) bool {
	i := s.findOpenItem(r.Job, r.Item)
	if i == nil || i.eventCount != r.EventCount || !s.isStranded(i) {
		return false
	}
	i.dropText()
	s.placementDue = true
	return true
}
