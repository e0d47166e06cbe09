package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/consensus"
	"limehold/diskspace"
	"limehold/fleet"
)

// replica drives one consensus.Core. Its goroutine owns the core and never blocks on
// slow work or on the disk, because heartbeats must be sent in time. logWriter writes
// the log, and the applier applies committed entries, each on its own goroutine.
type replica struct {
	*applier
	options Options
	logger  *zap.Logger
	storage *storage
	core    *consensus.Core
	// pipeline delays the parts of an output that depend on a write until it is done.
	pipeline consensus.Pipeline
	writer   *logWriter
	disk     *diskMonitor
	// send sends messages to peers. It must not block.
	send func([]consensus.Message)

	inbox  chan event
	status atomic.Pointer[replicaStatus]
	lease  atomic.Pointer[leaderLease]

	syncSeconds interface{ Observe(float64) }
	driver      driverStats
}

// leaderLease is the time until which the leader of a term may answer for the group.
type leaderLease struct {
	term  uint64
	until time.Duration
}

// replicaStatus is a snapshot of the core's status for other goroutines.
type replicaStatus struct {
	Role          consensus.Role
	Term          uint64
	Leader        consensus.MemberID
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	FirstIndex    uint64
	Configuration consensus.Configuration
	// ConfigurationIndex is the log index of Configuration.
	ConfigurationIndex uint64
	Progress           []consensus.PeerProgress
	// Ready is true on a leader that has applied the first entry of its term.
	Ready bool
	// LeaderContact is the time of the last message from a leader, or of this member's start if there was none.
	LeaderContact time.Duration
	// Rounds are the newest election round and the one before it. Set only while no leader is known.
	Rounds [2]consensus.Round
	// DiskFull is true while this member persists nothing because its disk is full.
	DiskFull bool
}

// canAllDecode reports whether all members that have answered this leader can decode commands of a format.
func (s *replicaStatus) canAllDecode(format uint64) bool {
	return !slices.ContainsFunc(s.Progress, func(peer consensus.PeerProgress) bool {
		return peer.Contacted && peer.EntryFormat < format
	})
}

type outcome struct {
	result fleet.Result
	err    error
}

// event is work for the replica's goroutine. Exactly one field is set.
type event struct {
	message       *consensus.Message
	proposal      *proposal
	configuration *configurationChange
	transfer      chan bool
}

type proposal struct {
	data []byte
	done chan outcome
}

// configurationChange is an edit of the newest configuration. It runs on the replica's goroutine.
type configurationChange struct {
	edit func(consensus.Configuration) (consensus.Configuration, error)
	// joint is set for a change of several voters at once.
	joint bool
	done  chan configurationOutcome
}

type configurationOutcome struct {
	index uint64
	err   error
}

func newReplica(options Options, disk *storage, monitor *diskMonitor, state recoveredState) (*replica, error) {
	machine, err := fleet.DecodeState(state.snapshot.Data)
	if err != nil {
		return nil, eris.Wrap(err, "restore the snapshot")
	}
	r := &replica{
		applier: newApplier(options, disk, monitor, machine, state.snapshot),
		disk:    monitor, options: options, logger: options.Logger, storage: disk, inbox: make(chan event, maxBatch),
	}
	r.writer = newLogWriter(disk, r.writeLog)
	r.core = consensus.New(consensus.Options{
		ID: disk.identity.ID, Timing: options.consensusTiming(), Random: rand.Int64N,
		HardState: state.hardState, Snapshot: state.snapshot, Entries: state.entries,
		MaxAppendEntries: maxAppendEntries, MaxAppendBytes: maxAppendBytes, EntryFormat: fleet.EntryFormat,
	}, clock.Now())
	r.publish()
	r.registerMetrics()
	return r, nil
}

func (r *replica) registerMetrics() {
	registry := r.options.Metrics
	r.syncSeconds = registry.Histogram("log", "sync_seconds", "Time to write and sync one batch of log records.",
		[]float64{.0002, .0005, .001, .002, .005, .01, .02, .05, .1, .5})
	registry.Gauge("log", "applied_index", "Log index applied to the state.", func() float64 { return float64(r.status.Load().Applied) })
	registry.Gauge("log", "term", "Current term.", func() float64 { return float64(r.status.Load().Term) })
	registry.Gauge("log", "is_leader", "1 while this member leads and is ready.", func() float64 {
		if r.status.Load().Ready {
			return 1
		}
		return 0
	})
}

// run drives the core until ctx ends or the member has to stop because of an error.
func (r *replica) run(ctx context.Context) error {
	ticker := time.NewTicker(r.options.tickInterval())
	defer ticker.Stop()
	defer r.stop()
	go r.writer.run()
	defer r.writer.stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// Queued messages are processed first, so that Tick does not count the time since they arrived as silence.
			r.drainInbox()
			r.core.Tick(clock.Now())
		case next := <-r.inbox:
			r.handleEvent(next)
			r.drainInbox()
		case done := <-r.writer.results:
			if err := r.handleWriteResult(done); err != nil {
				return err
			}
		case done := <-r.snapshotDone:
			if err := r.finishSnapshot(done); err != nil {
				return err
			}
		}
		if err := r.processOutputs(); err != nil {
			return err
		}
	}
}

func (r *replica) drainInbox() {
	for range maxBatch {
		select {
		case next := <-r.inbox:
			r.handleEvent(next)
		default:
			return
		}
	}
}

func (r *replica) handleEvent(next event) {
	now := clock.Now()
	switch {
	case next.message != nil:
		r.core.Step(now, *next.message)
	case next.proposal != nil:
		r.propose(now, next.proposal)
	case next.configuration != nil:
		next.configuration.done <- r.changeMembers(now, next.configuration)
	case next.transfer != nil:
		started := r.core.TransferLeadership()
		r.publishLease()
		next.transfer <- started
	}
}

func (r *replica) propose(now time.Duration, request *proposal) {
	index, err := r.core.Propose(now, request.data)
	if err != nil {
		request.done <- outcome{err: err}
		return
	}
	r.addWaiter(index, waiter{term: r.core.Term(), done: request.done})
}

// processOutputs takes outputs from the core and carries them out in the order that
// consensus.Output prescribes, until only outputs that wait for the disk are left.
func (r *replica) processOutputs() error {
	for {
		output := r.core.TakeOutput()
		if output.Fatal != nil {
			return eris.Wrapf(output.Fatal, "member %s stops; admit it again with 'limehold member replace'", r.options.Settings.Name)
		}
		r.send(r.pipeline.Add(output))
		if next, ok := r.pipeline.Next(); ok {
			r.startOutput(next)
			continue
		}
		if output.Empty() {
			r.publish()
			return nil
		}
	}
}

// startOutput starts writing an output, or completes the output if there is nothing to write.
func (r *replica) startOutput(next consensus.Output) {
	if next.NeedsWrite() {
		r.writer.write(next)
		return
	}
	r.completeOutput(next)
}

// handleWriteResult completes an output that is durable now. While the disk is full, the writer goes on
// trying to write it.
func (r *replica) handleWriteResult(done writeResult) error {
	full := r.disk.observe(diskspace.StepLog, done.err)
	if done.err != nil && !full {
		return done.err
	}
	r.core.SetDiskFull(clock.Now(), full)
	r.setDiskFull(full)
	if full {
		return nil
	}
	r.pipeline.WriteDone()
	r.core.NotifyDurable(clock.Now(), &done.output)
	r.completeOutput(done.output)
	return nil
}

// completeOutput carries out the parts of an output that had to wait for its write.
func (r *replica) completeOutput(output consensus.Output) {
	// The lease must be published before the messages are sent: once another process learns of
	// the persisted state, the published lease must not last longer than the core allows.
	r.publishLease()
	r.send(output.Messages)
	r.enqueue(applyItem{snapshot: output.Snapshot, entries: output.Committed})
}

// writeLog makes the hard state and the entries of an output durable. It runs on the log writer's goroutine.
func (r *replica) writeLog(output *consensus.Output) error {
	if output.HardState == nil && len(output.Entries) == 0 {
		return nil
	}
	r.driver.beginSync(clock.Now())
	if err := r.storage.append(output.HardState, output.Entries); err != nil {
		r.driver.cancelSync()
		return err
	}
	r.syncSeconds.Observe(r.driver.endSync(clock.Now()).Seconds())
	return nil
}

// publish stores the core's status for other goroutines. If leadership or its term was
// lost, it fails the waiters: whether their entries will commit is unknown.
func (r *replica) publish() {
	status := &replicaStatus{
		Role: r.core.Role(), Term: r.core.Term(), Leader: r.core.Leader(),
		Commit: r.core.CommitIndex(), Applied: r.appliedIndex(),
		LastIndex: r.core.LastIndex(), FirstIndex: r.core.FirstIndex(),
		Configuration: r.core.Configuration(), ConfigurationIndex: r.core.ConfigurationIndex(), Progress: r.core.Progress(), LeaderContact: r.core.LeaderContact(),
		DiskFull: r.core.DiskFull(),
	}
	if status.Leader == 0 {
		status.Rounds[0], status.Rounds[1] = r.core.Rounds()
	}
	r.driver.recordRun(clock.Now())
	status.Ready = status.Role == consensus.RoleLeader && status.Applied >= r.core.TermStart()
	previous := r.status.Swap(status)
	r.publishLease()
	if previous == nil {
		return
	}
	if previous.Role != status.Role || previous.Term != status.Term || previous.Leader != status.Leader {
		r.logger.Info("role_changed", zap.String("state", status.Role.String()), zap.Uint64("term", status.Term), zap.Stringer("leader", status.Leader))
	}
	if previous.Role == consensus.RoleLeader && (status.Role != consensus.RoleLeader || status.Term != previous.Term) {
		r.failWaiters(consensus.ErrNotLeader)
	}
}

// publishLease stores the end of the leader lease, which is 0 unless this member leads and is ready.
func (r *replica) publishLease() {
	until := time.Duration(0)
	if r.core.Role() == consensus.RoleLeader && r.appliedIndex() >= r.core.TermStart() {
		until = r.core.LeaseUntil(clock.Now())
	}
	r.lease.Store(&leaderLease{term: r.core.Term(), until: until})
}

// holdsLease reports whether this member may answer for the group at now.
func (r *replica) holdsLease(now time.Duration) bool { return now < r.lease.Load().until }

// holdsLeaseInTerm reports whether this member may answer for the group at now as the leader of term.
func (r *replica) holdsLeaseInTerm(term uint64, now time.Duration) bool {
	lease := r.lease.Load()
	return lease.term == term && now < lease.until
}

// submit proposes a command and waits until it is applied.
func (r *replica) submit(ctx context.Context, command *fleet.Command) (fleet.Result, error) {
	request := &proposal{data: command.Encode(), done: make(chan outcome, 1)}
	select {
	case r.inbox <- event{proposal: request}:
	case <-ctx.Done():
		return fleet.Result{}, eris.Wrap(ctx.Err(), "queue command")
	}
	select {
	case done := <-request.done:
		return done.result, done.err
	case <-ctx.Done():
		return fleet.Result{}, eris.Wrap(ctx.Err(), "wait for command to be committed")
	}
}

func (r *replica) changeMembers(now time.Duration, change *configurationChange) configurationOutcome {
	next, err := change.edit(r.core.Configuration())
	if err != nil {
		return configurationOutcome{err: err}
	}
	propose := r.core.ProposeConfiguration
	if change.joint {
		propose = r.core.ProposeJointConfiguration
	}
	index, err := propose(now, next)
	return configurationOutcome{index: index, err: err}
}

// proposeConfiguration proposes a change of the members, by way of a joint configuration if joint is set. It returns
// the index of the change when the entry is in the leader's log, before it is committed.
func (r *replica) proposeConfiguration(ctx context.Context, joint bool, edit func(consensus.Configuration) (consensus.Configuration, error)) (uint64, error) {
	change := &configurationChange{edit: edit, joint: joint, done: make(chan configurationOutcome, 1)}
	select {
	case r.inbox <- event{configuration: change}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case outcome := <-change.done:
		return outcome.index, outcome.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// transferLeadership makes the core hand leadership to another member, before a planned stop.
// It reports whether a transfer has started.
func (r *replica) transferLeadership(ctx context.Context) bool {
	done := make(chan bool, 1)
	select {
	case r.inbox <- event{transfer: done}:
	case <-ctx.Done():
		return false
	}
	select {
	case started := <-done:
		return started
	case <-ctx.Done():
		return false
	}
}

// step queues a message from a peer. If the queue is full, the message is dropped,
// which the protocol tolerates like a loss on the network.
func (r *replica) step(message *consensus.Message) {
	select {
	case r.inbox <- event{message: message}:
	default:
	}
}

func (r *replica) finishSnapshot(done snapshotOutcome) error {
	if done.err != nil {
		return eris.Wrap(done.err, "write snapshot")
	}
	r.core.Compact(done.snapshot, compactKeep)
	r.writer.removeBefore(r.core.FirstIndex())
	return nil
}
