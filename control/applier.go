package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/consensus"
	"limehold/diskspace"
	"limehold/fleet"
	"limehold/logging"
	"limehold/wal"
)

// applier applies committed entries to the state in log order. It has a goroutine of
// its own, because applying entries, notifying others and encoding snapshots may take
// longer than the followers wait for the leader's heartbeat.
type applier struct {
	options Options
	logger  *zap.Logger
	storage *storage
	disk    *diskMonitor
	// onChanges receives each command's changes while the state is still locked.
	onChanges func(*fleet.Changes)
	// onApplied receives each applied command's changes, in log order.
	onApplied func(fleet.Changes, *fleet.State)
	// onReset is called when a snapshot has replaced the state, which is still locked.
	onReset func(*fleet.State)

	queueMutex sync.Mutex
	queue      []applyItem
	queueReady chan struct{}

	// stateMutex guards state, which only the applier's goroutine changes.
	stateMutex sync.RWMutex
	state      *fleet.State
	// term is that of the newest applied entry, configuration the newest applied configuration.
	term          uint64
	configuration consensus.Configuration
	snapshotIndex uint64
	snapshotDone  chan snapshotOutcome
	// snapshotWriting is set while a snapshot is written in the background. The next
	// snapshot is put off until the write has ended.
	snapshotWriting atomic.Bool

	mutex    sync.Mutex
	progress *sync.Cond
	index    uint64
	stopped  bool
	// diskFull is set while committed entries wait for room on the disk.
	diskFull bool
	// ending is closed when stopped is set.
	ending  chan struct{}
	waiters map[uint64]waiter

	commands prometheus.Counter
}

// applyItem is a snapshot that replaces the state, entries to apply, or both; the
// snapshot is restored first.
type applyItem struct {
	snapshot *consensus.Snapshot
	entries  []consensus.Entry
}

// waiter waits for the outcome of an entry that this member proposed in a term.
type waiter struct {
	term uint64
	done chan outcome
}

type snapshotOutcome struct {
	snapshot consensus.Snapshot
	err      error
}

var errStopped = errors.New("this member is stopping")

func newApplier(options Options, disk *storage, monitor *diskMonitor, state *fleet.State, snapshot consensus.Snapshot) *applier {
	a := &applier{
		options: options, logger: options.Logger, storage: disk, disk: monitor, ending: make(chan struct{}), queueReady: make(chan struct{}, 1),
		state: state, term: snapshot.Term, configuration: snapshot.Configuration,
		snapshotIndex: snapshot.Index, snapshotDone: make(chan snapshotOutcome, 1),
		index: snapshot.Index, waiters: map[uint64]waiter{},
		commands: options.Metrics.Counter("log", "commands_total", "Commands applied from the replicated log."),
	}
	a.progress = sync.NewCond(&a.mutex)
	return a
}

// enqueue queues a committed snapshot or committed entries. It never blocks.
func (a *applier) enqueue(item applyItem) {
	if item.snapshot == nil && len(item.entries) == 0 {
		return
	}
	a.queueMutex.Lock()
	a.queue = append(a.queue, item)
	a.queueMutex.Unlock()
	select {
	case a.queueReady <- struct{}{}:
	default:
	}
}

// runApplier applies queued items until ctx ends.
func (a *applier) runApplier(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.queueReady:
		}
		a.queueMutex.Lock()
		items := a.queue
		a.queue = nil
		a.queueMutex.Unlock()
		for i := range items {
			if err := a.process(&items[i]); err != nil {
				return err
			}
		}
	}
}

func (a *applier) process(item *applyItem) error {
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
	a.onReset(state)
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
	a.onChanges(&changes)
	a.stateMutex.Unlock()
	a.commands.Inc()
	a.onApplied(changes, a.state)
	a.notifyWaiter(entry, result)
	return nil
}

// notifyWaiter sends the result to the proposer of the entry, or ErrNotLeader if the
// applied entry is of another term than the proposed one.
func (a *applier) notifyWaiter(entry *consensus.Entry, result fleet.Result) {
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

// addWaiter registers a waiter for the entry at an index.
func (a *applier) addWaiter(index uint64, waiting waiter) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiters[index] = waiting
}

// failWaiters sends err to all waiters; whether their entries will commit is unknown.
func (a *applier) failWaiters(err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for index, waiting := range a.waiters {
		delete(a.waiters, index)
		waiting.done <- outcome{err: err}
	}
}

// stop ends all waits.
func (a *applier) stop() {
	a.failWaiters(errStopped)
	a.mutex.Lock()
	a.stopped = true
	a.mutex.Unlock()
	close(a.ending)
	a.progress.Broadcast()
}

func (a *applier) advance(index uint64) {
	a.mutex.Lock()
	a.index = index
	a.mutex.Unlock()
	a.progress.Broadcast()
}

// appliedIndex returns the index of the newest entry that the state reflects.
func (a *applier) appliedIndex() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.index
}

// waitApplied waits until the state reflects a log index.
func (a *applier) waitApplied(ctx context.Context, index uint64) error {
	// With the mutex, so that the broadcast does not fall between a waiter's check and its wait.
	stop := context.AfterFunc(ctx, func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.progress.Broadcast()
	})
	defer stop()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for a.index < index {
		if ctx.Err() != nil || a.stopped {
			return eris.Errorf("wait for log index %d: only %d has been applied", index, a.index)
		}
		if a.diskFull {
			return eris.Wrapf(wal.ErrDiskFull, "wait for log index %d: only %d has been applied, and the next entries wait for room on this member's disk", index, a.index)
		}
		a.progress.Wait()
	}
	return nil
}

// setDiskFull ends the waits for entries that are not on the disk, and rejects new ones, while the disk is full.
func (a *applier) setDiskFull(full bool) {
	a.mutex.Lock()
	a.diskFull = full
	a.mutex.Unlock()
	a.progress.Broadcast()
}

// maybeSnapshot takes a snapshot if one is due. It encodes the state synchronously and
// writes the file in the background.
func (a *applier) maybeSnapshot() error {
	if a.index < a.snapshotIndex+uint64(a.options.Settings.Control.SnapshotEvery) || a.snapshotWriting.Load() {
		return nil
	}
	data, err := a.state.Encode()
	if err != nil {
		a.logger.Error("snapshot_failed", logging.ErrorFields("encode state", "", err)...)
		return err
	}
	a.snapshotIndex = a.index
	snapshot := consensus.Snapshot{Index: a.index, Term: a.term, Data: data, Configuration: a.configuration}
	a.snapshotWriting.Store(true)
	go func() {
		outcome := snapshotOutcome{snapshot, a.saveSnapshot(snapshot)}
		a.snapshotWriting.Store(false)
		a.snapshotDone <- outcome
	}()
	return nil
}

// saveSnapshot saves a snapshot. It tries again while the disk is full, until the member stops.
func (a *applier) saveSnapshot(snapshot consensus.Snapshot) error {
	for {
		err := a.storage.saveSnapshot(snapshot)
		if !a.disk.observe(diskspace.StepSnapshot, err) {
			return err
		}
		select {
		case <-time.After(diskspace.StepSnapshot.RetryAfter()):
		case <-a.ending:
			return err
		}
	}
}

// view runs read with the state locked for reading; read must not retain references to it.
func (a *applier) view(read func(*fleet.State)) {
	a.stateMutex.RLock()
	defer a.stateMutex.RUnlock()
	read(a.state)
}
