package agent

import (
	"sync"

	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/wire"
)

// shardSet is the newest list of this node's shards.
type shardSet struct {
	mutex   sync.Mutex
	session membership.SessionID
	newest  uint64
	shards  map[ownership.Key]wire.Assignment
	// done holds the epochs under which shards have been let go and reported.
	done    map[ownership.Key]uint64
	version uint64
	change  chan struct{}
}

func newShardSet() *shardSet {
	return &shardSet{shards: map[ownership.Key]wire.Assignment{}, done: map[ownership.Key]uint64{}, change: make(chan struct{})}
}

// begin forgets everything that belongs to another session.
func (s *shardSet) begin(session membership.SessionID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.session == session {
		return
	}
	s.session, s.newest = session, 0
	s.shards = map[ownership.Key]wire.Assignment{}
	s.done = map[ownership.Key]uint64{}
	s.bump()
}

func (s *shardSet) bump() {
	s.version++
	close(s.change)
	s.change = make(chan struct{})
}

// take accepts a list of this session that is newer than the newest one seen.
func (s *shardSet) take(list *wire.Assignments) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if list.Session != s.session || list.Revision <= s.newest {
		return false
	}
	s.newest = list.Revision
	s.shards = make(map[ownership.Key]wire.Assignment, len(list.Shards))
	for _, item := range list.Shards {
		s.shards[ownership.Key{Service: item.Service, Shard: item.Shard}] = item
	}
	for key := range s.done {
		if _, listed := s.shards[key]; !listed {
			delete(s.done, key)
		}
	}
	s.bump()
	return true
}

// grants is the list for the back end: everything that is not to be released.
func (s *shardSet) grants() (*wire.BackendGrants, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := &wire.BackendGrants{Session: uint64(s.session), Revision: s.newest, Grants: []wire.BackendGrant{}}
	for _, item := range s.shards {
		if !item.Release {
			list.Grants = append(list.Grants, wire.BackendGrant{Service: item.Service, Shard: item.Shard, Epoch: item.Epoch})
		}
	}
	return list, s.version
}

// releasing lists the shards that have to be let go.
func (s *shardSet) releasing() (membership.SessionID, []wire.BackendGrant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []wire.BackendGrant
	for key, item := range s.shards {
		if item.Release && s.done[key] < item.Epoch {
			list = append(list, wire.BackendGrant{Service: item.Service, Shard: item.Shard, Epoch: item.Epoch})
		}
	}
	return s.session, list
}

// released notes that control has taken a release.
func (s *shardSet) released(session membership.SessionID, shards []fleet.ReleasedShard) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if session != s.session {
		return
	}
	for _, item := range shards {
		s.done[item.Key] = max(s.done[item.Key], item.Epoch)
	}
}

func (s *shardSet) changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.change
}

func (s *shardSet) revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newest
}

func (s *shardSet) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.shards)
}
