// Package loglines writes structured log lines without blocking the caller: lines
// are queued in a bounded ring for a duty that writes them, and are dropped and
// counted if the ring is full.
package loglines

import (
	"context"
	"expvar"
	"io"
	"time"

	"dotterelmount.example/lib/duty"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

var (
	written = expvar.NewInt("log_lines")
	dropped = expvar.NewInt("log_lines_dropped")
)

const (
	ringSize = 4096 // lines; a few seconds of a busy daemon
	// Of the lines with the same message in a second, the first firstPerSecond
	// are written, and then every sampleEvery-th.
	firstPerSecond = 300
	sampleEvery    = 50
)

// Log is a logger with a duty that writes its lines.
type Log struct {
	*zap.Logger
	duty *duty.Duty[[]byte]
	w    io.Writer
}

// Start returns a logger that writes JSON lines to w.
func Start(sys *duty.System, w io.Writer) *Log {
	l := &Log{w: w}
	l.duty = duty.Start(sys, duty.Config{Name: "log", RingSize: ringSize}, duty.Handler[[]byte](l))
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), queue{l}, zap.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, firstPerSecond, sampleEvery)
	l.Logger = zap.New(sampled)
	return l
}

// Handle writes one line.
func (l *Log) Handle(_ context.Context, line []byte) {
	if _, err := l.w.Write(line); err != nil {
		dropped.Add(1) // the error cannot be logged
		return
	}
	written.Add(1)
}

// Dropped writes a line that is still queued at the stop.
func (l *Log) Dropped(line []byte) { l.Handle(context.Background(), line) }

// Stop writes the queued lines and stops the duty. Errors: ctx.Err().
func (l *Log) Stop(ctx context.Context) error { return l.duty.Stop(ctx) }

// queue is a zapcore.WriteSyncer that posts lines to the ring.
type queue struct{ log *Log }

// Write implements io.Writer.
func (q queue) Write(line []byte) (int, error) {
	if err := q.log.duty.Post(append([]byte(nil), line...)); err != nil {
		dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (q queue) Sync() error { return nil }
