// Package tokens holds the text that the stand-in engine generates, so that
// tools can check an answer without having seen it made.
package tokens

import (
	"fmt"
	"hash/fnv"
	"strings"

	"dotterelmount.example/lib/work"
)

// PromptHash returns the prompt's hash. The messages must not contain the
// assistant message of a resumed answer.
func PromptHash(messages []work.Message) uint32 {
	h := fnv.New32a()
	for i, m := range messages {
		if i > 0 {
			_, _ = h.Write([]byte("\n"))
		}
		_, _ = h.Write([]byte(m.Content))
	}
	return h.Sum32()
}

// Token returns token number i, counted from 0, of the answer to a prompt.
func Token(hash uint32, i int) string { return fmt.Sprintf("%08x-%d ", hash, i) }

// Output returns the first n tokens of the answer to the messages.
func Output(messages []work.Message, n int) string {
	hash := PromptHash(messages)
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(hash, i))
	}
	return b.String()
}

// Count returns the number of tokens in a text.
func Count(text string) int { return len(strings.Fields(text)) }
