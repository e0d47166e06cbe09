package faultproxy

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Silenced connections drop all data without notifying either side, while new
// connections work.
func TestSilentConnectionsPassNothingAndNewOnesDo(t *testing.T) {
	is := is.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer server.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	proxy, err := New(0)
	is.NoErr(err)
	defer proxy.Close()
	proxy.SetTarget(server.Addr().String())
	open := func(word string) (near, far net.Conn) {
		near, err := net.Dial("tcp", proxy.Address())
		is.NoErr(err)
		far = <-accepted
		_, err = near.Write([]byte(word))
		is.NoErr(err)
		buffer := make([]byte, len(word))
		_, err = io.ReadFull(far, buffer)
		is.NoErr(err)
		is.Equal(string(buffer), word)
		return near, far
	}
	silent, far := open("before")
	is.Equal(proxy.BlackholeOpen(), 1)
	_, err = silent.Write([]byte("lost"))
	is.NoErr(err) // the writer is not notified
	silent.Close()
	near, _ := open("after")
	defer near.Close()
	// A leak would have been delivered before the data sent on the later connection.
	proxy.Close()
	rest, _ := io.ReadAll(far)
	is.Equal(string(rest), "")
}
