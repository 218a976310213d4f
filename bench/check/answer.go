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

// lengthPattern in the last user message sets the number of tokens of the answer.
var lengthPattern = regexp.MustCompile(`len=(\d+)`)

const roleUser = "user"

// ExpectedText returns the answer that a stand-in engine gives to a chat.
func ExpectedText(messages []work.Message, maxTokens int) string {
	return tokens.Output(messages, expectedTokens(messages, maxTokens))
}

func expectedTokens(messages []work.Message, maxTokens int) int {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role != roleUser {
			continue
		}
		found := lengthPattern.FindStringSubmatch(messages[i].Content)
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

// WrongResponseError reports an answer that is not the whole answer to its request.
type WrongResponseError struct {
	Reason    string
	Got, Want string
}

// Error implements error.
func (e *WrongResponseError) Error() string {
	return fmt.Sprintf("%s: got %q, want %q", e.Reason, shorten(e.Got), shorten(e.Want))
}

const maxShownBytes = 60

func shorten(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return s[:maxShownBytes] + "..."
}

// CheckText checks a chat's answer. Errors: *WrongAnswerError.
func CheckText(messages []work.Message, maxTokens int, got string) error {
	want := ExpectedText(messages, maxTokens)
	switch {
	case got == want:
		return nil
	case strings.HasPrefix(want, got):
		return &WrongResponseError{Reason: "answer cut short", Got: got, Want: want}
	default:
		return &WrongResponseError{Reason: "foreign answer", Got: got, Want: want}
	}
}
