package control

import (
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"limehold/codec"
	"limehold/fleet"
	"limehold/membership"
	"limehold/wire"
)

// pusher gathers the sessions whose lists of shards have changed, so that many
// changes of one session cost one list.
type pusher struct {
	mutex   sync.Mutex
	waiting map[membership.SessionID]struct{}
	wake    chan struct{}
}

func newPusher() *pusher {
	return &pusher{waiting: map[membership.SessionID]struct{}{}, wake: make(chan struct{}, 1)}
}

// add notes sessions whose lists have to be sent. It never blocks.
func (p *pusher) add(sessions []membership.SessionID) {
	if len(sessions) == 0 {
		return
	}
	p.mutex.Lock()
	for _, session := range sessions {
		p.waiting[session] = struct{}{}
	}
	p.mutex.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pusher) take() map[membership.SessionID]struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	taken := p.waiting
	p.waiting = map[membership.SessionID]struct{}{}
	return taken
}

// runPusher sends lists until ctx ends.
func (m *Member) runPusher(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.pusher.wake:
		}
		for session := range m.pusher.take() {
			m.pushAssignments(session)
		}
	}
}

// pushAssignments sends a session its whole list of shards. A list that is lost
// is asked for again by the next renewal, which names the newest list that the
// agent has.
func (m *Member) pushAssignments(session membership.SessionID) {
	m.sessions.mutex.Lock()
	conn := m.sessions.conns[session]
	m.sessions.mutex.Unlock()
	if conn == nil {
		return
	}
	list, open := m.assignments(session)
	if !open {
		return
	}
	if err := conn.SendEncoded(wire.KindAssignments, codec.MustMarshal(list)); err != nil {
		m.logger.Warn("assignments_not_sent", zap.String("peer", conn.Peer.Name), zap.Error(err))
	}
}

// assignments reads a session's list out of the state.
func (m *Member) assignments(session membership.SessionID) (*wire.Assignments, bool) {
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
		for _, key := range state.Ownership.Owned(session) {
			shard, _ := state.Ownership.Get(key)
			list.Shards = append(list.Shards, wire.AssignmentOf(key, shard))
		}
	})
	slices.SortFunc(list.Shards, compareAssignments)
	return list, open
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
