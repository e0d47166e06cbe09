package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/wire"
)

const (
	// longTransfer is longer than the timeouts of connections to routers.
	longTransfer   = writeTimeout + 2*time.Second
	transferParts  = 17
	transferPart   = 8 << 10
	transferBudget = 2 * longTransfer
)

// startSlowInstance starts an instance that answers with as many bytes as it got, both within longTransfer.
func startSlowInstance(t *testing.T) *fakeInstance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		received, err := io.Copy(io.Discard, request.Body)
		writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		writer.Header().Set("X-Received", fmt.Sprint(received, err))
		if request.Method == http.MethodPost {
			return
		}
		for range transferParts {
			_, _ = io.WriteString(writer, strings.Repeat("a", transferPart)) // a cut connection shows at the caller
			writer.(http.Flusher).Flush()
			time.Sleep(longTransfer / transferParts)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return &fakeInstance{listener: listener}
}

// slowBody is a request body that is read within longTransfer.
type slowBody struct{ parts int }

func (b *slowBody) Read(buffer []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(longTransfer / transferParts)
	return copy(buffer, strings.Repeat("b", transferPart)), nil
}

// Guards against answers and bodies that are cut although their request's deadline lasts: they took longer than the
// timeouts of the connection.
func TestTransferLastsAsLongAsTheDeadline(t *testing.T) {
	for name, method := range map[string]string{"answer": http.MethodGet, "body": http.MethodPost} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			i := startIngress(t, startSlowInstance(t))
			var body io.Reader
			if method == http.MethodPost {
				body = io.LimitReader(&slowBody{transferParts}, transferParts*transferPart)
			}
			request, err := http.NewRequest(method, "http://"+i.Address()+"/orders/1", body)
			is.NoErr(err)
			if body != nil {
				request.ContentLength = transferParts * transferPart
			}
			setRouterHeaders(request.Header)
			request.Header.Set(wire.HeaderDeadline, fmt.Sprint(transferBudget.Milliseconds()))
			response, err := http.DefaultTransport.RoundTrip(request)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.Header.Get(wire.HeaderOutcome), wire.OutcomeOK)
			answer, err := io.ReadAll(response.Body)
			is.NoErr(err)
			if method == http.MethodGet {
				is.Equal(len(answer), transferParts*transferPart)
				return
			}
			is.Equal(response.Header.Get("X-Received"), fmt.Sprint(transferParts*transferPart, nil))
		})
	}
}
