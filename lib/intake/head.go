package intake

import "bytes"

// Head follows the bytes of a request line and its headers up to the empty line that ends
// them. Empty lines before the request line count as part of it.
type Head struct {
	RequestLine, Headers int // bytes, without the empty line at the end
	Lines                int
	inLine               bool // bytes other than \r since the last \n
	begun                bool // the request line has ended
}

// Add follows the next bytes and reports whether the head has ended.
func (h *Head) Add(p []byte) (ended bool) {
	for len(p) > 0 {
		line, complete := p, false
		if i := bytes.IndexByte(p, '\n'); i >= 0 {
			line, complete = p[:i+1], true
		}
		blank := !h.inLine && isBlank(line)
		h.count(line, blank)
		p = p[len(line):]
		if !complete {
			h.inLine = h.inLine || !blank
			return false
		}
		h.Lines++
		h.inLine = false
		if blank && h.begun {
			return true
		}
		h.begun = h.begun || !blank
	}
	return false
}

func (h *Head) count(line []byte, blank bool) {
	switch {
	case !h.begun:
		h.RequestLine += len(line)
	case !blank:
		h.Headers += len(line)
	}
}

func isBlank(line []byte) bool { return len(bytes.Trim(line, "\r\n")) == 0 }

// Exceeds reports whether the request line or the headers have more bytes than the limit.
func (h *Head) Exceeds(limit int64) bool {
	return int64(h.RequestLine) > limit || int64(h.Headers) > limit
}

// Cost returns the memory of the head while its request is handled.
func (h *Head) Cost() int64 { return int64(h.RequestLine + h.Headers + h.Lines*LineBytes) }
