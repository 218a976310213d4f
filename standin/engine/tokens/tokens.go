// Package tokens holds the text that the stand-in engine generates, so that
// tools can check an answer without having seen it made.
package tokens

import (
	"fmt"
	"hash/fnv"
	"strings"

	"dotterelmount.example/lib/work"
)

// Hash32 returns the prompt's hash. The messages must not contain the
// assistant message of a resumed answer.
func Hash32(messages []work.Message) uint32 {
	h := fnv.New32a()
	for i, m := range messages {
		if i > 0 {
			_, _ = h.Write([]byte("\n"))
		}
		_, _ = h.Write([]byte(m.Content))
	}
	return h.Sum32()
}

// Text returns token number i, counted from 0, of the answer to a prompt.
func Text(hash uint32, i int) string { return fmt.Sprintf("%08x-%d ", hash, i) }

// Answer returns the first n tokens of the answer to the messages.
func Answer(messages []work.Message, n int) string {
	hash := Hash32(messages)
	var b strings.Builder
	for i := range n {
		b.WriteString(Text(hash, i))
	}
	return b.String()
}

// Count returns the number of tokens in a text.
func Count(text string) int { return len(strings.Fields(text)) }
