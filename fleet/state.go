package fleet

import (
	"fmt"
	"time"

	"limehold/catalog"
	"limehold/codec"
	"limehold/decisions"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quarantine"
	"limehold/routing"
)

// Limits on history that is kept in addition to the tables.
const (
	journalLimit = 8192
	// RecordRetention is how long the result of a command is kept for resends of the
	// same command, measured on the leaders' wall clocks.
	RecordRetention = 24 * time.Hour
)

// Record holds the result of a command that was sent with an ID.
type Record struct {
	At     int64
	Result Result
	// Digest of the command. It distinguishes a resent command from another command
	// under the same ID.
	Digest uint64
}

// State is the replicated state of the control members.
//
// Invariants, in addition to those of its parts:
//   - Every keyed service has exactly its Spec.Shards shards in Ownership.
//   - Every owner in Ownership is a session in Membership. A target may be a session that
//     has been closed since the transfer began.
//   - Revision is the index of the last command applied and never decreases.
type State struct {
	Revision   uint64
	Catalog    *catalog.Catalog
	Membership *membership.Table
	Ownership  *ownership.Table
	Journal    *decisions.Journal
	Records    map[string]Record
	// RecordOrder lists the IDs in Records, oldest first.
	RecordOrder []string
	// LastEpoch is at least the highest epoch that any removed service has used.
	LastEpoch uint64
	// Routing holds the route table in deployments that have one.
	Routing routing.Store
	// Zones holds every zone that has ever been drained, including those back in service.
	Zones map[string]Zone
	// Quarantine holds the records of requests that were running when instances crashed.
	Quarantine quarantine.Table
	// DrainOrders holds the nodes that operators have drained, by name.
	DrainOrders map[string]DrainOrder
	// Departures holds what the instances of nodes have announced about their end, by node.
	Departures map[string]NodeDepartures
	// Orders holds the newest operators' orders on resources.
	Orders OrderTable
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		Catalog:    catalog.New(),
		Membership: membership.NewTable(),
		Ownership:  ownership.NewTable(),
		Journal:    decisions.New(journalLimit),
		Records:    map[string]Record{},
		Zones:      map[string]Zone{},

		DrainOrders: map[string]DrainOrder{},
		Departures:  map[string]NodeDepartures{},
		Orders:      newOrderTable(),
	}
}

// Encode returns the state as snapshot data.
func (s *State) Encode() ([]byte, error) { return codec.Marshal(s) }

// DecodeState decodes snapshot data. Empty data decodes to the state before the first command.
func DecodeState(data []byte) (*State, error) {
	state := NewState()
	if len(data) == 0 {
		return state, nil
	}
	state.DrainOrders = nil
	if err := codec.Unmarshal(data, state); err != nil {
		return nil, err
	}
	if state.Records == nil {
		state.Records = map[string]Record{}
	}
	if state.Zones == nil {
		state.Zones = map[string]Zone{}
	}
	if state.Departures == nil {
		state.Departures = map[string]NodeDepartures{}
	}
	if state.Orders.Newest == nil {
		state.Orders.Newest = map[string]OrderRecord{}
	}
	state.Catalog.Reindex()
	state.Membership.Reindex()
	state.Ownership.Reindex()
	state.reindexDrainOrders()
	return state, nil
}

// Changes lists what a command changed, for watchers.
type Changes struct {
	Revision        uint64
	Templates       bool
	Services        []string
	RemovedServices []string
	Nodes           []membership.SessionID
	RemovedNodes    []membership.SessionID
	Shards          []ownership.Key
	// Sessions maps each session to notify to the shards that were added to, changed in or
	// removed from its list. The shards are empty if only other state of the session changed.
	Sessions map[membership.SessionID][]ownership.Key
	// Routes is the change of the route table, nil if there was none.
	Routes *routing.Change
	// Zones lists the zones that were drained or returned to service.
	Zones []string
	// Quarantine lists records that were added, changed or removed. It may contain duplicates.
	Quarantine []quarantine.Digest
}

func (c *Changes) sessionChanged(id membership.SessionID, keys ...ownership.Key) {
	if id == 0 {
		return
	}
	if c.Sessions == nil {
		c.Sessions = map[membership.SessionID][]ownership.Key{}
	}
	c.Sessions[id] = append(c.Sessions[id], keys...)
}

// Empty reports whether the command changed nothing that watchers are notified of.
func (c *Changes) Empty() bool {
	return !c.Templates && len(c.Services) == 0 && len(c.RemovedServices) == 0 &&
		len(c.Nodes) == 0 && len(c.RemovedNodes) == 0 && len(c.Shards) == 0 && len(c.Sessions) == 0 &&
		c.Routes == nil && len(c.Zones) == 0 && len(c.Quarantine) == 0
}

// CheckInvariants returns an error that describes the first violated invariant. It
// scans the whole state and is meant for simulation and tests.
func (s *State) CheckInvariants() error {
	for name, service := range s.Catalog.Services {
		if service.Spec.Keyed && len(s.Ownership.Shards[name]) != service.Spec.Shards {
			return fmt.Errorf("service %s has %d shards, but its spec requires %d", name, len(s.Ownership.Shards[name]), service.Spec.Shards)
		}
	}
	for name, shards := range s.Ownership.Shards {
		for number, shard := range shards {
			if err := s.checkShard(ownership.Key{Service: name, Shard: uint32(number)}, shard); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *State) checkShard(key ownership.Key, shard ownership.Shard) error {
	if shard.Phase == ownership.PhaseFree {
		if shard.Owner != 0 || shard.Target != 0 {
			return fmt.Errorf("shard %s is free but has owner %d, target %d", key, shard.Owner, shard.Target)
		}
		return nil
	}
	if s.Membership.Sessions[shard.Owner] == nil {
		return fmt.Errorf("shard %s is owned by session %d, which is closed", key, shard.Owner)
	}
	return nil
}
