package batch

import "slices"

// continues reports whether an upstream can continue the text of an item: what two
// versions of the software generate doesn't fit together.
func (u *Upstream) continues(i *itemState) bool { return i.eventCount == 0 || u.Software == i.software }

// dropText removes the text of an item that starts anew.
func (i *itemState) dropText() {
	i.eventCount, i.chunks, i.versions, i.software, i.lastRun = 0, nil, nil, "", ""
}

// setSoftware sets the version of an upstream's software. Items placed there whose text
// it can't continue become pending.
func (s *State) setSoftware(u *Upstream, software string) {
	if u.Software == software {
		return
	}
	u.Software = software
	for _, i := range slices.Clone(s.placed[u.ID]) {
		if !u.continues(i) {
			s.unplace(i)
			s.addPending(i)
		}
	}
}
