package batch

// itemBytes is the memory of an item in the state besides its texts.
const itemBytes = 512

// Size returns about how much memory the job takes in the state, in bytes.
func (j *Job) Size() int {
	size := itemBytes
	for n := range j.Items {
		size += j.Items[n].size()
	}
	return size
}

func (i *Item) size() int {
	size := itemBytes + len(i.ID) + len(i.Path) + len(i.Group)
	for _, h := range i.Headers {
		size += fieldBytes + len(h.Name) + len(h.Value)
	}
	if i.Scorer != nil {
		size += itemBytes + len(i.Scorer.ID) + len(i.Scorer.Host) + len(i.Scorer.Path)
	}
	return size
}

// fieldBytes is the memory of a header field besides its texts.
const fieldBytes = 32

// JobBytes returns the sizes of all jobs in the state.
func (s *State) JobBytes() int { return s.jobBytes }
