// Package assignment holds both sides of the shard lists that control sends to nodes: Set is a node's
// newest list, Outbox tracks at control what has been sent. It does no I/O and reads no clock; package
// agent adds locking for concurrent use.
package assignment

import (
	"limehold/membership"
	"limehold/ownership"
)

// Shard is one shard of a node's list.
type Shard struct {
	Epoch uint64
	// Release asks the owner to finish the requests in flight and release the shard.
	Release bool
	// Token identifies the state of the last owner; empty if there is none.
	Token string
}

// Released is a shard and the epoch under which it is or was owned.
type Released struct {
	Key   ownership.Key
	Epoch uint64
	// Token is Shard.Token.
	Token string
}

// Set is the newest list of a node's shards.
//
// Invariants:
//   - Only lists of the current session are accepted, and only newer ones: a delayed or repeated
//     list changes nothing.
//   - A difference is accepted only on a list that is not older than the one it is based on.
//   - A release is reported until control has acknowledged it, or until a list no longer contains the
//     shard or grants it again.
type Set struct {
	session  membership.SessionID
	revision uint64
	shards   map[ownership.Key]Shard
	// acknowledged holds the epochs under which shards have been released and control has acknowledged it.
	acknowledged map[ownership.Key]uint64
	version      uint64
}

// NewSet returns the empty set of a node without a session.
func NewSet() *Set {
	return &Set{shards: map[ownership.Key]Shard{}, acknowledged: map[ownership.Key]uint64{}}
}

// BeginSession starts a session and clears the list of the previous one. It returns false and does nothing if
// the session is already the current one.
func (s *Set) BeginSession(session membership.SessionID) bool {
	if s.session == session {
		return false
	}
	version := s.version
	*s = *NewSet()
	s.session, s.version = session, version+1
	return true
}

// Replace replaces the list by a newer one of the current session. It returns false if the list is rejected.
func (s *Set) Replace(session membership.SessionID, revision uint64, list map[ownership.Key]Shard) bool {
	if session != s.session || revision <= s.revision {
		return false
	}
	s.revision, s.shards = revision, list
	for key := range s.acknowledged {
		if _, listed := s.shards[key]; !listed {
			delete(s.acknowledged, key)
		}
	}
	s.version++
	return true
}

// Apply applies a difference: the shards that have changed since the list at revision from. It returns
// false and does nothing if the difference is of another session or not newer than the list, or if the
// list is older than from.
func (s *Set) Apply(session membership.SessionID, from, revision uint64, changed map[ownership.Key]Shard, removed []ownership.Key) bool {
	if session != s.session || revision <= s.revision || from > s.revision {
		return false
	}
	s.revision = revision
	for key, shard := range changed {
		s.shards[key] = shard
	}
	for _, key := range removed {
		delete(s.shards, key)
		delete(s.acknowledged, key)
	}
	s.version++
	return true
}

// Granted returns the shards that the node may serve: all that it is not asked to release.
func (s *Set) Granted() []Released {
	return s.list(func(_ ownership.Key, shard Shard) bool { return !shard.Release })
}

// Releasing returns the shards to be released whose release control has not acknowledged yet.
func (s *Set) Releasing() []Released {
	return s.list(func(key ownership.Key, shard Shard) bool { return shard.Release && s.acknowledged[key] < shard.Epoch })
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

// RecordAcknowledged records that control has acknowledged the release of shards in a session.
func (s *Set) RecordAcknowledged(session membership.SessionID, shards []Released) {
	if session != s.session {
		return
	}
	for _, item := range shards {
		s.acknowledged[item.Key] = max(s.acknowledged[item.Key], item.Epoch)
	}
}

// Session returns the session of the list, or 0 if there is none.
func (s *Set) Session() membership.SessionID { return s.session }

// Revision returns the revision of the newest list.
func (s *Set) Revision() uint64 { return s.revision }

// Version returns a number that rises with every change of the list or the session.
func (s *Set) Version() uint64 { return s.version }

// Count returns the number of shards in the list.
func (s *Set) Count() int { return len(s.shards) }
