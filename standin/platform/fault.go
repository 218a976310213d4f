package platform

import (
	"bytes"
	"io"
	"net/http"
)

// Fault is a fault that a server injects into requests.
type Fault int

// The faults of a server.
const (
	FaultNone    Fault = iota
	FaultSlow          // increases the time between two events
	FaultBusy          // refuses all requests
	FaultCut           // truncates responses midway; every other event stream after the text of a crash
	FaultLose          // runs requests and closes their connections without a response
	FaultGarble        // sends bytes that are not HTTP
	FaultHang          // sends nothing until the caller disconnects
	FaultFail          // responds with status 500
	FaultEndless       // sends bytes without end, in a header line or in the body, until the caller disconnects
	FaultCutHead       // closes the connection in the middle of the head
	FaultCopies        // sends a copy of each response once more before the next one on its connection
)

// SetFault changes the fault injected into requests that arrive from now on.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// sendsCopies reports whether the fault is FaultCopies.
func (s *Server) sendsCopies() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == FaultCopies
}

// inject applies a fault that replaces the response from its first byte and
// reports whether it did. For FaultLose it panics with http.ErrAbortHandler.
func (f Fault) inject(w http.ResponseWriter, r *http.Request) bool {
	switch f {
	case FaultLose:
		panic(http.ErrAbortHandler)
	case FaultGarble:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(c, "\x00 no answer \r\n\r\n") // the caller may have disconnected
			_ = c.Close()
		}
		return true
	case FaultCutHead:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Requ") // the caller may have disconnected
			_ = c.Close()
		}
		return true
	case FaultEndless:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			writeEndless(c, len(r.RequestURI)%2 == 0)
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

// writeEndless writes a header line or a body without end until writing fails.
func writeEndless(w io.Writer, inHead bool) {
	head := "HTTP/1.1 200 OK\r\nX-Padding: "
	if !inHead {
		head += "\r\n\r\n"
	}
	block := bytes.Repeat([]byte("x"), 32<<10)
	for _, err := io.WriteString(w, head); err == nil; {
		_, err = w.Write(block)
	}
}
