package router

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"limehold/admission"
	"limehold/catalog"
	"limehold/crashreport"
	"limehold/membership"
	"limehold/ownership"
	"limehold/wire"
)

// table is the router's view of services, nodes and owners. It changes only by
// updates from control members, and its revision never decreases.
type table struct {
	mutex    sync.RWMutex
	revision uint64
	services map[string]*service
	nodes    map[membership.SessionID]*wire.NodeView
	byMatch  map[catalog.Match]*service
	// maxSegments is the largest number of segments in any path prefix.
	maxSegments int
	pools       map[string]*pool
	// changed is closed and replaced by each update.
	changed chan struct{}
	newPool func(name string) *pool
	// routes is the route table, nil until one has been received.
	routes *routeTable
	// zones holds the zones that were ever drained.
	zones map[string]zone
	// crashReports receives the quarantine records of updates; it may be nil.
	crashReports *crashreport.Exchange
	// onReplaced, if not nil, is called with a node that another process has replaced, while the
	// mutex is held.
	onReplaced func(former wire.NodeView)
	// onZoneChanged, if not nil, is called with each zone that was drained or returned to service, while the
	// mutex is held.
	onZoneChanged func(view wire.ZoneView)
	// removed holds, by name, nodes without an ingress that an update removed. An entry is dropped
	// when a node of that name appears.
	removed map[string]wire.NodeView
	// retryLimit is that of the settings, and retryDraw a number in [0, 1) that is fixed for this router.
	retryLimit admission.RetryLimit
	retryDraw  float64
}

// service is the router's state of one service.
type service struct {
	name     string
	revision uint64
	retiring bool
	spec     *catalog.Spec
	shards   []shardOwner
	pool     *pool
	budget   *serviceBudget
	// stats covers the requests that did not match the route table.
	stats *routeStats
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
		changed: make(chan struct{}), newPool: newPool, zones: map[string]zone{}, removed: map[string]wire.NodeView{},
	}
}

// apply applies an update. It returns false if the update does not follow the
// table's revision: the router must then request a snapshot.
func (t *table) apply(update *wire.Update) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if update.Revision < t.revision {
		// Older than the current revision: ignored, without requesting a snapshot.
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
	changedPools := map[string]bool{}
	if update.Snapshot {
		t.removeMissing(update, changedPools)
	}
	t.applyZones(update, changedPools)
	t.applyNodes(update, changedPools)
	t.applyServices(update)
	t.applyShards(update)
	if update.Routes != nil {
		t.routes = t.routes.withChange(update.Routes)
	}
	if t.crashReports != nil {
		t.crashReports.Apply(update.Quarantine, update.Snapshot)
	}
	t.revision = update.Revision
	t.shareRetrySlack()
	for name := range changedPools {
		t.pools[name].update(t.nodesInPool(name), t.zones)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// shareRetrySlack sets how many retries this router may save for each service. The mutex is held.
func (t *table) shareRetrySlack() {
	if t.retryLimit.Slack <= 0 {
		return
	}
	for _, svc := range t.services {
		svc.budget.setLimit(t.retryLimit, len(t.nodes), t.retryDraw)
	}
}

// hasNode reports whether there is a node of a name.
func (t *table) hasNode(name string) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	for _, node := range t.nodes {
		if node.Name == name {
			return true
		}
	}
	return false
}

// removeMissing removes services and nodes that a snapshot does not contain.
func (t *table) removeMissing(update *wire.Update, changedPools map[string]bool) {
	present := map[string]bool{}
	for i := range update.Services {
		present[update.Services[i].Name] = true
	}
	for name := range t.services {
		if !present[name] {
			t.removeService(name)
		}
	}
	open := map[membership.SessionID]bool{}
	for i := range update.Nodes {
		open[update.Nodes[i].Session] = true
	}
	for session, node := range t.nodes {
		if !open[session] {
			changedPools[t.pool(node.Pool).name] = true
			delete(t.nodes, session)
		}
	}
}

func (t *table) applyNodes(update *wire.Update, changedPools map[string]bool) {
	for i := range update.Nodes {
		node := update.Nodes[i]
		t.detectReplaced(&node)
		t.nodes[node.Session] = &node
		changedPools[t.pool(node.Pool).name] = true
	}
	for _, session := range update.RemovedNodes {
		if node := t.nodes[session]; node != nil {
			changedPools[t.pool(node.Pool).name] = true
			delete(t.nodes, session)
			if !node.SelfLimited {
				t.removed[node.Name] = *node
			}
		}
	}
}

// detectReplaced calls onReplaced if a new node has replaced another process of its name.
func (t *table) detectReplaced(node *wire.NodeView) {
	if t.onReplaced == nil || node.SelfLimited || t.nodes[node.Session] != nil {
		return
	}
	former, gone := t.removed[node.Name]
	delete(t.removed, node.Name)
	for _, other := range t.nodes {
		if other.Name == node.Name && other.Session < node.Session {
			former, gone = *other, true
		}
	}
	if gone && former.Incarnation != node.Incarnation {
		t.onReplaced(former)
	}
}

func (t *table) pool(name string) *pool {
	existing := t.pools[name]
	if existing == nil {
		existing = t.newPool(name)
		t.pools[name] = existing
	}
	return existing
}

// loadAge returns the greatest mean age of a pool's load reports.
func (t *table) loadAge(now time.Duration) time.Duration {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	age := time.Duration(0)
	for _, pool := range t.pools {
		age = max(age, pool.meanLoadAge(now))
	}
	return age
}

func (t *table) nodesInPool(pool string) []*wire.NodeView {
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
		existing := t.services[view.Name]
		if existing != nil && existing.revision >= view.Revision {
			continue
		}
		next := &service{
			name: view.Name, revision: view.Revision, retiring: view.Retiring,
			spec: &view.Spec, pool: t.pool(view.Spec.Pool), budget: newServiceBudget(view.Spec.RetryBudgetPercent), stats: &routeStats{},
		}
		if existing != nil {
			next.shards, next.budget, next.stats = existing.shards, existing.budget, existing.stats
			next.budget.setPercent(view.Spec.RetryBudgetPercent)
			t.removeMatch(existing)
		}
		if len(next.shards) != view.Spec.Shards {
			next.shards = make([]shardOwner, view.Spec.Shards)
		}
		t.services[view.Name] = next
		if view.Spec.Match == (catalog.Match{}) {
			continue
		}
		t.byMatch[view.Spec.Match] = next
		t.maxSegments = max(t.maxSegments, strings.Count(view.Spec.Match.PathPrefix, "/"))
	}
	for _, name := range update.RemovedServices {
		t.removeService(name)
	}
}

func (t *table) removeService(name string) {
	if existing := t.services[name]; existing != nil {
		t.removeMatch(existing)
		delete(t.services, name)
	}
}

func (t *table) removeMatch(svc *service) {
	if t.byMatch[svc.spec.Match] == svc {
		delete(t.byMatch, svc.spec.Match)
	}
}

func (t *table) applyShards(update *wire.Update) {
	for _, part := range update.Shards {
		existing := t.services[part.Service]
		if existing == nil {
			continue
		}
		for _, view := range part.Shards {
			// Epochs only increase: an older view of a shard is ignored.
			if int(view.Shard) >= len(existing.shards) || view.Epoch < existing.shards[view.Shard].epoch {
				continue
			}
			existing.shards[view.Shard] = shardOwner{owner: view.Owner, epoch: view.Epoch, releasing: view.Releasing}
		}
	}
}

// find returns the service for a host and path: the longest path prefix wins, and
// among equal prefixes the one that names the host. rest is the path after the prefix.
func (t *table) find(host, path string) (found *service, rest string) {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	end := prefixEnd(path, t.maxSegments)
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

// prefixEnd returns the index at which the first segments of a path end. If the path has
// fewer, it returns the path's length without a trailing slash.
func prefixEnd(path string, segments int) int {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			segments--
			if segments == 0 {
				return i
			}
		}
	}
	if segments <= 0 {
		return 0
	}
	if strings.HasSuffix(path, "/") {
		return len(path) - 1
	}
	return len(path)
}

// owner returns the owner of a shard, its node or nil, and a channel that is closed by the
// next update.
func (t *table) owner(svc *service, shard uint32) (shardOwner, *wire.NodeView, <-chan struct{}) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	// The service may have been replaced by a newer version.
	if newest := t.services[svc.name]; newest != nil {
		svc = newest
	}
	if int(shard) >= len(svc.shards) {
		return shardOwner{}, nil, t.changed
	}
	entry := svc.shards[shard]
	return entry, t.nodes[entry.owner], t.changed
}

func (t *table) node(session membership.SessionID) *wire.NodeView {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.nodes[session]
}

// ingressAddresses returns the addresses of the nodes with an ingress, except the node named.
func (t *table) ingressAddresses(except string) []string {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	list := make([]string, 0, len(t.nodes))
	for _, node := range t.nodes {
		if node.SelfLimited && node.Name != except {
			list = append(list, node.Address)
		}
	}
	return list
}

func (t *table) currentRevision() uint64 {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.revision
}

// shardOf returns the shard of a key, and false if the key is not valid for the service.
func shardOf(svc *service, key []byte) (uint32, bool) {
	if len(key) == 0 {
		return 0, false
	}
	if !svc.spec.Key.Ranges {
		return ownership.ShardOf(key, len(svc.shards)), true
	}
	number, err := strconv.ParseUint(string(key), 10, 16)
	if err != nil {
		return 0, false
	}
	return ownership.ShardOfNumber(uint32(number), len(svc.shards)), true
}
