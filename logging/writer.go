package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is how many lines wait for the writer at most.
	queuedLines = 4096
	// batchBytes is how much is written at once.
	batchBytes = 32 << 10
	// flushPatience bounds the wait for the last lines when the process ends.
	flushPatience = 300 * time.Millisecond
)

// queue passes lines on to a writer that may be slow, or may not read at all:
// whoever logs never waits, and lines beyond the queue are counted and left out.
type queue struct {
	writer io.Writer
	lines  chan []byte
	lost   atomic.Int64
	// pending counts the lines that have not been written yet, those in the writer's hands included.
	pending atomic.Int64
	once    sync.Once
}

func newQueue(writer io.Writer) *queue {
	return &queue{writer: writer, lines: make(chan []byte, queuedLines)}
}

// Write implements zapcore.WriteSyncer; the line is copied.
func (q *queue) Write(line []byte) (int, error) {
	q.once.Do(func() { go q.run() })
	q.pending.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.pending.Add(-1)
		q.lost.Add(1)
	}
	return len(line), nil
}

// makeRoom gives up the oldest line, if there is no room for another one.
func (q *queue) makeRoom() {
	if len(q.lines) < cap(q.lines) {
		return
	}
	select {
	case <-q.lines:
		q.pending.Add(-1)
		q.lost.Add(1)
	default:
	}
}

// Sync implements zapcore.WriteSyncer: it waits, for a bounded time, until what was
// logged before has been written.
func (q *queue) Sync() error {
	deadline := time.Now().Add(flushPatience)
	for q.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (q *queue) run() {
	batch := make([]byte, 0, batchBytes)
	for line := range q.lines {
		batch = append(batch[:0], line...)
		taken := int64(1)
		for len(batch) < batchBytes {
			select {
			case more := <-q.lines:
				batch = append(batch, more...)
				taken++
				continue
			default:
			}
			break
		}
		// A log that cannot be written is no reason to stop.
		_, _ = q.writer.Write(batch)
		q.pending.Add(-taken)
	}
}
