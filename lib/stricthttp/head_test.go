package stricthttp

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// A head is checked alike however it is split into reads, and what follows it is not checked.
func TestHeadIsCheckedHoweverItArrives(t *testing.T) {
	const notAHead = "\x00 any\n\x01: bytes\r\n\r\nHTTP/1.1 000\r\n"
	for data, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 9\r\n\r\n" + notAHead: true,
		"HTTP/1.1 200 OK\nA: b\n\n" + notAHead:                            true,
		"HTTP/1.1 200\r\n\r\n" + notAHead:                                 true,
		"HTTP/1.1 103 \r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + notAHead: true,
		"HTTP/1.1 103 \r\nA : b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":           false,
		"HTTP/1.1 103 \r\nA: b\r\n\r\nHTTP/1.1 000 OK\r\n\r\n":            false,
		"HTTP/1.1 103 \r\n\r\nHTTP/1.1 200 OK\r\n A: b\r\n\r\n":           false,
		"HTTP/1.1 200 OK\r\nA: b\n\r\n":                                   false,
		"HTTP/1.1 200 OK\r\nA: b\r\n\nC: d\r\n\r\n":                       false,
		"HTTP/1.1 200 OK\nA: b\r\n\n":                                     false,
	} {
		for split := range len(data) + 1 {
			h := &head{}
			err := h.check([]byte(data[:split]))
			if err == nil {
				err = h.check([]byte(data[split:]))
			}
			var malformed *MalformedError
			assert.Equal(t, errors.As(err, &malformed), !valid, "%q split at %d: %v", data, split, err)
			assert.Equal(t, h.done, valid, "%q split at %d", data, split)
		}
		h, err := &head{}, error(nil)
		for i := 0; i < len(data) && err == nil; i++ {
			err = h.check([]byte{data[i]})
		}
		assert.Equal(t, err == nil, valid, "%q in single bytes: %v", data, err)
	}
}
