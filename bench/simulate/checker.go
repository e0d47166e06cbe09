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

// checker holds what an observer outside of time knows, and compares it with
// what the processes do.
type checker struct {
	world    *world
	observer *process
	history  *history
	deaths   map[*process][]func()

	leaders    map[uint64]consensus.MemberID
	entries    map[uint64]entryDigest
	results    map[uint64]string
	highest    map[ownership.Key]uint64
	invariants int
	repairing  bool
	// repairTarget is the log index that a replacement must hold.
	repairTarget uint64
	removed      map[*member]bool
	nextID       consensus.MemberID
}

type entryDigest struct {
	term   uint64
	digest uint64
}

var digestSeed = maphash.MakeSeed()

func newChecker(w *world) *checker {
	return &checker{
		world: w, observer: &process{name: "observer", rate: 1, running: true}, history: newHistory(),
		deaths: map[*process][]func(){}, leaders: map[uint64]consensus.MemberID{}, entries: map[uint64]entryDigest{},
		results: map[uint64]string{}, highest: map[ownership.Key]uint64{}, removed: map[*member]bool{}, nextID: firstReplacement,
	}
}

const firstReplacement = 100

// onDeath registers what happens to a process's unfinished writes.
func (c *checker) onDeath(p *process, run func()) { c.deaths[p] = []func(){run} }

func (c *checker) died(p *process) {
	for _, run := range c.deaths[p] {
		run()
	}
	delete(c.deaths, p)
}

// step runs after every event.
func (c *checker) step() {
	holders := 0
	highest := uint64(0)
	for _, m := range c.world.members {
		if !m.running {
			continue
		}
		if m.core.Role() == consensus.RoleLeader {
			c.oneLeader(m)
		}
		highest = max(highest, c.leadingTerm(m))
	}
	for _, m := range c.world.members {
		if !m.running || m.frozen || !m.holdsLease() {
			continue
		}
		holders++
		if m.status.term < highest {
			c.world.fail("a leader lease excludes other leaders", "%s holds the lease of term %d while term %d has a leader", m.name, m.status.term, highest)
		}
	}
	if holders > 1 {
		c.world.fail("a leader lease excludes other leaders", "%d members hold a leader lease at once", holders)
	}
}

func (c *checker) leadingTerm(m *member) uint64 {
	if m.core.Role() != consensus.RoleLeader {
		return 0
	}
	return m.core.Term()
}

func (c *checker) oneLeader(m *member) {
	known, seen := c.leaders[m.core.Term()]
	if seen && known != m.disk.id {
		c.world.fail("one leader a term", "members %s and %s both lead term %d", known, m.disk.id, m.core.Term())
	}
	if !seen {
		c.leaders[m.core.Term()] = m.disk.id
		c.world.counts["elections"]++
	}
}

// committed compares what members take as committed at an index.
func (c *checker) committed(m *member, entry *consensus.Entry) {
	digest := entryDigest{entry.Term, maphash.Bytes(digestSeed, entry.Data)}
	known, seen := c.entries[entry.Index]
	if seen && known != digest {
		c.world.fail("committed entries never change", "%s applies another entry at index %d (term %d) than was committed (term %d)", m.name, entry.Index, entry.Term, known.term)
	}
	c.entries[entry.Index] = digest
}

// applied compares the result of a command on all members.
func (c *checker) applied(m *member, entry *consensus.Entry, command *fleet.Command, result *fleet.Result) {
	text := command.ID + " " + describe(*result)
	known, seen := c.results[entry.Index]
	if seen && known != text {
		c.world.fail("members apply alike", "%s gets %q at index %d, another member got %q", m.name, text, entry.Index, known)
	}
	c.results[entry.Index] = text
	const invariantsEvery = 7
	if c.invariants++; c.invariants%invariantsEvery == 0 {
		if err := m.state.CheckInvariants(); err != nil {
			c.world.fail("the state's invariants hold", "%s at index %d: %v", m.name, entry.Index, err)
		}
	}
}

// owns runs when a node may have begun to own something: nobody else may own it.
func (c *checker) owns(n *node) {
	for key, owned := range n.grants {
		if n.ownsNow(key) == nil {
			continue
		}
		for _, other := range c.world.nodes {
			if other == n {
				continue
			}
			if theirs := other.ownsNow(key); theirs != nil {
				c.world.fail("one owner per key", "shard %s is owned by %s (epoch %d) and %s (epoch %d)", key, n.name, owned.epoch, other.name, theirs.epoch)
			}
		}
	}
}

// executed runs at the point of execution of a request.
func (c *checker) executed(n *node, key ownership.Key, epoch uint64) {
	c.world.counts["executions"]++
	if epoch < c.highest[key] {
		c.world.fail("epochs fence", "%s ran a request for shard %s under epoch %d after epoch %d", n.name, key, epoch, c.highest[key])
	}
	c.highest[key] = epoch
	c.owns(n)
}

// final runs after everything has been healed for a while.
func (c *checker) final() {
	w := c.world
	leader := w.leader()
	if leader == nil || !leader.status.ready {
		w.fail("the group recovers", "there is no leader %s after the last fault", w.options.settle)
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
	c.finalStates(leader)
	c.finalOwners(leader)
	c.finalAnswers(leader)
	if w.failure == nil {
		c.history.check(w, leader.state)
	}
}

// finalStates compares the whole state of members that have applied the same.
func (c *checker) finalStates(leader *member) {
	want, err := json.Marshal(leader.state)
	if err != nil {
		c.world.fail("members apply alike", "the leader's state cannot be written: %v", err)
		return
	}
	for _, m := range c.world.members {
		if !m.running || m.applied != leader.applied {
			continue
		}
		c.world.counts["whole states compared"]++
		if have, err := json.Marshal(m.state); err != nil || !bytes.Equal(have, want) {
			c.world.fail("members apply alike", "%s and %s hold different states at index %d", m.name, leader.name, m.applied)
		}
	}
}

func (c *checker) finalOwners(leader *member) {
	for number := range services {
		name := serviceName(number)
		for shard, record := range leader.state.Ownership.Shards[name] {
			key := ownership.Key{Service: name, Shard: uint32(shard)}
			if record.Phase == ownership.PhaseFree {
				c.world.fail("every shard finds an owner", "shard %s has none at the end", key)
				continue
			}
			served := false
			for _, n := range c.world.nodes {
				served = served || n.ownsNow(key) != nil
			}
			if !served && record.Phase == ownership.PhaseGranted {
				c.world.fail("every shard finds an owner", "shard %s is granted to session %d, and no node serves it", key, record.Owner)
			}
		}
	}
}

// finalAnswers looks for acknowledged commands that the group has forgotten.
func (c *checker) finalAnswers(leader *member) {
	for _, attempt := range c.history.attempts {
		if !attempt.answered {
			continue
		}
		record, kept := leader.state.Records[attempt.command.ID]
		if !kept || !sameAnswer(record.Result, attempt.answer) {
			c.world.fail("acknowledged commands survive", "command %s was answered %s; the group holds %s (kept: %t)", attempt.command.ID, describe(attempt.answer), describe(record.Result), kept)
		}
	}
}

// failureCode returns the code of a result.
func failureCode(result fleet.Result) catalog.FailureCode {
	if result.Failure == nil {
		return ""
	}
	return result.Failure.Code
}
