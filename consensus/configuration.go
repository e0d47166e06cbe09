package consensus

import (
	"cmp"
	"slices"
)

// Member is one participant of the group.
type Member struct {
	ID MemberID
	// Name is the operator's name for the machine, unique within a configuration.
	Name string
	// Address is host:port of the member's peer listener.
	Address string
	// Learner members receive the log but do not vote or count towards commit, unless they are in
	// Configuration.Outgoing.
	Learner bool
}

// Configuration is the set of members in force from a log index on.
type Configuration struct {
	Members []Member
	// Outgoing is set in a joint configuration only (Raft paper, section 6): it lists the voters of the
	// configuration before it. Decisions need a majority of them and one of the voters in Members. Those that
	// leave the group stay in Members as learners, so that they go on receiving the log.
	Outgoing []MemberID
}

// Find returns the member with the ID, if it is in the configuration.
func (c Configuration) Find(id MemberID) (Member, bool) {
	for _, member := range c.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// FindName returns the member with the name, if it is in the configuration.
func (c Configuration) FindName(name string) (Member, bool) {
	for _, member := range c.Members {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// IsJoint reports whether a change of several voters is under way.
func (c Configuration) IsJoint() bool { return len(c.Outgoing) > 0 }

// Joint returns the joint configuration that leads from c to next. A voter of c that does not vote in next leaves
// the group.
func (c Configuration) Joint(next Configuration) Configuration {
	joint := next.Clone()
	joint.Outgoing = c.Voters()
	for _, member := range c.Members {
		if _, found := next.Find(member.ID); !found && !member.Learner {
			member.Learner = true
			joint.Members = append(joint.Members, member)
		}
	}
	return joint
}

// Settled returns the configuration that follows a joint one once that is committed. Other configurations are
// returned as they are.
func (c Configuration) Settled() Configuration {
	if !c.IsJoint() {
		return c
	}
	var settled Configuration
	for _, member := range c.Members {
		if !member.Learner || !slices.Contains(c.Outgoing, member.ID) {
			settled.Members = append(settled.Members, member)
		}
	}
	return settled
}

// IsVoter reports whether a member counts towards decisions. In a joint configuration, that includes the voters
// of the configuration before it.
func (c Configuration) IsVoter(id MemberID) bool {
	member, found := c.Find(id)
	return found && !member.Learner || slices.Contains(c.Outgoing, id)
}

// AllVoters lists the IDs of all members for which IsVoter returns true.
func (c Configuration) AllVoters() []MemberID {
	all := c.Voters()
	for _, id := range c.Outgoing {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// Voters lists the IDs of the members that vote and count towards commit. In a joint configuration, Outgoing lists
// further ones.
func (c Configuration) Voters() []MemberID {
	voters := make([]MemberID, 0, len(c.Members))
	for _, member := range c.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// Clone returns a copy that shares no memory with the receiver.
func (c Configuration) Clone() Configuration {
	return Configuration{Members: slices.Clone(c.Members), Outgoing: slices.Clone(c.Outgoing)}
}

// electorates returns the sets of voters that have to agree on a decision, each by a majority.
func (c Configuration) electorates() [][]MemberID {
	if c.IsJoint() {
		return [][]MemberID{c.Voters(), c.Outgoing}
	}
	return [][]MemberID{c.Voters()}
}

func majority(voters []MemberID) int { return len(voters)/2 + 1 }

// HasQuorum reports whether the members for which agrees returns true can decide for the group.
func (c Configuration) HasQuorum(agrees func(MemberID) bool) bool { return c.SpareVoters(agrees) >= 0 }

// SpareVoters returns how many of the members for which agrees returns true may be lost with the others still
// being a quorum. It is negative if they are no quorum.
func (c Configuration) SpareVoters(agrees func(MemberID) bool) int {
	spare := len(c.Members)
	for _, voters := range c.electorates() {
		agreeing := 0
		for _, voter := range voters {
			if agrees(voter) {
				agreeing++
			}
		}
		spare = min(spare, agreeing-majority(voters))
	}
	return spare
}

// quorumValue returns the highest value that each member of some quorum reaches.
func quorumValue[T cmp.Ordered](c Configuration, valueOf func(MemberID) T) T {
	var lowest T
	for i, voters := range c.electorates() {
		values := make([]T, 0, len(voters))
		for _, voter := range voters {
			values = append(values, valueOf(voter))
		}
		slices.Sort(values)
		value := values[len(values)-majority(voters)]
		if i == 0 || value < lowest {
			lowest = value
		}
	}
	return lowest
}
