package stricthttp

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"

	"golang.org/x/net/http/httpguts"
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
	hasCR   bool   // the status line ended with CRLF, not LF
	chunks  bool   // the version of HTTP has chunked bodies
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
		if err := h.checkLine(h.line); err != nil {
			return err
		}
		h.line, p = h.line[:0], rest
	}
	return nil
}

// checkLine checks a line without its LF. The lines of a head end in one way, so that an LF
// in a name is not taken for the end of the head.
func (h *head) checkLine(line []byte) error {
	content := bytes.TrimSuffix(line, []byte("\r"))
	hasCR := len(content) < len(line)
	switch {
	case !h.inside:
		h.inside, h.hasCR = true, hasCR
		return h.checkStatus(content)
	case hasCR != h.hasCR:
		return malformed("line endings differ at %q", line)
	case len(content) == 0:
		h.inside, h.done = false, !h.interim
		h.line = nil // an idle connection keeps no buffer
		return nil
	default:
		return h.checkField(content)
	}
}

// checkField checks the name in a field line. A folded line is refused, too: it can't be told
// from a name that begins with a blank.
func (h *head) checkField(line []byte) error {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("field name %q", name)
	}
	if !h.chunks && strings.EqualFold(string(name), "Transfer-Encoding") {
		return malformed("transfer encoding in a version without it")
	}
	return nil
}

// checkStatus checks that the version is HTTP/1.x and the status between 100 and 599. No
// protocol may be switched to, since requests ask for none.
func (h *head) checkStatus(line []byte) error {
	protocol, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(protocol, []byte("HTTP/")) {
		return nil // net/http refuses it
	}
	if !bytes.HasPrefix(protocol, []byte("HTTP/1.")) {
		return malformed("version %q", protocol)
	}
	h.chunks = string(protocol) != "HTTP/1.0"
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !validStatus.Match(status) || string(status) == "101" {
		return malformed("status %q", status)
	}
	h.interim = status[0] == '1'
	return nil
}
