package hollow

import (
	"context"
	"sync/atomic"
	"time"

	"limehold/codec"
	"limehold/transport"
	"limehold/wire"
)

const confirmEvery = 250 * time.Millisecond

// router subscribes and confirms as a router does, and keeps only the revision.
type router struct {
	fleet    *Fleet
	name     string
	target   int
	revision atomic.Uint64
}

func (r *router) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.follow(ctx)
		r.target++
		sleep(ctx, reopenPause)
	}
}

func (r *router) follow(ctx context.Context) {
	dialing, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	conn, err := transport.Dial(dialing, r.fleet.address(r.target), r, transport.Options{Local: wire.Hello{
		Version: wire.ProtocolVersion, Cluster: clusterName, Role: wire.RoleRouter, Name: r.name,
	}})
	if err != nil {
		return
	}
	defer conn.Close()
	if conn.Call(dialing, wire.KindWatch, &wire.Watch{Router: r.name, Zone: "zone-0", Revision: r.revision.Load()}, nil) != nil {
		return
	}
	ticker := time.NewTicker(confirmEvery)
	defer ticker.Stop()
	for {
		confirming, stop := context.WithTimeout(ctx, callLimit)
		err := conn.Call(confirming, wire.KindConfirm, &wire.Confirm{Router: r.name, Zone: "zone-0", Revision: r.revision.Load()}, nil)
		stop()
		if err != nil {
			return
		}
		r.fleet.confirms.Add(1)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Inline implements transport.Handler.
func (r *router) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (r *router) Handle(_ context.Context, _ *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	if kind != wire.KindUpdate {
		return nil, nil
	}
	r.fleet.updateBytes.Add(int64(len(payload) + bytesOfFrame))
	// The whole update is a real router's work; fifty of them in one process would
	// measure this process.
	var from, revision uint64
	if err := codec.UnmarshalPrefix(payload, &from, &revision); err != nil {
		return nil, err
	}
	r.revision.Store(max(r.revision.Load(), revision))
	return nil, nil
}
