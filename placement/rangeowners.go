package placement

import (
	"limehold/membership"
	"limehold/ownership"
)

// rangeOwners holds the owners of the shards of all services whose shards are ranges.
type rangeOwners struct {
	owners map[string][]membership.SessionID
}

func newRangeOwners(input Input) *rangeOwners {
	n := &rangeOwners{owners: map[string][]membership.SessionID{}}
	for i := range input.Shards {
		shard := &input.Shards[i]
		if input.Services[shard.Key.Service].Ranged {
			n.setOwner(shard.Key, shard.Owner)
		}
	}
	return n
}

// setOwner records the owner of a shard under the plan.
func (n *rangeOwners) setOwner(key ownership.Key, owner membership.SessionID) {
	owners := n.owners[key.Service]
	for len(owners) <= int(key.Shard) {
		owners = append(owners, 0)
	}
	owners[key.Shard] = owner
	n.owners[key.Service] = owners
}

// addedCuts returns how many more pairs of neighbouring shards have different owners after a move. It is
// negative if the move joins ranges.
func (n *rangeOwners) addedCuts(key ownership.Key, from, to membership.SessionID) int {
	more := 0
	for _, number := range []int{int(key.Shard) - 1, int(key.Shard) + 1} {
		owners := n.owners[key.Service]
		if number < 0 || number >= len(owners) {
			continue
		}
		switch owners[number] {
		case from:
			more++
		case to:
			more--
		}
	}
	return more
}
