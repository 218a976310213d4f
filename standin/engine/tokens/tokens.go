// Package tokens computes the text that the stand-in engine generates. It depends
// only on the prompt, so that tools can verify generated text on their own.
package tokens

import (
	"fmt"
	"hash/fnv"
	"strings"

	"dotterelmount.example/lib/work"
)

// PromptHash returns the prompt's hash. The messages must not include the
// assistant message of a resumed generation.
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

// Token returns token number i, counted from 0, of the text generated for the
// prompt with the given hash.
func Token(promptHash uint32, i int) string { return fmt.Sprintf("%08x-%d ", promptHash, i) }

// Output returns the first n tokens of the text generated for the messages.
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
