package router

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/bench/faultproxy"
	"limehold/clock"
	"limehold/codec"
	"limehold/metrics"
	"limehold/settings"
	"limehold/transport"
	"limehold/wire"
)

// Guards against timeouts that are shorter than the delays of a saturated uplink: the router would
// close a connection over which updates still arrive, and route by an old table.

// saturatedLinkDelay is how long messages wait for the saturated link: longer than a confirmation
// may take before the follower connects to another member.
const saturatedLinkDelay = 1200 * time.Millisecond

// memberGroup is a group of members that publish the same revisions.
type memberGroup struct {
	mutex    sync.Mutex
	revision uint64
	conns    map[*transport.Conn]bool
	// questions receives one value for each question whether a view is current.
	questions chan struct{}
}

func newMemberGroup() *memberGroup {
	return &memberGroup{revision: 1, conns: map[*transport.Conn]bool{}, questions: make(chan struct{}, 1024)}
}

// Inline implements transport.Handler.
func (g *memberGroup) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (g *memberGroup) Handle(_ context.Context, conn *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if kind == wire.KindConfirm {
		select {
		case g.questions <- struct{}{}:
		default:
		}
		return &wire.ConfirmReply{Revision: g.revision}, nil
	}
	watch := &wire.Watch{}
	if err := codec.Unmarshal(payload, watch); err != nil {
		return nil, err
	}
	g.conns[conn] = true
	if watch.Revision < g.revision {
		return struct{}{}, conn.Send(wire.KindUpdate, &wire.Update{Snapshot: true, Revision: g.revision})
	}
	return struct{}{}, nil
}

// publish sends one more change to all routers and returns its revision.
func (g *memberGroup) publish() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.revision++
	for conn := range g.conns {
		_ = conn.Send(wire.KindUpdate, &wire.Update{From: g.revision - 1, Revision: g.revision})
	}
	return g.revision
}

// awaitQuestions waits until members have received count questions.
func (g *memberGroup) awaitQuestions(ctx context.Context, count int) error {
	for range count {
		select {
		case <-g.questions:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// startMembers starts the members of a group behind proxies that simulate the router's link.
func startMembers(t *testing.T, group *memberGroup, count int) (addresses []string, links []*faultproxy.Proxy) {
	t.Helper()
	for range count {
		server, err := transport.Listen("127.0.0.1:0", group, transport.Options{Local: wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleControl, Cluster: "limehold"}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go func() { _ = server.Run(ctx) }()
		link, err := faultproxy.New(0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		link.SetTarget(server.Address())
		addresses, links = append(addresses, link.Address()), append(links, link)
	}
	return addresses, links
}

func saturateLinks(links []*faultproxy.Proxy) {
	for _, link := range links {
		link.SetDelays(saturatedLinkDelay, 0)
	}
}

// await polls until a condition holds.
func await(ctx context.Context, condition func() bool) error {
	for !condition() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// A router whose messages to control wait on a saturated link still receives changes: it keeps
// the connection that delivers them, and new connections succeed despite the delay.
func TestRouterOnAFullLinkLearnsOfChanges(t *testing.T) {
	const members = 3
	for name, c := range map[string]struct {
		// before runs before the change, once the router runs.
		before func(ctx context.Context, r *Router, group *memberGroup, links []*faultproxy.Proxy) error
	}{
		"the link fills while it follows a member": {func(ctx context.Context, r *Router, group *memberGroup, links []*faultproxy.Proxy) error {
			if err := await(ctx, func() bool { return r.freshness.within(clock.Now(), time.Second) }); err != nil {
				return err
			}
			saturateLinks(links)
			// One question may already have been in transit; the next one waits for the link.
			return group.awaitQuestions(ctx, len(group.questions)+2)
		}},
		"the link is full from the start": {func(_ context.Context, _ *Router, _ *memberGroup, links []*faultproxy.Proxy) error {
			saturateLinks(links)
			return nil
		}},
		"its member ends while the link is full": {func(ctx context.Context, r *Router, _ *memberGroup, links []*faultproxy.Proxy) error {
			if err := await(ctx, func() bool { return r.freshness.within(clock.Now(), time.Second) }); err != nil {
				return err
			}
			saturateLinks(links)
			for _, link := range links {
				link.ResetAll()
			}
			return nil
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			group := newMemberGroup()
			config := settings.Default()
			config.Name, config.Zone = "router-1", "a"
			var links []*faultproxy.Proxy
			config.Router.Control, links = startMembers(t, group, members)
			router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()})
			is.NoErr(err)
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			followed := make(chan struct{})
			go func() { defer close(followed); _ = router.follow(ctx) }()
			defer func() { stop(); <-followed }()

			is.NoErr(c.before(ctx, router, group, links))
			changed := clock.Now()
			revision := group.publish()
			is.NoErr(await(ctx, func() bool { return router.table.currentRevision() >= revision }))
			is.NoErr(await(ctx, func() bool { return router.freshness.currentAsOf() >= changed }))
		})
	}
}
