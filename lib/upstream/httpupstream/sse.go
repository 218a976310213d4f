package httpupstream

import (
	"errors"
	"io"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/bounded"
	"dotterelmount.example/lib/sse"
)

// maxEventBytes is the maximum size of a server-sent event.
const maxEventBytes = 1 << 20

// eventReader reads the data of server-sent events.
type eventReader struct{ events *sse.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{events: sse.NewReader(bounded.NewBudget(maxEventBytes).NewLineReader(r, maxEventBytes, "event"), "")}
}

// next returns the data of the next event. Errors: io.EOF at the end of the stream,
// io.ErrUnexpectedEOF within an event, CodeInvalid for bytes that are no event, CodeTooLarge,
// and those of the reader.
func (e *eventReader) next() ([]byte, error) {
	event, err := e.events.Next()
	var syntax *sse.SyntaxError
	var tooLong *bounded.TooLongError
	switch {
	case errors.As(err, &syntax):
		return nil, api.Errorf(api.CodeInvalid, "%w", err)
	case errors.As(err, &tooLong):
		return nil, api.Errorf(api.CodeTooLarge, "%w", err)
	case err != nil:
		return nil, err
	}
	return []byte(event.Data()), nil
}
