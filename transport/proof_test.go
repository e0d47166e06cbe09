package transport

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/bench/faultproxy"
	"limehold/wire"
)

const testProbeInterval = 10 * time.Millisecond

// newProxiedLink returns a link with liveness checks through a proxy.
func newProxiedLink(t *testing.T) (*Link, *faultproxy.Proxy) {
	t.Helper()
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	proxy, err := faultproxy.New(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	proxy.SetTarget(server.Address())
	link := NewLink(proxy.Address(), echo{}, Options{Local: hello(wire.RoleControl, "control-2"), ProbeInterval: testProbeInterval})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); link.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return link, proxy
}

// A half-open connection on which nothing is sent causes no error: the link must detect it by itself.
func TestLinkLeavesAConnectionThatWentSilent(t *testing.T) {
	is := is.New(t)
	link, proxy := newProxiedLink(t)
	for range 3 {
		before := waitConn(t, link)
		is.True(proxy.BlackholeOpen() > 0)
		<-before.Done()
	}
	var answer string
	is.NoErr(waitConn(t, link).Call(context.Background(), kindEcho, "hello", &answer))
}

// A slow reply is still a reply: its connection stays, even if another one was dialed beside it.
func TestLinkKeepsAConnectionThatIsSlow(t *testing.T) {
	is := is.New(t)
	link, proxy := newProxiedLink(t)
	first := waitConn(t, link)
	const slow = 4 * maxMissedChecks * testProbeInterval
	proxy.SetDelays(slow, slow)
	for range 3 {
		var answer string
		is.NoErr(first.Call(context.Background(), kindEcho, "hello", &answer))
	}
	is.True(link.Conn() == first)
}

// A process that was suspended has received nothing over its connections, and must check them again before it
// suspects them.
func TestOnlyLooksInARowMakeAConnectionDoubtful(t *testing.T) {
	is := is.New(t)
	conn := newConn(nil, &Options{}, nil)
	is.True(!conn.probeFailed()) // the first check only records the received bytes
	for range 2 {
		for range maxMissedChecks - 1 {
			is.True(!conn.probeFailed())
		}
		is.Equal(len(conn.queue), maxMissedChecks-1) // each check has sent a ping
		conn.received.Add(1)
		is.True(!conn.probeFailed())
		for len(conn.queue) > 0 {
			<-conn.queue
		}
	}
	for range maxMissedChecks - 1 {
		is.True(!conn.probeFailed())
	}
	is.True(conn.probeFailed())
}

// The accepting side must close half-open connections and keep those that are idle but alive.
func TestServerClosesConnectionsThatLeadToNobody(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1"), AcceptedProbeInterval: testProbeInterval})
	proxy, err := faultproxy.New(0)
	is.NoErr(err)
	t.Cleanup(proxy.Close)
	proxy.SetTarget(server.Address())
	_, err = dial(t, proxy.Address(), Options{Local: hello(wire.RoleRouter, "silent")})
	is.NoErr(err)
	is.True(proxy.BlackholeOpen() > 0)
	idle, err := dial(t, server.Address(), Options{Local: hello(wire.RoleRouter, "idle")})
	is.NoErr(err)
	open := func(name string) bool {
		return slices.ContainsFunc(server.accepted(), func(conn *Conn) bool { return conn.Peer.Name == name })
	}
	for until := time.Now().Add(10 * time.Second); open("silent") || !open("idle"); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("silent is open: %t, idle is: %t", open("silent"), open("idle"))
		}
	}
	is.NoErr(idle.Call(context.Background(), kindEcho, "hello", nil))
}
