package batchcodec

import (
	"errors"
	"runtime"
	"testing"

	"dotterelmount.example/lib/batch"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a record that names four billion items: the daemons would all end for
// lack of memory each time they read the journal.
func TestRecordsThatNameTooMuchAreRefused(t *testing.T) {
	for name, data := range map[string][]byte{
		"array":       {kindJobAccepted, 0x81, 0xa3, 'j', 'o', 'b', 0x81, 0xa5, 'i', 't', 'e', 'm', 's', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"map":         {kindLeaseAcquired, 0x81, 0xa3, 'v', 'e', 'r', 0xdf, 0x7f, 0xff, 0xff, 0xff},
		"string":      {kindJobEnded, 0x81, 0xa2, 'i', 'd', 0xdb, 0xff, 0xff, 0xff, 0xff},
		"small array": {kindJobAccepted, 0x9f, 0x01},
		"cut header":  {kindJobAccepted, 0xdd, 0x00},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := Decode(data)
		runtime.ReadMemStats(&after)
		var format *FormatError
		assert.Assert(t, errors.As(err, &format), "%s: %v", name, err)
		assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 1<<20, name)
	}
}

// Whatever the encoder writes is accepted.
func TestEncodedValuesHaveTheirLengths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfN(rapid.Int64(), 0, 300).Draw(t, "numbers")
		texts := rapid.MapOf(rapid.String(), rapid.SliceOfN(rapid.Byte(), 0, 300)).Draw(t, "texts")
		data, err := msgpack.Marshal([]any{numbers, texts, rapid.String().Draw(t, "text"), rapid.Float64().Draw(t, "float"), true, nil, &batch.Job{}})
		assert.NilError(t, err)
		assert.NilError(t, checkLengths(data))
	})
}
