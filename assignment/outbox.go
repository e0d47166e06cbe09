package assignment

import (
	"time"

	"limehold/membership"
	"limehold/ownership"
)

// Outbox is control's side of the lists: for each session, which list was queued
// last on which channel, and which shards have changed since. It decides between
// the whole list and the difference, so that a loss that touches every node costs
// each of them what changed, not all that it owns. Channel is the connection.
//
// Invariants:
//   - A difference names every shard that has changed since the list it builds on.
//   - A session whose list cannot be known gets the whole list: a new channel, a
//     list that could not be queued, an agent that reports less than was queued
//     for longer than the patience.
type Outbox[Channel comparable] struct {
	patience time.Duration
	sent     map[membership.SessionID]*sentList[Channel]
	waiting  map[membership.SessionID]struct{}
}

type sentList[Channel comparable] struct {
	channel  Channel
	revision uint64
	// reported is the newest revision that the agent has named on the channel.
	reported uint64
	// queuedAt is when the oldest list was queued that the agent has not named yet.
	// Later differences do not put it off: they build on that list.
	queuedAt time.Duration
	changed  map[ownership.Key]struct{}
}

// NewOutbox returns an empty one. Patience is how long an agent may report less
// than what was queued for it.
func NewOutbox[Channel comparable](patience time.Duration) *Outbox[Channel] {
	return &Outbox[Channel]{
		patience: patience, sent: map[membership.SessionID]*sentList[Channel]{},
		waiting: map[membership.SessionID]struct{}{},
	}
}

// Note takes up that a session's list has changed, and in which shards.
func (o *Outbox[Channel]) Note(session membership.SessionID, keys []ownership.Key) {
	o.waiting[session] = struct{}{}
	sent := o.sent[session]
	if sent == nil {
		return
	}
	for _, key := range keys {
		sent.changed[key] = struct{}{}
	}
}

// Waiting lists the sessions that are to be sent something, and forgets them.
func (o *Outbox[Channel]) Waiting() []membership.SessionID {
	list := make([]membership.SessionID, 0, len(o.waiting))
	for session := range o.waiting {
		list = append(list, session)
	}
	clear(o.waiting)
	return list
}

// Difference says what to send on the channel: the shards that have changed since
// the list at revision from; known is false when it has to be the whole list.
func (o *Outbox[Channel]) Difference(session membership.SessionID, channel Channel) (from uint64, changed []ownership.Key, known bool) {
	sent := o.sent[session]
	if sent == nil || sent.channel != channel {
		return 0, nil, false
	}
	changed = make([]ownership.Key, 0, len(sent.changed))
	for key := range sent.changed {
		changed = append(changed, key)
	}
	return sent.revision, changed, true
}

// Queued notes that the list at a revision, whole or as a difference, is on its
// way. It must reflect every change noted so far.
func (o *Outbox[Channel]) Queued(session membership.SessionID, channel Channel, revision uint64, now time.Duration) {
	next := &sentList[Channel]{channel: channel, revision: revision, queuedAt: now, changed: map[ownership.Key]struct{}{}}
	if before := o.sent[session]; before != nil && before.channel == channel {
		next.reported = before.reported
		if before.reported < before.revision {
			next.queuedAt = before.queuedAt
		}
	}
	o.sent[session] = next
}

// Forget has the next list be a whole one.
func (o *Outbox[Channel]) Forget(session membership.SessionID) { delete(o.sent, session) }

// Remove drops a session that has ended.
func (o *Outbox[Channel]) Remove(session membership.SessionID) {
	delete(o.sent, session)
	delete(o.waiting, session)
}

// Reset forgets everything, after the state was replaced.
func (o *Outbox[Channel]) Reset() {
	clear(o.sent)
	clear(o.waiting)
}

// Reported takes up which revision an agent has, of the newest one that changed
// its list. Something is to be sent when the result is true.
func (o *Outbox[Channel]) Reported(session membership.SessionID, channel Channel, reported, newest uint64, now time.Duration) bool {
	sent := o.sent[session]
	if sent != nil && sent.channel == channel && reported > sent.reported {
		sent.reported = reported
		if reported < sent.revision {
			// What is still to be named was queued later than what is named now.
			sent.queuedAt = now
		}
	}
	if reported >= newest {
		return false
	}
	onItsWay := sent != nil && sent.channel == channel && now-sent.queuedAt < o.patience
	if onItsWay && sent.revision >= newest {
		return false
	}
	arrived := sent != nil && sent.channel == channel && reported >= sent.revision
	if !onItsWay && !arrived {
		o.Forget(session)
	}
	o.waiting[session] = struct{}{}
	return true
}
