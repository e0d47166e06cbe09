package upstream

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
)

// Guards against a connection that carries a request a second time, and against a memory of requests that grows for good.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	is := is.New(t)
	address := listenAndAccept(t)
	pool := NewPool(time.Minute)
	deadline := clock.Now() + time.Minute
	first, err := pool.GetFor(address, "r-1", deadline)
	is.NoErr(err)
	pool.Put(first)
	other, err := pool.GetFor(address, "r-2", deadline)
	is.NoErr(err)
	is.True(other == first)
	pool.Put(other)
	again, err := pool.GetFor(address, "r-1", deadline)
	is.NoErr(err)
	is.True(again != first)
	is.True(first.HasSent("r-1") && first.HasSent("r-2") && !again.HasSent("r-2"))
	pool.Put(again)
	// Both have carried r-1 now.
	third, err := pool.GetFor(address, "r-1", deadline)
	is.NoErr(err)
	is.True(third != first && third != again)
	pool.Put(third)
	is.Equal(pool.IdleCount(address), 3)
}

func TestMemoryOfSentRequestsIsBounded(t *testing.T) {
	is := is.New(t)
	var sent sentIDs
	for i := range 2 * maxSentIDs {
		sent.add(digestOf(fmt.Sprint(i)), time.Duration(i)*time.Second, time.Duration(i)*time.Second)
	}
	is.True(len(sent.list) <= 2)
	is.True(!sent.isFull())
	for i := range maxSentIDs {
		sent.add(digestOf(fmt.Sprint(i)), time.Hour*10000, 0)
	}
	is.True(sent.isFull())

	address := listenAndAccept(t)
	pool := NewPool(time.Minute)
	conn, err := pool.GetFor(address, "r-1", clock.Now()+time.Minute)
	is.NoErr(err)
	conn.sent = sent
	pool.Put(conn)
	is.Equal(pool.IdleCount(address), 0) // it could not tell a further request from one that it has carried
}

// listenAndAccept returns an address at which connections are accepted and kept open.
func listenAndAccept(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return listener.Addr().String()
}
