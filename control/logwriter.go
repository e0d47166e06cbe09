package control

import (
	"errors"
	"sync/atomic"
	"time"

	"limehold/consensus"
	"limehold/diskspace"
	"limehold/wal"
)

// logWriter makes outputs of the core durable. Its goroutine is the only one that
// accesses the log, so that a hanging disk delays only what depends on a write.
//
// Invariant: at most one write is in progress, and its result has been received
// before the next one begins.
type logWriter struct {
	storage *storage
	// appendOutput writes the hard state and the entries of an output.
	appendOutput func(*consensus.Output) error
	writes       chan consensus.Output
	results      chan writeResult
	// stopping ends the repetition of a write, stopped is closed when run has returned.
	stopping chan struct{}
	stopped  chan struct{}
	// keepFrom is the first index still needed; the next write removes the segments before it. 0
	// means that none are to be removed.
	keepFrom atomic.Uint64
}

// writeResult is the result of writing an output. With wal.ErrDiskFull the write is still in progress: it is repeated
// until it succeeds or fails otherwise.
type writeResult struct {
	output consensus.Output
	err    error
}

func newLogWriter(storage *storage, appendOutput func(*consensus.Output) error) *logWriter {
	return &logWriter{storage: storage, appendOutput: appendOutput, writes: make(chan consensus.Output, 1), results: make(chan writeResult, 1), stopping: make(chan struct{}), stopped: make(chan struct{})}
}

// write starts a write. It does not block, because at most one write is in progress.
func (w *logWriter) write(output consensus.Output) { w.writes <- output }

// removeBefore has the next write remove the segments that hold only entries before index.
func (w *logWriter) removeBefore(index uint64) { w.keepFrom.Store(index) }

// run writes outputs until stop is called. An output for which the disk has no room is written again until it has.
func (w *logWriter) run() {
	defer close(w.stopped)
	for output := range w.writes {
		for w.attempt(output) {
			select {
			case <-time.After(diskspace.StepLog.RetryAfter()):
			case <-w.stopping:
				return
			}
		}
	}
}

// attempt writes an output and sends the result. It reports whether the write must be repeated.
func (w *logWriter) attempt(output consensus.Output) (repeat bool) {
	err := w.writeOutput(&output)
	select {
	case w.results <- writeResult{output, err}:
	case <-w.stopping:
		return false
	}
	return errors.Is(err, wal.ErrDiskFull)
}

// stop ends run after the write in progress. The log may be closed only after stop returns.
func (w *logWriter) stop() {
	close(w.stopping)
	close(w.writes)
	<-w.stopped
}

func (w *logWriter) writeOutput(output *consensus.Output) error {
	if output.Snapshot != nil {
		if err := w.storage.installSnapshot(*output.Snapshot); err != nil {
			return err
		}
	}
	if err := w.appendOutput(output); err != nil {
		return err
	}
	if keepFrom := w.keepFrom.Swap(0); keepFrom > 0 {
		return w.storage.log.RemoveBefore(keepFrom)
	}
	return nil
}
