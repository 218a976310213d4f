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

// stuck is a writer that blocks until it is released.
type stuck struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestLoggingNeverBlocksOnItsWriter(t *testing.T) {
	w := &stuck{}
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
