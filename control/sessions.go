package control

import (
	"context"
	"sync"
	"time"

	"limehold/catalog"
	"limehold/clock"
	"limehold/fleet"
	"limehold/membership"
	"limehold/transport"
	"limehold/wire"
)

// sessions is the leader's side of the agents: who is connected, until when the
// leases run, and which list of shards each agent has to be told.
type sessions struct {
	mutex sync.Mutex
	// leases is nil while this member does not lead; term is that of the
	// leadership that they belong to.
	leases *membership.Leases
	term   uint64
	conns  map[membership.SessionID]*transport.Conn
	// listRevision is the revision of each session's newest list of shards.
	listRevision map[membership.SessionID]uint64
	opened       map[membership.SessionID]time.Duration
	// capacity is how much work a node does, relative to what is usual for its slots, by
	// its newest renewal; nodes that have not said are left out.
	capacity map[membership.SessionID]float64
	// baseRevision stands for sessions whose list has not changed since this
	// member became leader.
	baseRevision uint64
}

func newSessions() *sessions {
	return &sessions{
		conns:        map[membership.SessionID]*transport.Conn{},
		listRevision: map[membership.SessionID]uint64{},
		opened:       map[membership.SessionID]time.Duration{},
		capacity:     map[membership.SessionID]float64{},
	}
}

// lead begins a leadership: every open session counts as renewed now.
func (s *sessions) lead(term uint64, timing membership.LeaseTiming, open []*membership.Node, revision uint64, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.term = term
	s.leases = membership.NewLeases(timing, nil, now)
	for _, node := range open {
		s.leases.Track(node.Session, now)
		s.leases.Describe(node, now)
	}
	s.baseRevision = revision
	s.listRevision = map[membership.SessionID]uint64{}
}

// leading is the term of the newest leadership.
func (s *sessions) leading() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.term
}

// follow ends a leadership.
func (s *sessions) follow() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leases = nil
	s.conns = map[membership.SessionID]*transport.Conn{}
}

// expired returns the sessions whose leases are over: those of which nothing can be held any more, and
// those of which a grant may still be carried out. None when not leading.
func (s *sessions) expired(now time.Duration) (expired, lost []membership.SessionID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases == nil {
		return nil, nil
	}
	expired = s.leases.Expired(now)
	return expired, s.leases.TakeLost()
}

// note takes up what a command changed.
func (s *sessions) note(changes *fleet.Changes, state *fleet.State, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases == nil {
		return
	}
	for _, session := range changes.Nodes {
		s.leases.Track(session, now)
		if node := state.Membership.Sessions[session]; node != nil {
			s.leases.Describe(node, now)
		}
		if _, known := s.opened[session]; !known {
			s.opened[session] = now
		}
	}
	for session := range changes.Sessions {
		s.listRevision[session] = changes.Revision
	}
	for _, session := range changes.RemovedNodes {
		s.leases.Forget(session)
		delete(s.conns, session)
		delete(s.listRevision, session)
		delete(s.opened, session)
		delete(s.capacity, session)
	}
}

func (s *sessions) revision(session membership.SessionID) uint64 {
	if revision, known := s.listRevision[session]; known {
		return revision
	}
	return s.baseRevision
}

// returned has sessions whose zone was taken back count as new ones: their instances may
// be cold, and say so with their next renewal only.
func (s *sessions) returned(sessions []membership.SessionID, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases == nil {
		return
	}
	for _, session := range sessions {
		s.opened[session] = now
	}
}

// warmth is how much of its capacity a node counts for, by its age and by its own word.
func (s *sessions) warmth(session membership.SessionID, now, warmUp time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	share, said := s.capacity[session]
	if !said || share == 0 {
		share = 1
	}
	opened, known := s.opened[session]
	if !known || warmUp <= 0 {
		return share
	}
	return share * min(1, float64(now-opened)/float64(warmUp))
}

// silent lists the sessions that have not renewed for longer than limit; none when
// that would be more than half of them, as the fault is rather on this side then.
func (s *sessions) silent(now, limit time.Duration) map[membership.SessionID]bool {
	found := map[membership.SessionID]bool{}
	all := s.silences(now)
	for _, node := range all {
		if node.Silence > limit {
			found[node.Session] = true
		}
	}
	if 2*len(found) > len(all) {
		return nil
	}
	return found
}

// silences tells how long ago each session's newest renewal came.
func (s *sessions) silences(now time.Duration) []wire.NodeSilence {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases == nil {
		return nil
	}
	list := make([]wire.NodeSilence, 0, len(s.opened))
	for session := range s.leases.All() {
		silence, _ := s.leases.Silence(session, now)
		list = append(list, wire.NodeSilence{Session: session, Silence: silence})
	}
	return list
}

// openSession is the answer to an agent that presents its back end.
func (m *Member) openSession(ctx context.Context, conn *transport.Conn, request *wire.OpenSession) (*wire.OpenSessionReply, error) {
	node := request.Node
	if err := catalog.CheckName("node name", node.Name); err != nil {
		return nil, &wire.Error{Code: wire.CodeInvalid, Message: err.Error(), Step: "open session", Peer: m.options.Settings.Name}
	}
	if conn.Peer.Name != node.Name {
		return nil, &wire.Error{Code: wire.CodeInvalid, Message: "the agent says hello as " + conn.Peer.Name, Step: "open session of " + node.Name, Peer: m.options.Settings.Name}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := m.executeHere(ctx, fleet.Command{OpenSession: &fleet.OpenSession{Node: node, PredecessorGone: request.PredecessorGone, Exclusive: request.Exclusive}})
	if err != nil {
		return nil, err
	}
	if result.Failure != nil {
		return nil, &wire.Error{Code: wire.CodeInvalid, Message: result.Failure.Message, Step: "open session of " + node.Name, Peer: m.options.Settings.Name}
	}
	m.connect(result.Session, conn)
	var former []string
	m.replica.view(func(state *fleet.State) { former = formerIncarnations(state, result.Session) })
	return &wire.OpenSessionReply{
		Session: result.Session, LeaseLength: m.options.Settings.Control.LeaseLength,
		RenewEvery: m.options.Settings.Control.RenewEvery, Former: former,
		Fresh: uint64(result.Session) == result.Revision, Term: m.sessions.leading(),
	}, nil
}

// formerIncarnations are those of the sessions that a session has superseded and that are still open.
func formerIncarnations(state *fleet.State, session membership.SessionID) []string {
	node := state.Membership.Sessions[session]
	if node == nil || node.Superseded {
		return nil
	}
	var former []string
	for _, earlier := range state.Membership.Superseded(node.Name) {
		former = append(former, state.Membership.Sessions[earlier].Incarnation)
	}
	return former
}

func (m *Member) connect(session membership.SessionID, conn *transport.Conn) {
	m.sessions.mutex.Lock()
	m.sessions.conns[session] = conn
	m.sessions.mutex.Unlock()
	// The agent begins with an empty list, whatever it was sent before.
	m.pusher.forget(session)
}

// renew extends a lease. now is read before the leader lease is checked, so
// that a renewal is acknowledged only at a moment at which this member led.
func (m *Member) renew(conn *transport.Conn, request *wire.Renew) (*wire.RenewReply, error) {
	now := clock.Now()
	s := m.sessions
	s.mutex.Lock()
	// The leases of an earlier leadership of this member must not be renewed.
	if s.leases == nil || !m.replica.holdsLeaseOf(s.term, now) {
		s.mutex.Unlock()
		return nil, m.notLeader("renew lease")
	}
	// A process whose session another one has taken up is not to go on under it.
	renewed := s.leases.Speaks(request.Session, request.Claim) && s.leases.Renew(request.Session, now)
	term := s.term
	newest := s.revision(request.Session)
	if renewed {
		s.leases.Claim(request.Session, request.Claim, term)
		s.conns[request.Session] = conn
		s.capacity[request.Session] = request.Capacity
	}
	s.mutex.Unlock()
	m.renewals.Inc()
	if !renewed {
		return nil, &wire.Error{Code: wire.CodeUnknownSession, Message: "the session is closed or being closed: open a new one", Step: "renew lease", Peer: m.options.Settings.Name}
	}
	m.pusher.reported(request.Session, conn, request.Revision, newest, now)
	return &wire.RenewReply{LeaseLength: m.options.Settings.Control.LeaseLength, Revision: newest, Members: m.memberListFor(request.Members), Term: term}, nil
}

// endSession closes a session whose back end is known to be gone: its shards need
// not wait for the end of the lease.
func (m *Member) endSession(ctx context.Context, request *wire.EndSession) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	ended := &fleet.CloseSessions{Sessions: []membership.SessionID{request.Session}, Process: request.Process, Cause: request.Cause}
	if request.Before {
		ended = &fleet.CloseSessions{Superseded: request.Session, Cause: request.Cause}
	}
	_, err := m.executeHere(ctx, fleet.Command{CloseSessions: ended})
	return err
}

// released frees shards on their owner's word.
func (m *Member) released(ctx context.Context, request *wire.Released) (*wire.ReleasedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := m.executeHere(ctx, fleet.Command{Release: &fleet.Release{Session: request.Session, Shards: request.Shards, Again: request.Again}})
	if err != nil {
		return nil, err
	}
	return &wire.ReleasedReply{Revision: result.Revision}, nil
}

// drainSelf drains the sender's node, or takes it back.
func (m *Member) drainSelf(ctx context.Context, request *wire.DrainSelf) (*wire.ReleasedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := m.executeHere(ctx, fleet.Command{SetDraining: &fleet.SetDraining{
		Session: request.Session, Draining: !request.Resume, Cause: request.Cause,
	}})
	if err != nil {
		return nil, err
	}
	return &wire.ReleasedReply{Revision: result.Revision}, nil
}
