package router

import (
	"context"
	"fmt"
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

// testMember is a control member that accepts every subscription, and either confirms
// every view or none.
type testMember struct{ partitioned bool }

// Inline implements transport.Handler.
func (m *testMember) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (m *testMember) Handle(_ context.Context, _ *transport.Conn, kind wire.Kind, _ []byte) (any, error) {
	if kind == wire.KindConfirm && m.partitioned {
		return nil, &wire.Error{Code: wire.CodeNotLeader}
	}
	return &wire.ConfirmReply{}, nil
}

func startTestMember(t *testing.T, member *testMember) string {
	t.Helper()
	server, err := transport.Listen("127.0.0.1:0", member, transport.Options{Local: wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleControl, Cluster: "limehold"}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = server.Run(ctx) }()
	return server.Address()
}

// An operator's list of members may contain addresses of proxies. The addresses that members announce must
// not be used instead, or the router would bypass the proxies. They are added only if seeds are set.
func TestListOfTheSettingsIsNotLedAround(t *testing.T) {
	is := is.New(t)
	config := settings.Default()
	config.Router.Control = []string{"127.0.0.1:1"}
	router := &Router{options: Options{Settings: config}}
	router.members.Store(&wire.MemberList{Version: 1, Addresses: []string{"127.0.0.1:2"}})
	is.Equal(router.controlAddresses(), []string{"127.0.0.1:1"})
	router.options.Settings.Discovery.Seeds = []string{"127.0.0.1:1"}
	is.Equal(router.controlAddresses(), []string{"127.0.0.1:1", "127.0.0.1:2"})
}

// A partitioned member still accepts subscriptions. Its routers would keep an old table until
// the partition heals.
func TestRouterLeavesAMemberThatCannotConfirm(t *testing.T) {
	const members = 3
	// Routers start at different members, so the healthy one is tested at each position.
	for healthy := range members {
		t.Run(fmt.Sprintf("sound member %d", healthy), func(t *testing.T) {
			is := is.New(t)
			config := settings.Default()
			config.Name, config.Zone = "router-1", "a"
			for place := range members {
				config.Router.Control = append(config.Router.Control, startTestMember(t, &testMember{partitioned: place != healthy}))
			}
			router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()})
			is.NoErr(err)
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			followed := make(chan struct{})
			go func() { defer close(followed); _ = router.follow(ctx) }()
			for !router.freshness.within(clock.Now(), time.Second) && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(ctx.Err())
			stop()
			<-followed
		})
	}
}

// If the list of members changes while a router follows one of them, the next member that
// it tries is still a different one.
func TestNextMemberIsAnother(t *testing.T) {
	for name, c := range map[string]struct {
		addresses []string
		last      string
		first     int
		want      string
	}{
		"first of all":         {[]string{"a", "b", "c"}, "", 64, "b"},
		"the one after":        {[]string{"a", "b", "c"}, "b", 64, "c"},
		"after the last":       {[]string{"a", "b", "c"}, "c", 0, "a"},
		"the list has grown":   {[]string{"a", "b", "c", "d"}, "b", 3, "c"},
		"it has left the list": {[]string{"a", "c"}, "b", 1, "c"},
		"there is only one":    {[]string{"a"}, "a", 7, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(nextAddress(c.addresses, c.last, c.first), c.want)
		})
	}
}

// A view that may lack a route in force elsewhere must not report the route as missing.
func TestAnOldViewDoesNotDenyARoute(t *testing.T) {
	is := is.New(t)
	r := &Router{}
	now := clock.Now()
	r.freshness.confirm(now, confirmation{sentAt: now - time.Second, revision: 1}, 1)
	is.Equal(rejectUnmatched(r.viewIsCurrent()), rejectNoService)
	r = &Router{}
	r.freshness.confirm(now, confirmation{sentAt: now - 2*time.Second, revision: 1}, 1)
	is.Equal(rejectUnmatched(r.viewIsCurrent()), rejectNotCurrent)
}
