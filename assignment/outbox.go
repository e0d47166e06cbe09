package assignment

import (
	"time"

	"limehold/membership"
	"limehold/ownership"
)

// Outbox tracks at control, for each session, the list that was queued last, the channel that it was
// queued for, and the shards that have changed since. A channel is a connection. If the agent has the
// queued list, only the changed shards have to be sent, so that an event that affects all nodes does
// not cost a whole list for each of them.
//
// Invariants:
//   - A difference contains every shard that has changed since the list it is based on.
//   - A session gets the whole list if its state is unknown: on a new channel, when a list could not be
//     queued, and when the agent reports an older revision than the queued one for longer than maxLag.
type Outbox[Channel comparable] struct {
	maxLag  time.Duration
	queued  map[membership.SessionID]*queuedList[Channel]
	pending map[membership.SessionID]struct{}
}

type queuedList[Channel comparable] struct {
	channel  Channel
	revision uint64
	// reported is the newest revision that the agent has reported on the channel.
	reported uint64
	// queuedAt is the time at which the oldest list that the agent has not reported yet was queued, or at
	// which the reported revision last rose without reaching the queued one, if that was later.
	// Differences queued later do not change it, as they are based on that list.
	queuedAt time.Duration
	changed  map[ownership.Key]struct{}
}

// NewOutbox returns an empty Outbox. maxLag is how long an agent may report an older revision than the
// one queued for it before it is sent the whole list.
func NewOutbox[Channel comparable](maxLag time.Duration) *Outbox[Channel] {
	return &Outbox[Channel]{
		maxLag: maxLag, queued: map[membership.SessionID]*queuedList[Channel]{},
		pending: map[membership.SessionID]struct{}{},
	}
}

// RecordChange records that shards in the list of a session have changed.
func (o *Outbox[Channel]) RecordChange(session membership.SessionID, keys []ownership.Key) {
	o.pending[session] = struct{}{}
	queued := o.queued[session]
	if queued == nil {
		return
	}
	for _, key := range keys {
		queued.changed[key] = struct{}{}
	}
}

// TakePending returns the sessions that have something to be sent, and clears them.
func (o *Outbox[Channel]) TakePending() []membership.SessionID {
	list := make([]membership.SessionID, 0, len(o.pending))
	for session := range o.pending {
		list = append(list, session)
	}
	clear(o.pending)
	return list
}

// Difference returns the shards that have changed since the list that was queued last for the channel, and
// its revision, from. known is false if the whole list must be sent instead.
func (o *Outbox[Channel]) Difference(session membership.SessionID, channel Channel) (from uint64, changed []ownership.Key, known bool) {
	queued := o.queued[session]
	if queued == nil || queued.channel != channel {
		return 0, nil, false
	}
	changed = make([]ownership.Key, 0, len(queued.changed))
	for key := range queued.changed {
		changed = append(changed, key)
	}
	return queued.revision, changed, true
}

// RecordQueued records that the list at a revision, whole or as a difference, has been queued. It must reflect
// every change recorded by RecordChange.
func (o *Outbox[Channel]) RecordQueued(session membership.SessionID, channel Channel, revision uint64, now time.Duration) {
	next := &queuedList[Channel]{channel: channel, revision: revision, queuedAt: now, changed: map[ownership.Key]struct{}{}}
	if before := o.queued[session]; before != nil && before.channel == channel {
		next.reported = before.reported
		if before.reported < before.revision {
			next.queuedAt = before.queuedAt
		}
	}
	o.queued[session] = next
}

// RequireFullList makes the next list of a session a whole one.
func (o *Outbox[Channel]) RequireFullList(session membership.SessionID) { delete(o.queued, session) }

// Remove removes a session that has ended.
func (o *Outbox[Channel]) Remove(session membership.SessionID) {
	delete(o.queued, session)
	delete(o.pending, session)
}

// Reset removes all sessions, after the replicated state has been replaced.
func (o *Outbox[Channel]) Reset() {
	clear(o.queued)
	clear(o.pending)
}

// RecordReported records the revision that an agent reports; newest is the revision of the last change of its
// list. It returns true if something has to be sent.
func (o *Outbox[Channel]) RecordReported(session membership.SessionID, channel Channel, reported, newest uint64, now time.Duration) bool {
	queued := o.queued[session]
	if queued != nil && queued.channel == channel && reported > queued.reported {
		queued.reported = reported
		if reported < queued.revision {
			// The remaining revisions were queued after the one reported now.
			queued.queuedAt = now
		}
	}
	if reported >= newest {
		return false
	}
	inTransit := queued != nil && queued.channel == channel && now-queued.queuedAt < o.maxLag
	if inTransit && queued.revision >= newest {
		return false
	}
	arrived := queued != nil && queued.channel == channel && reported >= queued.revision
	if !inTransit && !arrived {
		o.RequireFullList(session)
	}
	o.pending[session] = struct{}{}
	return true
}
