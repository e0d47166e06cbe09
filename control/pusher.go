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

// resendAfterRenewals is the number of renewal intervals for which an agent may report
// an older revision than was queued for it, before the whole list is sent again.
const resendAfterRenewals = 3

// pusher sends each session its list of shards. Changes of a session that arrive
// while other sessions are served are sent as one list.
type pusher struct {
	mutex  sync.Mutex
	outbox *assignment.Outbox[*transport.Conn]
	wake   chan struct{}
}

func newPusher(resendAfter time.Duration) *pusher {
	return &pusher{outbox: assignment.NewOutbox[*transport.Conn](resendAfter), wake: make(chan struct{}, 1)}
}

// record records what a command changed. It is called while the state is locked
// for writing, so that every change visible in the state has been recorded.
func (p *pusher) record(changes *fleet.Changes) {
	p.mutex.Lock()
	for session, keys := range changes.Sessions {
		p.outbox.RecordChange(session, keys)
	}
	for _, session := range changes.RemovedNodes {
		p.outbox.Remove(session)
	}
	p.mutex.Unlock()
}

// signal wakes the sending goroutine. It never blocks.
func (p *pusher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// requireFullList makes the session's next list a complete one.
func (p *pusher) requireFullList(session membership.SessionID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outbox.RequireFullList(session)
}

// reset discards everything recorded, after the state was replaced.
func (p *pusher) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outbox.Reset()
}

// recordReported records the revision that an agent reports; newest is the revision
// of its session's newest list.
func (p *pusher) recordReported(session membership.SessionID, conn *transport.Conn, revision, newest uint64, now time.Duration) {
	p.mutex.Lock()
	pending := p.outbox.RecordReported(session, conn, revision, newest, now)
	p.mutex.Unlock()
	if pending {
		p.signal()
	}
}

func (p *pusher) takeWaiting() []membership.SessionID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.outbox.TakePending()
}

// runPusher sends lists of shards until ctx ends.
func (m *Member) runPusher(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.pusher.wake:
		}
		for _, session := range m.pusher.takeWaiting() {
			m.pushAssignments(session)
		}
	}
}

// pushAssignments sends a session the changes that its agent does not have yet. A
// lost list is sent again after a later renewal, which reports the newest revision
// that the agent has.
func (m *Member) pushAssignments(session membership.SessionID) {
	m.sessions.mutex.Lock()
	conn := m.sessions.conns[session]
	m.sessions.mutex.Unlock()
	if conn == nil {
		m.pusher.requireFullList(session)
		return
	}
	list, open := m.assignments(session, conn)
	if !open {
		return
	}
	if err := conn.SendEncoded(wire.KindAssignments, codec.MustMarshal(list)); err != nil {
		m.pusher.requireFullList(session)
		m.logger.Warn("assignments_not_sent", zap.String("peer", conn.Peer.Name), zap.Error(err))
	}
}

// assignments returns a session's list: the changes since the list that was last
// queued on the connection, or all shards of the session. It returns false if the
// session is not open.
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
		m.pusher.addShards(list, conn, state)
	})
	slices.SortFunc(list.Shards, compareAssignments)
	return list, open
}

// addShards adds the shards to a list that is about to be queued on the connection.
func (p *pusher) addShards(list *wire.Assignments, conn *transport.Conn, state *fleet.State) {
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
	p.outbox.RecordQueued(list.Session, conn, list.Revision, clock.Now())
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
