package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"limehold/clock"
	"limehold/consensus"
	"limehold/fleet"
	"limehold/ownership"
	"limehold/transport"
	"limehold/wire"
)

const (
	// routerExpiry is the time without a request after which a router is no longer listed.
	routerExpiry = 2 * time.Minute
	// relayInterval is the interval at which a follower relays measured loads to the leader.
	relayInterval = 500 * time.Millisecond
	// inForcePollInterval is the interval at which waitInForce checks the routers' revisions.
	inForcePollInterval = 50 * time.Millisecond
)

// routerTable holds the routers that have sent requests to this member.
type routerTable struct {
	mutex   sync.Mutex
	routers map[string]*routerEntry
}

type routerEntry struct {
	zone        string
	revision    uint64
	lastContact time.Duration
	// conn is the connection of the router's last request.
	conn *transport.Conn
	// newest is this member's newest revision at the router's last request. currentAt is
	// when the router last had this member's newest revision.
	newest    uint64
	currentAt time.Duration
	// loggedBehind is set if the router was last logged as behind.
	loggedBehind bool
}

func newRouterTable() *routerTable { return &routerTable{routers: map[string]*routerEntry{}} }

// record records the revision that a router reports; newest is this member's newest revision.
func (t *routerTable) record(conn *transport.Conn, name, zone string, revision, newest uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.routers[name]
	if entry == nil || entry.conn != conn {
		entry = &routerEntry{}
		t.routers[name] = entry
	}
	entry.zone, entry.conn = zone, conn
	entry.recordRevision(clock.Now(), revision, newest)
}

// list returns the status of the routers, and removes those that have expired.
func (t *routerTable) list(member string) []wire.RouterStatus {
	now := clock.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	statuses := make([]wire.RouterStatus, 0, len(t.routers))
	for name, entry := range t.routers {
		if now-entry.lastContact > routerExpiry {
			delete(t.routers, name)
			continue
		}
		statuses = append(statuses, wire.RouterStatus{
			Name: name, Zone: entry.zone, Revision: entry.revision, Age: now - entry.lastContact, Member: member,
		})
	}
	return statuses
}

// confirm returns the revision that a router must have for its view to be current as
// of now, and records the loads that the router measured.
func (m *Member) confirm(ctx context.Context, conn *transport.Conn, request *wire.Confirm) (*wire.ConfirmReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	m.routers.record(conn, request.Router, request.Zone, request.Revision, m.hub.lastRevision())
	m.addLoads(request.Work)
	index, err := m.readIndex(ctx)
	if err != nil {
		m.recordFailedConfirmation(stepReadIndex, request, err)
		return nil, err
	}
	if err := m.replica.waitApplied(ctx, index); err != nil {
		m.recordFailedConfirmation(stepApply, request, err)
		return nil, err
	}
	return &wire.ConfirmReply{Revision: m.hub.lastRevision(), Members: m.memberListFor(request.MembersVersion)}, nil
}

// addLoads adds work to the load table on the leader; a follower keeps it for the next relay.
func (m *Member) addLoads(work []wire.ShardWork) {
	if len(work) == 0 {
		return
	}
	now := clock.Now()
	m.loadMutex.Lock()
	defer m.loadMutex.Unlock()
	if m.replica.status.Load().Role != consensus.RoleLeader {
		m.pendingLoads = append(m.pendingLoads, work...)
		return
	}
	for _, part := range work {
		for i, shard := range part.Shards {
			if i < len(part.Work) {
				m.loads.Add(ownership.Key{Service: part.Service, Shard: shard}, float64(part.Work[i]), now)
			}
		}
	}
}

// relayLoads sends the loads that routers reported to this follower to the leader.
func (m *Member) relayLoads(ctx context.Context) error {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		m.loadMutex.Lock()
		work := m.pendingLoads
		m.pendingLoads = nil
		m.loadMutex.Unlock()
		if len(work) == 0 {
			continue
		}
		status := m.replica.status.Load()
		if status.Role == consensus.RoleLeader {
			m.addLoads(work)
			continue
		}
		if link := m.peers.link(status.Leader); link != nil {
			// If the message is lost, the next placement round only works with less data.
			if conn := link.Conn(); conn != nil {
				_ = conn.Send(wire.KindLoadRelay, &wire.Confirm{Work: work})
			}
		}
	}
}

// routerList lists the routers of all members.
type routerList struct {
	routers []wire.RouterStatus
	// recordedFor is how long every member has been recording routers: the shortest uptime of all
	// members, 0 if a member did not answer. A router that is not listed has contacted no member
	// within this time, or within routerExpiry if that is shorter.
	recordedFor time.Duration
}

// allRouters queries every member for its routers and keeps the most recent status of each.
func (m *Member) allRouters(ctx context.Context) routerList {
	known := routerList{recordedFor: m.uptime()}
	newest := map[string]wire.RouterStatus{}
	merge := func(list []wire.RouterStatus) {
		for _, status := range list {
			if known, seen := newest[status.Name]; !seen || status.Age < known.Age {
				newest[status.Name] = status
			}
		}
	}
	merge(m.routers.list(m.options.Settings.Name))
	for _, link := range m.peers.all() {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		var reply wire.RouterListReply
		if link.Call(callCtx, wire.KindRouterList, &struct{}{}, &reply) == nil {
			merge(reply.Routers)
		}
		known.recordedFor = min(known.recordedFor, reply.Up)
		cancel()
	}
	for _, status := range newest {
		known.routers = append(known.routers, status)
	}
	slices.SortFunc(known.routers, func(a, b wire.RouterStatus) int { return cmp.Compare(a.Name, b.Name) })
	return known
}

// inForce reports whether a revision is in force at a router: the router has it, or
// has had no contact for longer than staleness and therefore admits no requests.
func inForce(status wire.RouterStatus, revision uint64, staleness time.Duration) bool {
	return status.Revision >= revision || status.Age > staleness
}

// waitInForce waits until a revision is in force at every router, and returns the
// routers at which it is not when ctx ends. A router that no member lists, because a
// member has just restarted or does not answer, may admit requests for the staleness
// bound; unlisted routers count as up to date only after that time.
func (m *Member) waitInForce(ctx context.Context, revision uint64) (behind []wire.RouterStatus, everywhere bool) {
	start := clock.Now()
	for {
		behind = nil
		bound := m.stalenessBound()
		known := m.allRouters(ctx)
		for _, status := range known.routers {
			if !inForce(status, revision, bound) {
				behind = append(behind, status)
			}
		}
		everywhere = len(behind) == 0 && (known.recordedFor > bound || clock.Now()-start > bound)
		if everywhere || ctx.Err() != nil {
			return behind, everywhere
		}
		select {
		case <-ctx.Done():
		case <-time.After(inForcePollInterval):
		}
	}
}

// stalenessBound returns the longest staleness bound of any service, at least one second.
func (m *Member) stalenessBound() time.Duration {
	bound := time.Second
	m.replica.view(func(state *fleet.State) {
		for _, service := range state.Catalog.Services {
			bound = max(bound, service.Spec.StalenessBound.Std())
		}
	})
	return bound
}
