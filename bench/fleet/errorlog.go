package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// maxErrors is the number of errors kept; further ones go to stderr only.
const maxErrors = 12

// ErrorLog records the errors of a run. It may be used from any thread.
type ErrorLog struct {
	Errors []string `json:"errors,omitempty"`
	Quiet  bool     `json:"-"` // errors are neither written nor kept

	mu sync.Mutex
}

// Errorf writes an error to stderr and records it.
func (l *ErrorLog) Errorf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addError(format, args...)
}

// Countf records an error as Errorf does and increments counter. Only Countf may
// change the counter, which the log's mutex guards.
func (l *ErrorLog) Countf(counter *int, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*counter++
	l.addError(format, args...)
}

func (l *ErrorLog) addError(format string, args ...any) {
	if l.Quiet {
		return
	}
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(os.Stderr, "%s: %s %s\n", filepath.Base(os.Args[0]), time.Now().Format("15:04:05.000"), text)
	if len(l.Errors) < maxErrors {
		l.Errors = append(l.Errors, text)
	}
}
