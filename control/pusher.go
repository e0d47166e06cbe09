package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold/assignment"
	"limehold/clock"
	"limehold/codec"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/transport"
	"limehold/wire"
)

// lagPatience is how many renewals an agent may report less than what was queued
// for it, before it is sent the whole list.
const lagPatience = 3

// pusher sends sessions their lists of shards. Many changes of one session that
// come while others are served cost one list.
type pusher struct {
	mutex  sync.Mutex
	outbox *assignment.Outbox[*transport.Conn]
	wake   chan struct{}
}

func newPusher(patience time.Duration) *pusher {
	return &pusher{outbox: assignment.NewOutbox[*transport.Conn](patience), wake: make(chan struct{}, 1)}
}

// note takes up what a command changed. It is called while the state is locked
// for writing: whoever reads the state finds every change of it noted.
func (p *pusher) note(changes *fleet.Changes) {
	p.mutex.Lock()
	for session, keys := range changes.Sessions {
		p.outbox.Note(session, keys)
	}
	for _, session := range changes.RemovedNodes {
		p.outbox.Remove(session)
	}
	p.mutex.Unlock()
}

// signal wakes the sender. It never blocks.
func (p *pusher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// forget has the session's next list be a whole one.
func (p *pusher) forget(session membership.SessionID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outbox.Forget(session)
}

// reset forgets everything, after the state was replaced.
func (p *pusher) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outbox.Reset()
}

// reported takes up which revision an agent has, of the newest of its session.
func (p *pusher) reported(session membership.SessionID, conn *transport.Conn, revision, newest uint64, now time.Duration) {
	p.mutex.Lock()
	lags := p.outbox.Reported(session, conn, revision, newest, now)
	p.mutex.Unlock()
	if lags {
		p.signal()
	}
}

func (p *pusher) take() []membership.SessionID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.outbox.Waiting()
}

// runPusher sends lists until ctx ends.
func (m *Member) runPusher(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.pusher.wake:
		}
		for _, session := range m.pusher.take() {
			m.pushAssignments(session)
		}
	}
}

// pushAssignments sends a session what its agent does not know yet. A list that
// is lost is asked for again by a later renewal, which names the newest list that
// the agent has.
func (m *Member) pushAssignments(session membership.SessionID) {
	m.sessions.mutex.Lock()
	conn := m.sessions.conns[session]
	m.sessions.mutex.Unlock()
	if conn == nil {
		m.pusher.forget(session)
		return
	}
	list, open := m.assignments(session, conn)
	if !open {
		return
	}
	if err := conn.SendEncoded(wire.KindAssignments, codec.MustMarshal(list)); err != nil {
		m.pusher.forget(session)
		m.logger.Warn("assignments_not_sent", zap.String("peer", conn.Peer.Name), zap.Error(err))
	}
}

// assignments reads a session's list out of the state: the difference to what was
// queued on the connection before, or the whole list.
func (m *Member) assignments(session membership.SessionID, conn *transport.Conn) (*wire.Assignments, bool) {
	list := &wire.Assignments{Session: session}
	open := false
	m.replica.view(func(state *fleet.State) {
		node := state.Membership.Sessions[session]
		if node == nil {
			return
		}
		open = true
		list.Revision = state.Revision
		list.Draining = node.Draining
		m.pusher.fill(list, conn, state)
	})
	slices.SortFunc(list.Shards, compareAssignments)
	return list, open
}

// fill adds the shards to a list that is going to be queued on the connection.
func (p *pusher) fill(list *wire.Assignments, conn *transport.Conn, state *fleet.State) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	from, keys, known := p.outbox.Difference(list.Session, conn)
	if known {
		list.From = from
	} else {
		keys = state.Ownership.Owned(list.Session)
	}
	for _, key := range keys {
		shard, _ := state.Ownership.Get(key)
		if shard.Phase == ownership.PhaseFree || shard.Owner != list.Session {
			list.Removed = append(list.Removed, key)
			continue
		}
		list.Shards = append(list.Shards, wire.AssignmentOf(key, shard))
	}
	p.outbox.Queued(list.Session, conn, list.Revision, clock.Now())
}

func compareAssignments(a, b wire.Assignment) int {
	if a.Service != b.Service {
		if a.Service < b.Service {
			return -1
		}
		return 1
	}
	return int(a.Shard) - int(b.Shard)
}
