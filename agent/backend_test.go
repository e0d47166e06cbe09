package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/settings"
)

// Guards against renewing the lease of a back end that has ended until the time limit for a missing answer
// has passed, which would delay the reassignment of its shards.
func TestBackEndThatIsGoneIsUnhealthyAtOnce(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"status": "ok", "incarnation": "a"}`))
	}))
	probed := newBackend(settings.Settings{Agent: settings.Agent{Backend: server.Listener.Addr().String()}}, zap.NewNop())
	probed.probe()
	incarnation, healthy := probed.CurrentIncarnation(clock.Now())
	is.True(healthy)
	is.Equal(incarnation, "a")
	server.CloseClientConnections()
	server.Close()
	probed.probe()
	_, healthy = probed.CurrentIncarnation(clock.Now())
	is.Equal(healthy, false)
}

func TestSilentBackEndBecomesUnhealthy(t *testing.T) {
	is := is.New(t)
	probed := newBackend(settings.Settings{Agent: settings.Agent{Backend: "127.0.0.1:1"}}, zap.NewNop())
	_, healthy := probed.CurrentIncarnation(0)
	is.Equal(healthy, false) // it has never answered
	probed.hasAnswered, probed.lastSeen = true, time.Second
	_, healthy = probed.CurrentIncarnation(time.Second + unhealthyAfter/2)
	is.True(healthy)
	_, healthy = probed.CurrentIncarnation(time.Second + unhealthyAfter)
	is.Equal(healthy, false)
}
