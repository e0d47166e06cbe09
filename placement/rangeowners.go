package placement

import (
	"limehold/membership"
	"limehold/ownership"
)

// neighbours knows the owners of the shards of services that are divided into ranges.
type neighbours struct {
	owners map[string][]membership.SessionID
}

func newNeighbours(input Input) *neighbours {
	n := &neighbours{owners: map[string][]membership.SessionID{}}
	for i := range input.Shards {
		shard := &input.Shards[i]
		if input.Services[shard.Key.Service].Ranged {
			n.move(shard.Key, shard.Owner)
		}
	}
	return n
}

// move notes the owner that a shard has under the plan.
func (n *neighbours) move(key ownership.Key, owner membership.SessionID) {
	owners := n.owners[key.Service]
	for len(owners) <= int(key.Shard) {
		owners = append(owners, 0)
	}
	owners[key.Shard] = owner
	n.owners[key.Service] = owners
}

// cuts is how many more pairs of neighbours have different owners after a move; it is
// negative when the move joins ranges.
func (n *neighbours) cuts(key ownership.Key, from, to membership.SessionID) int {
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
