package consensus

import (
	"cmp"
	"slices"
)

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
