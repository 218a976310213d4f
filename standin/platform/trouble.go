package platform

import (
	"io"
	"net/http"
)

// Fault is what is wrong with a server.
type Fault int

// The troubles of a server.
const (
	FaultNone   Fault = iota
	FaultSlow         // the time between two events is longer
	FaultBusy         // refuses all requests
	FaultCut          // breaks answers off in their middle
	FaultLose         // runs requests and closes their connections without an answer
	FaultGarble       // sends bytes that are no answer
	FaultHang         // says nothing until the caller leaves
	FaultFail         // answers 500
)

// SetFault changes what is wrong with the server, for requests that come from now on.
func (s *Server) SetFault(t Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = t
}

// inject spoils an answer that is wrong from its first byte. It reports whether
// it did so.
func (t Fault) inject(w http.ResponseWriter, r *http.Request) bool {
	switch t {
	case FaultLose:
		panic(http.ErrAbortHandler)
	case FaultGarble:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(c, "\x00 no answer \r\n\r\n") // the caller may have left
			_ = c.Close()
		}
		return true
	case FaultHang:
		<-r.Context().Done()
		return true
	case FaultFail:
		w.WriteHeader(http.StatusInternalServerError)
		return true
	default:
		return false
	}
}
