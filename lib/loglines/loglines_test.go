package loglines_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/loglines"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks while mu is locked.
type blockedWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func TestLoggingDoesNotBlockOnWriter(t *testing.T) {
	w := &blockedWriter{}
	w.mu.Lock()
	log := loglines.Start(duty.NewSystem(nil), w)
	for range 20000 {
		log.Info("a line", zap.String("request", "r1"))
	}
	w.mu.Unlock()
	assert.NilError(t, log.Stop(t.Context()))
	lines := strings.Count(w.buf.String(), "\n")
	assert.Assert(t, lines > 0 && lines <= 4097+1, "%d lines", lines)
	assert.Assert(t, strings.Contains(w.buf.String(), `"request":"r1"`))
}
