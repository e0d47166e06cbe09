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
	r := &rangeOwners{owners: map[string][]membership.SessionID{}}
	for i := range input.Shards {
		shard := &input.Shards[i]
		if input.Services[shard.Key.Service].Ranged {
			r.setOwner(shard.Key, shard.Owner)
		}
	}
	return r
}

// setOwner records the owner of a shard under the plan.
func (r *rangeOwners) setOwner(key ownership.Key, owner membership.SessionID) {
	owners := r.owners[key.Service]
	for len(owners) <= int(key.Shard) {
		owners = append(owners, 0)
	}
	owners[key.Shard] = owner
	r.owners[key.Service] = owners
}

// addedCuts returns by how much a move increases the number of neighbouring shards with different owners.
// The result is negative if the move joins ranges.
func (r *rangeOwners) addedCuts(key ownership.Key, from, to membership.SessionID) int {
	more := 0
	for _, number := range []int{int(key.Shard) - 1, int(key.Shard) + 1} {
		owners := r.owners[key.Service]
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
