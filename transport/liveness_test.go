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

const testProveEvery = 10 * time.Millisecond

// proved is a link through a proxy that looks after its connection.
func proved(t *testing.T) (*Link, *faultproxy.Proxy) {
	t.Helper()
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	proxy, err := faultproxy.New(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	proxy.SetTarget(server.Address())
	link := NewLink(proxy.Address(), echo{}, Options{Local: hello(wire.RoleControl, "control-2"), ProveEvery: testProveEvery})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); link.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return link, proxy
}

// Nothing fails on a connection that has gone silent, and nobody sends anything on this one: the link finds
// it by itself.
func TestLinkLeavesAConnectionThatWentSilent(t *testing.T) {
	is := is.New(t)
	link, proxy := proved(t)
	for range 3 {
		before := waitConn(t, link)
		is.True(proxy.Silence() > 0)
		<-before.Done()
	}
	var answer string
	is.NoErr(waitConn(t, link).Call(context.Background(), kindEcho, "hello", &answer))
}

// An answer that is slow is one: the connection that it comes on stays, whatever was dialed beside it.
func TestLinkKeepsAConnectionThatIsSlow(t *testing.T) {
	is := is.New(t)
	link, proxy := proved(t)
	first := waitConn(t, link)
	const slow = 4 * provedMisses * testProveEvery
	proxy.SetDelays(slow, slow)
	for range 3 {
		var answer string
		is.NoErr(first.Call(context.Background(), kindEcho, "hello", &answer))
	}
	is.True(link.Conn() == first)
}

// A process that stood still finds its connections silent and looks again before it doubts them.
func TestOnlyLooksInARowMakeAConnectionDoubtful(t *testing.T) {
	is := is.New(t)
	conn := newConn(nil, &Options{}, nil)
	is.True(!conn.missing()) // the first look begins
	for range 2 {
		for range provedMisses - 1 {
			is.True(!conn.missing())
		}
		is.Equal(len(conn.queue), provedMisses-1) // each of them has asked
		conn.received.Add(1)
		is.True(!conn.missing())
		for len(conn.queue) > 0 {
			<-conn.queue
		}
	}
	for range provedMisses - 1 {
		is.True(!conn.missing())
	}
	is.True(conn.missing())
}

// What a dead connection holds at the side that has accepted it is freed; one that is idle, but alive, stays.
func TestServerClosesConnectionsThatLeadToNobody(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1"), ProveAccepted: testProveEvery})
	proxy, err := faultproxy.New(0)
	is.NoErr(err)
	t.Cleanup(proxy.Close)
	proxy.SetTarget(server.Address())
	_, err = dial(t, proxy.Address(), Options{Local: hello(wire.RoleRouter, "silent")})
	is.NoErr(err)
	is.True(proxy.Silence() > 0)
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
