// Package logging makes loggers that never block who logs.
//
// A line that can't be written at once waits in a bounded queue. When the queue
// is full, or lines come faster than the bounds, lines are dropped and counted,
// and the count is logged as soon as there is room.
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
	// LinesPerSecond and BytesPerSecond bound what one process logs.
	LinesPerSecond = 1000
	BytesPerSecond = 512 << 10
	// QueuedLines is how many lines wait for a slow output.
	QueuedLines = 1024
	// batchBytes is about how much is written at once.
	batchBytes = 32 << 10
)

// Writer takes lines without blocking and writes them in order. Out is set
// before use.
type Writer struct {
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

// Write takes one line. It always succeeds; a line that finds no room is counted
// and dropped.
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

// Sync implements zapcore.WriteSyncer. Run writes all the time.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines dropped and not told yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes until ctx ends, then what still waits. It returns the first error of
// Out, without which lines go nowhere.
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

// drain writes what still waits.
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

// flush writes line together with others that wait.
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
