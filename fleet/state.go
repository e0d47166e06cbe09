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

// Limits of what is kept beside the tables themselves.
const (
	journalLimit = 8192
	// RecordRetention is how long the answer to a command is kept for
	// repetitions of it, measured on the leaders' wall clocks.
	RecordRetention = 24 * time.Hour
)

// Record is the kept answer to an operator's command.
type Record struct {
	At     int64
	Result Result
	// Digest of the command, by which another command under the same ID is told
	// from a repetition.
	Digest uint64
}

// State is everything that members replicate.
//
// Invariants, beside those of the parts:
//   - Every keyed service has exactly its Spec.Shards shards in Ownership.
//   - Every owner and target in Ownership is a session in Membership.
//   - Revision is the index of the last command applied; it only rises.
type State struct {
	Revision   uint64
	Catalog    *catalog.Catalog
	Membership *membership.Table
	Ownership  *ownership.Table
	Journal    *decisions.Journal
	Records    map[string]Record
	// RecordOrder lists the IDs in Records, oldest first.
	RecordOrder []string
	// LastEpoch is at least as high as every epoch that was ever used by a
	// service that has been removed.
	LastEpoch uint64
	// Routing is the route table, in deployments that have one.
	Routing routing.Store
	// Zones holds the zones that were ever drained, also those that are in service again.
	Zones map[string]Zone
	// Quarantine is what is known of requests under which instances have ended.
	Quarantine quarantine.Table
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
	}
}

// Encode returns the state as snapshot data.
func (s *State) Encode() ([]byte, error) { return codec.Marshal(s) }

// DecodeState reads snapshot data; empty data is the state before the first command.
func DecodeState(data []byte) (*State, error) {
	state := NewState()
	if len(data) == 0 {
		return state, nil
	}
	if err := codec.Unmarshal(data, state); err != nil {
		return nil, err
	}
	if state.Records == nil {
		state.Records = map[string]Record{}
	}
	if state.Zones == nil {
		state.Zones = map[string]Zone{}
	}
	state.Catalog.Reindex()
	state.Membership.Reindex()
	state.Ownership.Reindex()
	return state, nil
}

// Changes names what a command touched, for watchers.
type Changes struct {
	Revision        uint64
	Templates       bool
	Services        []string
	RemovedServices []string
	Nodes           []membership.SessionID
	RemovedNodes    []membership.SessionID
	Shards          []ownership.Key
	// Sessions whose own list of shards changed, and in which shards; none when
	// only what stands beside the list has changed.
	Sessions map[membership.SessionID][]ownership.Key
	// Routes is the change of the route table, if there was one.
	Routes *routing.Change
	// Zones were drained, or taken back into service.
	Zones []string
	// Quarantine are the records that are new, changed or gone; one may be named twice.
	Quarantine []quarantine.Digest
}

func (c *Changes) session(id membership.SessionID, keys ...ownership.Key) {
	if id == 0 {
		return
	}
	if c.Sessions == nil {
		c.Sessions = map[membership.SessionID][]ownership.Key{}
	}
	c.Sessions[id] = append(c.Sessions[id], keys...)
}

// Empty reports whether watchers need not hear of the command.
func (c *Changes) Empty() bool {
	return !c.Templates && len(c.Services) == 0 && len(c.RemovedServices) == 0 &&
		len(c.Nodes) == 0 && len(c.RemovedNodes) == 0 && len(c.Shards) == 0 && len(c.Sessions) == 0 &&
		c.Routes == nil && len(c.Zones) == 0 && len(c.Quarantine) == 0
}

// CheckInvariants returns an error that names the first broken invariant. It
// reads the whole state and is meant for simulation and tests.
func (s *State) CheckInvariants() error {
	for name, service := range s.Catalog.Services {
		if service.Spec.Keyed && len(s.Ownership.Shards[name]) != service.Spec.Shards {
			return fmt.Errorf("service %s has %d shards, its spec says %d", name, len(s.Ownership.Shards[name]), service.Spec.Shards)
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
