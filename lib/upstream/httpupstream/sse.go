package httpupstream

import (
	"bufio"
	"bytes"
	"io"

	"dotterelmount.example/api"
)

// maxEventBytes is the maximum size of a server-sent event.
const maxEventBytes = 1 << 20

// eventReader reads the data of server-sent events.
type eventReader struct{ lines *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReader(r)}
}

// next returns the data of the next event with data. Errors: io.EOF at the end of
// the stream, io.ErrUnexpectedEOF within an event, CodeTooLarge, and those of the
// reader.
func (e *eventReader) next() ([]byte, error) {
	var data []byte
	started := false
	for {
		line, err := e.line()
		if err == io.EOF && (started || len(line) > 0) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && started {
			return data, nil
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue // a comment, another field or an empty event
		}
		if started {
			data = append(data, '\n')
		}
		started = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > maxEventBytes {
			return nil, api.Errorf(api.CodeTooLarge, "event exceeds %d bytes", maxEventBytes)
		}
	}
}

// line returns the next line without its line ending.
func (e *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := e.lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, api.Errorf(api.CodeTooLarge, "line exceeds %d bytes", maxEventBytes)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return line, err
		}
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
}
