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

// slowMember answers a question only once others have come behind it, as a way does on which
// several are under way.
type slowMember struct {
	mutex   sync.Mutex
	waiting int
	enough  chan struct{}
}

// underWay is how many questions have to be under way before any is answered.
const underWay = 3

// Inline implements transport.Handler.
func (m *slowMember) Inline(kind wire.Kind) bool { return kind != wire.KindConfirm }

// Handle implements transport.Handler.
func (m *slowMember) Handle(ctx context.Context, _ *transport.Conn, kind wire.Kind, _ []byte) (any, error) {
	if kind != wire.KindConfirm {
		return struct{}{}, nil
	}
	m.mutex.Lock()
	m.waiting++
	if m.waiting == underWay {
		close(m.enough)
	}
	m.mutex.Unlock()
	select {
	case <-m.enough:
		return &wire.ConfirmReply{}, nil
	case <-ctx.Done():
		m.mutex.Lock()
		m.waiting--
		m.mutex.Unlock()
		return nil, ctx.Err()
	}
}

// A question does not wait for the answers to earlier ones: on a long way the view would grow
// older by a round trip with each.
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
	is.NoErr(await(ctx, func() bool { return router.freshness.within(clock.Now(), answerPatience) }))
	stop()
	<-followed
}

// cutOffMember says that it cannot confirm, and counts who asks what.
type cutOffMember struct{ questions, subscriptions chan struct{} }

// Inline implements transport.Handler.
func (m *cutOffMember) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (m *cutOffMember) Handle(_ context.Context, _ *transport.Conn, kind wire.Kind, _ []byte) (any, error) {
	if kind == wire.KindConfirm {
		m.questions <- struct{}{}
		return nil, &wire.Error{Code: wire.CodeNotLeader}
	}
	m.subscriptions <- struct{}{}
	return struct{}{}, nil
}

// A whole table is asked only of a member that has confirmed: it is large, and after a loss of
// all members hundreds of routers ask. One who has a table asks for what is missing at once.
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
			member := &cutOffMember{questions: make(chan struct{}, 1024), subscriptions: make(chan struct{}, 1024)}
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
			told := func(what <-chan struct{}) {
				t.Helper()
				select {
				case <-what:
				case <-ctx.Done():
					is.NoErr(ctx.Err())
				}
			}
			if c.subscribes {
				told(member.subscriptions)
			}
			for range 5 {
				told(member.questions)
			}
			stop()
			<-followed
			if !c.subscribes {
				is.Equal(len(member.subscriptions), 0)
			}
		})
	}
}
