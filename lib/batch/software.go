package batch

import (
	"slices"

	"dotterelmount.example/api"
)

// streamState is a stream that may be resumed.
type streamState struct {
	service, software string
	atMillis          int64 // its beginning, in Unix milliseconds
}

// addStream adds a stream. Its software never changes.
func (s *State) addStream(r *StreamBegan) bool {
	if _, ok := s.streams[r.Request]; ok {
		return false
	}
	s.streams[r.Request] = streamState{service: r.Service, software: r.Software, atMillis: r.AtMillis}
	return true
}

// StreamOrigin returns the service and the version of the software that began a stream. If
// id is empty, they are known only if all streams of the service that may be
// resumed began at one version. Errors: *UnknownStreamError.
func (s *State) StreamOrigin(service string, id api.RequestID) (originService, software string, err error) {
	if id != "" {
		if stream, ok := s.streams[id]; ok {
			return stream.service, stream.software, nil
		}
		return "", "", &UnknownStreamError{Request: id}
	}
	for _, stream := range s.streams {
		switch {
		case stream.service != service:
		case software == "":
			software = stream.software
		case software != stream.software:
			return "", "", &UnknownStreamError{}
		}
	}
	if software == "" {
		return "", "", &UnknownStreamError{}
	}
	return service, software, nil
}

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
