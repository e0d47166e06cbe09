package agent

import (
	"sync"

	"limehold/assignment"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/wire"
)

// shardSet is this node's list of shards. It is safe for concurrent use.
type shardSet struct {
	mutex sync.Mutex
	set   *assignment.Set
	// incarnation is the back end's incarnation for which the session was opened.
	incarnation string
	// earlyList is a whole list that arrived before the reply that names its session.
	earlyList *wire.Assignments
	changes   chan struct{}
}

func newShardSet() *shardSet {
	return &shardSet{set: assignment.NewSet(), changes: make(chan struct{})}
}

// begin discards everything that belongs to another session, and applies an early list of the new one.
func (s *shardSet) begin(session membership.SessionID, incarnation string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.incarnation = incarnation
	if !s.set.BeginSession(session) {
		return
	}
	if s.earlyList != nil && s.earlyList.Session == session {
		s.applyLocked(s.earlyList)
	}
	s.earlyList = nil
	s.wake()
}

func (s *shardSet) wake() {
	close(s.changes)
	s.changes = make(chan struct{})
}

// apply applies a whole list that is newer than the current one, or the changes to a list that
// has been applied. It reports whether the list was applied. A whole list of another session is
// kept until begin is called.
func (s *shardSet) apply(list *wire.Assignments) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if list.Session != s.set.Session() && list.From == 0 {
		s.earlyList = list
	}
	return s.applyLocked(list)
}

func (s *shardSet) applyLocked(list *wire.Assignments) bool {
	shards := make(map[ownership.Key]assignment.Shard, len(list.Shards))
	for _, item := range list.Shards {
		shards[ownership.Key{Service: item.Service, Shard: item.Shard}] = assignment.Shard{Epoch: item.Epoch, Release: item.Release, Token: item.Token}
	}
	applied := false
	if list.From == 0 {
		applied = s.set.Replace(list.Session, list.Revision, shards)
	} else {
		applied = s.set.Apply(list.Session, list.From, list.Revision, shards, list.Removed)
	}
	if !applied {
		return false
	}
	s.wake()
	return true
}

// grants returns the list for the back end, with all shards that are not to be released, and its version.
func (s *shardSet) grants() (*wire.BackendGrants, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &wire.BackendGrants{
		Session: uint64(s.set.Session()), Revision: s.set.Revision(), Incarnation: s.incarnation, Grants: backendGrants(s.set.Granted()),
	}, s.set.Version()
}

// releasing lists the shards that are to be released.
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

// markReleased records that control has acknowledged a release.
func (s *shardSet) markReleased(session membership.SessionID, shards []fleet.ReleasedShard) {
	list := make([]assignment.Released, 0, len(shards))
	for _, item := range shards {
		list = append(list, assignment.Released{Key: item.Key, Epoch: item.Epoch})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set.RecordAcknowledged(session, list)
}

func (s *shardSet) changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changes
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
