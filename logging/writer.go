// Package logging provides loggers that never block their callers.
//
// Lines are queued in a bounded queue and written in the background. If the queue
// is full or a rate limit is exceeded, lines are dropped and counted, and the count
// is logged with the next write.
package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// LinesPerSecond and BytesPerSecond limit the log output of one process.
	LinesPerSecond = 1000
	BytesPerSecond = 512 << 10
	// QueuedLines is the capacity of the queue of lines to be written.
	QueuedLines = 1024
	// batchBytes is the approximate maximum size of one write.
	batchBytes = 32 << 10
)

// Writer accepts lines without blocking and writes them in order.
type Writer struct {
	// Out is the destination; not nil. It must be set before use.
	Out io.Writer

	once    sync.Once
	queue   chan []byte
	lines   *rate.Limiter
	bytes   *rate.Limiter
	dropped atomic.Int64
}

func (w *Writer) init() {
	w.once.Do(func() {
		w.queue = make(chan []byte, QueuedLines)
		w.lines = rate.NewLimiter(LinesPerSecond, LinesPerSecond)
		w.bytes = rate.NewLimiter(BytesPerSecond, BytesPerSecond)
	})
}

// Write queues one line. It always succeeds; a line that exceeds a rate limit or
// finds the queue full is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.init()
	now := time.Now()
	if !w.lines.AllowN(now, 1) || !w.bytes.AllowN(now, len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, since Run writes queued
// lines continuously.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of dropped lines that are not logged yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until ctx ends, and then those that remain. It returns
// the first error of Out, after which no more lines are written.
func (w *Writer) Run(ctx context.Context) error {
	w.init()
	for {
		select {
		case line := <-w.queue:
			if err := w.flush(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return w.drain()
		}
	}
}

// drain writes the lines that remain in the queue.
func (w *Writer) drain() error {
	for {
		select {
		case line := <-w.queue:
			if err := w.flush(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// flush writes line, together with further queued lines up to about batchBytes and
// the number of lines dropped since the last write.
func (w *Writer) flush(line []byte) error {
	batch := line
	for len(batch) < batchBytes {
		select {
		case next := <-w.queue:
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", n)
	}
	_, err := w.Out.Write(batch)
	return err
}
