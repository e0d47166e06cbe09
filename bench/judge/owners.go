package judge

import (
	"fmt"
	"slices"
	"time"

	"limehold/bench/standin"
)

// span is a half-open interval of clock readings.
type span struct {
	from, to int64
}

// ownership is the time for which one node could run requests for a shard
// under one epoch, by its own record.
type ownership struct {
	span
	node  string
	epoch uint64
}

type shardID struct {
	service string
	shard   uint32
}

func (s shardID) String() string { return fmt.Sprintf("%s/%d", s.service, s.shard) }

// forever stands for a grant that was never released.
const forever = int64(1) << 62

// nodeOwners works out from one node's records when it owned what: a grant
// counts from its arrival to its release, and only while a lease is running.
// The node's own word is taken at the time at which it acted on it.
type nodeOwners struct {
	node    string
	leases  []span
	open    map[shardID]openGrant
	session uint64
	found   map[shardID][]ownership
}

type openGrant struct {
	at    int64
	epoch uint64
}

// ownersOf reads the records of one node in the order of their writing.
func ownersOf(node string, records []standin.Record) map[shardID][]ownership {
	n := &nodeOwners{node: node, open: map[shardID]openGrant{}, found: map[shardID][]ownership{}}
	for i := range records {
		n.take(&records[i])
	}
	n.closeAll(forever)
	return n.found
}

func (n *nodeOwners) take(record *standin.Record) {
	switch record.Kind {
	case standin.RecordStart:
		// The old process is gone; what it owned ended with its last lease.
		n.closeAll(record.At)
		n.leases, n.session = nil, 0
	case standin.RecordLease:
		if record.Session != n.session {
			n.closeAll(record.At)
			n.leases, n.session = nil, record.Session
		}
		n.extend(record.At, record.Expiry)
	case standin.RecordGrant:
		n.open[shardID{record.Service, record.Shard}] = openGrant{record.At, record.Epoch}
	case standin.RecordRelease:
		n.close(shardID{record.Service, record.Shard}, record.At)
	}
}

// extend adds a lease that holds from the moment it was told.
func (n *nodeOwners) extend(at, expiry int64) {
	if last := len(n.leases) - 1; last >= 0 && at <= n.leases[last].to {
		n.leases[last].to = expiry
		return
	}
	n.leases = append(n.leases, span{at, expiry})
}

func (n *nodeOwners) close(shard shardID, at int64) {
	granted, owned := n.open[shard]
	if !owned {
		return
	}
	delete(n.open, shard)
	for _, lease := range n.leases {
		held := span{max(granted.at, lease.from), min(at, lease.to)}
		if held.from < held.to {
			n.found[shard] = append(n.found[shard], ownership{held, n.node, granted.epoch})
		}
	}
}

func (n *nodeOwners) closeAll(at int64) {
	for shard := range n.open {
		n.close(shard, at)
	}
}

// merge puts the ownerships of all nodes together, by shard and in order.
func merge(all map[string][]standin.Record) map[shardID][]ownership {
	merged := map[shardID][]ownership{}
	for node, records := range all {
		for shard, list := range ownersOf(node, records) {
			merged[shard] = append(merged[shard], list...)
		}
	}
	for _, list := range merged {
		slices.SortFunc(list, func(a, b ownership) int {
			if a.from != b.from {
				return int(min(1, max(-1, a.from-b.from)))
			}
			return int(min(1, max(-1, a.to-b.to)))
		})
	}
	return merged
}

// overlaps finds two nodes that owned a shard at the same time, or an epoch
// that did not rise from one owner to the next.
func overlaps(shard shardID, list []ownership) []string {
	var found []string
	for i := range list {
		for j := i + 1; j < len(list); j++ {
			a, b := &list[i], &list[j]
			if a.node != b.node && a.epoch >= b.epoch {
				found = append(found, fmt.Sprintf("shard %s: %s owned it under epoch %d after %s under epoch %d", shard, b.node, b.epoch, a.node, a.epoch))
			}
			if b.from < a.to && (a.node != b.node || a.epoch != b.epoch) {
				found = append(found, fmt.Sprintf("shard %s: owned by %s (epoch %d) and %s (epoch %d) for %s at once",
					shard, a.node, a.epoch, b.node, b.epoch, time.Duration(min(a.to, b.to)-b.from)))
			}
		}
	}
	return found
}

// gaps lists the spans within window in which nobody owned a shard.
func gaps(list []ownership, window span) []span {
	var found []span
	at := window.from
	for i := range list {
		if list[i].from > at {
			found = append(found, span{at, min(list[i].from, window.to)})
		}
		at = max(at, list[i].to)
		if at >= window.to {
			return found
		}
	}
	return append(found, span{at, window.to})
}
