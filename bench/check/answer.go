// Package check asks a daemon as members and directors do, and checks that each
// got the whole answer to its own request.
package check

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"dotterelmount.example/lib/work"
	"dotterelmount.example/standin/engine/tokens"
)

// lengthMark in the last user message sets the number of tokens of the answer.
var lengthMark = regexp.MustCompile(`len=(\d+)`)

const roleUser = "user"

// Expected returns the answer that a stand-in engine gives to a chat.
func Expected(messages []work.Message, maxTokens int) string {
	return tokens.Answer(messages, count(messages, maxTokens))
}

func count(messages []work.Message, maxTokens int) int {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role != roleUser {
			continue
		}
		found := lengthMark.FindStringSubmatch(messages[i].Content)
		if found == nil {
			return maxTokens
		}
		n, err := strconv.Atoi(found[1])
		if err != nil {
			return maxTokens
		}
		return n
	}
	return maxTokens
}

// WrongAnswerError reports an answer that is not the whole answer to its request.
type WrongAnswerError struct {
	Reason    string
	Got, Want string
}

// Error implements error.
func (e *WrongAnswerError) Error() string {
	return fmt.Sprintf("%s: got %q, want %q", e.Reason, shorten(e.Got), shorten(e.Want))
}

const shownBytes = 60

func shorten(s string) string {
	if len(s) <= shownBytes {
		return s
	}
	return s[:shownBytes] + "..."
}

// Text checks a chat's answer. Errors: *WrongAnswerError.
func Text(messages []work.Message, maxTokens int, got string) error {
	want := Expected(messages, maxTokens)
	switch {
	case got == want:
		return nil
	case strings.HasPrefix(want, got):
		return &WrongAnswerError{Reason: "answer cut short", Got: got, Want: want}
	default:
		return &WrongAnswerError{Reason: "foreign answer", Got: got, Want: want}
	}
}
