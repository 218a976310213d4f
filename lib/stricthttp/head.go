package stricthttp

import (
	"bytes"
	"fmt"
	"regexp"
)

// MalformedError reports a response whose head is not one of HTTP/1.
type MalformedError struct{ Detail string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Detail }

func malformed(format string, args ...any) error {
	return &MalformedError{Detail: fmt.Sprintf(format, args...)}
}

var validStatus = regexp.MustCompile(`^[1-5][0-9][0-9]$`)

// head checks the head of the response to a request, and those of interim responses before
// it, as their bytes arrive. What net/http refuses on its own may pass.
type head struct {
	line    []byte // what has arrived of the current line
	inside  bool   // the status line has arrived
	interim bool   // another head follows
	done    bool
}

// check checks the next bytes of a connection. Errors: *MalformedError.
func (h *head) check(p []byte) error {
	for len(p) > 0 && !h.done {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, part...)
		if !ended {
			return nil
		}
		if err := h.checkLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
			return err
		}
		h.line, p = h.line[:0], rest
	}
	return nil
}

func (h *head) checkLine(line []byte) error {
	switch {
	case !h.inside:
		h.inside = true
		return h.checkStatus(line)
	case len(line) == 0:
		h.inside, h.done = false, !h.interim
	}
	return nil
}

// checkStatus checks that a status is between 100 and 599. No protocol may be switched to,
// since requests ask for none.
func (h *head) checkStatus(line []byte) error {
	protocol, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(protocol, []byte("HTTP/")) {
		return nil // net/http refuses it
	}
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !validStatus.Match(status) || string(status) == "101" {
		return malformed("status %q", status)
	}
	h.interim = status[0] == '1'
	return nil
}
