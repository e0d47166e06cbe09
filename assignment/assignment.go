// Package assignment is a node's own knowledge of the shards that control has
// given it: which list is the newest, what may be worked on, what has to be let
// go. It is pure; package agent wraps it for use by several goroutines.
package assignment

import (
	"limehold/membership"
	"limehold/ownership"
)

// Shard is one shard of a node's list.
type Shard struct {
	Epoch uint64
	// Release asks the owner to finish what is in flight and let go.
	Release bool
	// Token of the last owner's state; empty: none.
	Token string
}

// Released is a shard that was let go, and the epoch under which it was owned.
type Released struct {
	Key   ownership.Key
	Epoch uint64
	// Token is the shard's own; see Shard.
	Token string
}

// Set is the newest list of a node's shards.
//
// Invariants:
//   - Only lists of the session that is open are taken, and only newer ones: a
//     list that was delayed or repeated changes nothing.
//   - A difference is taken only on a list that is not older than the one it
//     builds on.
//   - A release is reported until control's list no longer names the shard.
type Set struct {
	session membership.SessionID
	newest  uint64
	shards  map[ownership.Key]Shard
	// done holds the epochs under which shards have been let go and reported.
	done    map[ownership.Key]uint64
	version uint64
}

// NewSet returns the set of a node without a session.
func NewSet() *Set {
	return &Set{shards: map[ownership.Key]Shard{}, done: map[ownership.Key]uint64{}}
}

// Begin forgets everything that belongs to another session. It returns false
// when nothing changed.
func (s *Set) Begin(session membership.SessionID) bool {
	if s.session == session {
		return false
	}
	version := s.version
	*s = *NewSet()
	s.session, s.version = session, version+1
	return true
}

// Take accepts a list of this session that is newer than the newest one seen.
func (s *Set) Take(session membership.SessionID, revision uint64, list map[ownership.Key]Shard) bool {
	if session != s.session || revision <= s.newest {
		return false
	}
	s.newest, s.shards = revision, list
	for key := range s.done {
		if _, listed := s.shards[key]; !listed {
			delete(s.done, key)
		}
	}
	s.version++
	return true
}

// Change accepts a difference: the shards that have changed since the list at
// revision from. It is taken on any list of this session that is not older than
// that one, and older than the difference.
func (s *Set) Change(session membership.SessionID, from, revision uint64, changed map[ownership.Key]Shard, removed []ownership.Key) bool {
	if session != s.session || revision <= s.newest || from > s.newest {
		return false
	}
	s.newest = revision
	for key, shard := range changed {
		s.shards[key] = shard
	}
	for _, key := range removed {
		delete(s.shards, key)
		delete(s.done, key)
	}
	s.version++
	return true
}

// Granted lists what may be worked on: everything that is not to be released.
func (s *Set) Granted() []Released {
	return s.list(func(_ ownership.Key, shard Shard) bool { return !shard.Release })
}

// Releasing lists what has to be let go and has not been reported yet.
func (s *Set) Releasing() []Released {
	return s.list(func(key ownership.Key, shard Shard) bool { return shard.Release && s.done[key] < shard.Epoch })
}

func (s *Set) list(wanted func(ownership.Key, Shard) bool) []Released {
	var list []Released
	for key, shard := range s.shards {
		if wanted(key, shard) {
			list = append(list, Released{Key: key, Epoch: shard.Epoch, Token: shard.Token})
		}
	}
	return list
}

// Reported notes that control has taken a release.
func (s *Set) Reported(session membership.SessionID, shards []Released) {
	if session != s.session {
		return
	}
	for _, item := range shards {
		s.done[item.Key] = max(s.done[item.Key], item.Epoch)
	}
}

// Session that the list belongs to; zero: none.
func (s *Set) Session() membership.SessionID { return s.session }

// Revision of the newest list.
func (s *Set) Revision() uint64 { return s.newest }

// Version rises with every change of the list.
func (s *Set) Version() uint64 { return s.version }

// Count is the number of shards in the list.
func (s *Set) Count() int { return len(s.shards) }
