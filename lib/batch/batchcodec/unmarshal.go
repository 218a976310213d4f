package batchcodec

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// lengthError reports a value that names more bytes or elements than follow.
type lengthError struct{ offset int }

// Error implements error.
func (e *lengthError) Error() string {
	return fmt.Sprintf("value at byte %d is longer than the data", e.offset)
}

// Unmarshal decodes MessagePack. The decoder allocates the elements that an array names
// before it reads them; data that names more than it has is refused before. Errors: those
// of the decoder and of lengths.
func Unmarshal(data []byte, v any) error {
	if err := checkLengths(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

// checkLengths checks that each value of the data, of any kind and depth, names at most as
// many bytes or elements as follow.
func checkLengths(data []byte) error {
	for at := 0; at < len(data); {
		header, content, elements := valueSize(data[at:])
		rest := uint64(len(data) - at)
		if header > rest || content > rest-header || elements > rest-header {
			return &lengthError{offset: at}
		}
		at += int(header + content) // elements are values of their own
	}
	return nil
}

// valueSize returns the sizes in bytes of the header and the content of the first value,
// and the number of values that follow as its elements.
func valueSize(data []byte) (header, content, elements uint64) {
	code := data[0]
	number := func(bytes int) uint64 {
		if len(data) < 1+bytes {
			return uint64(len(data)) // too long
		}
		var full [8]byte
		copy(full[8-bytes:], data[1:1+bytes])
		return binary.BigEndian.Uint64(full[:])
	}
	switch {
	case code <= 0x7f || code >= 0xe0: // small integer
		return 1, 0, 0
	case code <= 0x8f: // small map
		return 1, 0, 2 * uint64(code&0x0f)
	case code <= 0x9f: // small array
		return 1, 0, uint64(code & 0x0f)
	case code <= 0xbf: // short string
		return 1, uint64(code & 0x1f), 0
	}
	switch code {
	case 0xc4, 0xd9: // bytes, string
		return 2, number(1), 0
	case 0xc5, 0xda:
		return 3, number(2), 0
	case 0xc6, 0xdb:
		return 5, number(4), 0
	case 0xc7: // extension
		return 3, number(1), 0
	case 0xc8:
		return 4, number(2), 0
	case 0xc9:
		return 6, number(4), 0
	case 0xcc, 0xd0: // number
		return 2, 0, 0
	case 0xcd, 0xd1:
		return 3, 0, 0
	case 0xca, 0xce, 0xd2:
		return 5, 0, 0
	case 0xcb, 0xcf, 0xd3:
		return 9, 0, 0
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // extension of a fixed length
		return 2, 1 << (code - 0xd4), 0
	case 0xdc: // array
		return 3, 0, number(2)
	case 0xdd:
		return 5, 0, number(4)
	case 0xde: // map
		return 3, 0, 2 * number(2)
	case 0xdf:
		return 5, 0, 2 * number(4)
	default: // nil, booleans, and a code that is never used
		return 1, 0, 0
	}
}
