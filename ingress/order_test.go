package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against relayed connections whose one side does not see that the other has ended.
func TestRelayedConnectionEndsOnBothSides(t *testing.T) {
	for name, c := range map[string]struct {
		// end ends one side and returns the side that has to see it.
		end func(asker, member net.Conn) (other net.Conn)
	}{
		"member ends": {func(asker, member net.Conn) net.Conn { member.Close(); return asker }},
		"asker ends":  {func(asker, member net.Conn) net.Conn { asker.Close(); return member }},
		"member ends, asker sends": {func(asker, member net.Conn) net.Conn {
			member.Close()
			for range 3 {
				_, _ = io.WriteString(asker, "x")
			}
			return asker
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer members.Close()
			i := startIngress(t, startInstance(t, okResponse, false))
			i.options.RelayTo = func(string) bool { return true }
			asker, err := net.Dial("tcp", i.Address())
			is.NoErr(err)
			defer asker.Close()
			address := members.Addr().String()
			_, err = fmt.Fprintf(asker, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", address, address)
			is.NoErr(err)
			member, err := members.Accept()
			is.NoErr(err)
			defer member.Close()
			response, err := http.ReadResponse(bufio.NewReader(asker), &http.Request{Method: http.MethodConnect})
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			other := c.end(asker, member)
			is.NoErr(other.SetReadDeadline(time.Now().Add(3 * time.Second)))
			_, err = io.Copy(io.Discard, other)
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the other side does not see the end
		})
	}
}
