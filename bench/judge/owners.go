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

// ownership is the time in which one node could run requests for a shard under one epoch,
// according to its own records.
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

// forever is the end of a grant that was never released.
const forever = int64(1) << 62

// nodeOwnerships derives the ownerships of one node from its records: a grant counts from its
// receipt to its release, and only while a lease is valid. The times are those at which the
// node acted.
type nodeOwnerships struct {
	node       string
	leases     []span
	openGrants map[shardID]openGrant
	session    uint64
	found      map[shardID][]ownership
}

type openGrant struct {
	at    int64
	epoch uint64
}

// ownershipsOf returns the ownerships of one node; its records must be in the order in which
// they were written.
func ownershipsOf(node string, records []standin.Record) map[shardID][]ownership {
	n := &nodeOwnerships{node: node, openGrants: map[shardID]openGrant{}, found: map[shardID][]ownership{}}
	for i := range records {
		n.add(&records[i])
	}
	n.closeAll(forever)
	return n.found
}

func (n *nodeOwnerships) add(record *standin.Record) {
	switch record.Kind {
	case standin.RecordStart:
		// The previous process has ended; its ownerships ended with its last lease, or end now.
		n.closeAll(record.At)
		n.leases, n.session = nil, 0
	case standin.RecordLease:
		if record.Session != n.session {
			n.closeAll(record.At)
			n.leases, n.session = nil, record.Session
		}
		n.addLease(record.At, record.Expiry)
	case standin.RecordGrant:
		n.openGrants[shardID{record.Service, record.Shard}] = openGrant{record.At, record.Epoch}
	case standin.RecordRelease:
		n.closeGrant(shardID{record.Service, record.Shard}, record.At)
	}
}

// addLease adds a lease that is valid from the time at which the node received it, or extends the last
// one if that is still valid.
func (n *nodeOwnerships) addLease(at, expiry int64) {
	if last := len(n.leases) - 1; last >= 0 && at <= n.leases[last].to {
		n.leases[last].to = expiry
		return
	}
	n.leases = append(n.leases, span{at, expiry})
}

func (n *nodeOwnerships) closeGrant(shard shardID, at int64) {
	granted, owned := n.openGrants[shard]
	if !owned {
		return
	}
	delete(n.openGrants, shard)
	for _, lease := range n.leases {
		held := span{max(granted.at, lease.from), min(at, lease.to)}
		if held.from < held.to {
			n.found[shard] = append(n.found[shard], ownership{held, n.node, granted.epoch})
		}
	}
}

func (n *nodeOwnerships) closeAll(at int64) {
	for shard := range n.openGrants {
		n.closeGrant(shard, at)
	}
}

// mergeOwnerships returns the ownerships of all nodes by shard, in order of time.
func mergeOwnerships(all map[string][]standin.Record) map[shardID][]ownership {
	merged := map[shardID][]ownership{}
	for node, records := range all {
		for shard, list := range ownershipsOf(node, records) {
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

// ownershipConflicts describes overlapping ownerships of a shard, and epochs that do not rise
// from one owner to the next.
func ownershipConflicts(shard shardID, list []ownership) []string {
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

// gaps returns the spans within the window in which the shard has no owner.
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
