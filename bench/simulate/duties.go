package simulate

import (
	"maps"
	"slices"

	"limehold/assignment"
	"limehold/catalog"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/placement"
)

// connection stands for a connection between a member and a node. The simulation
// has none: each message may be lost on its own, and assignments must cope with that.
type connection struct{}

var lossyConnection connection

// resendAfterRenewals is the number of renewal intervals after which unreported
// assignments are sent again. It equals the value in package control.
const resendAfterRenewals = 3

// runLeaderTasks does the periodic work of a leader in the same way as package
// control: it expires leases and plans placements.
func (m *member) runLeaderTasks() {
	if !m.status.ready {
		m.leaderState.leases = nil
		return
	}
	now := m.sim.clock(m.process)
	if m.leaderState.leases == nil || m.leaderState.term != m.status.term {
		m.startLeading()
	}
	if expired := m.leaderState.leases.Expired(now); len(expired) > 0 {
		m.proposeAsLeader(fleet.Command{CloseSessions: &fleet.CloseSessions{Sessions: expired, Cause: "no renewal"}})
	}
	if now >= m.leaderState.nextPlacement || m.leaderState.placementRequested {
		// Loads are random in each plan, so rebalancing stops before the end to
		// let assignments become stable.
		balance := now >= m.leaderState.nextPlacement && m.sim.now < m.sim.options.workUntil()
		if now >= m.leaderState.nextPlacement {
			m.leaderState.nextPlacement = now + placeEvery
		}
		m.leaderState.placementRequested = false
		m.planPlacements(balance)
	}
}

// startLeading resets the leader's state and counts every open session as renewed now.
func (m *member) startLeading() {
	sessions := slices.Sorted(maps.Keys(m.state.Membership.Sessions))
	m.leaderState = leaderState{
		leases: membership.NewLeases(m.sim.options.leaseTiming(), sessions, m.sim.clock(m.process)), term: m.status.term,
		outbox:   assignment.NewOutbox[connection](resendAfterRenewals * renewEvery),
		revision: map[membership.SessionID]uint64{}, baseRevision: m.state.Revision, budget: map[string]*placement.Budget{},
	}
}

// proposeAsLeader proposes a command of the leader itself. The result is ignored:
// the leader's tasks propose a lost command again.
func (m *member) proposeAsLeader(command fleet.Command) {
	m.propose(&command, func(fleet.Result, bool) {})
}

// planPlacements plans placements in the same way as package control, with random loads.
func (m *member) planPlacements(balance bool) {
	inputs := map[string]*placement.Input{}
	for _, name := range slices.Sorted(maps.Keys(m.state.Catalog.Services)) {
		service := m.state.Catalog.Services[name]
		if service.State == catalog.ServiceRetiring {
			m.removeIfFree(name)
			continue
		}
		input := inputs[service.Spec.Pool]
		if input == nil {
			input = &placement.Input{Services: map[string]placement.Service{}, NoRebalance: !balance}
			inputs[service.Spec.Pool] = input
		}
		input.Services[name] = placement.Service{Imbalance: 10, Churn: 1, Unavailable: 1, Moves: 2, Ranged: isRanged(name)}
		for number, shard := range m.state.Ownership.Shards[name] {
			owner := shard.Owner
			if shard.Phase == ownership.PhaseReleasing {
				owner = shard.Target
			}
			input.Shards = append(input.Shards, placement.Shard{
				Key: ownership.Key{Service: name, Shard: uint32(number)}, Epoch: shard.Epoch, Phase: shard.Phase, Owner: owner,
				Load: m.sim.random.Float64(),
			})
		}
	}
	for _, node := range m.state.Membership.Sorted() {
		if input := inputs[node.Pool]; input != nil && node.Eligible() {
			input.Nodes = append(input.Nodes, placement.Node{Session: node.Session, Name: node.Name, Zone: node.Zone, Capacity: 18, Warmth: 1})
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(inputs)) {
		m.proposePlan(placement.Compute(*inputs[pool]))
	}
}

func (m *member) removeIfFree(service string) {
	for _, shard := range m.state.Ownership.Shards[service] {
		if shard.Phase != ownership.PhaseFree {
			return
		}
	}
	m.proposeAsLeader(fleet.Command{RemoveService: &fleet.RemoveService{Name: service}})
}

func (m *member) proposePlan(plan placement.Plan) {
	if len(plan.Assign) > 0 {
		m.proposeAsLeader(fleet.Command{Assign: fleet.NewAssign(shardDecisions(plan.Assign), "placement")})
	}
	if len(plan.Transfer) > 0 {
		m.sim.counts["transfers begun"] += len(plan.Transfer)
		m.proposeAsLeader(fleet.Command{Transfer: &fleet.Transfer{Decisions: shardDecisions(plan.Transfer), Cause: "placement"}})
	}
}

// isRanged reports whether the service is divided into key ranges; every other one is.
func isRanged(service string) bool { return service[len(service)-1]%2 == 0 }

func shardDecisions(list []placement.Decision) []fleet.ShardDecision {
	converted := make([]fleet.ShardDecision, 0, len(list))
	for _, decision := range list {
		converted = append(converted, fleet.ShardDecision{Key: decision.Key, Epoch: decision.Epoch, To: decision.To})
	}
	return converted
}

// handleChanges updates the leases, sends nodes their changed assignments, and requests a placement if shards,
// nodes or services have changed.
func (m *member) handleChanges(changes *fleet.Changes) {
	if m.leaderState.leases == nil {
		return
	}
	m.leaderState.placementRequested = m.leaderState.placementRequested || len(changes.Shards)+len(changes.Nodes)+len(changes.RemovedNodes)+len(changes.Services) > 0
	now := m.sim.clock(m.process)
	for _, session := range changes.Nodes {
		m.leaderState.leases.Track(session, now)
	}
	for session, keys := range changes.Sessions {
		m.leaderState.revision[session] = changes.Revision
		m.leaderState.outbox.RecordChange(session, keys)
	}
	for _, session := range changes.RemovedNodes {
		m.leaderState.leases.Forget(session)
		m.leaderState.outbox.Remove(session)
		delete(m.leaderState.revision, session)
	}
	m.sendPendingAssignments()
}

func (m *member) latestRevision(session membership.SessionID) uint64 {
	if revision, known := m.leaderState.revision[session]; known {
		return revision
	}
	return m.leaderState.baseRevision
}

func (m *member) sendPendingAssignments() {
	pending := m.leaderState.outbox.TakePending()
	slices.Sort(pending)
	for _, session := range pending {
		m.sendAssignments(session)
	}
}

// sendAssignments sends a session's node its assignments in the same way as package control:
// the difference from the revision that the node reported, or the whole list if
// that revision is not known.
func (m *member) sendAssignments(session membership.SessionID) {
	node := m.state.Membership.Sessions[session]
	if node == nil {
		return
	}
	message := shardList{session: session, revision: m.state.Revision, shards: map[ownership.Key]assignment.Shard{}}
	from, keys, known := m.leaderState.outbox.Difference(session, lossyConnection)
	if known {
		message.from = from
		m.sim.counts["lists sent as differences"]++
	} else {
		keys = m.state.Ownership.Owned(session)
		m.sim.counts["lists sent whole"]++
	}
	for _, key := range keys {
		shard, _ := m.state.Ownership.Get(key)
		if shard.Phase == ownership.PhaseFree || shard.Owner != session {
			message.removed = append(message.removed, key)
			continue
		}
		message.shards[key] = assignment.Shard{Epoch: shard.Epoch, Release: shard.Phase == ownership.PhaseReleasing}
	}
	m.leaderState.outbox.RecordQueued(session, lossyConnection, message.revision, m.sim.clock(m.process))
	for _, n := range m.sim.nodes {
		if n.name == node.Name || n.name == node.Name+duplicateSuffix {
			m.sim.send(m.process, n.process, "assignments", func() { n.receiveList(message.clone()) })
		}
	}
}

// shardList is a message to a node with the shards assigned to its session: all
// of them if from is 0, otherwise the changes since revision from.
type shardList struct {
	session  membership.SessionID
	from     uint64
	revision uint64
	shards   map[ownership.Key]assignment.Shard
	removed  []ownership.Key
}

func (l shardList) clone() shardList {
	l.shards = maps.Clone(l.shards)
	return l
}

// renew renews the lease of a session whose node has applied revision seen. It
// returns granted if the lease is renewed, and known as false if there is no such
// session. A member that may not act as the leader returns false, true.
func (m *member) renew(session membership.SessionID, seen uint64) (granted, known bool) {
	if m.leaderState.leases == nil || m.status.term != m.leaderState.term || !m.holdsLease() {
		return false, true
	}
	if !m.leaderState.leases.Renew(session, m.sim.clock(m.process)) {
		return false, false
	}
	if m.leaderState.outbox.RecordReported(session, lossyConnection, seen, m.latestRevision(session), m.sim.clock(m.process)) {
		m.sendPendingAssignments()
	}
	return true, true
}
