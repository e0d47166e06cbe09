package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the number of lines that wait to be written.
	maxQueuedLines = 4096
	// batchBytes is the size from which no more lines are added to a batch.
	batchBytes = 32 << 10
	// flushTimeout bounds how long Sync waits for queued lines.
	flushTimeout = 300 * time.Millisecond
)

// lineQueue passes lines to a writer that may be slow or may block. Write never blocks;
// lines that do not fit into the queue are counted and dropped.
type lineQueue struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// pending counts the lines that are not written yet, including the batch being written.
	pending atomic.Int64
	once    sync.Once
}

func newQueue(writer io.Writer) *lineQueue {
	return &lineQueue{writer: writer, lines: make(chan []byte, maxQueuedLines)}
}

// Write implements zapcore.WriteSyncer. It copies the line.
func (q *lineQueue) Write(line []byte) (int, error) {
	q.once.Do(func() { go q.run() })
	q.pending.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.pending.Add(-1)
		q.dropped.Add(1)
	}
	return len(line), nil
}

// dropOldestIfFull drops the oldest line if the queue is full.
func (q *lineQueue) dropOldestIfFull() {
	if len(q.lines) < cap(q.lines) {
		return
	}
	select {
	case <-q.lines:
		q.pending.Add(-1)
		q.dropped.Add(1)
	default:
	}
}

// Sync implements zapcore.WriteSyncer. It waits until all lines passed to Write before
// are written, for at most flushTimeout.
func (q *lineQueue) Sync() error {
	deadline := time.Now().Add(flushTimeout)
	for q.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (q *lineQueue) run() {
	batch := make([]byte, 0, batchBytes)
	for line := range q.lines {
		batch = append(batch[:0], line...)
		count := int64(1)
		for len(batch) < batchBytes {
			select {
			case more := <-q.lines:
				batch = append(batch, more...)
				count++
				continue
			default:
			}
			break
		}
		// A failure to write the log must not stop the process.
		_, _ = q.writer.Write(batch)
		q.pending.Add(-count)
	}
}
