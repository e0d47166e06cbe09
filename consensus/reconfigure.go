package consensus

import "time"

// ProposeConfiguration appends a configuration that differs by at most one voter.
// It takes effect as soon as it is in the log, as in the Raft paper.
func (c *Core) ProposeConfiguration(now time.Duration, next Configuration) (uint64, error) {
	c.now = now
	if err := c.checkConfigurable(); err != nil {
		return 0, err
	}
	if voterDifference(c.Configuration(), next) > 1 {
		return 0, ErrUnsafeChange
	}
	return c.appendConfiguration(next), nil
}

// ProposeJointConfiguration appends a joint configuration that leads to next, whose voters may differ by any number
// from the current ones. Once it is committed, the leader appends next itself; see leaveJoint. A voter that does
// not vote in next leaves the group. It returns ErrJointUnsupported if a member could not decode the entry.
func (c *Core) ProposeJointConfiguration(now time.Duration, next Configuration) (uint64, error) {
	c.now = now
	if err := c.checkConfigurable(); err != nil {
		return 0, err
	}
	joint := c.Configuration().Joint(next)
	if !c.canAllDecodeJoint() {
		return 0, ErrJointUnsupported
	}
	return c.appendConfiguration(joint), nil
}

// checkConfigurable returns an error unless this member can propose a configuration now.
func (c *Core) checkConfigurable() error {
	if c.role != RoleLeader || c.transferring {
		return ErrNotLeader
	}
	if c.diskFull {
		return ErrDiskFull
	}
	// A leader that has not committed in its own term may be unaware of an
	// earlier change that is still uncommitted.
	if c.commit < c.termStart {
		return ErrNotReady
	}
	if latest := c.log.latestConfiguration(); latest.index > c.commit || latest.configuration.IsJoint() {
		return ErrChangePending
	}
	return nil
}

// canAllDecodeJoint reports whether all members that have answered this leader can decode joint configurations.
func (c *Core) canAllDecodeJoint() bool {
	for _, peer := range c.progress {
		if peer.hasAcked && !peer.decodesJoint {
			return false
		}
	}
	return true
}

func (c *Core) appendConfiguration(next Configuration) uint64 {
	copied := next.Clone()
	index := c.appendToLog(Entry{Kind: EntryConfiguration, Configuration: &copied})
	c.refreshProgress()
	c.broadcastAppend()
	c.advanceCommit()
	return index
}

// leaveJoint completes a joint change: a leader appends the configuration that follows once the joint one is
// committed. A joint configuration of an earlier term counts as committed only along with an entry of this one.
func (c *Core) leaveJoint() {
	latest := c.log.latestConfiguration()
	if latest.configuration.IsJoint() && c.role == RoleLeader && !c.transferring && !c.diskFull &&
		c.commit >= max(latest.index, c.termStart) {
		c.appendConfiguration(latest.configuration.Settled())
	}
}

func voterDifference(before, after Configuration) int {
	old := map[MemberID]bool{}
	for _, id := range before.Voters() {
		old[id] = true
	}
	difference := 0
	for _, id := range after.Voters() {
		if old[id] {
			delete(old, id)
			continue
		}
		difference++
	}
	return difference + len(old)
}
