package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/intake"
)

// TooLargeError reports a body over the limit.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }

const (
	firstBuffer = 4 << 10 // bytes of a body without a length
	// lastGrowth is the part of the limit above which the buffer of such a body grows to the
	// limit at once, so that the old and the new buffer stay below 1.2 times the limit.
	lastGrowth = 8
)

// Body reads a body of at most limit bytes within the budget of the request's connection,
// which holds them until the response has been written. After an error, the connection is
// closed with the response, so that the rest of the body is not read. Errors:
// *TooLargeError, *RefusedError, those of the body.
func Body(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := readBody(r, limit)
	if err != nil {
		w.Header().Set("Connection", "close")
		if c := connOf(r.Context()); c != nil {
			c.stopReading()
		}
	}
	return data, err
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r.Context())
	size := r.ContentLength
	switch {
	case size > limit:
		return nil, &TooLargeError{limit}
	case size == 0:
		return nil, nil
	case c == nil:
		return bodyWithoutBudget(r.Body, limit)
	}
	c.enter(intake.Reading)
	defer c.enter(intake.Running)
	if size > 0 {
		if err := c.claim(size); err != nil {
			return nil, err
		}
		return c.readFull(r.Body, make([]byte, size))
	}
	return c.readChunks(r.Body, limit)
}

func bodyWithoutBudget(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, &TooLargeError{limit}
	}
	return data, err
}

// readFull reads a body that fills buf.
func (c *Conn) readFull(body io.Reader, buf []byte) ([]byte, error) {
	for n := 0; n < len(buf); {
		m, err := body.Read(buf[n:])
		n += m
		if n < len(buf) {
			if err != nil {
				return nil, unexpected(err)
			}
			c.moved(m)
		}
	}
	return buf, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readChunks reads a body of unknown length.
func (c *Conn) readChunks(body io.Reader, limit int64) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			grown, err := c.grow(buf, limit)
			if err != nil {
				return nil, err
			}
			buf = grown
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, &TooLargeError{limit}
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
		c.moved(n)
	}
}

// grow returns a larger buffer with the same content, which has room for one byte above the
// limit.
func (c *Conn) grow(buf []byte, limit int64) ([]byte, error) {
	size := max(firstBuffer, 2*int64(cap(buf)))
	if size > limit/lastGrowth {
		size = limit + 1
	}
	if err := c.claim(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	return grown, nil
}

// ClaimJSON claims the memory that decoding a JSON body needs. Errors: *RefusedError.
func ClaimJSON(ctx context.Context, data []byte) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return c.claim(intake.JSONCost(data))
}

// Decode decodes a JSON body into v within the budget of the request's connection. Errors:
// *RefusedError, those of json.Unmarshal.
func Decode(ctx context.Context, data []byte, v any) error {
	if err := ClaimJSON(ctx, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// APIError returns the error of Body or ClaimJSON as an *api.Error: CodeTooLarge, CodeShed
// or CodeInvalid.
func APIError(err error) error {
	var tooLarge *TooLargeError
	var refused *RefusedError
	switch {
	case errors.As(err, &tooLarge):
		return api.Errorf(api.CodeTooLarge, "body exceeds %d bytes: %w", tooLarge.Limit, err)
	case errors.As(err, &refused) && refused.Never:
		return api.Errorf(api.CodeTooLarge, "%w", err)
	case errors.As(err, &refused):
		return api.Errorf(api.CodeShed, "%w", err)
	default:
		return api.Errorf(api.CodeInvalid, "body is truncated: %w", err)
	}
}

// Answer notes that an answer of n bytes is written next, which the connection holds until
// then instead of the request. Errors: *RefusedError.
func Answer(ctx context.Context, n int) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	c.release()
	if n <= intake.FreeBytes {
		return nil
	}
	c.enter(intake.Writing)
	c.writes = true
	return c.claim(int64(n))
}
