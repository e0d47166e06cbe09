package simulate

import (
	"time"

	"limehold/assignment"
	"limehold/consensus"
	"limehold/fleet"
	"limehold/membership"
	"limehold/placement"
)

const (
	heartbeat       = 40 * time.Millisecond
	electionMin     = 200 * time.Millisecond
	electionMax     = 350 * time.Millisecond
	leaseLength     = 500 * time.Millisecond
	renewEvery      = 100 * time.Millisecond
	tickEvery       = 20 * time.Millisecond
	placeEvery      = 500 * time.Millisecond
	snapshotEvery   = 25
	retainedEntries = 5
	fullDiskRetry   = 100 * time.Millisecond
	maxAppend       = 16
	maxAppendBytes  = 1 << 16
)

func (o *Options) timing() consensus.Timing {
	return consensus.Timing{Heartbeat: heartbeat, ElectionMin: electionMin, ElectionMax: electionMax, DriftPermille: o.driftPermille}
}

func (o *Options) leaseTiming() membership.LeaseTiming {
	return membership.LeaseTiming{Length: leaseLength, DriftPermille: o.driftPermille}
}

// disk holds what survives a crash of a member.
type disk struct {
	id        consensus.MemberID
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
	slowUntil time.Duration
	// blockedUntil is the time before which no sync completes.
	blockedUntil time.Duration
	// fullUntil is the time before which no write succeeds.
	fullUntil time.Duration
	// slow is set if Options.Sync applies to the disk.
	slow bool
}

// write stores an output whose sync has completed.
func (d *disk) write(output *consensus.Output) {
	if output.Snapshot != nil {
		d.snapshot, d.entries = *output.Snapshot, nil
	}
	if output.HardState != nil {
		d.hardState = *output.HardState
	}
	d.append(output.Entries)
}

func (d *disk) append(entries []consensus.Entry) {
	for _, entry := range entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= entry.Index {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries, entry)
	}
}

// memberStatus is the part of a member's state that, in package control, the replica publishes to the
// member's other goroutines.
type memberStatus struct {
	role       consensus.Role
	term       uint64
	leader     consensus.MemberID
	ready      bool
	commit     uint64
	applied    uint64
	leaseUntil time.Duration
}

// member is a control member: it runs the same cores as package control, with the
// same order of steps.
type member struct {
	*process
	sim   *simulation
	disk  *disk
	core  *consensus.Core
	state *fleet.State

	// pipeline is as in package control; syncing is set during a sync.
	pipeline consensus.Pipeline
	syncing  bool
	applied  uint64
	status   memberStatus
	waiters  map[uint64]waiter

	leaderState leaderState
}

type waiter struct {
	term uint64
	done func(fleet.Result, bool)
}

// leaderState is what a leader keeps in memory only.
type leaderState struct {
	leases             *membership.Leases
	term               uint64
	outbox             *assignment.Outbox[connection]
	revision           map[membership.SessionID]uint64
	baseRevision       uint64
	nextPlacement      time.Duration
	placementRequested bool
	budget             map[string]*placement.Budget
}

func (w *simulation) newMember(name string, id consensus.MemberID, first consensus.Snapshot) *member {
	m := &member{process: w.newProcess(name), sim: w, disk: &disk{id: id, snapshot: first, hardState: consensus.HardState{Term: first.Term}}}
	m.disk.slow = w.options.SlowDisks == 0 || len(w.members) < w.options.SlowDisks
	m.start()
	return m
}

// start starts a new incarnation of the member from what its disk holds.
func (m *member) start() {
	m.running = true
	state, err := fleet.DecodeState(m.disk.snapshot.Data)
	if err != nil {
		m.sim.fail("recovery", "%s cannot read its snapshot: %v", m.name, err)
		return
	}
	m.state, m.applied = state, m.disk.snapshot.Index
	m.waiters = map[uint64]waiter{}
	m.pipeline, m.syncing, m.leaderState, m.status = consensus.Pipeline{}, false, leaderState{}, memberStatus{}
	m.core = consensus.New(consensus.Options{
		ID: m.disk.id, Timing: m.sim.options.timing(), Random: m.sim.random.Int64N, HardState: m.disk.hardState,
		Snapshot: m.disk.snapshot, Entries: append([]consensus.Entry(nil), m.entriesAfterSnapshot()...),
		MaxAppendEntries: maxAppend, MaxAppendBytes: maxAppendBytes,
	}, m.sim.clock(m.process))
	m.sim.scheduleOn(m.process, m.sim.randomDuration(0, tickEvery), m.tick)
}

func (m *member) entriesAfterSnapshot() []consensus.Entry {
	for i, entry := range m.disk.entries {
		if entry.Index > m.disk.snapshot.Index {
			return m.disk.entries[i:]
		}
	}
	return nil
}

func (m *member) tick() {
	m.sim.scheduleOn(m.process, m.trueLength(tickEvery), m.tick)
	m.runOnCore(func() { m.core.Tick(m.sim.clock(m.process)) })
	m.runLeaderTasks()
}

// runOnCore runs work on the core and processes the resulting output. In package
// control this happens on the replica's goroutine.
func (m *member) runOnCore(work func()) {
	work()
	m.processOutput()
}

// processOutput processes the core's outputs in the order that consensus.Output
// requires, until only outputs that wait for a sync are left.
func (m *member) processOutput() {
	for {
		output := m.core.TakeOutput()
		if output.Fatal != nil {
			m.sim.counts["members that noticed a lost log"]++
			m.sim.crash(m.process)
			return
		}
		m.transmit(m.pipeline.Add(output))
		if next, ok := m.pipeline.Next(); ok {
			m.writeOrComplete(next)
			continue
		}
		if output.Empty() {
			m.publish()
			return
		}
	}
}

func (m *member) writeOrComplete(next consensus.Output) {
	if next.NeedsWrite() {
		m.startSync(next)
		return
	}
	m.completeOutput(&next)
}

// startSync starts a sync; everything that does not depend on it continues.
func (m *member) startSync(output consensus.Output) {
	m.syncing = true
	length := m.sim.randomDuration(100*time.Microsecond, 3*time.Millisecond)
	if mean := m.sim.options.Sync; mean > 0 && m.disk.slow {
		length = m.sim.randomDuration(mean/2, mean*3/2)
	}
	if m.sim.now < m.disk.slowUntil {
		length += m.sim.randomDuration(0, 400*time.Millisecond)
	}
	length = max(length, m.disk.blockedUntil-m.sim.now)
	pending := &output
	m.disk.tearOnCrash(pending, m)
	m.sim.scheduleOn(m.process, length, func() { m.finishSync(pending) })
}

// finishSync ends a sync. If the disk is full, the write is repeated until it succeeds.
func (m *member) finishSync(pending *consensus.Output) {
	if m.sim.now < m.disk.fullUntil {
		m.sim.counts["writes without room"]++
		m.sim.scheduleOn(m.process, fullDiskRetry, func() { m.finishSync(pending) })
		m.runOnCore(func() { m.core.SetDiskFull(m.sim.clock(m.process), true) })
		return
	}
	m.runOnCore(func() {
		m.core.SetDiskFull(m.sim.clock(m.process), false)
		m.syncing = false
		m.disk.write(pending)
		m.pipeline.WriteDone()
		m.core.NotifyDurable(m.sim.clock(m.process), pending)
		m.completeOutput(pending)
	})
}

// tearOnCrash makes a crash during the sync leave any prefix of the write.
func (d *disk) tearOnCrash(output *consensus.Output, m *member) {
	incarnation := m.incarnationNumber
	m.sim.checker.setCrashHook(m.process, func() {
		if m.incarnationNumber == incarnation+1 && m.syncing {
			d.tearWrite(output, m.sim)
		}
	})
}

func (d *disk) tearWrite(output *consensus.Output, w *simulation) {
	if output.Snapshot != nil || w.random.IntN(2) == 0 {
		return
	}
	if output.HardState != nil {
		d.hardState = *output.HardState
	}
	if count := len(output.Entries); count > 0 {
		w.counts["torn writes"]++
		d.append(output.Entries[:w.random.IntN(count+1)])
	}
}

// completeOutput does what must wait until an output is synced, if it needs a sync: it sends messages,
// restores a snapshot, applies committed entries and takes a snapshot if one is due.
func (m *member) completeOutput(output *consensus.Output) {
	m.publishLease()
	m.transmit(output.Messages)
	if output.Snapshot != nil {
		m.restore(*output.Snapshot)
	}
	for i := range output.Committed {
		m.apply(&output.Committed[i])
	}
	m.snapshotIfDue()
}

func (m *member) restore(snapshot consensus.Snapshot) {
	state, err := fleet.DecodeState(snapshot.Data)
	if err != nil {
		m.sim.fail("recovery", "%s cannot read a snapshot from the leader: %v", m.name, err)
		return
	}
	m.sim.counts["snapshots installed"]++
	m.state, m.applied = state, snapshot.Index
}

func (m *member) apply(entry *consensus.Entry) {
	m.sim.checker.checkCommitted(m, entry)
	m.applied = entry.Index
	if entry.Kind != consensus.EntryCommand {
		return
	}
	command, err := fleet.DecodeCommand(entry.Data)
	if err != nil {
		m.sim.fail("recovery", "%s cannot read entry %d: %v", m.name, entry.Index, err)
		return
	}
	result, changes := m.state.Apply(entry.Index, command)
	m.sim.checker.checkApplied(m, entry, command, &result)
	m.handleChanges(&changes)
	if waiting, found := m.waiters[entry.Index]; found {
		delete(m.waiters, entry.Index)
		waiting.done(result, waiting.term == entry.Term)
	}
}

func (m *member) snapshotIfDue() {
	if m.applied < m.disk.snapshot.Index+snapshotEvery {
		return
	}
	term, ok := m.core.EntryTerm(m.applied)
	if !ok {
		return
	}
	data, err := m.state.Encode()
	if err != nil {
		m.sim.fail("recovery", "%s cannot encode its state: %v", m.name, err)
		return
	}
	snapshot := consensus.Snapshot{Index: m.applied, Term: term, Data: data, Configuration: m.core.ConfigurationAt(m.applied)}
	m.disk.snapshot = snapshot
	m.core.Compact(snapshot, retainedEntries)
	m.sim.counts["snapshots"]++
	first := m.core.FirstIndex()
	for len(m.disk.entries) > 0 && m.disk.entries[0].Index < first {
		m.disk.entries = m.disk.entries[1:]
	}
}

func (m *member) publish() {
	previous := m.status
	m.status = memberStatus{
		role: m.core.Role(), term: m.core.Term(), leader: m.core.Leader(),
		commit: m.core.CommitIndex(), applied: m.applied,
	}
	m.status.ready = m.status.role == consensus.RoleLeader && m.applied >= m.core.TermStart()
	m.publishLease()
	if previous.role == consensus.RoleLeader && (m.status.role != consensus.RoleLeader || m.status.term != previous.term) {
		for index, waiting := range m.waiters {
			delete(m.waiters, index)
			waiting.done(fleet.Result{}, false)
		}
	}
}

func (m *member) publishLease() {
	m.status.leaseUntil = 0
	if m.core.Role() == consensus.RoleLeader && m.applied >= m.core.TermStart() {
		m.status.leaseUntil = m.core.LeaseUntil(m.sim.clock(m.process))
	}
}

// holdsLease reports whether the member holds the leader lease and may answer for the group.
func (m *member) holdsLease() bool { return m.sim.clock(m.process) < m.status.leaseUntil }

func (m *member) transmit(messages []consensus.Message) {
	for _, message := range messages {
		peer := m.sim.memberByID(message.To)
		if peer == nil {
			continue
		}
		copied := message
		m.sim.send(m.process, peer.process, "consensus", func() {
			peer.runOnCore(func() { peer.core.Step(m.sim.clock(peer.process), copied) })
		})
	}
}

// memberByID returns the member whose disk has the ID, or nil.
func (w *simulation) memberByID(id consensus.MemberID) *member {
	for _, m := range w.members {
		if m.disk.id == id {
			return m
		}
	}
	return nil
}

// propose submits a command and calls done with its result, or with false if the
// result is unknown.
func (m *member) propose(command *fleet.Command, done func(fleet.Result, bool)) {
	m.runOnCore(func() {
		index, err := m.core.Propose(m.sim.clock(m.process), command.Encode())
		if err != nil {
			done(fleet.Result{}, false)
			return
		}
		m.waiters[index] = waiter{term: m.core.Term(), done: done}
	})
}
