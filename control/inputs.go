package control

import (
	"time"

	"limehold/catalog"
	"limehold/fleet"
	"limehold/ownership"
	"limehold/placement"
)

// inputBuilder reads the state into one placement input for each pool that has
// something to decide.
type inputBuilder struct {
	member *Member
	leader *leaderState
	now    time.Duration
	inputs map[string]*placement.Input
}

// addAll takes every shard of every active service.
func (b *inputBuilder) addAll(state *fleet.State) {
	for name, service := range state.Catalog.Services {
		if !placeable(service) {
			continue
		}
		input := b.input(service)
		for number, shard := range state.Ownership.Shards[name] {
			if !heldBack(state, shard) {
				b.addShard(input, ownership.Key{Service: name, Shard: uint32(number)}, shard)
			}
		}
	}
}

// addNeedy takes the shards without an owner and those of nodes that get no work
// any more. What the nodes carry is known from the last full round; before the
// first one they count as empty.
func (b *inputBuilder) addNeedy(state *fleet.State) {
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

// heldBack reports whether a shard is kept from everybody: its owner cannot be asked to let go.
func heldBack(state *fleet.State, shard ownership.Shard) bool {
	owner := state.Membership.Sessions[shard.Owner]
	return owner != nil && owner.Lost
}

func placeable(service *catalog.Service) bool {
	return service != nil && service.Spec.Keyed && service.State == catalog.ServiceActive
}

// input returns the pool's input, with the service in it.
func (b *inputBuilder) input(service *catalog.Service) *placement.Input {
	input := b.inputs[service.Spec.Pool]
	if input == nil {
		input = &placement.Input{Services: map[string]placement.Service{}}
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

// silentShare is the part of a lease after which a node that has not renewed is
// given nothing new: of the nodes of a zone that is lost, some leases end later
// than others, and a shard given to such a node would wait a second time.
const silentShare = 2

// addNodes takes the nodes that may own shards.
func (b *inputBuilder) addNodes(state *fleet.State) {
	warmUp := b.member.options.Settings.Control.WarmUp
	silent := b.member.sessions.silent(b.now, b.member.options.Settings.Control.LeaseLength/silentShare)
	for _, node := range state.Membership.Sessions {
		input := b.inputs[node.Pool]
		if input == nil || !state.Eligible(node) {
			continue
		}
		input.Nodes = append(input.Nodes, placement.Node{
			Session: node.Session, Name: node.Name, Zone: node.Zone, Capacity: float64(node.Slots), Silent: silent[node.Session],
			Warmth: b.member.sessions.warmth(node.Session, b.now, warmUp),
		})
	}
}
