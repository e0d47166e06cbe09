package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/consensus"
	"limehold/fleet"
	"limehold/logging"
)

// applier takes committed entries in their order and changes the state with them,
// on a goroutine of its own: applying, telling others and encoding snapshots may
// take longer than the leader's followers would wait for a heartbeat.
type applier struct {
	options Options
	logger  *zap.Logger
	storage *storage
	// noted is told of each command's changes while the state is still locked.
	noted func(*fleet.Changes)
	// applied is told of each command that took effect, in order.
	applied func(fleet.Changes, *fleet.State)
	// reset is told that the state was replaced by a snapshot, while it is locked.
	reset func(*fleet.State)

	queueMutex sync.Mutex
	queue      []applyItem
	queued     chan struct{}

	// stateMutex guards state; only the applier's goroutine writes.
	stateMutex sync.RWMutex
	state      *fleet.State
	// term and configuration are those of the newest entry applied.
	term          uint64
	configuration consensus.Configuration
	snapshotIndex uint64
	snapshotDone  chan snapshotOutcome
	// writing is set while a snapshot is written in the background: on a slow disk, where
	// the next one would be due meanwhile, that waits.
	writing atomic.Bool

	mutex    sync.Mutex
	progress *sync.Cond
	index    uint64
	stopped  bool
	waiters  map[uint64]waiter

	commands prometheus.Counter
}

// applyItem is a snapshot that replaces the state, or entries that follow it; a
// snapshot comes first.
type applyItem struct {
	snapshot *consensus.Snapshot
	entries  []consensus.Entry
}

// waiter is whoever proposed the entry at an index in a term.
type waiter struct {
	term uint64
	done chan outcome
}

type snapshotOutcome struct {
	snapshot consensus.Snapshot
	err      error
}

var errStopped = errors.New("this member is stopping")

func newApplier(options Options, disk *storage, state *fleet.State, snapshot consensus.Snapshot) *applier {
	a := &applier{
		options: options, logger: options.Logger, storage: disk, queued: make(chan struct{}, 1),
		state: state, term: snapshot.Term, configuration: snapshot.Configuration,
		snapshotIndex: snapshot.Index, snapshotDone: make(chan snapshotOutcome, 1),
		index: snapshot.Index, waiters: map[uint64]waiter{},
		commands: options.Metrics.Counter("log", "commands_total", "Commands applied from the replicated log."),
	}
	a.progress = sync.NewCond(&a.mutex)
	return a
}

// enqueue hands over what has been committed. It never blocks.
func (a *applier) enqueue(item applyItem) {
	if item.snapshot == nil && len(item.entries) == 0 {
		return
	}
	a.queueMutex.Lock()
	a.queue = append(a.queue, item)
	a.queueMutex.Unlock()
	select {
	case a.queued <- struct{}{}:
	default:
	}
}

// runApplier applies what is queued until ctx ends.
func (a *applier) runApplier(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.queued:
		}
		a.queueMutex.Lock()
		items := a.queue
		a.queue = nil
		a.queueMutex.Unlock()
		for i := range items {
			if err := a.take(&items[i]); err != nil {
				return err
			}
		}
	}
}

func (a *applier) take(item *applyItem) error {
	if item.snapshot != nil {
		if err := a.restore(item.snapshot); err != nil {
			return err
		}
	}
	for i := range item.entries {
		if err := a.applyEntry(&item.entries[i]); err != nil {
			return err
		}
	}
	return a.maybeSnapshot()
}

func (a *applier) restore(snapshot *consensus.Snapshot) error {
	state, err := fleet.DecodeState(snapshot.Data)
	if err != nil {
		return eris.Wrap(err, "restore a snapshot from the leader")
	}
	a.stateMutex.Lock()
	a.state = state
	a.reset(state)
	a.stateMutex.Unlock()
	a.snapshotIndex, a.term, a.configuration = snapshot.Index, snapshot.Term, snapshot.Configuration
	a.advance(snapshot.Index)
	a.logger.Info("snapshot_installed", zap.Uint64("index", snapshot.Index))
	return nil
}

func (a *applier) applyEntry(entry *consensus.Entry) error {
	a.term = entry.Term
	switch entry.Kind {
	case consensus.EntryConfiguration:
		a.configuration = *entry.Configuration
	case consensus.EntryCommand:
		if err := a.applyCommand(entry); err != nil {
			return err
		}
	}
	a.advance(entry.Index)
	return nil
}

func (a *applier) applyCommand(entry *consensus.Entry) error {
	command, err := fleet.DecodeCommand(entry.Data)
	if err != nil {
		return eris.Wrapf(err, "apply log entry %d (was it written by a newer version?)", entry.Index)
	}
	a.stateMutex.Lock()
	result, changes := a.state.Apply(entry.Index, command)
	a.noted(&changes)
	a.stateMutex.Unlock()
	a.commands.Inc()
	a.applied(changes, a.state)
	a.answer(entry, result)
	return nil
}

// answer tells whoever proposed the entry, if it was this member in this term.
func (a *applier) answer(entry *consensus.Entry, result fleet.Result) {
	a.mutex.Lock()
	waiting, found := a.waiters[entry.Index]
	delete(a.waiters, entry.Index)
	a.mutex.Unlock()
	if !found {
		return
	}
	if waiting.term != entry.Term {
		waiting.done <- outcome{err: consensus.ErrNotLeader}
		return
	}
	waiting.done <- outcome{result: result}
}

// expect registers who is to be told of the entry at an index.
func (a *applier) expect(index uint64, waiting waiter) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiters[index] = waiting
}

// failWaiters tells all that the fate of their entries is unknown.
func (a *applier) failWaiters(err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for index, waiting := range a.waiters {
		delete(a.waiters, index)
		waiting.done <- outcome{err: err}
	}
}

// stop ends all waiting.
func (a *applier) stop() {
	a.failWaiters(errStopped)
	a.mutex.Lock()
	a.stopped = true
	a.mutex.Unlock()
	a.progress.Broadcast()
}

func (a *applier) advance(index uint64) {
	a.mutex.Lock()
	a.index = index
	a.mutex.Unlock()
	a.progress.Broadcast()
}

// appliedTo is the index of the newest entry that the state reflects.
func (a *applier) appliedTo() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.index
}

// waitApplied waits until the state reflects a log index.
func (a *applier) waitApplied(ctx context.Context, index uint64) error {
	stop := context.AfterFunc(ctx, a.progress.Broadcast)
	defer stop()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for a.index < index {
		if ctx.Err() != nil || a.stopped {
			return eris.Errorf("wait for log index %d: only %d has been applied", index, a.index)
		}
		a.progress.Wait()
	}
	return nil
}

// maybeSnapshot encodes the state here and writes it in the background.
func (a *applier) maybeSnapshot() error {
	if a.index < a.snapshotIndex+uint64(a.options.Settings.Control.SnapshotEvery) || a.writing.Load() {
		return nil
	}
	data, err := a.state.Encode()
	if err != nil {
		a.logger.Error("snapshot_failed", logging.Step("encode state", "", err)...)
		return err
	}
	a.snapshotIndex = a.index
	snapshot := consensus.Snapshot{Index: a.index, Term: a.term, Data: data, Configuration: a.configuration}
	a.writing.Store(true)
	go func() {
		outcome := snapshotOutcome{snapshot, a.storage.saveSnapshot(snapshot)}
		a.writing.Store(false)
		a.snapshotDone <- outcome
	}()
	return nil
}

// view runs a function on the state; it must not keep references.
func (a *applier) view(read func(*fleet.State)) {
	a.stateMutex.RLock()
	defer a.stateMutex.RUnlock()
	read(a.state)
}
