package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"limehold/membership"
	"limehold/routing"
	"limehold/wire"
)

// Guards against bodies that are sent to an instance which rejects the request, and against bodies that are lost or
// sent twice when the request goes on to another instance.
func TestBodiesAreSentOnlyWhereTheyAreAskedFor(t *testing.T) {
	for name, size := range map[string]int{"short": announcedBody - 1, "held": announcedBody, "streamed": 4 * bufferedBody} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			router, _ := startRouter(t, routing.KindUpload, 0, nil)
			var received, asked atomic.Int64
			serve := func(reject bool) *httptest.Server {
				server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
					if request.Header.Get("Expect") != "" {
						asked.Add(1)
					}
					if reject {
						writer.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
						writer.Header().Set(wire.HeaderReason, wire.BackendReasonFull)
						writer.Header().Set(wire.HeaderFromIngress, "1")
						writer.Header().Set("Connection", "close")
						writer.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					body, _ := io.ReadAll(request.Body)
					received.Add(int64(len(body)))
					writer.Header().Set(wire.HeaderOutcome, wire.OutcomeOK)
				}))
				t.Cleanup(server.Close)
				return server
			}
			update := &wire.Update{From: 1, Revision: 2}
			for session, server := range []*httptest.Server{serve(true), serve(false)} {
				update.Nodes = append(update.Nodes, wire.NodeView{
					Session: membership.SessionID(session + 1), Name: server.URL, Zone: "a", Address: strings.TrimPrefix(server.URL, "http://"),
					Pool: "orders", Slots: 10, Connections: 10, SelfLimited: true,
				})
			}
			is.True(router.table.apply(update))
			const requests = 20
			for range requests {
				request, err := http.NewRequest(http.MethodPost, "http://"+router.Address()+"/moved/1", strings.NewReader(strings.Repeat("x", size)))
				is.NoErr(err)
				request.Host = "shop.example"
				response, err := http.DefaultTransport.RoundTrip(request)
				is.NoErr(err)
				response.Body.Close()
				is.Equal(response.StatusCode, http.StatusOK)
			}
			is.Equal(received.Load(), int64(requests*size))
			is.Equal(asked.Load() > 0, size >= announcedBody)
		})
	}
}
