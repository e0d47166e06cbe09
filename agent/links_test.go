package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/transport"
	"limehold/wire"
)

// member answers every call as the leader, or names another leader if leaderAddress is set.
type member struct {
	leaderAddress atomic.Pointer[string]
	calls         atomic.Int64
}

// Inline implements transport.Handler.
func (m *member) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (m *member) Handle(context.Context, *transport.Conn, wire.Kind, []byte) (any, error) {
	m.calls.Add(1)
	if address := m.leaderAddress.Load(); address != nil {
		return nil, &wire.Error{Code: wire.CodeNotLeader, Leader: "control-9", LeaderAddress: *address}
	}
	return &wire.ReleasedReply{Revision: 7}, nil
}

func startMember(t *testing.T, name string) (*member, string) {
	t.Helper()
	handler := &member{}
	server, err := transport.Listen("127.0.0.1:0", handler, transport.Options{Local: wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleControl, Name: name}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = server.Run(ctx) }()
	return handler, server.Address()
}

// Guards against an agent that knows only the seeds and cannot reach the leader, because
// the seeds name it but no link to it exists.
func TestLeaderThatNoSettingNamesIsFound(t *testing.T) {
	is := is.New(t)
	seed, seedAddress := startMember(t, "control-1")
	leader, leaderAddress := startMember(t, "control-9")
	seed.leaderAddress.Store(&leaderAddress)
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	agentLinks := newLinks([]string{seedAddress}, true, func(address string) *transport.Link {
		return transport.NewLink(address, &member{}, transport.Options{Local: wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleAgent, Name: "node-1"}})
	})
	agentLinks.start(ctx)
	reply := &wire.ReleasedReply{}
	for ctx.Err() == nil {
		if agentLinks.callLeader(ctx, time.Second, wire.KindRenew, &wire.Renew{}, reply) == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.Equal(reply.Revision, uint64(7))
	is.True(leader.calls.Load() > 0)
}
