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

// channel stands for a connection. There are none here: messages are lost one by
// one, which lists have to survive as well.
type channel struct{}

var anyChannel channel

// lagPatience is as in package control.
const lagPatience = 3

// duty runs what a leader has to do, as package control does.
func (m *member) duty() {
	if !m.status.ready {
		m.duties.leases = nil
		return
	}
	now := m.world.clock(m.process)
	if m.duties.leases == nil || m.duties.term != m.status.term {
		m.beginDuties()
	}
	if expired := m.duties.leases.Expired(now); len(expired) > 0 {
		m.lead(fleet.Command{CloseSessions: &fleet.CloseSessions{Sessions: expired, Cause: "no renewal"}})
	}
	if now >= m.duties.placeDue || m.duties.placeWanted {
		// Loads are drawn anew each time; at the end everything must come to rest.
		balance := now >= m.duties.placeDue && m.world.now < m.world.options.workUntil()
		if now >= m.duties.placeDue {
			m.duties.placeDue = now + placeEvery
		}
		m.duties.placeWanted = false
		m.place(balance)
	}
}

// beginDuties starts a leadership: every open session counts as renewed now.
func (m *member) beginDuties() {
	sessions := slices.Sorted(maps.Keys(m.state.Membership.Sessions))
	m.duties = duties{
		leases: membership.NewLeases(m.world.options.leaseTiming(), sessions, m.world.clock(m.process)), term: m.status.term,
		outbox:   assignment.NewOutbox[channel](lagPatience * renewEvery),
		revision: map[membership.SessionID]uint64{}, baseRevision: m.state.Revision, budget: map[string]*placement.Budget{},
	}
}

// lead proposes a leader's own command; it comes round again if it is lost.
func (m *member) lead(command fleet.Command) {
	m.propose(&command, func(fleet.Result, bool) {})
}

// place plans as package control does, with loads drawn at random.
func (m *member) place(balance bool) {
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
		input.Services[name] = placement.Service{Imbalance: 10, Churn: 1, Unavailable: 1, Moves: 2, Ranged: ranged(name)}
		for number, shard := range m.state.Ownership.Shards[name] {
			owner := shard.Owner
			if shard.Phase == ownership.PhaseReleasing {
				owner = shard.Target
			}
			input.Shards = append(input.Shards, placement.Shard{
				Key: ownership.Key{Service: name, Shard: uint32(number)}, Epoch: shard.Epoch, Phase: shard.Phase, Owner: owner,
				Load: m.world.random.Float64(),
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
	m.lead(fleet.Command{RemoveService: &fleet.RemoveService{Name: service}})
}

func (m *member) proposePlan(plan placement.Plan) {
	if len(plan.Assign) > 0 {
		m.lead(fleet.Command{Assign: fleet.NewAssign(decisions(plan.Assign), "placement")})
	}
	if len(plan.Transfer) > 0 {
		m.world.counts["transfers begun"] += len(plan.Transfer)
		m.lead(fleet.Command{Transfer: &fleet.Transfer{Decisions: decisions(plan.Transfer), Cause: "placement"}})
	}
}

// ranged makes every other service one that is divided into ranges.
func ranged(service string) bool { return service[len(service)-1]%2 == 0 }

func decisions(list []placement.Decision) []fleet.ShardDecision {
	converted := make([]fleet.ShardDecision, 0, len(list))
	for _, decision := range list {
		converted = append(converted, fleet.ShardDecision{Key: decision.Key, Epoch: decision.Epoch, To: decision.To})
	}
	return converted
}

// noteChanges keeps the leases and tells nodes their new lists.
func (m *member) noteChanges(changes *fleet.Changes) {
	if m.duties.leases == nil {
		return
	}
	m.duties.placeWanted = m.duties.placeWanted || len(changes.Shards)+len(changes.Nodes)+len(changes.RemovedNodes)+len(changes.Services) > 0
	now := m.world.clock(m.process)
	for _, session := range changes.Nodes {
		m.duties.leases.Track(session, now)
	}
	for session, keys := range changes.Sessions {
		m.duties.revision[session] = changes.Revision
		m.duties.outbox.Note(session, keys)
	}
	for _, session := range changes.RemovedNodes {
		m.duties.leases.Forget(session)
		m.duties.outbox.Remove(session)
		delete(m.duties.revision, session)
	}
	m.pushWaiting()
}

func (m *member) newestRevision(session membership.SessionID) uint64 {
	if revision, known := m.duties.revision[session]; known {
		return revision
	}
	return m.duties.baseRevision
}

func (m *member) pushWaiting() {
	waiting := m.duties.outbox.Waiting()
	slices.Sort(waiting)
	for _, session := range waiting {
		m.push(session)
	}
}

// push sends a session what it does not know yet, as package control does.
func (m *member) push(session membership.SessionID) {
	open := m.state.Membership.Sessions[session]
	if open == nil {
		return
	}
	message := list{session: session, revision: m.state.Revision, shards: map[ownership.Key]assignment.Shard{}}
	from, keys, known := m.duties.outbox.Difference(session, anyChannel)
	if known {
		message.from = from
		m.world.counts["lists sent as differences"]++
	} else {
		keys = m.state.Ownership.Owned(session)
		m.world.counts["lists sent whole"]++
	}
	for _, key := range keys {
		shard, _ := m.state.Ownership.Get(key)
		if shard.Phase == ownership.PhaseFree || shard.Owner != session {
			message.removed = append(message.removed, key)
			continue
		}
		message.shards[key] = assignment.Shard{Epoch: shard.Epoch, Release: shard.Phase == ownership.PhaseReleasing}
	}
	m.duties.outbox.Queued(session, anyChannel, message.revision, m.world.clock(m.process))
	for _, n := range m.world.nodes {
		if n.name == open.Name || n.name == open.Name+rivalSuffix {
			m.world.send(m.process, n.process, "assignments", func() { n.takeList(message.clone()) })
		}
	}
}

// list is what control tells a node of its shards.
type list struct {
	session  membership.SessionID
	from     uint64
	revision uint64
	shards   map[ownership.Key]assignment.Shard
	removed  []ownership.Key
}

func (l list) clone() list {
	l.shards = maps.Clone(l.shards)
	return l
}

// renew is the leader's answer to a renewal.
func (m *member) renew(session membership.SessionID, seen uint64) (granted, known bool) {
	if m.duties.leases == nil || m.status.term != m.duties.term || !m.holdsLease() {
		return false, true
	}
	if !m.duties.leases.Renew(session, m.world.clock(m.process)) {
		return false, false
	}
	if m.duties.outbox.Reported(session, anyChannel, seen, m.newestRevision(session), m.world.clock(m.process)) {
		m.pushWaiting()
	}
	return true, true
}
