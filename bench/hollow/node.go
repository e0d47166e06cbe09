package hollow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"limehold/codec"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/transport"
	"limehold/wire"
)

const (
	renewEvery   = 100 * time.Millisecond
	callLimit    = 2 * time.Second
	renewLimit   = 300 * time.Millisecond
	reopenPause  = 20 * time.Millisecond
	poolName     = "hollow"
	clusterName  = "arbok"
	slotsOfNode  = 18
	connsOfNode  = 100
	bytesOfFrame = 13
)

// node speaks an agent's protocol to control, and has no back end behind it.
type node struct {
	fleet *Fleet
	name  string
	zone  string

	mutex       sync.Mutex
	incarnation int
	session     membership.SessionID
	revision    uint64
	conn        *transport.Conn
	target      int
	cancel      context.CancelFunc
	lastRenewal atomic.Int64
}

// run opens a session and renews its lease until ctx ends.
func (n *node) run(ctx context.Context) {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !n.connected(ctx) || !n.opened(ctx) {
			sleep(ctx, reopenPause)
			continue
		}
		if !n.renew(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	n.close()
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (n *node) close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.conn != nil {
		n.conn.Close()
		n.conn = nil
	}
}

// connected dials the member that is thought to lead.
func (n *node) connected(ctx context.Context) bool {
	n.mutex.Lock()
	conn := n.conn
	n.mutex.Unlock()
	if conn != nil {
		select {
		case <-conn.Done():
		default:
			return true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	conn, err := transport.Dial(ctx, n.fleet.address(n.target), n, transport.Options{Local: wire.Hello{
		Version: wire.ProtocolVersion, Cluster: clusterName, Role: wire.RoleAgent, Name: n.name,
	}})
	if err != nil {
		n.target++
		return false
	}
	n.mutex.Lock()
	n.conn = conn
	n.mutex.Unlock()
	return true
}

// call asks the leader; a refusal turns to the next member.
func (n *node) call(ctx context.Context, limit time.Duration, kind wire.Kind, request, reply any) error {
	n.mutex.Lock()
	conn := n.conn
	n.mutex.Unlock()
	if conn == nil {
		return transport.ErrClosed
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := conn.Call(ctx, kind, request, reply)
	var refused *wire.Error
	if err != nil && (!errors.As(err, &refused) || refused.Code == wire.CodeNotLeader || refused.Code == wire.CodeNotReady) {
		n.target++
		n.close()
	}
	return err
}

func (n *node) opened(ctx context.Context) bool {
	n.mutex.Lock()
	session, incarnation := n.session, n.incarnation
	n.mutex.Unlock()
	if session != 0 {
		return true
	}
	request := &wire.OpenSession{Node: membership.Node{
		Name: n.name, Incarnation: fmt.Sprint(incarnation), Zone: n.zone, Address: "127.0.0.1:1",
		Pool: poolName, Slots: slotsOfNode, Connections: connsOfNode,
	}}
	var reply wire.OpenSessionReply
	if n.call(ctx, callLimit, wire.KindOpenSession, request, &reply) != nil {
		return false
	}
	n.mutex.Lock()
	n.session, n.revision = reply.Session, 0
	n.mutex.Unlock()
	return true
}

func (n *node) renew(ctx context.Context) bool {
	n.mutex.Lock()
	request := &wire.Renew{Session: n.session, Revision: n.revision, Healthy: true}
	n.mutex.Unlock()
	var reply wire.RenewReply
	err := n.call(ctx, renewLimit, wire.KindRenew, request, &reply)
	if err == nil {
		n.lastRenewal.Store(time.Now().UnixNano())
		n.fleet.renewals.Add(1)
		return true
	}
	var refused *wire.Error
	if errors.As(err, &refused) && refused.Code == wire.CodeUnknownSession {
		n.fleet.sessionsLost.Add(1)
		n.mutex.Lock()
		n.session = 0
		n.mutex.Unlock()
	}
	return false
}

// Inline implements transport.Handler.
func (n *node) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler: lists of shards are taken up at once.
func (n *node) Handle(_ context.Context, _ *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	if kind != wire.KindAssignments {
		return nil, nil
	}
	n.fleet.listBytes.Add(int64(len(payload) + bytesOfFrame))
	list := &wire.Assignments{}
	if err := codec.Unmarshal(payload, list); err != nil {
		return nil, err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if list.Session != n.session || list.Revision <= n.revision || list.From > n.revision {
		return nil, nil
	}
	n.revision = list.Revision
	released := &wire.Released{Session: list.Session}
	for _, item := range list.Shards {
		key := ownership.Key{Service: item.Service, Shard: item.Shard}
		if item.Release {
			released.Shards = append(released.Shards, fleet.ReleasedShard{Key: key, Epoch: item.Epoch})
			continue
		}
		n.fleet.owners.granted(key, item.Epoch, n.name)
	}
	if len(released.Shards) > 0 {
		go func() { _ = n.call(context.Background(), callLimit, wire.KindReleased, released, nil) }()
	}
	return nil, nil
}

// owners notes, for each shard, the newest epoch and who got it when.
type owners struct {
	mutex  sync.Mutex
	shards map[ownership.Key]owner
}

type owner struct {
	epoch uint64
	node  string
	at    time.Time
}

func (o *owners) granted(key ownership.Key, epoch uint64, node string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if epoch > o.shards[key].epoch {
		o.shards[key] = owner{epoch, node, time.Now()}
	}
}

func (o *owners) count() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.shards)
}

// of lists the shards that belong to one of the nodes.
func (o *owners) of(nodes map[string]bool) map[ownership.Key]owner {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	found := map[ownership.Key]owner{}
	for key, known := range o.shards {
		if nodes[known.node] {
			found[key] = known
		}
	}
	return found
}

// movedSince returns the times at which the shards got a newer epoch; complete
// says whether all of them did.
func (o *owners) movedSince(before map[ownership.Key]owner) (at []time.Time, complete bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for key, old := range before {
		if now := o.shards[key]; now.epoch > old.epoch {
			at = append(at, now.at)
		}
	}
	return at, len(at) == len(before)
}
