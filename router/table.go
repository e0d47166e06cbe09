package router

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	"limehold/bulletin"
	"limehold/catalog"
	"limehold/membership"
	"limehold/ownership"
	"limehold/wire"
)

// table is what the router knows of services, nodes and owners. It changes only
// by updates of a member, and never backwards.
type table struct {
	mutex    sync.RWMutex
	revision uint64
	services map[string]*service
	nodes    map[membership.SessionID]*wire.NodeView
	byMatch  map[catalog.Match]*service
	// depth is the largest number of segments in any path prefix.
	depth int
	pools map[string]*pool
	// changed is closed and replaced by each update.
	changed chan struct{}
	newPool func(name string) *pool
	// routes is the route table; nil until there is one.
	routes *routeTable
	// zones are those that were ever drained.
	zones map[string]zone
	// board is told what updates say of requests; nil: nobody is.
	board *bulletin.Board
	// replaced is told of a node in whose place another process has come up; nil: nobody is.
	replaced func(former wire.NodeView)
	// former are nodes without an ingress that are gone, by name, until another one comes up.
	former map[string]wire.NodeView
}

// service is one service as the router uses it.
type service struct {
	name     string
	revision uint64
	retiring bool
	spec     *catalog.Spec
	shards   []shardOwner
	pool     *pool
	budget   *serviceBudget
	// learned is what requests have shown that did not come by way of the route table.
	learned *learned
}

type shardOwner struct {
	owner     membership.SessionID
	epoch     uint64
	releasing bool
}

func newTable(newPool func(string) *pool) *table {
	return &table{
		services: map[string]*service{}, nodes: map[membership.SessionID]*wire.NodeView{},
		byMatch: map[catalog.Match]*service{}, pools: map[string]*pool{},
		changed: make(chan struct{}), newPool: newPool, zones: map[string]zone{}, former: map[string]wire.NodeView{},
	}
}

// apply takes an update. It returns false when the update does not follow what
// the table holds: the router must then ask for a snapshot.
func (t *table) apply(update *wire.Update) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if update.Revision < t.revision {
		// Older than what is in force: never applied, and no cause to resync.
		return true
	}
	if !update.Snapshot {
		if update.Revision == t.revision {
			return true
		}
		if update.From > t.revision {
			return false
		}
	}
	touched := map[string]bool{}
	if update.Snapshot {
		t.dropMissing(update, touched)
	}
	t.applyZones(update, touched)
	t.applyNodes(update, touched)
	t.applyServices(update)
	t.applyShards(update)
	if update.Routes != nil {
		t.routes = t.routes.changed(update.Routes)
	}
	if t.board != nil {
		t.board.Apply(update.Quarantine, update.Snapshot)
	}
	t.revision = update.Revision
	for name := range touched {
		t.pools[name].update(t.instances(name), t.zones)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// dropMissing removes what a snapshot no longer names.
func (t *table) dropMissing(update *wire.Update, touched map[string]bool) {
	named := map[string]bool{}
	for i := range update.Services {
		named[update.Services[i].Name] = true
	}
	for name := range t.services {
		if !named[name] {
			t.removeService(name)
		}
	}
	open := map[membership.SessionID]bool{}
	for i := range update.Nodes {
		open[update.Nodes[i].Session] = true
	}
	for session, node := range t.nodes {
		if !open[session] {
			touched[t.pool(node.Pool).name] = true
			delete(t.nodes, session)
		}
	}
}

func (t *table) applyNodes(update *wire.Update, touched map[string]bool) {
	for i := range update.Nodes {
		node := update.Nodes[i]
		t.noteReplaced(&node)
		t.nodes[node.Session] = &node
		touched[t.pool(node.Pool).name] = true
	}
	for _, session := range update.RemovedNodes {
		if node := t.nodes[session]; node != nil {
			touched[t.pool(node.Pool).name] = true
			delete(t.nodes, session)
			if !node.Gated {
				t.former[node.Name] = *node
			}
		}
	}
}

// noteReplaced tells of the process that a new node has taken the place of.
func (t *table) noteReplaced(node *wire.NodeView) {
	if t.replaced == nil || node.Gated || t.nodes[node.Session] != nil {
		return
	}
	former, gone := t.former[node.Name]
	delete(t.former, node.Name)
	for _, other := range t.nodes {
		if other.Name == node.Name && other.Session < node.Session {
			former, gone = *other, true
		}
	}
	if gone && former.Incarnation != node.Incarnation {
		t.replaced(former)
	}
}

func (t *table) pool(name string) *pool {
	known := t.pools[name]
	if known == nil {
		known = t.newPool(name)
		t.pools[name] = known
	}
	return known
}

func (t *table) instances(pool string) []*wire.NodeView {
	var list []*wire.NodeView
	for _, node := range t.nodes {
		if node.Pool == pool {
			list = append(list, node)
		}
	}
	slices.SortFunc(list, func(a, b *wire.NodeView) int { return int(a.Session) - int(b.Session) })
	return list
}

func (t *table) applyServices(update *wire.Update) {
	for i := range update.Services {
		view := &update.Services[i]
		known := t.services[view.Name]
		if known != nil && known.revision >= view.Revision {
			continue
		}
		next := &service{
			name: view.Name, revision: view.Revision, retiring: view.Retiring,
			spec: &view.Spec, pool: t.pool(view.Spec.Pool), budget: newServiceBudget(view.Spec.RetryBudgetPercent), learned: &learned{},
		}
		if known != nil {
			next.shards, next.budget, next.learned = known.shards, known.budget, known.learned
			next.budget.setPercent(view.Spec.RetryBudgetPercent)
			t.unmatch(known)
		}
		if len(next.shards) != view.Spec.Shards {
			next.shards = make([]shardOwner, view.Spec.Shards)
		}
		t.services[view.Name] = next
		if view.Spec.Match == (catalog.Match{}) {
			continue
		}
		t.byMatch[view.Spec.Match] = next
		t.depth = max(t.depth, strings.Count(view.Spec.Match.PathPrefix, "/"))
	}
	for _, name := range update.RemovedServices {
		t.removeService(name)
	}
}

func (t *table) removeService(name string) {
	if known := t.services[name]; known != nil {
		t.unmatch(known)
		delete(t.services, name)
	}
}

func (t *table) unmatch(known *service) {
	if t.byMatch[known.spec.Match] == known {
		delete(t.byMatch, known.spec.Match)
	}
}

func (t *table) applyShards(update *wire.Update) {
	for _, part := range update.Shards {
		known := t.services[part.Service]
		if known == nil {
			continue
		}
		for _, view := range part.Shards {
			// Epochs only rise: an older word on a shard is not taken.
			if int(view.Shard) >= len(known.shards) || view.Epoch < known.shards[view.Shard].epoch {
				continue
			}
			known.shards[view.Shard] = shardOwner{owner: view.Owner, epoch: view.Epoch, releasing: view.Releasing}
		}
	}
}

// find returns the service for a host and path: the longest path prefix wins,
// and among equals the one that names the host. rest is the path behind the prefix.
func (t *table) find(host, path string) (found *service, rest string) {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	end := prefixEnd(path, t.depth)
	for {
		prefix := path[:end]
		if match := t.byMatch[catalog.Match{Host: host, PathPrefix: prefix}]; match != nil {
			return match, path[end:]
		}
		if match := t.byMatch[catalog.Match{PathPrefix: prefix}]; match != nil && prefix != "" {
			return match, path[end:]
		}
		if end == 0 {
			return nil, ""
		}
		end = max(0, strings.LastIndexByte(path[:end], '/'))
	}
}

// prefixEnd is the end of the first depth segments of a path.
func prefixEnd(path string, depth int) int {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			depth--
			if depth == 0 {
				return i
			}
		}
	}
	if depth <= 0 {
		return 0
	}
	if strings.HasSuffix(path, "/") {
		return len(path) - 1
	}
	return len(path)
}

// owner returns who owns a shard, and a channel that is closed by the next update.
func (t *table) owner(known *service, shard uint32) (shardOwner, *wire.NodeView, <-chan struct{}) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	// The service may have been replaced by a newer version meanwhile.
	if newest := t.services[known.name]; newest != nil {
		known = newest
	}
	if int(shard) >= len(known.shards) {
		return shardOwner{}, nil, t.changed
	}
	entry := known.shards[shard]
	return entry, t.nodes[entry.owner], t.changed
}

func (t *table) node(session membership.SessionID) *wire.NodeView {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.nodes[session]
}

// gatedAddresses are the addresses of the nodes with an ingress, but for one name.
func (t *table) gatedAddresses(except string) []string {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	list := make([]string, 0, len(t.nodes))
	for _, node := range t.nodes {
		if node.Gated && node.Name != except {
			list = append(list, node.Address)
		}
	}
	return list
}

// inForce is the revision that the table holds.
func (t *table) inForce() uint64 {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.revision
}

// shardOf returns the shard of a key; false when it is no key of the service.
func shardOf(known *service, key []byte) (uint32, bool) {
	if len(key) == 0 {
		return 0, false
	}
	if !known.spec.Key.Ranges {
		return ownership.Of(key, len(known.shards)), true
	}
	number, err := strconv.ParseUint(string(key), 10, 16)
	if err != nil {
		return 0, false
	}
	return ownership.OfNumber(uint32(number), len(known.shards)), true
}
