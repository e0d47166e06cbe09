package router

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/metrics"
	"limehold/settings"
	"limehold/transport"
	"limehold/wire"
)

// slowMember responds to a question only once several are in flight, like a link whose round
// trip is longer than the interval between questions.
type slowMember struct {
	mutex    sync.Mutex
	inFlight int
	enough   chan struct{}
}

// minInFlight is how many questions must be in flight before any is answered.
const minInFlight = 3

// Inline implements transport.Handler.
func (m *slowMember) Inline(kind wire.Kind) bool { return kind != wire.KindConfirm }

// Handle implements transport.Handler.
func (m *slowMember) Handle(ctx context.Context, _ *transport.Conn, kind wire.Kind, _ []byte) (any, error) {
	if kind != wire.KindConfirm {
		return struct{}{}, nil
	}
	m.mutex.Lock()
	m.inFlight++
	if m.inFlight == minInFlight {
		close(m.enough)
	}
	m.mutex.Unlock()
	select {
	case <-m.enough:
		return &wire.ConfirmReply{}, nil
	case <-ctx.Done():
		m.mutex.Lock()
		m.inFlight--
		m.mutex.Unlock()
		return nil, ctx.Err()
	}
}

// A question does not wait for the responses to earlier ones: with a long round trip, the view
// would otherwise become older by a round trip with each question.
func TestQuestionsDoNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	member := &slowMember{enough: make(chan struct{})}
	server, err := transport.Listen("127.0.0.1:0", member, transport.Options{Local: wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleControl, Cluster: "limehold"}})
	is.NoErr(err)
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	go func() { _ = server.Run(ctx) }()
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	config.Router.Control = []string{server.Address()}
	router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()})
	is.NoErr(err)
	followed := make(chan struct{})
	go func() { defer close(followed); _ = router.follow(ctx) }()
	is.NoErr(await(ctx, func() bool { return router.freshness.within(clock.Now(), callTimeout) }))
	stop()
	<-followed
}

// partitionedMember responds that it cannot confirm, and counts questions and subscriptions.
type partitionedMember struct{ questions, subscriptions chan struct{} }

// Inline implements transport.Handler.
func (m *partitionedMember) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (m *partitionedMember) Handle(_ context.Context, _ *transport.Conn, kind wire.Kind, _ []byte) (any, error) {
	if kind == wire.KindConfirm {
		m.questions <- struct{}{}
		return nil, &wire.Error{Code: wire.CodeNotLeader}
	}
	m.subscriptions <- struct{}{}
	return struct{}{}, nil
}

// Only a member that has confirmed is asked for a snapshot: snapshots are large, and after a loss
// of all members hundreds of routers ask. A router that has a table asks for changes at once.
func TestWholeTablesAreAskedOfMembersThatConfirm(t *testing.T) {
	for name, c := range map[string]struct {
		revision   uint64
		subscribes bool
	}{
		"has no table": {0, false},
		"has a table":  {7, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			member := &partitionedMember{questions: make(chan struct{}, 1024), subscriptions: make(chan struct{}, 1024)}
			server, err := transport.Listen("127.0.0.1:0", member, transport.Options{Local: wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleControl, Cluster: "limehold"}})
			is.NoErr(err)
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			go func() { _ = server.Run(ctx) }()
			config := settings.Default()
			config.Name, config.Zone = "router-1", "a"
			config.Router.Control = []string{server.Address()}
			router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()})
			is.NoErr(err)
			if c.revision > 0 {
				is.True(router.table.apply(&wire.Update{Snapshot: true, Revision: c.revision}))
			}
			followed := make(chan struct{})
			go func() { defer close(followed); _ = router.follow(ctx) }()
			awaitSignal := func(signal <-chan struct{}) {
				t.Helper()
				select {
				case <-signal:
				case <-ctx.Done():
					is.NoErr(ctx.Err())
				}
			}
			if c.subscribes {
				awaitSignal(member.subscriptions)
			}
			for range 5 {
				awaitSignal(member.questions)
			}
			stop()
			<-followed
			if !c.subscribes {
				is.Equal(len(member.subscriptions), 0)
			}
		})
	}
}
