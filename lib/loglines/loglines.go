// Package loglines writes structured log lines without ever blocking who logs:
// lines go over a bounded ring to one duty that writes them, and are dropped
// and counted when it is full.
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
	ringSize = 4096 // lines, some seconds of a busy daemon
	// Of lines with the same message, the first ones of each second are
	// written whole and of the rest every so many.
	firstPerSecond = 300
	sampleEvery    = 50
)

// Log is a logger with the duty that writes its lines.
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
		dropped.Add(1) // there is nowhere left to tell
		return
	}
	written.Add(1)
}

// Dropped writes the lines that waited at the stop.
func (l *Log) Dropped(line []byte) { l.Handle(context.Background(), line) }

// Stop ends the duty after the lines that wait. Errors: ctx.Err().
func (l *Log) Stop(ctx context.Context) error { return l.duty.Stop(ctx) }

// queue is the zapcore.WriteSyncer in front of the ring.
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
