package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"limehold/catalog"
	"limehold/codec"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/routing"
	"limehold/transport"
	"limehold/wire"
)

const (
	// ringLength is the largest number of changes kept for routers that reconnect. When it is
	// exceeded, only the newest three quarters of that number are kept.
	ringLength = 4096
	// resendInterval is the interval at which sending to a router with a full queue is retried.
	resendInterval = 50 * time.Millisecond
)

// hub keeps the newest changes as updates for routers, and wakes the subscriptions.
// Each change is encoded once for all routers.
type hub struct {
	mutex sync.Mutex
	ring  []change
	// base is the revision before the first change in the ring.
	base    uint64
	last    uint64
	changed chan struct{}
}

type change struct {
	update  *wire.Update
	encoded []byte
}

func newHub(revision uint64) *hub {
	return &hub{base: revision, last: revision, changed: make(chan struct{})}
}

// reset discards all changes, after the state was replaced by a snapshot.
func (h *hub) reset(revision uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.ring = nil
	h.base, h.last = revision, revision
	h.wake()
}

func (h *hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// publish adds a command's changes. It runs on the applier's goroutine.
func (h *hub) publish(changes *fleet.Changes, state *fleet.State) {
	update := updateOf(changes, state)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	update.From = h.last
	h.ring = append(h.ring, change{update: update, encoded: codec.MustMarshal(update)})
	h.last = update.Revision
	if len(h.ring) > ringLength {
		drop := len(h.ring) - ringLength*3/4
		h.base = h.ring[drop-1].update.Revision
		h.ring = append(h.ring[:0:0], h.ring[drop:]...)
	}
	h.wake()
}

// since returns the changes after a revision, a channel that is closed by the next
// change, and whether the ring covers the revision.
func (h *hub) since(revision uint64) ([]change, <-chan struct{}, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if revision < h.base || revision > h.last {
		return nil, h.changed, false
	}
	start, _ := slices.BinarySearchFunc(h.ring, revision+1, func(c change, wanted uint64) int {
		if c.update.Revision < wanted {
			return -1
		}
		return 1
	})
	return h.ring[start:len(h.ring):len(h.ring)], h.changed, true
}

// lastRevision returns the revision of the newest change.
func (h *hub) lastRevision() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.last
}

func updateOf(changes *fleet.Changes, state *fleet.State) *wire.Update {
	update := &wire.Update{
		Revision: changes.Revision, RemovedServices: changes.RemovedServices, RemovedNodes: changes.RemovedNodes,
		Routes: changes.Routes,
	}
	for _, name := range changes.Zones {
		update.Zones = append(update.Zones, zoneView(name, state.Zones[name]))
	}
	update.Quarantine = state.Quarantine.ViewsOf(changes.Quarantine)
	for _, name := range changes.Services {
		if service := state.Catalog.Services[name]; service != nil {
			update.Services = append(update.Services, serviceView(service))
		}
	}
	for _, session := range changes.Nodes {
		switch node := state.Membership.Sessions[session]; {
		case node == nil:
		case node.Lost:
			// Routers must reject requests for a lost node's shards at once and not send them there.
			update.RemovedNodes = append(slices.Clone(update.RemovedNodes), session)
		default:
			update.Nodes = append(update.Nodes, nodeView(node))
		}
	}
	// A new service's update includes all its shards.
	for _, name := range changes.Services {
		if service := state.Catalog.Services[name]; service != nil && service.Created == changes.Revision {
			update.Shards = append(update.Shards, allShards(state, name))
		}
	}
	byService := map[string]int{}
	for _, key := range changes.Shards {
		shard, found := state.Ownership.Get(key)
		if !found {
			continue
		}
		at, known := byService[key.Service]
		if !known {
			at = len(update.Shards)
			byService[key.Service] = at
			update.Shards = append(update.Shards, wire.ServiceShards{Service: key.Service})
		}
		update.Shards[at].Shards = append(update.Shards[at].Shards, shardView(key.Shard, shard))
	}
	return update
}

func serviceView(service *catalog.Service) wire.ServiceView {
	return wire.ServiceView{
		Name: service.Name, Revision: service.Revision,
		Retiring: service.State == catalog.ServiceRetiring, Spec: service.Spec,
	}
}

func nodeView(node *membership.Node) wire.NodeView {
	return wire.NodeView{
		Session: node.Session, Name: node.Name, Zone: node.Zone, Address: node.Address,
		Pool: node.Pool, Slots: node.Slots, Connections: node.Connections, SelfLimited: node.SelfLimited, Draining: !node.Eligible(),
		Incarnation: node.Incarnation, Version: node.Version,
	}
}

func zoneView(name string, zone fleet.Zone) wire.ZoneView {
	return wire.ZoneView{Name: name, Draining: zone.Draining, Revision: zone.Revision}
}

func shardView(number uint32, shard ownership.Shard) wire.ShardView {
	return wire.ShardView{
		Shard: number, Owner: shard.Owner, Epoch: shard.Epoch,
		Releasing: shard.Phase == ownership.PhaseReleasing,
	}
}

func allShards(state *fleet.State, service string) wire.ServiceShards {
	list := wire.ServiceShards{Service: service}
	for number, shard := range state.Ownership.Shards[service] {
		list.Shards = append(list.Shards, shardView(uint32(number), shard))
	}
	return list
}

// snapshotUpdate returns the whole state as an update for routers. If services is not
// empty, only these services and their shards are included.
func (m *Member) snapshotUpdate(services []string) *wire.Update {
	update := &wire.Update{Snapshot: true}
	m.replica.view(func(state *fleet.State) {
		// The hub's revision, not the log index: log entries that change nothing are
		// not sent to routers.
		update.Revision = min(m.hub.lastRevision(), state.Revision)
		for name, service := range state.Catalog.Services {
			if len(services) > 0 && !slices.Contains(services, name) {
				continue
			}
			update.Services = append(update.Services, serviceView(service))
			if service.Spec.Keyed {
				update.Shards = append(update.Shards, allShards(state, name))
			}
		}
		for _, node := range state.Membership.Sessions {
			if !node.Lost {
				update.Nodes = append(update.Nodes, nodeView(node))
			}
		}
		for name, zone := range state.Zones {
			update.Zones = append(update.Zones, zoneView(name, zone))
		}
		update.Quarantine = state.Quarantine.Views()
		if state.Routing.Document.Version > 0 {
			update.Routes = routing.ReplaceWith(&state.Routing.Document).WithoutSources()
		}
	})
	return update
}

// filterUpdate returns a copy of an update that is limited to the given services.
func filterUpdate(update *wire.Update, services []string) *wire.Update {
	copied := *update
	copied.Services, copied.Shards, copied.RemovedServices = nil, nil, nil
	for _, service := range update.Services {
		if slices.Contains(services, service.Name) {
			copied.Services = append(copied.Services, service)
		}
	}
	for _, shards := range update.Shards {
		if slices.Contains(services, shards.Service) {
			copied.Shards = append(copied.Shards, shards)
		}
	}
	for _, name := range update.RemovedServices {
		if slices.Contains(services, name) {
			copied.RemovedServices = append(copied.RemovedServices, name)
		}
	}
	return &copied
}

// watch starts a subscription, which runs until the connection ends.
func (m *Member) watch(conn *transport.Conn, request *wire.Watch) error {
	m.routers.record(conn, request.Router, request.Zone, request.Revision, m.hub.lastRevision())
	subscription := &subscription{member: m, conn: conn, services: request.Services, sent: request.Revision}
	if request.Revision == 0 {
		subscription.needSnapshot = true
	}
	go subscription.run(m.runContext)
	return nil
}

// subscription sends updates to one router. Each update continues from the last one
// that was queued on the connection, so that there are no gaps.
type subscription struct {
	member       *Member
	conn         *transport.Conn
	services     []string
	sent         uint64
	needSnapshot bool
}

func (s *subscription) run(ctx context.Context) {
	for {
		changed, blocked := s.sendPending()
		var retry <-chan time.Time
		if blocked {
			retry = time.After(resendInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.conn.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

// sendPending queues the updates that the router has not been sent. blocked is true if
// the connection's queue was full.
func (s *subscription) sendPending() (changed <-chan struct{}, blocked bool) {
	pending, changed, covered := s.member.hub.since(s.sent)
	if !covered && s.sent > s.member.hub.lastRevision() {
		// The router has a newer revision than this member: wait until this member catches up.
		return changed, false
	}
	if !covered || s.needSnapshot {
		snapshot := s.member.snapshotUpdate(s.services)
		if s.conn.Send(wire.KindUpdate, snapshot) != nil {
			return changed, true
		}
		s.needSnapshot = false
		s.sent = snapshot.Revision
		return closedChannel, false
	}
	for _, next := range pending {
		if s.send(next) != nil {
			return changed, true
		}
		s.sent = next.update.Revision
	}
	return changed, false
}

func (s *subscription) send(next change) error {
	if len(s.services) == 0 {
		return s.conn.SendEncoded(wire.KindUpdate, next.encoded)
	}
	return s.conn.Send(wire.KindUpdate, filterUpdate(next.update, s.services))
}

var closedChannel = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()
