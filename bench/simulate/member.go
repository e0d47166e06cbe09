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
	heartbeat      = 40 * time.Millisecond
	electionMin    = 200 * time.Millisecond
	electionMax    = 350 * time.Millisecond
	leaseLength    = 500 * time.Millisecond
	renewEvery     = 100 * time.Millisecond
	tickEvery      = 20 * time.Millisecond
	placeEvery     = 500 * time.Millisecond
	snapshotEvery  = 25
	compactKeep    = 5
	maxAppend      = 16
	maxAppendBytes = 1 << 16
)

func (o *Options) timing() consensus.Timing {
	return consensus.Timing{Heartbeat: heartbeat, ElectionMin: electionMin, ElectionMax: electionMax, DriftPermille: o.driftPermille}
}

func (o *Options) leaseTiming() membership.LeaseTiming {
	return membership.LeaseTiming{Length: leaseLength, DriftPermille: o.driftPermille}
}

// disk is what survives a member's death.
type disk struct {
	id        consensus.MemberID
	hard      consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
	slowUntil time.Duration
	// hangsUntil is when the disk goes on.
	hangsUntil time.Duration
	// slow is set where Options.Sync holds.
	slow bool
}

// write applies what a sync has made durable.
func (d *disk) write(output *consensus.Output) {
	if output.Snapshot != nil {
		d.snapshot, d.entries = *output.Snapshot, nil
	}
	if output.HardState != nil {
		d.hard = *output.HardState
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

// published is what the member's other goroutines may know of its core.
type published struct {
	role       consensus.Role
	term       uint64
	leader     consensus.MemberID
	ready      bool
	commit     uint64
	applied    uint64
	leaseUntil time.Duration
}

// member is a control member: the same cores as in package control, with the
// same order of steps around them.
type member struct {
	*process
	world *world
	disk  *disk
	core  *consensus.Core
	state *fleet.State

	// pipeline is as in package control; busy while a sync is under way.
	pipeline consensus.Pipeline
	busy     bool
	applied  uint64
	status   published
	waiters  map[uint64]waiter

	duties duties
}

type waiter struct {
	term uint64
	done func(fleet.Result, bool)
}

// duties is what a leader keeps in memory.
type duties struct {
	leases       *membership.Leases
	term         uint64
	outbox       *assignment.Outbox[channel]
	revision     map[membership.SessionID]uint64
	baseRevision uint64
	placeDue     time.Duration
	placeWanted  bool
	budget       map[string]*placement.Budget
}

func (w *world) newMember(name string, id consensus.MemberID, first consensus.Snapshot) *member {
	m := &member{process: w.newProcess(name), world: w, disk: &disk{id: id, snapshot: first, hard: consensus.HardState{Term: first.Term}}}
	m.disk.slow = w.options.SlowDisks == 0 || len(w.members) < w.options.SlowDisks
	m.start()
	return m
}

// start begins a life of the process with what the disk holds.
func (m *member) start() {
	m.running = true
	state, err := fleet.DecodeState(m.disk.snapshot.Data)
	if err != nil {
		m.world.fail("recovery", "%s cannot read its snapshot: %v", m.name, err)
		return
	}
	m.state, m.applied = state, m.disk.snapshot.Index
	m.waiters = map[uint64]waiter{}
	m.pipeline, m.busy, m.duties, m.status = consensus.Pipeline{}, false, duties{}, published{}
	m.core = consensus.New(consensus.Options{
		ID: m.disk.id, Timing: m.world.options.timing(), Random: m.world.random.Int64N, HardState: m.disk.hard,
		Snapshot: m.disk.snapshot, Entries: append([]consensus.Entry(nil), m.entriesAfterSnapshot()...),
		MaxAppendEntries: maxAppend, MaxAppendBytes: maxAppendBytes,
	}, m.world.clock(m.process))
	m.world.after(m.process, m.world.between(0, tickEvery), m.tick)
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
	m.world.after(m.process, m.trueLength(tickEvery), m.tick)
	m.enqueue(func() { m.core.Tick(m.world.clock(m.process)) })
	m.duty()
}

// enqueue hands work to the replica's goroutine.
func (m *member) enqueue(work func()) {
	work()
	m.carryOut()
}

// carryOut does what the core asks for, in the order of consensus.Output, until nothing is left but
// what waits for the disk.
func (m *member) carryOut() {
	for {
		output := m.core.TakeOutput()
		if output.Fatal != nil {
			m.world.counts["members that noticed a lost log"]++
			m.world.die(m.process)
			return
		}
		m.transmit(m.pipeline.Add(output))
		if next, ok := m.pipeline.Next(); ok {
			m.begin(next)
			continue
		}
		if output.Empty() {
			m.publish()
			return
		}
	}
}

func (m *member) begin(next consensus.Output) {
	if next.Writes() {
		m.persist(next)
		return
	}
	m.finish(&next)
}

// persist starts a sync; what does not depend on it goes on.
func (m *member) persist(output consensus.Output) {
	m.busy = true
	length := m.world.between(100*time.Microsecond, 3*time.Millisecond)
	if mean := m.world.options.Sync; mean > 0 && m.disk.slow {
		length = m.world.between(mean/2, mean*3/2)
	}
	if m.world.now < m.disk.slowUntil {
		length += m.world.between(0, 400*time.Millisecond)
	}
	length = max(length, m.disk.hangsUntil-m.world.now)
	writing := &output
	m.disk.pending(writing, m)
	m.world.after(m.process, length, func() {
		m.busy = false
		m.disk.write(writing)
		m.pipeline.Wrote()
		m.core.Durable(m.world.clock(m.process), writing)
		m.finish(writing)
		m.carryOut()
	})
}

// pending arranges that a crash during the sync leaves any prefix of it.
func (d *disk) pending(output *consensus.Output, m *member) {
	life := m.life
	m.world.checker.onDeath(m.process, func() {
		if m.life == life+1 && m.busy {
			d.tear(output, m.world)
		}
	})
}

func (d *disk) tear(output *consensus.Output, w *world) {
	if output.Snapshot != nil || w.random.IntN(2) == 0 {
		return
	}
	if output.HardState != nil {
		d.hard = *output.HardState
	}
	if count := len(output.Entries); count > 0 {
		w.counts["torn writes"]++
		d.append(output.Entries[:w.random.IntN(count+1)])
	}
}

// finish sends, restores and applies after the sync.
func (m *member) finish(output *consensus.Output) {
	m.publishLease()
	m.transmit(output.Messages)
	if output.Snapshot != nil {
		m.restore(*output.Snapshot)
	}
	for i := range output.Committed {
		m.apply(&output.Committed[i])
	}
	m.maybeSnapshot()
}

func (m *member) restore(snapshot consensus.Snapshot) {
	state, err := fleet.DecodeState(snapshot.Data)
	if err != nil {
		m.world.fail("recovery", "%s cannot read a snapshot from the leader: %v", m.name, err)
		return
	}
	m.world.counts["snapshots installed"]++
	m.state, m.applied = state, snapshot.Index
}

func (m *member) apply(entry *consensus.Entry) {
	m.world.checker.committed(m, entry)
	m.applied = entry.Index
	if entry.Kind != consensus.EntryCommand {
		return
	}
	command, err := fleet.DecodeCommand(entry.Data)
	if err != nil {
		m.world.fail("recovery", "%s cannot read entry %d: %v", m.name, entry.Index, err)
		return
	}
	result, changes := m.state.Apply(entry.Index, command)
	m.world.checker.applied(m, entry, command, &result)
	m.noteChanges(&changes)
	if waiting, found := m.waiters[entry.Index]; found {
		delete(m.waiters, entry.Index)
		waiting.done(result, waiting.term == entry.Term)
	}
}

func (m *member) maybeSnapshot() {
	if m.applied < m.disk.snapshot.Index+snapshotEvery {
		return
	}
	term, held := m.core.EntryTerm(m.applied)
	if !held {
		return
	}
	data, err := m.state.Encode()
	if err != nil {
		m.world.fail("recovery", "%s cannot encode its state: %v", m.name, err)
		return
	}
	snapshot := consensus.Snapshot{Index: m.applied, Term: term, Data: data, Configuration: m.core.ConfigurationAt(m.applied)}
	m.disk.snapshot = snapshot
	m.core.Compact(snapshot, compactKeep)
	m.world.counts["snapshots"]++
	first := m.core.FirstIndex()
	for len(m.disk.entries) > 0 && m.disk.entries[0].Index < first {
		m.disk.entries = m.disk.entries[1:]
	}
}

func (m *member) publish() {
	previous := m.status
	m.status = published{
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
		m.status.leaseUntil = m.core.LeaseUntil(m.world.clock(m.process))
	}
}

// holdsLease reports whether the member may answer for the group.
func (m *member) holdsLease() bool { return m.world.clock(m.process) < m.status.leaseUntil }

func (m *member) transmit(messages []consensus.Message) {
	for _, message := range messages {
		peer := m.world.memberByID(message.To)
		if peer == nil {
			continue
		}
		copied := message
		m.world.send(m.process, peer.process, "consensus", func() {
			peer.enqueue(func() { peer.core.Step(m.world.clock(peer.process), copied) })
		})
	}
}

// memberByID finds the process whose disk carries the identity.
func (w *world) memberByID(id consensus.MemberID) *member {
	for _, m := range w.members {
		if m.disk.id == id {
			return m
		}
	}
	return nil
}

// propose submits a command; done is told the result, or that it is unknown.
func (m *member) propose(command *fleet.Command, done func(fleet.Result, bool)) {
	m.enqueue(func() {
		index, err := m.core.Propose(m.world.clock(m.process), command.Encode())
		if err != nil {
			done(fleet.Result{}, false)
			return
		}
		m.waiters[index] = waiter{term: m.core.Term(), done: done}
	})
}
