package router

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"limehold/bench/rawserver"
	"limehold/settings"
	"limehold/wire"
)

// Guards against a malformed response of an ingress, or of whatever listens at its address, that reaches the caller or counts
// as the statement that the request did not run. A repeatable request is sent again.
func TestMalformedResponsesAreAttemptsWithoutAResponse(t *testing.T) {
	unlimitedRetries := func(config *settings.Settings) { config.Router.RetrySlack, config.Router.RetryRatio = 0, 0 }
	answers := rawserver.Malformed("hello")
	answers["refusal"] = "HTTP/1.1 503 Service Unavailable\r\nLimehold-Outcome : not-run\r\nContent-Length: 0\r\n\r\n"
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var arrivals atomic.Int64
			router := startLimitedRouters(t, 1, true, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				arrivals.Add(1)
				conn, _, err := http.NewResponseController(writer).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				fields := fmt.Sprintf("\r\n%s: %s\r\n%s: %s\r\nContent-Length", wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt), wire.HeaderOutcome, wire.OutcomeOK)
				_, _ = io.WriteString(conn, strings.Replace(answer, "\r\nContent-Length", fields, 1))
			}), unlimitedRetries)[0]
			request, err := http.NewRequest(http.MethodGet, "http://"+router.Address()+"/moved/1", nil)
			is.NoErr(err)
			request.Host = "shop.example"
			request.Header.Set("X-Key", "0")
			request.Header.Set(wire.HeaderRequestID, "request-1")
			response, err := http.DefaultTransport.RoundTrip(request)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(response.Header.Get(wire.HeaderOutcome), wire.OutcomeUnknown)
			is.Equal(response.Header.Get(wire.HeaderReason), reasonBrokenAnswer)
			is.Equal(arrivals.Load(), int64(2)) // the initial retry budget pays for one repeat
		})
	}
}
