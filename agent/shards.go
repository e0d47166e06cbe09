package agent

import (
	"sync"

	"limehold/assignment"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/wire"
)

// shardSet is this node's list of shards, for use by several goroutines.
type shardSet struct {
	mutex sync.Mutex
	set   *assignment.Set
	// incarnation is the back end's that the session was opened for.
	incarnation string
	// early is a whole list that came before the answer that names its session.
	early  *wire.Assignments
	change chan struct{}
}

func newShardSet() *shardSet {
	return &shardSet{set: assignment.NewSet(), change: make(chan struct{})}
}

// begin forgets everything that belongs to another session.
func (s *shardSet) begin(session membership.SessionID, incarnation string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.incarnation = incarnation
	if !s.set.Begin(session) {
		return
	}
	if s.early != nil && s.early.Session == session {
		s.takeLocked(s.early)
	}
	s.early = nil
	s.wake()
}

func (s *shardSet) wake() {
	close(s.change)
	s.change = make(chan struct{})
}

// take accepts a list that is newer than the newest one seen, and a difference
// to a list that was seen.
func (s *shardSet) take(list *wire.Assignments) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if list.Session != s.set.Session() && list.From == 0 {
		s.early = list
	}
	return s.takeLocked(list)
}

func (s *shardSet) takeLocked(list *wire.Assignments) bool {
	shards := make(map[ownership.Key]assignment.Shard, len(list.Shards))
	for _, item := range list.Shards {
		shards[ownership.Key{Service: item.Service, Shard: item.Shard}] = assignment.Shard{Epoch: item.Epoch, Release: item.Release, Token: item.Token}
	}
	taken := false
	if list.From == 0 {
		taken = s.set.Take(list.Session, list.Revision, shards)
	} else {
		taken = s.set.Change(list.Session, list.From, list.Revision, shards, list.Removed)
	}
	if !taken {
		return false
	}
	s.wake()
	return true
}

// grants is the list for the back end: everything that is not to be released.
func (s *shardSet) grants() (*wire.BackendGrants, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &wire.BackendGrants{
		Session: uint64(s.set.Session()), Revision: s.set.Revision(), Incarnation: s.incarnation, Grants: backendGrants(s.set.Granted()),
	}, s.set.Version()
}

// releasing lists the shards that have to be let go.
func (s *shardSet) releasing() (membership.SessionID, []wire.BackendGrant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.set.Session(), backendGrants(s.set.Releasing())
}

func backendGrants(shards []assignment.Released) []wire.BackendGrant {
	list := make([]wire.BackendGrant, 0, len(shards))
	for _, item := range shards {
		list = append(list, wire.BackendGrant{Service: item.Key.Service, Shard: item.Key.Shard, Epoch: item.Epoch, Token: item.Token})
	}
	return list
}

// released notes that control has taken a release.
func (s *shardSet) released(session membership.SessionID, shards []fleet.ReleasedShard) {
	list := make([]assignment.Released, 0, len(shards))
	for _, item := range shards {
		list = append(list, assignment.Released{Key: item.Key, Epoch: item.Epoch})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set.Reported(session, list)
}

func (s *shardSet) changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.change
}

func (s *shardSet) revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.set.Revision()
}

func (s *shardSet) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.set.Count()
}
