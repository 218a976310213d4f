package platform

import (
	"io"
	"net/http"
)

// Trouble is what is wrong with a server.
type Trouble int

// The troubles of a server.
const (
	TroubleNone   Trouble = iota
	TroubleSlow           // the time between two events is longer
	TroubleBusy           // refuses all requests
	TroubleCut            // breaks answers off in their middle
	TroubleLose           // runs requests and closes their connections without an answer
	TroubleGarble         // sends bytes that are no answer
	TroubleHang           // says nothing until the caller leaves
	TroubleFail           // answers 500
)

// SetTrouble changes what is wrong with the server, for requests that come from now on.
func (s *Server) SetTrouble(t Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
}

// begin spoils an answer that is wrong from its first byte. It reports whether
// it did so.
func (t Trouble) begin(w http.ResponseWriter, r *http.Request) bool {
	switch t {
	case TroubleLose:
		panic(http.ErrAbortHandler)
	case TroubleGarble:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(c, "\x00 no answer \r\n\r\n") // the caller may have left
			_ = c.Close()
		}
		return true
	case TroubleHang:
		<-r.Context().Done()
		return true
	case TroubleFail:
		w.WriteHeader(http.StatusInternalServerError)
		return true
	default:
		return false
	}
}
