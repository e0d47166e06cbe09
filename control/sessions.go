package control

import (
	"context"
	"sync"
	"time"

	"limehold/catalog"
	"limehold/clock"
	"limehold/fleet"
	"limehold/membership"
	"limehold/pace"
	"limehold/transport"
	"limehold/wire"
)

// sessions tracks the agents' sessions on the leader: their connections, their leases,
// and the revision of each session's newest list of shards.
type sessions struct {
	mutex sync.Mutex
	// leases is nil while this member does not lead. term is the term in which
	// the leases were created.
	leases *membership.Leases
	term   uint64
	conns  map[membership.SessionID]*transport.Conn
	// listRevision holds the revision of each session's newest list of shards.
	listRevision map[membership.SessionID]uint64
	openedAt     map[membership.SessionID]time.Duration
	// capacity is the capacity that each node reported with its newest renewal, relative to what
	// is usual for its slots; 0 if the renewal did not report it. Nodes that have not renewed at
	// this member have no entry.
	capacity map[membership.SessionID]float64
	// speed is the factor in capacity that a measured pace contains already; see wire.Renew.
	speed map[membership.SessionID]float64
	// reports holds the newest load report of each session that has renewed in this term.
	reports pace.Reports
	// baseRevision is the list revision of sessions whose list has not changed since
	// this member became leader.
	baseRevision uint64
}

func newSessions() *sessions {
	return &sessions{
		conns:        map[membership.SessionID]*transport.Conn{},
		listRevision: map[membership.SessionID]uint64{},
		openedAt:     map[membership.SessionID]time.Duration{},
		capacity:     map[membership.SessionID]float64{},
		speed:        map[membership.SessionID]float64{},
	}
}

// beginTerm starts the tracking of leases in a new term; every open session counts as renewed at now.
func (s *sessions) beginTerm(term uint64, timing membership.LeaseTiming, open []*membership.Node, revision uint64, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.term = term
	s.leases = membership.NewLeases(timing, nil, now)
	for _, node := range open {
		s.leases.Track(node.Session, now)
		s.leases.UpdateNode(node, now)
	}
	s.baseRevision = revision
	s.listRevision = map[membership.SessionID]uint64{}
	// Sessions may have ended while another member led.
	s.speed, s.reports = map[membership.SessionID]float64{}, pace.Reports{}
}

// currentTerm returns the term of this member's newest leadership, 0 if it has never led.
func (s *sessions) currentTerm() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.term
}

// endTerm discards the leases when this member no longer leads.
func (s *sessions) endTerm() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leases = nil
	s.conns = map[membership.SessionID]*transport.Conn{}
}

// expired returns the sessions whose leases have expired: in expired those under which keys can
// no longer be held, in lost those with a grant that may still be applied. Both are nil while
// this member does not lead.
func (s *sessions) expired(now time.Duration) (expired, lost []membership.SessionID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases == nil {
		return nil, nil
	}
	expired = s.leases.Expired(now)
	return expired, s.leases.TakeLost()
}

// update records what a command changed.
func (s *sessions) update(changes *fleet.Changes, state *fleet.State, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases == nil {
		return
	}
	for _, session := range changes.Nodes {
		s.leases.Track(session, now)
		if node := state.Membership.Sessions[session]; node != nil {
			s.leases.UpdateNode(node, now)
		}
		if _, known := s.openedAt[session]; !known {
			s.openedAt[session] = now
		}
	}
	for session := range changes.Sessions {
		s.listRevision[session] = changes.Revision
	}
	for _, session := range changes.RemovedNodes {
		s.leases.Forget(session)
		delete(s.conns, session)
		delete(s.listRevision, session)
		delete(s.openedAt, session)
		delete(s.capacity, session)
		delete(s.speed, session)
		s.reports.Forget(session)
	}
}

// forget ends the tracking of the leases of sessions that stay open.
func (s *sessions) forget(list []membership.SessionID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases == nil {
		return
	}
	for _, session := range list {
		s.leases.Forget(session)
	}
}

func (s *sessions) listRevisionOf(session membership.SessionID) uint64 {
	if revision, known := s.listRevision[session]; known {
		return revision
	}
	return s.baseRevision
}

// restartWarmUp treats sessions of a zone that returns to service as newly opened.
// Their instances may be cold, and report this only with their next renewal.
func (s *sessions) restartWarmUp(sessions []membership.SessionID, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases == nil {
		return
	}
	for _, session := range sessions {
		s.openedAt[session] = now
	}
}

// pace returns the pace of a session's instance by its newest report; 0 if it is not known.
func (s *sessions) pace(session membership.SessionID, now time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reports.Pace(session, now)
}

// warmth returns the share of its full capacity with which a node is weighted, computed from the
// time since its session was opened and the capacity that it reports. With paceCounts set, the node is also weighted
// by its measured pace, so that the speed which the instance reports is left out.
func (s *sessions) warmth(session membership.SessionID, now, warmUp time.Duration, paceCounts bool) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	share, reported := s.capacity[session]
	if !reported || !(share > 0) {
		share = 1
	}
	if speed := s.speed[session]; paceCounts && speed > 0 {
		share /= speed
	}
	opened, known := s.openedAt[session]
	if !known || warmUp <= 0 {
		return share
	}
	return share * min(1, float64(now-opened)/float64(warmUp))
}

// unresponsive returns the sessions that have not renewed for longer than limit. It returns nil if
// these are more than half of all sessions, since this member is then more likely at fault.
func (s *sessions) unresponsive(now, limit time.Duration) map[membership.SessionID]bool {
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

// silences returns the time since each session's newest renewal.
func (s *sessions) silences(now time.Duration) []wire.NodeSilence {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases == nil {
		return nil
	}
	list := make([]wire.NodeSilence, 0, len(s.openedAt))
	for session := range s.leases.All() {
		sinceRenewal, _ := s.leases.SinceRenewal(session, now)
		list = append(list, wire.NodeSilence{Session: session, Silence: sinceRenewal})
	}
	return list
}

// openSession opens a session for an agent and its back end.
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
	unlock, err := m.drains.lock(ctx, node.Name)
	if err != nil {
		return nil, err
	}
	defer unlock()
	m.keepOperatorsDrain(&node)
	result, err := m.executeLocally(ctx, fleet.Command{OpenSession: &fleet.OpenSession{Node: node, PredecessorsEnded: request.PredecessorsEnded, Exclusive: request.Exclusive}})
	if err != nil {
		return nil, err
	}
	if result.Failure != nil {
		return nil, &wire.Error{Code: wire.CodeInvalid, Message: result.Failure.Message, Step: "open session of " + node.Name, Peer: m.options.Settings.Name}
	}
	if err := m.alignOperatorsDrain(ctx, result.Session, node.Name); err != nil {
		return nil, err
	}
	if !node.Draining {
		if err := m.endAgentDrain(ctx, result.Session); err != nil {
			return nil, err
		}
	}
	m.connect(result.Session, conn)
	var superseded []string
	m.replica.view(func(state *fleet.State) { superseded = supersededIncarnations(state, result.Session) })
	return &wire.OpenSessionReply{
		Session: result.Session, LeaseLength: m.options.Settings.Control.LeaseLength,
		RenewEvery: m.options.Settings.Control.RenewEvery, SupersededIncarnations: superseded,
		Created: uint64(result.Session) == result.Revision, Term: m.sessions.currentTerm(),
	}, nil
}

// supersededIncarnations returns the incarnations of the open sessions that a session has superseded.
func supersededIncarnations(state *fleet.State, session membership.SessionID) []string {
	node := state.Membership.Sessions[session]
	if node == nil || node.Superseded {
		return nil
	}
	var superseded []string
	for _, earlier := range state.Membership.Superseded(node.Name) {
		superseded = append(superseded, state.Membership.Sessions[earlier].Incarnation)
	}
	return superseded
}

func (m *Member) connect(session membership.SessionID, conn *transport.Conn) {
	m.sessions.mutex.Lock()
	m.sessions.conns[session] = conn
	m.sessions.mutex.Unlock()
	// The agent starts with an empty list, regardless of what it was sent before.
	m.pusher.requireFullList(session)
}

// renew extends a lease. The clock is read before the leader lease is checked, so
// that a renewal is only acknowledged for a time at which this member led.
func (m *Member) renew(conn *transport.Conn, request *wire.Renew) (*wire.RenewReply, error) {
	now := clock.Now()
	s := m.sessions
	s.mutex.Lock()
	// Leases of an earlier term of this member must not be renewed.
	if s.leases == nil || !m.replica.holdsLeaseInTerm(s.term, now) {
		s.mutex.Unlock()
		return nil, m.notLeader("renew lease")
	}
	// A process must not renew a session that another process has taken over.
	renewed := s.leases.AcceptsClaim(request.Session, request.Claim) && s.leases.Renew(request.Session, now)
	term := s.term
	newest := s.listRevisionOf(request.Session)
	if renewed {
		s.leases.RecordClaim(request.Session, request.Claim, term)
		s.conns[request.Session] = conn
		s.capacity[request.Session] = request.Capacity
		s.speed[request.Session] = request.Speed
		s.reports.Record(request.Session, request.Load, now)
	}
	s.mutex.Unlock()
	m.renewals.Inc()
	if !renewed {
		return nil, &wire.Error{Code: wire.CodeUnknownSession, Message: "the session is closed or being closed: open a new one", Step: "renew lease", Peer: m.options.Settings.Name}
	}
	m.pusher.recordReported(request.Session, conn, request.Revision, newest, now)
	return &wire.RenewReply{LeaseLength: m.options.Settings.Control.LeaseLength, Revision: newest, Members: m.memberListFor(request.MembersVersion), Term: term}, nil
}

// endSession closes a session whose back end is known to have ended, so that its shards are free
// before the lease expires. If request.CloseSuperseded is set, it instead closes the sessions
// that this one has superseded.
func (m *Member) endSession(ctx context.Context, request *wire.EndSession) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	ended := &fleet.CloseSessions{Sessions: []membership.SessionID{request.Session}, Process: request.Process, Cause: request.Cause}
	if request.CloseSuperseded {
		ended = &fleet.CloseSessions{Superseded: request.Session, Cause: request.Cause}
	}
	_, err := m.executeLocally(ctx, fleet.Command{CloseSessions: ended})
	return err
}

// released frees shards that their owner reports as released. With request.Reassign they
// are assigned to the same session under a higher epoch, if it may own any.
func (m *Member) released(ctx context.Context, request *wire.Released) (*wire.ReleasedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := m.executeLocally(ctx, fleet.Command{Release: &fleet.Release{Session: request.Session, Shards: request.Shards, Reassign: request.Reassign}})
	if err != nil {
		return nil, err
	}
	return &wire.ReleasedReply{Revision: result.Revision}, nil
}
