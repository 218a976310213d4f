// Package check sends requests to daemons as members and directors do, and checks
// that each response is complete and belongs to its request.
package check

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"dotterelmount.example/lib/work"
	"dotterelmount.example/standin/engine/tokens"
)

// lengthPattern matches the part of the last user message that sets the number of
// tokens of the response.
var lengthPattern = regexp.MustCompile(`len=(\d+)`)

const roleUser = "user"

// ExpectedText returns the text that a stand-in engine generates for a chat.
func ExpectedText(messages []work.Message, maxTokens int) string {
	return tokens.Output(messages, expectedTokens(messages, maxTokens))
}

func expectedTokens(messages []work.Message, maxTokens int) int {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role != roleUser {
			continue
		}
		match := lengthPattern.FindStringSubmatch(messages[i].Content)
		if match == nil {
			return maxTokens
		}
		n, err := strconv.Atoi(match[1])
		if err != nil {
			return maxTokens
		}
		return n
	}
	return maxTokens
}

// WrongResponseError reports a response text that is not the complete one for its
// request.
type WrongResponseError struct {
	Reason    string
	Got, Want string
}

// Error implements error.
func (e *WrongResponseError) Error() string {
	return fmt.Sprintf("%s: got %q, want %q", e.Reason, shorten(e.Got), shorten(e.Want))
}

const maxShownBytes = 60 // of each text in an error message

func shorten(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return s[:maxShownBytes] + "..."
}

// CheckText checks the text of a chat's response. Errors: *WrongResponseError.
func CheckText(messages []work.Message, maxTokens int, got string) error {
	want := ExpectedText(messages, maxTokens)
	switch {
	case got == want:
		return nil
	case strings.HasPrefix(want, got):
		return &WrongResponseError{Reason: "text truncated", Got: got, Want: want}
	default:
		return &WrongResponseError{Reason: "text of another request", Got: got, Want: want}
	}
}
