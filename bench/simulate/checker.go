package simulate

import (
	"bytes"
	"encoding/json"
	"hash/maphash"

	"limehold/catalog"
	"limehold/consensus"
	"limehold/fleet"
	"limehold/ownership"
)

// checker records what all processes did, without being subject to faults, and
// checks the guarantees against it.
type checker struct {
	sim        *simulation
	observer   *process
	history    *history
	crashHooks map[*process][]func()

	leaders         map[uint64]consensus.MemberID
	entries         map[uint64]entryDigest
	results         map[uint64]string
	highestEpochs   map[ownership.Key]uint64
	commandsApplied int
	repairing       bool
	// repairTarget is the log index that a replacement member must reach; 0 if it
	// is not yet determined.
	repairTarget uint64
	removed      map[*member]bool
	nextID       consensus.MemberID
}

type entryDigest struct {
	term   uint64
	digest uint64
}

var digestSeed = maphash.MakeSeed()

func newChecker(w *simulation) *checker {
	return &checker{
		sim: w, observer: &process{name: "observer", rate: 1, running: true}, history: newHistory(),
		crashHooks: map[*process][]func(){}, leaders: map[uint64]consensus.MemberID{}, entries: map[uint64]entryDigest{},
		results: map[uint64]string{}, highestEpochs: map[ownership.Key]uint64{}, removed: map[*member]bool{}, nextID: firstReplacement,
	}
}

const firstReplacement = 100

// setCrashHook sets the function that runs when the process crashes, in place of an earlier one. It decides
// which part of an unfinished write remains.
func (c *checker) setCrashHook(p *process, run func()) { c.crashHooks[p] = []func(){run} }

func (c *checker) runCrashHook(p *process) {
	for _, run := range c.crashHooks[p] {
		run()
	}
	delete(c.crashHooks, p)
}

// checkLeases runs after every event. It checks that a term has at most one leader, and that at most one
// member holds a leader lease, of a term not below that of any running leader. A frozen member does not
// count as a holder.
func (c *checker) checkLeases() {
	holders := 0
	highest := uint64(0)
	for _, m := range c.sim.members {
		if !m.running {
			continue
		}
		if m.core.Role() == consensus.RoleLeader {
			c.checkOneLeader(m)
		}
		highest = max(highest, c.termIfLeader(m))
	}
	for _, m := range c.sim.members {
		if !m.running || m.frozen || !m.holdsLease() {
			continue
		}
		holders++
		if m.status.term < highest {
			c.sim.fail("a leader lease excludes other leaders", "%s holds the lease of term %d while term %d has a leader", m.name, m.status.term, highest)
		}
	}
	if holders > 1 {
		c.sim.fail("a leader lease excludes other leaders", "%d members hold a leader lease at once", holders)
	}
}

func (c *checker) termIfLeader(m *member) uint64 {
	if m.core.Role() != consensus.RoleLeader {
		return 0
	}
	return m.core.Term()
}

func (c *checker) checkOneLeader(m *member) {
	known, seen := c.leaders[m.core.Term()]
	if seen && known != m.disk.id {
		c.sim.fail("one leader a term", "members %s and %s both lead term %d", known, m.disk.id, m.core.Term())
	}
	if !seen {
		c.leaders[m.core.Term()] = m.disk.id
		c.sim.counts["elections"]++
	}
}

// checkCommitted checks that all members commit the same entry at an index.
func (c *checker) checkCommitted(m *member, entry *consensus.Entry) {
	digest := entryDigest{entry.Term, maphash.Bytes(digestSeed, entry.Data)}
	known, seen := c.entries[entry.Index]
	if seen && known != digest {
		c.sim.fail("committed entries never change", "%s applies another entry at index %d (term %d) than was committed (term %d)", m.name, entry.Index, entry.Term, known.term)
	}
	c.entries[entry.Index] = digest
}

// checkApplied checks that a command has the same result on all members, and checks the invariants of
// the state after every seventh command that any member applies.
func (c *checker) checkApplied(m *member, entry *consensus.Entry, command *fleet.Command, result *fleet.Result) {
	text := command.ID + " " + describe(*result)
	known, seen := c.results[entry.Index]
	if seen && known != text {
		c.sim.fail("members apply alike", "%s gets %q at index %d, another member got %q", m.name, text, entry.Index, known)
	}
	c.results[entry.Index] = text
	const invariantsEvery = 7
	if c.commandsApplied++; c.commandsApplied%invariantsEvery == 0 {
		if err := m.state.CheckInvariants(); err != nil {
			c.sim.fail("the state's invariants hold", "%s at index %d: %v", m.name, entry.Index, err)
		}
	}
}

// checkOneOwner runs when a node may have become the owner of a shard. It checks that no other node owns
// any of the node's shards.
func (c *checker) checkOneOwner(n *node) {
	for key, held := range n.grants {
		if n.validGrant(key) == nil {
			continue
		}
		for _, other := range c.sim.nodes {
			if other == n {
				continue
			}
			if otherGrant := other.validGrant(key); otherGrant != nil {
				c.sim.fail("one owner per key", "shard %s is owned by %s (epoch %d) and %s (epoch %d)", key, n.name, held.epoch, other.name, otherGrant.epoch)
			}
		}
	}
}

// checkExecution runs when a request takes effect. It checks that its epoch is not older than that of an
// earlier request for the shard, and that no other node owns any of the node's shards.
func (c *checker) checkExecution(n *node, key ownership.Key, epoch uint64) {
	c.sim.counts["executions"]++
	if epoch < c.highestEpochs[key] {
		c.sim.fail("epochs fence", "%s ran a request for shard %s under epoch %d after epoch %d", n.name, key, epoch, c.highestEpochs[key])
	}
	c.highestEpochs[key] = epoch
	c.checkOneOwner(n)
}

// checkFinal runs at the end, some time after all faults have ended.
func (c *checker) checkFinal() {
	w := c.sim
	leader := w.leader()
	if leader == nil || !leader.status.ready {
		w.fail("the group recovers", "there is no leader %s after the last fault", w.options.recoveryTime)
		return
	}
	if c.repairing {
		w.fail("the group recovers", "a member that lost its disk has not been replaced")
	}
	if len(c.removed) > 0 {
		w.fail("the group recovers", "a member that was removed has not been added again")
	}
	for _, m := range w.members {
		if m.running && m.applied+uint64(snapshotEvery) < leader.applied {
			w.fail("the group recovers", "%s has applied %d, the leader %d", m.name, m.applied, leader.applied)
		}
	}
	c.checkFinalStates(leader)
	c.checkFinalOwners(leader)
	c.checkFinalAnswers(leader)
	if w.failure == nil {
		c.history.check(w, leader.state)
	}
}

// checkFinalStates compares the whole states of members that have applied the
// same index.
func (c *checker) checkFinalStates(leader *member) {
	want, err := json.Marshal(leader.state)
	if err != nil {
		c.sim.fail("members apply alike", "the leader's state cannot be written: %v", err)
		return
	}
	for _, m := range c.sim.members {
		if !m.running || m.applied != leader.applied {
			continue
		}
		c.sim.counts["whole states compared"]++
		if have, err := json.Marshal(m.state); err != nil || !bytes.Equal(have, want) {
			c.sim.fail("members apply alike", "%s and %s hold different states at index %d", m.name, leader.name, m.applied)
		}
	}
}

func (c *checker) checkFinalOwners(leader *member) {
	for number := range services {
		name := serviceName(number)
		for shard, record := range leader.state.Ownership.Shards[name] {
			key := ownership.Key{Service: name, Shard: uint32(shard)}
			if record.Phase == ownership.PhaseFree {
				c.sim.fail("every shard finds an owner", "shard %s has none at the end", key)
				continue
			}
			served := false
			for _, n := range c.sim.nodes {
				served = served || n.validGrant(key) != nil
			}
			if !served && record.Phase == ownership.PhaseGranted {
				c.sim.fail("every shard finds an owner", "shard %s is granted to session %d, and no node serves it", key, record.Owner)
			}
		}
	}
}

// checkFinalAnswers checks that the state holds the result of every answered command.
func (c *checker) checkFinalAnswers(leader *member) {
	for _, attempt := range c.history.attempts {
		if !attempt.answered {
			continue
		}
		record, kept := leader.state.Records[attempt.command.ID]
		if !kept || !sameAnswer(record.Result, attempt.answer) {
			c.sim.fail("acknowledged commands survive", "command %s was answered %s; the group holds %s (kept: %t)", attempt.command.ID, describe(attempt.answer), describe(record.Result), kept)
		}
	}
}

// failureCode returns the failure code of a result, or "" if the command succeeded.
func failureCode(result fleet.Result) catalog.FailureCode {
	if result.Failure == nil {
		return ""
	}
	return result.Failure.Code
}
