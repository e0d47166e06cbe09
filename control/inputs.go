package control

import (
	"time"

	"limehold/catalog"
	"limehold/fleet"
	"limehold/ownership"
	"limehold/placement"
)

// slotLoad is the load of a slot that is always occupied: loads are milliseconds of service time a second.
const slotLoad = 1000

// inputBuilder builds from the state one placement input for each pool that has
// shards to place.
type inputBuilder struct {
	member *Member
	leader *leaderState
	now    time.Duration
	inputs map[string]*placement.Input
}

// addAll adds every shard of every active service, except shards whose owner is lost.
func (b *inputBuilder) addAll(state *fleet.State) {
	for name, service := range state.Catalog.Services {
		if !placeable(service) {
			continue
		}
		input := b.input(service)
		for number, shard := range state.Ownership.Shards[name] {
			if !hasLostOwner(state, shard) {
				b.addShard(input, ownership.Key{Service: name, Shard: uint32(number)}, shard)
			}
		}
	}
}

// addUnplaced adds the shards without an owner and those of nodes that are no longer eligible,
// except lost ones. The nodes' loads are those under the newest plan; without one every node
// counts as empty.
func (b *inputBuilder) addUnplaced(state *fleet.State) {
	keys := state.Ownership.Free()
	for _, node := range state.Membership.Sessions {
		if !state.Eligible(node) && !node.Lost {
			keys = append(keys, state.Ownership.Owned(node.Session)...)
		}
	}
	for _, key := range keys {
		service := state.Catalog.Services[key.Service]
		if !placeable(service) {
			continue
		}
		input := b.input(service)
		input.NoRebalance, input.Partial = true, b.leader.loads[service.Spec.Pool]
		if input.Partial == nil {
			input.Partial = &placement.Loads{Base: 1, Total: 1}
		}
		shard, _ := state.Ownership.Get(key)
		b.addShard(input, key, shard)
	}
}

// hasLostOwner reports whether a shard's owner is lost. Such a shard cannot be
// assigned to another node, because its owner cannot be asked to release it.
func hasLostOwner(state *fleet.State, shard ownership.Shard) bool {
	owner := state.Membership.Sessions[shard.Owner]
	return owner != nil && owner.Lost
}

func placeable(service *catalog.Service) bool {
	return service != nil && service.Spec.Keyed && service.State == catalog.ServiceActive
}

// input returns the input of the service's pool and adds the service to it.
func (b *inputBuilder) input(service *catalog.Service) *placement.Input {
	input := b.inputs[service.Spec.Pool]
	if input == nil {
		input = &placement.Input{Services: map[string]placement.Service{}, ByDemand: b.member.options.Settings.Control.PlacementPace, SlotLoad: slotLoad, NoRebalance: b.now < b.leader.balanceFrom}
		b.inputs[service.Spec.Pool] = input
	}
	if _, known := input.Services[service.Name]; !known {
		input.Services[service.Name] = b.member.serviceInput(b.leader, service, b.now)
	}
	return input
}

func (b *inputBuilder) addShard(input *placement.Input, key ownership.Key, shard ownership.Shard) {
	owner := shard.Owner
	if shard.Phase == ownership.PhaseReleasing {
		owner = shard.Target
	}
	input.Shards = append(input.Shards, placement.Shard{
		Key: key, Epoch: shard.Epoch, Phase: shard.Phase, Owner: owner, Load: b.member.loads.Rate(key),
	})
}

// unresponsiveDivisor divides the lease length: a node that has not renewed for longer than the
// result gets no new shards. When a zone fails, the leases of its nodes expire at different times.
// A shard assigned to a node whose lease is about to expire would have to wait for a second lease.
const unresponsiveDivisor = 2

// addNodes adds the nodes that may own shards.
func (b *inputBuilder) addNodes(state *fleet.State) {
	warmUp := b.member.options.Settings.Control.WarmUp
	unresponsive := b.member.sessions.unresponsive(b.now, b.member.options.Settings.Control.LeaseLength/unresponsiveDivisor)
	for _, node := range state.Membership.Sessions {
		input := b.inputs[node.Pool]
		if input == nil || !state.Eligible(node) {
			continue
		}
		pace := 0.0
		if b.member.options.Settings.Control.PlacementPace {
			pace = b.member.sessions.pace(node.Session, b.now)
		}
		input.Nodes = append(input.Nodes, placement.Node{
			Session: node.Session, Name: node.Name, Zone: node.Zone, Capacity: float64(node.Slots), Unresponsive: unresponsive[node.Session],
			Warmth: b.member.sessions.warmth(node.Session, b.now, warmUp, pace > 0), Pace: pace,
		})
	}
}
