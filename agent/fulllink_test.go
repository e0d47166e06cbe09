package agent

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
	"limehold/fleet"
	"limehold/loadview"
	"limehold/membership"
	"limehold/metrics"
	"limehold/quiescence"
	"limehold/settings"
	"limehold/transport"
	"limehold/wire"
)

// saturatedLinkDelay is the delay of messages on a saturated link: longer than all tries of one round.
const saturatedLinkDelay = 1200 * time.Millisecond

// healthyBackend is a back end that is always healthy and ignores what it receives.
type healthyBackend struct{}

func (healthyBackend) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
func (healthyBackend) CurrentIncarnation(time.Duration) (string, bool) { return "i-1", true }
func (healthyBackend) HasEnded(string) bool                            { return false }
func (healthyBackend) Health() wire.BackendHealth                      { return wire.BackendHealth{Status: wire.BackendOK} }
func (healthyBackend) Description() Description {
	return Description{Pool: "orders", Slots: 1, Connections: 1}
}
func (healthyBackend) Lease(membership.SessionID, time.Duration) error { return nil }
func (healthyBackend) Grants(*wire.BackendGrants) error                { return nil }
func (healthyBackend) BeforeOpen(context.Context)                      {}
func (healthyBackend) SessionOpened(OpenedSession)                     {}
func (healthyBackend) ProvenReleases() <-chan membership.SessionID     { return nil }
func (healthyBackend) Claim() quiescence.Claim                         { return quiescence.Claim{} }
func (healthyBackend) ClaimAcknowledged(quiescence.Claim)              {}
func (healthyBackend) LoadReport() loadview.Report                     { return loadview.Report{} }
func (healthyBackend) RenewNow() <-chan struct{}                       { return nil }
func (healthyBackend) ReturnedShards() <-chan []fleet.ReleasedShard    { return nil }
func (healthyBackend) Release(membership.SessionID, []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	return nil, nil
}

// leader grants every session and renewal.
type leader struct {
	mutex sync.Mutex
	// renewed counts the renewals of each connection.
	renewed map[*transport.Conn]int
}

// Inline implements transport.Handler.
func (l *leader) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (l *leader) Handle(_ context.Context, conn *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	const lease, every = 10 * time.Second, time.Second
	switch kind {
	case wire.KindOpenSession:
		return &wire.OpenSessionReply{Session: 1, LeaseLength: lease, RenewEvery: every}, nil
	case wire.KindRenew:
		if err := codec.Unmarshal(payload, &wire.Renew{}); err != nil {
			return nil, err
		}
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.renewed[conn]++
		return &wire.RenewReply{LeaseLength: lease}, nil
	}
	return &wire.ReleasedReply{}, nil
}

// startBehindProxy starts a member behind a proxy that simulates the agent's link.
func startBehindProxy(t *testing.T, name string, handler transport.Handler) (string, *faultproxy.Proxy) {
	t.Helper()
	server, err := transport.Listen("127.0.0.1:0", handler, transport.Options{Local: wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleControl, Name: name, Cluster: "limehold"}})
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
	return link.Address(), link
}

// Guards against an agent that loses its session on a saturated link by closing connections
// on which an answer is late, so that each new round of renewals is queued behind the old
// traffic. Late answers must count, from when their renewals were sent.
func TestAgentOnAFullLinkKeepsItsLease(t *testing.T) {
	is := is.New(t)
	config := settings.Default()
	config.Name, config.Zone = "node-1", "a"
	leaderAddress, leaderLink := startBehindProxy(t, "control-1", &leader{renewed: map[*transport.Conn]int{}})
	follower := &member{}
	follower.leaderAddress.Store(&leaderAddress)
	followerAddress, followerLink := startBehindProxy(t, "control-2", follower)
	config.Agent.Control = []string{followerAddress, leaderAddress}
	a, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), Backend: healthyBackend{}, DisableAdmin: true})
	is.NoErr(err)
	ctx, stop := context.WithTimeout(context.Background(), 15*time.Second)
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	defer func() { stop(); <-ended }()
	waitUntil := func(condition func() bool) {
		t.Helper()
		for !condition() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(ctx.Err())
	}
	waitUntil(func() bool { return a.leaseExpiry() > clock.Now() })

	leaderLink.SetDelays(saturatedLinkDelay, 0)
	followerLink.SetDelays(saturatedLinkDelay, 0)
	// Renewals sent over the saturated link extend the lease each time.
	for range 3 {
		before := a.leaseExpiry()
		waitUntil(func() bool { return a.leaseExpiry() > before })
		is.True(before > clock.Now()) // the lease had not expired
	}
}
