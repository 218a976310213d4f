package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// maxErrors bounds the errors that are kept; the rest go to stderr only.
const maxErrors = 12

// ErrorLog keeps what a run found wrong. It may be used from any thread.
type ErrorLog struct {
	Errors []string `json:"errors,omitempty"`
	Quiet  bool     `json:"-"` // nothing is written or kept

	mu sync.Mutex
}

// Errorf writes what is wrong to stderr and keeps it.
func (n *ErrorLog) Errorf(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addError(format, args...)
}

// Countf adds one to a counter that only Count changes, and notes why.
func (n *ErrorLog) Countf(counter *int, format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*counter++
	n.addError(format, args...)
}

func (n *ErrorLog) addError(format string, args ...any) {
	if n.Quiet {
		return
	}
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(os.Stderr, "%s: %s %s\n", filepath.Base(os.Args[0]), time.Now().Format("15:04:05.000"), text)
	if len(n.Errors) < maxErrors {
		n.Errors = append(n.Errors, text)
	}
}
