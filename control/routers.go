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
	// routerForgetAfter is when a router that has gone silent is no longer listed.
	routerForgetAfter = 2 * time.Minute
	// relayEvery is how often a follower passes measured loads on to the leader.
	relayEvery = 500 * time.Millisecond
	// waitEvery is how often it is looked whether all routers have a revision.
	waitEvery = 50 * time.Millisecond
)

// routerTable is what a member knows of the routers connected to it.
type routerTable struct {
	mutex   sync.Mutex
	routers map[string]*routerEntry
}

type routerEntry struct {
	zone     string
	revision uint64
	heard    time.Duration
	// conn is the connection that the router was last heard over.
	conn *transport.Conn
	// newest is this member's newest revision when the router was last heard, and current
	// is when the router last had everything that this member had.
	newest  uint64
	current time.Duration
	// told is set while the log has the router as behind.
	told bool
}

func newRouterTable() *routerTable { return &routerTable{routers: map[string]*routerEntry{}} }

// heardOf takes a router's word on its revision; newest is this member's.
func (t *routerTable) heardOf(conn *transport.Conn, name, zone string, revision, newest uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.routers[name]
	if entry == nil || entry.conn != conn {
		entry = &routerEntry{}
		t.routers[name] = entry
	}
	entry.zone, entry.conn = zone, conn
	entry.heardAt(clock.Now(), revision, newest)
}

// list returns the routers heard of lately.
func (t *routerTable) list(member string) []wire.RouterStatus {
	now := clock.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	statuses := make([]wire.RouterStatus, 0, len(t.routers))
	for name, entry := range t.routers {
		if now-entry.heard > routerForgetAfter {
			delete(t.routers, name)
			continue
		}
		statuses = append(statuses, wire.RouterStatus{
			Name: name, Zone: entry.zone, Revision: entry.revision, Age: now - entry.heard, Member: member,
		})
	}
	return statuses
}

// confirm tells a router what it must have in force to be as current as now,
// and takes its measured loads.
func (m *Member) confirm(ctx context.Context, conn *transport.Conn, request *wire.Confirm) (*wire.ConfirmReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	m.routers.heardOf(conn, request.Router, request.Zone, request.Revision, m.hub.lastRevision())
	m.addLoads(request.Work)
	index, err := m.currentIndex(ctx)
	if err != nil {
		m.noteUnconfirmed(stepReadIndex, request, err)
		return nil, err
	}
	if err := m.replica.waitApplied(ctx, index); err != nil {
		m.noteUnconfirmed(stepApply, request, err)
		return nil, err
	}
	return &wire.ConfirmReply{Revision: m.hub.lastRevision(), Members: m.memberListFor(request.Members)}, nil
}

// addLoads counts work here on the leader, or keeps it for the next relay.
func (m *Member) addLoads(work []wire.ShardWork) {
	if len(work) == 0 {
		return
	}
	now := clock.Now()
	m.loadMutex.Lock()
	defer m.loadMutex.Unlock()
	if m.replica.status.Load().Role != consensus.RoleLeader {
		m.relay = append(m.relay, work...)
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

// relayLoads passes loads that routers told this follower on to the leader.
func (m *Member) relayLoads(ctx context.Context) error {
	ticker := time.NewTicker(relayEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		m.loadMutex.Lock()
		work := m.relay
		m.relay = nil
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
			// Lost loads only make the next placement round less informed.
			if conn := link.Conn(); conn != nil {
				_ = conn.Send(wire.KindLoadRelay, &wire.Confirm{Work: work})
			}
		}
	}
}

// routerList is what the members together know of the routers.
type routerList struct {
	routers []wire.RouterStatus
	// knownFor is how long every router that admits requests must have been known:
	// the shortest time for which a member has been running, zero if one of them
	// did not answer.
	knownFor time.Duration
}

// allRouters asks every member for its routers and keeps the freshest word on each.
func (m *Member) allRouters(ctx context.Context) routerList {
	known := routerList{knownFor: m.up()}
	newest := map[string]wire.RouterStatus{}
	take := func(list []wire.RouterStatus) {
		for _, status := range list {
			if known, seen := newest[status.Name]; !seen || status.Age < known.Age {
				newest[status.Name] = status
			}
		}
	}
	take(m.routers.list(m.options.Settings.Name))
	for _, link := range m.peers.all() {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		var reply wire.RouterListReply
		if link.Call(callCtx, wire.KindRouterList, &struct{}{}, &reply) == nil {
			take(reply.Routers)
		}
		known.knownFor = min(known.knownFor, reply.Up)
		cancel()
	}
	for _, status := range newest {
		known.routers = append(known.routers, status)
	}
	slices.SortFunc(known.routers, func(a, b wire.RouterStatus) int { return cmp.Compare(a.Name, b.Name) })
	return known
}

// inForce reports whether a revision is in force at a router: it has it, or it
// has been out of touch for so long that it admits nothing.
func inForce(status wire.RouterStatus, revision uint64, staleness time.Duration) bool {
	return status.Revision >= revision || status.Age > staleness
}

// waitInForce waits until a revision is in force at every router, and returns
// those at which it is not when ctx ends. A router that no member knows of, as one
// of them has just been started or does not answer, admits requests for the
// staleness bound at most: only after that time is its silence taken for consent.
func (m *Member) waitInForce(ctx context.Context, revision uint64) (behind []wire.RouterStatus, everywhere bool) {
	began := clock.Now()
	for {
		behind = nil
		bound := m.stalenessBound()
		known := m.allRouters(ctx)
		for _, status := range known.routers {
			if !inForce(status, revision, bound) {
				behind = append(behind, status)
			}
		}
		everywhere = len(behind) == 0 && (known.knownFor > bound || clock.Now()-began > bound)
		if everywhere || ctx.Err() != nil {
			return behind, everywhere
		}
		select {
		case <-ctx.Done():
		case <-time.After(waitEvery):
		}
	}
}

// stalenessBound is the longest bound of any service.
func (m *Member) stalenessBound() time.Duration {
	bound := time.Second
	m.replica.view(func(state *fleet.State) {
		for _, service := range state.Catalog.Services {
			bound = max(bound, service.Spec.StalenessBound.Std())
		}
	})
	return bound
}
