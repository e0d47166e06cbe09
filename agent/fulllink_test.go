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
	"limehold/membership"
	"limehold/metrics"
	"limehold/quiescence"
	"limehold/settings"
	"limehold/transport"
	"limehold/wire"
)

// fullLinkWait is how long words wait for a full link: longer than all tries of one round.
const fullLinkWait = 1200 * time.Millisecond

// wellBackend is a back end that is always well and is told nothing that matters.
type wellBackend struct{}

func (wellBackend) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
func (wellBackend) Alive(time.Duration) (string, bool) { return "i-1", true }
func (wellBackend) Gone(string) bool                   { return false }
func (wellBackend) Health() wire.BackendHealth         { return wire.BackendHealth{Status: wire.BackendOK} }
func (wellBackend) Description() Description {
	return Description{Pool: "orders", Slots: 1, Connections: 1}
}
func (wellBackend) Lease(membership.SessionID, time.Duration) error { return nil }
func (wellBackend) Grants(*wire.BackendGrants) error                { return nil }
func (wellBackend) Opening(context.Context)                         {}
func (wellBackend) Opened(Opened)                                   {}
func (wellBackend) Vacated() <-chan membership.SessionID            { return nil }
func (wellBackend) Claim() quiescence.Claim                         { return quiescence.Claim{} }
func (wellBackend) Claimed(quiescence.Claim)                        {}
func (wellBackend) ClaimNow() <-chan struct{}                       { return nil }
func (wellBackend) HandedBack() <-chan []fleet.ReleasedShard        { return nil }
func (wellBackend) Release(membership.SessionID, []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
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

// startLinked starts a member behind a proxy that stands for the agent's link.
func startLinked(t *testing.T, name string, handler transport.Handler) (string, *faultproxy.Proxy) {
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

// An agent whose words to control wait behind answers on its machine's link keeps its lease:
// the answers to its renewals come late, but they come, and count from when each was sent. It
// lost its session in the same incident as the routers that did not learn of changes, by the
// same cause: each round closed the connections on which nothing had come for a third of a
// second, and the next one began at the end of the queue.
func TestAgentOnAFullLinkKeepsItsLease(t *testing.T) {
	is := is.New(t)
	config := settings.Default()
	config.Name, config.Zone = "node-1", "a"
	leading, leadingLink := startLinked(t, "control-1", &leader{renewed: map[*transport.Conn]int{}})
	following := &member{}
	following.leaderAddress.Store(&leading)
	other, otherLink := startLinked(t, "control-2", following)
	config.Agent.Control = []string{other, leading}
	a, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), Backend: wellBackend{}, NoAdmin: true})
	is.NoErr(err)
	ctx, stop := context.WithTimeout(context.Background(), 15*time.Second)
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	defer func() { stop(); <-ended }()
	until := func(holds func() bool) {
		t.Helper()
		for !holds() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(ctx.Err())
	}
	until(func() bool { return a.leaseExpiry() > clock.Now() })

	leadingLink.SetDelays(fullLinkWait, 0)
	otherLink.SetDelays(fullLinkWait, 0)
	// The lease is renewed again and again by what is sent over the full link.
	for range 3 {
		before := a.leaseExpiry()
		until(func() bool { return a.leaseExpiry() > before })
		is.True(before > clock.Now()) // it was renewed before it ended
	}
}
