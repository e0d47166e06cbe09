package control

import (
	"sync/atomic"

	"limehold/consensus"
)

// logWriter makes outputs of the core durable on a goroutine of its own, which alone touches the log: a disk
// that hangs stands in the way of what has to be on it, and of nothing else.
//
// Invariant: one write is under way at a time, and its end is told before the next one begins.
type logWriter struct {
	storage *storage
	// append writes hard state and entries.
	append func(*consensus.Output) error
	writes chan consensus.Output
	done   chan written
	ended  chan struct{}
	// keepFrom is the first index whose entry is still needed; segments before it go with the next write.
	keepFrom atomic.Uint64
}

// written is an output that has been written, or has failed to be.
type written struct {
	output consensus.Output
	err    error
}

func newLogWriter(storage *storage, append func(*consensus.Output) error) *logWriter {
	return &logWriter{storage: storage, append: append, writes: make(chan consensus.Output, 1), done: make(chan written, 1), ended: make(chan struct{})}
}

// write begins a write. It does not block: there is one at a time.
func (w *logWriter) write(output consensus.Output) { w.writes <- output }

// removeBefore lets segments go that hold only entries before index.
func (w *logWriter) removeBefore(index uint64) { w.keepFrom.Store(index) }

// run writes until stop.
func (w *logWriter) run() {
	defer close(w.ended)
	for output := range w.writes {
		w.done <- written{output, w.carryOut(&output)}
	}
}

// stop waits for the write that is under way: the log is closed after it.
func (w *logWriter) stop() {
	close(w.writes)
	<-w.ended
}

func (w *logWriter) carryOut(output *consensus.Output) error {
	if output.Snapshot != nil {
		if err := w.storage.installSnapshot(*output.Snapshot); err != nil {
			return err
		}
	}
	if err := w.append(output); err != nil {
		return err
	}
	if keepFrom := w.keepFrom.Swap(0); keepFrom > 0 {
		return w.storage.log.RemoveBefore(keepFrom)
	}
	return nil
}
